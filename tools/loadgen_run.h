/**
 * Open-loop load: sends requests at planned times, whether or not earlier ones
 * were answered.
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
	const struct key_distribution *keys;
	/** Requests per second, and the duration of the load. */
	double rate;
	double seconds;
	/** Interval after which other keys become the hottest; 0: never. */
	double shift_seconds;
	/** Limit of requests in flight; those beyond it count as unsent. */
	unsigned int open_limit;
	int64_t timeout_ms;
	/** Part of the requests with an idempotency key that is sent twice. */
	unsigned int resend_percent;
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
