/**
 * What the files of the key_allocator share. Private to them.
 */
#ifndef KEYS_KEEPER_IMPL_H
#define KEYS_KEEPER_IMPL_H

#include "keys/key_allocator.h"

enum phase {
	/** The owner has it, or is being given it. */
	PHASE_HELD,
	/** The owner was asked to stop working on it. */
	PHASE_RELEASING,
	/** Grants of an owner that can't be asked run out. */
	PHASE_WAITING,
	/** The map with the next owner is to be saved. */
	PHASE_SAVING,
};

/** A span and what this leader knows of its holders. */
struct holding {
	struct key_span span;
	enum phase phase;
	/** The next owner, from PHASE_RELEASING on; NULL: not chosen. */
	const char *next_owner;
	int64_t next_started_ms;
	char *handover;
	/** Latest end of grants that were answered, or of earlier leaders. */
	double held_until_s;
	/** Latest end of grants without an answer. A release ends them too: its
	 * token is higher, and an order does not outlive the process that it
	 * reached. */
	double unanswered_until_s;
	double next_order_s;
	/** The order in progress; 0: none. */
	uint32_t order;
	double order_hold_s;
	unsigned int misses;
	/** The owner took it from this leader. */
	bool granted;
	/** The token may have reached an upstream. */
	bool sent;
	/** The next grant needs a new token: another life may answer. */
	bool renew_token;
	/** It is given to its owner again; requests go on meanwhile. */
	bool keeps_owner;
	/** Is part of the save in progress. */
	bool in_save;
};

struct key_allocator {
	const struct key_allocator_ops *ops;
	void *ctx;
	/** Of struct holding, sorted by key. */
	GArray *holdings;
	struct key_load *load;
	uint64_t fence;
	uint32_t next_order;
	bool saving;
	bool save_wanted;
	double save_at_s;
	double balanced_s;
	/** As last passed to key_allocator_tick(). */
	const struct key_candidate *candidates;
	size_t candidate_count;
};

static inline struct holding *keeper_at(struct key_allocator *key_allocator,
					guint i)
{
	return &g_array_index(key_allocator->holdings, struct holding, i);
}

/** Begins to move a span to another owner. */
void key_allocator_move(struct key_allocator *key_allocator,
			struct holding *holding, const struct key_candidate *to,
			const char *reason);

/** The candidate with the least load for its weight, or NULL. */
const struct key_candidate *
key_allocator_least_loaded(struct key_allocator *key_allocator);

/** Moves load from busy owners to others; cuts and merges spans. */
void key_allocator_balance(struct key_allocator *key_allocator, double now_s);

#endif
