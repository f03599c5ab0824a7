/**
 * Manages all links of a process: a listening socket, accepted links, and links
 * to peers, which are reconnected whenever they break. One thread owns a hub
 * and polls hub_fd() in its event loop.
 */
#ifndef WIRE_HUB_H
#define WIRE_HUB_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "wire/link.h"

struct hub;

/** Callbacks to the hub's owner. */
struct hub_ops {
	/** A link was established; outgoing is set if this side opened it. */
	void (*opened)(void *ctx, struct link *link, bool outgoing);
	/** A complete message arrived; the message is freed after the call. */
	void (*message)(void *ctx, struct link *link, const Envelope *message);
	/** An established link broke or is being closed; the link is freed
	 * after the call. */
	void (*closed)(void *ctx, struct link *link);
};

/**
 * Creates a hub without links.
 *
 * @param clock must outlive the hub
 * @param ops must outlive the hub
 * @param ctx passed to every callback
 */
struct hub *hub_create(const struct clock *clock, const struct hub_ops *ops,
		       void *ctx);

/** Closes all links, calling closed for each, and frees the hub. */
void hub_destroy(struct hub *hub);

/**
 * Starts to accept links on an address.
 *
 * @param addr address to bind; port 0 picks a free port
 * @param bound set to the bound address
 * @param error set to AUBURN_ERROR_UNAVAILABLE when listening fails
 * @return false on failure
 */
bool hub_listen(struct hub *hub, const struct sockaddr_in *addr,
		struct sockaddr_in *bound, GError **error);

/**
 * Adds a peer: hub_run() opens a link to its address and reopens it when it
 * breaks. Does nothing when the peer was added before.
 */
void hub_add_peer(struct hub *hub, const struct sockaddr_in *addr);

/** Removes a peer. Its link is closed at the end of the next hub_run(). */
void hub_remove_peer(struct hub *hub, const struct sockaddr_in *addr);

/** Returns a descriptor that is readable when hub_run() has work. */
int hub_fd(const struct hub *hub);

/**
 * Handles ready links, accepts new ones and reconnects peers, without blocking.
 * Call it regularly even when hub_fd() is not readable: reconnecting has no
 * timer.
 */
void hub_run(struct hub *hub);

/**
 * Queues a message on a link. If the link fails or its queue is full, the next
 * hub_run() closes it. Does nothing on a link that is broken already.
 */
void hub_send(struct hub *hub, struct link *link, const Envelope *message);

/** Number and size of the sent messages of one kind. */
struct hub_count {
	uint64_t messages;
	/** Sum of the packed sizes, without length prefixes. */
	uint64_t bytes;
};

/**
 * Returns number and size of the sent messages of one kind, for metrics,
 * including messages that hub_send() could not queue.
 *
 * @param kind the message's body_case
 */
struct hub_count hub_sent(const struct hub *hub, Envelope__BodyCase kind);

/** Returns whether this side opened the link; false if the hub has no such
 * link.
 */
bool hub_is_outgoing(const struct hub *hub, const struct link *link);

/** Calls visit for every established link that is not broken. */
void hub_foreach(struct hub *hub, void (*visit)(void *ctx, struct link *link),
		 void *ctx);

#endif
