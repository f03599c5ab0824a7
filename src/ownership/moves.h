/**
 * Plans the cell's next row: moves slices away from owners that are leaving,
 * out of service or lost, adds and removes upstreams, and balances load.
 */
#ifndef OWNERSHIP_MOVES_H
#define OWNERSHIP_MOVES_H

#include "ownership/coordinator_impl.h"

/** Plans the next row and begins to write it, if it differs from the current
 * one and nothing is pending. */
void moves_step(struct coordinator *c, int64_t now);

/** Number of slices of the known row that must get another owner. */
size_t moves_wanted(const struct coordinator *c, int64_t now);

/** Why moves are paused, as static text; "" when they are not. */
const char *moves_paused(const struct coordinator *c, int64_t now);

#endif
