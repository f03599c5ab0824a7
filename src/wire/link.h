/**
 * One framed TCP connection between two of our processes: four bytes of
 * length, big endian, then an Envelope. Never blocks.
 */
#ifndef WIRE_LINK_H
#define WIRE_LINK_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "wire/auburn.pb-c.h"

/** Largest frame, without its length. */
#define LINK_FRAME_MAX_BYTES (16u << 20)
/** A peer that reads more slowly than this much is cut off. */
#define LINK_QUEUE_MAX_BYTES (64u << 20)

struct link;

/** Called for each whole message; it is freed after the call. */
typedef void (*link_message_fn)(void *ctx, struct link *link,
				const Envelope *message);

/**
 * Begins to connect.
 *
 * @return a link, or NULL when not even that worked
 */
struct link *link_connect(const struct sockaddr_in *addr);

/**
 * Takes over an accepted connection.
 *
 * @param fd its descriptor; closed by link_destroy()
 */
struct link *link_accepted(int fd);

/** Closes and frees. */
void link_destroy(struct link *link);

/** The descriptor, for waiting. */
int link_fd(const struct link *link);

/** Whether it waits for room to write. */
bool link_wants_write(const struct link *link);

/**
 * Queues a message and writes what fits.
 *
 * @return false when the link is broken or its queue full; destroy it then
 */
bool link_send(struct link *link, const Envelope *message);

/**
 * Writes what is queued, reads what is there and hands over whole messages.
 *
 * @return false when the link is broken; destroy it then
 */
bool link_run(struct link *link, link_message_fn on_message, void *ctx);

/** Bytes sent and received, frames' lengths included. */
void link_counts(const struct link *link, uint64_t *sent, uint64_t *received);

/** The user's own pointer. */
void *link_data(const struct link *link);
void link_set_data(struct link *link, void *data);

#endif
