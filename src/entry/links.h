/**
 * Connections to upstreams: taken from the idle ones or opened, given back when
 * an answer is complete, closed when it isn't.
 */
#ifndef ENTRY_LINKS_H
#define ENTRY_LINKS_H

#include <stdbool.h>

#include "entry/roster.h"
#include "net/http_channel.h"

struct link;

struct link_ops {
	/** As http_channel_ops; false: the answer is of another request. */
	bool (*reply)(void *user, const struct http_reply *reply);
	/** The connection is gone; the link must not be used after. */
	void (*ended)(void *user, enum http_channel_end end);
};

struct link_request {
	struct str message;
	/** The answer has no body, as to HEAD. */
	bool head_only;
	/** Not over a connection that may be about to be closed. */
	bool avoid_stale;
};

struct links;

/** Creates it without connections. */
struct links *links_create(struct loop *loop, const struct roster *roster);
void links_destroy(struct links *links);

/** Whether a request could be sent without waiting for a connection. */
bool links_has_capacity(const struct links *links,
			const struct upstream *upstream);

/**
 * Sends a request.
 *
 * @param request its bytes and how they are sent
 * @param ops for this request
 * @param user passed to the operations
 */
struct link *links_send(struct links *links, struct upstream *upstream,
			const struct link_request *request,
			const struct link_ops *ops, void *user);

/** Closes a link whose answer is not awaited any more. */
void link_close(struct link *link);

/** Whether bytes of the request may have been sent. */
bool link_sent(const struct link *link);

/** Closes an upstream's idle connections. */
void links_close_idle(struct links *links, struct upstream *upstream);

/** Closes connections that have been idle for too long. */
void links_tick(struct links *links);

#endif
