#include "entry/table_copy.h"

#include <string.h>
#include <zlib.h>

#include "entry/delta_messages.h"

/* The encoded copy starts with the size of the message before compression, four
 * bytes in network byte order. */
#define SIZE_BYTES 4u
/* Largest message before compression. */
#define MESSAGE_BYTES_MAX (16u << 20)

struct table_copy_parts {
	/** Term, version and checksum of the copy that is being collected. */
	uint64_t term;
	uint64_t upto;
	uint32_t check;
	unsigned int count;
	/** The parts (GByteArray) by their number; NULL: not received. */
	GByteArray *received[TABLE_COPY_PARTS_MAX];
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

static void drop_parts(struct table_copy_parts *parts)
{
	unsigned int i;

	for (i = 0; i < TABLE_COPY_PARTS_MAX; i++)
		g_clear_pointer(&parts->received[i], g_byte_array_unref);
}

void table_copy_parts_destroy(struct table_copy_parts *parts)
{
	if (!parts)
		return;
	drop_parts(parts);
	g_free(parts);
}

/* Whether a part is of an older copy than the one that is being collected. */
static bool is_older(const struct table_copy_parts *parts,
		     const TableCopyPart *part)
{
	return part->term < parts->term ||
	       (part->term == parts->term && part->upto < parts->upto);
}

/* Joins the parts; returns NULL when one is missing or they are no copy. */
static TableChanges *join_parts(const struct table_copy_parts *parts)
{
	GByteArray *bytes = g_byte_array_new();
	TableChanges *message = NULL;
	unsigned int i;

	for (i = 0; i < parts->count && parts->received[i]; i++)
		g_byte_array_append(bytes, parts->received[i]->data,
				    parts->received[i]->len);
	if (i == parts->count)
		message = table_copy_decode(bytes->data, bytes->len);
	g_byte_array_free(bytes, TRUE);
	return message;
}

TableChanges *table_copy_parts_add(struct table_copy_parts *parts,
				   const TableCopyPart *part)
{
	GByteArray *data;

	if (!part->count || part->count > TABLE_COPY_PARTS_MAX ||
	    part->index >= part->count || is_older(parts, part))
		return NULL;
	if (part->term != parts->term || part->upto != parts->upto ||
	    part->count != parts->count || part->check != parts->check) {
		drop_parts(parts);
		parts->term = part->term;
		parts->upto = part->upto;
		parts->count = part->count;
		parts->check = part->check;
	}
	if (parts->received[part->index])
		return NULL;
	data = g_byte_array_new();
	g_byte_array_append(data, part->data.data, (guint)part->data.len);
	parts->received[part->index] = data;
	return join_parts(parts);
}
