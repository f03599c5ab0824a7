/**
 * Lowers the weights of upstreams that limit their requests, so that each gets
 * keys with no more requests than it takes, and the others get the rest.
 */
#ifndef KEYS_KEY_CAPACITY_H
#define KEYS_KEY_CAPACITY_H

#include "keys/key_allocator.h"

/**
 * Adjusts the weights of candidates to their limits.
 *
 * @param candidates their weights are changed; each weight is positive
 * @param limits requests per second that each candidate takes, in the same
 *        order; negative: no limit
 * @param requests_per_s requests per second for all keys together
 */
void key_capacity_apply_limits(struct key_candidate *candidates,
			       const double *limits, size_t count,
			       double requests_per_s);

/** What is known of an upstream that serves keys. */
struct key_server {
	/** Requests that it runs at a time. */
	double slots;
	/** Its execution time, relative to the usual one. */
	double slowness;
	/** Share of its requests, from 0 to 1, that it refuses or fails. */
	double failures;
	/** Factor, up to 1, on its capacity; lower while it is cold. */
	double capacity_factor;
};

/**
 * Sets the weights of candidates so that requests are answered fast: while
 * there is capacity to spare, most keys go to the upstreams that execute
 * requests fastest and fail fewest; as demand rises, the others get more, until
 * all are used in proportion to their capacity. Each gets some keys.
 *
 * @param servers one for each candidate, in the same order
 * @param demand capacity that is in use, as the number of slots of upstreams
 *        with the usual execution time
 */
void key_capacity_set_weights(struct key_candidate *candidates,
			      const struct key_server *servers, size_t count,
			      double demand);

#endif
