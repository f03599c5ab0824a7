/**
 * All links of one process: a listening socket, accepted links, and links that
 * are opened again whenever they break. One thread owns a hub. It waits on
 * hub_fd() together with whatever else it waits on.
 */
#ifndef WIRE_HUB_H
#define WIRE_HUB_H

#include <glib.h>
#include <netinet/in.h>

#include "base/clock.h"
#include "wire/link.h"

struct hub;

struct hub_ops {
	/** A link is there; outgoing when this side opened it. */
	void (*opened)(void *ctx, struct link *link, bool outgoing);
	/** A whole message came; it is freed after the call. */
	void (*message)(void *ctx, struct link *link, const Envelope *message);
	/** A link broke; it is freed after the call. */
	void (*closed)(void *ctx, struct link *link);
};

/**
 * Creates a hub.
 *
 * @param clock lives as long as the hub
 * @param ops lives as long as the hub
 * @param ctx handed to every operation
 */
struct hub *hub_create(const struct clock *clock, const struct hub_ops *ops,
		       void *ctx);

/** Closes all links, calling closed for each, and frees. */
void hub_destroy(struct hub *hub);

/**
 * Listens for links.
 *
 * @param addr where; port 0 takes a free one
 * @param bound set to the address taken
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
bool hub_listen(struct hub *hub, const struct sockaddr_in *addr,
		struct sockaddr_in *bound, GError **error);

/**
 * Keeps a link to an address from now on. Does nothing when there is one.
 */
void hub_add_peer(struct hub *hub, const struct sockaddr_in *addr);

/** Stops keeping a link to an address and closes it. */
void hub_remove_peer(struct hub *hub, const struct sockaddr_in *addr);

/** A descriptor that is readable when hub_run() has something to do. */
int hub_fd(const struct hub *hub);

/** Handles what is ready and opens links that are due; never blocks. */
void hub_run(struct hub *hub);

/**
 * Sends on one link. A link that fails is closed at the next hub_run().
 */
void hub_send(struct hub *hub, struct link *link, const Envelope *message);

/** What was sent of one kind of message. */
struct hub_count {
	uint64_t messages;
	uint64_t bytes;
};

/**
 * Counts by kind, for metrics.
 *
 * @param kind a member of the envelope's body_case
 */
struct hub_count hub_sent(const struct hub *hub, Envelope__BodyCase kind);

/** Whether this side opened the link. */
bool hub_is_outgoing(const struct hub *hub, const struct link *link);

/** Calls visit for every open link. */
void hub_foreach(struct hub *hub, void (*visit)(void *ctx, struct link *link),
		 void *ctx);

#endif
