/**
 * Evens out load over a cell's upstreams. It goes by what routers counted,
 * never by what upstreams report, moves at most a stated share of slices a
 * minute, and leaves small imbalances alone.
 */
#ifndef OWNERSHIP_REBALANCER_H
#define OWNERSHIP_REBALANCER_H

#include "base/clock.h"
#include "ownership/coordinator_defs.h"
#include "ownership/row_plan.h"

/** Counts are taken over windows of this length. */
#define REBALANCER_WINDOW_US (5 * US_PER_SECOND)
/** Of the slices, in percent, at most this many move in a minute. */
#define REBALANCER_MOVED_PERCENT 20

struct rebalancer;

/** Creates one without load. */
struct rebalancer *rebalancer_create(void);

void rebalancer_destroy(struct rebalancer *r);

/** Takes over a new row; known load is carried over by range. */
void rebalancer_set_map(struct rebalancer *r, struct slice_map *map);

/** Adds what routers counted. */
void rebalancer_add_load(struct rebalancer *r,
			 const struct coordinator_load *load);

/** Ends the window when it is over. */
void rebalancer_tick(struct rebalancer *r, int64_t now_us);

/**
 * The weight of each of the map's slices: its load, and a part that stands for
 * the room it takes.
 *
 * @return array as long as the map; the caller frees it with g_free()
 */
double *rebalancer_weights(const struct rebalancer *r);

/**
 * Adds to a plan what evens out the load, within the budget of moves.
 *
 * @param plan made from the same map and rebalancer_weights()
 */
void rebalancer_plan(struct rebalancer *r, struct row_plan *plan,
		     int64_t now_us);

/** Notes that slices were moved, by whomever. */
void rebalancer_moved(struct rebalancer *r, size_t slices, int64_t now_us);

#endif
