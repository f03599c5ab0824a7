/**
 * Sends orders about keys to upstreams: grants and releases. An order is sent
 * only if the leader's lease outlasts the timeout of a grant.
 *
 * All grants to an upstream go over one connection, one at a time: while it is
 * open, the same incarnation of the upstream answers.
 */
#ifndef ENTRY_ORDERS_H
#define ENTRY_ORDERS_H

#include "directory/protocol.h"
#include "entry/links.h"
#include "keys/key_allocator.h"

/** Timeout of a grant, in seconds. The leader's lease must last at least this
 * long when a grant is sent. */
#define GRANT_TIMEOUT_S 0.5

struct orders;

struct orders_ops {
	/** Whether this VM's lease lasts long enough to send an order. */
	bool (*may_send_orders)(void *ctx);
	/** Called when the grant connection to an upstream broke, or is needed
	 * for a grant that may not use a new one. */
	void (*disconnected)(void *ctx, const char *upstream);
	/** Called when a new grant connection to an upstream is opened. */
	void (*reconnecting)(void *ctx, const char *upstream);
};

/**
 * Called once for each order that isn't cancelled, with its result.
 *
 * @param order id of the order
 * @param handover token from a release's answer, or NULL; valid in the call
 */
typedef void (*order_done_fn)(void *ctx, uint32_t order,
			      enum order_result result, const char *handover);

/**
 * Creates a sender of orders without connections.
 *
 * @param ops lives as long as the sender
 * @param ctx passed to the operations
 * @return freed with orders_destroy()
 */
struct orders *orders_create(struct loop *loop, struct links *links,
			     const struct protocol *protocol,
			     const struct orders_ops *ops, void *ctx);

/** Cancels all orders without calling done() and frees; NULL is allowed. */
void orders_destroy(struct orders *orders);

/** Cancels all orders and closes their connections, without calling done(). */
void orders_cancel(struct orders *orders);

/** Queues a grant; done() is called later or from within the call. */
void orders_grant(struct orders *orders, struct upstream *upstream,
		  const struct key_order *order, order_done_fn done, void *ctx);

/** Sends a release; done() is called later. */
void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct key_order *order, order_done_fn done,
		    void *ctx);

#endif
