/*
 * Measures CPU time, memory and control traffic per assigner and per router,
 * without any requests: in the steady state and after the loss of a zone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "measure.h"

#define CASE_SIZE 64
#define ZONE "jambeli"
/* Wait after the start, then the duration of each measurement. */
#define SETTLE_US (2 * US_PER_SECOND)
#define SPAN_US (6 * US_PER_SECOND)
/* Targets per daemon, printed as baselines. */
#define TARGET_CPU_PERCENT 1.9
#define TARGET_MEMORY_MIB 128
#define TARGET_BYTES_PER_SECOND 3000
#define PERCENT 100.0
#define KIB_PER_MIB 1024.0

static const struct cluster_service services[] = { { "tallies", 14 },
						   { "lots", 8 },
						   { "ledgers", 6 },
						   { "sanidad", 13 },
						   { 0 } };

/*
 * Resource usage, summed over all daemons of a role. link_bytes were sent to
 * other assigners, http_bytes over HTTP; both are counted for assigners only.
 */
struct usage {
	double cpu_us, link_bytes, http_bytes, memory_kib;
};

static struct usage read_usage(struct cluster *cluster, bool routers)
{
	struct usage sum = { 0 };
	unsigned int i;

	for (i = 0; i < cluster_pair_count(cluster); i++) {
		struct process *p = routers ? cluster_router(cluster, i)
					    : cluster_assigner(cluster, i);

		sum.cpu_us += (double)process_cpu_us(p);
		sum.memory_kib += (double)process_memory_kib(p);
		if (routers)
			continue;
		sum.link_bytes +=
			measure_metric(p, "auburn_assigner_link_sent_bytes");
		sum.http_bytes += measure_metric(
			p, "auburn_assigner_http_sent_bytes_total");
	}
	return sum;
}

/* Prints the usage per daemon between two readings that are seconds apart. */
static void print_usage(struct cluster *cluster, const char *role,
			const char *label, const struct usage *before,
			const struct usage *after, double seconds)
{
	double count = cluster_pair_count(cluster);
	char name[CASE_SIZE];

	snprintf(name, sizeof(name), "control-cpu-%s", role);
	measure_print(name, label,
		      PERCENT * (after->cpu_us - before->cpu_us) /
			      US_PER_SECOND / seconds / count,
		      "%core", TARGET_CPU_PERCENT);
	snprintf(name, sizeof(name), "control-memory-%s", role);
	measure_print(name, label, after->memory_kib / KIB_PER_MIB / count,
		      "MiB", TARGET_MEMORY_MIB);
	/* Routers don't count link bytes. */
	if (after->link_bytes <= 0)
		return;
	snprintf(name, sizeof(name), "control-links-%s", role);
	measure_print(name, label,
		      (after->link_bytes - before->link_bytes) / seconds /
			      count,
		      "B/s", TARGET_BYTES_PER_SECOND);
	snprintf(name, sizeof(name), "control-http-%s", role);
	measure_print(name, label,
		      (after->http_bytes - before->http_bytes) / seconds /
			      count,
		      "B/s", TARGET_BYTES_PER_SECOND);
}

/* Measures the usage of all daemons during SPAN_US. */
static void measure_span(struct cluster *cluster, const char *label)
{
	int64_t start_us = clock_now_us(clock_system());
	struct usage assigners = read_usage(cluster, false);
	struct usage routers = read_usage(cluster, true);
	struct usage after;
	double seconds;

	g_usleep(SPAN_US);
	seconds = (double)(clock_now_us(clock_system()) - start_us) /
		  US_PER_SECOND;
	after = read_usage(cluster, false);
	print_usage(cluster, "assigner", label, &assigners, &after, seconds);
	after = read_usage(cluster, true);
	print_usage(cluster, "router", label, &routers, &after, seconds);
}

/* Kills the upstreams of a zone; its daemons keep running. */
static void lose_zone(struct cluster *cluster)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if (!strcmp(cluster_upstream(cluster, i)->zone, ZONE))
			process_kill(cluster_upstream(cluster, i)->process);
}

/* Measures a cluster with a number of pairs of a router and an assigner. */
static void measure_fleet(unsigned int pairs)
{
	struct cluster_options options = { .services = services,
					   .pairs = pairs };
	struct cluster *cluster = cluster_create(&options, NULL);
	char label[CASE_SIZE];

	if (!cluster)
		exit(EXIT_FAILURE);
	g_usleep(SETTLE_US);
	snprintf(label, sizeof(label), "%u-pairs/steady", pairs);
	measure_span(cluster, label);
	lose_zone(cluster);
	snprintf(label, sizeof(label), "%u-pairs/zone-lost", pairs);
	measure_span(cluster, label);
	cluster_destroy(cluster, false);
}

void measure_control(void)
{
	measure_fleet(3);
	measure_fleet(12);
}
