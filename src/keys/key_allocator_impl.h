/**
 * Declarations shared by the key allocator's source files, private to them.
 */
#ifndef KEYS_KEY_ALLOCATOR_IMPL_H
#define KEYS_KEY_ALLOCATOR_IMPL_H

#include "keys/key_allocator.h"

/** Phases of moving a key range to another owner. */
enum phase {
	/** The owner holds the range, or it is being granted. */
	PHASE_HELD,
	/** The owner is asked to release the range. */
	PHASE_RELEASING,
	/** The range has no owner, or the owner does not answer and its grants
	 * must expire before there is a next one. */
	PHASE_WAITING,
	/** The map with the next owner must be saved before the next owner is
	 * granted the range. */
	PHASE_SAVING,
};

/** A key range, its move in progress, and when its grants expire. */
struct span_state {
	struct key_span span;
	enum phase phase;
	/** The next owner's id, interned, and the start time of its process.
	 * Valid from PHASE_RELEASING on; NULL while none is chosen. */
	const char *next_owner;
	int64_t next_started_ms;
	/** Hand-over token that the release returned, to be passed to the next
	 * owner; NULL if there is none. Owned. */
	char *handover;
	/** Latest expiry of acknowledged grants and of inherited ones. */
	double granted_until_s;
	/** Latest expiry of grants that were not answered. A release ends these
	 * grants too: its fencing token is higher, and an order does not
	 * outlive the upstream's process that received it. */
	double unconfirmed_until_s;
	/** Earliest time of the next grant or release. */
	double next_order_s;
	/** Id of the order in progress; 0 if none. */
	uint32_t order;
	/** Duration of the grant in progress; 0 for a release. */
	double order_hold_s;
	/** Duration of the last grant that was sent. */
	double grant_hold_s;
	/** Consecutive orders that were not sent or not answered. */
	unsigned int failed_orders;
	/** The owner acknowledged a grant under the current fencing token. */
	bool granted;
	/** The current fencing token may have reached an upstream. */
	bool token_sent;
	/** The next grant needs a new fencing token, because another
	 * incarnation may answer. */
	bool needs_new_fence;
	/** The range is being granted to its present owner again, under a new
	 * fencing token. Requests are still routed to the owner. */
	bool same_owner;
	/** The save in progress names the next owner. */
	bool in_save;
	/** The range moves to balance load; the present owner could keep it. */
	bool for_balance;
};

struct balance;

/** The key ranges of one service, as the leader allocates them. */
struct key_allocator {
	const struct key_allocator_ops *ops;
	void *ctx;
	/** The key ranges, as struct span_state, sorted by key. */
	GArray *span_states;
	/** Recent requests per key. */
	struct key_load *load;
	/** Highest fencing token issued. */
	uint64_t fence;
	/** Id of the next order. */
	uint32_t next_order;
	/** A save is in progress. */
	bool saving;
	/** The map has changed and must be saved. */
	bool save_wanted;
	/** Earliest time of the next save, which is set after a failed one. */
	double save_at_s;
	/** Until then nobody knows the owners, and the map, which has none,
	 * must not be saved: another leader would take it for the newest. */
	double owners_unknown_until_s;
	/** Time of the last balancing round. */
	double balanced_s;
	/** The candidates passed to key_allocator_tick(), borrowed; NULL when
	 * it does not run. */
	const struct key_candidate *candidates;
	size_t candidate_count;
	/** Loads of the candidates, computed at most twice in a tick; NULL
	 * outside. */
	struct balance *balance;
};

/** Returns a key range by its index; valid until ranges are split or merged. */
static inline struct span_state *span_state_at(struct key_allocator *allocator,
					       guint i)
{
	return &g_array_index(allocator->span_states, struct span_state, i);
}

/**
 * Starts to move a key range to another owner: asks the present one to release
 * it.
 *
 * @param to the next owner, or NULL to choose it later
 * @param reason one word for the log
 */
void key_allocator_move(struct key_allocator *allocator,
			struct span_state *state,
			const struct key_candidate *to, const char *reason);

/** Returns the candidate with the least load in proportion to its weight, as
 * the next owner of a key range, or NULL if there are no candidates. Later
 * calls of the same tick count the range for it. */
const struct key_candidate *
key_allocator_choose_owner(struct key_allocator *allocator,
			   const struct span_state *state);

/** Frees the loads that were computed in a tick. */
void key_allocator_forget_loads(struct key_allocator *allocator);

/** Balances load between the candidates: starts to move key ranges, and splits
 * and merges them. Does nothing until the next balancing round is due. */
void key_allocator_balance(struct key_allocator *allocator, double now_s);

#endif
