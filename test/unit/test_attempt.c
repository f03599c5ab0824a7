#include "request/attempt.h"
#include "suite.h"

#define DEADLINE_US INT64_C(1000000)

/* A step of a case: an event that is reported for a copy. The actions that are
 * due are carried out after each step. */
struct step {
	enum attempt_event_kind event;
	uint32_t copy;
};

#define STEPS_MAX 8
/* Event that ends the list of steps. */
#define END ((enum attempt_event_kind) - 1)

/* Steps, and what the state machine must have decided after them. */
struct event_case {
	const char *name;
	/** Options of the request. */
	bool idempotent;
	bool keyed;
	bool hedge;
	struct step steps[STEPS_MAX];
	/** The action after the last step, as carry_out() returns it. */
	enum attempt_action_kind expected_action;
	/** Verdict after the last step. */
	enum verdict_kind expected_kind;
	enum verdict_reason expected_reason;
	/** Number of ATTEMPT_SEND actions in all steps. */
	uint32_t expected_sends;
};

/* clang-format off */
static const struct event_case event_cases[] = {
	{ "answered", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_BODY_DONE, 0 },
	    { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 1 },
	{ "connect refused, then answered", false, false, false,
	  { { ATTEMPT_CONNECT_FAILED, 0 }, { ATTEMPT_SENT, 1 },
	    { ATTEMPT_HEAD, 1 }, { ATTEMPT_BODY_DONE, 1 }, { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 2 },
	{ "connect refused four times", false, false, false,
	  { { ATTEMPT_CONNECT_FAILED, 0 }, { ATTEMPT_CONNECT_FAILED, 1 },
	    { ATTEMPT_CONNECT_FAILED, 2 }, { ATTEMPT_CONNECT_FAILED, 3 },
	    { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_NOT_RUN, REASON_CONNECT_FAILED, 4 },
	{ "reset before the first byte", false, false, false,
	  { { ATTEMPT_RESET_BEFORE_SEND, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_NOT_RUN, REASON_RESET_BEFORE_SEND, 2 },
	{ "reset after the first byte", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_RESET_AFTER_SEND, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_RESET_AFTER_SEND, 1 },
	{ "reset after the first byte, idempotent", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_RESET_AFTER_SEND, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_MAY_HAVE_RUN, REASON_RESET_AFTER_SEND, 2 },
	{ "said to be unsent after it was sent", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_RESET_BEFORE_SEND, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_RESET_BEFORE_SEND, 1 },
	{ "may have run, then refused: still may have run", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_RESET_AFTER_SEND, 0 },
	    { ATTEMPT_NO_UPSTREAM, 1 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_NO_UPSTREAM, 2 },
	{ "shed after it was sent", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_SHED, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_NOT_RUN, REASON_UPSTREAM_SHED, 2 },
	{ "cold everywhere", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_COLD, 0 }, { ATTEMPT_SENT, 1 },
	    { ATTEMPT_COLD, 1 }, { ATTEMPT_NO_UPSTREAM, 2 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_NOT_RUN, REASON_NO_UPSTREAM, 3 },
	{ "not the owner: the map is read again", false, true, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_NOT_OWNER, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_NOT_RUN, REASON_NOT_OWNER, 2 },
	{ "upstream leaves", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_SHUTTING_DOWN, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_NOT_RUN, REASON_SHUTTING_DOWN, 2 },
	{ "truncated", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_TRUNCATED, 0 },
	    { END, 0 } },
	  ATTEMPT_ABORT, VERDICT_MAY_HAVE_RUN, REASON_TRUNCATED, 1 },
	{ "reset amid the body", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 },
	    { ATTEMPT_RESET_AFTER_SEND, 0 }, { END, 0 } },
	  ATTEMPT_ABORT, VERDICT_MAY_HAVE_RUN, REASON_TRUNCATED, 1 },
	{ "stalled amid the body", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_STALLED, 0 },
	    { END, 0 } },
	  ATTEMPT_ABORT, VERDICT_MAY_HAVE_RUN, REASON_STALLED, 1 },
	{ "stalled while connecting", false, false, false,
	  { { ATTEMPT_STALLED, 0 }, { END, 0 } },
	  ATTEMPT_SEND, VERDICT_NOT_RUN, REASON_STALLED, 2 },
	{ "stalled before the answer", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_STALLED, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_STALLED, 1 },
	{ "deadline while it runs", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_DEADLINE, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_DEADLINE_RUNNING, 1 },
	{ "deadline before it was written", false, false, false,
	  { { ATTEMPT_DEADLINE, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_NOT_RUN, REASON_DEADLINE_RUNNING, 1 },
	{ "deadline amid the body does not cut it", true, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_DEADLINE, 0 },
	    { ATTEMPT_BODY_DONE, 0 }, { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 1 },
	{ "caller left while it ran", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_CANCELLED, 0 }, { END, 0 } },
	  ATTEMPT_REFUSE, VERDICT_MAY_HAVE_RUN, REASON_CANCELLED, 1 },
	{ "caller left amid the body", false, false, false,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_CANCELLED, 0 },
	    { END, 0 } },
	  ATTEMPT_ABORT, VERDICT_MAY_HAVE_RUN, REASON_CANCELLED, 1 },
	{ "backup request wins", true, false, true,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_BACKUP_DUE, 0 }, { ATTEMPT_SENT, 1 },
	    { ATTEMPT_HEAD, 1 }, { ATTEMPT_HEAD, 0 }, { ATTEMPT_BODY_DONE, 0 },
	    { ATTEMPT_BODY_DONE, 1 }, { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 2 },
	{ "backup request finds no place", true, false, true,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_BACKUP_DUE, 0 },
	    { ATTEMPT_NO_UPSTREAM, 1 }, { ATTEMPT_HEAD, 0 },
	    { ATTEMPT_BODY_DONE, 0 }, { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 2 },
	{ "first copy breaks while the backup runs", true, false, true,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_BACKUP_DUE, 0 }, { ATTEMPT_SENT, 1 },
	    { ATTEMPT_RESET_AFTER_SEND, 0 }, { ATTEMPT_HEAD, 1 },
	    { ATTEMPT_BODY_DONE, 1 }, { END, 0 } },
	  ATTEMPT_FINISH, VERDICT_RAN, REASON_NONE, 2 },
	{ "no backup for a keyed request", true, true, true,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_BACKUP_DUE, 0 }, { END, 0 } },
	  ATTEMPT_WAIT, VERDICT_MAY_HAVE_RUN, REASON_DEADLINE_IN_QUEUE, 1 },
	{ "no backup unless idempotent", false, false, true,
	  { { ATTEMPT_SENT, 0 }, { ATTEMPT_BACKUP_DUE, 0 }, { END, 0 } },
	  ATTEMPT_WAIT, VERDICT_MAY_HAVE_RUN, REASON_DEADLINE_IN_QUEUE, 1 },
};
/* clang-format on */

/* Carries out actions until none is due, and counts the ATTEMPT_SEND ones.
 * @return the last action, cancellations left out, and ATTEMPT_WAIT only when
 * no other action came first */
static struct attempt_action carry_out(struct attempt *attempt, uint32_t *sends)
{
	struct attempt_action action, result = { 0 };
	/* Later than any back-off before a retry. */
	int64_t now = DEADLINE_US / 2;

	do {
		action = attempt_next(attempt, now);
		*sends += action.kind == ATTEMPT_SEND;
		if (action.kind != ATTEMPT_CANCEL &&
		    (action.kind != ATTEMPT_WAIT || !result.kind))
			result = action;
	} while (action.kind == ATTEMPT_CANCEL || action.kind == ATTEMPT_SEND ||
		 action.kind == ATTEMPT_ANSWER);
	return result;
}

static void check_case(const struct event_case *event_case)
{
	struct retry_budget *budget = retry_budget_create();
	struct attempt_options options = {
		.idempotent = event_case->idempotent,
		.keyed = event_case->keyed,
		.hedge = event_case->hedge,
		.deadline_us = DEADLINE_US,
		.budget = budget,
	};
	struct attempt *attempt = attempt_create(&options);
	struct attempt_action action;
	struct verdict verdict;
	uint32_t sends = 0;
	int i;

	action = carry_out(attempt, &sends);
	for (i = 0; i < STEPS_MAX && event_case->steps[i].event != END; i++) {
		struct attempt_event event = {
			.kind = event_case->steps[i].event,
			.copy = event_case->steps[i].copy,
			.reason = REASON_NO_UPSTREAM,
		};

		attempt_event(attempt, &event, 0);
		action = carry_out(attempt, &sends);
	}
	verdict = attempt_verdict(attempt);
	if (action.kind != event_case->expected_action ||
	    verdict.kind != event_case->expected_kind ||
	    verdict.reason != event_case->expected_reason ||
	    sends != event_case->expected_sends)
		printf("# %s: action %d, %s, %s, %u sends\n", event_case->name,
		       action.kind, verdict_kind_name(verdict.kind),
		       verdict_reason_name(verdict.reason), sends);
	CU_ASSERT_EQUAL(action.kind, event_case->expected_action);
	CU_ASSERT_EQUAL(verdict.kind, event_case->expected_kind);
	CU_ASSERT_EQUAL(verdict.reason, event_case->expected_reason);
	CU_ASSERT_EQUAL(sends, event_case->expected_sends);
	attempt_destroy(attempt);
	retry_budget_destroy(budget);
}

static void events_lead_to_verdicts(void)
{
	size_t i;

	for (i = 0; i < sizeof(event_cases) / sizeof(event_cases[0]); i++)
		check_case(&event_cases[i]);
}

/* A new budget holds RETRY_BUDGET_MAX retries. When it is empty, each answered
 * request adds a percentage of a retry. */
static void retries_are_a_share_of_successes(void)
{
	struct retry_budget *budget = retry_budget_create();
	int i, taken = 0;

	while (retry_budget_take(budget))
		taken++;
	CU_ASSERT_EQUAL(taken, RETRY_BUDGET_MAX);
	for (i = 0; i < 30; i++)
		retry_budget_success(budget, 10);
	for (taken = 0; retry_budget_take(budget); taken++)
		;
	CU_ASSERT_EQUAL(taken, 3);
	retry_budget_destroy(budget);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "events lead to verdicts", events_lead_to_verdicts },
		{ "retries are a share of successes",
		  retries_are_a_share_of_successes },
		{ 0 },
	};

	return suite_run("attempt", cases);
}
