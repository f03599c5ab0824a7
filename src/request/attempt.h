/**
 * State machine for the attempts of one request: decides on retries, redirects,
 * hedging (a backup request) and the final verdict. A copy is one attempt to
 * send the request to one upstream. The state machine does no I/O.
 *
 * Rules:
 * - The verdict is "not run" only when every copy ended before its first byte
 *   was sent, or was refused by the upstream with "not run".
 * - A request that isn't idempotent is sent again only after "not run".
 * - Nothing is sent again once bytes of an answer went to the caller.
 * - A retry after a failure takes one retry from the service's retry budget.
 *   When an upstream answers that it isn't the owner or shuts down (this
 *   router's map is out of date), the first ATTEMPT_REDIRECT_MAX retries are
 *   made without the budget.
 * - A backup request is sent at most once, for requests with hedge set, when no
 *   answer began within the delay. The first copy whose answer begins wins, the
 *   other one is cancelled.
 * - A truncated answer aborts the transfer to the caller, so that the caller
 *   can't take it for a complete one.
 *
 * Use: attempt_create(), then carry out each action that attempt_next()
 * returns, and report what happened with attempt_event(). Copies are numbered
 * from 0 in the order of their ATTEMPT_SEND actions. Times are microseconds of
 * one monotonic clock. Not thread-safe.
 */
#ifndef REQUEST_ATTEMPT_H
#define REQUEST_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"
#include "request/retry_budget.h"

/** Most copies sent of one request, the first included. */
#define ATTEMPT_MAX 4
/** Most retries of one request that are made without the retry budget, after an
 * owner map or upstream list was out of date. */
#define ATTEMPT_REDIRECT_MAX 2
/** First back-off before a retry on the same owner; doubles with each retry. */
#define ATTEMPT_BACKOFF_US INT64_C(5000)
/** Copy index that stands for no copy. */
#define ATTEMPT_NONE UINT32_MAX

/** Properties of a request that decide how it may be sent. */
struct attempt_options {
	/** Running the request twice does no harm. */
	bool idempotent;
	/** Only the owner of the request's key can run it. */
	bool keyed;
	/** The profile allows a backup request. One is sent only when the
	 * request is idempotent and not keyed as well. */
	bool hedge;
	/** Instant by which the answer must have begun. */
	int64_t deadline_us;
	/** Retry budget of the service; borrowed, outlives the attempt. */
	struct retry_budget *budget;
	/** What an answered request adds to the budget, in percent of a retry.
	 */
	uint32_t retry_percent;
};

/** What happened to a copy, or to the request as a whole (DEADLINE, CANCELLED).
 */
enum attempt_event_kind {
	/** The copy's request is being written: from now on it may run. */
	ATTEMPT_SENT,
	/** No connection could be opened. */
	ATTEMPT_CONNECT_FAILED,
	/** The connection closed before the first byte was written. */
	ATTEMPT_RESET_BEFORE_SEND,
	/** The connection closed after the first byte was written. */
	ATTEMPT_RESET_AFTER_SEND,
	/** The upstream refused with Auburn-Verdict: not-run, as it sheds load.
	 */
	ATTEMPT_SHED,
	/** The upstream refused with not-run, as it is cold: not warmed up yet.
	 */
	ATTEMPT_COLD,
	/** The upstream refused with not-run, as it doesn't own the key. */
	ATTEMPT_NOT_OWNER,
	/** The upstream refused with not-run, as it shuts down. */
	ATTEMPT_SHUTTING_DOWN,
	/** Status and header of an answer arrived. */
	ATTEMPT_HEAD,
	/** The answer's body is complete. */
	ATTEMPT_BODY_DONE,
	/** The body ended before its promised length or last chunk. */
	ATTEMPT_TRUNCATED,
	/** The connection made no progress for the stall limit. */
	ATTEMPT_STALLED,
	/** The copy got no answer within the delay after which a backup request
	 * is sent. */
	ATTEMPT_BACKUP_DUE,
	/** No upstream can take the copy: all are full, or there is none. */
	ATTEMPT_NO_UPSTREAM,
	/** The deadline passed. */
	ATTEMPT_DEADLINE,
	/** The caller disconnected. */
	ATTEMPT_CANCELLED,
};

/** A report to the state machine. */
struct attempt_event {
	enum attempt_event_kind kind;
	/** Index of the copy; unused for DEADLINE and CANCELLED. */
	uint32_t copy;
	/** For NO_UPSTREAM: reason to give when the request is refused. */
	enum verdict_reason reason;
};

/** What the caller of attempt_next() has to do. */
enum attempt_action_kind {
	/** Do nothing until the next event, or until until_us passes. */
	ATTEMPT_WAIT,
	/** Choose an upstream not tried yet (keyed: the owner) and send the
	 * copy to it. */
	ATTEMPT_SEND,
	/** Close the copy's connection and tell its upstream to cancel. */
	ATTEMPT_CANCEL,
	/** Pass the copy's answer to the caller, head first. */
	ATTEMPT_ANSWER,
	/** The answer is complete: end the caller's transfer. Final. */
	ATTEMPT_FINISH,
	/** Refuse the request with the verdict. Final. */
	ATTEMPT_REFUSE,
	/** Abort the caller's transfer: close without a clean end. Final. */
	ATTEMPT_ABORT,
};

/** An instruction of the state machine. */
struct attempt_action {
	enum attempt_action_kind kind;
	/** Index of the copy that the action is about; unused for ATTEMPT_WAIT
	 * and ATTEMPT_REFUSE. */
	uint32_t copy;
	/** For ATTEMPT_WAIT: when to call attempt_next() at the latest. */
	int64_t until_us;
	/** Outcome of the request, for REFUSE, ABORT and FINISH. */
	struct verdict verdict;
	/** For SEND: an upstream refused as not the owner or as shutting
	 * down; read the owner map again before choosing. */
	bool refresh;
	/** For SEND: a backup request; skip it when no other upstream is free
	 * (report ATTEMPT_NO_UPSTREAM). */
	bool backup;
};

/** The state machine of one request. */
struct attempt;

/**
 * Creates the state machine of one request, whose first action is to send.
 *
 * @return a new state machine; free with attempt_destroy()
 */
struct attempt *attempt_create(const struct attempt_options *options);

/** Frees a state machine; NULL is allowed. */
void attempt_destroy(struct attempt *attempt);

/** Reports an event. Events of copies that ended are ignored. */
void attempt_event(struct attempt *attempt, const struct attempt_event *event,
		   int64_t now_us);

/**
 * Returns the next action. Call until it returns ATTEMPT_WAIT or a final
 * action; further calls return the same final action.
 */
struct attempt_action attempt_next(struct attempt *attempt, int64_t now_us);

/** Returns whether the request ran, as far as is known now, and why the last
 * copy failed; after a final action, that action's verdict. */
struct verdict attempt_verdict(const struct attempt *attempt);

#endif
