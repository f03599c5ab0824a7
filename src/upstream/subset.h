/**
 * Subsetting: chooses the upstreams of a service that one router uses. With few
 * routers each uses all. With many, about SUBSET_ROUTERS routers use each
 * upstream, so that a router sends often enough to each of its upstreams to
 * detect stragglers, and an upstream's connections suffice. By rendezvous
 * hashing, a change of the lists changes few pairs of router and upstream.
 */
#ifndef UPSTREAM_SUBSET_H
#define UPSTREAM_SUBSET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Number of routers that use one upstream. Routers that would use fewer than
 * SUBSET_MIN upstreams come on top of it. */
#define SUBSET_ROUTERS 12
/** Fewest upstreams that a router uses, if there are as many. */
#define SUBSET_MIN 12

/** Returns the rank of an upstream for a router; higher is preferred. */
uint64_t subset_rank(struct str router, struct str upstream);

/**
 * Tells whether a router is among the SUBSET_ROUTERS that rank highest for an
 * upstream. The caller adds upstreams by subset_rank() to a router that uses
 * fewer than SUBSET_MIN by this rule.
 *
 * @param routers ids of all routers; the router itself need not be listed
 */
bool subset_uses(struct str router, struct str upstream,
		 const struct str *routers, size_t count);

#endif
