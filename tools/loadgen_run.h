/**
 * Open-loop load: sends requests at planned times, whether or not earlier ones
 * were answered. The times are those of a Poisson process.
 */
#ifndef LOADGEN_RUN_H
#define LOADGEN_RUN_H

#include <stdint.h>

#include "loadgen_mix.h"
#include "loadgen_report.h"

/** What load_run() sends; all pointers are borrowed. */
struct load_plan {
	/** "IPv4:port" of routers, ended by NULL; each request goes to a random
	 * one. */
	char **targets;
	const struct mix *mix;
	const struct key_distribution *keys;
	/** Mean requests per second, and the duration of the load. */
	double rate;
	double seconds;
	/** Interval after which other keys become the hottest; 0: never. */
	double shift_seconds;
	/** Most requests in flight; those beyond it are counted as unsent. */
	unsigned int open_limit;
	/** Time limit of each request. */
	int64_t timeout_ms;
	/** Percentage of the requests with an idempotency key that is sent
	 * twice. */
	unsigned int resend_percent;
	/** Seed of the random choices; part of the ids of requests. */
	uint64_t seed;
};

/**
 * Sends all requests of a plan and waits until each has ended.
 *
 * @param report filled with the results
 * @return the time in which requests were sent, in seconds
 */
double load_run(const struct load_plan *plan, struct report *report);

#endif
