/*
 * Shares of an upstream's limit, at the allocator and at a router; subsets of
 * upstreams; reuse of connections. Times are microseconds.
 */
#include <glib.h>

#include "suite.h"
#include "upstream/budget.h"
#include "upstream/connection.h"
#include "upstream/subset.h"

/* Microseconds in a millisecond. */
#define MS INT64_C(1000)
/* Time after its creation from which an allocator grants shares. */
#define FIRST_GRANT_US (BUDGET_SHARE_US + BUDGET_MARGIN_US)

/* Applies a report that the upstream made at the time now. */
static void apply_reading(struct budget_allocator *allocator, const char *boot,
			  uint32_t limit, uint32_t running, int64_t now)
{
	struct budget_reading reading = { str_from(boot), limit, running, now };

	budget_allocator_update(allocator, &reading, now);
}

/* Answers a router's ShareRequest. @return the number of requests granted */
static uint32_t ask_share(struct budget_allocator *allocator,
			  const char *router, uint32_t wanted, uint32_t in_use,
			  int64_t now)
{
	struct budget_request request = { wanted, in_use, false, now, 0 };

	return budget_allocator_grant(allocator, str_from(router), &request,
				      now)
		.count;
}

static void new_allocator_waits(void)
{
	struct budget_allocator *allocator = budget_allocator_create(0);

	apply_reading(allocator, "b", 2, 0, FIRST_GRANT_US - 1);
	CU_ASSERT_EQUAL(ask_share(allocator, "r1", 1, 0, FIRST_GRANT_US - 1),
			0);
	/* A report asked for before the wait ended may miss requests. */
	CU_ASSERT_EQUAL(ask_share(allocator, "r1", 1, 0, FIRST_GRANT_US + 1),
			0);
	CU_ASSERT_TRUE(budget_allocator_stale(allocator, FIRST_GRANT_US + 1));
	apply_reading(allocator, "b", 2, 1, FIRST_GRANT_US + 2);
	CU_ASSERT_EQUAL(ask_share(allocator, "r1", 2, 0, FIRST_GRANT_US + 3),
			1);
	CU_ASSERT_EQUAL(ask_share(allocator, "r2", 2, 0, FIRST_GRANT_US + 3),
			0);
	budget_allocator_destroy(allocator);
}

static void shares_sum_to_the_limit(void)
{
	static const char *const routers[] = { "a", "b", "c", "d" };
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);
	struct budget_request next = { 0, 0, false, 3, 2 };
	uint32_t sum = 0;
	size_t i;

	next.wanted = 1;
	apply_reading(allocator, "b", 3, 0, 0);
	for (i = 0; i < 4; i++)
		sum += ask_share(allocator, routers[i], 2, 0, 1);
	CU_ASSERT_EQUAL(sum, 3);
	CU_ASSERT_EQUAL(budget_allocator_granted(allocator, 1), 3);
	/* A router that still holds a share gets none while others wait. */
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 2), 0);
	/* The share that a router reports as replaced is free again. */
	CU_ASSERT_EQUAL(budget_allocator_granted(allocator, 2), 3);
	CU_ASSERT_EQUAL(
		budget_allocator_grant(allocator, STR("a"), &next, 3).count, 0);
	CU_ASSERT_EQUAL(budget_allocator_granted(allocator, 3), 1);
	/* A returned share can be granted again at once. */
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 0, 0, 4), 0);
	CU_ASSERT_EQUAL(ask_share(allocator, "d", 1, 0, 5), 1);
	budget_allocator_destroy(allocator);
}

static void an_ended_share_needs_a_new_report(void)
{
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);
	int64_t later = 2 * FIRST_GRANT_US;

	apply_reading(allocator, "b", 1, 0, 0);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 1), 1);
	apply_reading(allocator, "b", 1, 0, FIRST_GRANT_US - 2 * MS);
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, FIRST_GRANT_US - MS),
			0);
	/* The share ended, but requests sent under it may still run. */
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, FIRST_GRANT_US + MS),
			0);
	apply_reading(allocator, "b", 1, 1, later);
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, later), 0);
	apply_reading(allocator, "b", 1, 0, later + MS);
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, later + MS), 1);
	budget_allocator_destroy(allocator);
}

static void requests_that_outlive_their_share_are_counted(void)
{
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);
	int64_t later = 2 * FIRST_GRANT_US;

	apply_reading(allocator, "b", 1, 0, 0);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 1), 1);
	apply_reading(allocator, "b", 1, 0, later);
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, later), 1);
	/* The router was paused: its running request is counted, but no other
	 * request is granted to it. */
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 1, later + 1), 0);
	CU_ASSERT_EQUAL(budget_allocator_granted(allocator, later + 1), 2);
	budget_allocator_destroy(allocator);
}

static void a_late_return_is_ignored(void)
{
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);
	struct budget_request late = { 0, 0, false, 1, 0 };

	apply_reading(allocator, "b", 1, 0, 0);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 2), 1);
	budget_allocator_grant(allocator, STR("a"), &late, 3);
	CU_ASSERT_EQUAL(budget_allocator_granted(allocator, 3), 1);
	CU_ASSERT_EQUAL(ask_share(allocator, "c", 1, 0, 3), 0);
	budget_allocator_destroy(allocator);
}

static void a_lost_request_needs_a_new_report(void)
{
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);
	struct budget_request lost = { 1, 0, true, 2, 0 };
	int64_t later = 3 + BUDGET_MARGIN_US;

	apply_reading(allocator, "b", 1, 0, 0);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 1), 1);
	/* The router ended its share, but the request that it gave up may
	 * still run. */
	CU_ASSERT_EQUAL(
		budget_allocator_grant(allocator, STR("a"), &lost, 2).count, 0);
	CU_ASSERT_TRUE(budget_allocator_stale(allocator, 3));
	/* The request may still be on its way to the upstream. */
	apply_reading(allocator, "b", 1, 0, BUDGET_MARGIN_US);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, BUDGET_MARGIN_US), 0);
	apply_reading(allocator, "b", 1, 1, later);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, later), 0);
	apply_reading(allocator, "b", 1, 0, later + 1);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, later + 1), 1);
	budget_allocator_destroy(allocator);
}

static void no_share_without_the_upstream_incarnation(void)
{
	struct budget_allocator *allocator =
		budget_allocator_create(-FIRST_GRANT_US);

	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 1), 0);
	apply_reading(allocator, "", BUDGET_CONNECTIONS, 0, 1);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 1), 0);
	apply_reading(allocator, "b", BUDGET_CONNECTIONS, 0, 2);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 2), BUDGET_CONNECTIONS);
	CU_ASSERT_EQUAL(ask_share(allocator, "a", 1, 0, 3 + BUDGET_SHARE_US),
			0);
	budget_allocator_destroy(allocator);
}

static void a_share_lasts_from_its_request(void)
{
	struct budget_share share = { 0 };

	CU_ASSERT_TRUE(budget_share_mark_requested(&share, 10 * MS));
	CU_ASSERT_FALSE(budget_share_mark_requested(&share, 11 * MS));
	CU_ASSERT_TRUE(budget_share_apply(&share, 10 * MS, 1, 50 * MS));
	CU_ASSERT_TRUE(budget_share_use(&share, 59 * MS));
	CU_ASSERT_FALSE(budget_share_use(&share, 59 * MS));
	budget_share_release(&share);
	CU_ASSERT_FALSE(budget_share_use(&share, 60 * MS));
	/* An answer to an older ShareRequest arrives late. */
	CU_ASSERT_TRUE(budget_share_apply(&share, 70 * MS, 0, 50 * MS));
	CU_ASSERT_FALSE(budget_share_apply(&share, 65 * MS, 2, 50 * MS));
	budget_share_drop(&share, 80 * MS);
	CU_ASSERT_FALSE(budget_share_apply(&share, 75 * MS, 2, 50 * MS));
}

static void connections_are_shared(void)
{
	CU_ASSERT_EQUAL(budget_connections(130, 12), 10);
	CU_ASSERT_EQUAL(budget_connections(130, 490), 1);
	CU_ASSERT_EQUAL(budget_connections(130, 0), 130);
}

static void each_upstream_has_twelve_routers(void)
{
	struct str routers[490];
	char names[490][8];
	uint32_t uses = 0;
	size_t i;

	for (i = 0; i < 490; i++) {
		g_snprintf(names[i], sizeof(names[i]), "r%u", (unsigned int)i);
		routers[i] = str_from(names[i]);
	}
	for (i = 0; i < 490; i++)
		uses += subset_uses(routers[i], STR("u1"), routers, 490);
	CU_ASSERT_EQUAL(uses, SUBSET_ROUTERS);
}

static void a_silent_connection_makes_others_suspect(void)
{
	struct connection_set *set = connection_set_create(4);
	uint64_t id;
	bool silent;
	int64_t now = 100 * MS;

	connection_opened(set, 1, 0);
	connection_opened(set, 2, 0);
	connection_opened(set, 3, 0);
	CU_ASSERT_TRUE(connection_done(set, 2, 1 * MS));
	connection_progress(set, 3, 99 * MS);
	CU_ASSERT_EQUAL(connection_expired(set, 50 * MS, now, &silent), 1);
	CU_ASSERT_TRUE(silent);
	connection_closed(set, 1);
	CU_ASSERT_EQUAL(connection_choose(set, true, now, &id),
			CONNECTION_FRESH);
	CU_ASSERT_EQUAL(connection_expired(set, 50 * MS, now, &silent), 2);
	CU_ASSERT_FALSE(silent);
	connection_closed(set, 2);
	CU_ASSERT_EQUAL(connection_expired(set, 50 * MS, now, &silent),
			CONNECTION_NONE);
	/* Progress after a connection became suspect clears it. */
	connection_progress(set, 3, now + 1);
	CU_ASSERT_TRUE(connection_done(set, 3, now + 1));
	CU_ASSERT_EQUAL(connection_choose(set, true, now + 2, &id),
			CONNECTION_REUSE);
	CU_ASSERT_EQUAL(id, 3);
	CU_ASSERT_EQUAL(connection_choose(set, false, now + 2, &id),
			CONNECTION_FRESH);
	connection_set_destroy(set);
}

static void connections_are_limited(void)
{
	struct connection_set *set = connection_set_create(1);
	uint64_t id;

	connection_opened(set, 1, 0);
	CU_ASSERT_EQUAL(connection_choose(set, true, 1, &id), CONNECTION_WAIT);
	connection_done(set, 1, 2);
	CU_ASSERT_EQUAL(connection_choose(set, false, 3, &id),
			CONNECTION_FRESH);
	CU_ASSERT_EQUAL(id, 1);
	/* A connection that was idle too long is closed, not reused. */
	CU_ASSERT_EQUAL(
		connection_choose(set, true, 3 + CONNECTION_IDLE_US, &id),
		CONNECTION_FRESH);
	CU_ASSERT_EQUAL(connection_count(set), 1);
	connection_set_destroy(set);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a new allocator waits", new_allocator_waits },
		{ "shares sum to the limit", shares_sum_to_the_limit },
		{ "an ended share needs a new report",
		  an_ended_share_needs_a_new_report },
		{ "requests that outlive their share are counted",
		  requests_that_outlive_their_share_are_counted },
		{ "a late return is ignored", a_late_return_is_ignored },
		{ "a lost request needs a new report",
		  a_lost_request_needs_a_new_report },
		{ "no share without the upstream incarnation",
		  no_share_without_the_upstream_incarnation },
		{ "a share lasts from its request",
		  a_share_lasts_from_its_request },
		{ "connections are shared", connections_are_shared },
		{ "each upstream has twelve routers",
		  each_upstream_has_twelve_routers },
		{ "a silent connection makes the others suspect",
		  a_silent_connection_makes_others_suspect },
		{ "connections are limited", connections_are_limited },
		{ 0 },
	};

	return suite_run("budget", cases);
}
