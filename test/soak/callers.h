/**
 * Callers of the soak test: threads with persistent connections to all entry
 * daemons, which send requests for all routes of changes.h and check each
 * response.
 */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

#include "rules.h"

struct callers;

/** Numbers of requests by result. A request counts in one of them. */
struct callers_result {
	/** Responses with status 200. */
	unsigned int served;
	/** Responses with status 408, 421, 429 or 503, which say that the
	 * request was not executed. */
	unsigned int refused;
	/** Responses with any other status. */
	unsigned int failed;
	/** Requests whose connection ended, or was silent for 5 seconds, before
	 * the whole response arrived. */
	unsigned int unanswered;
	/** Responses that belong to another request or are malformed. */
	unsigned int wrong;
};

/** How hard callers press. */
struct callers_load {
	/** Number of callers. */
	unsigned int threads;
	/** Pause of a caller between two requests. */
	unsigned long pause_us;
	/** Longest time for which a request is executed. */
	unsigned int work_ms;
};

/**
 * Starts the callers.
 *
 * @param addresses "IPv4:port" of the entry daemons; must outlive the callers
 * @param entries number of addresses, at most 16
 * @param load copied
 * @param seed seed of the random requests
 * @return the running callers; end them with callers_stop() and callers_free()
 */
struct callers *callers_start(const char *const *addresses,
			      unsigned int entries,
			      const struct callers_load *load, uint32_t seed);

/** Stops the threads and returns the sum of their results. */
struct callers_result callers_stop(struct callers *callers);

/**
 * Calls fn for each request whose execution is to be verified at the upstreams:
 * each at-most-once request that was reported as not executed, and each request
 * without a response (not_executed is false). Call callers_stop() first.
 */
void callers_each_unresolved(const struct callers *callers,
			     void (*fn)(const char *id, bool not_executed,
					void *ctx),
			     void *ctx);

/** Adds all requests to the rules. Call callers_stop() first. */
void callers_record(const struct callers *callers, struct rules *rules);

/** Frees the callers; call callers_stop() first. */
void callers_free(struct callers *callers);

#endif
