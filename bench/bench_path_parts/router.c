/*
 * Measures load through one router, compared with the same load sent directly
 * to the same stand-in upstreams, and the router's memory during a slow
 * download.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "measure.h"

#define CASE_SIZE 64
/* Size of the download, and the bytes per second at which it is read. */
#define DOWNLOAD_BYTES 2000000000
#define DOWNLOAD_SPEED 250000000
#define KIB_PER_MIB 1024.0

static const struct cluster_service services[] = { { "sanidad", 8 },
						   { "ledgers", 3 },
						   { 0 } };

static const char *const upstream_arguments[] = { "--service-us=500", NULL };
static const char *const router_arguments[] = { "--workers=2", NULL };

/* Returns the addresses of a service's upstreams, separated by commas; freed
 * with g_free(). */
static char *upstream_addresses(struct cluster *cluster, const char *service)
{
	GString *text = g_string_new(NULL);
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(cluster); i++) {
		const struct cluster_upstream *u = cluster_upstream(cluster, i);

		if (!strcmp(u->service, service))
			g_string_append_printf(
				text, "%s%s", text->len ? "," : "",
				process_address(u->process, "data"));
	}
	return g_string_free(text, FALSE);
}

/* Sends rate requests per second for 4 s; returns loadgen's report. */
static json_t *run_load(struct cluster *cluster, const char *targets, int rate)
{
	char *rate_argument = g_strdup_printf("--rate=%d", rate);
	const char *const arguments[] = { rate_argument, "--seconds=4",
					  "--mix=sanidad=1", "--open-limit=400",
					  NULL };
	json_t *report = measure_load(cluster, targets, arguments);

	g_free(rate_argument);
	return report;
}

static void print_latencies(const char *label, const json_t *through_router,
			    const json_t *direct)
{
	static const struct {
		const char *name, *member;
	} percentiles[] = { { "router-p50", "p50_ms" },
			    { "router-p99", "p99_ms" },
			    { "router-p99.9", "p999_ms" } };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(percentiles); i++)
		measure_print(
			percentiles[i].name, label,
			measure_latency(through_router, percentiles[i].member),
			"ms", measure_latency(direct, percentiles[i].member));
}

static double number_in(const json_t *report, const char *member)
{
	return json_number_value(json_object_get(report, member));
}

static void measure_rate(struct cluster *cluster, const char *upstreams,
			 int rate)
{
	struct process *router = cluster_router(cluster, 0);
	char label[CASE_SIZE];
	json_t *direct = run_load(cluster, upstreams, rate);
	int64_t cpu_us = process_cpu_us(router);
	json_t *through_router =
		run_load(cluster, cluster_caller_address(cluster, 0), rate);

	cpu_us = process_cpu_us(router) - cpu_us;
	snprintf(label, sizeof(label), "%d/s", rate);
	measure_print("router-answered", label,
		      number_in(through_router, "answered_per_second"), "1/s",
		      number_in(direct, "answered_per_second"));
	print_latencies(label, through_router, direct);
	measure_print("router-cpu", label,
		      (double)cpu_us / number_in(through_router, "answered"),
		      "us/request", NO_BASELINE);
	json_decref(through_router);
	json_decref(direct);
}

/* Samples the router's memory for 7 s of a download that takes 8 s. */
static void measure_download(struct cluster *cluster)
{
	struct http_request request = {
		.address = cluster_caller_address(cluster, 0),
		.uri = "/ledgers/all?bytes=" G_STRINGIFY(DOWNLOAD_BYTES),
		.bytes_per_second = DOWNLOAD_SPEED,
		.timeout_ms = 120000,
		.discard = true
	};
	struct process *router = cluster_router(cluster, 0);
	int64_t before_kib = process_memory_kib(router);
	struct http_task *task = http_start(&request);
	struct http_answer *answer;
	int64_t most_kib = before_kib;
	int i;

	for (i = 0; i < 70; i++) {
		g_usleep(100 * US_PER_MS);
		most_kib = MAX(most_kib, process_memory_kib(router));
	}
	answer = http_join(task);
	measure_print("router-memory", "2GB-slow-reader",
		      (double)most_kib / KIB_PER_MIB, "MiB",
		      (double)before_kib / KIB_PER_MIB);
	measure_print("router-download", "2GB-slow-reader",
		      (double)answer->body_len, "bytes", DOWNLOAD_BYTES);
	http_answer_destroy(answer);
}

void measure_router(void)
{
	static const int rates[] = { 500, 2500, 5000, 7500, 10000 };
	static const struct cluster_options options = {
		.services = services,
		.pairs = 1,
		.upstream_arguments = upstream_arguments,
		.router_arguments = router_arguments
	};
	GError *error = NULL;
	struct cluster *cluster = cluster_create(&options, &error);
	char *upstreams;
	size_t i;

	if (!cluster) {
		printf("# can't start the cluster: %s\n", error->message);
		exit(EXIT_FAILURE);
	}
	upstreams = upstream_addresses(cluster, "sanidad");
	for (i = 0; i < G_N_ELEMENTS(rates); i++)
		measure_rate(cluster, upstreams, rates[i]);
	measure_download(cluster);
	g_free(upstreams);
	cluster_destroy(cluster, false);
}
