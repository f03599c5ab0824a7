/**
 * Balances load over a cell's upstreams by moving, splitting and merging
 * slices. It uses the requests that routers counted, never what upstreams
 * report, limits moves per minute, and ignores small imbalances.
 */
#ifndef OWNERSHIP_REBALANCER_H
#define OWNERSHIP_REBALANCER_H

#include "base/clock.h"
#include "ownership/coordinator_defs.h"
#include "ownership/row_plan.h"

/** Length of the windows over which requests are counted. */
#define REBALANCER_WINDOW_US (5 * US_PER_SECOND)
/** Percentage of the slices that may move per minute. */
#define REBALANCER_MOVED_PERCENT 20

struct rebalancer;

/** Creates a rebalancer without a map or load; the caller frees it with
 * rebalancer_destroy(). */
struct rebalancer *rebalancer_create(void);

/** Frees a rebalancer; NULL is allowed. */
void rebalancer_destroy(struct rebalancer *r);

/** Sets the cell's current row and takes a reference to it. The known load is
 * distributed over the slices of the new row. */
void rebalancer_set_map(struct rebalancer *r, struct slice_map *map);

/** Adds the counts of a load report to the current window. */
void rebalancer_add_load(struct rebalancer *r,
			 const struct coordinator_load *load);

/** Ends the current window of requests if its time is over, and begins the
 * next. */
void rebalancer_tick(struct rebalancer *r, int64_t now_us);

/**
 * The weight of each slice of the map: its requests per window, plus a small
 * base share that accounts for the memory a slice takes.
 *
 * @return array as long as the map; the caller frees it with g_free()
 */
double *rebalancer_weights(const struct rebalancer *r);

/**
 * Adds moves, splits and merges that balance load to a plan, within the limit
 * of moves.
 *
 * @param plan made from the same map and rebalancer_weights()
 */
void rebalancer_plan(struct rebalancer *r, struct row_plan *plan,
		     int64_t now_us);

/** Counts moved slices, also those moved for other reasons than load, against
 * the limit of moves. Raises the limit for the time since the last call. */
void rebalancer_moved(struct rebalancer *r, size_t slices, int64_t now_us);

#endif
