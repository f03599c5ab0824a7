/**
 * Plays random inputs with one rule switched off until an oracle notices.
 */
#ifndef PLANTED_RUN_H
#define PLANTED_RUN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/planted.h"

struct planted_run {
	/** Bytes of an input, and inputs at most. */
	size_t input_bytes;
	uint32_t seeds_max;
	/**
	 * Plays an input.
	 *
	 * @param steps the steps it took are added
	 * @return the rule that was broken, or NULL
	 */
	const char *(*play)(const uint8_t *data, size_t size, uint64_t *steps);
};

/** Whether the oracle names the rule; prints the seed that showed it. */
bool planted_is_caught(const struct planted_run *run, enum planted fault,
		       const char *rule);

#endif
