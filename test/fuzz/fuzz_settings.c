/*
 * Fuzz test of settings and membership: a simulated fleet of assigners and
 * routers with their real state machines, under concurrent changes and faults
 * of network, table and daemons.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz_settings_parts/run.h"

/* Totals of all inputs; see struct run_result. */
static unsigned long long steps, accepted, tolerated;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void print_totals(void)
{
	printf("ok - %llu steps, %llu publishes accepted, %llu delays "
	       "tolerated\n",
	       steps, accepted, tolerated);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct run_result result = run_input(data, size);

	if (!steps)
		atexit(print_totals);
	steps += result.steps;
	accepted += result.accepted;
	tolerated += result.tolerated;
	if (result.rule) {
		fprintf(stderr, "rule broken after %llu steps: %s\n",
			(unsigned long long)result.steps, result.rule);
		abort();
	}
	return 0;
}
