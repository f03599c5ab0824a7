/**
 * Orders about keys to upstreams: grants and releases. Each ends within a time
 * that is shorter than the time left on the lease when it was given.
 *
 * All grants to an upstream go over one connection, one after the other: as
 * long as it stands, the same life answers.
 */
#ifndef ENTRY_ORDERS_H
#define ENTRY_ORDERS_H

#include "directory/protocol.h"
#include "entry/links.h"
#include "keys/key_allocator.h"

/** Longest time of a grant; the lease must last longer when it is given. */
#define ORDER_S 0.5

struct orders;

struct orders_ops {
	/** Whether orders may be given now. */
	bool (*may_order)(void *ctx);
	/** An upstream's connection for grants broke. */
	void (*broken)(void *ctx, const char *upstream);
	/** A new connection for grants is opened. */
	void (*reconnects)(void *ctx, const char *upstream);
};

typedef void (*order_done_fn)(void *ctx, uint32_t order,
			      enum order_result result, const char *handover);

/** @param ops lives as long as the orders */
struct orders *orders_create(struct loop *loop, struct links *links,
			     const struct protocol *protocol,
			     const struct orders_ops *ops, void *ctx);

/** Breaks all orders off without telling what became of them. */
void orders_destroy(struct orders *orders);

/** Breaks off all orders and closes their connections, without telling. */
void orders_cancel(struct orders *orders);

/** Sends a grant; done() follows, maybe from within the call. */
void orders_grant(struct orders *orders, struct upstream *upstream,
		  const struct key_order *order, order_done_fn done, void *ctx);

/** Sends a release; done() follows. */
void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct key_order *order, order_done_fn done,
		    void *ctx);

#endif
