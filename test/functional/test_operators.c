/* Tests auburnctl commands against a cluster of real processes. */
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "cluster_suite.h"

/* Longest wait for a router to answer during an outage of the platform. */
#define LIMIT_US (30 * US_PER_SECOND)
/* Time after which a zone that was taken out must get no new requests. */
#define OUT_US (3 * US_PER_SECOND)
/* Time after which an upstream in state "leaving" must get no new requests. */
#define LEAVING_US (5 * US_PER_SECOND)
/* Number of requests that send_requests() sends. */
#define REQUESTS 60
/* Zone that is taken out of service. */
#define ZONE "jambeli"

static const struct cluster_service services[] = { { "tallies", 6 },
						   { "lots", 6 },
						   { 0 } };

static struct cluster *cluster;

/* Runs auburnctl against the assigners and returns its exit status. output is
 * set to its stdout, freed with g_free(); may be NULL. */
static int run_auburnctl(const char *const *arguments, char **output)
{
	return cluster_run_auburnctl(cluster, arguments, output);
}

/* Returns the highest version of the settings that `auburnctl history` lists,
 * or -1 on a failure. */
static int last_version(void)
{
	static const char *const arguments[] = { "history", "--json", NULL };
	char *output = NULL;
	const char *at;
	int version = -1;

	if (run_auburnctl(arguments, &output) == 0) {
		at = strrchr(output, '}');
		at = at ? strstr(output, "\"version\":") : NULL;
		while (at) {
			const char *next = strstr(at + 1, "\"version\":");

			version = MAX(version, atoi(at + 10));
			at = next;
		}
	}
	g_free(output);
	return version;
}

static void commands_say_what_happened(void)
{
	static const struct {
		const char *arguments[5];
		/* Expected exit status, and a part of the expected stdout. */
		int status;
		const char *output;
	} cases[] = {
		{ { "publish", SOURCE_DIR "/examples/el-oro.conf" },
		  0,
		  "unchanged at version" },
		{ { "publish", "no-such-file" }, 1, "" },
		{ { "validate", "no-such-file" }, 1, "" },
		{ { "zone", "out", "atlantis", "--json" }, 1, "no such zone" },
		{ { "zone", "in", ZONE, "--json" }, 0, "\"unchanged\"" },
		{ { "rollback", "99", "--json" }, 1, "no such version" },
		{ { "explain", "key", "tallies", "rope-7" }, 0, "owner" },
		{ { "explain", "key", "nothing", "rope-7" }, 1, "" },
		{ { "status" }, 0, ZONE },
		{ { "status", "--json" }, 0, "\"zones_out\":[]" },
		{ { "cell", "force", "tallies" }, 2, "" },
		{ { "cell", "force", "nothing", "--force" }, 3, "no such" },
		{ { "cell", "force", "tallies", "--force" }, 0, "forced" },
		{ { "zone" }, 2, "" },
		{ { "status", "--timeout-ms=1" }, 2, "" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *output = NULL;
		int status = run_auburnctl(cases[i].arguments, &output);

		CU_ASSERT_EQUAL(status, cases[i].status);
		CU_ASSERT_PTR_NOT_NULL(output);
		if (status != cases[i].status ||
		    !strstr(output ? output : "", cases[i].output))
			printf("# case %zu: exit status %d, output: %s\n", i,
			       status, output);
		CU_ASSERT_PTR_NOT_NULL(
			strstr(output ? output : "", cases[i].output));
		g_free(output);
	}
}

/* Sends requests for both services through all routers; all must succeed. */
static void send_requests(void)
{
	unsigned int i;

	for (i = 0; i < REQUESTS; i++) {
		char *uri = g_strdup_printf("/%s/key-%u",
					    i % 2 ? "lots" : "tallies", i);
		struct http_answer *answer = cluster_get(
			cluster, i % cluster_pair_count(cluster), uri);

		CU_ASSERT_EQUAL(answer->status, 200);
		http_answer_destroy(answer);
		g_free(uri);
	}
}

/* auburnctl queries all routers of the option --routers; only one of them
 * handled the request. Without the option, the command is invalid. */
static void a_request_is_explained(void)
{
	char *routers = g_strdup_printf(
		"--routers=%s,%s",
		cluster_operator_address(cluster_router(cluster, 0)),
		cluster_operator_address(cluster_router(cluster, 1)));
	struct http_answer *answer = cluster_get(cluster, 1, "/lots/key-1");
	const char *id = http_header(answer, "auburn-request-id");
	const char *known[] = { routers, "explain", "request", id, NULL };
	const char *unknown[] = { routers, "explain", "request", "none", NULL };
	const char *no_routers[] = { "explain", "request", id, NULL };
	char *output = NULL;

	CU_ASSERT_EQUAL(run_auburnctl(known, &output), 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(output ? output : "", "lots-"));
	g_clear_pointer(&output, g_free);
	CU_ASSERT_EQUAL(run_auburnctl(unknown, &output), 1);
	g_clear_pointer(&output, g_free);
	CU_ASSERT_EQUAL(run_auburnctl(no_routers, &output), 2);
	g_free(output);
	http_answer_destroy(answer);
	g_free(routers);
}

/* Returns how many requests an upstream began to run since a time. */
static unsigned int runs_since(unsigned int upstream, int64_t from_us)
{
	struct execution_record *record = cluster_load_record(cluster);
	unsigned int runs = execution_record_count_between(record, upstream,
							   from_us, INT64_MAX);

	execution_record_destroy(record);
	return runs;
}

static void a_zone_out_gets_no_new_work(void)
{
	int64_t from_us;
	unsigned int i;

	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, true));
	g_usleep(OUT_US);
	from_us = clock_now_us(clock_system());
	send_requests();
	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if (!strcmp(cluster_upstream(cluster, i)->zone, ZONE))
			CU_ASSERT_EQUAL(runs_since(i, from_us), 0);
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, false));
}

static void the_last_zone_stays(void)
{
	static const char *const last[] = { "zone",    "out",	 "machala",
					    "--force", "--json", NULL };
	char *output = NULL;

	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, true));
	CU_ASSERT_TRUE(cluster_set_zone(cluster, "puerto-bolivar", true));
	CU_ASSERT_EQUAL(run_auburnctl(last, &output), 1);
	CU_ASSERT_PTR_NOT_NULL(strstr(output ? output : "", "last zone"));
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, false));
	CU_ASSERT_TRUE(cluster_set_zone(cluster, "puerto-bolivar", false));
	g_free(output);
}

/* The table may apply a write and lose the answer. The change must then be
 * published once, not reported as failed or published again. */
static void a_lost_answer_is_resolved(void)
{
	int before = last_version();

	cluster_switch_platform(cluster, "{\"lose_percent\":60}");
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, true));
	cluster_switch_platform(cluster, "{\"lose_percent\":0}");
	CU_ASSERT_EQUAL(last_version(), before + 1);
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, false));
}

static void an_outage_stops_publishing_only(void)
{
	static const char *const out[] = { "zone", "out", ZONE, NULL };
	int before = last_version();
	struct process *assigner = cluster_assigner(cluster, 0);

	cluster_switch_platform(cluster, "{\"outage\":true}");
	CU_ASSERT_EQUAL(run_auburnctl(out, NULL), 3);
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/lots/a", LIMIT_US));
	/* The restarted assigner can get the settings only from its peers. */
	process_kill(assigner);
	CU_ASSERT_TRUE(cluster_restart(assigner));
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/lots/a", LIMIT_US));
	cluster_switch_platform(cluster, "{\"outage\":false}");
	CU_ASSERT_EQUAL(last_version(), before);
}

static void a_leaving_upstream_gets_no_new_work(void)
{
	int64_t from_us;
	unsigned int i;

	/* The first of the six upstreams of each service. */
	for (i = 0; i < cluster_upstream_count(cluster); i += 6)
		cluster_set_state(cluster, i, "leaving");
	g_usleep(LEAVING_US);
	from_us = clock_now_us(clock_system());
	send_requests();
	for (i = 0; i < cluster_upstream_count(cluster); i += 6)
		CU_ASSERT_EQUAL(runs_since(i, from_us), 0);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "commands say what happened", commands_say_what_happened },
		{ "a request is explained", a_request_is_explained },
		{ "a zone out gets no new work", a_zone_out_gets_no_new_work },
		{ "the last zone stays", the_last_zone_stays },
		{ "a lost answer is resolved", a_lost_answer_is_resolved },
		{ "an outage stops publishing only",
		  an_outage_stops_publishing_only },
		{ "a leaving upstream gets no new work",
		  a_leaving_upstream_gets_no_new_work },
		{ 0 },
	};
	struct cluster_options options = { .services = services };

	return cluster_suite_run("operators", &options, cases, &cluster);
}
