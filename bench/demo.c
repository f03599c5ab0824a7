/**
 * demo: runs the El Oro deployment on loopback addresses under load. Takes an
 * availability zone out of service and back, then kills an upstream. Exits with
 * success when all guarantees held.
 */
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "cluster.h"
#include "cluster_events.h"

#define ZONE "jambeli"
#define KEYED_SERVICE "tallies"
#define HOTTEST_KEY_URI "/tallies/k0"
/*
 * The load runs undisturbed for BEFORE_ZONE_OUT_US, then with the zone out of
 * service for ZONE_OUT_US, then with the zone back for AFTER_ZONE_IN_US. Then
 * an upstream is killed. The load lasts for LOAD_SECONDS in all.
 */
#define LOAD_SECONDS "30"
#define BEFORE_ZONE_OUT_US (6 * US_PER_SECOND)
#define ZONE_OUT_US (8 * US_PER_SECOND)
#define AFTER_ZONE_IN_US (7 * US_PER_SECOND)
/* Longest wait for the end of the load. */
#define LOAD_LIMIT_US (60 * US_PER_SECOND)
/*
 * Limits that the guarantees set: how long a zone taken out may still begin new
 * work, and how long a key may be unserved after its upstream is lost.
 */
#define ZONE_GRACE_US (3 * US_PER_SECOND)
#define UNSERVED_LIMIT_US (2 * US_PER_SECOND)

static const struct cluster_service services[] = { { KEYED_SERVICE, 14 },
						   { "lots", 8 },
						   { "ledgers", 6 },
						   { "sanidad", 13 },
						   { 0 } };

static const char *const load_arguments[] = {
	"--mix=tallies=70,lots=12:post:once:body=300,"
	"ledgers=2:bytes=1000000,sanidad=16",
	"--rate=600",
	"--seconds=" LOAD_SECONDS,
	"--keys=400",
	"--zipf-percent=80",
	"--resend-percent=10",
	"--json",
	NULL
};

/* When the events happened, in microseconds of CLOCK_BOOTTIME. */
struct timeline {
	int64_t start_us, zone_out_us, zone_in_us, killed_us, end_us;
	/* Index of the upstream that was killed. */
	unsigned int killed_upstream;
};

/* Results of the run. */
struct outcome {
	/* Requests by outcome, as in tools/loadgen_report.h; refused ones as
	 * not_run or may_have_run. */
	unsigned int answered, not_run, may_have_run, broken, wrong, partial;
	/* Requests that ran more than once although they must not. */
	unsigned int duplicates;
	/* Executions that began in the zone between ZONE_GRACE_US after it was
	 * taken out and its return. */
	unsigned int zone_executions;
	/* Pairs of ownership periods of one key that overlap in time. */
	unsigned int overlaps;
	/* Keys of the killed upstream that were served again. */
	unsigned int keys_killed;
	/* Keyed executions of the busiest upstream over the mean, up to the
	 * time when the zone was taken out. */
	double imbalance;
	/* Fractions of the key space that changed owner when the zone was taken
	 * out, when it came back, and when the upstream was killed. */
	double moved_out, moved_back, moved_lost;
	/* Longest time that a key was unserved, up to the kill and after it,
	 * and the latency of answered requests. */
	int64_t unserved_us, unserved_killed_us, p50_us, p99_us;
};

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

/* Sleeps until instant_us + time_us; returns at once if that is past. */
static void sleep_until_after(int64_t instant_us, int64_t time_us)
{
	int64_t left_us = instant_us + time_us - now_us();

	if (left_us > 0)
		g_usleep((gulong)left_us);
}

/* Prints an event with the time since the load started. */
static void print_event(const struct timeline *line, const char *text)
{
	printf("%6.1f s  %s\n",
	       (double)(now_us() - line->start_us) / US_PER_SECOND, text);
	fflush(stdout);
}

/* Returns the fraction of the key space whose owner differs in two maps. */
static double moved_share(const struct slice_map *a, const struct slice_map *b)
{
	double moved = 0;
	uint64_t at = 0;

	if (!a || !b)
		return 0;
	for (;;) {
		const struct slice *x = slice_map_find(a, at);
		const struct slice *y = slice_map_find(b, at);
		uint64_t last = MIN(x->last, y->last);
		struct str one = { 0 }, other = { 0 };

		if (x->owner != SLICE_NO_OWNER)
			one = slice_map_owner(a, x->owner);
		if (y->owner != SLICE_NO_OWNER)
			other = slice_map_owner(b, y->owner);
		if (!str_equal(one, other))
			moved += (double)(last - at) + 1;
		if (last == UINT64_MAX)
			return moved / (double)UINT64_MAX;
		at = last + 1;
	}
}

/* Replaces the map by the present one; returns the fraction that moved. */
static double update_map(struct cluster *cluster, struct slice_map **map)
{
	struct slice_map *next = cluster_owner_map(cluster, KEYED_SERVICE);
	double moved = moved_share(*map, next);

	if (*map)
		slice_map_destroy(*map);
	*map = next;
	return moved;
}

/* Returns the index of the upstream that owns the hottest key; 0 when the key
 * isn't answered. */
static unsigned int hottest_owner(struct cluster *cluster)
{
	int owner = cluster_owner(cluster, 0, HOTTEST_KEY_URI);

	return owner < 0 ? 0 : (unsigned int)owner;
}

/*
 * Starts the load, triggers the events and waits until the load ends. Returns
 * false when auburnctl failed or the load did not end in time.
 */
static bool run_events(struct cluster *cluster, struct timeline *line,
		       struct outcome *out)
{
	struct process *load;
	struct slice_map *map;
	bool ok;

	line->start_us = now_us();
	load = cluster_start_loadgen(cluster, "load", load_arguments);
	map = cluster_owner_map(cluster, KEYED_SERVICE);
	print_event(line, "load starts");
	sleep_until_after(line->start_us, BEFORE_ZONE_OUT_US);
	ok = cluster_set_zone(cluster, ZONE, true);
	line->zone_out_us = now_us();
	print_event(line, "zone " ZONE " is out");
	sleep_until_after(line->zone_out_us, ZONE_OUT_US);
	out->moved_out = update_map(cluster, &map);
	line->zone_in_us = now_us();
	ok = cluster_set_zone(cluster, ZONE, false) && ok;
	print_event(line, "zone " ZONE " is in again");
	sleep_until_after(line->zone_in_us, AFTER_ZONE_IN_US);
	out->moved_back = update_map(cluster, &map);
	line->killed_upstream = hottest_owner(cluster);
	line->killed_us = now_us();
	process_kill(cluster_upstream(cluster, line->killed_upstream)->process);
	print_event(line,
		    "one upstream of " KEYED_SERVICE " is lost (kill -9)");
	ok = process_wait_end(load, LOAD_LIMIT_US, NULL) && ok;
	line->end_us = now_us();
	out->moved_lost = update_map(cluster, &map);
	print_event(line, "load ends");
	if (map)
		slice_map_destroy(map);
	return ok;
}

/* Fills in the results that callers saw, from loadgen's events file. */
static void summarize_events(struct cluster *cluster,
			     const struct timeline *line, struct outcome *out)
{
	char *path =
		g_build_filename(cluster_folder(cluster), "load.events", NULL);
	struct events *events = events_load(path);

	g_free(path);
	if (!events)
		return;
	out->answered = events_count_outcome(events, "answered", NULL);
	out->not_run = events_count_outcome(events, "refused", "not-run");
	out->may_have_run =
		events_count_outcome(events, "refused", "may-have-run") +
		events_count_outcome(events, "refused", "ran");
	out->broken = events_count_outcome(events, "broken", NULL);
	out->wrong = events_count_outcome(events, "wrong", NULL);
	out->partial = events_count_outcome(events, "partial", NULL);
	out->unserved_us = events_longest_gap(events, KEYED_SERVICE,
					      line->start_us, line->killed_us);
	out->unserved_killed_us = events_longest_unserved(
		events, KEYED_SERVICE,
		cluster_upstream(cluster, line->killed_upstream)->id,
		line->killed_us, &out->keys_killed);
	out->p50_us = events_latency(events, NULL, 0.5);
	out->p99_us = events_latency(events, NULL, 0.99);
	events_destroy(events);
}

/*
 * Returns the maximum over the mean of the numbers of keyed executions of the
 * upstreams of KEYED_SERVICE, up to the time when the zone is taken out.
 */
static double measure_imbalance(struct cluster *cluster,
				const struct execution_record *record,
				const struct timeline *line)
{
	const GArray *runs = execution_record_runs(record);
	unsigned int count = cluster_upstream_count(cluster);
	unsigned int *by_upstream = g_new0(unsigned int, count);
	unsigned int most = 0, sum = 0, upstreams = 0, i;

	for (i = 0; i < runs->len; i++) {
		const struct record_run *run =
			&g_array_index(runs, struct record_run, i);

		if (run->keyed && run->at_us < line->zone_out_us)
			by_upstream[run->upstream]++;
	}
	for (i = 0; i < count; i++) {
		upstreams += !strcmp(cluster_upstream(cluster, i)->service,
				     KEYED_SERVICE);
		most = MAX(most, by_upstream[i]);
		sum += by_upstream[i];
	}
	g_free(by_upstream);
	return sum ? (double)most * upstreams / sum : 0;
}

/* Fills in the results that the upstreams recorded. */
static void summarize_records(struct cluster *cluster,
			      const struct timeline *line, struct outcome *out)
{
	struct execution_record *record = cluster_load_record(cluster);
	struct ownership_period a, b;
	const char *first;
	unsigned int i;

	out->duplicates = execution_record_count_duplicates(record, &first);
	out->overlaps = execution_record_count_overlaps(record, &a, &b);
	out->imbalance = measure_imbalance(cluster, record, line);
	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if (!strcmp(cluster_upstream(cluster, i)->zone, ZONE))
			out->zone_executions += execution_record_count_between(
				record, i, line->zone_out_us + ZONE_GRACE_US,
				line->zone_in_us);
	execution_record_destroy(record);
}

static void print_outcome(const struct outcome *out)
{
	printf("\nanswered completely                %u\n", out->answered);
	printf("refused, did not run               %u\n", out->not_run);
	printf("refused or broken, may have run    %u\n",
	       out->may_have_run + out->broken);
	printf("wrong or partial answers           %u\n",
	       out->wrong + out->partial);
	printf("work that ran twice                %u\n", out->duplicates);
	printf("overlapping ownership of keys      %u\n", out->overlaps);
	printf("new work in the zone, 3 s after    %u\n", out->zone_executions);
	printf("load of upstreams, most over mean  %.2f\n", out->imbalance);
	printf("keys moved: zone out, in, VM lost  %.1f%%, %.1f%%, %.1f%%\n",
	       100 * out->moved_out, 100 * out->moved_back,
	       100 * out->moved_lost);
	printf("longest unserved key, up to loss   %.3f s\n",
	       (double)out->unserved_us / US_PER_SECOND);
	printf("longest unserved key, VM lost      %.3f s (%u keys seen)\n",
	       (double)out->unserved_killed_us / US_PER_SECOND,
	       out->keys_killed);
	printf("latency p50, p99                   %.1f ms, %.1f ms\n",
	       (double)out->p50_us / US_PER_MS,
	       (double)out->p99_us / US_PER_MS);
}

/* Prints whether a guarantee held, and returns the same. */
static bool report_guarantee(bool held, const char *text)
{
	printf("%s  %s\n", held ? "held  " : "BROKEN", text);
	return held;
}

static bool check_guarantees(const struct outcome *out)
{
	bool ok = report_guarantee(out->answered > 0, "requests are answered");

	ok &= report_guarantee(!out->wrong && !out->partial,
			       "each answer is whole and the caller's own");
	ok &= report_guarantee(!out->duplicates, "no confirmation ran twice");
	ok &= report_guarantee(!out->overlaps, "no key had two owners");
	ok &= report_guarantee(
		!out->zone_executions,
		"no new work in a zone 3 s after it was taken out");
	ok &= report_guarantee(
		out->keys_killed > 0 &&
			out->unserved_killed_us <= UNSERVED_LIMIT_US,
		"keys of a lost upstream are served again within 2 s");
	return ok;
}

int main(void)
{
	static const struct cluster_options options = { .services = services };
	struct timeline line = { 0 };
	struct outcome out = { 0 };
	struct cluster *cluster;
	GError *error = NULL;
	bool ok;

	curl_global_init(CURL_GLOBAL_DEFAULT);
	printf("El Oro: 41 upstreams, 3 routers, 3 assigners, "
	       "examples/el-oro.conf\n");
	fflush(stdout);
	cluster = cluster_create(&options, &error);
	if (!cluster) {
		printf("demo: can't start the cluster: %s\n", error->message);
		return EXIT_FAILURE;
	}
	ok = run_events(cluster, &line, &out);
	summarize_events(cluster, &line, &out);
	summarize_records(cluster, &line, &out);
	print_outcome(&out);
	printf("\n");
	ok = check_guarantees(&out) && ok;
	cluster_destroy(cluster, false);
	printf("\n%s\n",
	       ok ? "all guarantees held"
		  : "failed: a guarantee is BROKEN, auburnctl failed, "
		    "or the load did not end");
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
