/**
 * What the parts of the pool share: pool.c keeps the list and the flights,
 * pool_pick.c chooses, pool_share.c handles readiness and budgets.
 */
#ifndef UPSTREAM_POOL_INTERNAL_H
#define UPSTREAM_POOL_INTERNAL_H

#include <glib.h>

#include "upstream/budget.h"
#include "upstream/pool.h"
#include "upstream/straggler.h"

struct upstream {
	uint32_t index;
	char *id;
	char *zone;
	/** Incarnation last known; "" when none. */
	char *boot;
	/** Counts doubts and changes of the incarnation. */
	uint32_t generation;
	/** In the present list; an entry that is not may be used again. */
	bool listed;
	bool available;
	/** Used by this router. */
	bool in_subset;
	/** It refused as leaving; holds for this incarnation. */
	bool left;
	uint32_t in_flight;
	/** Flights without the first byte of an answer, oldest first. */
	GQueue waiting;
	struct straggler times;
	/** When its last answer began. */
	int64_t answered_us;
	/** This incarnation was said to be ready. */
	bool ready;
	struct budget_share share;
	/** Requests that lacked a share since the last ask. */
	uint32_t wants;
	/** Gets nothing until then: it shed, or connections failed. */
	int64_t rest_us;
	int64_t rest_wait_us;
};

struct pool_flight {
	/** Its place in waiting; data is the flight. */
	GList link;
	struct upstream *upstream;
	int64_t start_us;
	/** The incarnation that it is for. */
	char *boot;
	int64_t send_before_us;
	uint32_t generation;
	bool waits;
	/** Runs under a share. */
	bool shared;
};

struct pool {
	struct pool_options options;
	char *router;
	GPtrArray *upstreams;
	/** Those that this router uses. */
	GPtrArray *used;
	GHashTable *by_id;
	GPtrArray *flights;
	/** Ids of all routers, owned. */
	GPtrArray *routers;
	GRand *rng;
	/** When slow upstreams were last looked for. */
	int64_t judged_us;
	/** When a lapsed upstream was last asked about beside others. */
	int64_t revived_us;
	/** The 95th percentile of answers' times. */
	struct quantile backup;
	/** Time that copies which lose may still take. */
	int64_t backup_left_us;
	/** Scratch of pool_pick(). */
	GPtrArray *candidates;
};

/** The upstream of a handle. */
struct upstream *pool_at(const struct pool *pool, uint32_t upstream);

/** Listed, available and not known to leave. */
bool pool_takes_work(const struct upstream *u);

/** Expected time of an answer, with the ages of what waits; 0: unknown. */
int64_t pool_expected(const struct upstream *u, int64_t now_us);

/** Whether it is known to be ready now. */
bool pool_is_ready(const struct upstream *u);

/** Whether it can take a request, without regard to its speed. */
enum pool_place pool_place(const struct pool *pool, const struct upstream *u,
			   int64_t now_us);

/** Ends the readiness and the shares of an upstream. */
void pool_forget_ready(struct upstream *u, int64_t now_us);

/** Takes the incarnation seen in an answer to a flight. */
void pool_see_boot(struct upstream *u, const struct pool_flight *flight,
		   struct str boot, int64_t now_us);

#endif
