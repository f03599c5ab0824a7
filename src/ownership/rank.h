/**
 * Which daemons are placed best to coordinate a cell: rendezvous hashing, so
 * that cells spread evenly and few move when daemons come and go.
 */
#ifndef OWNERSHIP_RANK_H
#define OWNERSHIP_RANK_H

#include <stdint.h>

#include "base/str.h"

/** Daemons of a cell that watch each other and may stand: the best placed. */
#define RANK_CANDIDATES 4

/**
 * The place of a daemon for a cell; the highest goes first.
 */
uint64_t rank_weight(struct str cell, struct str daemon);

#endif
