/* Tests requests from callers through routers to upstreams, all real processes.
 */
#include <string.h>

#include "base/clock.h"
#include "base/hash.h"
#include "cluster_suite.h"

/* Longest wait for a request to be answered or refused. */
#define LIMIT_US (30 * US_PER_SECOND)
/* Limit on the growth of a router's memory during a slow download. */
#define GROWTH_LIMIT_KIB (INT64_C(32) * 1024)

static const struct cluster_service services[] = { { "tallies", 3 },
						   { "lots", 2 },
						   { "ledgers", 2 },
						   { "sanidad", 2 },
						   { 0 } };

static struct cluster *cluster;

static struct http_answer *send_to_router(unsigned int router, const char *uri,
					  const char *body,
					  const char *const *headers)
{
	struct http_request request = { .address = cluster_caller_address(
						cluster, router),
					.uri = uri,
					.body = body,
					.headers = headers };

	return http_send(&request);
}

/* Switches faults of all upstreams of a service on or off; json as for
 * cluster_switch_upstream(). */
static void switch_service(const char *service, const char *json)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if (!strcmp(cluster_upstream(cluster, i)->service, service))
			cluster_switch_upstream(cluster, i, json);
}

static void every_service_answers(void)
{
	static const struct cluster_service *s;
	unsigned int router;

	for (router = 0; router < cluster_pair_count(cluster); router++)
		for (s = services; s->name; s++) {
			char *uri =
				g_strdup_printf("/%s/k?bytes=100000", s->name);
			struct http_answer *answer =
				cluster_get(cluster, router, uri);

			CU_ASSERT_TRUE(answer->whole);
			CU_ASSERT_EQUAL(answer->status, 200);
			CU_ASSERT_EQUAL(answer->body_len, 100000);
			CU_ASSERT_STRING_NOT_EQUAL(
				http_header(answer, "Auburn-Request-Id"), "");
			http_answer_destroy(answer);
			g_free(uri);
		}
}

static void each_key_has_one_owner(void)
{
	unsigned int key, router;

	for (key = 0; key < 30; key++) {
		char *uri = g_strdup_printf("/tallies/key%u", key);
		int owner = cluster_owner(cluster, 0, uri);

		CU_ASSERT_TRUE(owner >= 0);
		for (router = 1; router < cluster_pair_count(cluster); router++)
			CU_ASSERT_EQUAL(cluster_owner(cluster, router, uri),
					owner);
		g_free(uri);
	}
}

static void callers_cannot_set_our_headers(void)
{
	static const char *const headers[] = {
		"Auburn-Request-Id: forged",
		"Auburn-Key-Hash: 0000000000000001",
		"Auburn-Epoch: 99999",
		"Auburn-Deadline-Ms: 1",
		"Load-Id: header-test",
		NULL
	};
	struct http_answer *answer =
		send_to_router(0, "/tallies/mine", NULL, headers);
	struct execution_record *record = cluster_load_record(cluster);
	const GArray *runs = execution_record_runs(record);
	bool found = false;
	guint i;

	CU_ASSERT_EQUAL(answer->status, 200);
	CU_ASSERT_STRING_NOT_EQUAL(http_header(answer, "Auburn-Request-Id"),
				   "forged");
	for (i = 0; i < runs->len; i++) {
		const struct record_run *run =
			&g_array_index(runs, struct record_run, i);

		if (strcmp(run->load_id, "header-test") != 0)
			continue;
		found = true;
		CU_ASSERT_STRING_NOT_EQUAL(run->request_id, "forged");
		CU_ASSERT_EQUAL(run->hash, hash_key(STR("mine")));
		CU_ASSERT_TRUE(run->epoch < 99999);
	}
	CU_ASSERT_TRUE(found);
	execution_record_destroy(record);
	http_answer_destroy(answer);
}

static void a_refusal_says_why(void)
{
	static const struct {
		const char *uri;
		long status;
		const char *reason;
	} cases[] = {
		{ "/nothing/here", 404, "unknown-service" },
		{ "/", 404, "unknown-service" },
		{ "/tallies", 400, "bad-request" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http_answer *answer =
			cluster_get(cluster, 0, cases[i].uri);

		CU_ASSERT_EQUAL(answer->status, cases[i].status);
		CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Verdict"),
				       "not-run");
		CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Reason"),
				       cases[i].reason);
		CU_ASSERT_PTR_NOT_NULL(
			strstr(answer->body->str, cases[i].reason));
		http_answer_destroy(answer);
	}
}

/* Sends a request and returns whether it was refused. A refusal must say that
 * the request did not run. */
static bool request_is_shed(void *ctx)
{
	struct http_answer *answer = cluster_get(cluster, 0, "/sanidad/s");
	bool refused = answer->status >= 429;

	(void)ctx;
	if (refused)
		CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Verdict"),
				       "not-run");
	http_answer_destroy(answer);
	return refused;
}

static void shed_work_did_not_run(void)
{
	switch_service("sanidad", "{\"shed\":true}");
	CU_ASSERT_TRUE(process_wait_until(request_is_shed, NULL, LIMIT_US));
	switch_service("sanidad", "{\"shed\":false}");
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/sanidad/s", LIMIT_US));
}

static void a_cut_answer_is_broken_at_the_caller(void)
{
	static const char *const uris[] = {
		"/ledgers/year?bytes=3000000",
		"/ledgers/year?bytes=3000000&chunked=1",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(uris); i++) {
		struct http_answer *answer;

		switch_service("ledgers", "{\"truncate\":1}");
		answer = cluster_get(cluster, 0, uris[i]);
		CU_ASSERT_FALSE(answer->whole && answer->status == 200);
		http_answer_destroy(answer);
		switch_service("ledgers", "{\"truncate\":0}");
		answer = cluster_get(cluster, 0, uris[i]);
		CU_ASSERT_TRUE(answer->whole);
		CU_ASSERT_EQUAL(answer->body_len, 3000000);
		http_answer_destroy(answer);
	}
}

/* When a reused connection is reset before the answer, libcurl sends the
 * request again by itself. The router must prevent that. */
static void unkeyed_work_is_sent_once(void)
{
	static const char *const headers[] = { "Load-Id: reset-test", NULL };
	struct http_answer *answer;
	struct execution_record *record;
	const GArray *runs;
	unsigned int count = 0;
	guint i;

	for (i = 0; i < 8; i++)
		http_answer_destroy(cluster_get(cluster, 0, "/lots/warm"));
	switch_service("lots", "{\"reset_after_run\":5}");
	answer = send_to_router(0, "/lots/sacks", "lot=1", headers);
	switch_service("lots", "{\"reset_after_run\":0}");
	CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Verdict"),
			       "may-have-run");
	http_answer_destroy(answer);
	record = cluster_load_record(cluster);
	runs = execution_record_runs(record);
	for (i = 0; i < runs->len; i++)
		count += !strcmp(
			g_array_index(runs, struct record_run, i).load_id,
			"reset-test");
	CU_ASSERT_EQUAL(count, 1);
	execution_record_destroy(record);
}

static void a_slow_reader_keeps_memory_flat(void)
{
	struct http_request request = { .address = cluster_caller_address(
						cluster, 1),
					.uri = "/ledgers/all?bytes=150000000",
					.bytes_per_second = 50000000,
					.timeout_ms = 60000,
					.discard = true };
	struct process *router = cluster_router(cluster, 1);
	int64_t before_kib = process_memory_kib(router);
	struct http_task *task = http_start(&request);
	struct http_answer *answer;
	int64_t most_kib = 0;
	int i;

	for (i = 0; i < 20; i++) {
		g_usleep(100 * US_PER_MS);
		most_kib = MAX(most_kib, process_memory_kib(router));
	}
	answer = http_join(task);
	CU_ASSERT_TRUE(answer->whole);
	CU_ASSERT_EQUAL(answer->body_len, 150000000);
	CU_ASSERT_TRUE(most_kib - before_kib < GROWTH_LIMIT_KIB);
	http_answer_destroy(answer);
}

/* Limits AddressSanitizer's quarantine to 1 MB in the programs started later.
 * The quarantine holds freed memory, which would count as memory of the router.
 */
static void limit_asan_quarantine(void)
{
	const char *old = g_getenv("ASAN_OPTIONS");
	char *all = g_strconcat(old ? old : "", ":quarantine_size_mb=1", NULL);

	g_setenv("ASAN_OPTIONS", all, TRUE);
	g_free(all);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "every service answers", every_service_answers },
		{ "each key has one owner", each_key_has_one_owner },
		{ "callers cannot set our headers",
		  callers_cannot_set_our_headers },
		{ "a refusal says why", a_refusal_says_why },
		{ "shed work did not run", shed_work_did_not_run },
		{ "a cut answer is broken at the caller",
		  a_cut_answer_is_broken_at_the_caller },
		{ "unkeyed work is sent once", unkeyed_work_is_sent_once },
		{ "a slow reader keeps memory flat",
		  a_slow_reader_keeps_memory_flat },
		{ 0 },
	};
	static const struct cluster_options options = { .services = services };

	limit_asan_quarantine();
	return cluster_suite_run("path", &options, cases, &cluster);
}
