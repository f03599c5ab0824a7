/**
 * Outcome of a request: whether it may have run on an upstream, and why it was
 * refused or failed. Every layer passes a verdict up unchanged.
 */
#ifndef BASE_VERDICT_H
#define BASE_VERDICT_H

#include <stdbool.h>

/** Whether an upstream ran the request. */
enum verdict_kind {
	/** No upstream started to run the request; safe to retry. */
	VERDICT_NOT_RUN,
	/** The request was sent and no complete answer came back. */
	VERDICT_MAY_HAVE_RUN,
	/** An upstream answered the request. */
	VERDICT_RAN,
};

/** Why the request was refused or failed. */
enum verdict_reason {
	/** The request was answered. */
	REASON_NONE,
	/** The request is malformed, lacks a part that its service needs, or
	 * reuses the idempotency key of a different request. */
	REASON_BAD_REQUEST,
	/** The body exceeds the limit of the service's profile. */
	REASON_TOO_LARGE,
	REASON_UNKNOWN_SERVICE,
	/** The router has no settings, or they are too old to rely on. */
	REASON_NO_SETTINGS,
	/** No upstream is known to own the key. */
	REASON_NO_OWNER,
	/** The upstream answered that it does not own the key. */
	REASON_NOT_OWNER,
	/** No upstream can take the request. */
	REASON_NO_UPSTREAM,
	REASON_CONNECT_FAILED,
	/** The connection broke before the request was sent. */
	REASON_RESET_BEFORE_SEND,
	/** The connection broke after the request was sent, without an
	 * answer. */
	REASON_RESET_AFTER_SEND,
	/** The upstream refused the request: it has no free slot. */
	REASON_UPSTREAM_SHED,
	/** The upstream refused the request: it started recently and takes only
	 * a few requests at a time. */
	REASON_UPSTREAM_COLD,
	/** The router's queue of requests is full. */
	REASON_QUEUE_FULL,
	/** Refused on arrival: the request would miss its deadline. */
	REASON_OVERLOAD,
	/** The deadline passed before the request was sent. */
	REASON_DEADLINE_IN_QUEUE,
	/** The deadline passed after the request was sent. */
	REASON_DEADLINE_RUNNING,
	/** The upstream made no progress for the stall limit. */
	REASON_STALLED,
	/** The answer ended before it was complete. */
	REASON_TRUNCATED,
	/** The claim, which makes a request with an idempotency key run at most
	 * once, could not be written to the table. */
	REASON_CLAIM_UNAVAILABLE,
	/** An earlier request with the same idempotency key may still be
	 * running. */
	REASON_CLAIM_IN_PROGRESS,
	/** It is unknown whether an earlier request with the same idempotency
	 * key ran. */
	REASON_OUTCOME_UNKNOWN,
	/** The request is suspected of crashing upstreams. */
	REASON_POISONED,
	/** The upstream refused the request: it shuts down. */
	REASON_SHUTTING_DOWN,
	/** The router gave the request up: the client closed its connection, or
	 * another copy of the request made it superfluous. */
	REASON_CANCELLED,
	/** Number of reasons; not a reason. */
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

/** Returns the HTTP status code with which the client is answered. */
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
