/* Tests a cluster with requests that crash upstreams, with upstreams that don't
 * answer, and with upstreams that start cold. */
#include <string.h>

#include "base/clock.h"
#include "cluster_suite.h"

/* Longest wait for a process to end or a request to be answered. */
#define LIMIT_US (30 * US_PER_SECOND)
/* URI of a request that crashes each upstream that runs it. */
#define CRASH_URI "/sanidad/report?note=crash-now"
/* Number of times that the crashing request is sent. */
#define REPEATS 12
/* Number of requests that are sent at once to an upstream that starts cold. */
#define BURST 24
/* Time between the kill of an upstream and its restart. */
#define DOWN_US (1500 * US_PER_MS)

static const struct cluster_service services[] = {
	{ "tallies", 3 }, { "sanidad", 6 }, { "ledgers", 3 }, { 0 }
};

/* For 1.5 seconds after its start an upstream takes one request at a time. */
static const char *const upstream_arguments[] = { "--cold-ms=1500",
						  "--cold-limit=1", NULL };

static struct cluster *cluster;

/* Counts the upstreams whose process has ended. */
static unsigned int dead_upstreams(void)
{
	unsigned int dead = 0, i;

	for (i = 0; i < cluster_upstream_count(cluster); i++)
		dead += !process_running(cluster_upstream(cluster, i)->process);
	return dead;
}

static void a_crashing_request_is_refused_after_two(void)
{
	struct http_answer *answer = NULL;
	unsigned int i;

	for (i = 0; i < REPEATS; i++) {
		http_answer_destroy(answer);
		answer = cluster_get(cluster, i % cluster_pair_count(cluster),
				     CRASH_URI);
		CU_ASSERT_NOT_EQUAL(answer->status, 200);
		g_usleep(100 * US_PER_MS);
	}
	CU_ASSERT_TRUE(dead_upstreams() >= 1);
	CU_ASSERT_TRUE(dead_upstreams() <= 2);
	CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Reason"),
			       "poisoned");
	http_answer_destroy(answer);
	/* Other requests of the service are still served. */
	CU_ASSERT_TRUE(
		cluster_wait_answer(cluster, 0, "/sanidad/other", LIMIT_US));
	for (i = 0; i < cluster_upstream_count(cluster); i++) {
		struct process *upstream =
			cluster_upstream(cluster, i)->process;

		if (!process_running(upstream))
			CU_ASSERT_TRUE(cluster_restart(upstream));
	}
}

/* Runs after the case above, in which the request crashed upstreams. The
 * restarted router must learn this before it forwards the request. */
static void a_restarted_router_refuses_the_crash(void)
{
	struct process *router = cluster_router(cluster, 0);
	struct http_answer *answer;

	process_kill(router);
	CU_ASSERT_TRUE(process_wait_end(router, LIMIT_US, NULL));
	CU_ASSERT_TRUE(cluster_restart(router));
	CU_ASSERT_TRUE(
		cluster_wait_answer(cluster, 0, "/sanidad/other", LIMIT_US));
	answer = cluster_get(cluster, 0, CRASH_URI);
	CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Reason"),
			       "poisoned");
	http_answer_destroy(answer);
	CU_ASSERT_EQUAL(dead_upstreams(), 0);
}

static void silent_connections_are_given_up(void)
{
	unsigned int i, router;

	for (i = 0; i < 6; i++)
		http_answer_destroy(cluster_get(cluster, 0, "/ledgers/a"));
	/* The connections that exist now are no longer read or answered; new
	 * ones are served. */
	for (i = 0; i < cluster_upstream_count(cluster); i++)
		cluster_switch_upstream(cluster, i, "{\"silent\":true}");
	for (router = 0; router < cluster_pair_count(cluster); router++) {
		CU_ASSERT_TRUE(cluster_wait_answer(cluster, router,
						   "/tallies/k", LIMIT_US));
		CU_ASSERT_TRUE(cluster_wait_answer(cluster, router,
						   "/ledgers/a", LIMIT_US));
	}
}

/* Reads one counter of an upstream stand-in; -1 when it is missing. */
static int64_t read_counter(unsigned int index, const char *member)
{
	struct http_request request = {
		.address = process_address(
			cluster_upstream(cluster, index)->process, "control"),
		.uri = "/standin/executions"
	};
	struct http_answer *answer = http_send(&request);
	char *quoted = g_strdup_printf("\"%s\":", member);
	const char *at = strstr(answer->body->str, quoted);
	int64_t count = -1;

	if (at)
		count = g_ascii_strtoll(at + strlen(quoted), NULL, 10);
	g_free(quoted);
	http_answer_destroy(answer);
	return count;
}

/* Kills an upstream, restarts it cold after down_us, and sends a burst through
 * all routers: the upstream must get no more than its cold limit at once. */
static void check_cold_start(int64_t down_us)
{
	struct http_request request = { .uri = "/ledgers/cold?run_us=20000" };
	struct http_task *tasks[BURST];
	int index = cluster_find_upstream(cluster, "ledgers-0");
	struct process *upstream =
		cluster_upstream(cluster, (unsigned int)index)->process;
	int64_t overshoot;
	unsigned int i;

	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/ledgers/a", LIMIT_US));
	process_kill(upstream);
	g_usleep((gulong)down_us);
	CU_ASSERT_TRUE(cluster_restart(upstream));
	for (i = 0; i < BURST; i++) {
		request.address = cluster_caller_address(
			cluster, i % cluster_pair_count(cluster));
		tasks[i] = http_start(&request);
	}
	for (i = 0; i < BURST; i++)
		http_answer_destroy(http_join(tasks[i]));
	overshoot = read_counter((unsigned int)index, "cold_overshoot");
	if (overshoot)
		printf("# ledgers-0 got %d requests above its cold limit of "
		       "1\n",
		       (int)overshoot);
	CU_ASSERT_EQUAL(overshoot, 0);
}

static void a_replaced_upstream_is_spared(void)
{
	check_cold_start(DOWN_US);
}

static void an_upstream_back_at_once_is_spared(void)
{
	check_cold_start(0);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a crashing request is refused after two",
		  a_crashing_request_is_refused_after_two },
		{ "a restarted router refuses the crashing request",
		  a_restarted_router_refuses_the_crash },
		{ "silent connections are given up",
		  silent_connections_are_given_up },
		{ "a replaced upstream is spared",
		  a_replaced_upstream_is_spared },
		{ "an upstream back at once is spared",
		  an_upstream_back_at_once_is_spared },
		{ 0 },
	};
	static const struct cluster_options options = {
		.services = services, .upstream_arguments = upstream_arguments
	};

	return cluster_suite_run("faults", &options, cases, &cluster);
}
