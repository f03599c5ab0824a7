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
	/** An error response with a verdict and a reason. */
	OUTCOME_REFUSED,
	/** The connection failed and the caller saw the failure. */
	OUTCOME_BROKEN,
	/** Fewer bytes than asked for, delivered as a complete answer. */
	OUTCOME_PARTIAL,
	/** An answer that doesn't belong to this request. */
	OUTCOME_WRONG,
	OUTCOME_COUNT
};

/** The result of a request that has ended. */
struct result {
	/** Planned time of sending, and time of the end. */
	int64_t planned_us, done_us;
	const char *service;
	unsigned int key;
	const char *load_id;
	/** Idempotency key, or NULL. */
	const char *work_id;
	bool post;
	enum outcome outcome;
	/** Of a refusal. For OUTCOME_BROKEN, reason is curl's error text. */
	const char *verdict, *reason;
	/** The upstream that answered, or NULL. */
	const char *upstream;
};

struct report;

/**
 * Creates an empty report.
 *
 * @param events path of a file that gets one line per request; "" for none
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct report *report_create(const char *events, GError **error);

void report_destroy(struct report *report);

/** Adds the result of a request. */
void report_add(struct report *report, const struct result *result);

/** Counts a request that could not be sent when it was due. */
void report_add_unsent(struct report *report);

/**
 * Adds the executions that an upstream counted.
 *
 * @param counts the answer to GET /standin/executions
 */
void report_add_executions(struct report *report, const json_t *counts);

/**
 * Returns the report as JSON.
 *
 * @param seconds how long the load lasted
 * @return a JSON object, a new reference
 */
json_t *report_json(struct report *report, double seconds);

/** Prints the report as readable text. @param seconds as in report_json() */
void report_print(struct report *report, double seconds);

#endif
