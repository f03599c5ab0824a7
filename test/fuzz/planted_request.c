/*
 * Checks the oracle of fuzz_request: disables one safety rule of the request
 * modules at a time and expects the oracle to report the given rule as
 * violated.
 */
#include <glib.h>

#include "fuzz_request_parts/run.h"
#include "planted_run.h"
#include "suite.h"

/* A multiple of 128, so that the whole input is run (LONG_BYTES in run.c). */
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

static const char *play(const uint8_t *data, size_t size, uint64_t *steps)
{
	struct run_result result = run_input(data, size);

	*steps += result.steps;
	return result.rule;
}

static const struct planted_run planted_run = {
	.input_bytes = INPUT_BYTES,
	.seeds_max = SEEDS_MAX,
	.play = play,
};

static void every_planted_fault_is_noticed(void)
{
	size_t i;

	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows), PLANTED_PUBLISH_UNREAD - 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_TRUE(planted_is_caught(&planted_run, rows[i].fault,
						 rows[i].rule));
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
