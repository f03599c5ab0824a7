/**
 * Bytes of a body on their way between two connections, within a bound. The
 * writer stops when there is no room, the reader when there are no bytes.
 */
#ifndef HTTP_BODY_H
#define HTTP_BODY_H

#include <stdbool.h>
#include <stddef.h>

#include "base/str.h"

struct body;

/**
 * Creates an empty body.
 *
 * @param limit bytes held at most
 * @param keep bytes from the beginning that are kept after they were read, so
 *        that they can be read again; at most half of limit
 * @return a body with one reference
 */
struct body *body_create(size_t limit, size_t keep);

/** Takes another reference. */
struct body *body_ref(struct body *body);

/** Drops a reference; the last one frees. Accepts NULL. */
void body_unref(struct body *body);

/** Bytes that may be appended now. */
size_t body_room(const struct body *body);

/** Appends as much as there is room for. @return bytes taken */
size_t body_append(struct body *body, struct str bytes);

/** Bytes that wait to be read; valid until the next change. */
struct str body_peek(const struct body *body);

/** Removes bytes that were read. */
void body_consume(struct body *body, size_t count);

/** Says that no more bytes come. */
void body_end(struct body *body);

/** Whether the writer has ended. */
bool body_ended(const struct body *body);

/**
 * Starts over with reading.
 *
 * @return false when bytes read are no longer there
 */
bool body_rewind(struct body *body);

/** Whether body_rewind() would succeed. */
bool body_replayable(const struct body *body);

#endif
