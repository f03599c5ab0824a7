#include "base/planted.h"
#include "upstream/pool_internal.h"

/* How often slow upstreams are looked for. */
#define JUDGE_US INT64_C(5000)
/* How often one lapsed upstream is asked about while others have room. */
#define REVIVE_US BUDGET_ASK_US
/* How long an upstream's times count without an answer. */
#define STALE_US INT64_C(1000000)

int64_t pool_expected(const struct upstream *u, int64_t now_us)
{
	int64_t mean = u->times.mean_us;
	const GList *l;

	if (!mean)
		return 0;
	for (l = u->waiting.head; l; l = l->next) {
		const struct pool_flight *flight = l->data;

		mean = straggler_fold(mean, now_us - flight->start_us);
	}
	return mean;
}

bool pool_takes_work(const struct upstream *u)
{
	if (injected(INJECTED_IGNORE_LEAVING))
		return u->listed;
	return u->listed && u->available && !u->left;
}

enum pool_place pool_place(const struct pool *pool, const struct upstream *u,
			   int64_t now_us)
{
	struct budget_share share = u->share;

	if (!pool_takes_work(u))
		return POOL_EMPTY;
	if (u->in_flight >= pool->options.slots || now_us < u->rest_us)
		return POOL_FULL;
	if (pool_is_ready(u))
		return POOL_OK;
	/* Tried on a copy: nothing is taken yet. */
	return budget_share_use(&share, now_us) ? POOL_OK : POOL_NO_SHARE;
}

enum pool_place pool_check(struct pool *pool, uint32_t upstream, int64_t now_us)
{
	struct upstream *u = pool_at(pool, upstream);
	enum pool_place place = pool_place(pool, u, now_us);

	if (place == POOL_NO_SHARE)
		u->wants++;
	return place;
}

static void judge(struct pool *pool, int64_t now_us)
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
	straggler_judge((struct straggler *const *)all->pdata,
			(const int64_t *)(const void *)expected->data, all->len,
			now_us);
	g_ptr_array_free(all, TRUE);
	g_array_free(expected, TRUE);
	pool->judged_us = now_us;
}

static bool was_tried(const uint32_t *tried, size_t count, uint32_t index)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (tried[i] == index)
			return true;
	return false;
}

struct choice {
	/** A slow upstream that is due for a probe. */
	struct upstream *probe;
	/** A cold upstream without a share, chosen at random. */
	struct upstream *lapsed;
	uint32_t lapsed_count;
	uint32_t full_count;
};

/* Sorts the upstreams by what can be done with them. */
static void collect(struct pool *pool, const uint32_t *tried,
		    size_t tried_count, int64_t now_us, struct choice *choice)
{
	guint i;

	g_ptr_array_set_size(pool->candidates, 0);
	for (i = 0; i < pool->used->len; i++) {
		struct upstream *u = g_ptr_array_index(pool->used, i);

		if (was_tried(tried, tried_count, u->index))
			continue;
		switch (pool_place(pool, u, now_us)) {
		case POOL_OK:
			if (!u->times.slow)
				g_ptr_array_add(pool->candidates, u);
			else if (!choice->probe && !u->in_flight &&
				 now_us >= u->times.probe_us)
				choice->probe = u;
			break;
		case POOL_NO_SHARE:
			choice->lapsed_count++;
			if (!g_rand_int_range(pool->rng, 0,
					      (gint32)choice->lapsed_count))
				choice->lapsed = u;
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
 * Lower is better: what waits there, and how long each takes. Of an upstream
 * that has not answered lately nothing is known: it is tried, or the one that
 * was the slowest once would never be chosen again.
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

/* Asks about a lapsed upstream now and then, so that it gets work again. */
static void revive(struct pool *pool, struct upstream *lapsed, int64_t now_us)
{
	if (!lapsed || now_us < pool->revived_us + REVIVE_US)
		return;
	pool->revived_us = now_us;
	lapsed->wants++;
}

enum pool_place pool_pick(struct pool *pool, const uint32_t *tried,
			  size_t tried_count, int64_t now_us,
			  uint32_t *upstream)
{
	struct choice choice = { 0 };

	if (now_us >= pool->judged_us + JUDGE_US)
		judge(pool, now_us);
	*upstream = POOL_NONE;
	collect(pool, tried, tried_count, now_us, &choice);
	if (choice.probe && straggler_probe(&choice.probe->times, now_us)) {
		*upstream = choice.probe->index;
		return POOL_OK;
	}
	if (pool->candidates->len) {
		revive(pool, choice.lapsed, now_us);
		*upstream = better_of_two(pool, now_us)->index;
		return POOL_OK;
	}
	if (choice.lapsed) {
		choice.lapsed->wants++;
		*upstream = choice.lapsed->index;
		return POOL_NO_SHARE;
	}
	return choice.full_count ? POOL_FULL : POOL_EMPTY;
}
