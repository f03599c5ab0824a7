/**
 * Which of a service's upstreams one router uses. With few routers it is all.
 * With many, each upstream is used by about SUBSET_ROUTERS of them: a router
 * then sends often enough to each to judge it, and an upstream's connections
 * suffice. Rendezvous hashing: a change of the lists moves few pairs.
 */
#ifndef UPSTREAM_SUBSET_H
#define UPSTREAM_SUBSET_H

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Routers that use one upstream. */
#define SUBSET_ROUTERS 12
/** A router uses at least this many upstreams. */
#define SUBSET_MIN 12

/**
 * How many upstreams one router uses.
 *
 * @param upstreams listed
 * @param routers that send to them
 */
size_t subset_size(size_t upstreams, size_t routers);

/**
 * The rank of a pair; a router uses the upstreams with the highest ranks.
 * An upstream in the router's own zone ranks above others until half of the
 * subset is filled; see subset_size().
 */
uint64_t subset_rank(struct str router, struct str upstream);

#endif
