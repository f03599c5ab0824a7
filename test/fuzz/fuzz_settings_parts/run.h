/**
 * One run of the fleet on a fuzz input.
 */
#ifndef FUZZ_SETTINGS_RUN_H
#define FUZZ_SETTINGS_RUN_H

#include <stddef.h>
#include <stdint.h>

struct run_result {
	/** The rule that was broken; NULL: none. */
	const char *rule;
	uint64_t steps;
	/** Publishes told as accepted. */
	unsigned int accepted;
	/** Checks excused, see oracle_excused(). */
	unsigned int excused;
};

/** Runs the input to its end, or to the first broken rule. */
struct run_result run_input(const uint8_t *data, size_t size);

#endif
