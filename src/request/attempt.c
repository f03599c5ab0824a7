#include "request/attempt.h"

#include <glib.h>

#include "base/planted.h"

enum copy_state {
	/** The index stands for no copy yet. */
	COPY_UNUSED,
	/** attempt_next() told to send the copy; no byte of it was written. */
	COPY_OPEN,
	/** The copy is being written, or waits for its answer. */
	COPY_SENT,
	/** The copy's answer is passed to the caller. */
	COPY_ANSWERS,
	COPY_ENDED,
};

struct attempt {
	struct attempt_options options;
	enum copy_state copies[ATTEMPT_MAX];
	uint32_t copy_count;
	/** Another copy is to be sent, not before send_us. */
	bool send_due;
	/** The copy to be sent is a backup request. */
	bool send_backup;
	/** The owner map must be read again before the next copy. */
	bool refresh;
	/** Earliest time to send the next copy, when send_due is set. */
	int64_t send_us;
	/** Wait before the next retry on the same owner. */
	int64_t backoff_us;
	/** Retries made so far without the retry budget, because the owner map
	 * or the list of upstreams was out of date. */
	uint32_t redirects;
	/** The one backup request that is allowed was sent or is due. */
	bool backup_scheduled;
	/** Bit mask of the copies for which ATTEMPT_CANCEL is due. */
	uint32_t cancels_due;
	/** The copy whose answer the caller gets, or ATTEMPT_NONE. */
	uint32_t winner;
	/** ATTEMPT_ANSWER is due for the winner. */
	bool answer_due;
	/** Some copy ended without a whole answer and without "not run". */
	bool may_have_run;
	/** Why the last copy failed; REASON_DEADLINE_IN_QUEUE while none has.
	 */
	enum verdict_reason reason;
	/** The request has ended: final_action is all that is left to do, after
	 * the cancels that are due. */
	bool ended;
	struct attempt_action final_action;
};

struct attempt *attempt_create(const struct attempt_options *options)
{
	struct attempt *attempt = g_new0(struct attempt, 1);

	attempt->options = *options;
	attempt->winner = ATTEMPT_NONE;
	attempt->backoff_us = ATTEMPT_BACKOFF_US;
	attempt->reason = REASON_DEADLINE_IN_QUEUE;
	attempt->send_due = true;
	return attempt;
}

void attempt_destroy(struct attempt *attempt)
{
	g_free(attempt);
}

/* Tells whether a copy is still under way. */
static bool is_live(enum copy_state state)
{
	return state == COPY_OPEN || state == COPY_SENT ||
	       state == COPY_ANSWERS;
}

static uint32_t count_live(const struct attempt *attempt)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < attempt->copy_count; i++)
		count += is_live(attempt->copies[i]);
	return count;
}

/* Ends the request with a final action. */
static void finish(struct attempt *attempt, enum attempt_action_kind kind,
		   struct verdict verdict)
{
	attempt->ended = true;
	attempt->send_due = false;
	attempt->answer_due = false;
	attempt->final_action = (struct attempt_action){
		.kind = kind,
		.copy = attempt->winner,
		.verdict = verdict,
	};
}

/* Cancels a copy. If it was sent, it may have run. */
static void cancel_copy(struct attempt *attempt, uint32_t copy)
{
	if (attempt->copies[copy] != COPY_OPEN)
		attempt->may_have_run = true;
	attempt->copies[copy] = COPY_ENDED;
	attempt->cancels_due |= 1u << copy;
}

/* Cancels the copies that are under way, except the one with the index kept;
 * ATTEMPT_NONE keeps none. */
static void cancel_all_but(struct attempt *attempt, uint32_t kept)
{
	uint32_t i;

	for (i = 0; i < attempt->copy_count; i++)
		if (i != kept && is_live(attempt->copies[i]))
			cancel_copy(attempt, i);
}

/* Ends the request with a refusal and cancels its copies. The verdict is "not
 * run" unless some copy may have run. */
static void refuse(struct attempt *attempt, enum verdict_reason reason)
{
	struct verdict verdict = { VERDICT_NOT_RUN, reason };

	cancel_all_but(attempt, ATTEMPT_NONE);
	if (attempt->may_have_run && !injected(INJECTED_FALSE_NOT_RUN))
		verdict.kind = VERDICT_MAY_HAVE_RUN;
	finish(attempt, ATTEMPT_REFUSE, verdict);
}

static bool may_send_again(const struct attempt *attempt)
{
	if (attempt->copy_count >= ATTEMPT_MAX)
		return false;
	return !attempt->may_have_run || attempt->options.idempotent ||
	       injected(INJECTED_RETRY_MAY_HAVE_RUN);
}

static void schedule_send(struct attempt *attempt, int64_t wait_us,
			  int64_t now_us)
{
	attempt->send_due = true;
	attempt->send_backup = false;
	attempt->send_us = now_us + wait_us;
}

/* Handles a failed copy: waits for a copy still in flight, or else schedules
 * another one, or refuses the request. */
static void retry(struct attempt *attempt, enum verdict_reason reason,
		  int64_t now_us)
{
	int64_t wait_us = attempt->options.keyed ? attempt->backoff_us : 0;

	attempt->reason = reason;
	attempt->send_backup = false;
	if (count_live(attempt) || attempt->send_due)
		return;
	if (!may_send_again(attempt) ||
	    now_us + wait_us >= attempt->options.deadline_us ||
	    !retry_budget_take(attempt->options.budget)) {
		refuse(attempt, reason);
		return;
	}
	attempt->backoff_us *= 2;
	schedule_send(attempt, wait_us, now_us);
}

/* Schedules another copy after one went to the wrong upstream because the owner
 * map or the list of upstreams was out of date. Such a refusal costs the
 * upstream next to nothing, so the retry budget isn't used. */
static void redirect(struct attempt *attempt, enum verdict_reason reason,
		     int64_t now_us)
{
	int64_t wait_us = attempt->redirects ? attempt->backoff_us : 0;

	attempt->refresh = true;
	if (attempt->redirects >= ATTEMPT_REDIRECT_MAX) {
		retry(attempt, reason, now_us);
		return;
	}
	attempt->reason = reason;
	if (count_live(attempt) || attempt->send_due)
		return;
	if (!may_send_again(attempt)) {
		refuse(attempt, reason);
		return;
	}
	attempt->redirects++;
	schedule_send(attempt, wait_us, now_us);
}

/* Handles a copy that the upstream refused without running it. */
static void on_not_run(struct attempt *attempt, uint32_t copy,
		       enum verdict_reason reason, int64_t now_us)
{
	if (attempt->copies[copy] == COPY_ANSWERS)
		return;
	attempt->copies[copy] = COPY_ENDED;
	if (reason == REASON_NOT_OWNER || reason == REASON_SHUTTING_DOWN)
		redirect(attempt, reason, now_us);
	else
		retry(attempt, reason, now_us);
}

/* Handles a copy whose connection failed or stalled: it may have run, unless
 * it was never sent. */
static void on_failure(struct attempt *attempt, uint32_t copy,
		       enum verdict_reason reason, int64_t now_us)
{
	enum copy_state state = attempt->copies[copy];

	attempt->copies[copy] = COPY_ENDED;
	if (state == COPY_ANSWERS) {
		attempt->may_have_run = true;
		if (injected(INJECTED_TRUNCATED_COMPLETE))
			finish(attempt, ATTEMPT_FINISH,
			       (struct verdict){ VERDICT_RAN, REASON_NONE });
		else
			finish(attempt, ATTEMPT_ABORT,
			       (struct verdict){ VERDICT_MAY_HAVE_RUN,
						 reason });
		return;
	}
	if (state == COPY_SENT)
		attempt->may_have_run = true;
	retry(attempt, reason, now_us);
}

/* Handles the head of an answer: the first one makes its copy the winner. */
static void on_head(struct attempt *attempt, uint32_t copy)
{
	if (attempt->winner != ATTEMPT_NONE)
		return;
	attempt->copies[copy] = COPY_ANSWERS;
	attempt->winner = copy;
	attempt->answer_due = true;
	attempt->send_due = false;
	cancel_all_but(attempt, copy);
}

static void on_body_done(struct attempt *attempt, uint32_t copy)
{
	if (attempt->copies[copy] != COPY_ANSWERS)
		return;
	attempt->copies[copy] = COPY_ENDED;
	retry_budget_success(attempt->options.budget,
			     attempt->options.retry_percent);
	finish(attempt, ATTEMPT_FINISH,
	       (struct verdict){ VERDICT_RAN, REASON_NONE });
}

/* Schedules a backup request if the request may have one and exactly one copy
 * is under way. */
static void on_backup_due(struct attempt *attempt)
{
	const struct attempt_options *o = &attempt->options;

	if (!o->hedge || !o->idempotent || o->keyed ||
	    attempt->backup_scheduled)
		return;
	if (attempt->winner != ATTEMPT_NONE || attempt->send_due ||
	    count_live(attempt) != 1 || attempt->copy_count >= ATTEMPT_MAX)
		return;
	attempt->backup_scheduled = true;
	attempt->send_due = true;
	attempt->send_backup = true;
	attempt->send_us = 0;
}

/* Handles a copy that no upstream can take. The request is refused only when no
 * other copy is in flight: a backup request is simply dropped. */
static void on_no_upstream(struct attempt *attempt, uint32_t copy,
			   enum verdict_reason reason)
{
	if (attempt->copies[copy] != COPY_OPEN)
		return;
	attempt->copies[copy] = COPY_ENDED;
	if (!count_live(attempt) && !attempt->send_due)
		refuse(attempt, reason);
}

/* Refuses the request, unless its answer began before the deadline. */
static void on_deadline(struct attempt *attempt)
{
	if (attempt->winner != ATTEMPT_NONE)
		return;
	refuse(attempt, attempt->copy_count ? REASON_DEADLINE_RUNNING
					    : REASON_DEADLINE_IN_QUEUE);
}

/* Ends a cancelled request: refuses it, or aborts the answer that has begun. */
static void on_cancelled(struct attempt *attempt)
{
	refuse(attempt, REASON_CANCELLED);
	if (attempt->winner != ATTEMPT_NONE)
		attempt->final_action.kind = ATTEMPT_ABORT;
}

/* Handles an event of the request as a whole. @return false when the event is
 * about one copy instead */
static bool handle_request_event(struct attempt *attempt,
				 const struct attempt_event *event)
{
	switch (event->kind) {
	case ATTEMPT_DEADLINE:
		on_deadline(attempt);
		return true;
	case ATTEMPT_CANCELLED:
		on_cancelled(attempt);
		return true;
	default:
		return false;
	}
}

static void handle_copy_event(struct attempt *attempt,
			      const struct attempt_event *event, int64_t now_us)
{
	uint32_t copy = event->copy;
	bool answers = attempt->copies[copy] == COPY_ANSWERS;

	switch (event->kind) {
	case ATTEMPT_SENT:
		if (attempt->copies[copy] == COPY_OPEN)
			attempt->copies[copy] = COPY_SENT;
		break;
	case ATTEMPT_CONNECT_FAILED:
		on_failure(attempt, copy, REASON_CONNECT_FAILED, now_us);
		break;
	case ATTEMPT_RESET_BEFORE_SEND:
		on_failure(attempt, copy, REASON_RESET_BEFORE_SEND, now_us);
		break;
	case ATTEMPT_RESET_AFTER_SEND:
		attempt->copies[copy] = answers ? COPY_ANSWERS : COPY_SENT;
		on_failure(attempt, copy,
			   answers ? REASON_TRUNCATED : REASON_RESET_AFTER_SEND,
			   now_us);
		break;
	case ATTEMPT_SHED:
		on_not_run(attempt, copy, REASON_UPSTREAM_SHED, now_us);
		break;
	case ATTEMPT_COLD:
		on_not_run(attempt, copy, REASON_UPSTREAM_COLD, now_us);
		break;
	case ATTEMPT_NOT_OWNER:
		on_not_run(attempt, copy, REASON_NOT_OWNER, now_us);
		break;
	case ATTEMPT_SHUTTING_DOWN:
		on_not_run(attempt, copy, REASON_SHUTTING_DOWN, now_us);
		break;
	case ATTEMPT_HEAD:
		on_head(attempt, copy);
		break;
	case ATTEMPT_BODY_DONE:
		on_body_done(attempt, copy);
		break;
	case ATTEMPT_TRUNCATED:
		on_failure(attempt, copy, REASON_TRUNCATED, now_us);
		break;
	case ATTEMPT_STALLED:
		attempt->cancels_due |= 1u << copy;
		on_failure(attempt, copy, REASON_STALLED, now_us);
		break;
	case ATTEMPT_BACKUP_DUE:
		on_backup_due(attempt);
		break;
	case ATTEMPT_NO_UPSTREAM:
		on_no_upstream(attempt, copy, event->reason);
		break;
	default:
		break;
	}
}

void attempt_event(struct attempt *attempt, const struct attempt_event *event,
		   int64_t now_us)
{
	if (attempt->ended || handle_request_event(attempt, event))
		return;
	if (event->copy >= attempt->copy_count ||
	    !is_live(attempt->copies[event->copy]))
		return;
	handle_copy_event(attempt, event, now_us);
}

static struct attempt_action next_cancel(struct attempt *attempt)
{
	struct attempt_action action = { .kind = ATTEMPT_CANCEL };

	while (!(attempt->cancels_due & (1u << action.copy)))
		action.copy++;
	attempt->cancels_due &= ~(1u << action.copy);
	return action;
}

static struct attempt_action next_send(struct attempt *attempt)
{
	struct attempt_action action = {
		.kind = ATTEMPT_SEND,
		.copy = attempt->copy_count,
		.refresh = attempt->refresh,
		.backup = attempt->send_backup,
	};

	attempt->copies[attempt->copy_count++] = COPY_OPEN;
	attempt->send_due = false;
	attempt->refresh = false;
	return action;
}

struct attempt_action attempt_next(struct attempt *attempt, int64_t now_us)
{
	struct attempt_action action = { .kind = ATTEMPT_WAIT };

	if (!attempt->ended && now_us >= attempt->options.deadline_us)
		on_deadline(attempt);
	if (attempt->cancels_due)
		return next_cancel(attempt);
	if (attempt->ended)
		return attempt->final_action;
	if (attempt->answer_due) {
		attempt->answer_due = false;
		action.kind = ATTEMPT_ANSWER;
		action.copy = attempt->winner;
		return action;
	}
	if (attempt->send_due && now_us >= attempt->send_us)
		return next_send(attempt);
	action.until_us = INT64_MAX;
	if (attempt->winner == ATTEMPT_NONE)
		action.until_us = attempt->options.deadline_us;
	if (attempt->send_due)
		action.until_us = MIN(action.until_us, attempt->send_us);
	return action;
}

struct verdict attempt_verdict(const struct attempt *attempt)
{
	struct verdict verdict = { VERDICT_NOT_RUN, attempt->reason };
	uint32_t i;

	if (attempt->ended)
		return attempt->final_action.verdict;
	if (attempt->may_have_run)
		verdict.kind = VERDICT_MAY_HAVE_RUN;
	for (i = 0; i < attempt->copy_count; i++)
		if (attempt->copies[i] == COPY_SENT ||
		    attempt->copies[i] == COPY_ANSWERS)
			verdict.kind = VERDICT_MAY_HAVE_RUN;
	return verdict;
}
