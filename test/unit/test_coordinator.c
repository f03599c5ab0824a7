/*
 * Tests of a cell's coordinators in a simulated cell (world.h): daemons,
 * upstreams and a table, with an oracle that checks the rules of ownership.
 */
#include "suite.h"
#include "world.h"

#define DAEMONS 3
#define UPSTREAMS 5
#define SLICES_PER_OWNER 4

/* Creates a world and runs it until all keys are served. */
static struct world *start_world(void)
{
	struct world_config config = {
		.daemons = DAEMONS,
		.upstreams = UPSTREAMS,
		.slices_per_owner = SLICES_PER_OWNER,
		.seed = 7,
	};
	struct world *w = world_create(&config);

	CU_ASSERT_TRUE(world_run_until_served(w, 5 * US_PER_SECOND));
	return w;
}

/* Checks that the oracle found no violation, and frees the world. */
static void finish_world(struct world *w)
{
	CU_ASSERT_PTR_NULL(world_violation(w));
	if (world_violation(w))
		printf("# %s\n", world_violation(w));
	world_destroy(w);
}

static void one_daemon_leads_and_all_slices_are_granted(void)
{
	struct world *w = start_world();
	struct coordinator_status status;

	world_run(w, US_PER_SECOND);
	CU_ASSERT_NOT_EQUAL(world_leader(w), -1);
	coordinator_status(world_coordinator(w, (size_t)world_leader(w)),
			   &status);
	CU_ASSERT_EQUAL(status.granted, 20);
	CU_ASSERT_EQUAL(status.waiting, 0);
	CU_ASSERT_STRING_EQUAL(status.paused, "");
	finish_world(w);
}

/* Runs the world for duration_us; returns the longest time, in microseconds,
 * during which a part of the key space was not served. */
static int64_t longest_gap_us(struct world *w, int64_t duration_us)
{
	int64_t gap = 0, longest = 0, step = 5 * US_PER_MS, t;

	for (t = 0; t < duration_us; t += step) {
		world_run(w, step);
		gap = world_served_share(w) < 1 ? gap + step : 0;
		longest = MAX(longest, gap);
	}
	return longest;
}

static void lost_coordinator_is_succeeded(void)
{
	struct world *w = start_world();
	int leader;

	world_run(w, US_PER_SECOND);
	leader = world_leader(w);
	CU_ASSERT_NOT_EQUAL_FATAL(leader, -1);
	world_kill_daemon(w, (size_t)leader, 30 * US_PER_SECOND);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) < 200 * US_PER_MS);
	CU_ASSERT_EQUAL(world_served_share(w), 1);
	CU_ASSERT_NOT_EQUAL(world_leader(w), -1);
	finish_world(w);
}

static void lost_coordinator_is_succeeded_without_table(void)
{
	struct world *w = start_world();
	int leader;

	world_run(w, US_PER_SECOND);
	leader = world_leader(w);
	CU_ASSERT_NOT_EQUAL_FATAL(leader, -1);
	world_set_table_outage(w, true);
	world_run(w, 100 * US_PER_MS);
	world_kill_daemon(w, (size_t)leader, 30 * US_PER_SECOND);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) < 200 * US_PER_MS);
	CU_ASSERT_EQUAL(world_served_share(w), 1);
	finish_world(w);
}

static void keys_of_a_lost_upstream_move(void)
{
	struct world *w = start_world();

	world_run(w, 6 * US_PER_SECOND);
	world_kill_upstream(w, 2, 60 * US_PER_SECOND);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) <
		       2 * US_PER_SECOND);
	CU_ASSERT_EQUAL(world_served_share(w), 1);
	finish_world(w);
}

static void coordinator_and_upstream_lost_at_once(void)
{
	struct world *w = start_world();
	int leader;

	world_run(w, 6 * US_PER_SECOND);
	leader = world_leader(w);
	CU_ASSERT_NOT_EQUAL_FATAL(leader, -1);
	world_kill_upstream(w, 2, 60 * US_PER_SECOND);
	world_kill_daemon(w, (size_t)leader, 60 * US_PER_SECOND);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) <
		       2 * US_PER_SECOND);
	CU_ASSERT_EQUAL(world_served_share(w), 1);
	finish_world(w);
}

static void zone_out_moves_without_a_gap(void)
{
	struct world *w = start_world();

	world_run(w, 6 * US_PER_SECOND);
	world_zone_out(w, 1, true);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) < 50 * US_PER_MS);
	/* The upstreams of zone 1. */
	CU_ASSERT_EQUAL(slice_map_count_owned(world_owner_map(w), 1), 0);
	CU_ASSERT_EQUAL(slice_map_count_owned(world_owner_map(w), 4), 0);
	finish_world(w);
}

static void handover_leaves_no_gap(void)
{
	struct world *w = start_world();
	int leader;

	world_run(w, 6 * US_PER_SECOND);
	leader = world_leader(w);
	CU_ASSERT_NOT_EQUAL_FATAL(leader, -1);
	world_hand_over(w, (size_t)leader);
	CU_ASSERT_EQUAL(longest_gap_us(w, 4 * US_PER_SECOND), 0);
	CU_ASSERT_NOT_EQUAL(world_leader(w), leader);
	finish_world(w);
}

static void serving_goes_on_without_table(void)
{
	struct world *w = start_world();
	struct coordinator_status status;

	world_run(w, 6 * US_PER_SECOND);
	world_set_table_outage(w, true);
	CU_ASSERT_EQUAL(longest_gap_us(w, 10 * US_PER_SECOND), 0);
	CU_ASSERT_NOT_EQUAL_FATAL(world_leader(w), -1);
	coordinator_status(world_coordinator(w, (size_t)world_leader(w)),
			   &status);
	CU_ASSERT_STRING_EQUAL(status.paused,
			       "moves wait: the table does not answer");
	finish_world(w);
}

static void unfenced_cell_is_served(void)
{
	struct world_config config = {
		.daemons = DAEMONS,
		.upstreams = UPSTREAMS,
		.slices_per_owner = SLICES_PER_OWNER,
		.unfenced = true,
		.seed = 7,
	};
	struct world *w = world_create(&config);

	CU_ASSERT_TRUE(world_run_until_served(w, 8 * US_PER_SECOND));
	world_run(w, 6 * US_PER_SECOND);
	world_zone_out(w, 1, true);
	CU_ASSERT_TRUE(longest_gap_us(w, 4 * US_PER_SECOND) < 100 * US_PER_MS);
	CU_ASSERT_EQUAL(slice_map_count_owned(world_owner_map(w), 1), 0);
	finish_world(w);
}

static void cell_without_slices_has_one_authority(void)
{
	struct world_config config = {
		.daemons = DAEMONS,
		.upstreams = UPSTREAMS,
		.seed = 7,
	};
	struct world *w = world_create(&config);
	int first;

	world_run(w, 3 * US_PER_SECOND);
	first = world_leader(w);
	CU_ASSERT_NOT_EQUAL_FATAL(first, -1);
	world_kill_daemon(w, (size_t)first, 30 * US_PER_SECOND);
	world_run(w, 2 * US_PER_SECOND);
	CU_ASSERT_NOT_EQUAL(world_leader(w), -1);
	finish_world(w);
}

/* Three of five upstreams are lost at once and not replaced. Without a majority
 * nobody leads, until an operator declares them gone. */
static void lost_majority_waits_for_an_operator(void)
{
	struct world *w = start_world();
	size_t i;

	world_run(w, 6 * US_PER_SECOND);
	for (i = 0; i < 3; i++) {
		world_kill_upstream(w, i, 600 * US_PER_SECOND);
		world_set_listed(w, i, false);
	}
	world_run(w, 40 * US_PER_SECOND);
	CU_ASSERT_EQUAL(world_leader(w), -1);
	for (i = 0; i < DAEMONS; i++)
		coordinator_ignore_unlisted(world_coordinator(w, i));
	CU_ASSERT_TRUE(world_run_until_served(w, 6 * US_PER_SECOND));
	world_run(w, 70 * US_PER_SECOND);
	CU_ASSERT_EQUAL(slice_map_owner_count(world_owner_map(w)), 2);
	CU_ASSERT_EQUAL(world_served_share(w), 1);
	finish_world(w);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "one daemon leads and all slices are granted",
		  one_daemon_leads_and_all_slices_are_granted },
		{ "lost coordinator is succeeded",
		  lost_coordinator_is_succeeded },
		{ "lost coordinator is succeeded without table",
		  lost_coordinator_is_succeeded_without_table },
		{ "keys of a lost upstream move",
		  keys_of_a_lost_upstream_move },
		{ "coordinator and upstream lost at once",
		  coordinator_and_upstream_lost_at_once },
		{ "zone out moves without a gap",
		  zone_out_moves_without_a_gap },
		{ "handover leaves no gap", handover_leaves_no_gap },
		{ "serving goes on without table",
		  serving_goes_on_without_table },
		{ "unfenced cell is served", unfenced_cell_is_served },
		{ "cell without slices has one authority",
		  cell_without_slices_has_one_authority },
		{ "lost majority waits for an operator",
		  lost_majority_waits_for_an_operator },
		{ 0 },
	};

	return suite_run("coordinator", cases);
}
