#include "bench_overload_parts/cold.h"

#include <glib.h>
#include <math.h>

#include "upstream/budget.h"
#include "upstream/pool.h"

#define MS INT64_C(1000)
#define ROUTERS 12
#define SLOTS 3
/* Length of a step. One router, in rotation, tries to send in each step. */
#define STEP_US INT64_C(100)

struct flight {
	struct pool *pool;
	struct pool_flight *flight;
	int64_t ends_us;
};

struct cold {
	bool shares;
	struct budget_allocator *holder;
	struct pool *pools[ROUTERS];
	char names[ROUTERS][8];
	GArray *flights;
	GRand *rng;
	struct cold_result result;
};

static void start(struct cold *c)
{
	struct pool_member member = { STR("u"), STR("z"), true };
	uint32_t i;

	c->holder = budget_allocator_create(-2 * BUDGET_SHARE_US);
	c->flights = g_array_new(FALSE, TRUE, sizeof(struct flight));
	c->rng = g_rand_new_with_seed(4);
	for (i = 0; i < ROUTERS; i++) {
		struct pool_options options = { .slots = SLOTS, .seed = i };

		g_snprintf(c->names[i], sizeof(c->names[i]), "%u", i);
		c->pools[i] = pool_create(&options);
		pool_update(c->pools[i], &member, 1);
	}
}

static void stop(struct cold *c)
{
	uint32_t i;

	for (i = 0; i < ROUTERS; i++)
		pool_destroy(c->pools[i]);
	budget_allocator_destroy(c->holder);
	g_array_free(c->flights, TRUE);
	g_rand_free(c->rng);
}

static void try_to_send(struct cold *c, struct pool *pool, int64_t now)
{
	double random = -4000.0 * log(1.0 - g_rand_double(c->rng));
	struct flight flight = { .pool = pool };

	if (c->shares && pool_check(pool, 0, now) != POOL_OK)
		return;
	flight.ends_us = now + MS + (int64_t)random;
	if (c->shares)
		flight.flight = pool_start(pool, 0, now);
	g_array_append_val(c->flights, flight);
	c->result.served++;
	c->result.max_concurrent =
		MAX(c->result.max_concurrent, c->flights->len);
}

static void end_flights(struct cold *c, int64_t now)
{
	guint i = 0;

	while (i < c->flights->len) {
		struct flight *f = &g_array_index(c->flights, struct flight, i);

		if (f->ends_us > now) {
			i++;
			continue;
		}
		if (f->flight)
			pool_finish(f->pool, f->flight, POOL_ANSWERED, now);
		g_array_remove_index_fast(c->flights, i);
	}
}

static void ask(struct cold *c, uint32_t router, int64_t now)
{
	struct budget_reading reading = { STR("b"), COLD_LIMIT, c->flights->len,
					  now };
	struct budget_grant grant;
	struct pool_share_request ask;

	if (!pool_due_share_requests(c->pools[router], now, &ask, 1))
		return;
	if (budget_allocator_stale(c->holder, now))
		budget_allocator_update(c->holder, &reading, now);
	grant = budget_allocator_grant(c->holder, str_from(c->names[router]),
				       &ask.ask, now);
	pool_apply_share(c->pools[router], 0, grant.boot, now, grant.count,
			 grant.duration_us);
}

struct cold_result cold_run(bool shares)
{
	struct cold c = { .shares = shares };
	int64_t now;
	uint32_t i;

	start(&c);
	for (now = 1; now < COLD_US; now += STEP_US) {
		try_to_send(&c, c.pools[now / STEP_US % ROUTERS], now);
		end_flights(&c, now);
		for (i = 0; shares && i < ROUTERS; i++)
			ask(&c, i, now);
	}
	stop(&c);
	return c.result;
}
