/**
 * Sends requests at planned times, whether or not earlier ones were answered.
 */
#ifndef LOADGEN_RUN_H
#define LOADGEN_RUN_H

#include <stdint.h>

#include "loadgen_mix.h"
#include "loadgen_report.h"

struct load_plan {
	/** "IPv4:port" of routers, ended by NULL. */
	char **targets;
	const struct mix *mix;
	const struct key_law *keys;
	/** Requests a second, and how long. */
	double rate;
	double seconds;
	/** The hottest keys change this often; 0: never. */
	double shift_seconds;
	/** Requests open at once; arrivals beyond are counted as unsent. */
	unsigned int open_limit;
	int64_t timeout_ms;
	/** Share of once-requests that the caller sends a second time. */
	unsigned int resend_percent;
	uint64_t seed;
};

/**
 * Runs a plan to its end, answers included.
 *
 * @param report filled with the results
 * @return how long arrivals lasted, in seconds
 */
double load_run(const struct load_plan *plan, struct report *report);

#endif
