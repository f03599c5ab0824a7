/**
 * Model of a cold start: one upstream restarts, and all routers send to it as
 * fast as they can. Compares routers that hold shares of the upstream's request
 * budget with routers that send without asking.
 */
#ifndef COLD_H
#define COLD_H

#include <stdbool.h>
#include <stdint.h>

/** Concurrent requests that the upstream allows while it is cold. */
#define COLD_LIMIT 2
/** Simulated duration of the cold phase. */
#define COLD_US INT64_C(2000000)

/** Totals of one run. */
struct cold_result {
	/** Largest number of concurrent requests at the upstream. */
	uint32_t max_concurrent;
	/** Total requests sent to the upstream. */
	uint32_t served;
};

/**
 * Runs the model.
 *
 * @param shares true: routers send only within shares of the budget that they
 *   asked for; false: routers send without a limit
 */
struct cold_result cold_run(bool shares);

#endif
