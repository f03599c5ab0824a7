/*
 * Switches off one rule of the request modules at a time and expects the oracle
 * of fuzz_request to notice, by the rule named.
 */
#include <glib.h>
#include <stdio.h>

#include "base/planted.h"
#include "fuzz_request_parts/run.h"
#include "suite.h"

/* A multiple of 128: run to its end. */
#define INPUT_BYTES 256
#define SEEDS_MAX 3000u

struct row {
	enum planted fault;
	const char *rule;
};

static const struct row rows[] = {
	{ PLANTED_CLAIM_AFTER_SEND, "once-work ran twice" },
	{ PLANTED_CLAIM_UNREAD, "once-work ran twice" },
	{ PLANTED_RETRY_MAY_HAVE_RUN,
	  "a request that isn't idempotent ran twice" },
	{ PLANTED_SAY_NOT_RUN, "told not-run after it ran" },
	{ PLANTED_TRUNCATED_COMPLETE,
	  "a truncated answer was passed as whole" },
	{ PLANTED_SHARE_FOREVER, "a cold upstream received too much" },
	{ PLANTED_SHARE_PER_ROUTER, "a cold upstream received too much" },
	{ PLANTED_HOLDER_AT_ONCE, "a cold upstream received too much" },
	{ PLANTED_INCARNATION_WARM, "a cold upstream received too much" },
	{ PLANTED_BLAME_NEIGHBOURS, "an innocent neighbour was blamed" },
	{ PLANTED_NO_TRIALS, "an innocent neighbour was blamed" },
	{ PLANTED_FORGET_DEATHS, "one request crashed a third upstream" },
	{ PLANTED_IGNORE_LEAVING, "a leaving upstream received new work" },
	{ PLANTED_REUSE_SUSPECT, "sent on a connection known to be suspect" },
};

static struct run_result run_seed(uint32_t seed)
{
	uint8_t data[INPUT_BYTES];
	GRand *rng = g_rand_new_with_seed(seed);
	size_t i;

	for (i = 0; i < sizeof(data); i++)
		data[i] = (uint8_t)g_rand_int(rng);
	g_rand_free(rng);
	return run_input(data, sizeof(data));
}

/* Whether the oracle names the rule within the seeds. */
static bool is_caught(const struct row *row)
{
	uint64_t steps = 0;
	uint32_t seed;

	planted_set(row->fault);
	for (seed = 1; seed <= SEEDS_MAX; seed++) {
		struct run_result result = run_seed(seed);

		steps += result.steps;
		if (g_strcmp0(result.rule, row->rule) != 0)
			continue;
		printf("# %s: \"%s\" at seed %u after %llu steps\n",
		       planted_name(row->fault), result.rule, seed,
		       (unsigned long long)steps);
		planted_set(PLANTED_NONE);
		return true;
	}
	printf("# %s: not noticed in %u seeds\n", planted_name(row->fault),
	       SEEDS_MAX);
	planted_set(PLANTED_NONE);
	return false;
}

static void every_planted_fault_is_noticed(void)
{
	size_t i;

	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows), PLANTED_PUBLISH_UNREAD - 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_TRUE(is_caught(&rows[i]));
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "every planted fault is noticed",
		  every_planted_fault_is_noticed },
		{ 0 },
	};

	return suite_run("planted request", cases);
}
