/**
 * Which of a service's upstreams one router uses. With few routers it is all.
 * With many, each upstream is used by about SUBSET_ROUTERS of them: a router
 * then sends often enough to each to judge it, and an upstream's connections
 * suffice. Rendezvous hashing: a change of the lists moves few pairs.
 */
#ifndef UPSTREAM_SUBSET_H
#define UPSTREAM_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Routers that use one upstream. */
#define SUBSET_ROUTERS 12
/** A router uses at least this many upstreams, if there are. */
#define SUBSET_MIN 12

/** The rank of a pair; higher goes first. */
uint64_t subset_rank(struct str router, struct str upstream);

/**
 * Tells whether a router is among the SUBSET_ROUTERS that rank highest for an
 * upstream. A router that uses fewer than SUBSET_MIN by this rule adds those
 * that rank highest for itself.
 *
 * @param routers ids of all routers; the router itself need not be listed
 */
bool subset_uses(struct str router, struct str upstream,
		 const struct str *routers, size_t count);

#endif
