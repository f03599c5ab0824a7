#include "upstream/budget.h"

#include <glib.h>

#include "base/planted.h"

/* A share as the allocator counts it. A router may have several: the last one
 * and earlier, larger ones that it may still be using. */
struct grant {
	char *router;
	uint32_t count;
	/** When the share ends, by the allocator's clock, margin included. */
	int64_t ends_us;
	/** When the router asked, by the router's clock. */
	int64_t asked_us;
	/** The router returned its share. The entry is kept to recognise late
	 * ShareRequests. */
	bool returned;
};

struct budget_allocator {
	/* The shares counted now. */
	GArray *grants;
	/* Incarnation of the upstream; "" when unknown. */
	char *boot;
	/* Limit of concurrent requests in the upstream's last report. */
	uint32_t limit;
	/* When the allocator asked for the last report. */
	int64_t read_us;
	/* No share is granted before this time: shares of the previous
	 * allocator may be in use until then. */
	int64_t grants_from_us;
	/* Nothing is granted until a report was asked for at this time or
	 * later: the end of the last share that was not returned, or the time
	 * at which a router gave up a request, margin included. Such a report
	 * tells how many requests run without a share. */
	int64_t min_read_us;
	/* Most requests that still run without a share that counts them. */
	uint32_t uncounted_requests;
};

static void grant_clear(gpointer data)
{
	g_free(((struct grant *)data)->router);
}

struct budget_allocator *budget_allocator_create(int64_t now_us)
{
	struct budget_allocator *allocator = g_new0(struct budget_allocator, 1);

	allocator->grants = g_array_new(FALSE, FALSE, sizeof(struct grant));
	g_array_set_clear_func(allocator->grants, grant_clear);
	allocator->boot = g_strdup("");
	allocator->read_us = INT64_MIN / 2;
	allocator->grants_from_us = now_us + BUDGET_SHARE_US + BUDGET_MARGIN_US;
	if (injected(INJECTED_NEW_HOLDER_NO_WAIT))
		allocator->grants_from_us = now_us;
	/* Requests under shares of the previous allocator may still run. */
	allocator->min_read_us = allocator->grants_from_us;
	return allocator;
}

void budget_allocator_destroy(struct budget_allocator *allocator)
{
	if (!allocator)
		return;
	g_array_free(allocator->grants, TRUE);
	g_free(allocator->boot);
	g_free(allocator);
}

static struct grant *grant_at(struct budget_allocator *allocator, guint i)
{
	return &g_array_index(allocator->grants, struct grant, i);
}

/* Returns the largest share of one router, except for the entry at index skip.
 */
static uint32_t largest_grant(struct budget_allocator *allocator,
			      const char *router, guint skip)
{
	uint32_t most = 0;
	guint i;

	for (i = 0; i < allocator->grants->len; i++) {
		const struct grant *g = grant_at(allocator, i);

		if (i != skip && !strcmp(g->router, router))
			most = MAX(most, g->count);
	}
	return most;
}

/* Removes shares that ended. For one that was not returned, requires a report
 * asked for after its end. */
static void expire(struct budget_allocator *allocator, int64_t now_us)
{
	guint i = 0;

	while (i < allocator->grants->len) {
		const struct grant *g = grant_at(allocator, i);

		if (now_us < g->ends_us) {
			i++;
			continue;
		}
		if (g->count > largest_grant(allocator, g->router, i))
			allocator->min_read_us =
				MAX(allocator->min_read_us, g->ends_us);
		g_array_remove_index_fast(allocator->grants, i);
	}
}

/* Sums the largest share of each router, without the router except unless that
 * is NULL. A router is counted at its first entry. */
static uint32_t sum_grants(struct budget_allocator *allocator,
			   const char *except)
{
	uint32_t sum = 0;
	guint i, j;

	for (i = 0; i < allocator->grants->len; i++) {
		const char *router = grant_at(allocator, i)->router;

		if (except && !strcmp(except, router))
			continue;
		for (j = 0; j < i; j++)
			if (!strcmp(grant_at(allocator, j)->router, router))
				break;
		if (j == i)
			sum += largest_grant(allocator, router, G_MAXUINT);
	}
	return sum;
}

/* Returns whether the upstream's last report says that it is ready. */
static bool is_ready(const struct budget_allocator *allocator)
{
	return allocator->limit >= BUDGET_CONNECTIONS;
}

void budget_allocator_update(struct budget_allocator *allocator,
			     const struct budget_reading *reading,
			     int64_t now_us)
{
	bool same_boot = str_equal(str_from(allocator->boot), reading->boot);

	expire(allocator, now_us);
	if (reading->asked_us < allocator->read_us)
		return;
	/* A report counts the requests under current shares as well. Requests
	 * without a share only become fewer, so a further report of the same
	 * incarnation may lower their number but not raise it. */
	if (reading->asked_us >= allocator->min_read_us)
		allocator->uncounted_requests =
			same_boot && allocator->read_us >=
						allocator->min_read_us
				? MIN(allocator->uncounted_requests,
				      reading->running)
				: reading->running;
	if (!same_boot) {
		g_free(allocator->boot);
		allocator->boot = str_dup(reading->boot);
	}
	allocator->limit = reading->boot.len ? reading->limit : 0;
	allocator->read_us = reading->asked_us;
}

bool budget_allocator_stale(const struct budget_allocator *allocator,
			    int64_t now_us)
{
	return now_us >= allocator->read_us + BUDGET_SHARE_US / 2 ||
	       allocator->read_us < allocator->min_read_us;
}

/* Returns the largest share that a router can get beside the others' shares. */
static uint32_t available_to(struct budget_allocator *allocator,
			     const char *router, int64_t now_us)
{
	uint32_t taken;

	if (now_us < allocator->grants_from_us)
		return 0;
	if (injected(INJECTED_LIMIT_PER_ROUTER))
		return allocator->limit;
	if (allocator->read_us < allocator->min_read_us)
		return 0;
	if (is_ready(allocator))
		return allocator->limit;
	taken = sum_grants(allocator, router) + allocator->uncounted_requests;
	return taken < allocator->limit ? allocator->limit - taken : 0;
}

/* Removes the shares that a router reports as replaced. Its requests under
 * these are part of what it reports in use. */
static void remove_replaced(struct budget_allocator *allocator,
			    const char *router, int64_t taken_us)
{
	guint i = 0;

	while (i < allocator->grants->len) {
		const struct grant *g = grant_at(allocator, i);

		if (g->asked_us < taken_us && !strcmp(g->router, router))
			g_array_remove_index_fast(allocator->grants, i);
		else
			i++;
	}
}

/* Counts the routers that hold a share or were refused one within the duration
 * of a share. */
static uint32_t count_contenders(struct budget_allocator *allocator)
{
	uint32_t count = 0;
	guint i, j;

	for (i = 0; i < allocator->grants->len; i++) {
		if (grant_at(allocator, i)->returned)
			continue;
		for (j = 0; j < i; j++)
			if (!strcmp(grant_at(allocator, j)->router,
				    grant_at(allocator, i)->router))
				break;
		if (j == i)
			count++;
	}
	return count;
}

/* Limits a router's share to its fair part. When there are more routers than
 * the limit can serve, one that holds a share gets nothing. */
static uint32_t limit_to_fair_share(struct budget_allocator *allocator,
				    const char *router, uint32_t room)
{
	uint32_t routers = count_contenders(allocator);

	if (routers > allocator->limit &&
	    largest_grant(allocator, router, G_MAXUINT))
		return 0;
	return MIN(room, MAX(1, allocator->limit / MAX(1, routers)));
}

static void remove_router(struct budget_allocator *allocator,
			  const char *router)
{
	guint i = 0;

	while (i < allocator->grants->len) {
		if (strcmp(grant_at(allocator, i)->router, router) != 0)
			i++;
		else
			g_array_remove_index_fast(allocator->grants, i);
	}
}

static void record_grant(struct budget_allocator *allocator, const char *router,
			 uint32_t count, const struct budget_request *ask,
			 int64_t ends_us)
{
	struct grant entry = {
		.router = g_strdup(router),
		.count = count,
		.ends_us = ends_us,
		.asked_us = ask->asked_us,
		.returned = !ask->wanted && !ask->in_use,
	};

	g_array_append_val(allocator->grants, entry);
}

/* Returns whether a ShareRequest of this router that is at least as new was
 * answered already. */
static bool was_overtaken(struct budget_allocator *allocator,
			  const char *router, int64_t asked_us)
{
	guint i;

	for (i = 0; i < allocator->grants->len; i++) {
		const struct grant *g = grant_at(allocator, i);

		if (!strcmp(g->router, router) && asked_us <= g->asked_us)
			return true;
	}
	return false;
}

/* Computes a router's share and counts it. A ready upstream's shares are not
 * counted.
 *
 * @param left_us time until the share ends at the router */
static uint32_t grant_share(struct budget_allocator *allocator,
			    const char *router,
			    const struct budget_request *ask, int64_t left_us,
			    int64_t now_us)
{
	uint32_t room = available_to(allocator, router, now_us);

	if (is_ready(allocator))
		return room;
	room = MIN(limit_to_fair_share(allocator, router, room),
		   ask->wanted + ask->in_use);
	/* All requests that run are counted, even if they are more than the
	 * room: after a share ended, its places may have been granted to
	 * others. Such requests don't entitle the router to new ones. */
	remove_replaced(allocator, router, ask->taken_us);
	record_grant(allocator, router, MAX(room, ask->in_use), ask,
		     now_us + left_us + BUDGET_MARGIN_US);
	return room;
}

/* Requires a new report of the upstream after a router gave up a request. For a
 * ready upstream requests aren't counted; the report only shows whether it is
 * still the same incarnation, so no margin is needed. */
static void require_reading(struct budget_allocator *allocator, int64_t now_us)
{
	int64_t margin = is_ready(allocator) ? 0 : BUDGET_MARGIN_US;

	allocator->min_read_us = MAX(allocator->min_read_us, now_us + margin);
}

struct budget_grant budget_allocator_grant(struct budget_allocator *allocator,
					   struct str router,
					   const struct budget_request *ask,
					   int64_t now_us)
{
	struct budget_grant grant = { .boot = str_from(allocator->boot) };
	int64_t left_us = allocator->read_us + BUDGET_SHARE_US - now_us;
	char *id = str_dup(router);

	expire(allocator, now_us);
	if (ask->lost)
		require_reading(allocator, now_us);
	if (was_overtaken(allocator, id, ask->asked_us)) {
		grant.duration_us = 0;
	} else if (!ask->wanted && !ask->in_use) {
		remove_router(allocator, id);
		record_grant(allocator, id, 0, ask,
			     now_us + BUDGET_SHARE_US + BUDGET_MARGIN_US);
	} else if (left_us > 0 && allocator->limit) {
		grant.duration_us = left_us;
		grant.count = grant_share(allocator, id, ask, left_us, now_us);
	}
	g_free(id);
	return grant;
}

uint32_t budget_allocator_granted(struct budget_allocator *allocator,
				  int64_t now_us)
{
	expire(allocator, now_us);
	return sum_grants(allocator, NULL);
}

bool budget_share_mark_requested(struct budget_share *share, int64_t now_us)
{
	if (share->asked_us &&
	    now_us < share->asked_us + BUDGET_REQUEST_INTERVAL_US)
		return false;
	share->asked_us = now_us;
	return true;
}

bool budget_share_apply(struct budget_share *share, int64_t asked_us,
			uint32_t count, int64_t duration_us)
{
	if (asked_us <= share->taken_us)
		return false;
	share->taken_us = asked_us;
	share->lost = false;
	share->count = count;
	share->ends_us = asked_us + duration_us;
	return true;
}

static bool is_live(const struct budget_share *share, int64_t now_us)
{
	return now_us < share->ends_us ||
	       injected(INJECTED_SHARE_NEVER_EXPIRES);
}

bool budget_share_use(struct budget_share *share, int64_t now_us)
{
	if (!is_live(share, now_us) || share->in_use >= share->count)
		return false;
	share->in_use++;
	return true;
}

void budget_share_release(struct budget_share *share)
{
	if (share->in_use)
		share->in_use--;
}

void budget_share_drop(struct budget_share *share, int64_t now_us)
{
	share->count = 0;
	share->ends_us = 0;
	share->taken_us = now_us;
}

void budget_share_invalidate(struct budget_share *share, int64_t now_us)
{
	budget_share_drop(share, now_us);
	share->lost = true;
}

uint32_t budget_connections(uint32_t connections, uint32_t daemons)
{
	return MAX(1, connections / MAX(1, daemons));
}
