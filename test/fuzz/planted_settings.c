/*
 * Checks the oracle of fuzz_settings: disables one safety rule of settings and
 * membership at a time and expects the oracle to report the given rule as
 * violated.
 */
#include <glib.h>

#include "fuzz_settings_parts/run.h"
#include "planted_run.h"
#include "suite.h"

/* The size of the random inputs, and the most that are run for a fault. */
#define INPUT_BYTES 512
#define SEEDS_MAX 600

/* The faults and the rule that the oracle must report for each. */
static const struct {
	enum injected fault;
	const char *rule;
} rows[] = {
	{ INJECTED_PUBLISH_ASSUMED, "accepted means that the table holds it" },
	{ INJECTED_SETTINGS_REVERT, "a version never goes back" },
	{ INJECTED_SETTINGS_NEVER_STALE, "in force on all that take work" },
	{ INJECTED_UNLISTED_VM_LOST, "the list never kills a VM" },
	{ INJECTED_LISTED_VM_ALIVE, "the list never revives a VM" },
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

	/* Each fault from INJECTED_PUBLISH_ASSUMED up to
	 * INJECTED_NO_WAIT_FOR_OLD_GRANTS has a row. */
	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows), INJECTED_NO_WAIT_FOR_OLD_GRANTS -
						    INJECTED_PUBLISH_ASSUMED);
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

	return suite_run("planted settings", cases);
}
