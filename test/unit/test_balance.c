/*
 * Load estimates of upstreams, the retry budget, and the blocking of requests
 * that crash upstreams.
 */
#include "balance/crash_list.h"
#include "balance/load.h"
#include "balance/retry_window.h"
#include "balance/upstream_limit.h"
#include "suite.h"

static void a_full_upstream_is_expected_to_take_longer(void)
{
	static const struct {
		/* Requests of this VM, and of other VMs, in flight. */
		unsigned int flights;
		unsigned int others;
		/* Bounds of the expected response time, in seconds. */
		double at_least, at_most;
	} rows[] = {
		{ 0, 0, 0.099, 0.101 }, { 2, 0, 0.099, 0.101 },
		{ 3, 0, 0.13, 0.14 },	{ 0, 6, 0.23, 0.24 },
		{ 3, 3, 0.23, 0.24 },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct load load;
		double expected;
		unsigned int f;

		load_init(&load, 3);
		load_apply_total_in_flight(&load, rows[i].others, 10);
		for (f = 0; f < rows[i].flights; f++)
			load_start(&load, 10);
		expected = load_expected_s(&load, 0.1, 10);
		CU_ASSERT_TRUE(expected >= rows[i].at_least);
		CU_ASSERT_TRUE(expected <= rows[i].at_most);
	}
}

static void a_slow_upstream_is_expected_to_take_longer(void)
{
	struct load load;
	int i;

	load_init(&load, 3);
	for (i = 0; i < 40; i++) {
		load_start(&load, i);
		load_end(&load, LOAD_ANSWERED, 5, i + 0.5);
	}
	CU_ASSERT_TRUE(load_expected_s(&load, 0.1, 50) > 0.45);
}

static void an_overdue_answer_counts_as_slowness(void)
{
	struct load load;

	load_init(&load, 3);
	load_start(&load, 10);
	CU_ASSERT_TRUE(load_expected_s(&load, 0.1, 10.1) < 0.2);
	CU_ASSERT_TRUE(load_expected_s(&load, 0.1, 11) > 1);
	load_end(&load, LOAD_ANSWERED, 1, 11);
	CU_ASSERT_TRUE(load_expected_s(&load, 0.1, 11) < 0.2);
}

static void an_ejected_upstream_gets_one_trial_request(void)
{
	struct load load;

	load_init(&load, 3);
	load_start(&load, 10);
	load_end(&load, LOAD_UNREACHABLE, 0, 10);
	CU_ASSERT_FALSE(load_usable(&load, 10.1));
	CU_ASSERT_TRUE(load_usable(&load, 13));
	load_start(&load, 13);
	CU_ASSERT_FALSE(load_usable(&load, 13));
	load_end(&load, LOAD_ANSWERED, 1, 13.1);
	CU_ASSERT_TRUE(load_usable(&load, 13.1));
}

static void reports_of_other_vms_requests_decay(void)
{
	struct load load;

	load_init(&load, 3);
	load_start(&load, 10);
	load.reported_in_flight = 1;
	load_apply_total_in_flight(&load, 5, 10);
	/* The total includes this VM's own request. */
	CU_ASSERT_DOUBLE_EQUAL(load_in_flight(&load, 10), 5, 0.01);
	CU_ASSERT_TRUE(load_in_flight(&load, 12) < 1.1);
}

static void retries_are_limited_to_a_share_of_requests(void)
{
	static const struct {
		unsigned int requests;
		double slack;
		unsigned int allowed;
	} rows[] = { { 0, 5, 5 }, { 100, 0, 20 }, { 100, 5, 25 }, { 3, 0, 0 } };
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct retry_window window;
		unsigned int n, taken = 0;

		retry_window_init(&window, 10, 0.2, rows[i].slack, 0);
		for (n = 0; n < rows[i].requests; n++)
			retry_window_request(&window, 100);
		while (taken < 1000 && retry_window_consume(&window, 101))
			taken++;
		CU_ASSERT_EQUAL(taken, rows[i].allowed);
		CU_ASSERT_TRUE(retry_window_left(&window, 101) < 0.05);
		/* After the window has passed, all requests and retries are
		 * forgotten. */
		CU_ASSERT_EQUAL(retry_window_consume(&window, 125),
				rows[i].slack > 0);
	}
}

/* Number of calls of count_blamed(). */
static unsigned int blamed;

static void count_blamed(void *ctx, const struct crash *crash)
{
	(void)ctx;
	(void)crash;
	blamed++;
}

/* Returns the crash of an upstream's first incarnation under request 7. */
static struct crash crash_of(const char *upstream)
{
	return (struct crash){ .request = 7, .upstream = upstream };
}

static void blame(struct crash_list *list, const char *upstream, double now_s)
{
	struct crash crash = crash_of(upstream);

	crash_list_blame(list, &crash, now_s);
}

static void a_request_that_crashes_three_upstreams_is_blocked(void)
{
	static const char *const names[] = { "a", "b", "c" };
	struct crash_list *list = crash_list_create();
	size_t i;

	blamed = 0;
	for (i = 0; i < 3; i++) {
		struct crash crash = crash_of(names[i]);

		CU_ASSERT_FALSE(crash_list_blocks(list, 7, 10));
		crash_list_add_suspect(list, &crash, 10);
		crash_list_upstream_lost(list, names[i], 10, count_blamed,
					 NULL);
	}
	CU_ASSERT_EQUAL(blamed, 3);
	CU_ASSERT_TRUE(crash_list_blocks(list, 7, 10));
	CU_ASSERT_FALSE(crash_list_blocks(list, 8, 10));
	/* The block expires. */
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 100));
	crash_list_destroy(list);
}

static void a_broken_connection_alone_does_not_block_a_request(void)
{
	struct crash_list *list = crash_list_create();
	struct crash crash = crash_of("a");
	int i;

	for (i = 0; i < 9; i++)
		crash_list_add_suspect(list, &crash, 10);
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 10));
	/* Crashes of the same upstream count once. */
	crash_list_upstream_lost(list, "a", 10, count_blamed, NULL);
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 10));
	crash_list_destroy(list);
}

static void crashes_of_three_incarnations_of_an_upstream_block_a_request(void)
{
	struct crash_list *list = crash_list_create();
	struct crash crash = crash_of("a");

	for (crash.started_ms = 1; crash.started_ms <= 3; crash.started_ms++) {
		CU_ASSERT_FALSE(crash_list_blocks(list, 7, 10));
		CU_ASSERT_TRUE(crash_list_blame(list, &crash, 10));
		CU_ASSERT_FALSE(crash_list_blame(list, &crash, 10));
	}
	CU_ASSERT_TRUE(crash_list_blocks(list, 7, 10));
	crash_list_destroy(list);
}

static void an_answer_clears_a_request(void)
{
	struct crash_list *list = crash_list_create();

	blame(list, "a", 10);
	blame(list, "b", 10);
	crash_list_clear_request(list, 7);
	blame(list, "c", 10);
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 10));
	crash_list_destroy(list);
}

static void a_block_of_another_vm_blocks_a_request(void)
{
	struct crash_list *list = crash_list_create();

	CU_ASSERT_TRUE(crash_list_block(list, 7, 30, 10));
	CU_ASSERT_FALSE(crash_list_block(list, 7, 20, 10));
	CU_ASSERT_TRUE(crash_list_blocks(list, 7, 39));
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 41));
	/* No block lasts longer than one of this VM. */
	crash_list_block(list, 8, 1e9, 10);
	CU_ASSERT_FALSE(crash_list_blocks(list, 8, 100));
	crash_list_destroy(list);
}

static void a_request_that_keeps_coming_stays_blocked(void)
{
	struct crash_list *list = crash_list_create();

	blame(list, "a", 10);
	blame(list, "b", 10);
	blame(list, "c", 10);
	crash_list_renew_block(list, 7, 60);
	CU_ASSERT_TRUE(crash_list_blocks(list, 7, 100));
	/* A request that isn't blocked gets no block. */
	crash_list_renew_block(list, 8, 60);
	CU_ASSERT_FALSE(crash_list_blocks(list, 8, 60));
	crash_list_destroy(list);
}

static void one_crash_after_the_end_of_a_block_renews_it(void)
{
	struct crash_list *list = crash_list_create();

	blame(list, "a", 10);
	blame(list, "b", 10);
	blame(list, "c", 10);
	crash_list_expire(list, 100, count_blamed, NULL);
	CU_ASSERT_FALSE(crash_list_blocks(list, 7, 100));
	blame(list, "a", 101);
	CU_ASSERT_TRUE(crash_list_blocks(list, 7, 101));
	crash_list_destroy(list);
}

static void only_a_later_answer_without_a_limit_ends_it(void)
{
	struct upstream_limit limit = { 0 };

	CU_ASSERT_FALSE(upstream_limit_apply_answer(&limit, -1, 9, 10));
	CU_ASSERT_TRUE(upstream_limit_apply_answer(&limit, 4, 9, 10));
	CU_ASSERT_FALSE(upstream_limit_apply_answer(&limit, 4, 9, 10.1));
	/* Sent before the last answer that named the limit. */
	CU_ASSERT_FALSE(upstream_limit_apply_answer(&limit, -1, 9.9, 10.2));
	CU_ASSERT_TRUE(limit.limited);
	CU_ASSERT_TRUE(upstream_limit_apply_answer(&limit, 5, 10.2, 10.3));
	CU_ASSERT_TRUE(upstream_limit_apply_answer(&limit, -1, 10.4, 10.5));
	CU_ASSERT_FALSE(limit.limited);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a full upstream is expected to take longer",
		  a_full_upstream_is_expected_to_take_longer },
		{ "a slow upstream is expected to take longer",
		  a_slow_upstream_is_expected_to_take_longer },
		{ "an overdue answer counts as slowness",
		  an_overdue_answer_counts_as_slowness },
		{ "an ejected upstream gets one trial request",
		  an_ejected_upstream_gets_one_trial_request },
		{ "reports of other VMs' requests decay",
		  reports_of_other_vms_requests_decay },
		{ "retries are limited to a share of requests",
		  retries_are_limited_to_a_share_of_requests },
		{ "crashes of three incarnations of an upstream block a "
		  "request",
		  crashes_of_three_incarnations_of_an_upstream_block_a_request },
		{ "a block of another VM blocks a request",
		  a_block_of_another_vm_blocks_a_request },
		{ "a request that keeps coming stays blocked",
		  a_request_that_keeps_coming_stays_blocked },
		{ "one crash after the end of a block renews it",
		  one_crash_after_the_end_of_a_block_renews_it },
		{ "a request that crashes three upstreams is blocked",
		  a_request_that_crashes_three_upstreams_is_blocked },
		{ "a broken connection alone does not block a request",
		  a_broken_connection_alone_does_not_block_a_request },
		{ "only a later answer without a limit ends it",
		  only_a_later_answer_without_a_limit_ends_it },
		{ "an answer clears a request", an_answer_clears_a_request },
		{ 0 },
	};

	return suite_run("balance", cases);
}
