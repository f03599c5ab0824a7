/**
 * What became of the load generator's requests: counts, percentiles, and the
 * longest time a key went without service.
 */
#ifndef LOADGEN_REPORT_H
#define LOADGEN_REPORT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum outcome {
	/** The whole answer to this very request. */
	OUTCOME_ANSWERED,
	/** Refused with a verdict and a reason. */
	OUTCOME_REFUSED,
	/** The connection failed, and the caller can tell. */
	OUTCOME_BROKEN,
	/** Fewer bytes than asked for, passed as a whole answer. */
	OUTCOME_PARTIAL,
	/** Not the answer to this request. */
	OUTCOME_WRONG,
	OUTCOME_COUNT
};

/** One request that has ended. */
struct result {
	/** When it was planned to be sent, and when it ended. */
	int64_t planned_us, done_us;
	const char *service;
	unsigned int key;
	const char *load_id;
	/** Idempotency key, or NULL. */
	const char *work_id;
	bool post;
	enum outcome outcome;
	/** Of a refusal; of a broken transfer its reason is curl's text. */
	const char *verdict, *reason;
	/** The upstream that answered, or NULL. */
	const char *upstream;
};

struct report;

/**
 * Creates an empty report.
 *
 * @param events file to write one line a request to, or ""
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct report *report_create(const char *events, GError **error);

void report_destroy(struct report *report);

/** Adds a result. */
void report_add(struct report *report, const struct result *result);

/** Notes that a request could not be sent when it was due. */
void report_add_unsent(struct report *report);

/** Adds the executions that upstreams counted (GET /standin/executions). */
void report_add_executions(struct report *report, const json_t *counts);

/**
 * Sums up.
 *
 * @param seconds how long the load lasted
 * @return a JSON object, a new reference
 */
json_t *report_json(struct report *report, double seconds);

/** Prints the sums for people. */
void report_print(struct report *report, double seconds);

#endif
