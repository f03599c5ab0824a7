/*
 * Checks the oracle of fuzz_keys: disables one safety rule of leases and grants
 * at a time and expects the oracle to report the given rule as violated.
 */
#include <glib.h>

#include "fuzz_keys_parts/world.h"
#include "planted_run.h"
#include "suite.h"

/* The size of the random inputs, and the most that are run for a fault. */
#define INPUT_BYTES 1200
#define SEEDS_MAX 1500

/* The faults and the rule that the oracle must report for each. */
static const struct {
	enum injected fault;
	const char *rule;
} rows[] = {
	{ INJECTED_NO_WAIT_FOR_OLD_GRANTS, "a key has one owner" },
	{ INJECTED_FORGET_UNANSWERED_GRANT, "a key has one owner" },
	{ INJECTED_FENCING_TOKEN_REUSED, "a new owner has a higher token" },
	{ INJECTED_CLOCK_STOPS_IN_SUSPEND, "a key has one owner" },
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

	/* Each fault from INJECTED_NO_WAIT_FOR_OLD_GRANTS on has a row. */
	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows),
			INJECTED_COUNT - INJECTED_NO_WAIT_FOR_OLD_GRANTS);
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

	return suite_run("planted keys", cases);
}
