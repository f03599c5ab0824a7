#include "bench_overload_parts/cold.h"

#include <glib.h>
#include <math.h>

#include "upstream/budget.h"
#include "upstream/pool.h"

/* Microseconds per millisecond. */
#define MS INT64_C(1000)
#define ROUTERS 12
/* Most requests that one router runs on the upstream at once. */
#define SLOTS 3
/* Length of a step. One router, in rotation, tries to send in each step. */
#define STEP_US INT64_C(100)

/* A request in flight at the upstream. */
struct flight {
	/* Pool of the router that sent it, and its handle there; the handle is
	 * NULL without shares. */
	struct pool *pool;
	struct pool_flight *flight;
	int64_t ends_us;
};

struct cold_model {
	/* Whether routers send only within shares of the budget. */
	bool shares;
	struct budget_allocator *allocator;
	/* Each router's pool, with the upstream as its only member. */
	struct pool *pools[ROUTERS];
	char names[ROUTERS][8];
	/* Requests in flight at the upstream (struct flight). */
	GArray *in_flight;
	GRand *rng;
	struct cold_result result;
};

static void model_init(struct cold_model *c)
{
	struct pool_member member = { STR("u"), STR("z"), true };
	uint32_t i;

	/* Created so early that it may grant shares from the first step on. */
	c->allocator = budget_allocator_create(-2 * BUDGET_SHARE_US);
	c->in_flight = g_array_new(FALSE, TRUE, sizeof(struct flight));
	c->rng = g_rand_new_with_seed(4);
	for (i = 0; i < ROUTERS; i++) {
		struct pool_options options = { .slots = SLOTS, .seed = i };

		g_snprintf(c->names[i], sizeof(c->names[i]), "%u", i);
		c->pools[i] = pool_create(&options);
		pool_update(c->pools[i], &member, 1);
	}
}

static void model_clear(struct cold_model *c)
{
	uint32_t i;

	for (i = 0; i < ROUTERS; i++)
		pool_destroy(c->pools[i]);
	budget_allocator_destroy(c->allocator);
	g_array_free(c->in_flight, TRUE);
	g_rand_free(c->rng);
}

/* Sends one request if the router may; it takes 5 ms in the mean. */
static void try_to_send(struct cold_model *c, struct pool *pool, int64_t now)
{
	double random = -4000.0 * log(1.0 - g_rand_double(c->rng));
	struct flight flight = { .pool = pool };

	if (c->shares && pool_check(pool, 0, now) != POOL_OK)
		return;
	flight.ends_us = now + MS + (int64_t)random;
	if (c->shares)
		flight.flight = pool_start(pool, 0, now);
	g_array_append_val(c->in_flight, flight);
	c->result.served++;
	c->result.max_concurrent =
		MAX(c->result.max_concurrent, c->in_flight->len);
}

static void end_flights(struct cold_model *c, int64_t now)
{
	guint i = 0;

	while (i < c->in_flight->len) {
		struct flight *f =
			&g_array_index(c->in_flight, struct flight, i);

		if (f->ends_us > now) {
			i++;
			continue;
		}
		if (f->flight)
			pool_finish(f->pool, f->flight, POOL_ANSWERED, now);
		g_array_remove_index_fast(c->in_flight, i);
	}
}

/* Sends a router's ShareRequest when one is due; its answer takes no time. */
static void request_share(struct cold_model *c, uint32_t router, int64_t now)
{
	struct budget_reading reading = { STR("b"), COLD_LIMIT,
					  c->in_flight->len, now };
	struct budget_grant grant;
	struct pool_share_request due;

	if (!pool_due_share_requests(c->pools[router], now, &due, 1))
		return;
	if (budget_allocator_stale(c->allocator, now))
		budget_allocator_update(c->allocator, &reading, now);
	grant = budget_allocator_grant(c->allocator, str_from(c->names[router]),
				       &due.ask, now);
	pool_apply_share(c->pools[router], 0, grant.boot, now, grant.count,
			 grant.duration_us);
}

struct cold_result cold_run(bool shares)
{
	struct cold_model c = { .shares = shares };
	int64_t now;
	uint32_t i;

	model_init(&c);
	for (now = 1; now < COLD_US; now += STEP_US) {
		try_to_send(&c, c.pools[now / STEP_US % ROUTERS], now);
		end_flights(&c, now);
		for (i = 0; shares && i < ROUTERS; i++)
			request_share(&c, i, now);
	}
	model_clear(&c);
	return c.result;
}
