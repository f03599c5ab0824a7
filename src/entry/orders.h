/**
 * Orders about keys to upstreams: grants and releases. Each ends within a time
 * that is shorter than the time left on the lease when it was given.
 */
#ifndef ENTRY_ORDERS_H
#define ENTRY_ORDERS_H

#include "directory/protocol.h"
#include "entry/links.h"
#include "keys/keeper.h"

/** Longest time of an order; the lease must last longer when it is given. */
#define ORDER_S 0.5

typedef void (*order_done_fn)(void *ctx, uint32_t order,
			      enum order_result result, const char *handover);

struct orders;

/** An upstream's connection for orders broke: it may have restarted. */
typedef void (*order_broken_fn)(void *ctx, const char *upstream);

struct orders *orders_create(struct loop *loop, struct links *links,
			     const struct protocol *protocol,
			     order_broken_fn broken, void *ctx);

/** Notes that an idle connection for orders was broken by the upstream. */
void orders_idle_broken(struct orders *orders, const struct upstream *upstream);

/** Breaks all orders off without telling what became of them. */
void orders_destroy(struct orders *orders);

/** Breaks off the orders of one context. */
void orders_cancel(struct orders *orders, void *ctx);

/** Sends a grant; done() follows. */
void orders_grant(struct orders *orders, struct upstream *upstream,
		  const struct keeper_order *order, order_done_fn done,
		  void *ctx);

/** Sends a release; done() follows. */
void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct keeper_order *order, order_done_fn done,
		    void *ctx);

#endif
