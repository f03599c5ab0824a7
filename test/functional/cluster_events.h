/**
 * What callers saw: the lines of loadgen's --events file.
 */
#ifndef CLUSTER_EVENTS_H
#define CLUSTER_EVENTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One request that ended. */
struct event {
	int64_t planned_us, done_us;
	char *service;
	unsigned int key;
	/** "-" when empty, as the following texts. */
	char *load_id, *work_id;
	/** "answered", "refused", "broken", "partial" or "wrong". */
	char *outcome;
	char *verdict, *reason, *upstream;
};

struct events;

/**
 * Reads a file.
 *
 * @return new events, or NULL when it can't be read
 */
struct events *events_load(const char *path);

void events_destroy(struct events *events);

size_t events_count(const struct events *events);
const struct event *events_at(const struct events *events, size_t index);

/** Requests of an outcome; verdict NULL: any. */
unsigned int events_outcomes(const struct events *events, const char *outcome,
			     const char *verdict);

/**
 * The longest time any key of a service went without an answer: from the
 * planned time of a request to its answer's end, refused ones before it
 * included.
 *
 * @param service NULL: any
 * @param from_us only requests planned from here on
 * @param until_us and before this instant
 */
int64_t events_longest_gap(const struct events *events, const char *service,
			   int64_t from_us, int64_t until_us);

/**
 * The longest time that a key of a lost upstream went unserved, over the keys
 * that it answered last: from the first request planned after the loss, or
 * from the loss when one was under way, to the end of the first whole answer.
 *
 * @param at_us when the upstream was lost
 * @param keys_seen set to the number of its keys that were served again
 * @return microseconds; INT64_MAX when a key asked for was never served
 */
int64_t events_unserved_after(const struct events *events, const char *service,
			      const char *upstream, int64_t at_us,
			      unsigned int *keys_seen);

/**
 * A share of the latencies of what was answered.
 *
 * @param share 0.99 for the 99th percentile
 * @return microseconds, 0 when there are none
 */
int64_t events_latency(const struct events *events, const char *service,
		       double share);

#endif
