#include "entry/table_copy.h"

#include <string.h>
#include <zlib.h>

#include "entry/delta_messages.h"

/* The encoded copy starts with the size of the message before compression, four
 * bytes in network byte order. */
#define SIZE_BYTES 4u
/* Largest message before compression. */
#define MESSAGE_BYTES_MAX (16u << 20)

/* Copies that are collected at the same time. After the leader is lost, it and
 * several backups may send the same changes, each after another version. */
#define COLLECTED_MAX 8

/* The parts of one copy. */
struct collected {
	/** Term, version, checksum and number of parts; count is 0 if unused.
	 */
	uint64_t term;
	uint64_t upto;
	uint32_t check;
	unsigned int count;
	/** All parts were received, and have been freed. */
	bool complete;
	/** Value of table_copy_parts.uses when a part last came. */
	uint64_t used;
	/** The parts (GByteArray) by their number; NULL: not received. */
	GByteArray *received[TABLE_COPY_PARTS_MAX];
};

struct table_copy_parts {
	struct collected copies[COLLECTED_MAX];
	uint64_t uses;
	/** Term and version of the newest complete copy. */
	uint64_t term;
	uint64_t upto;
};

/* Compresses a packed message; returns NULL when zlib fails. */
static GByteArray *compress_message(const uint8_t *data, size_t len)
{
	uLongf packed_len = compressBound(len);
	GByteArray *bytes = g_byte_array_new();
	guint32 size = g_htonl((guint32)len);

	g_byte_array_append(bytes, (const guint8 *)&size, SIZE_BYTES);
	g_byte_array_set_size(bytes, SIZE_BYTES + (guint)packed_len);
	if (compress2(bytes->data + SIZE_BYTES, &packed_len, data, len,
		      Z_BEST_SPEED) != Z_OK) {
		g_byte_array_free(bytes, TRUE);
		return NULL;
	}
	g_byte_array_set_size(bytes, SIZE_BYTES + (guint)packed_len);
	return bytes;
}

GByteArray *table_copy_encode(const struct table_delta *copy)
{
	TableChanges *message = delta_message_from(copy);
	size_t len = table_changes__get_packed_size(message);
	GByteArray *bytes = NULL;

	if (len <= MESSAGE_BYTES_MAX) {
		uint8_t *packed = g_malloc(len);

		table_changes__pack(message, packed);
		bytes = compress_message(packed, len);
		g_free(packed);
	}
	delta_message_free(message);
	if (bytes && table_copy_part_count(bytes) > TABLE_COPY_PARTS_MAX)
		g_clear_pointer(&bytes, g_byte_array_unref);
	return bytes;
}

TableChanges *table_copy_decode(const uint8_t *data, size_t len)
{
	TableChanges *message = NULL;
	guint32 size;
	uLongf unpacked_len;
	uint8_t *unpacked;

	if (len < SIZE_BYTES)
		return NULL;
	memcpy(&size, data, SIZE_BYTES);
	unpacked_len = g_ntohl(size);
	if (unpacked_len > MESSAGE_BYTES_MAX)
		return NULL;
	unpacked = g_malloc(unpacked_len + 1);
	if (uncompress(unpacked, &unpacked_len, data + SIZE_BYTES,
		       len - SIZE_BYTES) == Z_OK &&
	    unpacked_len == g_ntohl(size))
		message = table_changes__unpack(NULL, unpacked_len, unpacked);
	g_free(unpacked);
	return message;
}

unsigned int table_copy_part_count(const GByteArray *bytes)
{
	return (bytes->len + TABLE_COPY_PART_BYTES - 1) / TABLE_COPY_PART_BYTES;
}

void table_copy_part(const GByteArray *bytes, unsigned int index,
		     TableCopyPart *part)
{
	guint start = index * TABLE_COPY_PART_BYTES;

	part->index = index;
	part->count = table_copy_part_count(bytes);
	part->data.data = bytes->data + start;
	part->data.len = MIN(TABLE_COPY_PART_BYTES, bytes->len - start);
}

struct table_copy_parts *table_copy_parts_create(void)
{
	return g_new0(struct table_copy_parts, 1);
}

static void drop_parts(struct collected *copy)
{
	unsigned int i;

	for (i = 0; i < TABLE_COPY_PARTS_MAX; i++)
		g_clear_pointer(&copy->received[i], g_byte_array_unref);
}

void table_copy_parts_destroy(struct table_copy_parts *parts)
{
	size_t i;

	if (!parts)
		return;
	for (i = 0; i < COLLECTED_MAX; i++)
		drop_parts(&parts->copies[i]);
	g_free(parts);
}

/* Whether a part is of an older copy than the newest complete one. Changes are
 * right whoever sends them, and older ones may be those that are missing. */
static bool is_older(const struct table_copy_parts *parts,
		     const TableCopyPart *part)
{
	if (part->is_changes)
		return false;
	return part->term < parts->term ||
	       (part->term == parts->term && part->upto < parts->upto);
}

static bool is_part_of(const struct collected *copy, const TableCopyPart *part)
{
	return copy->term == part->term && copy->upto == part->upto &&
	       copy->count == part->count && copy->check == part->check;
}

/* Returns the copy that a part belongs to. A new one takes the place of the one
 * whose last part came first. */
static struct collected *find_copy(struct table_copy_parts *parts,
				   const TableCopyPart *part)
{
	struct collected *oldest = &parts->copies[0];
	size_t i;

	for (i = 0; i < COLLECTED_MAX; i++) {
		struct collected *copy = &parts->copies[i];

		if (is_part_of(copy, part))
			return copy;
		if (copy->used < oldest->used)
			oldest = copy;
	}
	drop_parts(oldest);
	*oldest = (struct collected){
		.term = part->term,
		.upto = part->upto,
		.count = part->count,
		.check = part->check,
	};
	return oldest;
}

/* Joins the parts; returns NULL when one is missing or they are no copy. */
static TableChanges *join_parts(struct collected *copy)
{
	GByteArray *bytes = g_byte_array_new();
	TableChanges *message = NULL;
	unsigned int i;

	for (i = 0; i < copy->count && copy->received[i]; i++)
		g_byte_array_append(bytes, copy->received[i]->data,
				    copy->received[i]->len);
	if (i == copy->count) {
		message = table_copy_decode(bytes->data, bytes->len);
		copy->complete = true;
		drop_parts(copy);
	}
	g_byte_array_free(bytes, TRUE);
	return message;
}

TableChanges *table_copy_parts_add(struct table_copy_parts *parts,
				   const TableCopyPart *part)
{
	struct collected *copy;
	TableChanges *message;
	GByteArray *data;

	if (!part->count || part->count > TABLE_COPY_PARTS_MAX ||
	    part->index >= part->count || is_older(parts, part))
		return NULL;
	copy = find_copy(parts, part);
	copy->used = ++parts->uses;
	if (copy->complete || copy->received[part->index])
		return NULL;
	data = g_byte_array_new();
	g_byte_array_append(data, part->data.data, (guint)part->data.len);
	copy->received[part->index] = data;
	message = join_parts(copy);
	if (message && !is_older(parts, part)) {
		parts->term = part->term;
		parts->upto = part->upto;
	}
	return message;
}
