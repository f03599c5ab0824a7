/*
 * CPU time, memory and control traffic per assigner and per router, without
 * any requests: in the steady state and after the loss of a zone.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "measure.h"

#define CASE_SIZE 64
#define ZONE "jambeli"
#define SETTLE_US (2 * US_PER_SECOND)
#define SPAN_US (6 * US_PER_SECOND)
#define PERCENT 100.0
#define KIB_PER_MIB 1024.0

static const struct cluster_service services[] = { { "tallies", 14 },
						   { "lots", 8 },
						   { "ledgers", 6 },
						   { "sanidad", 13 },
						   { 0 } };

/* Resource usage, summed over all daemons of a role. */
struct usage {
	double cpu_us, link_bytes, http_bytes, memory_kib;
};

static struct usage usage_of(struct cluster *cluster, bool routers)
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

static void print_usage(struct cluster *cluster, const char *role,
			const char *where, const struct usage *before,
			const struct usage *after, double seconds)
{
	double count = cluster_pair_count(cluster);
	char name[CASE_SIZE];

	snprintf(name, sizeof(name), "control-cpu-%s", role);
	measure_print(name, where,
		      PERCENT * (after->cpu_us - before->cpu_us) /
			      US_PER_SECOND / seconds / count,
		      "%core", 1.9);
	snprintf(name, sizeof(name), "control-memory-%s", role);
	measure_print(name, where, after->memory_kib / KIB_PER_MIB / count,
		      "MiB", 128);
	if (after->link_bytes <= 0)
		return;
	snprintf(name, sizeof(name), "control-links-%s", role);
	measure_print(name, where,
		      (after->link_bytes - before->link_bytes) / seconds /
			      count,
		      "B/s", 3000);
	snprintf(name, sizeof(name), "control-http-%s", role);
	measure_print(name, where,
		      (after->http_bytes - before->http_bytes) / seconds /
			      count,
		      "B/s", 3000);
}

static void measure_span(struct cluster *cluster, const char *where)
{
	int64_t start_us = clock_now_us(clock_system());
	struct usage assigners = usage_of(cluster, false);
	struct usage routers = usage_of(cluster, true);
	struct usage after;
	double seconds;

	g_usleep(SPAN_US);
	seconds = (double)(clock_now_us(clock_system()) - start_us) /
		  US_PER_SECOND;
	after = usage_of(cluster, false);
	print_usage(cluster, "assigner", where, &assigners, &after, seconds);
	after = usage_of(cluster, true);
	print_usage(cluster, "router", where, &routers, &after, seconds);
}

static void lose_zone(struct cluster *cluster)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(cluster); i++)
		if (!strcmp(cluster_upstream(cluster, i)->zone, ZONE))
			process_kill(cluster_upstream(cluster, i)->process);
}

static void measure_fleet(unsigned int pairs)
{
	struct cluster_options options = { .services = services,
					   .pairs = pairs };
	struct cluster *cluster = cluster_create(&options, NULL);
	char where[CASE_SIZE];

	if (!cluster)
		exit(EXIT_FAILURE);
	g_usleep(SETTLE_US);
	snprintf(where, sizeof(where), "%u-pairs/steady", pairs);
	measure_span(cluster, where);
	lose_zone(cluster);
	snprintf(where, sizeof(where), "%u-pairs/zone-lost", pairs);
	measure_span(cluster, where);
	cluster_destroy(cluster, false);
}

void measure_control(void)
{
	measure_fleet(3);
	measure_fleet(12);
}
