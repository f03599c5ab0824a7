/*
 * Mutation test of fuzz_settings: plants one fault at a time in the code of
 * settings and membership and expects the oracle to report the rule named.
 */
#include <glib.h>

#include "fuzz_settings_parts/run.h"
#include "planted_run.h"
#include "suite.h"

#define INPUT_BYTES 512
#define SEEDS_MAX 600

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

	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows), INJECTED_NO_WAIT_FOR_OLD_GRANTS -
						    INJECTED_PUBLISH_ASSUMED);
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

	return suite_run("planted settings", cases);
}
