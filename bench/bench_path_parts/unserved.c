/* Measures how long keys are unserved after a process or a zone is lost. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "cluster_events.h"
#include "measure.h"

#define CELL "tallies"
/* A key whose owner is the upstream that fails. */
#define KEY_URI "/tallies/k0"
#define ZONE "jambeli"
/* Time from the start of the load to the fault. */
#define FAULT_AFTER_US (2 * US_PER_SECOND)
/* Longest wait for loadgen's exit after the fault. */
#define LOAD_LIMIT_US (60 * US_PER_SECOND)
#define TARGET_SECONDS 2.0

static const struct cluster_service services[] = { { CELL, 14 }, { 0 } };

/* 1400 requests/s over 140 keys: each key about ten times a second. */
static const char *const load_arguments[] = {
	"--mix=tallies=1",  "--rate=1400", "--keys=140",
	"--zipf-percent=0", "--seconds=7", NULL
};

/* A fault and the upstreams whose keys are measured after it. */
struct fault {
	struct cluster *cluster;
	/* By index of the upstream: whether its keys are measured. */
	bool *measured;
};

/* Injects a fault into the owner of KEY_URI, whose keys are then measured. */
static void inject_into_owner(struct fault *fault,
			      void (*inject)(struct process *))
{
	int owner = cluster_owner(fault->cluster, 0, KEY_URI);

	if (owner < 0)
		return;
	fault->measured[owner] = true;
	inject(cluster_upstream(fault->cluster, (unsigned int)owner)->process);
}

/* Injects a fault into the assigner that leads the cell. */
static void inject_into_coordinator(struct fault *fault,
				    void (*inject)(struct process *))
{
	int index = measure_find_coordinator(fault->cluster, CELL);

	if (index >= 0)
		inject(cluster_assigner(fault->cluster, (unsigned int)index));
}

static void upstream_killed(struct fault *fault)
{
	inject_into_owner(fault, process_kill);
}

static void upstream_frozen(struct fault *fault)
{
	inject_into_owner(fault, process_freeze);
}

static void measure_all_upstreams(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(fault->cluster); i++)
		fault->measured[i] = true;
}

static void coordinator_killed(struct fault *fault)
{
	measure_all_upstreams(fault);
	inject_into_coordinator(fault, process_kill);
}

static void coordinator_frozen(struct fault *fault)
{
	measure_all_upstreams(fault);
	inject_into_coordinator(fault, process_freeze);
}

static void both_killed(struct fault *fault)
{
	inject_into_owner(fault, process_kill);
	inject_into_coordinator(fault, process_kill);
}

/*
 * Kills the upstreams and the assigners of a zone. Routers keep running:
 * callers of a lost zone are sent to the routers of other zones.
 */
static void zone_lost(struct fault *fault)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(fault->cluster); i++) {
		struct cluster_upstream *u =
			cluster_upstream(fault->cluster, i);

		if (strcmp(u->zone, ZONE) != 0)
			continue;
		fault->measured[i] = true;
		process_kill(u->process);
	}
	for (i = 0; i < cluster_pair_count(fault->cluster); i++)
		if (i % 3 == 1)
			process_kill(cluster_assigner(fault->cluster, i));
}

/*
 * Prints the longest time that a measured upstream's key was unserved, how many
 * of these keys were served again, and the longest wait of any key.
 */
static void print_longest(const struct fault *fault, const char *name,
			  const struct events *events, int64_t at_us)
{
	unsigned int keys = 0, seen, i;
	int64_t longest_us = 0;

	for (i = 0; i < cluster_upstream_count(fault->cluster); i++) {
		if (!fault->measured[i])
			continue;
		longest_us =
			MAX(longest_us,
			    events_longest_unserved(
				    events, CELL,
				    cluster_upstream(fault->cluster, i)->id,
				    at_us, &seen));
		keys += seen;
	}
	measure_print("unserved", name, (double)longest_us / US_PER_SECOND, "s",
		      TARGET_SECONDS);
	measure_print("unserved-keys-seen", name, keys, "keys", NO_BASELINE);
	measure_print(
		"longest-wait", name,
		(double)events_longest_gap(events, CELL, at_us, INT64_MAX) /
			US_PER_SECOND,
		"s", NO_BASELINE);
}

/* Prints how many ownership periods of one key overlap, from the records. */
static void print_owners(struct cluster *cluster, const char *name)
{
	struct execution_record *record = cluster_load_record(cluster);
	struct ownership_period a, b;

	measure_print("two-owners", name,
		      execution_record_count_overlaps(record, &a, &b),
		      "overlaps", NO_BASELINE);
	execution_record_destroy(record);
}

/* Runs a cluster under load, injects a fault and prints the results. */
static void measure_fault(const char *name, void (*inject)(struct fault *))
{
	static const struct cluster_options options = { .services = services };
	struct cluster *cluster = cluster_create(&options, NULL);
	struct fault fault = { .cluster = cluster };
	struct events *events;
	struct process *load;
	int64_t at_us;
	char *path;

	if (!cluster)
		exit(EXIT_FAILURE);
	fault.measured = g_new0(bool, cluster_upstream_count(cluster));
	load = cluster_start_loadgen(cluster, "load", load_arguments);
	g_usleep(FAULT_AFTER_US);
	at_us = clock_now_us(clock_system());
	inject(&fault);
	process_wait_end(load, LOAD_LIMIT_US, NULL);
	path = g_build_filename(cluster_folder(cluster), "load.events", NULL);
	events = events_load(path);
	if (events)
		print_longest(&fault, name, events, at_us);
	print_owners(cluster, name);
	events_destroy(events);
	g_free(path);
	g_free(fault.measured);
	cluster_destroy(cluster, false);
}

void measure_unserved(void)
{
	measure_fault("upstream-killed", upstream_killed);
	measure_fault("upstream-frozen", upstream_frozen);
	measure_fault("coordinator-killed", coordinator_killed);
	measure_fault("coordinator-frozen", coordinator_frozen);
	measure_fault("both-killed", both_killed);
	measure_fault("zone-lost", zone_lost);
}
