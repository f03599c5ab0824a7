/**
 * The way of one request: attempts, what became of them and what to do next.
 *
 * Rules:
 * - "Not run" is said only when every attempt ended before its first byte was
 *   sent, or was refused by the upstream with "not run".
 * - A request that isn't idempotent is sent again only after "not run".
 * - Nothing is sent again once bytes of an answer went to the caller.
 * - A retry after a failure takes from the tenant's budget; not-owner answers
 *   (a map that is behind) are followed twice without.
 * - A backup request goes out once, for requests with hedge set, when no answer
 *   began within the delay; the first head wins, the other is cancelled.
 * - An answer cut short breaks the caller's transfer; it never ends cleanly.
 *
 * Use: attempt_create(), then for each action that attempt_next() returns do as
 * it says, and report what happened by attempt_event(). Not thread-safe.
 */
#ifndef REQUEST_ATTEMPT_H
#define REQUEST_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"
#include "request/retry_budget.h"

/** Most copies of one request, the first included. */
#define ATTEMPT_MAX 4
/** Retries that follow a map's change, not counted in the budget. */
#define ATTEMPT_REDIRECT_MAX 2
/** First wait before a retry on the same owner; doubles. */
#define ATTEMPT_BACKOFF_US INT64_C(5000)
/** No copy. */
#define ATTEMPT_NONE UINT32_MAX

struct attempt_options {
	/** Running it twice does no harm. */
	bool idempotent;
	/** Only the owner of its key can run it. */
	bool keyed;
	/** Backup requests are allowed: idempotent and not keyed, too. */
	bool hedge;
	/** Instant by which the answer must have begun. */
	int64_t deadline_us;
	/** Budget of the tenant; borrowed, outlives the attempt. */
	struct retry_budget *budget;
	/** Retries that an answer earns, in percent. */
	uint32_t retry_percent;
};

enum attempt_event_kind {
	/** The copy's request is being written: from now on it may run. */
	ATTEMPT_SENT,
	/** No connection, or it closed before the first byte was written. */
	ATTEMPT_CONNECT_FAILED,
	ATTEMPT_RESET_BEFORE_SEND,
	/** The connection closed after the first byte was written. */
	ATTEMPT_RESET_AFTER_SEND,
	/** Refused by the upstream with Auburn-Verdict: not-run. */
	ATTEMPT_SHED,
	ATTEMPT_COLD,
	ATTEMPT_NOT_OWNER,
	ATTEMPT_LEAVING,
	/** Status and header of an answer arrived. */
	ATTEMPT_HEAD,
	/** The answer's body is complete. */
	ATTEMPT_BODY_DONE,
	/** The body ended before its promised length or last chunk. */
	ATTEMPT_TRUNCATED,
	/** No progress for the stall limit. */
	ATTEMPT_STALLED,
	/** A backup request's delay passed without an answer. */
	ATTEMPT_BACKUP_DUE,
	/** The copy found no place: all is full, none is there. */
	ATTEMPT_NO_UPSTREAM,
	/** The deadline passed. */
	ATTEMPT_DEADLINE,
	/** The caller went away. */
	ATTEMPT_CANCELLED,
};

struct attempt_event {
	enum attempt_event_kind kind;
	/** Which copy; unused for DEADLINE and CANCELLED. */
	uint32_t copy;
	/** For NO_UPSTREAM: why, in case the request is refused. */
	enum verdict_reason reason;
};

enum attempt_action_kind {
	/** Nothing until the next event, at the latest at until_us. */
	ATTEMPT_WAIT,
	/** Choose an upstream not tried yet (keyed: the owner) and send copy.
	 */
	ATTEMPT_SEND,
	/** Close copy's connection and tell its upstream to cancel. */
	ATTEMPT_CANCEL,
	/** Pass copy's answer to the caller, head first. */
	ATTEMPT_ANSWER,
	/** The caller's answer is complete. Final. */
	ATTEMPT_FINISH,
	/** Refuse with the verdict. Final. */
	ATTEMPT_REFUSE,
	/** Break the caller's transfer: close without a clean end. Final. */
	ATTEMPT_BREAK,
};

struct attempt_action {
	enum attempt_action_kind kind;
	uint32_t copy;
	/** For ATTEMPT_WAIT: when to call attempt_next() at the latest. */
	int64_t until_us;
	/** For REFUSE, BREAK and FINISH. */
	struct verdict verdict;
	/** For SEND: the map was behind; read it again before choosing. */
	bool refresh;
	/** For SEND: a backup request; skip it when no other upstream is free
	 * (report ATTEMPT_NO_UPSTREAM). */
	bool backup;
};

struct attempt;

/** @return the way of one request; free with attempt_destroy() */
struct attempt *attempt_create(const struct attempt_options *options);

/** Frees it; NULL is allowed. */
void attempt_destroy(struct attempt *attempt);

/** Tells what happened. Events of copies that ended are ignored. */
void attempt_event(struct attempt *attempt, const struct attempt_event *event,
		   int64_t now_us);

/**
 * What to do next. Call until it returns ATTEMPT_WAIT or a final action; a
 * final action is returned again when asked again.
 */
struct attempt_action attempt_next(struct attempt *attempt, int64_t now_us);

/** What is known about the request at this moment. */
struct verdict attempt_verdict(const struct attempt *attempt);

#endif
