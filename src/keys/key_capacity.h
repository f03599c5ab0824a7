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

#endif
