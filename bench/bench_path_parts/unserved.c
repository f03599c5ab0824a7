/* How long keys are unserved after a process or a zone is lost. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "cluster_events.h"
#include "measure.h"

#define CELL "tallies"
#define HOT "/tallies/k0"
#define ZONE "jambeli"
#define BEFORE_US (2 * US_PER_SECOND)
#define LOAD_LIMIT_US (60 * US_PER_SECOND)
#define TARGET_S 2.0

static const struct cluster_service services[] = { { CELL, 14 }, { 0 } };

/* 1400 requests/s over 140 keys: each key about ten times a second. */
static const char *const load_arguments[] = {
	"--mix=tallies=1",  "--rate=1400", "--keys=140",
	"--zipf-percent=0", "--seconds=7", NULL
};

/* A fault and the upstreams whose keys are measured after it. */
struct loss {
	struct cluster *cluster;
	/* One flag per upstream, by index: measure its keys. */
	bool *measured;
};

static void fail_owner(struct loss *loss, void (*inject)(struct process *))
{
	int owner = cluster_owner(loss->cluster, 0, HOT);

	if (owner < 0)
		return;
	loss->measured[owner] = true;
	inject(cluster_upstream(loss->cluster, (unsigned int)owner)->process);
}

static void fail_coordinator(struct loss *loss,
			     void (*inject)(struct process *))
{
	int index = measure_coordinator(loss->cluster, CELL);

	if (index >= 0)
		inject(cluster_assigner(loss->cluster, (unsigned int)index));
}

static void upstream_killed(struct loss *loss)
{
	fail_owner(loss, process_kill);
}

static void upstream_frozen(struct loss *loss)
{
	fail_owner(loss, process_freeze);
}

static void mark_all(struct loss *loss)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(loss->cluster); i++)
		loss->measured[i] = true;
}

static void coordinator_killed(struct loss *loss)
{
	mark_all(loss);
	fail_coordinator(loss, process_kill);
}

static void coordinator_frozen(struct loss *loss)
{
	mark_all(loss);
	fail_coordinator(loss, process_freeze);
}

static void both_killed(struct loss *loss)
{
	fail_owner(loss, process_kill);
	fail_coordinator(loss, process_kill);
}

/*
 * Kills the upstreams and the assigners of a zone. Routers keep running:
 * callers of a lost zone are sent to the routers of other zones.
 */
static void zone_lost(struct loss *loss)
{
	unsigned int i;

	for (i = 0; i < cluster_upstream_count(loss->cluster); i++) {
		struct cluster_upstream *u = cluster_upstream(loss->cluster, i);

		if (strcmp(u->zone, ZONE) != 0)
			continue;
		loss->measured[i] = true;
		process_kill(u->process);
	}
	for (i = 0; i < cluster_pair_count(loss->cluster); i++)
		if (i % 3 == 1)
			process_kill(cluster_assigner(loss->cluster, i));
}

static void print_longest(const struct loss *loss, const char *name,
			  const struct events *events, int64_t at_us)
{
	unsigned int keys = 0, seen, i;
	int64_t longest_us = 0;

	for (i = 0; i < cluster_upstream_count(loss->cluster); i++) {
		if (!loss->measured[i])
			continue;
		longest_us = MAX(longest_us,
				 events_longest_unserved(
					 events, CELL,
					 cluster_upstream(loss->cluster, i)->id,
					 at_us, &seen));
		keys += seen;
	}
	measure_print("unserved", name, (double)longest_us / US_PER_SECOND, "s",
		      TARGET_S);
	measure_print("unserved-keys-seen", name, keys, "keys", NO_BASELINE);
	measure_print(
		"longest-wait", name,
		(double)events_longest_gap(events, CELL, at_us, INT64_MAX) /
			US_PER_SECOND,
		"s", NO_BASELINE);
}

static void print_owners(struct cluster *cluster, const char *name)
{
	struct execution_record *record = cluster_load_record(cluster);
	struct ownership_period a, b;

	measure_print("two-owners", name,
		      execution_record_count_overlaps(record, &a, &b),
		      "overlaps", NO_BASELINE);
	execution_record_destroy(record);
}

static void measure_loss(const char *name, void (*inject)(struct loss *))
{
	static const struct cluster_options options = { .services = services };
	struct cluster *cluster = cluster_create(&options, NULL);
	struct loss loss = { .cluster = cluster };
	struct events *events;
	struct process *load;
	int64_t at_us;
	char *path;

	if (!cluster)
		exit(EXIT_FAILURE);
	loss.measured = g_new0(bool, cluster_upstream_count(cluster));
	load = cluster_start_loadgen(cluster, "load", load_arguments);
	g_usleep(BEFORE_US);
	at_us = clock_now_us(clock_system());
	inject(&loss);
	process_wait_end(load, LOAD_LIMIT_US, NULL);
	path = g_build_filename(cluster_folder(cluster), "load.events", NULL);
	events = events_load(path);
	if (events)
		print_longest(&loss, name, events, at_us);
	print_owners(cluster, name);
	events_destroy(events);
	g_free(path);
	g_free(loss.measured);
	cluster_destroy(cluster, false);
}

void measure_unserved(void)
{
	measure_loss("upstream-killed", upstream_killed);
	measure_loss("upstream-frozen", upstream_frozen);
	measure_loss("coordinator-killed", coordinator_killed);
	measure_loss("coordinator-frozen", coordinator_frozen);
	measure_loss("both-killed", both_killed);
	measure_loss("zone-lost", zone_lost);
}
