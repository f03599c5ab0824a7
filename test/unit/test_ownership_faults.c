#include <stdio.h>

#include "suite.h"
#include "world_play.h"

/* Each injected fault, with a seed whose input makes the oracle detect it. */
static const struct {
	const char *fault;
	uint32_t seed;
} injected[] = {
	{ "skip-wait", 2 },
	{ "from-arrival", 36 },
	{ "count-restarted", 295 },
	{ "ignore-epoch", 50 },
	{ "no-margin", 482 },
	{ "publish-early", 1 },
	{ "no-expiry", 37 },
	{ "paused-clock", 3713 },
	{ "fence-ignores-epoch", 238 },
	{ "fence-ignores-ballot", 14 },
};

static void play(const char *fault, uint32_t seed, struct play_result *result)
{
	struct world_config config = { 0 };
	uint8_t data[PLAY_INPUT_BYTES];
	size_t len = world_play_input(seed, data, sizeof(data));

	if (fault)
		CU_ASSERT_TRUE(world_set_named_fault(fault, &config));
	world_play(&config, data, len, result);
}

/* The oracle finds a violation with each fault, and none in the same input
 * without the fault. */
static void planted_faults_are_noticed(void)
{
	struct play_result result;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(injected); i++) {
		play(injected[i].fault, injected[i].seed, &result);
		printf("# %s, seed %u, step %u: %s\n", injected[i].fault,
		       injected[i].seed, (unsigned int)result.steps,
		       result.violation);
		CU_ASSERT_NOT_EQUAL(result.violation[0], '\0');
		play(NULL, injected[i].seed, &result);
		CU_ASSERT_STRING_EQUAL(result.violation, "");
	}
}

/* Splits the cell into two sides that share one upstream, which the caller then
 * restarts repeatedly. Each restart loses the ballot that the upstream
 * accepted. If a restarted upstream counted at once, both sides would have a
 * majority. */
static void share_crashing_upstream(struct world *w, size_t shared)
{
	size_t leader = (size_t)world_leader(w), d, u;

	for (d = 0; d < 3; d++) {
		for (u = 0; u < 5; u++)
			world_partition_upstream(
				w, d, u,
				u != shared && (u < 2) != (d == leader));
		if (d != leader)
			world_partition_peers(w, d, leader, true);
	}
	world_partition_table(w, leader, true);
}

/* Returns whether the oracle found a violation while an upstream restarts every
 * every_us microseconds. */
static bool crash_loop_breaks(enum coordinator_fault fault, uint32_t seed,
			      int64_t every_us)
{
	struct world_config config = {
		.daemons = 3,
		.upstreams = 5,
		.slices_per_owner = 2,
		.seed = seed,
		.fault = fault,
	};
	struct world *w = world_create(&config);
	bool broken;
	int i;

	world_run(w, 6 * US_PER_SECOND);
	CU_ASSERT_NOT_EQUAL_FATAL(world_leader(w), -1);
	share_crashing_upstream(w, 2);
	for (i = 0; i * every_us < 8 * US_PER_SECOND; i++) {
		world_kill_upstream(w, 2, US_PER_MS);
		world_run(w, every_us);
	}
	broken = world_violation(w) != NULL;
	if (broken)
		printf("# count-restarted, seed %u, every %d ms: %s\n", seed,
		       (int)(every_us / US_PER_MS), world_violation(w));
	world_destroy(w);
	return broken;
}

static void restarted_upstreams_are_not_counted(void)
{
	unsigned int broken = 0;
	uint32_t seed;

	for (seed = 1; seed <= 8; seed++) {
		int64_t every_us = (int64_t)(30 + 10 * seed) * US_PER_MS;

		broken += crash_loop_breaks(COORDINATOR_FAULT_COUNT_RESTARTED,
					    seed, every_us);
		CU_ASSERT_FALSE(crash_loop_breaks(COORDINATOR_FAULT_NONE, seed,
						  every_us));
	}
	CU_ASSERT_TRUE(broken > 0);
}

/* Cuts off the coordinator, together with one owner that only the coordinator
 * reaches. If frozen_us isn't 0, suspends the coordinator first for that time.
 * The coordinator must not renew the owner's grant once the owner's slices have
 * moved. Returns whether the oracle found a violation. */
static bool isolation_breaks(const char *fault, int64_t frozen_us,
			     uint32_t seed)
{
	struct world_config config = {
		.daemons = 3,
		.upstreams = 5,
		.slices_per_owner = 2,
		.seed = seed,
	};
	struct world *w;
	size_t leader, d, u;
	bool broken;

	if (fault)
		CU_ASSERT_TRUE(world_set_named_fault(fault, &config));
	w = world_create(&config);
	world_run(w, 6 * US_PER_SECOND);
	CU_ASSERT_NOT_EQUAL_FATAL(world_leader(w), -1);
	leader = (size_t)world_leader(w);
	world_freeze_daemon(w, leader, frozen_us);
	for (d = 0; d < 3; d++) {
		for (u = 0; u < 5; u++)
			world_partition_upstream(w, d, u,
						 (u == 0) != (d == leader));
		if (d != leader)
			world_partition_peers(w, d, leader, true);
	}
	world_run(w, 6 * US_PER_SECOND);
	broken = world_violation(w) != NULL;
	if (broken)
		printf("# %s, seed %u: %s\n", fault, seed, world_violation(w));
	world_destroy(w);
	return broken;
}

static void isolation_is_noticed(const char *fault, int64_t frozen_us)
{
	unsigned int broken = 0;
	uint32_t seed;

	for (seed = 1; seed <= 8; seed++) {
		broken += isolation_breaks(fault, frozen_us, seed);
		CU_ASSERT_FALSE(isolation_breaks(NULL, frozen_us, seed));
	}
	CU_ASSERT_TRUE(broken > 0);
}

static void suspended_clock_is_not_trusted(void)
{
	isolation_is_noticed("paused-clock", 4 * US_PER_SECOND);
}

static void a_lead_ends_by_itself(void)
{
	isolation_is_noticed("no-expiry", 0);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "planted faults are noticed", planted_faults_are_noticed },
		{ "restarted upstreams are not counted",
		  restarted_upstreams_are_not_counted },
		{ "suspended clock is not trusted",
		  suspended_clock_is_not_trusted },
		{ "a lead ends by itself", a_lead_ends_by_itself },
		{ 0 },
	};

	return suite_run("ownership faults", cases);
}
