/**
 * What the cell's next row is to be: owners that leave, are out of service or
 * lost give up their slices, upstreams join and go, load is evened out.
 */
#ifndef OWNERSHIP_MOVES_H
#define OWNERSHIP_MOVES_H

#include "ownership/coordinator_impl.h"

/** Plans and begins the next row, when there is cause and nothing pending. */
void moves_step(struct coordinator *c, int64_t now);

/** Slices whose owner is to change. */
size_t moves_wanted(const struct coordinator *c, int64_t now);

/** Why moves are paused now: static text, "" when they are not. */
const char *moves_paused(const struct coordinator *c, int64_t now);

#endif
