/**
 * Upstream side of the ownership protocol in docs/protocols.md: the lowest
 * ballot that an upstream still accepts, the grant of key ranges that it holds,
 * and whether it accepts an order. Does no I/O; callers pass in the time,
 * now_us: the upstream's monotonic clock, in microseconds. One fence is the
 * state of one cell on one upstream.
 */
#ifndef FENCE_H
#define FENCE_H

#include "ownership/order_defs.h"

/** A protocol rule that a test can disable. */
enum fence_fault {
	FENCE_FAULT_NONE,
	/** A grant's duration is counted from the order's arrival, not from
	 * its anchor_us. */
	FENCE_FAULT_FROM_ARRIVAL,
	/** A grant with a lower epoch than that of an accepted order is
	 * accepted. */
	FENCE_FAULT_IGNORE_EPOCH,
	/** An order with a lower ballot than that of an accepted order is
	 * accepted. */
	FENCE_FAULT_IGNORE_BALLOT,
};

struct fence;

/**
 * Creates the state of an upstream that has just started.
 *
 * @param cell name of the cell, copied; orders for other cells are refused
 * @param boot incarnation of the upstream, copied
 * @param fences whether the upstream enforces the protocol; if false, ballots,
 *        epochs and incarnations are not checked and grants never expire
 * @return the state; free it with fence_destroy()
 */
struct fence *fence_create(struct str cell, struct str boot, bool fences,
			   int64_t now_us);

void fence_destroy(struct fence *f);

/**
 * Restarts the upstream: clears its promise, epoch and grant.
 *
 * @param boot the new incarnation, copied
 */
void fence_restart(struct fence *f, struct str boot, int64_t now_us);

/** Disables one rule from now on, in place of a rule disabled before. */
void fence_set_fault(struct fence *f, enum fence_fault fault);

/**
 * Accepts or refuses a coordinator's order.
 *
 * @param reply set to whether the order was accepted and to the state after
 *        it; boot is valid until the next restart, load fields are zero
 */
void fence_order(struct fence *f, const struct order *order, int64_t now_us,
		 struct order_reply *reply);

/** Sets a reply to the upstream's present state, as fence_order() does for an
 * order that it refuses. */
void fence_report(const struct fence *f, int64_t now_us,
		  struct order_reply *reply);

/** Returns whether the upstream has an unexpired grant for a key hash. */
bool fence_holds(const struct fence *f, uint64_t hash, int64_t now_us);

/**
 * Returns whether the upstream runs a request for a key hash.
 *
 * @param epoch epoch of the key's slice in the router's owner map; a fenced
 *        upstream needs a grant of at least this epoch
 */
bool fence_serves(const struct fence *f, uint64_t hash, uint64_t epoch,
		  int64_t now_us);

/** Returns the highest epoch accepted since the last restart; without fences,
 * the epoch of the last accepted order. */
uint64_t fence_epoch(const struct fence *f);

/**
 * Returns the key ranges of the unexpired grant.
 *
 * @param count set to the number of ranges; 0 without a grant
 * @return ranges, owned by the fence and valid until the next order or
 *         restart
 */
const struct hash_range *fence_ranges(const struct fence *f, int64_t now_us,
				      size_t *count);

#endif
