#include "bench_policy_parts/model.h"

#include <math.h>

static gint compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)ctx;
	if (x->at != y->at)
		return x->at < y->at ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void model_at(struct sim *s, int64_t when,
	      void (*run)(struct sim *s, void *a, uint64_t n), void *a,
	      uint64_t n)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){ when, s->sequence++, run, a, n };
	g_sequence_insert_sorted(s->events, event, compare, NULL);
}

static int64_t distance(const struct sim *s, uint32_t router, uint32_t upstream)
{
	bool same = router % s->sc->zones == upstream % s->sc->zones;

	return same ? SAME_ZONE_US : s->sc->cross_zone_us;
}

static int64_t service_time(struct sim *s, uint32_t upstream)
{
	double random = -log(1.0 - g_rand_double(s->services));
	int64_t time = MS + (int64_t)(4.0 * (double)MS * random);
	bool slow = upstream < s->sc->stragglers && s->now >= WARM_US;

	return slow ? SLOWDOWN * time : time;
}

static void drain(struct sim *s, struct router *r);
static void finish(struct sim *s, void *a, uint64_t n);

static void begin(struct sim *s, struct copy *copy)
{
	struct upstream *u = &s->upstreams[copy->upstream];

	u->running++;
	copy->running = true;
	copy->started_us = s->now;
	model_at(s, s->now + service_time(s, copy->upstream), finish, copy, 0);
}

static void arrive(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct upstream *u = &s->upstreams[copy->upstream];

	(void)n;
	if (copy->ended)
		return;
	u->received++;
	s->sent++;
	s->overshoot += u->running >= SLOTS;
	if (u->running < SLOTS)
		begin(s, copy);
	else
		g_queue_push_tail(&u->waiting, copy);
}

static void stop_running(struct sim *s, struct copy *copy)
{
	struct upstream *u = &s->upstreams[copy->upstream];

	copy->running = false;
	copy->ended = true;
	u->running--;
	s->busy_us += s->now - copy->started_us;
	if (!g_queue_is_empty(&u->waiting))
		begin(s, g_queue_pop_head(&u->waiting));
	if (!s->policy->home)
		return;
	u->home_count--;
	if (!g_queue_is_empty(&u->home_waiting)) {
		u->home_count++;
		/* The home router learns of the free slot and sends the next
		 * request: one round trip within the zone. */
		model_at(s, s->now + 2 * SAME_ZONE_US, arrive,
			 g_queue_pop_head(&u->home_waiting), 0);
	}
}

/*
 * Cancels the copy whose other copy was answered first: takes it out of the
 * upstream's queue, or stops it and frees its slot.
 */
static void cancel(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;

	(void)n;
	if (copy->ended)
		return;
	if (copy->running) {
		s->wasted_us += s->now - copy->started_us;
		stop_running(s, copy);
		return;
	}
	copy->ended = true;
	g_queue_remove(&s->upstreams[copy->upstream].waiting, copy);
}

static void release(struct sim *s, struct copy *copy,
		    enum pool_outcome_kind outcome)
{
	struct router *r = &s->routers[copy->job->router];

	r->in_flight[copy->upstream]--;
	if (!copy->flight)
		return;
	if (outcome == POOL_ANSWERED)
		pool_answer_started(r->pool, copy->flight, STR("b"), s->now);
	pool_finish(r->pool, copy->flight, outcome, s->now);
	copy->flight = NULL;
}

static void answer(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct job *job = copy->job;
	struct copy *other = &job->copies[copy == &job->copies[0]];
	int64_t took = s->now - job->arrived_us;

	(void)n;
	if (job->done)
		return;
	job->done = true;
	release(s, copy, POOL_ANSWERED);
	if (job->arrived_us >= WARM_US)
		g_array_append_val(s->times, took);
	if (other->job && !other->ended) {
		model_at(s, s->now + distance(s, job->router, other->upstream),
			 cancel, other, 0);
	}
	if (other->job)
		release(s, other, POOL_CANCELLED);
	drain(s, &s->routers[job->router]);
}

static void finish(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;

	(void)n;
	if (copy->ended)
		return;
	stop_running(s, copy);
	model_at(s, s->now + distance(s, copy->job->router, copy->upstream),
		 answer, copy, 0);
}

static void reach_home(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct upstream *u = &s->upstreams[copy->upstream];

	(void)n;
	if (u->home_count >= SLOTS) {
		g_queue_push_tail(&u->home_waiting, copy);
		return;
	}
	u->home_count++;
	model_at(s, s->now + SAME_ZONE_US, arrive, copy, 0);
}

static void send_copy(struct sim *s, struct job *job, int which, uint32_t to)
{
	struct router *r = &s->routers[job->router];
	struct copy *copy = &job->copies[which];

	copy->job = job;
	copy->upstream = to;
	r->in_flight[to]++;
	if (r->pool)
		copy->flight = pool_start(r->pool, to, s->now);
	/* The home router is in its upstream's zone, so the distance is that to
	 * the upstream. */
	model_at(s, s->now + distance(s, job->router, to),
		 s->policy->home ? reach_home : arrive, copy, 0);
}

static void take_shares(struct sim *s, void *a, uint64_t n)
{
	struct router *r = a;

	pool_apply_share(r->pool, (uint32_t)n, STR("b"), s->now - 3 * MS,
			 BUDGET_CONNECTIONS, BUDGET_SHARE_US);
	drain(s, r);
}

static void ask_shares(struct sim *s, struct router *r)
{
	struct pool_share_request asks[32];
	size_t count = pool_due_share_requests(r->pool, s->now, asks, 32);

	while (count--)
		model_at(s, s->now + 3 * MS, take_shares, r,
			 asks[count].upstream);
}

static void check_backup(struct sim *s, void *a, uint64_t n)
{
	struct job *job = a;
	struct router *r = &s->routers[job->router];
	uint32_t to;

	(void)n;
	if (job->done || !pool_backup_allowed(r->pool))
		return;
	if (pool_pick(r->pool, &job->copies[0].upstream, 1, s->now, &to) ==
	    POOL_OK)
		send_copy(s, job, 1, to);
}

static void drain(struct sim *s, struct router *r)
{
	while (!g_queue_is_empty(&r->waiting)) {
		struct job *job = g_queue_peek_head(&r->waiting);
		uint32_t to = s->policy->choose(s, r, job);
		int64_t delay;

		if (to == POOL_NONE)
			break;
		g_queue_pop_head(&r->waiting);
		send_copy(s, job, 0, to);
		delay = s->sc->backup ? pool_backup_delay(r->pool) : INT64_MAX;
		if (delay < INT64_MAX)
			model_at(s, s->now + delay, check_backup, job, 0);
	}
	if (r->pool)
		ask_shares(s, r);
}

static void new_job(struct sim *s, void *a, uint64_t n)
{
	const struct scenario *sc = s->sc;
	double rate = sc->load * SLOTS * sc->upstreams / (5.0 * (double)MS);
	double gap = -log(1.0 - g_rand_double(s->arrivals)) / rate;
	struct job *job = g_new0(struct job, 1);
	struct router *r;

	(void)a;
	(void)n;
	g_ptr_array_add(s->jobs, job);
	job->router =
		(uint32_t)g_rand_int_range(s->arrivals, 0, (gint32)sc->routers);
	job->arrived_us = s->now;
	r = &s->routers[job->router];
	r->demand++;
	g_queue_push_tail(&r->waiting, job);
	drain(s, r);
	if (s->now + (int64_t)gap < sc->run_us)
		model_at(s, s->now + (int64_t)gap, new_job, NULL, 0);
}

void model_period(struct sim *s, void *a, uint64_t n)
{
	uint32_t i;

	(void)a;
	(void)n;
	s->policy->period(s);
	for (i = 0; i < s->sc->routers; i++)
		drain(s, &s->routers[i]);
	if (s->now < s->sc->run_us)
		model_at(s, s->now + PERIOD_US, model_period, NULL, 0);
}

static void init(struct sim *s)
{
	uint32_t count = s->sc->upstreams;
	struct pool_member *members = g_new0(struct pool_member, count);
	char(*ids)[16] = g_malloc0_n(MAX(count, s->sc->routers), 16);
	struct str *routers = g_new0(struct str, s->sc->routers);
	uint32_t i;

	s->upstreams = g_new0(struct upstream, count);
	s->routers = g_new0(struct router, s->sc->routers);
	for (i = 0; i < MAX(count, s->sc->routers); i++)
		g_snprintf(ids[i], sizeof(ids[i]), "%u", i);
	for (i = 0; i < count; i++) {
		members[i].id = str_from(ids[i]);
		members[i].available = true;
		g_queue_init(&s->upstreams[i].waiting);
		g_queue_init(&s->upstreams[i].home_waiting);
	}
	for (i = 0; i < s->sc->routers; i++)
		routers[i] = str_from(ids[i]);
	for (i = 0; i < s->sc->routers; i++) {
		struct router *r = &s->routers[i];
		struct pool_options options = {
			.router = routers[i],
			.slots = s->policy->home ? 1000 : SLOTS,
			.seed = i,
		};

		r->next = i;
		r->in_flight = g_new0(uint32_t, count);
		r->tokens = g_new0(uint32_t, count);
		g_queue_init(&r->waiting);
		if (!s->policy->pooled)
			continue;
		r->pool = pool_create(&options);
		pool_set_routers(r->pool, routers, s->sc->routers);
		pool_update(r->pool, members, count);
	}
	g_free(members);
	g_free(ids);
	g_free(routers);
}

static void clear(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->sc->routers; i++) {
		pool_destroy(s->routers[i].pool);
		g_queue_clear(&s->routers[i].waiting);
		g_free(s->routers[i].in_flight);
		g_free(s->routers[i].tokens);
	}
	for (i = 0; i < s->sc->upstreams; i++) {
		g_queue_clear(&s->upstreams[i].waiting);
		g_queue_clear(&s->upstreams[i].home_waiting);
	}
	g_free(s->routers);
	g_free(s->upstreams);
	g_ptr_array_free(s->jobs, TRUE);
	g_array_free(s->times, TRUE);
	g_sequence_free(s->events);
	g_rand_free(s->arrivals);
	g_rand_free(s->services);
	g_rand_free(s->choices);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const struct sim *s, double q)
{
	guint i = (guint)(q * (double)(s->times->len - 1));

	return (double)g_array_index(s->times, int64_t, i) / (double)MS;
}

static struct result summarize(struct sim *s)
{
	uint32_t most = 0;
	uint32_t i;

	for (i = 0; i < s->sc->upstreams; i++)
		most = MAX(most, s->upstreams[i].received);
	g_array_sort(s->times, compare_times);
	return (struct result){
		.p50 = quantile_ms(s, 0.5),
		.p99 = quantile_ms(s, 0.99),
		.p999 = quantile_ms(s, 0.999),
		.imbalance = (double)most * s->sc->upstreams / (double)s->sent,
		.overshoot = 100.0 * (double)s->overshoot / (double)s->sent,
		.added = 100.0 * (double)s->wasted_us /
			 (double)(s->busy_us - s->wasted_us),
	};
}

struct result model_run(const struct scenario *sc, const struct policy *policy)
{
	struct sim s = { .sc = sc, .policy = policy };
	struct result result;

	s.arrivals = g_rand_new_with_seed(1);
	s.services = g_rand_new_with_seed(2);
	s.choices = g_rand_new_with_seed(3);
	s.events = g_sequence_new(g_free);
	s.times = g_array_new(FALSE, FALSE, sizeof(int64_t));
	s.jobs = g_ptr_array_new_with_free_func(g_free);
	init(&s);
	model_at(&s, 0, new_job, NULL, 0);
	if (policy->period)
		model_at(&s, 0, model_period, NULL, 0);
	while (!g_sequence_is_empty(s.events)) {
		GSequenceIter *iter = g_sequence_get_begin_iter(s.events);
		struct event *event = g_sequence_get(iter);

		s.now = event->at;
		event->run(&s, event->a, event->n);
		g_sequence_remove(iter);
	}
	result = summarize(&s);
	clear(&s);
	return result;
}
