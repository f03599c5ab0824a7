/**
 * Runs random fuzz inputs with one injected fault until the oracle reports it.
 */
#ifndef PLANTED_RUN_H
#define PLANTED_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/planted.h"

struct planted_run {
	/** Size of each input. */
	size_t input_bytes;
	/** Maximum number of inputs to try. */
	uint32_t seeds_max;
	/**
	 * Runs one input.
	 *
	 * @param steps incremented by the number of simulation steps
	 * @return name of the violated rule, or NULL
	 */
	const char *(*play)(const uint8_t *data, size_t size, uint64_t *steps);
};

/**
 * Runs inputs with an injected fault and prints the first seed that reveals it.
 *
 * @param rule the rule that the oracle must report
 * @return whether the oracle reported it
 */
bool planted_is_caught(const struct planted_run *run, enum injected fault,
		       const char *rule);

#endif
