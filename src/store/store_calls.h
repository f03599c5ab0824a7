/**
 * Counts calls to the store by table and reason, as metrics. With many VMs, the
 * reasons show which calls grow with the fleet.
 */
#ifndef STORE_STORE_CALLS_H
#define STORE_STORE_CALLS_H

#include "base/metrics.h"

struct store_calls;

/**
 * Creates counters without any call.
 *
 * @param metrics registry of the counters; must outlive them
 */
struct store_calls *store_calls_create(struct metrics *metrics);

/** Frees the counters; NULL is allowed. */
void store_calls_destroy(struct store_calls *calls);

/**
 * Counts one call.
 *
 * @param calls NULL: the call isn't counted
 * @param reason why the call is made: one word, a string literal
 */
void store_calls_count(struct store_calls *calls, const char *table,
		       const char *reason);

#endif
