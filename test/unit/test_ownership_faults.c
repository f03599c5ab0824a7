/*
 * Tests that the oracle of the simulated cell (world.h) detects each safety
 * rule of the ownership protocol that is switched off.
 */
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

/* Runs the random events of a seed, with one fault unless fault is NULL. */
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

/* Returns whether the oracle found a violation while the upstream that both
 * sides of a partition reach restarts every restart_interval_us microseconds.
 */
static bool crash_loop_violates(enum coordinator_fault fault, uint32_t seed,
				int64_t restart_interval_us)
{
	struct world_config config = {
		.daemons = 3,
		.upstreams = 5,
		.slices_per_owner = 2,
		.seed = seed,
		.fault = fault,
	};
	struct world *w = world_create(&config);
	bool violated;
	int i;

	world_run(w, 6 * US_PER_SECOND);
	CU_ASSERT_NOT_EQUAL_FATAL(world_leader(w), -1);
	share_crashing_upstream(w, 2);
	for (i = 0; i * restart_interval_us < 8 * US_PER_SECOND; i++) {
		world_kill_upstream(w, 2, US_PER_MS);
		world_run(w, restart_interval_us);
	}
	violated = world_violation(w) != NULL;
	if (violated)
		printf("# count-restarted, seed %u, every %d ms: %s\n", seed,
		       (int)(restart_interval_us / US_PER_MS),
		       world_violation(w));
	world_destroy(w);
	return violated;
}

/* The oracle finds a violation if restarted upstreams count towards the
 * majority at once, and none if they don't. */
static void restarted_upstreams_are_not_counted(void)
{
	unsigned int violating_seeds = 0;
	uint32_t seed;

	for (seed = 1; seed <= 8; seed++) {
		int64_t restart_interval_us =
			(int64_t)(30 + 10 * seed) * US_PER_MS;

		violating_seeds +=
			crash_loop_violates(COORDINATOR_FAULT_COUNT_RESTARTED,
					    seed, restart_interval_us);
		CU_ASSERT_FALSE(crash_loop_violates(COORDINATOR_FAULT_NONE,
						    seed, restart_interval_us));
	}
	CU_ASSERT_TRUE(violating_seeds > 0);
}

/* Cuts off the coordinator, together with one owner that only the coordinator
 * reaches. If frozen_us isn't 0, suspends the coordinator first for that time.
 * The coordinator must not renew the owner's grant once the owner's slices have
 * moved. Returns whether the oracle found a violation. */
static bool isolation_violates(const char *fault, int64_t frozen_us,
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
	bool violated;

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
	violated = world_violation(w) != NULL;
	if (violated)
		printf("# %s, seed %u: %s\n", fault, seed, world_violation(w));
	world_destroy(w);
	return violated;
}

/* Checks that the isolation of the coordinator leads to a violation with the
 * fault, for one seed at least, and to none without the fault. */
static void check_isolation(const char *fault, int64_t frozen_us)
{
	unsigned int violating_seeds = 0;
	uint32_t seed;

	for (seed = 1; seed <= 8; seed++) {
		violating_seeds += isolation_violates(fault, frozen_us, seed);
		CU_ASSERT_FALSE(isolation_violates(NULL, frozen_us, seed));
	}
	CU_ASSERT_TRUE(violating_seeds > 0);
}

static void suspended_clock_is_not_trusted(void)
{
	check_isolation("paused-clock", 4 * US_PER_SECOND);
}

static void a_lead_ends_by_itself(void)
{
	check_isolation("no-expiry", 0);
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
