/**
 * Reads loadgen's --events file: the outcome of each request as its caller saw
 * it.
 */
#ifndef CLUSTER_EVENTS_H
#define CLUSTER_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One finished request. All texts are owned by the events. */
struct event {
	/** Planned time of sending, and time when the request finished, in
	 * microseconds of CLOCK_BOOTTIME. */
	int64_t planned_us, done_us;
	char *service;
	/** Number of the key that loadgen chose. */
	unsigned int key;
	/** Values of the headers Load-Id and Idempotency-Key that loadgen sent.
	 * "-" when absent, like all texts below. */
	char *load_id, *idempotency_key;
	/**
	 * "answered": a whole answer that belongs to the request;
	 * "refused": an error response with verdict and reason;
	 * "broken": the connection failed, reason is libcurl's error text;
	 * "partial": a whole answer with fewer bytes than requested;
	 * "wrong": an answer that doesn't belong to the request.
	 */
	char *outcome;
	char *verdict, *reason;
	/** Id of the upstream that answered. */
	char *upstream;
};

/** All finished requests of one loadgen run, by planned time. */
struct events;

/**
 * Reads an events file.
 *
 * @return new events, freed with events_destroy(); NULL when the file can't be
 *         read
 */
struct events *events_load(const char *path);

void events_destroy(struct events *events);

size_t events_count(const struct events *events);
/** Returns an event, owned by events; index 0 has the earliest planned time. */
const struct event *events_at(const struct events *events, size_t index);

/** Counts requests with an outcome and a verdict; verdict NULL: any. */
unsigned int events_count_outcome(const struct events *events,
				  const char *outcome, const char *verdict);

/**
 * Returns the longest time that any key of a service waited for an answer. The
 * time runs from the planned time of the key's first unanswered request to the
 * end of its next answer.
 *
 * @param service NULL: any
 * @param from_us,until_us only requests planned in [from_us, until_us)
 * @return microseconds
 */
int64_t events_longest_gap(const struct events *events, const char *service,
			   int64_t from_us, int64_t until_us);

/**
 * Returns the longest time that a key of a failed upstream had no answer. An
 * upstream's keys are those whose last answer before the failure came from that
 * upstream. The time runs from the key's first request planned after the
 * failure, or from the failure when a request was in flight, to the end of the
 * first whole answer.
 *
 * @param service NULL: any
 * @param upstream id of the failed upstream
 * @param at_us time of the failure
 * @param keys_served set to the number of these keys that were served again;
 * not complete when INT64_MAX is returned
 * @return microseconds; INT64_MAX when a requested key was never served again
 */
int64_t events_longest_unserved(const struct events *events,
				const char *service, const char *upstream,
				int64_t at_us, unsigned int *keys_served);

/**
 * Returns a quantile of the latency of answered requests, from planned time.
 *
 * @param service NULL: any
 * @param quantile 0.99 for the 99th percentile
 * @return microseconds, 0 when no request was answered
 */
int64_t events_latency(const struct events *events, const char *service,
		       double quantile);

#endif
