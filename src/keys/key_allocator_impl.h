/**
 * Declarations shared by the key allocator's source files, private to them.
 */
#ifndef KEYS_KEY_ALLOCATOR_IMPL_H
#define KEYS_KEY_ALLOCATOR_IMPL_H

#include "keys/key_allocator.h"

enum phase {
	/** The owner holds the range, or it is being granted. */
	PHASE_HELD,
	/** The owner is asked to release the range. */
	PHASE_RELEASING,
	/** The owner does not answer: waits until its grants expire. */
	PHASE_WAITING,
	/** Waits until the map with the next owner is saved. */
	PHASE_SAVING,
};

/** A key range, its move in progress, and when its grants expire. */
struct span_state {
	struct key_span span;
	enum phase phase;
	/** The next owner, from PHASE_RELEASING on; NULL if not chosen. */
	const char *next_owner;
	int64_t next_started_ms;
	/** Hand-over token from the release, for the next owner; or NULL. */
	char *handover;
	/** Latest expiry of acknowledged grants and of inherited ones. */
	double granted_until_s;
	/** Latest expiry of grants that were not answered. A release ends these
	 * grants too: its fencing token is higher, and an order does not
	 * outlive the process that received it. */
	double unconfirmed_until_s;
	/** Earliest time of the next grant or release. */
	double next_order_s;
	/** Id of the order in progress; 0 if none. */
	uint32_t order;
	double order_hold_s;
	/** Consecutive orders that were not sent or not answered. */
	unsigned int failed_orders;
	/** The owner acknowledged a grant under the current token. */
	bool granted;
	/** The current fencing token may have reached an upstream. */
	bool sent;
	/** The next grant needs a new fencing token, because another
	 * incarnation may answer. */
	bool needs_new_fence;
	/** The range is granted to its owner again, under a new token.
	 * Requests are still routed to the owner. */
	bool same_owner;
	/** The save in progress contains the next owner. */
	bool in_save;
};

struct key_allocator {
	const struct key_allocator_ops *ops;
	void *ctx;
	/** Of struct span_state, sorted by key. */
	GArray *span_states;
	struct key_load *load;
	/** Highest fencing token issued. */
	uint64_t fence;
	uint32_t next_order;
	bool saving;
	bool save_wanted;
	/** Earliest next save, after a failed one. */
	double save_at_s;
	/** Time of the last balancing round. */
	double balanced_s;
	/** Set during key_allocator_tick() only. */
	const struct key_candidate *candidates;
	size_t candidate_count;
};

static inline struct span_state *span_state_at(struct key_allocator *allocator,
					       guint i)
{
	return &g_array_index(allocator->span_states, struct span_state, i);
}

/** Starts to move a key range to another owner. */
void key_allocator_move(struct key_allocator *allocator,
			struct span_state *state,
			const struct key_candidate *to, const char *reason);

/** Returns the candidate with the least load per weight, or NULL. */
const struct key_candidate *
key_allocator_least_loaded(struct key_allocator *allocator);

/** Balances load between the candidates: starts to move key ranges, and splits
 * and merges them. Does nothing until the next balancing round is due. */
void key_allocator_balance(struct key_allocator *allocator, double now_s);

#endif
