/**
 * Plays a world from bytes: each command is a fault, a change by operators or
 * time that passes. At the end all faults stop, and every key must be served
 * again within a bound.
 */
#ifndef WORLD_PLAY_H
#define WORLD_PLAY_H

#include "world.h"

struct play_result {
	/** Commands carried out, and events; the oracle looked after each. */
	uint64_t steps, events;
	/** Longest time until every key was served after the faults. */
	int64_t recovery_us;
	/** The rule that was broken; "" when none was. */
	char violation[256];
};

/**
 * Plays one input.
 *
 * @param faults only the planted faults are taken from here
 */
void world_play(const struct world_config *faults, const uint8_t *data,
		size_t size, struct play_result *result);

/** Largest input that is made from a seed. */
#define PLAY_INPUT_BYTES 4096

/**
 * Makes the input that the replay of fixed seeds uses.
 *
 * @param data room for size bytes
 * @param size PLAY_INPUT_BYTES
 * @return the input's length
 */
size_t world_play_input(uint32_t seed, uint8_t *data, size_t size);

/**
 * Finds a planted fault by its name, for example "skip-wait".
 *
 * @param config its fault is set
 * @return false when there is no such fault
 */
bool world_set_named_fault(const char *name, struct world_config *config);

/** The names of the planted faults, ended by NULL. */
const char *const *world_fault_names(void);

#endif
