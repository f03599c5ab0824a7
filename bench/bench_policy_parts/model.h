/**
 * Discrete-event queueing model: requests arrive at routers, which send them to
 * upstreams with a fixed number of slots. Uses the real upstream pool, but no
 * network and no processes.
 */
#ifndef MODEL_H
#define MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "upstream/pool.h"

#define MS INT64_C(1000)
#define SLOTS 3
#define WARM_US (1000 * MS)
#define SAME_ZONE_US INT64_C(100)
#define PERIOD_US (100 * MS)
#define SLOWDOWN 10

struct scenario {
	const char *name;
	uint32_t routers, upstreams, zones;
	int64_t cross_zone_us, run_us;
	/** Offered load, as a fraction of the capacity of all slots. */
	double load;
	uint32_t stragglers;
	bool backup;
};

struct copy {
	struct job *job;
	uint32_t upstream;
	struct pool_flight *flight;
	bool running, ended;
	int64_t started_us;
};

struct job {
	uint32_t router;
	int64_t arrived_us;
	struct copy copies[2];
	bool done;
};

struct upstream {
	GQueue waiting;
	uint32_t running, reported, home_count, received;
	GQueue home_waiting;
};

struct router {
	struct pool *pool;
	GQueue waiting;
	uint32_t next, demand;
	/** Per upstream: this router's requests in flight, and its tokens. */
	uint32_t *in_flight, *tokens;
};

struct sim;

/** A policy by which routers share the upstreams' slots. */
struct policy {
	const char *name;
	/** Returns the upstream for a job, or POOL_NONE: the job waits. */
	uint32_t (*choose)(struct sim *s, struct router *r, struct job *job);
	/** Coordinator's periodic work, every PERIOD_US; NULL for none. */
	void (*period)(struct sim *s);
	/**
	 * Each upstream has a home router in its zone. All its requests pass
	 * through the home router, which queues them when all slots are taken.
	 */
	bool home;
	/** The routers use the real pool. */
	bool pooled;
};

struct event {
	int64_t at;
	uint64_t sequence;
	void (*run)(struct sim *s, void *a, uint64_t n);
	void *a;
	uint64_t n;
};

struct sim {
	const struct scenario *sc;
	const struct policy *policy;
	int64_t now;
	uint64_t sequence, overshoot, sent;
	int64_t busy_us, wasted_us;
	GRand *arrivals, *services, *choices;
	GSequence *events;
	GArray *times;
	GPtrArray *jobs;
	struct upstream *upstreams;
	struct router *routers;
};

struct result {
	double p50, p99, p999, imbalance, overshoot, added;
};

/** All policies; the first is the baseline. */
extern const struct policy policies[];
extern const size_t policy_count;

/** Runs a scenario under a policy. */
struct result model_run(const struct scenario *sc, const struct policy *policy);

/** Event handler: calls the policy's period() and reschedules itself. */
void model_period(struct sim *s, void *a, uint64_t n);

/** Schedules a call of run(s, a, n) at the time when. */
void model_at(struct sim *s, int64_t when,
	      void (*run)(struct sim *s, void *a, uint64_t n), void *a,
	      uint64_t n);

#endif
