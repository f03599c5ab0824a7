/**
 * The rules of an upstream that takes orders, as in docs/protocols.md: what a
 * fenced upstream promises, holds and refuses. No I/O; the clock's readings are
 * passed in. One fence stands for one cell on one upstream.
 */
#ifndef FENCE_H
#define FENCE_H

#include "ownership/order_defs.h"

/** Rules that a test can break. */
enum fence_fault {
	FENCE_FAULT_NONE,
	/** A grant counts from its arrival, not from its anchor. */
	FENCE_FAULT_FROM_ARRIVAL,
	/** A grant of a lower epoch is accepted. */
	FENCE_FAULT_IGNORE_EPOCH,
	/** A grant of a lower ballot is accepted. */
	FENCE_FAULT_IGNORE_BALLOT,
};

struct fence;

/**
 * Creates the state of an upstream that has just started.
 *
 * @param cell name of the cell; orders for others are refused
 * @param boot its incarnation; copied
 * @param fences false: it does not check who orders and lets no grant expire
 * @param now_us its monotonic clock
 */
struct fence *fence_create(struct str cell, struct str boot, bool fences,
			   int64_t now_us);

void fence_destroy(struct fence *f);

/** Forgets everything, as a restart does. */
void fence_restart(struct fence *f, struct str boot, int64_t now_us);

/** Breaks a rule. */
void fence_set_fault(struct fence *f, enum fence_fault fault);

/**
 * Carries out an order.
 *
 * @param reply its state afterwards; boot is valid until the next restart. The
 *        load is left alone.
 */
void fence_order(struct fence *f, const struct order *order, int64_t now_us,
		 struct order_reply *reply);

/** Reports its state without an order. */
void fence_report(const struct fence *f, int64_t now_us,
		  struct order_reply *reply);

/** Whether it holds a live grant that covers a hash. */
bool fence_holds(const struct fence *f, uint64_t hash, int64_t now_us);

/**
 * Whether it runs a request.
 *
 * @param epoch epoch of the slice in the router's map
 */
bool fence_serves(const struct fence *f, uint64_t hash, uint64_t epoch,
		  int64_t now_us);

/** The highest epoch it remembers. */
uint64_t fence_epoch(const struct fence *f);

/**
 * The ranges of its live grant.
 *
 * @param count set to their number; 0 without a grant
 * @return ranges that are valid until the next order
 */
const struct hash_range *fence_ranges(const struct fence *f, int64_t now_us,
				      size_t *count);

#endif
