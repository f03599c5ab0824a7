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
	enum planted fault;
	const char *rule;
} rows[] = {
	{ PLANTED_PUBLISH_UNREAD, "accepted means that the table holds it" },
	{ PLANTED_SPREAD_REVERT, "a version never goes back" },
	{ PLANTED_SPREAD_ALWAYS_VALID, "in force on all that take work" },
	{ PLANTED_VM_LIST_KILLS, "the list never kills a VM" },
	{ PLANTED_VM_LIST_REVIVES, "the list never revives a VM" },
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

	CU_ASSERT_EQUAL(G_N_ELEMENTS(rows),
			PLANTED_NO_INHERITED_WAIT - PLANTED_PUBLISH_UNREAD);
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
