/**
 * Discrete-event queueing model: requests arrive at routers, which send them to
 * upstreams with a fixed number of slots. Uses the real upstream pool, but no
 * network and no processes. Times are simulated microseconds; 0 is the start.
 */
#ifndef MODEL_H
#define MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "upstream/pool.h"

/** Microseconds per millisecond. */
#define MS INT64_C(1000)
/** Requests that an upstream runs at once; it queues the others. */
#define SLOTS 3
/** Requests that arrive before this time don't count in the latencies.
 * Stragglers become slow at this time. */
#define WARM_UP_US (1000 * MS)
/** Network delay, one way, within a zone. */
#define SAME_ZONE_US INT64_C(100)
/** Interval of a policy's periodic work. */
#define PERIOD_US (100 * MS)
/** Factor by which a straggler's service times grow. */
#define STRAGGLER_SLOWDOWN 10

/** What is simulated, apart from the policy. */
struct scenario {
	const char *name;
	/** Numbers of routers, upstreams and zones. The zone of a router or
	 * upstream is its index modulo the number of zones. */
	uint32_t routers, upstreams, zones;
	/** Network delay, one way, between zones; and how long requests arrive.
	 */
	int64_t cross_zone_us, run_us;
	/** Offered load, as a fraction of the capacity of all slots. */
	double load;
	/** Number of upstreams that become slow, those with the lowest indexes.
	 */
	uint32_t stragglers;
	/** Send backup requests; only for a policy that uses the pool. */
	bool backup;
};

/** One attempt to send a request to an upstream. */
struct copy {
	/** The request; NULL when this copy was not sent. */
	struct request *request;
	/** Index of the upstream. */
	uint32_t upstream;
	/** Handle in the router's pool; NULL without a pool, and after the copy
	 * has released its slot there. */
	struct pool_flight *flight;
	/** Whether the copy takes a slot of the upstream, and whether it has
	 * ended there. */
	bool running, ended;
	/** When the upstream started the copy. */
	int64_t started_us;
};

/** A caller's request. */
struct request {
	/** Index of the router. */
	uint32_t router;
	/** When the router received the request. */
	int64_t arrived_us;
	/** The first copy and the backup request. */
	struct copy copies[2];
	/** The router has received an answer. */
	bool done;
};

/** An upstream; home_* are used only with home routers. */
struct upstream {
	/** Copies that wait for a slot. */
	GQueue waiting;
	/** Copies that take a slot now. */
	uint32_t running;
	/** Copies that ran or waited at the last report to the routers. */
	uint32_t reported;
	/** Copies that the home router has passed on and that have not ended.
	 */
	uint32_t home_admitted;
	/** Copies received in total. */
	uint32_t received;
	/** Copies that wait at the home router. */
	GQueue home_waiting;
};

/** A router; what a policy doesn't use stays unset. */
struct router {
	/** NULL unless the policy uses the pool. */
	struct pool *pool;
	/** Requests that wait until the policy chooses an upstream. */
	GQueue waiting;
	/** Next upstream of the round robin, before the modulo. */
	uint32_t next;
	/** Requests received in this period; counted for policy "shares". */
	uint32_t demand;
	/** Per upstream: this router's copies in flight, and its tokens. A
	 * token permits one copy in flight (policy "shares"). */
	uint32_t *in_flight, *tokens;
};

/** State of a run. */
struct sim;

/** A policy by which routers share the upstreams' slots. */
struct policy {
	const char *name;
	/** Returns the upstream for a request, or POOL_NONE: it waits. */
	uint32_t (*choose)(struct sim *s, struct router *r,
			   struct request *request);
	/** Coordinator's periodic work, every PERIOD_US; NULL for none. */
	void (*period)(struct sim *s);
	/**
	 * Each upstream has a home router in its zone. All its requests pass
	 * through the home router, which queues them when all slots are taken.
	 */
	bool via_home_router;
	/** The routers use the real pool. */
	bool uses_pool;
};

/** A call of run(s, a, n) at a time; events of the same time run in the order
 * of their sequence numbers. */
struct event {
	int64_t at_us;
	uint64_t sequence;
	void (*run)(struct sim *s, void *a, uint64_t n);
	void *a;
	uint64_t n;
};

struct sim {
	const struct scenario *sc;
	const struct policy *policy;
	int64_t now_us;
	/** Sequence number of the next event. */
	uint64_t sequence;
	/** Copies that found all slots of their upstream taken, and all copies
	 * that upstreams received. */
	uint64_t overshoots, sent;
	/** Time that copies took slots; and the part of it that was spent on
	 * copies that were then cancelled. */
	int64_t busy_us, wasted_us;
	/** Random numbers for arrivals, service times and the policy's choices;
	 * separate, so that all policies get the same arrivals. */
	GRand *arrivals, *services, *choices;
	/** Scheduled events (struct event), by time. */
	GSequence *events;
	/** Latencies in microseconds (int64_t) of the answered requests that
	 * arrived after WARM_UP_US. */
	GArray *times;
	/** Owns all requests. */
	GPtrArray *requests;
	struct upstream *upstreams;
	struct router *routers;
};

/** Measures of one run. */
struct result {
	/** Percentiles of the latency. */
	double p50_ms, p99_ms, p999_ms;
	/** Copies received by the busiest upstream over the mean. */
	double imbalance;
	/** Percentage of copies that found all slots of their upstream taken.
	 */
	double overshoot_percent;
	/** Slot time of cancelled copies, in percent of that of the others. */
	double wasted_percent;
};

/** All policies; the first is the baseline. */
extern const struct policy policies[];
extern const size_t policy_count;

/** Simulates a scenario under a policy, until no event is left. */
struct result model_run(const struct scenario *sc, const struct policy *policy);

/** Event handler: calls the policy's period() and reschedules itself. Ignores a
 * and n. */
void model_run_period(struct sim *s, void *a, uint64_t n);

/** Schedules a call of run(s, a, n) at the time when, in microseconds. */
void model_schedule(struct sim *s, int64_t when,
		    void (*run)(struct sim *s, void *a, uint64_t n), void *a,
		    uint64_t n);

#endif
