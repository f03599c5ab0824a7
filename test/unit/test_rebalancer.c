/* Tests of the counter of hot keys and of the rebalancer. */
#include "ownership/hot_keys.h"
#include "ownership/rebalancer.h"
#include "suite.h"

#define OWNERS ((size_t)4)
#define PER_OWNER ((size_t)8)
#define SLICES (OWNERS * PER_OWNER)

static const struct str owners[OWNERS] = {
	{ "a", 1 },
	{ "b", 1 },
	{ "c", 1 },
	{ "d", 1 },
};

static void hot_keys_keep_the_heavy_hitters(void)
{
	struct hot_keys *keys = hot_keys_create(8);
	struct hot_key top[2];
	uint64_t i;

	for (i = 0; i < 4000; i++) {
		hot_keys_add(keys, 1000 + i);
		if (i % 2)
			hot_keys_add(keys, 7);
		if (i % 4 == 0)
			hot_keys_add(keys, 8);
	}
	CU_ASSERT_EQUAL(hot_keys_total(keys), 7000);
	CU_ASSERT_EQUAL(hot_keys_top(keys, top, 2), 2);
	CU_ASSERT_EQUAL(top[0].hash, 7);
	CU_ASSERT_TRUE(top[0].count >= 2000);
	CU_ASSERT_TRUE(top[0].count - top[0].error <= 2000);
	hot_keys_reset(keys);
	CU_ASSERT_EQUAL(hot_keys_top(keys, top, 2), 0);
	hot_keys_destroy(keys);
}

/** A rebalancer, the current row of its cell, and the time. */
struct fixture {
	struct slice_map *map;
	struct rebalancer *rebalancer;
	int64_t now_us;
};

static void setup(struct fixture *f)
{
	f->map = slice_map_initial(STR("c"), owners, OWNERS, PER_OWNER);
	f->rebalancer = rebalancer_create();
	f->now_us = US_PER_SECOND;
	rebalancer_set_map(f->rebalancer, f->map);
}

static void teardown(struct fixture *f)
{
	rebalancer_destroy(f->rebalancer);
	slice_map_destroy(f->map);
}

/* Reports one window of load to the rebalancer, lets it plan, and makes the
 * plan the next map.
 *
 * counts are the requests per slice; hot is the hash of a key with hot_count
 * requests, or unused if hot_count is 0. Returns the number of slices moved. */
static size_t run_window(struct fixture *f, const uint64_t *counts,
			 size_t count, uint64_t hot, uint64_t hot_count)
{
	struct hot_key key = { .hash = hot, .count = hot_count };
	struct coordinator_load load = { .epoch = slice_map_epoch(f->map),
					 .slices = counts,
					 .slice_count = count,
					 .hot = &key,
					 .hot_count = hot_count ? 1 : 0 };
	struct row_plan *plan;
	double *weights;
	size_t i, moved;

	rebalancer_tick(f->rebalancer, f->now_us);
	rebalancer_add_load(f->rebalancer, &load);
	f->now_us += REBALANCER_WINDOW_US;
	rebalancer_tick(f->rebalancer, f->now_us);
	weights = rebalancer_weights(f->rebalancer);
	plan = row_plan_create(f->map, weights);
	g_free(weights);
	for (i = 0; i < OWNERS; i++)
		row_plan_owner(plan, i)->usable = true;
	rebalancer_plan(f->rebalancer, plan, f->now_us);
	moved = plan->moved;
	rebalancer_moved(f->rebalancer, moved, f->now_us);
	if (plan->changed) {
		struct slice_map *next = row_plan_finish(plan);

		rebalancer_set_map(f->rebalancer, next);
		slice_map_destroy(f->map);
		f->map = next;
	}
	row_plan_destroy(plan);
	return moved;
}

static void small_imbalance_is_left_alone(void)
{
	uint64_t counts[SLICES];
	struct fixture f;
	size_t i, n;

	setup(&f);
	for (i = 0; i < SLICES; i++)
		counts[i] = i < PER_OWNER ? 115 : 100;
	for (n = 0; n < 6; n++)
		CU_ASSERT_EQUAL(run_window(&f, counts, SLICES, 0, 0), 0);
	CU_ASSERT_EQUAL(slice_map_epoch(f.map), 1);
	teardown(&f);
}

static void one_uneven_window_moves_nothing(void)
{
	uint64_t counts[SLICES];
	struct fixture f;
	size_t i;

	setup(&f);
	for (i = 0; i < SLICES; i++)
		counts[i] = i < PER_OWNER ? 400 : 100;
	CU_ASSERT_EQUAL(run_window(&f, counts, SLICES, 0, 0), 0);
	CU_ASSERT_TRUE(run_window(&f, counts, SLICES, 0, 0) > 0);
	teardown(&f);
}

static void moves_stay_within_the_budget(void)
{
	uint64_t counts[SLICES];
	struct fixture f;
	size_t i, n, moved = 0;

	setup(&f);
	for (i = 0; i < SLICES; i++)
		counts[i] = i < 2 * PER_OWNER ? 900 : 10;
	for (n = 0; n < 12; n++)
		moved += run_window(&f, counts, slice_map_count(f.map), 0, 0);
	/* Twelve windows are a minute: the initial limit and one refill. */
	CU_ASSERT_TRUE(moved > 0);
	CU_ASSERT_TRUE(moved <= 2 * SLICES * REBALANCER_MOVED_PERCENT / 100);
	teardown(&f);
}

static void hot_key_gets_its_own_slice(void)
{
	uint64_t counts[SLICES];
	const struct slice *s;
	struct fixture f;
	uint64_t hot;
	size_t i;

	setup(&f);
	hot = slice_map_at(f.map, 3)->first + 12345;
	for (i = 0; i < SLICES; i++)
		counts[i] = i == 3 ? 1500 : 100;
	run_window(&f, counts, SLICES, hot, 1400);
	run_window(&f, counts, SLICES, hot, 1400);
	s = slice_map_find(f.map, hot);
	CU_ASSERT_EQUAL(s->first, hot);
	CU_ASSERT_EQUAL(s->last, hot);
	teardown(&f);
}

static void no_requests_move_nothing(void)
{
	uint64_t counts[SLICES] = { 3, 9, 20 };
	struct fixture f;
	size_t n;

	setup(&f);
	for (n = 0; n < 4; n++)
		CU_ASSERT_EQUAL(run_window(&f, counts, SLICES, 0, 0), 0);
	teardown(&f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "hot keys keep the heavy hitters",
		  hot_keys_keep_the_heavy_hitters },
		{ "small imbalance is left alone",
		  small_imbalance_is_left_alone },
		{ "one uneven window moves nothing",
		  one_uneven_window_moves_nothing },
		{ "moves stay within the budget",
		  moves_stay_within_the_budget },
		{ "hot key gets its own slice", hot_key_gets_its_own_slice },
		{ "no requests move nothing", no_requests_move_nothing },
		{ 0 },
	};

	return suite_run("rebalancer", cases);
}
