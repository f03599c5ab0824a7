/**
 * Orders of a cell's coordinator, as JSON, given to the rules of a fenced
 * upstream. Thread safe.
 */
#ifndef UPSTREAM_GRANTS_H
#define UPSTREAM_GRANTS_H

#include <stdbool.h>
#include <stdint.h>

#include "upstream_record.h"

struct grants;

/**
 * Creates the state of an upstream that has just started.
 *
 * @param cell its service
 * @param boot its incarnation
 * @param fences whether it checks who orders
 * @param record told of each grant; outlives this
 */
struct grants *grants_create(const char *cell, const char *boot, bool fences,
			     struct record *record);

void grants_destroy(struct grants *grants);

/** Starts or stops checking; forgets what was promised and held. */
void grants_set_fencing(struct grants *grants, bool fences);

/**
 * Carries out an order.
 *
 * @param body the order as JSON
 * @param load told in the answer
 * @return the answer as JSON, which the caller frees with g_free(); NULL when
 *         the order is malformed
 */
char *grants_apply_order(struct grants *grants, struct str body,
			 const struct upstream_load *load);

/** Whether it runs a request of this hash, sent under this epoch, now. */
bool grants_allow(struct grants *grants, uint64_t hash, uint64_t epoch);

/** The highest epoch it remembers. */
uint64_t grants_epoch(struct grants *grants);

#endif
