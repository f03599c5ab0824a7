/**
 * A cold start: one upstream restarts and all routers send to it, with shares
 * of its budget and without.
 */
#ifndef COLD_H
#define COLD_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that the upstream can bear at once, and how long it is cold. */
#define COLD_LIMIT 2
#define COLD_US INT64_C(2000000)

struct cold_result {
	/** Most requests that the upstream had at once. */
	uint32_t most;
	/** Requests that it got. */
	uint32_t served;
};

/** Runs the model. @param shares false: every router sends as it likes */
struct cold_result cold_run(bool shares);

#endif
