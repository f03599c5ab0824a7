/**
 * Non-blocking TCP connection between two processes of this system, which
 * carries framed messages: a four-byte big-endian length, then a packed
 * Envelope.
 */
#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/auburn.pb-c.h"

/** Maximum size of a packed Envelope. */
#define LINK_FRAME_MAX_BYTES (16u << 20)
/** Maximum size of the send queue: link_send() fails beyond it, so that a slow
 * peer is disconnected. */
#define LINK_QUEUE_MAX_BYTES (64u << 20)

/** One connection and its queue of messages to send. */
struct link;

/** Called for each complete message, which is freed after the call. */
typedef void (*link_message_fn)(void *ctx, struct link *link,
				const Envelope *message);

/**
 * Starts to connect to an address. The socket becomes writable when connecting
 * succeeded or failed.
 *
 * @return a link, for link_destroy(), or NULL when connecting fails at once
 */
struct link *link_connect(const struct sockaddr_in *addr);

/**
 * Creates a link from an accepted connection.
 *
 * @param fd the connection's socket; closed by link_destroy()
 */
struct link *link_accepted(int fd);

/** Closes the connection and frees the link; accepts NULL. */
void link_destroy(struct link *link);

/** Returns the link's socket, for polling. */
int link_fd(const struct link *link);

/** Returns whether queued bytes wait until the socket is writable. */
bool link_wants_write(const struct link *link);

/**
 * Queues a message and writes as much of the queue as the socket accepts.
 *
 * @return false when the link is broken, its queue full or the message too
 *         large; the caller must then destroy the link
 */
bool link_send(struct link *link, const Envelope *message);

/**
 * Writes queued bytes, reads available bytes and passes complete messages to
 * on_message.
 *
 * @return false when the link is closed or a frame is malformed; the caller
 * must then destroy the link
 */
bool link_run(struct link *link, link_message_fn on_message, void *ctx);

/** Reports the number of bytes sent and received, with length prefixes. */
void link_counts(const struct link *link, uint64_t *sent, uint64_t *received);

/** Returns the pointer set by link_set_data(); NULL at first. */
void *link_data(const struct link *link);
/** Attaches a pointer to the link, for its user. The link does not free it. */
void link_set_data(struct link *link, void *data);

#endif
