/**
 * Runs a simulated fleet on one fuzz input.
 */
#ifndef FUZZ_SETTINGS_RUN_H
#define FUZZ_SETTINGS_RUN_H

#include <stddef.h>
#include <stdint.h>

struct run_result {
	/** The rule that was violated, or NULL. */
	const char *rule;
	/** Number of steps of simulated time. */
	uint64_t steps;
	/** See oracle_accepted(). */
	unsigned int accepted;
	/** See oracle_tolerated(). */
	unsigned int tolerated;
};

/** Runs an input to its end, or to the first violated rule. */
struct run_result run_input(const uint8_t *data, size_t size);

#endif
