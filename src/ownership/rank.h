/**
 * Ranks daemons as coordinators of a cell by rendezvous hashing: cells spread
 * evenly, and few change their coordinator when daemons come and go.
 */
#ifndef OWNERSHIP_RANK_H
#define OWNERSHIP_RANK_H

#include <stdint.h>

#include "base/str.h"

/** Number of daemons, those of highest rank, that watch each other and may
 * become a cell's coordinator. */
#define RANK_CANDIDATES 4

/**
 * The weight of a daemon for a cell; the daemon with the highest ranks first.
 *
 * @param cell the cell's name
 * @param daemon the daemon's id
 */
uint64_t rank_weight(struct str cell, struct str daemon);

#endif
