/**
 * Tracks which slices of the known row are safe to grant to their owner: those
 * that no other upstream can hold.
 */
#ifndef OWNERSHIP_SLICE_STATES_H
#define OWNERSHIP_SLICE_STATES_H

#include "ownership/coordinator_impl.h"

/** The state of a slice of the known row, by its index in the map. */
struct slice_state *slice_state_at(const struct coordinator *c, size_t slice);

/**
 * Derives the states of a new row's slices from those of the current row.
 *
 * @param next the row that replaces the current one
 * @param own this daemon made the new row from the current one
 */
void slice_states_carry_over(struct coordinator *c,
			     const struct slice_map *next, bool own);

/**
 * Whether an upstream can't hold any grant made before an epoch.
 *
 * @param epoch at which a slice changed its owner
 */
bool upstream_released(const struct coordinator *c,
		       const struct cell_upstream *u, uint64_t epoch,
		       int64_t now);

/** Marks the slices that have become safe to grant; the next orders to their
 * owners become due at once. */
void slice_states_update(struct coordinator *c, int64_t now);

/**
 * Marks an owner's slices as safe if the owner's reply shows that it holds all
 * of them under their epochs: the coordinator that granted them had verified
 * that no other upstream held them.
 */
void slice_states_confirm(struct coordinator *c, struct cell_upstream *u,
			  const struct order_reply *reply);

#endif
