/**
 * Bounded, reference-counted buffer that streams a message body from one
 * connection to another. The writer pauses when the buffer is full, the reader
 * when it is empty.
 */
#ifndef HTTP_BODY_H
#define HTTP_BODY_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

/** The buffer of one message body. */
struct body;

/**
 * Creates an empty buffer.
 *
 * @param limit capacity in bytes
 * @param keep a body of up to this many bytes is kept after it was read, so
 * that it can be read again (body_rewind()); capped at half of limit
 * @return the buffer with one reference, for body_unref()
 */
struct body *body_create(size_t limit, size_t keep);

/** Adds a reference. @return body */
struct body *body_ref(struct body *body);

/** Drops a reference; the last one frees the buffer. Accepts NULL. */
void body_unref(struct body *body);

/** Returns how many bytes can be appended now. */
size_t body_room(const struct body *body);

/** Appends as many bytes as fit. @return the number of bytes appended */
size_t body_append(struct body *body, struct str bytes);

/** Returns the unread bytes; valid until the buffer changes. */
struct str body_peek(const struct body *body);

/** Marks count unread bytes as read and frees their space if possible. */
void body_consume(struct body *body, size_t count);

/** Marks the end of the body: the writer appends no more bytes. */
void body_end(struct body *body);

/** Returns whether the writer marked the end of the body. */
bool body_ended(const struct body *body);

/**
 * Restarts reading at the first byte.
 *
 * @return false when bytes that were read are no longer kept
 */
bool body_rewind(struct body *body);

/** Returns whether body_rewind() would succeed. */
bool body_replayable(const struct body *body);

#endif
