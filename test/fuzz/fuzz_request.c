/*
 * Fuzzes the request modules of several routers against fake upstreams, a fake
 * budget holder and a fake table; the input chooses calls and faults. An oracle
 * compares what upstreams executed with what callers were told.
 */
#include <stdio.h>
#include <stdlib.h>

#include "fuzz_request_parts/run.h"

/* Totals of all inputs; see struct run_result. */
static uint64_t total_steps, total_requests;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void print_totals(void)
{
	printf("ok - %llu steps, %llu requests\n",
	       (unsigned long long)total_steps,
	       (unsigned long long)total_requests);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct run_result result = run_input(data, size);

	if (!total_steps)
		atexit(print_totals);
	total_steps += result.steps;
	total_requests += result.requests;
	if (result.rule) {
		fprintf(stderr, "rule broken after %llu steps: %s\n",
			(unsigned long long)result.steps, result.rule);
		abort();
	}
	return 0;
}
