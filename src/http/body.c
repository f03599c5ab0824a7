#include "http/body.h"

#include <glib.h>

struct body {
	int refs;
	/* Capacity in bytes. */
	size_t limit;
	/* Largest number of buffered bytes that are kept for body_rewind(). */
	size_t keep;
	GByteArray *bytes;
	/* Offset in bytes of the first unread byte. */
	size_t read_offset;
	/* Read bytes were dropped: the body can't be rewound. */
	bool discarded;
	/* The writer appends no more bytes. */
	bool ended;
};

struct body *body_create(size_t limit, size_t keep)
{
	struct body *body = g_new0(struct body, 1);

	body->refs = 1;
	body->limit = limit;
	/*
	 * Kept bytes are dropped only once more than keep bytes are buffered;
	 * the other half of the limit leaves room for these.
	 */
	body->keep = MIN(keep, limit / 2);
	body->bytes = g_byte_array_new();
	return body;
}

struct body *body_ref(struct body *body)
{
	body->refs++;
	return body;
}

void body_unref(struct body *body)
{
	if (!body || --body->refs)
		return;
	g_byte_array_free(body->bytes, TRUE);
	g_free(body);
}

/* Drops read bytes, unless they are kept for body_rewind(). */
static void compact(struct body *body)
{
	/* Dropping read bytes moves the unread ones. Waiting until half of the
	 * bytes are read limits that cost. */
	if (!body->read_offset || body->read_offset * 2 < body->bytes->len)
		return;
	if (!body->discarded && body->bytes->len <= body->keep)
		return;
	g_byte_array_remove_range(body->bytes, 0, (guint)body->read_offset);
	body->read_offset = 0;
	body->discarded = true;
}

size_t body_room(const struct body *body)
{
	size_t buffered = body->bytes->len;

	return body->limit > buffered ? body->limit - buffered : 0;
}

size_t body_append(struct body *body, struct str bytes)
{
	size_t count = MIN(bytes.len, body_room(body));

	if (!count)
		return 0;
	g_byte_array_append(body->bytes, (const guint8 *)bytes.data,
			    (guint)count);
	compact(body);
	return count;
}

struct str body_peek(const struct body *body)
{
	return (struct str){ (const char *)body->bytes->data +
				     body->read_offset,
			     body->bytes->len - body->read_offset };
}

void body_consume(struct body *body, size_t count)
{
	body->read_offset += count;
	compact(body);
}

void body_end(struct body *body)
{
	body->ended = true;
}

bool body_ended(const struct body *body)
{
	return body->ended;
}

bool body_replayable(const struct body *body)
{
	return !body->discarded;
}

bool body_rewind(struct body *body)
{
	if (body->discarded)
		return false;
	body->read_offset = 0;
	return true;
}
