#include "bench_policy_parts/model.h"

#include <math.h>

/* Time from a ShareRequest to the Share. */
#define SHARE_ROUND_TRIP_US (3 * MS)

static gint compare(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)ctx;
	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->sequence < y->sequence ? -1 : 1;
}

void model_schedule(struct sim *s, int64_t when,
		    void (*run)(struct sim *s, void *a, uint64_t n), void *a,
		    uint64_t n)
{
	struct event *event = g_new(struct event, 1);

	*event = (struct event){ when, s->sequence++, run, a, n };
	g_sequence_insert_sorted(s->events, event, compare, NULL);
}

/* Returns the delay of a message, one way. */
static int64_t network_delay_us(const struct sim *s, uint32_t router,
				uint32_t upstream)
{
	bool same = router % s->sc->zones == upstream % s->sc->zones;

	return same ? SAME_ZONE_US : s->sc->cross_zone_us;
}

/* Draws a service time: 1 ms and an exponential time of mean 4 ms. */
static int64_t draw_service_us(struct sim *s, uint32_t upstream)
{
	double random = -log(1.0 - g_rand_double(s->services));
	int64_t time = MS + (int64_t)(4.0 * (double)MS * random);
	bool slow = upstream < s->sc->stragglers && s->now_us >= WARM_UP_US;

	return slow ? STRAGGLER_SLOWDOWN * time : time;
}

static void send_waiting(struct sim *s, struct router *r);
static void finish_running(struct sim *s, void *a, uint64_t n);

/* Starts a copy; the upstream must have a free slot. */
static void start_running(struct sim *s, struct copy *copy)
{
	struct upstream *u = &s->upstreams[copy->upstream];

	u->running++;
	copy->running = true;
	copy->started_us = s->now_us;
	model_schedule(s, s->now_us + draw_service_us(s, copy->upstream),
		       finish_running, copy, 0);
}

/* Event: the upstream receives a copy, and starts or queues it. */
static void arrive_at_upstream(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct upstream *u = &s->upstreams[copy->upstream];

	(void)n;
	if (copy->ended)
		return;
	u->received++;
	s->sent++;
	s->overshoots += u->running >= SLOTS;
	if (u->running < SLOTS)
		start_running(s, copy);
	else
		g_queue_push_tail(&u->waiting, copy);
}

/* Frees a copy's slot, which the next waiting copy takes. */
static void stop_running(struct sim *s, struct copy *copy)
{
	struct upstream *u = &s->upstreams[copy->upstream];

	copy->running = false;
	copy->ended = true;
	u->running--;
	s->busy_us += s->now_us - copy->started_us;
	if (!g_queue_is_empty(&u->waiting))
		start_running(s, g_queue_pop_head(&u->waiting));
	if (!s->policy->via_home_router)
		return;
	u->home_admitted--;
	if (!g_queue_is_empty(&u->home_waiting)) {
		u->home_admitted++;
		/* The home router learns of the free slot and sends the next
		 * request: one round trip within the zone. */
		model_schedule(s, s->now_us + 2 * SAME_ZONE_US,
			       arrive_at_upstream,
			       g_queue_pop_head(&u->home_waiting), 0);
	}
}

/*
 * Event: the upstream is told to cancel a copy, as the request's other copy was
 * answered first. Takes it out of the upstream's queue, or stops it and frees
 * its slot.
 */
static void cancel(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;

	(void)n;
	if (copy->ended)
		return;
	if (copy->running) {
		s->wasted_us += s->now_us - copy->started_us;
		stop_running(s, copy);
		return;
	}
	copy->ended = true;
	g_queue_remove(&s->upstreams[copy->upstream].waiting, copy);
}

/* Ends a copy at its router, with an outcome for the router's pool. */
static void release_slot(struct sim *s, struct copy *copy,
			 enum pool_outcome_kind outcome)
{
	struct router *r = &s->routers[copy->request->router];

	r->in_flight[copy->upstream]--;
	if (!copy->flight)
		return;
	if (outcome == POOL_ANSWERED)
		pool_answer_started(r->pool, copy->flight, STR("b"), s->now_us);
	pool_finish(r->pool, copy->flight, outcome, s->now_us);
	copy->flight = NULL;
}

/* Event: the router receives an answer. Cancels the request's other copy. */
static void on_answer(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct request *request = copy->request;
	struct copy *other = &request->copies[copy == &request->copies[0]];
	int64_t took = s->now_us - request->arrived_us;

	(void)n;
	if (request->done)
		return;
	request->done = true;
	release_slot(s, copy, POOL_ANSWERED);
	if (request->arrived_us >= WARM_UP_US)
		g_array_append_val(s->times, took);
	if (other->request && !other->ended) {
		model_schedule(s,
			       s->now_us + network_delay_us(s, request->router,
							    other->upstream),
			       cancel, other, 0);
	}
	if (other->request)
		release_slot(s, other, POOL_CANCELLED);
	send_waiting(s, &s->routers[request->router]);
}

/* Event: a copy's service time is over; the upstream answers. */
static void finish_running(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;

	(void)n;
	if (copy->ended)
		return;
	stop_running(s, copy);
	model_schedule(s,
		       s->now_us + network_delay_us(s, copy->request->router,
						    copy->upstream),
		       on_answer, copy, 0);
}

/* Event: the home router receives a copy, and passes it on or queues it. */
static void arrive_at_home_router(struct sim *s, void *a, uint64_t n)
{
	struct copy *copy = a;
	struct upstream *u = &s->upstreams[copy->upstream];

	(void)n;
	if (u->home_admitted >= SLOTS) {
		g_queue_push_tail(&u->home_waiting, copy);
		return;
	}
	u->home_admitted++;
	model_schedule(s, s->now_us + SAME_ZONE_US, arrive_at_upstream, copy,
		       0);
}

/* Sends one of a request's copies, copies[which], to an upstream. */
static void send_copy(struct sim *s, struct request *request, int which,
		      uint32_t to)
{
	struct router *r = &s->routers[request->router];
	struct copy *copy = &request->copies[which];

	copy->request = request;
	copy->upstream = to;
	r->in_flight[to]++;
	if (r->pool)
		copy->flight = pool_start(r->pool, to, s->now_us);
	/* The home router is in its upstream's zone, so the distance is that to
	 * the upstream. */
	model_schedule(s, s->now_us + network_delay_us(s, request->router, to),
		       s->policy->via_home_router ? arrive_at_home_router
						  : arrive_at_upstream,
		       copy, 0);
}

/* Event: a router receives a Share, which says that upstream n is ready. */
static void apply_share(struct sim *s, void *a, uint64_t n)
{
	struct router *r = a;

	pool_apply_share(r->pool, (uint32_t)n, STR("b"),
			 s->now_us - SHARE_ROUND_TRIP_US, BUDGET_CONNECTIONS,
			 BUDGET_SHARE_US);
	send_waiting(s, r);
}

/* Sends the ShareRequests of a router that are due. */
static void request_shares(struct sim *s, struct router *r)
{
	struct pool_share_request asks[32];
	size_t count = pool_due_share_requests(r->pool, s->now_us, asks, 32);

	while (count--)
		model_schedule(s, s->now_us + SHARE_ROUND_TRIP_US, apply_share,
			       r, asks[count].upstream);
}

/* Event: sends a backup request, if none was answered yet and it is allowed. */
static void check_backup(struct sim *s, void *a, uint64_t n)
{
	struct request *request = a;
	struct router *r = &s->routers[request->router];
	uint32_t to;

	(void)n;
	if (request->done || !pool_backup_allowed(r->pool))
		return;
	if (pool_pick(r->pool, &request->copies[0].upstream, 1, s->now_us,
		      &to) == POOL_OK)
		send_copy(s, request, 1, to);
}

/* Sends a router's waiting requests until the policy makes one wait. */
static void send_waiting(struct sim *s, struct router *r)
{
	while (!g_queue_is_empty(&r->waiting)) {
		struct request *request = g_queue_peek_head(&r->waiting);
		uint32_t to = s->policy->choose(s, r, request);
		int64_t delay;

		if (to == POOL_NONE)
			break;
		g_queue_pop_head(&r->waiting);
		send_copy(s, request, 0, to);
		delay = s->sc->backup ? pool_backup_delay(r->pool) : INT64_MAX;
		if (delay < INT64_MAX)
			model_schedule(s, s->now_us + delay, check_backup,
				       request, 0);
	}
	if (r->pool)
		request_shares(s, r);
}

/* Event: a request arrives at a random router. Schedules the next arrival. */
static void new_request(struct sim *s, void *a, uint64_t n)
{
	const struct scenario *sc = s->sc;
	double rate = sc->load * SLOTS * sc->upstreams / (5.0 * (double)MS);
	double gap = -log(1.0 - g_rand_double(s->arrivals)) / rate;
	struct request *request = g_new0(struct request, 1);
	struct router *r;

	(void)a;
	(void)n;
	g_ptr_array_add(s->requests, request);
	request->router =
		(uint32_t)g_rand_int_range(s->arrivals, 0, (gint32)sc->routers);
	request->arrived_us = s->now_us;
	r = &s->routers[request->router];
	r->demand++;
	g_queue_push_tail(&r->waiting, request);
	send_waiting(s, r);
	if (s->now_us + (int64_t)gap < sc->run_us)
		model_schedule(s, s->now_us + (int64_t)gap, new_request, NULL,
			       0);
}

void model_run_period(struct sim *s, void *a, uint64_t n)
{
	uint32_t i;

	(void)a;
	(void)n;
	s->policy->period(s);
	for (i = 0; i < s->sc->routers; i++)
		send_waiting(s, &s->routers[i]);
	if (s->now_us < s->sc->run_us)
		model_schedule(s, s->now_us + PERIOD_US, model_run_period, NULL,
			       0);
}

/* Creates the routers and the upstreams. */
static void sim_init(struct sim *s)
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
			/* A home router limits the copies at its upstream
			 * instead of each router's pool. */
			.slots = s->policy->via_home_router ? 1000 : SLOTS,
			.seed = i,
		};

		r->next = i;
		r->in_flight = g_new0(uint32_t, count);
		r->tokens = g_new0(uint32_t, count);
		g_queue_init(&r->waiting);
		if (!s->policy->uses_pool)
			continue;
		r->pool = pool_create(&options);
		pool_set_routers(r->pool, routers, s->sc->routers);
		pool_update(r->pool, members, count);
	}
	g_free(members);
	g_free(ids);
	g_free(routers);
}

static void sim_clear(struct sim *s)
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
	g_ptr_array_free(s->requests, TRUE);
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

/* Returns a quantile of the latencies, which must be sorted. */
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
		.p50_ms = quantile_ms(s, 0.5),
		.p99_ms = quantile_ms(s, 0.99),
		.p999_ms = quantile_ms(s, 0.999),
		.imbalance = (double)most * s->sc->upstreams / (double)s->sent,
		.overshoot_percent =
			100.0 * (double)s->overshoots / (double)s->sent,
		.wasted_percent = 100.0 * (double)s->wasted_us /
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
	s.requests = g_ptr_array_new_with_free_func(g_free);
	sim_init(&s);
	model_schedule(&s, 0, new_request, NULL, 0);
	if (policy->period)
		model_schedule(&s, 0, model_run_period, NULL, 0);
	while (!g_sequence_is_empty(s.events)) {
		GSequenceIter *iter = g_sequence_get_begin_iter(s.events);
		struct event *event = g_sequence_get(iter);

		s.now_us = event->at_us;
		event->run(&s, event->a, event->n);
		g_sequence_remove(iter);
	}
	result = summarize(&s);
	sim_clear(&s);
	return result;
}
