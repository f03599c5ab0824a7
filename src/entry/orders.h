/**
 * Sends orders about keys to upstreams: a grant lets an upstream own a key
 * range for some time, a release takes a range back. A grant is sent only if
 * the leader's lease outlasts the grant's timeout.
 *
 * Answers to orders carry no id, and an upstream may send a second copy of an
 * answer where the connection's next answer is expected. So an answer is beyond
 * doubt only if it is the first on its connection. What a wrongly believed
 * answer does decides which connection an order gets:
 *
 * - A release gets a connection of its own, which carries nothing else: if its
 *   answer were believed too early, the keys would get a second owner.
 * - All grants to an upstream go over one connection, one at a time: while it
 *   is open, the same incarnation of the upstream answers. A later answer is
 *   believed if it says that the grant is in force, which keeps the keys with
 *   the owner. One that says that the grant has no effect, and one answer too
 *   many, end the connection and are reported with doubted().
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

/** Functions that the sender calls; upstreams are given by their ids. */
struct orders_ops {
	/** Whether this VM's lease lasts long enough to send an order. */
	bool (*may_send_orders)(void *ctx);
	/** Called when the grant connection to an upstream broke or a grant
	 * timed out, and when it isn't open for a grant that may not use a new
	 * connection. */
	void (*disconnected)(void *ctx, const char *upstream);
	/** Called before a new grant connection to an upstream is opened. */
	void (*reconnecting)(void *ctx, const char *upstream);
	/** Called before disconnected() when earlier answers on the grant
	 * connection may have been those to still earlier grants, so that
	 * grants may have taken effect later than they were answered. */
	void (*doubted)(void *ctx, const char *upstream);
};

/**
 * Called once for each order that isn't cancelled, with its result. May not
 * cancel or send orders.
 *
 * @param order id of the order
 * @param handover hand-over token in the answer to a release, to be sent with
 *        the grant to the next owner; NULL if there is none; valid during the
 *        call
 */
typedef void (*order_done_fn)(void *ctx, uint32_t order,
			      enum order_result result, const char *handover);

/**
 * Creates a sender of orders without connections.
 *
 * @param ops must outlive the sender, as must loop, links and protocol
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

/** Queues a grant to an upstream; done() gets its result later, or from within
 * this call. */
void orders_grant(struct orders *orders, struct upstream *upstream,
		  const struct key_order *order, order_done_fn done, void *ctx);

/** Queues a release for an upstream; done() gets its result later, or from
 * within this call. */
void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct key_order *order, order_done_fn done,
		    void *ctx);

#endif
