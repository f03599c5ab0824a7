/* Tests planned stops of zones, upstreams, routers and assigners under load. */
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "cluster_events.h"
#include "cluster_suite.h"

/* Longest wait for a process to end or a request to be answered. */
#define LIMIT_US (30 * US_PER_SECOND)
/* Time after which a zone or an upstream taken out must get no new requests. */
#define GRACE_US (3 * US_PER_SECOND)
/* Zone that is taken out of service. */
#define ZONE "machala"
/* Number of downloads at once, bytes of each, and bytes per second of each. */
#define DOWNLOADS 4
#define DOWNLOAD_BYTES 40000000
#define DOWNLOAD_SPEED 8000000

static const struct cluster_service services[] = { { "tallies", 6 },
						   { "lots", 3 },
						   { "ledgers", 3 },
						   { "sanidad", 3 },
						   { 0 } };

static const char *const load_arguments[] = {
	"--mix=tallies=6,sanidad=2,ledgers=1:bytes=20000", "--rate=150",
	"--seconds=8", "--keys=100", NULL
};

static struct cluster *cluster;

/* Starts downloads through one router that take about 5 seconds each. */
static void start_downloads(unsigned int router, struct http_task **tasks)
{
	struct http_request request = {
		.address = cluster_caller_address(cluster, router),
		.uri = "/ledgers/season?bytes=" G_STRINGIFY(DOWNLOAD_BYTES),
		.bytes_per_second = DOWNLOAD_SPEED,
		.timeout_ms = 60000,
		.discard = true
	};
	int i;

	for (i = 0; i < DOWNLOADS; i++)
		tasks[i] = http_start(&request);
}

/* Waits for all downloads; each must be complete. */
static void check_downloads(struct http_task **tasks)
{
	int i;

	for (i = 0; i < DOWNLOADS; i++) {
		struct http_answer *answer = http_join(tasks[i]);

		CU_ASSERT_TRUE(answer->whole);
		CU_ASSERT_EQUAL(answer->body_len, DOWNLOAD_BYTES);
		if (!answer->whole)
			printf("# a download failed: %s after "
			       "%" G_GUINT64_FORMAT " bytes\n",
			       answer->failure, answer->body_len);
		http_answer_destroy(answer);
	}
}

/* Counts executions that began in [from_us, until_us) on the upstreams of a
 * zone (NULL: none) or on the upstream at index (-1: none). */
static unsigned int runs_in(const char *zone, int index, int64_t from_us,
			    int64_t until_us)
{
	struct execution_record *record = cluster_load_record(cluster);
	unsigned int runs = 0, i;

	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if ((int)i == index ||
		    (zone && !strcmp(cluster_upstream(cluster, i)->zone, zone)))
			runs += execution_record_count_between(
				record, i, from_us, until_us);
	execution_record_destroy(record);
	return runs;
}

/* Reads the events file of the loadgen process with this name. */
static struct events *load_events(const char *name)
{
	char *path =
		g_strdup_printf("%s/%s.events", cluster_folder(cluster), name);
	struct events *events = events_load(path);

	g_free(path);
	CU_ASSERT_PTR_NOT_NULL_FATAL(events);
	return events;
}

/* Waits until the loadgen process with this name ends; no answer may have been
 * broken, wrong or partial. */
static void check_load(struct process *load, const char *name)
{
	struct events *events;

	CU_ASSERT_TRUE(process_wait_end(load, LIMIT_US, NULL));
	events = load_events(name);
	CU_ASSERT_TRUE(events_count_outcome(events, "answered", NULL) > 0);
	CU_ASSERT_EQUAL(events_count_outcome(events, "broken", NULL), 0);
	CU_ASSERT_EQUAL(events_count_outcome(events, "wrong", NULL), 0);
	CU_ASSERT_EQUAL(events_count_outcome(events, "partial", NULL), 0);
	events_destroy(events);
}

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

static void a_zone_out_gets_no_new_work(void)
{
	struct http_task *tasks[DOWNLOADS];
	struct process *load =
		cluster_start_loadgen(cluster, "zone", load_arguments);
	int64_t out_us, end_us;

	start_downloads(0, tasks);
	g_usleep(US_PER_SECOND);
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, true));
	out_us = now_us();
	check_downloads(tasks);
	check_load(load, "zone");
	end_us = now_us();
	CU_ASSERT_TRUE(end_us - out_us > GRACE_US);
	CU_ASSERT_EQUAL(runs_in(ZONE, -1, out_us + GRACE_US, end_us), 0);
	CU_ASSERT_TRUE(cluster_set_zone(cluster, ZONE, false));
}

/* Sends a request and returns whether ZONE has run any since the time at ctx.
 */
static bool zone_gets_requests(void *ctx)
{
	int64_t since_us = *(const int64_t *)ctx;

	http_answer_destroy(cluster_get(cluster, 0, "/sanidad/s"));
	return runs_in(ZONE, -1, since_us, INT64_MAX) > 0;
}

static void a_zone_back_in_gets_work_again(void)
{
	int64_t since_us = now_us();

	CU_ASSERT_TRUE(
		process_wait_until(zone_gets_requests, &since_us, LIMIT_US));
}

static void a_leaving_upstream_gets_no_new_work(void)
{
	struct process *load =
		cluster_start_loadgen(cluster, "leaving", load_arguments);
	unsigned int leaving = 0;
	int64_t since_us, end_us;

	g_usleep(500 * US_PER_MS);
	cluster_set_state(cluster, leaving, "leaving");
	since_us = now_us();
	check_load(load, "leaving");
	end_us = now_us();
	CU_ASSERT_TRUE(end_us - since_us > GRACE_US);
	CU_ASSERT_EQUAL(
		runs_in(NULL, (int)leaving, since_us + GRACE_US, end_us), 0);
	cluster_set_state(cluster, leaving, "live");
}

static void a_stopped_router_cuts_no_download(void)
{
	struct process *router = cluster_router(cluster, 2);
	struct http_task *tasks[DOWNLOADS];
	int status = -1;

	start_downloads(2, tasks);
	g_usleep(500 * US_PER_MS);
	process_terminate(router);
	check_downloads(tasks);
	CU_ASSERT_TRUE(process_wait_end(router, LIMIT_US, &status));
	CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	CU_ASSERT_TRUE(cluster_restart(router));
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 2, "/tallies/k", LIMIT_US));
}

static void a_stopped_assigner_hands_over(void)
{
	unsigned int i;
	int status = -1;

	for (i = 0; i < cluster_pair_count(cluster); i++) {
		struct process *assigner = cluster_assigner(cluster, i);

		process_terminate(assigner);
		CU_ASSERT_TRUE(process_wait_end(assigner, LIMIT_US, &status));
		CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
		CU_ASSERT_TRUE(cluster_restart(assigner));
		CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, "/tallies/k",
						   LIMIT_US));
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a zone out gets no new work", a_zone_out_gets_no_new_work },
		{ "a zone back in gets work again",
		  a_zone_back_in_gets_work_again },
		{ "a leaving upstream gets no new work",
		  a_leaving_upstream_gets_no_new_work },
		{ "a stopped router cuts no download",
		  a_stopped_router_cuts_no_download },
		{ "a stopped assigner hands over",
		  a_stopped_assigner_hands_over },
		{ 0 },
	};
	static const struct cluster_options options = { .services = services };

	return cluster_suite_run("stop", &options, cases, &cluster);
}
