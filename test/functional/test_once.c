/* A request with an idempotency key is executed at most once, even when a
 * router is killed or the platform's table fails or loses answers. */
#include <string.h>

#include "base/clock.h"
#include "cluster_suite.h"

/* Longest wait for a request to run or to be answered. */
#define LIMIT_US (30 * US_PER_SECOND)
/* Number of idempotency keys that are used while the table loses answers. */
#define LOST_ROUNDS 20

static const struct cluster_service services[] = { { "lots", 3 },
						   { "tallies", 2 },
						   { 0 } };

static struct cluster *cluster;

/* Returns the header line of an idempotency key, an interned string that is
 * never freed. */
static const char *key_line(const char *key)
{
	char *line = g_strconcat("Idempotency-Key: ", key, NULL);
	const char *kept = g_intern_string(line);

	g_free(line);
	return kept;
}

/* Sends a POST with an idempotency key through a router. */
static struct http_answer *send_lot(unsigned int router, const char *key,
				    const char *uri)
{
	const char *headers[] = { key_line(key), NULL };
	struct http_request request = { .address = cluster_caller_address(
						cluster, router),
					.uri = uri,
					.body = "sacks=12",
					.headers = headers };

	return http_send(&request);
}

/* Counts the executions of requests with an idempotency key. */
static unsigned int count_runs(const char *key)
{
	struct execution_record *record = cluster_load_record(cluster);
	unsigned int runs = execution_record_count_by_key(record, key);

	execution_record_destroy(record);
	return runs;
}

static void a_repeat_runs_nothing(void)
{
	unsigned int router;

	for (router = 0; router < cluster_pair_count(cluster); router++) {
		struct http_answer *answer =
			send_lot(router, "lot-1", "/lots/1");

		/* The first request runs. The others get its recorded outcome.
		 */
		if (router == 0)
			CU_ASSERT_EQUAL(answer->status, 200);
		CU_ASSERT_TRUE(answer->whole);
		http_answer_destroy(answer);
	}
	CU_ASSERT_EQUAL(count_runs("lot-1"), 1);
}

/* The routers get requests with the same key while the first one still runs. */
static void a_repeat_meanwhile_runs_nothing(void)
{
	const char *headers[] = { key_line("lot-2"), NULL };
	struct http_request request = { .uri = "/lots/2?run_us=300000",
					.body = "sacks=12",
					.headers = headers };
	struct http_task *tasks[3];
	unsigned int i, answered = 0;

	for (i = 0; i < G_N_ELEMENTS(tasks); i++) {
		request.address = cluster_caller_address(
			cluster, i % cluster_pair_count(cluster));
		tasks[i] = http_start(&request);
	}
	for (i = 0; i < G_N_ELEMENTS(tasks); i++) {
		struct http_answer *answer = http_join(tasks[i]);

		answered += answer->status == 200;
		http_answer_destroy(answer);
	}
	CU_ASSERT_TRUE(answered >= 1);
	CU_ASSERT_EQUAL(count_runs("lot-2"), 1);
}

static bool has_run(void *ctx)
{
	return count_runs(ctx) > 0;
}

static void a_killed_router_repeats_nothing(void)
{
	const char *headers[] = { key_line("lot-3"), NULL };
	struct http_request request = { .address = cluster_caller_address(
						cluster, 0),
					.uri = "/lots/3?run_us=400000",
					.body = "sacks=12",
					.headers = headers };
	struct http_task *task = http_start(&request);
	struct http_answer *answer;
	unsigned int i;

	CU_ASSERT_TRUE(process_wait_until(has_run, (void *)"lot-3", LIMIT_US));
	process_kill(cluster_router(cluster, 0));
	answer = http_join(task);
	CU_ASSERT_FALSE(answer->whole);
	http_answer_destroy(answer);
	for (i = 0; i < 4; i++) {
		answer = send_lot(1 + i % 2, "lot-3", "/lots/3?run_us=400000");
		CU_ASSERT_TRUE(answer->whole);
		/* The request ran, so no caller may be told that it didn't. */
		CU_ASSERT_STRING_NOT_EQUAL(
			http_header(answer, "Auburn-Verdict"), "not-run");
		http_answer_destroy(answer);
	}
	CU_ASSERT_EQUAL(count_runs("lot-3"), 1);
	CU_ASSERT_TRUE(cluster_restart(cluster_router(cluster, 0)));
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/lots/x", LIMIT_US));
}

static void lost_table_answers_repeat_nothing(void)
{
	unsigned int i, router;

	/* The table applies all writes, but drops the answers to half of them.
	 */
	cluster_switch_platform(cluster, "{\"lose_percent\":50}");
	for (i = 0; i < LOST_ROUNDS; i++) {
		char *key = g_strdup_printf("lossy-%u", i);

		for (router = 0; router < 2; router++)
			http_answer_destroy(
				send_lot(router, key, "/lots/lossy"));
		g_free(key);
	}
	cluster_switch_platform(cluster, "{\"lose_percent\":0}");
	for (i = 0; i < LOST_ROUNDS; i++) {
		char *key = g_strdup_printf("lossy-%u", i);

		CU_ASSERT_TRUE(count_runs(key) <= 1);
		g_free(key);
	}
}

static void without_the_table_nothing_runs(void)
{
	struct http_answer *answer;

	cluster_switch_platform(cluster, "{\"outage\":true}");
	answer = send_lot(1, "lot-4", "/lots/4");
	CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Verdict"),
			       "not-run");
	CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Reason"),
			       "claim-unavailable");
	http_answer_destroy(answer);
	CU_ASSERT_EQUAL(count_runs("lot-4"), 0);
	/* Requests without an idempotency key are still served. */
	answer = cluster_get(cluster, 1, "/tallies/k");
	CU_ASSERT_EQUAL(answer->status, 200);
	http_answer_destroy(answer);
	cluster_switch_platform(cluster, "{\"outage\":false}");
	answer = send_lot(1, "lot-4", "/lots/4");
	CU_ASSERT_TRUE(answer->whole);
	http_answer_destroy(answer);
	CU_ASSERT_TRUE(count_runs("lot-4") <= 1);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a repeat runs nothing", a_repeat_runs_nothing },
		{ "a repeat meanwhile runs nothing",
		  a_repeat_meanwhile_runs_nothing },
		{ "a killed router repeats nothing",
		  a_killed_router_repeats_nothing },
		{ "lost table answers repeat nothing",
		  lost_table_answers_repeat_nothing },
		{ "without the table nothing runs",
		  without_the_table_nothing_runs },
		{ 0 },
	};
	static const struct cluster_options options = { .services = services };

	return cluster_suite_run("once", &options, cases, &cluster);
}
