/**
 * Outcome of a request that was refused or failed: whether it may have run on
 * an upstream, and why it ended. Every layer passes a verdict up unchanged.
 */
#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>

enum verdict_kind {
	/** No upstream started to run the request; safe to retry. */
	VERDICT_NOT_RUN,
	/** The request was sent and no complete answer came back. */
	VERDICT_MAY_HAVE_RUN,
	/** An upstream answered the request. */
	VERDICT_RAN,
};

enum verdict_reason {
	REASON_NONE,
	REASON_BAD_REQUEST,
	REASON_TOO_LARGE,
	REASON_UNKNOWN_SERVICE,
	REASON_NO_SETTINGS,
	/** No upstream is known to own the key. */
	REASON_NO_OWNER,
	/** The upstream answered that it does not own the key. */
	REASON_NOT_OWNER,
	REASON_NO_UPSTREAM,
	REASON_CONNECT_FAILED,
	REASON_RESET_BEFORE_SEND,
	REASON_RESET_AFTER_SEND,
	REASON_UPSTREAM_SHED,
	REASON_UPSTREAM_COLD,
	REASON_QUEUE_FULL,
	/** Refused on arrival: the request would miss its deadline. */
	REASON_OVERLOAD,
	/** The deadline passed before the request was sent. */
	REASON_DEADLINE_IN_QUEUE,
	/** The deadline passed after the request was sent. */
	REASON_DEADLINE_RUNNING,
	REASON_STALLED,
	/** The answer ended before it was complete. */
	REASON_TRUNCATED,
	/** The claim could not be written to the table. */
	REASON_CLAIM_UNAVAILABLE,
	/** The request was claimed before and may still be running. */
	REASON_CLAIM_IN_PROGRESS,
	/** The request was claimed before; whether it ran is unknown. */
	REASON_OUTCOME_UNKNOWN,
	/** The request is suspected of crashing upstreams. */
	REASON_POISONED,
	REASON_SHUTTING_DOWN,
	REASON_CANCELLED,
	REASON_COUNT
};

struct verdict {
	enum verdict_kind kind;
	enum verdict_reason reason;
};

/**
 * Returns the kind's value in the Auburn-Verdict header field.
 *
 * @return "not-run", "may-have-run" or "ran"
 */
const char *verdict_kind_name(enum verdict_kind kind);

/**
 * Returns the reason's value in the Auburn-Reason header field.
 *
 * @return a short token such as "upstream-shed"
 */
const char *verdict_reason_name(enum verdict_reason reason);

/** Returns the HTTP status code of the answer to the client. */
unsigned int verdict_status(struct verdict verdict);

/**
 * Finds a reason by its Auburn-Reason value.
 *
 * @param name NUL-terminated token
 * @param reason set when found
 * @return false when no reason has this name
 */
bool verdict_reason_parse(const char *name, enum verdict_reason *reason);

#endif
