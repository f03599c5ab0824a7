/*
 * Fuzzes key ownership: several coordinators, upstreams that check grants, and
 * a table, under an oracle that detects two owners of a key. The environment
 * variable PLANTED_FAULT, a name of world_fault_names(), disables one safety
 * rule, to show that the oracle detects it.
 */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

#include "world_play.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Totals of all inputs, and the longest recovery; see struct play_result. */
static uint64_t steps, events, inputs;
static int64_t slowest_us;

static void report(void)
{
	printf("# %llu inputs, %llu steps, %llu events, slowest recovery "
	       "%lld ms\n",
	       (unsigned long long)inputs, (unsigned long long)steps,
	       (unsigned long long)events, (long long)(slowest_us / US_PER_MS));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world_config config = { 0 };
	const char *fault = getenv("PLANTED_FAULT");
	struct play_result result;

	if (!inputs)
		atexit(report);
	if (fault && !world_set_named_fault(fault, &config)) {
		fprintf(stderr, "PLANTED_FAULT: unknown fault: %s\n", fault);
		exit(2);
	}
	world_play(&config, data, size, &result);
	inputs++;
	steps += result.steps;
	events += result.events;
	slowest_us = MAX(slowest_us, result.recovery_us);
	if (result.violation[0]) {
		fprintf(stderr,
			"ownership rule violated after %llu steps of input "
			"%llu: %s\n",
			(unsigned long long)result.steps,
			(unsigned long long)inputs, result.violation);
		report();
		abort();
	}
	return 0;
}
