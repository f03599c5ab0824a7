#include "upstream/budget.h"

#include <glib.h>

#include "base/planted.h"

/* A share as the holder counts it. A router may have several: the last one
 * and earlier, larger ones that it may still be using. */
struct given {
	char *router;
	uint32_t count;
	int64_t ends_us;
	/** By the router's clock. */
	int64_t asked_us;
	/** It was given back: kept to know late requests by. */
	bool returned;
};

struct budget_holder {
	GArray *given;
	char *boot;
	uint32_t limit;
	/* When the last reading was asked for. */
	int64_t read_us;
	/* Nothing is given out before this. */
	int64_t starts_us;
	/* End of the last share that was not returned; a reading asked for
	 * after it says how many requests outlived such shares. */
	int64_t lapsed_us;
	uint32_t outlived;
};

static void given_clear(gpointer data)
{
	g_free(((struct given *)data)->router);
}

struct budget_holder *budget_holder_create(int64_t now_us)
{
	struct budget_holder *holder = g_new0(struct budget_holder, 1);

	holder->given = g_array_new(FALSE, FALSE, sizeof(struct given));
	g_array_set_clear_func(holder->given, given_clear);
	holder->boot = g_strdup("");
	holder->read_us = INT64_MIN / 2;
	holder->starts_us = now_us + BUDGET_SHARE_US + BUDGET_MARGIN_US;
	if (injected(INJECTED_NEW_HOLDER_NO_WAIT))
		holder->starts_us = now_us;
	/* Requests of the last holder's shares may still run. */
	holder->lapsed_us = holder->starts_us;
	return holder;
}

void budget_holder_destroy(struct budget_holder *holder)
{
	if (!holder)
		return;
	g_array_free(holder->given, TRUE);
	g_free(holder->boot);
	g_free(holder);
}

static struct given *given_at(struct budget_holder *holder, guint i)
{
	return &g_array_index(holder->given, struct given, i);
}

/* The most that one router may use, without the entry at index skip. */
static uint32_t router_given(struct budget_holder *holder, const char *router,
			     guint skip)
{
	uint32_t most = 0;
	guint i;

	for (i = 0; i < holder->given->len; i++) {
		const struct given *g = given_at(holder, i);

		if (i != skip && !strcmp(g->router, router))
			most = MAX(most, g->count);
	}
	return most;
}

/* Removes shares that ended; notes those that were not returned. */
static void expire(struct budget_holder *holder, int64_t now_us)
{
	guint i = 0;

	while (i < holder->given->len) {
		const struct given *g = given_at(holder, i);

		if (now_us < g->ends_us) {
			i++;
			continue;
		}
		if (g->count > router_given(holder, g->router, i))
			holder->lapsed_us = MAX(holder->lapsed_us, g->ends_us);
		g_array_remove_index_fast(holder->given, i);
	}
}

/* Counts each router once: the first entry of it stands for all. */
static uint32_t sum_given(struct budget_holder *holder, const char *but)
{
	uint32_t sum = 0;
	guint i, j;

	for (i = 0; i < holder->given->len; i++) {
		const char *router = given_at(holder, i)->router;

		if (but && !strcmp(but, router))
			continue;
		for (j = 0; j < i; j++)
			if (!strcmp(given_at(holder, j)->router, router))
				break;
		if (j == i)
			sum += router_given(holder, router, G_MAXUINT);
	}
	return sum;
}

static bool is_ready(const struct budget_holder *holder)
{
	return holder->limit >= BUDGET_CONNECTIONS;
}

void budget_holder_read(struct budget_holder *holder,
			const struct budget_reading *reading, int64_t now_us)
{
	bool same = str_equal(str_from(holder->boot), reading->boot);

	expire(holder, now_us);
	if (reading->asked_us < holder->read_us)
		return;
	if (reading->asked_us >= holder->lapsed_us)
		holder->outlived =
			same && holder->read_us >= holder->lapsed_us
				? MIN(holder->outlived, reading->running)
				: reading->running;
	if (!same) {
		g_free(holder->boot);
		holder->boot = str_dup(reading->boot);
	}
	holder->limit = reading->boot.len ? reading->limit : 0;
	holder->read_us = reading->asked_us;
}

bool budget_holder_stale(const struct budget_holder *holder, int64_t now_us)
{
	return now_us >= holder->read_us + BUDGET_SHARE_US / 2 ||
	       holder->read_us < holder->lapsed_us;
}

/* Room for a router's share beside the others'. */
static uint32_t room_for(struct budget_holder *holder, const char *router,
			 int64_t now_us)
{
	uint32_t taken;

	if (now_us < holder->starts_us)
		return 0;
	if (injected(INJECTED_LIMIT_PER_ROUTER))
		return holder->limit;
	if (holder->read_us < holder->lapsed_us)
		return 0;
	if (is_ready(holder))
		return holder->limit;
	taken = sum_given(holder, router) + holder->outlived;
	return taken < holder->limit ? holder->limit - taken : 0;
}

/* Removes what a router says that it has replaced. What it runs under these is
 * part of what it reports in use. */
static void remove_replaced(struct budget_holder *holder, const char *router,
			    int64_t taken_us)
{
	guint i = 0;

	while (i < holder->given->len) {
		const struct given *g = given_at(holder, i);

		if (g->asked_us < taken_us && !strcmp(g->router, router))
			g_array_remove_index_fast(holder->given, i);
		else
			i++;
	}
}

/* Routers that hold a share or were refused one within its duration. */
static uint32_t contenders(struct budget_holder *holder)
{
	uint32_t count = 0;
	guint i, j;

	for (i = 0; i < holder->given->len; i++) {
		if (given_at(holder, i)->returned)
			continue;
		for (j = 0; j < i; j++)
			if (!strcmp(given_at(holder, j)->router,
				    given_at(holder, i)->router))
				break;
		if (j == i)
			count++;
	}
	return count;
}

/* Leaves room for the others when there are more than the limit serves. */
static uint32_t fair_room(struct budget_holder *holder, const char *router,
			  uint32_t room)
{
	uint32_t routers = contenders(holder);

	if (routers > holder->limit && router_given(holder, router, G_MAXUINT))
		return 0;
	return MIN(room, MAX(1, holder->limit / MAX(1, routers)));
}

static void remove_router(struct budget_holder *holder, const char *router)
{
	guint i = 0;

	while (i < holder->given->len) {
		if (strcmp(given_at(holder, i)->router, router) != 0)
			i++;
		else
			g_array_remove_index_fast(holder->given, i);
	}
}

static void note_given(struct budget_holder *holder, const char *router,
		       uint32_t count, const struct budget_ask *ask,
		       int64_t ends_us)
{
	struct given given = {
		.router = g_strdup(router),
		.count = count,
		.ends_us = ends_us,
		.asked_us = ask->asked_us,
		.returned = !ask->wanted && !ask->in_use,
	};

	g_array_append_val(holder->given, given);
}

static bool is_overtaken(struct budget_holder *holder, const char *router,
			 int64_t asked_us)
{
	guint i;

	for (i = 0; i < holder->given->len; i++) {
		const struct given *g = given_at(holder, i);

		if (!strcmp(g->router, router) && asked_us <= g->asked_us)
			return true;
	}
	return false;
}

static uint32_t give(struct budget_holder *holder, const char *router,
		     const struct budget_ask *ask, int64_t left, int64_t now_us)
{
	uint32_t room = room_for(holder, router, now_us);

	if (is_ready(holder))
		return room;
	room = MIN(fair_room(holder, router, room), ask->wanted + ask->in_use);
	/* What runs is counted, but may be more than there is room for: a share
	 * that ended had its room given to others. It isn't room for another.
	 */
	remove_replaced(holder, router, ask->taken_us);
	note_given(holder, router, MAX(room, ask->in_use), ask,
		   now_us + left + BUDGET_MARGIN_US);
	return room;
}

/* While it is ready, requests aren't counted: what matters then is whether it
 * is still the same incarnation. */
static void lose(struct budget_holder *holder, int64_t now_us)
{
	int64_t margin = is_ready(holder) ? 0 : BUDGET_MARGIN_US;

	holder->lapsed_us = MAX(holder->lapsed_us, now_us + margin);
}

struct budget_grant budget_holder_ask(struct budget_holder *holder,
				      struct str router,
				      const struct budget_ask *ask,
				      int64_t now_us)
{
	struct budget_grant grant = { .boot = str_from(holder->boot) };
	int64_t left = holder->read_us + BUDGET_SHARE_US - now_us;
	char *id = str_dup(router);

	expire(holder, now_us);
	if (ask->lost)
		lose(holder, now_us);
	if (is_overtaken(holder, id, ask->asked_us)) {
		grant.duration_us = 0;
	} else if (!ask->wanted && !ask->in_use) {
		remove_router(holder, id);
		note_given(holder, id, 0, ask,
			   now_us + BUDGET_SHARE_US + BUDGET_MARGIN_US);
	} else if (left > 0 && holder->limit) {
		grant.duration_us = left;
		grant.count = give(holder, id, ask, left, now_us);
	}
	g_free(id);
	return grant;
}

uint32_t budget_holder_given(struct budget_holder *holder, int64_t now_us)
{
	expire(holder, now_us);
	return sum_given(holder, NULL);
}

bool budget_share_ask(struct budget_share *share, int64_t now_us)
{
	if (share->asked_us && now_us < share->asked_us + BUDGET_ASK_US)
		return false;
	share->asked_us = now_us;
	return true;
}

bool budget_share_take(struct budget_share *share, int64_t asked_us,
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

void budget_share_lose(struct budget_share *share, int64_t now_us)
{
	budget_share_drop(share, now_us);
	share->lost = true;
}

uint32_t budget_connections(uint32_t connections, uint32_t daemons)
{
	return MAX(1, connections / MAX(1, daemons));
}
