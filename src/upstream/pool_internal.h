/**
 * Internals shared by the pool's source files: pool.c keeps the list and the
 * requests in flight, pool_pick.c chooses an upstream, pool_share.c handles
 * readiness and budgets.
 */
#ifndef UPSTREAM_POOL_INTERNAL_H
#define UPSTREAM_POOL_INTERNAL_H

#include <glib.h>

#include "upstream/budget.h"
#include "upstream/pool.h"
#include "upstream/straggler.h"

/** An upstream of the pool, listed or with requests still in flight. */
struct upstream {
	/** Handle of the upstream: its index in pool.upstreams. */
	uint32_t index;
	char *id;
	char *zone;
	/** Incarnation last known; "" when none. */
	char *boot;
	/** Incremented when the incarnation changes or may have changed. */
	uint32_t generation;
	/** The upstream is in the present list; if not, and with none of its
	 * requests in flight, the entry may be reused for another one. */
	bool listed;
	/** See pool_member.available. */
	bool available;
	/** This router uses the upstream. */
	bool in_subset;
	/** This incarnation refused a request because it shuts down. */
	bool shutting_down;
	/** Number of this router's requests in flight. */
	uint32_t in_flight;
	/** Requests in flight without the first byte of an answer (struct
	 * pool_flight), oldest first. */
	GQueue waiting;
	struct straggler_state times;
	/** When the upstream's last answer began. */
	int64_t answered_us;
	/** The allocator of the budget reported this incarnation as ready. */
	bool ready;
	struct budget_share share;
	/** Requests that lacked a share since the last ShareRequest. */
	uint32_t share_wants;
	/** End of the back-off, during which the upstream gets no requests: it
	 * shed load, or a connection failed. */
	int64_t backoff_until_us;
	/** Length of the last back-off after a failed connection. */
	int64_t backoff_us;
};

struct pool_flight {
	/** This request's link in the upstream's waiting queue; data is the
	 * struct pool_flight. */
	GList link;
	struct upstream *upstream;
	/** When pool_start() was called. */
	int64_t start_us;
	/** The incarnation that the request is for. */
	char *boot;
	/** See pool_flight_send_before(). */
	int64_t send_before_us;
	/** The upstream's generation when the request was started. */
	uint32_t generation;
	/** No byte of an answer has arrived, so the request is linked into the
	 * upstream's waiting queue. */
	bool awaits_answer;
	/** The request holds a place in the share. */
	bool holds_share;
};

struct pool {
	struct pool_options options;
	/** The string that options.router points to. */
	char *router;
	/** All upstreams, by handle; owned. */
	GPtrArray *upstreams;
	/** Upstreams that this router uses, borrowed. */
	GPtrArray *used;
	/** Upstreams (struct upstream) by id; borrowed. */
	GHashTable *by_id;
	/** Requests in flight (struct pool_flight), owned. */
	GPtrArray *flights;
	/** Ids of all routers, owned. */
	GPtrArray *routers;
	GRand *rng;
	/** When straggler detection last ran. */
	int64_t classified_us;
	/** When a share was last asked for on behalf of a cold upstream while
	 * others could take the request. */
	int64_t cold_asked_us;
	/** The 95th percentile of the answers' times to the first byte; see
	 * pool_backup_delay(). */
	struct quantile first_byte_p95;
	/** Time in microseconds that cancelled copies of requests may still
	 * take; see pool_backup_allowed(). */
	int64_t backup_left_us;
	/** Scratch space of pool_pick(). */
	GPtrArray *candidates;
};

/** Returns the upstream of a handle. */
struct upstream *pool_at(const struct pool *pool, uint32_t upstream);

/** Tells whether an upstream is listed, available and not shutting down. */
bool pool_takes_work(const struct upstream *u);

/** Returns the expected time to the first byte of an answer, raised by the ages
 * of requests that wait for one; 0: unknown. */
int64_t pool_expected(const struct upstream *u, int64_t now_us);

/** Tells whether the present incarnation is known to be ready. */
bool pool_is_ready(const struct upstream *u);

/** Tells whether an upstream can take a request; a straggler can, too. */
enum pool_availability pool_availability(const struct pool *pool,
					 const struct upstream *u,
					 int64_t now_us);

/** Marks an upstream as cold and ends this router's share of it. */
void pool_set_cold(struct upstream *u, int64_t now_us);

/** Applies the incarnation named in an answer. A changed one counts as cold. */
void pool_update_boot(struct upstream *u, const struct pool_flight *flight,
		      struct str boot, int64_t now_us);

#endif
