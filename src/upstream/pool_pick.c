#include "base/planted.h"
#include "upstream/pool_internal.h"

/* Interval of straggler detection. */
#define CLASSIFY_US INT64_C(5000)
/* Interval at which a share of a cold upstream is asked for while other
 * upstreams can take requests. */
#define COLD_ASK_US BUDGET_REQUEST_INTERVAL_US
/* Time without an answer after which an idle upstream's times are ignored. */
#define STALE_US INT64_C(1000000)

int64_t pool_expected(const struct upstream *u, int64_t now_us)
{
	int64_t mean = u->times.mean_us;
	const GList *l;

	if (!mean)
		return 0;
	for (l = u->waiting.head; l; l = l->next) {
		const struct pool_flight *flight = l->data;

		mean = straggler_raise_mean(mean, now_us - flight->start_us);
	}
	return mean;
}

bool pool_takes_work(const struct upstream *u)
{
	if (injected(INJECTED_IGNORE_LEAVING))
		return u->listed;
	return u->listed && u->available && !u->shutting_down;
}

enum pool_availability pool_availability(const struct pool *pool,
					 const struct upstream *u,
					 int64_t now_us)
{
	struct budget_share share = u->share;

	if (!pool_takes_work(u))
		return POOL_EMPTY;
	if (u->in_flight >= pool->options.slots || now_us < u->backoff_until_us)
		return POOL_FULL;
	if (pool_is_ready(u))
		return POOL_OK;
	/* Done on a copy of the share, so that no place is taken yet. */
	return budget_share_use(&share, now_us) ? POOL_OK : POOL_NO_SHARE;
}

enum pool_availability pool_check(struct pool *pool, uint32_t upstream,
				  int64_t now_us)
{
	struct upstream *u = pool_at(pool, upstream);
	enum pool_availability availability =
		pool_availability(pool, u, now_us);

	if (availability == POOL_NO_SHARE)
		u->share_wants++;
	return availability;
}

static void classify_stragglers(struct pool *pool, int64_t now_us)
{
	GPtrArray *all = g_ptr_array_new();
	GArray *expected = g_array_new(FALSE, FALSE, sizeof(int64_t));
	guint i;

	for (i = 0; i < pool->used->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->used, i);
		int64_t time = pool_expected(u, now_us);

		if (!pool_takes_work(u))
			continue;
		g_ptr_array_add(all, &u->times);
		g_array_append_val(expected, time);
	}
	straggler_classify((struct straggler_state *const *)all->pdata,
			   (const int64_t *)(const void *)expected->data,
			   all->len, now_us);
	g_ptr_array_free(all, TRUE);
	g_array_free(expected, TRUE);
	pool->classified_us = now_us;
}

static bool was_tried(const uint32_t *tried, size_t count, uint32_t index)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (tried[i] == index)
			return true;
	return false;
}

/* What collect_candidates() finds besides pool->candidates. */
struct choice {
	/** A slow upstream for which a probe is due. */
	struct upstream *probe;
	/** A cold upstream without a share, chosen at random. */
	struct upstream *no_share;
	/** Number of cold upstreams without a share. */
	uint32_t no_share_count;
	/** Number of upstreams without a free slot or in back-off. */
	uint32_t full_count;
};

/* Fills pool->candidates with the upstreams that can take the request and
 * weren't tried yet. Sets in choice a slow one to probe, a cold one without a
 * share, and the counts. */
static void collect_candidates(struct pool *pool, const uint32_t *tried,
			       size_t tried_count, int64_t now_us,
			       struct choice *choice)
{
	guint i;

	g_ptr_array_set_size(pool->candidates, 0);
	for (i = 0; i < pool->used->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->used, i);

		if (was_tried(tried, tried_count, u->index))
			continue;
		switch (pool_availability(pool, u, now_us)) {
		case POOL_OK:
			if (!u->times.slow)
				g_ptr_array_add(pool->candidates, u);
			else if (!choice->probe && !u->in_flight &&
				 now_us >= u->times.probe_us)
				choice->probe = u;
			break;
		case POOL_NO_SHARE:
			choice->no_share_count++;
			if (!g_rand_int_range(pool->rng, 0,
					      (gint32)choice->no_share_count))
				choice->no_share = u;
			break;
		case POOL_FULL:
			choice->full_count++;
			break;
		case POOL_EMPTY:
			break;
		}
	}
}

/*
 * Scores an upstream for load balancing; lower is better. The score is the
 * number of requests in flight, the new one included, times the expected time
 * of each. An idle upstream without a recent answer scores best: otherwise
 * the slowest one would never be chosen again, and its old times would never be
 * replaced.
 */
static double score(const struct upstream *u, int64_t now_us)
{
	if (!u->in_flight && now_us - u->answered_us >= STALE_US)
		return 0;
	return ((double)u->in_flight + 1.0) *
	       (double)MAX(pool_expected(u, now_us), 1);
}

static struct upstream *better_of_two(struct pool *pool, int64_t now_us)
{
	guint count = pool->candidates->len;
	guint first = (guint)g_rand_int_range(pool->rng, 0, (gint32)count);
	guint second;
	struct upstream *a = g_ptr_array_index(pool->candidates, first);
	struct upstream *b;

	if (count == 1)
		return a;
	second = (guint)g_rand_int_range(pool->rng, 0, (gint32)count - 1);
	second += second >= first;
	b = g_ptr_array_index(pool->candidates, second);
	return score(b, now_us) < score(a, now_us) ? b : a;
}

/* Requests a share of a cold upstream every COLD_ASK_US, even if others can
 * take the request, so that the cold one gets requests again. */
static void request_cold_share(struct pool *pool, struct upstream *no_share,
			       int64_t now_us)
{
	if (!no_share || now_us < pool->cold_asked_us + COLD_ASK_US)
		return;
	pool->cold_asked_us = now_us;
	no_share->share_wants++;
}

enum pool_availability pool_pick(struct pool *pool, const uint32_t *tried,
				 size_t tried_count, int64_t now_us,
				 uint32_t *upstream)
{
	struct choice choice = { 0 };

	if (now_us >= pool->classified_us + CLASSIFY_US)
		classify_stragglers(pool, now_us);
	*upstream = POOL_NONE;
	collect_candidates(pool, tried, tried_count, now_us, &choice);
	if (choice.probe &&
	    straggler_start_probe(&choice.probe->times, now_us)) {
		*upstream = choice.probe->index;
		return POOL_OK;
	}
	if (pool->candidates->len) {
		request_cold_share(pool, choice.no_share, now_us);
		*upstream = better_of_two(pool, now_us)->index;
		return POOL_OK;
	}
	if (choice.no_share) {
		choice.no_share->share_wants++;
		*upstream = choice.no_share->index;
		return POOL_NO_SHARE;
	}
	return choice.full_count ? POOL_FULL : POOL_EMPTY;
}
