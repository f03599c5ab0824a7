/**
 * Orders to the cell's upstreams, their replies, and when a slice may be
 * granted to its owner. A prepare asks an upstream to accept the ballot; a
 * grant leases slices to it.
 */
#ifndef OWNERSHIP_GRANTS_H
#define OWNERSHIP_GRANTS_H

#include "ownership/coordinator_impl.h"

/** Sends the orders that are due in the current phase. */
void grants_step(struct coordinator *c, int64_t now);

/** Makes an order to every upstream due at once. */
void grants_send_all_now(struct coordinator *c);

/** Handles an upstream's reply to an order. */
void grants_on_reply(struct coordinator *c, uint64_t request,
		     const struct order_reply *reply);

/** Handles an order that got no reply. */
void grants_on_no_reply(struct coordinator *c, uint64_t request);

/**
 * Derives the states of a new row's slices from those of the current row.
 *
 * @param next the row that replaces the current one
 * @param own this daemon made it from the current row
 */
void grants_carry_over(struct coordinator *c, const struct slice_map *next,
		       bool own);

/** The state of a slice, by its index in the map. */
struct slice_state *grants_state(const struct coordinator *c, size_t slice);

/**
 * Whether an upstream can't hold any grant made before an epoch.
 *
 * @param epoch at which a slice changed its owner
 */
bool grants_released(const struct coordinator *c, const struct cell_upstream *u,
		     uint64_t epoch, int64_t now);

/** Whether the upstream reported exactly the grant that it should hold. */
bool grants_held(const struct coordinator *c, const struct cell_upstream *u);

#endif
