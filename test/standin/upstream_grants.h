/**
 * Applies the JSON orders of a cell's coordinator, which grant key ranges, to
 * the fencing rules of an upstream. A cell is the key space of one service.
 * Thread safe.
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
 * @param cell the service that the upstream runs
 * @param boot the upstream's incarnation id
 * @param fences whether to check an order's sender and let grants expire
 * @param record record to which every grant is added; must outlive the state
 * @return the state; free it with grants_destroy()
 */
struct grants *grants_create(const char *cell, const char *boot, bool fences,
			     struct record *record);

void grants_destroy(struct grants *grants);

/** Turns fencing on or off, and forgets accepted ballots, the epoch and the
 * grant as if the upstream had just started. */
void grants_set_fencing(struct grants *grants, bool fences);

/**
 * Applies an order.
 *
 * @param body the order as JSON
 * @param load load to report in the reply
 * @return the reply as JSON, to be freed with g_free(); NULL when the order is
 *         malformed
 */
char *grants_apply_order(struct grants *grants, struct str body,
			 const struct upstream_load *load);

/**
 * Returns whether the upstream may execute a request for a key hash now.
 *
 * @param epoch epoch of the key's owner in the router's owner map; must not be
 *        above the grant's while fencing is on
 */
bool grants_allow(struct grants *grants, uint64_t hash, uint64_t epoch);

/** Returns the highest epoch that the upstream has accepted, see
 * fence_epoch(). */
uint64_t grants_epoch(struct grants *grants);

#endif
