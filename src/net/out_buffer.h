/**
 * Bytes that are to be sent on a connection: a text that the buffer owns, and a
 * body that it refers to.
 */
#ifndef NET_OUT_BUFFER_H
#define NET_OUT_BUFFER_H

#include <glib.h>
#include <stdbool.h>
#include <sys/types.h>

#include "base/str.h"
#include "net/caller_body.h"

/** The bytes; all members are private. */
struct out_buffer {
	GString *text;
	/** Sent after the text; NULL: none. */
	struct caller_body *body;
	/** Number of bytes of both that were sent. */
	size_t sent;
};

void out_buffer_init(struct out_buffer *out);

/** Frees the bytes; the buffer can't be used any more. */
void out_buffer_clear(struct out_buffer *out);

/** Appends a text, which is copied; no body may be waiting. */
void out_buffer_append(struct out_buffer *out, struct str text);

/** Adds a body behind the text; a small one is copied, of a large one a
 * reference is kept. */
void out_buffer_set_body(struct out_buffer *out, struct caller_body *body);

/** Whether bytes wait to be sent. */
bool out_buffer_pending(const struct out_buffer *out);

/**
 * Sends once.
 *
 * @return result of socket_write()
 */
ssize_t out_buffer_write(struct out_buffer *out, int fd);

#endif
