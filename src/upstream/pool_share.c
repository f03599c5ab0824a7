#include "base/planted.h"
#include "upstream/pool_internal.h"

bool pool_is_ready(const struct upstream *u)
{
	if (injected(INJECTED_NEW_INCARNATION_WARM))
		return true;
	return u->ready;
}

void pool_set_cold(struct upstream *u, int64_t now_us)
{
	u->ready = false;
	u->generation++;
	/* Makes the allocator read the upstream again before it answers. */
	budget_share_invalidate(&u->share, now_us);
}

/* Sets the incarnation, whose readiness isn't known yet. */
static void set_boot(struct upstream *u, struct str boot)
{
	g_free(u->boot);
	u->boot = str_dup(boot);
	u->shutting_down = false;
	u->ready = false;
}

void pool_update_boot(struct upstream *u, const struct pool_flight *flight,
		      struct str boot, int64_t now_us)
{
	/* A late answer of a past incarnation says nothing about the present
	 * one. */
	if (!boot.len || flight->generation != u->generation)
		return;
	if (str_equal(boot, str_from(u->boot)))
		return;
	set_boot(u, boot);
	pool_set_cold(u, now_us);
}

void pool_mark_cold(struct pool *pool, uint32_t upstream, int64_t now_us)
{
	pool_set_cold(pool_at(pool, upstream), now_us);
}

/* Returns how many requests to ask a share for. Sets *returned when the share
 * held is unused and is to be given back. */
static uint32_t share_wanted(const struct pool *pool, struct upstream *u,
			     int64_t now_us, bool *returned)
{
	bool held = u->share.count && now_us < u->share.ends_us;
	uint32_t wants = MIN(u->share_wants, pool->options.slots);

	*returned = held && !wants && !u->share.in_use;
	return wants;
}

size_t pool_due_share_requests(struct pool *pool, int64_t now_us,
			       struct pool_share_request *asks, size_t max)
{
	size_t count = 0;
	guint i;

	for (i = 0; i < pool->used->len && count < max; i++) {
		struct upstream *u = g_ptr_array_index(pool->used, i);
		bool returned;
		uint32_t wants = share_wanted(pool, u, now_us, &returned);

		if (!wants && !u->share.in_use && !returned && !u->share.lost)
			continue;
		if (!budget_share_mark_requested(&u->share, now_us))
			continue;
		if (returned)
			budget_share_drop(&u->share, now_us);
		u->share_wants = 0;
		asks[count++] = (struct pool_share_request){
			.upstream = u->index,
			.ask = { wants, u->share.in_use, u->share.lost, now_us,
				 u->share.taken_us },
		};
	}
	return count;
}

void pool_apply_share(struct pool *pool, uint32_t upstream, struct str boot,
		      int64_t asked_us, uint32_t count, int64_t duration_us)
{
	struct upstream *u = pool_at(pool, upstream);

	if (!budget_share_apply(&u->share, asked_us, count, duration_us) ||
	    !boot.len)
		return;
	if (!str_equal(boot, str_from(u->boot))) {
		set_boot(u, boot);
		u->generation++;
	}
	u->ready = count >= BUDGET_CONNECTIONS;
}
