/*
 * A router's pool of upstreams: readiness, stragglers, slots and backup
 * requests. Times are microseconds.
 */
#include <glib.h>

#include "suite.h"
#include "upstream/budget.h"
#include "upstream/pool.h"

/* Microseconds in a millisecond. */
#define MS INT64_C(1000)
#define UPSTREAM_COUNT 6

static const struct pool_options options = {
	.router = { "r1", 2 },
	.slots = 3,
	.seed = 7,
};

static const char *const ids[UPSTREAM_COUNT] = { "u0", "u1", "u2",
						 "u3", "u4", "u5" };

/* Lists all upstreams; the one with the index unavailable, if there is one,
 * takes no new requests. */
static void update_members(struct pool *pool, uint32_t unavailable)
{
	struct pool_member members[UPSTREAM_COUNT];
	size_t i;

	for (i = 0; i < UPSTREAM_COUNT; i++)
		members[i] = (struct pool_member){ str_from(ids[i]), STR("z"),
						   i != unavailable };
	pool_update(pool, members, UPSTREAM_COUNT);
}

/* Grants a share of count requests for every ShareRequest that is due. */
static void grant_shares(struct pool *pool, uint32_t count, int64_t now)
{
	struct pool_share_request asks[UPSTREAM_COUNT];
	size_t n = pool_due_share_requests(pool, now, asks, UPSTREAM_COUNT);
	size_t i;

	for (i = 0; i < n; i++)
		pool_apply_share(pool, asks[i].upstream, STR("boot"), now,
				 count, BUDGET_SHARE_US);
}

/* Creates a pool in which all upstreams are ready. */
static struct pool *create_ready_pool(int64_t now)
{
	struct pool *pool = pool_create(&options);
	uint32_t i;

	update_members(pool, UPSTREAM_COUNT);
	for (i = 0; i < UPSTREAM_COUNT; i++)
		pool_check(pool, i, now);
	grant_shares(pool, BUDGET_CONNECTIONS, now);
	return pool;
}

/* Runs a request that the upstream answers after the time took. */
static void answer_request(struct pool *pool, uint32_t upstream, int64_t now,
			   int64_t took)
{
	struct pool_flight *flight = pool_start(pool, upstream, now);

	pool_answer_started(pool, flight, STR("boot"), now + took);
	pool_finish(pool, flight, POOL_ANSWERED, now + took);
}

static void nothing_is_sent_without_a_share(void)
{
	struct pool *pool = pool_create(&options);
	struct pool_flight *flight;
	uint32_t upstream;

	CU_ASSERT_EQUAL(pool_pick(pool, NULL, 0, 1, &upstream), POOL_EMPTY);
	update_members(pool, UPSTREAM_COUNT);
	CU_ASSERT_EQUAL(pool_pick(pool, NULL, 0, 1, &upstream), POOL_NO_SHARE);
	grant_shares(pool, 1, 1);
	CU_ASSERT_EQUAL(pool_check(pool, upstream, 2), POOL_OK);
	flight = pool_start(pool, upstream, 2);
	CU_ASSERT_EQUAL(pool_flight_send_before(flight), 1 + BUDGET_SHARE_US);
	CU_ASSERT_EQUAL(pool_check(pool, upstream, 2), POOL_NO_SHARE);
	pool_finish(pool, flight, POOL_ANSWERED, 3);
	CU_ASSERT_EQUAL(pool_check(pool, upstream, 4), POOL_OK);
	CU_ASSERT_EQUAL(pool_check(pool, upstream, 2 + BUDGET_SHARE_US),
			POOL_NO_SHARE);
	pool_destroy(pool);
}

static void readiness_holds_for_one_incarnation(void)
{
	struct pool *pool = create_ready_pool(1);
	struct pool_flight *flight = pool_start(pool, 0, 2);
	int64_t now = INT64_C(3600000) * MS;

	CU_ASSERT_TRUE(str_equal(pool_flight_boot(flight), STR("boot")));
	CU_ASSERT_EQUAL(pool_check(pool, 0, now), POOL_OK);
	CU_ASSERT_EQUAL(pool_flight_send_before(flight), INT64_MAX);
	/* The connection reached another incarnation. */
	pool_finish(pool, flight, POOL_OTHER_BOOT, now);
	CU_ASSERT_EQUAL(pool_check(pool, 0, now), POOL_NO_SHARE);
	CU_ASSERT_EQUAL(pool_check(pool, 1, now), POOL_OK);
	pool_destroy(pool);
}

/* The slowest of a few upstreams loses every comparison, so it must get a
 * request again once its times are too old. */
static void the_slowest_upstream_is_tried_again(void)
{
	struct pool *pool = create_ready_pool(1);
	int64_t now = 10 * MS;
	uint32_t upstream, i, tried = 0;

	for (i = 0; i < UPSTREAM_COUNT; i++)
		answer_request(pool, i, now, i == 0 ? 8 * MS : 5 * MS);
	for (i = 0; i < 200; i++) {
		now += 20 * MS;
		CU_ASSERT_EQUAL(pool_pick(pool, NULL, 0, now, &upstream),
				POOL_OK);
		answer_request(pool, upstream, now,
			       upstream == 0 ? 8 * MS : 5 * MS);
		tried += upstream == 0;
	}
	CU_ASSERT_TRUE(tried > 0);
	pool_destroy(pool);
}

static void a_failure_or_a_cold_refusal_ends_readiness(void)
{
	static const enum pool_outcome_kind outcomes[] = { POOL_FAILED,
							   POOL_COLD };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		struct pool *pool = create_ready_pool(1);
		struct pool_flight *early = pool_start(pool, 0, 2);
		struct pool_flight *flight = pool_start(pool, 0, 3);

		pool_finish(pool, flight, outcomes[i], 4);
		CU_ASSERT_EQUAL(pool_check(pool, 0, 100 * MS), POOL_NO_SHARE);
		/* An answer to a request sent before the failure or refusal
		 * doesn't make the upstream ready. */
		pool_answer_started(pool, early, STR("boot"), 101 * MS);
		pool_finish(pool, early, POOL_ANSWERED, 101 * MS);
		CU_ASSERT_EQUAL(pool_check(pool, 0, 102 * MS), POOL_NO_SHARE);
		pool_destroy(pool);
	}
}

static void a_new_incarnation_is_cold(void)
{
	struct pool *pool = create_ready_pool(1);
	struct pool_flight *flight = pool_start(pool, 0, 2);

	pool_answer_started(pool, flight, STR("boot2"), 3);
	pool_finish(pool, flight, POOL_ANSWERED, 3);
	CU_ASSERT_EQUAL(pool_check(pool, 0, 4), POOL_NO_SHARE);
	CU_ASSERT_TRUE(str_equal(pool_boot(pool, 0), STR("boot2")));
	pool_destroy(pool);
}

static void a_leaving_upstream_gets_no_new_requests(void)
{
	struct pool *pool = create_ready_pool(1);
	struct pool_flight *flight = pool_start(pool, 1, 2);
	uint32_t upstream;
	int i;

	update_members(pool, 0);
	pool_finish(pool, flight, POOL_SHUTTING_DOWN, 3);
	CU_ASSERT_EQUAL(pool_check(pool, 0, 4), POOL_EMPTY);
	CU_ASSERT_EQUAL(pool_check(pool, 1, 4), POOL_EMPTY);
	for (i = 0; i < 100; i++) {
		CU_ASSERT_EQUAL(pool_pick(pool, NULL, 0, 4, &upstream),
				POOL_OK);
		CU_ASSERT(upstream > 1);
	}
	pool_destroy(pool);
}

static void a_straggler_gets_only_probes(void)
{
	struct pool *pool = create_ready_pool(1);
	uint32_t upstream, probes = 0, chosen = 0;
	int64_t now;
	uint32_t i;
	int round;

	for (round = 1; round <= 8; round++)
		for (i = 0; i < UPSTREAM_COUNT; i++)
			answer_request(pool, i, round * MS,
				       i ? 5 * MS : 50 * MS);
	for (now = 10 * MS; now < 109 * MS; now += MS) {
		pool_pick(pool, NULL, 0, now, &upstream);
		chosen += upstream == 0;
	}
	CU_ASSERT_EQUAL(chosen, 0);
	for (now = 110 * MS; now < 190 * MS; now += MS) {
		pool_pick(pool, NULL, 0, now, &upstream);
		probes += upstream == 0;
	}
	CU_ASSERT_EQUAL(probes, 1);
	/* After a fast answer the upstream is used normally again. */
	answer_request(pool, 0, 190 * MS, 5 * MS);
	for (now = 196 * MS, chosen = 0; now < 250 * MS; now += MS) {
		pool_pick(pool, NULL, 0, now, &upstream);
		chosen += upstream == 0;
	}
	CU_ASSERT(chosen > 0);
	pool_destroy(pool);
}

static void at_most_a_third_are_stragglers(void)
{
	struct pool *pool = create_ready_pool(1);
	struct pool_upstream_status status;
	uint32_t upstream, slow = 0;
	uint32_t i;
	int round;

	for (round = 1; round <= 8; round++)
		for (i = 0; i < UPSTREAM_COUNT; i++)
			answer_request(pool, i, round * MS,
				       i % 2 ? 50 * MS : 5 * MS);
	pool_pick(pool, NULL, 0, 60 * MS, &upstream);
	for (i = 0; pool_status(pool, i, 60 * MS, &status); i++)
		slow += status.slow;
	CU_ASSERT_EQUAL(slow, UPSTREAM_COUNT / 3);
	pool_destroy(pool);
}

static void backups_are_capped(void)
{
	struct pool *pool = create_ready_pool(1);
	int64_t lost = 0;
	int i;

	CU_ASSERT_EQUAL(pool_backup_delay(pool), INT64_MAX);
	CU_ASSERT_FALSE(pool_backup_allowed(pool));
	for (i = 0; i < 4000; i++) {
		struct pool_flight *loser;

		answer_request(pool, 0, 2, 5 * MS);
		if (!pool_backup_allowed(pool))
			continue;
		loser = pool_start(pool, 1, 2);
		pool_finish(pool, loser, POOL_CANCELLED, 2 + 20 * MS);
		lost += 20 * MS;
	}
	/* Cancelled copies take 5% of the time that answers take, plus the last
	 * copy, which exceeded it. */
	CU_ASSERT(lost <= 1000 * MS + 20 * MS);
	CU_ASSERT(lost >= 1000 * MS - 20 * MS);
	CU_ASSERT(pool_backup_delay(pool) >= 5 * MS - 1);
	CU_ASSERT(pool_backup_delay(pool) < 6 * MS);
	pool_destroy(pool);
}

static void requests_in_flight_occupy_slots(void)
{
	struct pool *pool = create_ready_pool(1);
	struct pool_flight *flights[3];
	uint32_t tried[UPSTREAM_COUNT] = { 0, 1, 2, 3, 4 };
	uint32_t upstream;
	int i;

	for (i = 0; i < 3; i++)
		flights[i] = pool_start(pool, 5, 2);
	CU_ASSERT_EQUAL(pool_check(pool, 5, 3), POOL_FULL);
	CU_ASSERT_EQUAL(pool_pick(pool, tried, 5, 3, &upstream), POOL_FULL);
	pool_finish(pool, flights[0], POOL_CANCELLED, 4);
	CU_ASSERT_EQUAL(pool_pick(pool, tried, 5, 5, &upstream), POOL_OK);
	CU_ASSERT_EQUAL(upstream, 5);
	/* An upstream that isn't listed any more is removed only when none of
	 * its requests is in flight. */
	pool_update(pool, NULL, 0);
	CU_ASSERT_EQUAL(pool_flight_upstream(flights[1]), 5);
	pool_destroy(pool);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "nothing is sent without a share",
		  nothing_is_sent_without_a_share },
		{ "readiness holds for one incarnation",
		  readiness_holds_for_one_incarnation },
		{ "the slowest upstream is tried again",
		  the_slowest_upstream_is_tried_again },
		{ "a failure or a cold refusal ends readiness",
		  a_failure_or_a_cold_refusal_ends_readiness },
		{ "a new incarnation is cold", a_new_incarnation_is_cold },
		{ "a leaving upstream gets no new requests",
		  a_leaving_upstream_gets_no_new_requests },
		{ "a straggler gets only probes",
		  a_straggler_gets_only_probes },
		{ "at most a third are stragglers",
		  at_most_a_third_are_stragglers },
		{ "backups are capped", backups_are_capped },
		{ "requests in flight occupy slots",
		  requests_in_flight_occupy_slots },
		{ 0 },
	};

	return suite_run("pool", cases);
}
