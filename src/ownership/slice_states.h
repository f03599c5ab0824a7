/**
 * Tracks which slices may be granted to their owner: those that no other
 * upstream can hold.
 */
#ifndef OWNERSHIP_SLICE_STATES_H
#define OWNERSHIP_SLICE_STATES_H

#include "ownership/coordinator_impl.h"

/** Marks slices that became safe to grant. */
void slice_states_update(struct coordinator *c, int64_t now);

/**
 * Marks an owner's slices as safe if its reply shows that it holds all of them
 * under their epochs: the coordinator that granted them had verified it.
 */
void slice_states_confirm(struct coordinator *c, struct cell_upstream *u,
			  const struct order_reply *reply);

#endif
