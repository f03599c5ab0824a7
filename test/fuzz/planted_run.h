/**
 * Runs random inputs of a fuzz target with one injected fault until the
 * target's oracle reports that fault.
 */
#ifndef PLANTED_RUN_H
#define PLANTED_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/planted.h"

struct fault_trial {
	/** Size of each input, in bytes. */
	size_t input_bytes;
	/** Maximum number of inputs to try. */
	uint32_t seeds_max;
	/**
	 * Runs one input.
	 *
	 * @param steps incremented by the number of simulation steps
	 * @return name of the violated rule, or NULL
	 */
	const char *(*run_one_input)(const uint8_t *data, size_t size,
				     uint64_t *steps);
};

/**
 * Runs inputs with an injected fault and prints the first seed that reveals it.
 *
 * @param rule the rule that the oracle must report; an input that violates
 *        another rule first doesn't count
 * @return whether the oracle reported the rule for an input
 */
bool oracle_detects_fault(const struct fault_trial *run, enum injected fault,
			  const char *rule);

#endif
