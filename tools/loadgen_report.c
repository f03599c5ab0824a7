#include "loadgen_report.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/error.h"

/* An answer slower than this counts as a gap in the service of its key. */
#define GAP_LATENCY_US (250 * US_PER_MS)
/* Size of the buffers for the keys of the hash tables below. */
#define KEY_SIZE 96

static const char *const outcome_names[OUTCOME_COUNT] = {
	[OUTCOME_ANSWERED] = "answered", [OUTCOME_REFUSED] = "refused",
	[OUTCOME_BROKEN] = "broken",	 [OUTCOME_PARTIAL] = "partial",
	[OUTCOME_WRONG] = "wrong",
};

/* Planned time of sending and time of the end of a request for a key. */
struct request_timing {
	int64_t planned_us, done_us;
	bool answered;
};

struct report {
	/* Gets one line per request; NULL for no file. */
	FILE *events;
	uint64_t outcomes[OUTCOME_COUNT];
	/* Requests not sent, and ids that were executed more than once. */
	uint64_t unsent, duplicates;
	/* "outcome verdict reason" to count, for requests with an outcome other
	 * than OUTCOME_ANSWERED. */
	GHashTable *reasons;
	/* Service to GArray of int64_t: latencies of answered requests, in
	 * microseconds from the planned time. */
	GHashTable *latencies;
	/* "service/key" to GArray of struct moment. */
	GHashTable *timings;
	/* Idempotency key or load id to its number of executions on all
	 * upstreams. */
	GHashTable *executions;
};

static void unref_array(gpointer data)
{
	g_array_unref(data);
}

struct report *report_create(const char *events, GError **error)
{
	struct report *report = g_new0(struct report, 1);

	if (*events) {
		report->events = fopen(events, "we");
		if (!report->events) {
			g_set_error(
				error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
				"--events: can't open %s for writing", events);
			g_free(report);
			return NULL;
		}
	}
	report->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	report->latencies = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, unref_array);
	report->timings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						unref_array);
	report->executions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return report;
}

void report_destroy(struct report *report)
{
	if (report->events)
		fclose(report->events);
	g_hash_table_unref(report->reasons);
	g_hash_table_unref(report->latencies);
	g_hash_table_unref(report->timings);
	g_hash_table_unref(report->executions);
	g_free(report);
}

/* Adds n to the number stored under text, which is 0 when it is missing. */
static void add_count(GHashTable *counts, const char *text, unsigned int n)
{
	gpointer old = g_hash_table_lookup(counts, text);

	g_hash_table_replace(counts, g_strdup(text),
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(old) + n));
}

/* Returns the array stored under name; adds an empty one when it is missing. */
static GArray *get_or_add_array(GHashTable *arrays, const char *name,
				guint size)
{
	GArray *array = g_hash_table_lookup(arrays, name);

	if (!array) {
		array = g_array_new(FALSE, FALSE, size);
		g_hash_table_insert(arrays, g_strdup(name), array);
	}
	return array;
}

static const char *text_or_dash(const char *text)
{
	return text && *text ? text : "-";
}

/* Appends a line to the events file; test/functional/cluster_events.c reads it.
 */
static void write_event(struct report *report, const struct result *result)
{
	fprintf(report->events,
		"%" PRId64 "\t%" PRId64 "\t%s\t%u\t%s\t%s\t%s\t%s\t%s\t%s\n",
		result->planned_us, result->done_us, result->service,
		result->key, text_or_dash(result->load_id),
		text_or_dash(result->work_id), outcome_names[result->outcome],
		text_or_dash(result->verdict), text_or_dash(result->reason),
		text_or_dash(result->upstream));
}

static void add_timing(struct report *report, const struct result *result)
{
	struct request_timing request_timing = { result->planned_us,
						 result->done_us,
						 result->outcome ==
							 OUTCOME_ANSWERED };
	char key[KEY_SIZE];
	GArray *timings;

	snprintf(key, sizeof(key), "%s/%u", result->service, result->key);
	timings =
		get_or_add_array(report->timings, key, sizeof(request_timing));
	g_array_append_val(timings, request_timing);
}

void report_add(struct report *report, const struct result *result)
{
	int64_t latency_us = result->done_us - result->planned_us;
	char reason[KEY_SIZE];
	GArray *latencies;

	report->outcomes[result->outcome]++;
	if (report->events)
		write_event(report, result);
	add_timing(report, result);
	if (result->outcome == OUTCOME_ANSWERED) {
		latencies = get_or_add_array(report->latencies, result->service,
					     sizeof(latency_us));
		g_array_append_val(latencies, latency_us);
		return;
	}
	snprintf(reason, sizeof(reason), "%s %s %s",
		 outcome_names[result->outcome], text_or_dash(result->verdict),
		 text_or_dash(result->reason));
	add_count(report->reasons, reason, 1);
}

void report_add_unsent(struct report *report)
{
	report->unsent++;
}

/* Adds a JSON object of id to number of executions. */
static void add_execution_counts(struct report *report, const json_t *counts)
{
	const char *id;
	json_t *n;

	json_object_foreach ((json_t *)counts, id, n) {
		add_count(report->executions, id,
			  (unsigned int)json_integer_value(n));
	}
}

void report_add_executions(struct report *report, const json_t *counts)
{
	add_execution_counts(report, json_object_get(counts, "work"));
	add_execution_counts(report, json_object_get(counts, "loads"));
}

static void count_duplicates(struct report *report)
{
	GHashTableIter iter;
	gpointer id, n;

	report->duplicates = 0;
	g_hash_table_iter_init(&iter, report->executions);
	while (g_hash_table_iter_next(&iter, &id, &n))
		report->duplicates += GPOINTER_TO_UINT(n) > 1;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Returns the longest gap of a key in microseconds: the time from the planned
 * start of the first unanswered or late request to the end of the next answered
 * request, which is the late one itself when that one was answered. 0 when
 * there is no such request.
 */
static int64_t longest_gap(GArray *timings)
{
	int64_t start_us = -1, longest_us = 0;
	guint i;

	/* Sorts by planned time, the first member of struct moment. */
	g_array_sort(timings, compare_times);
	for (i = 0; i < timings->len; i++) {
		const struct request_timing *m =
			&g_array_index(timings, struct request_timing, i);
		bool late = m->done_us - m->planned_us > GAP_LATENCY_US;

		if (start_us < 0 && (!m->answered || late))
			start_us = m->planned_us;
		if (start_us < 0)
			continue;
		longest_us = MAX(longest_us, m->done_us - start_us);
		if (m->answered)
			start_us = -1;
	}
	return longest_us;
}

/* Returns the longest gap of any key, in microseconds. */
static int64_t longest_unserved(struct report *report)
{
	int64_t longest_us = 0;
	GHashTableIter iter;
	gpointer timings;

	g_hash_table_iter_init(&iter, report->timings);
	while (g_hash_table_iter_next(&iter, NULL, &timings))
		longest_us = MAX(longest_us, longest_gap(timings));
	return longest_us;
}

/* Returns the latency, in ms, that a fraction of the requests stays below. */
static double percentile_ms(const GArray *sorted, double fraction)
{
	guint index = (guint)((double)sorted->len * fraction);

	if (!sorted->len)
		return 0;
	return (double)g_array_index(sorted, int64_t,
				     MIN(index, sorted->len - 1)) /
	       (double)US_PER_MS;
}

/* Returns count and percentiles of one array, which it sorts. */
static json_t *latency_json(GArray *latencies)
{
	g_array_sort(latencies, compare_times);
	return json_pack("{s:I,s:f,s:f,s:f,s:f,s:f}", "count",
			 (json_int_t)latencies->len, "p50_ms",
			 percentile_ms(latencies, 0.5), "p90_ms",
			 percentile_ms(latencies, 0.9), "p99_ms",
			 percentile_ms(latencies, 0.99), "p999_ms",
			 percentile_ms(latencies, 0.999), "max_ms",
			 percentile_ms(latencies, 1));
}

/* Returns the latency percentiles of all services together, and of each. */
static json_t *latencies_json(struct report *report)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer service, data;

	g_hash_table_iter_init(&iter, report->latencies);
	while (g_hash_table_iter_next(&iter, &service, &data)) {
		GArray *one = data;

		g_array_append_vals(all, one->data, one->len);
		json_object_set_new(object, service, latency_json(one));
	}
	json_object_set_new(object, "all", latency_json(all));
	g_array_unref(all);
	return object;
}

static json_t *reasons_json(struct report *report)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer reason, n;

	g_hash_table_iter_init(&iter, report->reasons);
	while (g_hash_table_iter_next(&iter, &reason, &n))
		json_object_set_new(object, reason,
				    json_integer(GPOINTER_TO_UINT(n)));
	return object;
}

json_t *report_json(struct report *report, double seconds)
{
	json_t *object = json_object();
	uint64_t answered = report->outcomes[OUTCOME_ANSWERED];
	size_t i;

	count_duplicates(report);
	for (i = 0; i < OUTCOME_COUNT; i++)
		json_object_set_new(
			object, outcome_names[i],
			json_integer((json_int_t)report->outcomes[i]));
	json_object_set_new(object, "unsent",
			    json_integer((json_int_t)report->unsent));
	json_object_set_new(object, "duplicates",
			    json_integer((json_int_t)report->duplicates));
	json_object_set_new(object, "seconds", json_real(seconds));
	json_object_set_new(object, "answered_per_second",
			    json_real((double)answered / seconds));
	json_object_set_new(object, "longest_unserved_ms",
			    json_real((double)longest_unserved(report) /
				      (double)US_PER_MS));
	json_object_set_new(object, "reasons", reasons_json(report));
	json_object_set_new(object, "latency", latencies_json(report));
	return object;
}

static void print_latencies(const json_t *latencies)
{
	const char *service;
	json_t *one;

	printf("%-14s %9s %9s %9s %9s %9s\n", "latency, ms", "count", "p50",
	       "p99", "p99.9", "max");
	json_object_foreach ((json_t *)latencies, service, one) {
		printf("%-14s %9" PRId64 " %9.2f %9.2f %9.2f %9.2f\n", service,
		       (int64_t)json_integer_value(
			       json_object_get(one, "count")),
		       json_real_value(json_object_get(one, "p50_ms")),
		       json_real_value(json_object_get(one, "p99_ms")),
		       json_real_value(json_object_get(one, "p999_ms")),
		       json_real_value(json_object_get(one, "max_ms")));
	}
}

void report_print(struct report *report, double seconds)
{
	json_t *object = report_json(report, seconds);
	const char *reason;
	json_t *n;
	size_t i;

	for (i = 0; i < OUTCOME_COUNT; i++)
		printf("%-24s %" PRIu64 "\n", outcome_names[i],
		       report->outcomes[i]);
	printf("%-24s %" PRIu64 "\n", "unsent", report->unsent);
	printf("%-24s %" PRIu64 "\n", "duplicates run", report->duplicates);
	printf("%-24s %.1f\n", "answered a second",
	       json_real_value(json_object_get(object, "answered_per_second")));
	printf("%-24s %.1f ms\n", "longest unserved",
	       json_real_value(json_object_get(object, "longest_unserved_ms")));
	json_object_foreach (json_object_get(object, "reasons"), reason, n) {
		printf("  %-40s %" PRId64 "\n", reason,
		       (int64_t)json_integer_value(n));
	}
	print_latencies(json_object_get(object, "latency"));
	json_decref(object);
}
