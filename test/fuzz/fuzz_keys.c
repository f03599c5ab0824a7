/*
 * Fuzz test of key ownership: VMs with the real lease and key allocator, a
 * simulated store and simulated upstreams, with faults in all of them.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz_keys_parts/world.h"

/* Totals of all inputs; see struct run_result. */
static unsigned long long steps, grants, moves;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void print_totals(void)
{
	printf("ok - %llu steps, %llu grants, %llu moves\n", steps, grants,
	       moves);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct run_result result = run_input(data, size);

	if (!steps)
		atexit(print_totals);
	steps += result.steps;
	grants += result.grants;
	moves += result.moves;
	if (result.rule) {
		fprintf(stderr, "rule broken after %llu steps: %s\n",
			(unsigned long long)result.steps, result.rule);
		abort();
	}
	return 0;
}
