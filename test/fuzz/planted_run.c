#include "planted_run.h"

#include <glib.h>
#include <stdio.h>

/* Runs an input of random bytes; returns the violated rule, or NULL. */
static const char *run_random_input(const struct fault_trial *run,
				    uint32_t seed, uint64_t *steps)
{
	uint8_t *data = g_malloc(run->input_bytes);
	GRand *rng = g_rand_new_with_seed(seed);
	const char *rule;
	size_t i;

	for (i = 0; i < run->input_bytes; i++)
		data[i] = (uint8_t)g_rand_int(rng);
	g_rand_free(rng);
	rule = run->run_one_input(data, run->input_bytes, steps);
	g_free(data);
	return rule;
}

bool oracle_detects_fault(const struct fault_trial *run, enum injected fault,
			  const char *rule)
{
	uint64_t steps = 0;
	uint32_t seed;
	bool caught = false;

	fault_inject(fault);
	for (seed = 1; seed <= run->seeds_max && !caught; seed++)
		caught = !g_strcmp0(run_random_input(run, seed, &steps), rule);
	fault_inject(INJECTED_NONE);
	if (caught)
		printf("# %s: \"%s\" at seed %u after %llu steps\n",
		       fault_name(fault), rule, seed - 1,
		       (unsigned long long)steps);
	else
		printf("# %s: the oracle did not report it in %u seeds\n",
		       fault_name(fault), seed - 1);
	return caught;
}
