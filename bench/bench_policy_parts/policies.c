#include "bench_policy_parts/model.h"

/* Each router sends to all upstreams in turn, starting at its own index. */
static uint32_t choose_round_robin(struct sim *s, struct router *r,
				   struct request *request)
{
	(void)request;
	return r->next++ % s->sc->upstreams;
}

/* The router's pool chooses (upstream/pool.h). */
static uint32_t choose_pool(struct sim *s, struct router *r,
			    struct request *request)
{
	uint32_t to;

	(void)request;
	if (pool_pick(r->pool, NULL, 0, s->now_us, &to) != POOL_OK)
		return POOL_NONE;
	return to;
}

static uint32_t random_upstream(struct sim *s)
{
	return (uint32_t)g_rand_int_range(s->choices, 0,
					  (gint32)s->sc->upstreams);
}

/*
 * Chooses the better of two random upstreams, by the upstream's last report and
 * this router's own copies in flight.
 */
static uint32_t choose_reports(struct sim *s, struct router *r,
			       struct request *request)
{
	uint32_t a = random_upstream(s);
	uint32_t b = random_upstream(s);

	(void)request;
	return s->upstreams[a].reported + r->in_flight[a] <=
			       s->upstreams[b].reported + r->in_flight[b]
		       ? a
		       : b;
}

/* Reports the length of each upstream's queue to the routers. */
static void period_reports(struct sim *s)
{
	uint32_t i;

	for (i = 0; i < s->sc->upstreams; i++)
		s->upstreams[i].reported = s->upstreams[i].running +
					   s->upstreams[i].waiting.length;
}

/*
 * Chooses, among the upstreams for which this router has a free token, the one
 * with the fewest of its copies in flight.
 */
static uint32_t choose_shares(struct sim *s, struct router *r,
			      struct request *request)
{
	uint32_t first = random_upstream(s);
	uint32_t i, best = POOL_NONE;

	(void)request;
	for (i = 0; i < s->sc->upstreams; i++) {
		uint32_t u = (first + i) % s->sc->upstreams;

		if (r->in_flight[u] < r->tokens[u] &&
		    (best == POOL_NONE || r->in_flight[u] < r->in_flight[best]))
			best = u;
	}
	return best;
}

/*
 * Redistributes each upstream's tokens. Tokens in use stay with their router;
 * the others are drawn at random, weighted by the demand in the last period.
 */
static void period_shares(struct sim *s)
{
	uint32_t routers = s->sc->routers;
	uint64_t total = 0;
	uint32_t u, i;

	for (i = 0; i < routers; i++) {
		s->routers[i].demand += 1 + s->routers[i].waiting.length;
		total += s->routers[i].demand;
	}
	for (u = 0; u < s->sc->upstreams; u++) {
		uint32_t left = SLOTS;

		for (i = 0; i < routers; i++) {
			struct router *r = &s->routers[i];

			r->tokens[u] = MIN(r->in_flight[u], left);
			left -= r->tokens[u];
		}
		while (left--) {
			int64_t pick = (int64_t)(g_rand_double(s->choices) *
						 (double)total);

			for (i = 0; i + 1 < routers; i++) {
				pick -= s->routers[i].demand;
				if (pick < 0)
					break;
			}
			s->routers[i].tokens[u]++;
		}
	}
	for (i = 0; i < routers; i++)
		s->routers[i].demand = 0;
}

/* Name, choose(), period(), via_home_router, uses_pool. */
const struct policy policies[] = {
	{ "round-robin", choose_round_robin, NULL, false, false },
	{ "local-two-choices", choose_pool, NULL, false, true },
	{ "reports", choose_reports, period_reports, false, false },
	{ "shares", choose_shares, period_shares, false, false },
	{ "home", choose_pool, NULL, true, true },
};

const size_t policy_count = G_N_ELEMENTS(policies);
