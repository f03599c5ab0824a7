/**
 * Pool of HTTP connections (links) to upstreams. Sending a request takes an
 * idle connection or opens one. The connection becomes idle when the answer is
 * complete, and is closed when the answer fails.
 */
#ifndef ENTRY_LINKS_H
#define ENTRY_LINKS_H

#include <stdbool.h>

#include "entry/roster.h"
#include "net/http_channel.h"

/** A connection to an upstream. */
struct link;

/** Functions that the pool calls with the outcome of a request. */
struct link_ops {
	/**
	 * Called with a complete answer, as in http_channel_ops.
	 *
	 * @return false when the answer belongs to another request; the link
	 *        then waits for the next answer
	 */
	bool (*reply)(void *user, const struct http_reply *reply);
	/**
	 * Called when the connection ended without an answer. The link has been
	 * freed. Not called after link_close().
	 */
	void (*ended)(void *user, enum http_channel_end end);
	/** Whether a request may still be sent whose connection took time to
	 * open, as in http_channel_ops. */
	bool (*may_send)(void *user);
};

/** A request to send. */
struct link_request {
	/** Head as it is sent, and body unless that is given apart. */
	struct str message;
	/** The body, which the connection refers to; NULL: none. */
	struct caller_body *body;
	/** The answer will have no body, because this is a HEAD request. */
	bool head_only;
	/**
	 * Don't use an idle connection that the upstream may be about to close.
	 */
	bool avoid_stale;
	/** Use a new connection: an earlier answer on an idle one may be
	 * repeated and taken for that of this request. */
	bool new_connection;
	/** Hash of the id by which the answer is known, or 0. Don't use a
	 * connection that lately carried a request with this id. */
	uint64_t id_hash;
};

/** The connections to all upstreams. */
struct links;

/** Functions that the pool calls with what it learns about upstreams. */
struct links_ops {
	/** Called when an upstream's port refused a connection: the upstream's
	 * process is gone. */
	void (*refused)(void *ctx, const struct upstream *upstream);
};

/**
 * Creates a pool without connections.
 *
 * @param budget limits the answers that are being received
 * @param ops must outlive the pool, as must loop, roster and budget
 * @param ctx passed to the operations
 */
struct links *links_create(struct loop *loop, const struct roster *roster,
			   struct byte_budget *budget,
			   const struct links_ops *ops, void *ctx);
/** Closes all connections without calling handlers, and frees the pool; NULL is
 * allowed. */
void links_destroy(struct links *links);

/**
 * Whether a request could be sent to an upstream at once, over an idle or a new
 * connection.
 */
bool links_has_capacity(const struct links *links,
			const struct upstream *upstream);

/**
 * Whether an idle connection to an upstream can be used.
 *
 * @param avoid_stale as in struct link_request
 */
bool links_has_idle(const struct upstream *upstream, bool avoid_stale);

/**
 * Sends a request to an upstream over an idle or a new connection.
 *
 * @param request the request's bytes and how to send them; the message is
 * copied
 * @param ops handlers for this request; must outlive it
 * @param user passed to the handlers
 * @return the connection; the pool owns it
 */
struct link *links_send(struct links *links, struct upstream *upstream,
			const struct link_request *request,
			const struct link_ops *ops, void *user);

/**
 * Finds out whether an upstream accepts connections: opens one, unless this was
 * done a moment ago. links_ops.refused() tells if the upstream's process is
 * gone; otherwise the connection becomes idle.
 */
void links_check(struct links *links, struct upstream *upstream);

/**
 * Closes and frees a connection whose answer is no longer awaited; no handler
 * is called.
 */
void link_close(struct link *link);

/** Whether another request was sent over the connection before this one. */
bool link_used_before(const struct link *link);

/** Has the connection closed after the present request. */
void link_retire(struct link *link);

/** Whether bytes of the request may have been sent. */
bool link_may_have_sent(const struct link *link);

/** Closes the connection that has been idle longest; returns false if none is
 * idle. */
bool links_close_longest_idle(struct links *links);

/** Closes an upstream's idle connections. */
void links_close_idle(struct links *links, struct upstream *upstream);

/** Closes connections that have been idle for so long that the upstream may be
 * about to close them. To be called several times a second. */
void links_tick(struct links *links);

#endif
