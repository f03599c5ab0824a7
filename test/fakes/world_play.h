/**
 * Runs a simulated cell from fuzz input: each command injects a fault, makes an
 * operator's change or lets time pass. At the end all faults stop, and every
 * key must be served again within a time limit.
 */
#ifndef WORLD_PLAY_H
#define WORLD_PLAY_H

#include "world.h"

struct play_result {
	/** Numbers of commands and of simulation events that were run. */
	uint64_t steps, events;
	/** Microseconds from the end of the faults until every key was
	 * served. */
	int64_t recovery_us;
	/** Description of the rule violation; "" when there was none. */
	char violation[256];
};

/**
 * Runs one input, to its end or to the first rule violation.
 *
 * @param faults rules to disable; the input sets the other fields
 * @param data 4 bytes that set the configuration, then 3 bytes for each
 *        command; nothing is run if there are fewer than 4 bytes
 * @param result filled in; zeroed first
 */
void world_play(const struct world_config *faults, const uint8_t *data,
		size_t size, struct play_result *result);

/** Largest input that world_play_input() generates. */
#define PLAY_INPUT_BYTES 4096

/**
 * Generates a random input from a seed, the same as the fuzz replay does.
 *
 * @param data room for size bytes
 * @param size PLAY_INPUT_BYTES
 * @return the input's length
 */
size_t world_play_input(uint32_t seed, uint8_t *data, size_t size);

/**
 * Disables a rule by the name of the injected fault, for example "skip-wait".
 *
 * @param config whose fault fields are set; unchanged for an unknown name
 * @return false when there is no such fault
 */
bool world_set_named_fault(const char *name, struct world_config *config);

/** Returns the names of the injected faults, ended by NULL. */
const char *const *world_fault_names(void);

#endif
