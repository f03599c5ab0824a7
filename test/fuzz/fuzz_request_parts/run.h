/**
 * Runs the simulated fleet on a fuzz input.
 */
#ifndef RUN_H
#define RUN_H

#include <stddef.h>
#include <stdint.h>

struct run_result {
	/** Name of the first broken rule, or NULL. */
	const char *rule;
	/** Number of simulation events that were run. */
	uint64_t steps;
	/** Number of requests that arrived at routers. */
	uint64_t requests;
};

/** Runs an input to its end or until a rule is broken. */
struct run_result run_input(const uint8_t *data, size_t size);

#endif
