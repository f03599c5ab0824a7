/*
 * Checks the oracle of fuzz_request: disables one safety rule of the request
 * modules at a time and expects the oracle to report the given rule as
 * violated.
 */
#include <glib.h>

#include "fuzz_request_parts/run.h"
#include "planted_run.h"
#include "suite.h"

/* The size of the random inputs. A multiple of 128, so that the whole input is
 * run (LONG_BYTES in run.c). */
#define INPUT_BYTES 256
/* Most inputs that are run for a fault. */
#define SEEDS_MAX 3000u

/* A fault and the rule that the oracle must report for it. */
struct row {
	enum injected fault;
	const char *rule;
};

static const struct row rows[] = {
	{ INJECTED_CLAIM_AFTER_SEND, "once-work ran twice" },
	{ INJECTED_CLAIM_WRITE_ASSUMED, "once-work ran twice" },
	{ INJECTED_RETRY_MAY_HAVE_RUN,
	  "a request that isn't idempotent ran twice" },
	{ INJECTED_FALSE_NOT_RUN, "told not-run after it ran" },
	{ INJECTED_TRUNCATED_COMPLETE,
	  "a truncated answer was passed as whole" },
	{ INJECTED_SHARE_NEVER_EXPIRES, "a cold upstream received too much" },
	{ INJECTED_LIMIT_PER_ROUTER, "a cold upstream received too much" },
	{ INJECTED_NEW_HOLDER_NO_WAIT, "a cold upstream received too much" },
	{ INJECTED_NEW_INCARNATION_WARM, "a cold upstream received too much" },
	{ INJECTED_POISON_ALL_IN_FLIGHT, "an innocent neighbour was blamed" },
	{ INJECTED_SUSPECTS_CONCURRENT, "an innocent neighbour was blamed" },
	{ INJECTED_CRASHES_NOT_COUNTED,
	  "one request crashed a third upstream" },
	{ INJECTED_IGNORE_LEAVING, "a leaving upstream received new work" },
	{ INJECTED_REUSE_SUSPECT_CONNECTION,
	  "sent on a connection known to be suspect" },
};

static const char *run_one_input(const uint8_t *data, size_t size,
				 uint64_t *steps)
{
	struct run_result result = run_input(data, size);

	*steps += result.steps;
	return result.rule;
}

static const struct fault_trial fault_trial = {
	.input_bytes = INPUT_BYTES,
	.seeds_max = SEEDS_MAX,
	.run_one_input = run_one_input,
};

static void every_planted_fault_is_noticed(void)
{
	size_t i;

	/* Each fault before INJECTED_PUBLISH_ASSUMED has a row. */
	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows), INJECTED_PUBLISH_ASSUMED - 1);
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_TRUE(oracle_detects_fault(&fault_trial, rows[i].fault,
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
