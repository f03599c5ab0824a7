#include "upstream/pool.h"

#include "base/planted.h"
#include "upstream/pool_internal.h"
#include "upstream/subset.h"

/* Most time that cancelled copies of requests may take, in percent of the time
 * that answers take. */
#define BACKUP_PERCENT 5
/* Most of that time that accumulates while no copy is cancelled. */
#define BACKUP_LEFT_MAX_US INT64_C(50000)
/* A backup request is sent when an answer takes longer than this percentile of
 * the times to the first byte. */
#define BACKUP_PERCENTILE 95
/* Fewest answers before the percentile is used. */
#define BACKUP_SAMPLES 64
/* Back-off after an upstream shed a request. */
#define SHED_BACKOFF_US INT64_C(1000)
/* Back-off after a failed connection; doubles up to the maximum. */
#define FAIL_BACKOFF_US INT64_C(20000)
#define FAIL_BACKOFF_MAX_US INT64_C(640000)

static void upstream_free(gpointer data)
{
	struct upstream *u = data;

	g_free(u->id);
	g_free(u->zone);
	g_free(u->boot);
	g_free(u);
}

static void flight_free(void *data)
{
	struct pool_flight *flight = data;

	g_free(flight->boot);
	g_free(flight);
}

struct pool *pool_create(const struct pool_options *options)
{
	struct pool *pool = g_new0(struct pool, 1);

	pool->options = *options;
	pool->router = str_dup(options->router);
	pool->options.router = str_from(pool->router);
	pool->options.zone = (struct str){ 0 };
	pool->upstreams = g_ptr_array_new_with_free_func(upstream_free);
	pool->used = g_ptr_array_new();
	pool->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	pool->flights = g_ptr_array_new_with_free_func(flight_free);
	pool->routers = g_ptr_array_new_with_free_func(g_free);
	pool->rng = g_rand_new_with_seed(options->seed);
	pool->candidates = g_ptr_array_new();
	return pool;
}

void pool_destroy(struct pool *pool)
{
	if (!pool)
		return;
	g_ptr_array_free(pool->flights, TRUE);
	g_ptr_array_free(pool->upstreams, TRUE);
	g_ptr_array_free(pool->routers, TRUE);
	g_ptr_array_free(pool->candidates, TRUE);
	g_ptr_array_free(pool->used, TRUE);
	g_hash_table_destroy(pool->by_id);
	g_rand_free(pool->rng);
	g_free(pool->router);
	g_free(pool);
}

struct upstream *pool_at(const struct pool *pool, uint32_t upstream)
{
	return g_ptr_array_index(pool->upstreams, upstream);
}

/* Returns a cleared entry: one that is not listed any more and has no request
 * in flight, or a new one. */
static struct upstream *reuse_or_add_entry(struct pool *pool)
{
	struct upstream *u;
	guint i;

	for (i = 0; i < pool->upstreams->len; i++) {
		u = pool_at(pool, i);
		if (u->listed || u->in_flight)
			continue;
		g_hash_table_remove(pool->by_id, u->id);
		g_free(u->id);
		g_free(u->zone);
		g_free(u->boot);
		memset(u, 0, sizeof(*u));
		u->index = i;
		return u;
	}
	u = g_new0(struct upstream, 1);
	u->index = pool->upstreams->len;
	g_ptr_array_add(pool->upstreams, u);
	return u;
}

static struct upstream *find_or_add(struct pool *pool,
				    const struct pool_member *member)
{
	uint32_t index = pool_find(pool, member->id);
	struct upstream *u;

	if (index != POOL_NONE)
		return pool_at(pool, index);
	u = reuse_or_add_entry(pool);
	u->id = str_dup(member->id);
	u->zone = str_dup(member->zone);
	u->boot = g_strdup("");
	g_queue_init(&u->waiting);
	g_hash_table_insert(pool->by_id, u->id, u);
	return u;
}

/* Returns an array of views of the router ids; the caller frees the array with
 * g_free(). */
static struct str *router_list(const struct pool *pool)
{
	struct str *list = g_new0(struct str, pool->routers->len + 1);
	guint i;

	for (i = 0; i < pool->routers->len; i++)
		list[i] = str_from(g_ptr_array_index(pool->routers, i));
	return list;
}

/* Finds the available upstream outside the subset that ranks highest for this
 * router. */
static struct upstream *best_unused(const struct pool *pool)
{
	struct upstream *best = NULL;
	uint64_t best_rank = 0;
	guint i;

	for (i = 0; i < pool->upstreams->len; i++) {
		struct upstream *u = pool_at(pool, i);
		uint64_t rank =
			subset_rank(pool->options.router, str_from(u->id));

		if (u->in_subset || !pool_takes_work(u))
			continue;
		if (!best || rank > best_rank) {
			best = u;
			best_rank = rank;
		}
	}
	return best;
}

/* Fills pool->used with the upstreams of the subset. */
static void rebuild_used(struct pool *pool)
{
	guint i;

	g_ptr_array_set_size(pool->used, 0);
	for (i = 0; i < pool->upstreams->len; i++)
		if (pool_at(pool, i)->in_subset)
			g_ptr_array_add(pool->used, pool_at(pool, i));
}

/* Chooses the upstreams that this router uses, after the list of upstreams or
 * of routers has changed. */
static void choose_subset(struct pool *pool)
{
	struct str *routers = router_list(pool);
	bool all = pool->options.keyed || !pool->routers->len;
	uint32_t used = 0;
	guint i;

	for (i = 0; i < pool->upstreams->len; i++) {
		struct upstream *u = pool_at(pool, i);

		u->in_subset = pool_takes_work(u) &&
			       (all || subset_uses(pool->options.router,
						   str_from(u->id), routers,
						   pool->routers->len));
		used += u->in_subset;
	}
	while (!all && used < SUBSET_MIN) {
		struct upstream *u = best_unused(pool);

		if (!u)
			break;
		u->in_subset = true;
		used++;
	}
	g_free(routers);
	rebuild_used(pool);
}

void pool_update(struct pool *pool, const struct pool_member *members,
		 size_t count)
{
	size_t i;

	for (i = 0; i < pool->upstreams->len; i++)
		pool_at(pool, (uint32_t)i)->listed = false;
	for (i = 0; i < count; i++) {
		struct upstream *u = find_or_add(pool, &members[i]);

		u->listed = true;
		u->available = members[i].available;
	}
	choose_subset(pool);
}

void pool_set_routers(struct pool *pool, const struct str *routers,
		      size_t count)
{
	size_t i;

	g_ptr_array_set_size(pool->routers, 0);
	for (i = 0; i < count; i++)
		g_ptr_array_add(pool->routers, str_dup(routers[i]));
	choose_subset(pool);
}

void pool_set_slots(struct pool *pool, uint32_t slots)
{
	pool->options.slots = slots;
}

uint32_t pool_find(const struct pool *pool, struct str id)
{
	char *name = str_dup(id);
	const struct upstream *u = g_hash_table_lookup(pool->by_id, name);

	g_free(name);
	return u ? u->index : POOL_NONE;
}

struct str pool_id(const struct pool *pool, uint32_t upstream)
{
	return str_from(pool_at(pool, upstream)->id);
}

struct str pool_boot(const struct pool *pool, uint32_t upstream)
{
	return str_from(pool_at(pool, upstream)->boot);
}

struct pool_flight *pool_start(struct pool *pool, uint32_t upstream,
			       int64_t now_us)
{
	struct pool_flight *flight = g_new0(struct pool_flight, 1);
	struct upstream *u = pool_at(pool, upstream);

	flight->upstream = u;
	flight->start_us = now_us;
	flight->generation = u->generation;
	flight->boot = g_strdup(u->boot);
	flight->awaits_answer = true;
	flight->link.data = flight;
	flight->send_before_us = INT64_MAX;
	if (!pool_is_ready(u)) {
		flight->holds_share = budget_share_use(&u->share, now_us);
		flight->send_before_us = u->share.ends_us;
	}
	g_queue_push_tail_link(&u->waiting, &flight->link);
	g_ptr_array_add(pool->flights, flight);
	u->in_flight++;
	return flight;
}

struct str pool_flight_boot(const struct pool_flight *flight)
{
	/* An empty incarnation makes the caller accept any. */
	if (injected(INJECTED_NEW_INCARNATION_WARM))
		return STR("");
	return str_from(flight->boot);
}

int64_t pool_flight_send_before(const struct pool_flight *flight)
{
	if (injected(INJECTED_SHARE_NEVER_EXPIRES))
		return INT64_MAX;
	return flight->send_before_us;
}

uint32_t pool_flight_upstream(const struct pool_flight *flight)
{
	return flight->upstream->index;
}

static void stop_waiting(struct pool_flight *flight)
{
	if (!flight->awaits_answer)
		return;
	flight->awaits_answer = false;
	g_queue_unlink(&flight->upstream->waiting, &flight->link);
}

void pool_answer_started(struct pool *pool, struct pool_flight *flight,
			 struct str boot, int64_t now_us)
{
	struct upstream *u = flight->upstream;
	int64_t took_us = now_us - flight->start_us;

	pool_update_boot(u, flight, boot, now_us);
	if (!flight->awaits_answer)
		return;
	stop_waiting(flight);
	u->answered_us = now_us;
	straggler_add_answer(&u->times, took_us);
	quantile_add(&pool->first_byte_p95, took_us, BACKUP_PERCENTILE);
	pool->backup_left_us =
		MIN(pool->backup_left_us + took_us * BACKUP_PERCENT / 100,
		    BACKUP_LEFT_MAX_US);
}

/* Starts a back-off of the upstream, and marks it as cold if its incarnation is
 * still the one that the request was for. */
static void on_failed(struct upstream *u, const struct pool_flight *flight,
		      int64_t now_us)
{
	if (flight->generation == u->generation)
		pool_set_cold(u, now_us);
	u->backoff_us =
		CLAMP(2 * u->backoff_us, FAIL_BACKOFF_US, FAIL_BACKOFF_MAX_US);
	u->backoff_until_us = now_us + u->backoff_us;
}

static void apply_outcome(struct upstream *u, const struct pool_flight *flight,
			  enum pool_outcome_kind outcome, int64_t now_us)
{
	switch (outcome) {
	case POOL_ANSWERED:
		u->backoff_us = 0;
		break;
	case POOL_SHED:
		u->backoff_until_us = now_us + SHED_BACKOFF_US;
		break;
	case POOL_COLD:
		pool_set_cold(u, now_us);
		break;
	case POOL_SHUTTING_DOWN:
		u->shutting_down = true;
		break;
	case POOL_UNSENT:
		break;
	case POOL_OTHER_BOOT:
		if (flight->generation == u->generation)
			pool_set_cold(u, now_us);
		break;
	case POOL_FAILED:
		on_failed(u, flight, now_us);
		break;
	case POOL_STALLED:
	case POOL_CANCELLED:
		if (flight->awaits_answer)
			straggler_add_unanswered(&u->times,
						 now_us - flight->start_us);
		break;
	}
}

/* Releases a request's place in the share. A request that was given up may
 * still run on the upstream, so the share then ends and the next ShareRequest
 * tells the allocator that a request was given up. */
static void release_share_place(struct upstream *u,
				enum pool_outcome_kind outcome, int64_t now_us)
{
	budget_share_release(&u->share);
	if (outcome == POOL_FAILED || outcome == POOL_STALLED ||
	    outcome == POOL_CANCELLED)
		budget_share_invalidate(&u->share, now_us);
}

void pool_finish(struct pool *pool, struct pool_flight *flight,
		 enum pool_outcome_kind outcome, int64_t now_us)
{
	struct upstream *u = flight->upstream;

	if (outcome == POOL_CANCELLED)
		pool->backup_left_us -= now_us - flight->start_us;
	apply_outcome(u, flight, outcome, now_us);
	stop_waiting(flight);
	if (flight->holds_share)
		release_share_place(u, outcome, now_us);
	u->in_flight--;
	g_ptr_array_remove_fast(pool->flights, flight);
}

int64_t pool_backup_delay(const struct pool *pool)
{
	if (pool->first_byte_p95.samples < BACKUP_SAMPLES)
		return INT64_MAX;
	return pool->first_byte_p95.value_us;
}

bool pool_backup_allowed(const struct pool *pool)
{
	return pool->backup_left_us > 0;
}

bool pool_status(const struct pool *pool, size_t index, int64_t now_us,
		 struct pool_upstream_status *status)
{
	const struct upstream *u;

	if (index >= pool->upstreams->len)
		return false;
	u = pool_at(pool, (uint32_t)index);
	*status = (struct pool_upstream_status){
		.id = str_from(u->id),
		.in_flight = u->in_flight,
		.available = pool_takes_work(u),
		.cold = !pool_is_ready(u),
		.slow = u->times.slow,
		.expected_us = pool_expected(u, now_us),
	};
	return true;
}
