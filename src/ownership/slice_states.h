/**
 * When a slice may be granted to its owner: once nobody else can hold it.
 */
#ifndef OWNERSHIP_SLICE_STATES_H
#define OWNERSHIP_SLICE_STATES_H

#include "ownership/coordinator_impl.h"

/** Marks the slices that became safe to grant. */
void slice_states_update(struct coordinator *c, int64_t now);

/**
 * Marks an owner's slices when its answer shows that it holds them all under
 * their epochs: whoever granted them had made sure.
 */
void slice_states_confirm(struct coordinator *c, struct cell_upstream *u,
			  const struct order_reply *reply);

#endif
