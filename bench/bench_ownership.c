/*
 * Measures key ownership: real coordinators over fakes of the upstreams and of
 * the store, with a simulated clock. Prints one measure per line: name, case,
 * value, unit.
 */
#include <stdio.h>
#include <time.h>

#include "base/hash.h"
#include "world.h"

#define UPSTREAMS 14
#define SLICES_PER_OWNER 8
/* Runs of each fault, each with another seed. */
#define SEEDS 20
/* Upstream that fails, and how long a process stays killed or frozen: longer
 * than unserved_ms() watches. */
#define FAILED_UPSTREAM 3
#define FAULT_US (60 * US_PER_SECOND)
#define KEYS 100000
/* The hottest keys, which are replaced by others when the load changes. */
#define CHANGED_KEYS 26
#define REQUESTS_PER_SECOND 20000
/* Hot keys in a load report. */
#define TRACKED_HOT_KEYS 64
/* Load counts as balanced up to this maximum over the mean. */
#define TARGET_RATIO 1.25
/* Simulated duration of a measurement without faults. */
#define STEADY_SECONDS 30

static void print_measure(const char *name, const char *label, double value,
			  const char *unit)
{
	printf("%s %s %.3f %s\n", name, label, value, unit);
	fflush(stdout);
}

/* Returns a cell that has run for 8 s. */
static struct world *start_world(uint32_t seed)
{
	struct world_config config = {
		.daemons = WORLD_MAX_DAEMONS,
		.upstreams = UPSTREAMS,
		.slices_per_owner = SLICES_PER_OWNER,
		.seed = seed,
	};
	struct world *w = world_create(&config);

	world_run(w, 8 * US_PER_SECOND);
	return w;
}

static void kill_upstream(struct world *w)
{
	world_kill_upstream(w, FAILED_UPSTREAM, FAULT_US);
}

static void freeze_upstream(struct world *w)
{
	world_freeze_upstream(w, FAILED_UPSTREAM, FAULT_US);
}

static void kill_coordinator(struct world *w)
{
	int leader = world_leader(w);

	if (leader >= 0)
		world_kill_daemon(w, (size_t)leader, FAULT_US);
}

static void kill_both(struct world *w)
{
	kill_upstream(w);
	kill_coordinator(w);
}

/* Kills the leader, and the upstreams of zone 1. */
static void lose_zone(struct world *w)
{
	size_t i;

	kill_coordinator(w);
	for (i = 1; i < UPSTREAMS; i += WORLD_ZONES)
		world_kill_upstream(w, i, FAULT_US);
}

static void take_zone_out(struct world *w)
{
	world_zone_out(w, 1, true);
}

static void lose_table_and_coordinator(struct world *w)
{
	world_set_table_outage(w, true);
	kill_coordinator(w);
}

/* Faults after which the time that keys are unserved is measured. */
static const struct {
	const char *label;
	void (*inject)(struct world *w);
} faults[] = {
	{ "upstream-killed", kill_upstream },
	{ "upstream-frozen", freeze_upstream },
	{ "coordinator-killed", kill_coordinator },
	{ "upstream-and-coordinator-killed", kill_both },
	{ "zone-lost-with-coordinator", lose_zone },
	{ "zone-taken-out", take_zone_out },
	{ "coordinator-killed-table-down", lose_table_and_coordinator },
};

/*
 * Runs the cell for 6 s. Returns the longest time in which some key was
 * unserved, in ms, with a resolution of 5 ms.
 */
static double unserved_ms(struct world *w)
{
	int64_t step = 5 * US_PER_MS, gap = 0, longest = 0, t;

	for (t = 0; t < 6 * US_PER_SECOND; t += step) {
		world_run(w, step);
		gap = world_served_share(w) < 1 ? gap + step : 0;
		longest = MAX(longest, gap);
	}
	return (double)longest / (double)US_PER_MS;
}

static void measure_fault(const char *label, void (*inject)(struct world *w))
{
	double worst = 0, sum = 0;
	uint32_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct world *w = start_world(seed);
		double ms;

		world_run(w, (int64_t)seed * 37 * US_PER_MS);
		inject(w);
		ms = unserved_ms(w);
		sum += ms;
		worst = MAX(worst, ms);
		world_destroy(w);
	}
	print_measure("unserved-mean", label, sum / SEEDS, "ms");
	print_measure("unserved-worst", label, worst, "ms");
}

/* Counts the slices that move when an upstream is lost and when it returns. */
static void measure_return(void)
{
	struct world *w = start_world(1);
	uint64_t before = world_counts(w)->moved, moved_after_loss;

	world_kill_upstream(w, FAILED_UPSTREAM, 20 * US_PER_SECOND);
	world_run(w, 15 * US_PER_SECOND);
	moved_after_loss = world_counts(w)->moved;
	world_run(w, 180 * US_PER_SECOND);
	print_measure("slices-moved", "one-of-14-goes",
		      (double)(moved_after_loss - before), "slices");
	print_measure("slices-moved", "one-of-14-returns",
		      (double)(world_counts(w)->moved - moved_after_loss),
		      "slices");
	print_measure("slices-moved", "own-share", SLICES_PER_OWNER, "slices");
	world_destroy(w);
}

/* Requests whose keys follow a Zipf distribution with exponent 1. */
struct traffic {
	/* Key hashes by rank; the hottest key is first. */
	uint64_t hashes[KEYS];
	/* Cumulative weights: sums[i] is the weight of ranks 0 to i. */
	double sums[KEYS];
	GRand *random;
	/* Counts the hot keys of one second. */
	struct hot_keys *hot;
};

static uint64_t random_hash(GRand *random)
{
	return ((uint64_t)g_rand_int(random) << 32) | g_rand_int(random);
}

static struct traffic *traffic_create(void)
{
	struct traffic *t = g_new0(struct traffic, 1);
	double sum = 0;
	size_t i;

	t->random = g_rand_new_with_seed(5);
	t->hot = hot_keys_create(TRACKED_HOT_KEYS);
	for (i = 0; i < KEYS; i++) {
		sum += 1.0 / (double)(i + 1);
		t->sums[i] = sum;
		t->hashes[i] = random_hash(t->random);
	}
	return t;
}

/* Draws the key of a request and returns its hash. */
static uint64_t pick_key(struct traffic *t)
{
	double x = g_rand_double(t->random) * t->sums[KEYS - 1];
	size_t low = 0, high = KEYS - 1;

	while (low < high) {
		size_t mid = (low + high) / 2;

		if (t->sums[mid] < x)
			low = mid + 1;
		else
			high = mid;
	}
	return t->hashes[low];
}

/* Simulates a second of requests and sends their load report to the leader. */
static void send_second(struct world *w, struct traffic *t)
{
	int leader = world_leader(w);
	struct slice_map *map = world_owner_map(w);
	uint64_t *counts = g_new0(uint64_t, slice_map_count(map));
	struct hot_key top[TRACKED_HOT_KEYS];
	struct coordinator_load load = { .epoch = slice_map_epoch(map),
					 .slices = counts,
					 .slice_count = slice_map_count(map),
					 .hot = top };
	int i;

	for (i = 0; i < REQUESTS_PER_SECOND; i++) {
		uint64_t hash = pick_key(t);

		counts[slice_map_index(map, hash)]++;
		hot_keys_add(t->hot, hash);
	}
	load.hot_count = hot_keys_top(t->hot, top, TRACKED_HOT_KEYS);
	hot_keys_reset(t->hot);
	if (leader >= 0)
		coordinator_on_load(world_coordinator(w, (size_t)leader),
				    &load);
	g_free(counts);
	world_run(w, US_PER_SECOND);
}

/* Returns the highest expected load of an upstream over the mean. */
static double imbalance(const struct world *w, const struct traffic *t)
{
	double loads[UPSTREAMS] = { 0 }, worst = 0;
	const struct slice_map *map = world_owner_map(w);
	size_t i;

	for (i = 0; i < KEYS; i++)
		loads[slice_map_find(map, t->hashes[i])->owner] +=
			1.0 / (double)(i + 1);
	for (i = 0; i < UPSTREAMS; i++)
		worst = MAX(worst, loads[i]);
	return worst / (t->sums[KEYS - 1] / UPSTREAMS);
}

/*
 * Runs the cell under load for 180 s and measures how well it is balanced.
 * Prints -1 as the time until it is balanced when it isn't at the end.
 */
static void measure_balance(struct world *w, struct traffic *t,
			    const char *label)
{
	uint64_t moved = world_counts(w)->moved;
	double first = imbalance(w, t), ratio, late = 0;
	int s, reached = -1;

	for (s = 1; s <= 180; s++) {
		send_second(w, t);
		ratio = imbalance(w, t);
		if (ratio > TARGET_RATIO)
			reached = -1;
		else if (reached < 0)
			reached = s;
		if (s > 60)
			late = MAX(late, ratio);
	}
	print_measure("load-max-over-mean-before", label, first, "ratio");
	print_measure("load-max-over-mean-worst-after-60s", label, late,
		      "ratio");
	print_measure("load-balanced-after", label, reached, "s");
	print_measure("load-slices-moved", label,
		      (double)(world_counts(w)->moved - moved), "slices");
}

/* Measures the balance from the start and after changes of the hottest keys. */
static void measure_zipf(void)
{
	static const char *const labels[] = { "zipf-start", "zipf-hot-changed",
					      "zipf-hot-changed-again" };
	struct traffic *t = traffic_create();
	struct world *w = start_world(1);
	size_t i, k;

	for (i = 0; i < G_N_ELEMENTS(labels); i++) {
		for (k = 0; i > 0 && k < CHANGED_KEYS; k++)
			t->hashes[k] = random_hash(t->random);
		measure_balance(w, t, labels[i]);
	}
	hot_keys_destroy(t->hot);
	g_rand_free(t->random);
	g_free(t);
	world_destroy(w);
}

/* Measures the cost of cells without faults, summed over a number of them. */
static void measure_steady(int cells)
{
	double reads = 0, writes = 0, orders = 0, bytes = 0, cpu = 0;
	char label[32];
	int i;

	for (i = 0; i < cells; i++) {
		struct world *w = start_world((uint32_t)i + 1);
		struct world_counts before = *world_counts(w);
		const struct world_counts *after = world_counts(w);
		clock_t begun = clock();

		world_run(w, STEADY_SECONDS * US_PER_SECOND);
		cpu += (double)(clock() - begun) / CLOCKS_PER_SEC;
		reads += (double)(after->table_reads - before.table_reads);
		writes += (double)(after->table_writes - before.table_writes);
		orders += (double)(after->orders - before.orders);
		bytes += (double)(after->order_bytes - before.order_bytes +
				  after->reply_bytes - before.reply_bytes);
		world_destroy(w);
	}
	g_snprintf(label, sizeof(label), "cells-%d", cells);
	print_measure("table-reads", label, reads / STEADY_SECONDS, "1/s");
	print_measure("table-writes", label, writes / STEADY_SECONDS, "1/s");
	print_measure("orders", label, orders / STEADY_SECONDS, "1/s");
	print_measure("control-bytes", label, bytes / STEADY_SECONDS, "B/s");
	print_measure("cpu-of-12-daemons-and-fakes", label,
		      1000 * cpu / STEADY_SECONDS, "ms/s");
}

int main(void)
{
	size_t i;
	int cells;

	for (i = 0; i < G_N_ELEMENTS(faults); i++)
		measure_fault(faults[i].label, faults[i].inject);
	measure_return();
	measure_zipf();
	for (cells = 1; cells <= 64; cells *= 4)
		measure_steady(cells);
	return 0;
}
