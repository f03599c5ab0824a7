/**
 * Runs random fuzz inputs with one injected fault until the oracle reports it.
 */
#ifndef PLANTED_RUN_H
#define PLANTED_RUN_H

#include <stddef.h>
#include <stdint.h>

#include "base/planted.h"

/** A fault to inject, and the rule that the oracle must then report. */
struct planted_row {
	enum injected fault;
	const char *rule;
};

struct planted_run {
	const struct planted_row *rows;
	size_t row_count;
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
 * Injects the fault of each row in turn, runs inputs with it and prints the
 * first seed that reveals it. Asserts that the oracle reports each row's rule.
 */
void planted_check_rows(const struct planted_run *run);

#endif
