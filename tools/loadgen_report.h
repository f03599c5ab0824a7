/**
 * Results of the load generator's requests: counts by outcome, latency
 * percentiles, and the longest time that a key was unserved.
 */
#ifndef LOADGEN_REPORT_H
#define LOADGEN_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum outcome {
	/** A complete answer that belongs to this request. */
	OUTCOME_ANSWERED,
	/** An answer with an Auburn-Reason header: the request was refused. */
	OUTCOME_REFUSED,
	/** The transfer failed or timed out, and curl reported that. */
	OUTCOME_BROKEN,
	/** An answer with fewer bytes than asked for that curl took for
	 * complete.
	 */
	OUTCOME_PARTIAL,
	/** An answer with an unexpected status, or that belongs to another
	 * request: other ids or another body. */
	OUTCOME_WRONG,
	/** Number of outcomes. */
	OUTCOME_COUNT
};

/** The result of a request that has ended. All texts are borrowed. */
struct result {
	/** Planned time of sending and time of the end, on CLOCK_BOOTTIME. */
	int64_t planned_us, done_us;
	const char *service;
	unsigned int key;
	/** Value of the Load-Id header, unique per request sent. */
	const char *load_id;
	/** Idempotency key, or NULL. */
	const char *work_id;
	bool post;
	enum outcome outcome;
	/** Auburn-Verdict and Auburn-Reason of the answer; "" when absent. For
	 * OUTCOME_BROKEN, reason is curl's error text. */
	const char *verdict, *reason;
	/** Id of the upstream that answered; "" when unknown. */
	const char *upstream;
};

/** Results of all requests of one run. */
struct report;

/**
 * Creates an empty report.
 *
 * @param events path of a file that gets one line per request; "" for none
 * @param error set to AUBURN_ERROR_UNAVAILABLE when the file can't be written
 * @return a new report, or NULL on error
 */
struct report *report_create(const char *events, GError **error);

void report_destroy(struct report *report);

/** Adds the result of a request. */
void report_add(struct report *report, const struct result *result);

/** Counts a request that wasn't sent because of the limit of requests in
 * flight.
 */
void report_add_unsent(struct report *report);

/**
 * Adds the executions that an upstream counted. A request that ran more than
 * once, on all upstreams together, counts as a duplicate.
 *
 * @param counts the answer to GET /standin/executions; NULL adds nothing
 */
void report_add_executions(struct report *report, const json_t *counts);

/**
 * Returns the report as JSON.
 *
 * @param seconds duration of the load, for answered_per_second
 * @return a JSON object, a new reference
 */
json_t *report_json(struct report *report, double seconds);

/** Prints the report to stdout as readable text. @param seconds as in
 * report_json() */
void report_print(struct report *report, double seconds);

#endif
