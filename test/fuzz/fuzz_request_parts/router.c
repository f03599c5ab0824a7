/* The routers: requests from arrival to verdict, and crash reports. */
#include "base/planted.h"
#include "fuzz_request_parts/world.h"

/* Interval of a router's ticks while it has requests. */
#define TICK_US (5 * MS)
/* Most requests that a router admits at once. */
#define CAPACITY 8
/* Most connections from a router to an upstream. */
#define CONNECTIONS 6
/* What an answered request adds to the retry budget, in percent of a retry. */
#define RETRY_PERCENT 10

bool router_paused(struct world *w, struct fake_router *r, struct event *event)
{
	if (w->now >= r->paused_until_us)
		return false;
	world_requeue(w, event, r->paused_until_us);
	return true;
}

static void set_list(struct world *w, struct fake_router *r)
{
	struct pool_member members[UPSTREAMS];
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++)
		members[i] = (struct pool_member){
			.id = str_from(w->upstreams[i].id),
			.zone = STR("z"),
			.available = !w->upstreams[i].leaving,
		};
	pool_update(r->pool, members, UPSTREAMS);
}

static void apply_list(struct world *w, struct event *event)
{
	struct fake_router *r = event->a;

	if (r->up && !router_paused(w, r, event))
		set_list(w, r);
}

void router_list(struct world *w, struct fake_router *r)
{
	world_at(w, w->now + world_random(w, 1, 1500) * MS, apply_list, r, NULL,
		 0, 0);
}

/* Gives a router that starts the crash reports that the assigners know. */
static void copy_poison_reports(struct world *w, struct fake_router *r)
{
	struct poison_report reports[512];
	size_t count =
		poison_list_reports(w->assigner_poison, w->now, reports, 512);
	guint i;

	while (count--)
		poison_apply_report(r->poison, &reports[count], w->now);
	for (i = 0; i < w->calls->len; i++) {
		struct call *call = g_ptr_array_index(w->calls, i);

		call->knows_crash[r->index] =
			poison_check(r->poison, call->fingerprint, w->now) !=
			POISON_CLEAR;
	}
}

void router_start(struct world *w, struct fake_router *r)
{
	static const struct admission_class class = { 0, 1, 16 };
	struct pool_options options = {
		.router = STR("r"),
		.slots = SLOTS,
		.seed = (uint32_t)world_random(w, 0, 1000),
	};
	int i;

	r->up = true;
	r->incarnation++;
	r->ticking = false;
	r->pool = pool_create(&options);
	for (i = 0; i < UPSTREAMS; i++)
		r->connections[i] = connection_set_create(CONNECTIONS);
	memset(r->silence_detected_us, 0, sizeof(r->silence_detected_us));
	r->admission = admission_create(CAPACITY);
	r->lane = admission_add_lane(
		r->admission, admission_add_class(r->admission, &class), NULL);
	r->poison = poison_create();
	r->budget = retry_budget_create();
	r->trial = (struct budget_share){ 0 };
	r->batch = claim_batch_create();
	r->batched = g_ptr_array_new();
	r->requests = g_ptr_array_new();
	set_list(w, r);
	copy_poison_reports(w, r);
}

void router_stop(struct fake_router *r)
{
	guint i;

	for (i = 0; i < r->requests->len; i++) {
		struct request *request = g_ptr_array_index(r->requests, i);

		attempt_destroy(request->attempt);
		claim_destroy(request->claim);
	}
	g_ptr_array_free(r->requests, TRUE);
	g_ptr_array_free(r->batched, TRUE);
	claim_batch_destroy(r->batch);
	retry_budget_destroy(r->budget);
	poison_destroy(r->poison);
	admission_destroy(r->admission);
	for (i = 0; i < UPSTREAMS; i++)
		connection_set_destroy(r->connections[i]);
	pool_destroy(r->pool);
	r->up = false;
}

static void submit_again(struct world *w, struct event *event)
{
	router_submit(w, &w->routers[event->n], event->a);
}

/* Submits a call again to a random router, if the call may be. */
static void resubmit(struct world *w, struct call *call)
{
	uint64_t router = (uint64_t)world_random(w, 0, ROUTERS - 1);

	if (!call->submissions_left || call->kind == KIND_PLAIN || w->draining)
		return;
	call->submissions_left--;
	world_at(w, w->now + world_random(w, 1, 20) * MS, submit_again, call,
		 NULL, router, 0);
}

static void start_again(struct world *w, struct event *event)
{
	router_start(w, event->a);
}

void router_kill(struct world *w, struct fake_router *r)
{
	guint i;

	if (!r->up)
		return;
	for (i = 0; i < r->requests->len; i++) {
		struct request *request = g_ptr_array_index(r->requests, i);

		if (request->replied)
			continue;
		/* The router's unsent crash reports may be lost with it. */
		request->call->hidden_crashes++;
		resubmit(w, request->call);
	}
	for (i = 0; i < w->connections->len; i++) {
		struct connection *c = g_ptr_array_index(w->connections, i);

		if (c->router == r->index && c->incarnation == r->incarnation) {
			c->closed = true;
			c->current = NULL;
		}
	}
	router_stop(r);
	world_at(w, w->now + world_random(w, 50, 400) * MS, start_again, r,
		 NULL, 0, 0);
}

/* A crash report on its way to a router or to the assigners. */
struct report_in_transit {
	struct poison_report report;
	/** The call that the report is about, or NULL. */
	struct call *call;
};

/* Event: a report arrives; a: the router, or NULL for the assigners; b: struct
 * report_in_transit. */
static void deliver_report(struct world *w, struct event *event);

/* Assigners forward a report to all linked routers, including those that
 * started while the report was in transit. */
static void forward_report(struct world *w, void *report)
{
	size_t i;

	for (i = 0; i < ROUTERS; i++)
		world_at(w, w->now + world_delay(w), deliver_report,
			 &w->routers[i], report, 0, 0);
}

static void deliver_report(struct world *w, struct event *event)
{
	struct fake_router *r = event->a;
	const struct report_in_transit *t = event->b;

	if (!r) {
		poison_apply_report(w->assigner_poison, &t->report, w->now);
		forward_report(w, event->b);
		return;
	}
	if (!r->up || router_paused(w, r, event))
		return;
	poison_apply_report(r->poison, &t->report, w->now);
	if (t->call)
		t->call->knows_crash[r->index] = t->report.deaths > 0;
}

void router_report(struct world *w, struct fake_router *r,
		   const struct poison_report *report)
{
	uint32_t i;

	for (i = 0; i <= ROUTERS; i++) {
		struct report_in_transit *t = world_new(w, sizeof(*t));
		char *texts = world_new(w, 32);
		guint j;

		if (i == r->index)
			continue;
		t->report = *report;
		if (report->upstream.len) {
			memcpy(texts, report->upstream.data,
			       report->upstream.len);
			memcpy(texts + 16, report->boot.data, report->boot.len);
			t->report.upstream.data = texts;
			t->report.boot.data = texts + 16;
		}
		for (j = 0; j < w->calls->len; j++) {
			struct call *call = g_ptr_array_index(w->calls, j);

			if (call->fingerprint == report->fingerprint)
				t->call = call;
		}
		world_at(w, w->now + world_delay(w), deliver_report,
			 i < ROUTERS ? &w->routers[i] : NULL, t, 0, 0);
	}
}

/* Event: the caller of a request gets the verdict; n: with a whole reply. */
static void deliver_verdict(struct world *w, struct event *event)
{
	struct request *request = event->a;
	struct fake_router *r = &w->routers[request->router];

	if (!r->up || r->incarnation != request->incarnation ||
	    router_paused(w, r, event))
		return;
	request->replied = true;
	oracle_check_reply(w, request, event->n);
	if (!event->n)
		resubmit(w, request->call);
}

/* Ends a request. The caller gets the verdict now or, when a crash report has
 * to reach the other routers first, at reply_not_before_us. */
static void end_request(struct world *w, struct request *request,
			struct verdict verdict, bool whole)
{
	request->ended = true;
	request->verdict = verdict;
	world_at(w, MAX(w->now, request->reply_not_before_us), deliver_verdict,
		 request, NULL, whole, 0);
}

static void end_attempt(struct world *w, struct request *request,
			const struct attempt_action *action)
{
	static const struct claim_record record = {
		.status = 200,
		.body = { "done", 4 },
		.whole = true,
	};
	struct fake_router *r = &w->routers[request->router];
	bool whole = action->kind == ATTEMPT_FINISH;

	admission_done(r->admission, r->lane, 0);
	if (request->claim)
		claim_close(request->claim, action->verdict,
			    whole ? &record : NULL);
	end_request(w, request, action->verdict, whole);
}

static void start_attempt(struct world *w, struct request *request)
{
	enum kind kind = request->call->kind;
	struct attempt_options options = {
		.idempotent = kind != KIND_PLAIN && kind != KIND_ONCE,
		.keyed = kind == KIND_KEYED,
		.hedge = kind == KIND_READ || kind == KIND_MARKED,
		.deadline_us = request->deadline_us,
		.budget = w->routers[request->router].budget,
		.retry_percent = RETRY_PERCENT,
	};

	request->attempt = attempt_create(&options);
}

static void cancel(struct world *w, struct request *request, uint32_t copy)
{
	if (request->pending == copy)
		request->pending = ATTEMPT_NONE;
	else if (request->copies[copy])
		copy_end(w, request->copies[copy], POOL_CANCELLED,
			 POISON_INCONCLUSIVE);
}

static void check_backup(struct world *w, struct request *request)
{
	struct fake_router *r = &w->routers[request->router];
	struct copy *first = request->copies[0];
	int64_t delay = pool_backup_delay(r->pool);
	struct attempt_event event = { .kind = ATTEMPT_BACKUP_DUE };

	if (first && first->live && delay < DEADLINE_US &&
	    w->now - first->sent_us > delay)
		attempt_event(request->attempt, &event, w->now);
}

static void step_attempt(struct world *w, struct request *request)
{
	struct attempt_action action;

	check_backup(w, request);
	for (;;) {
		if (request->pending != ATTEMPT_NONE)
			copy_dispatch(w, request);
		action = attempt_next(request->attempt, w->now);
		switch (action.kind) {
		case ATTEMPT_WAIT:
			return;
		case ATTEMPT_SEND:
			request->pending = action.copy;
			request->pending_backup = action.backup;
			break;
		case ATTEMPT_CANCEL:
			cancel(w, request, action.copy);
			break;
		case ATTEMPT_ANSWER:
			break;
		case ATTEMPT_FINISH:
		case ATTEMPT_REFUSE:
		case ATTEMPT_ABORT:
			end_attempt(w, request, &action);
			return;
		}
	}
}

/* Advances a request that was admitted but does not hold its claim yet. */
static void step_claim(struct world *w, struct request *request)
{
	struct fake_router *r = &w->routers[request->router];
	enum claim_state state = claim_state(request->claim);
	struct verdict ran = { VERDICT_RAN, REASON_NONE };

	if (state == CLAIM_PENDING && w->now >= request->deadline_us)
		claim_abandon(request->claim, REASON_DEADLINE_IN_QUEUE);
	state = claim_state(request->claim);
	if (state == CLAIM_HELD || injected(INJECTED_CLAIM_AFTER_SEND)) {
		start_attempt(w, request);
	} else if (state == CLAIM_RECORDED || state == CLAIM_REFUSED) {
		admission_done(r->admission, r->lane, 0);
		end_request(w, request,
			    state == CLAIM_RECORDED
				    ? ran
				    : claim_verdict(request->claim),
			    state == CLAIM_RECORDED);
	}
}

static void step_request(struct world *w, struct request *request)
{
	struct fake_router *r = &w->routers[request->router];

	if (request->claim && !request->in_batch &&
	    claim_has_op(request->claim) &&
	    claim_batch_add(r->batch, request->claim, w->now)) {
		request->in_batch = true;
		g_ptr_array_add(r->batched, request);
	}
	if (!request->started || request->ended)
		return;
	if (request->claim && !request->attempt)
		step_claim(w, request);
	if (request->attempt && !request->ended)
		step_attempt(w, request);
}

static void start_request(struct world *w, struct request *request)
{
	struct fake_router *r = &w->routers[request->router];
	char text[32];
	char attempt[48];
	struct claim_options options = {
		.service = STR("s"),
		.digest = request->call->index,
		.claimant = STR("r"),
		.running_us = DEADLINE_US + 500 * MS,
		.wall_us =
			w->now + (int64_t)r->index * CLAIM_CLOCK_ERROR_US / 4,
	};

	request->started = true;
	if (request->call->kind != KIND_ONCE) {
		start_attempt(w, request);
		return;
	}
	g_snprintf(text, sizeof(text), "key%u", request->call->index);
	g_snprintf(attempt, sizeof(attempt), "a%" G_GUINT64_FORMAT,
		   w->sequence++);
	options.key = str_from(text);
	options.attempt = str_from(attempt);
	request->claim = claim_create(&options);
}

static bool has_room(void *ctx, void *lane_owner)
{
	(void)ctx;
	(void)lane_owner;
	return true;
}

static void admit(struct world *w, struct fake_router *r)
{
	struct verdict late = { VERDICT_NOT_RUN, REASON_DEADLINE_IN_QUEUE };
	enum admission_decision turn;
	void *request;
	uint32_t lane;

	while ((turn = admission_next(r->admission, has_room, NULL, w->now,
				      &request, &lane)) != ADMISSION_IDLE) {
		if (turn == ADMISSION_SEND)
			start_request(w, request);
		else
			end_request(w, request, late, false);
	}
}

/* Asks the budget holder for the shares that are due, and for one of the budget
 * for suspect calls if a pending request needs it. */
static void ask_shares(struct world *w, struct fake_router *r)
{
	struct budget_request trial = { 1, r->trial.in_use, r->trial.lost,
					w->now, r->trial.taken_us };
	struct pool_share_request asks[UPSTREAMS];
	size_t count =
		pool_due_share_requests(r->pool, w->now, asks, UPSTREAMS);
	size_t i;

	for (i = 0; i < count; i++)
		platform_ask(w, r, asks[i].upstream, &asks[i].ask, w->now);
	for (i = 0; i < r->requests->len; i++) {
		const struct request *request =
			g_ptr_array_index(r->requests, i);

		if (request->pending != ATTEMPT_NONE && request->attempt &&
		    !request->ended &&
		    poison_check(r->poison, request->call->fingerprint,
				 w->now) == POISON_SUSPECT)
			break;
	}
	if (i == r->requests->len) {
		trial.wanted = 0;
		if (!r->trial.in_use && !r->trial.lost && !r->trial.count)
			return;
		if (!r->trial.in_use && !r->trial.lost)
			budget_share_drop(&r->trial, w->now);
	}
	if (budget_share_mark_requested(&r->trial, w->now))
		platform_ask(w, r, UPSTREAMS, &trial, w->now);
}

/* Frees requests that were answered and have no claim operation pending. */
static void destroy_finished_requests(struct fake_router *r)
{
	guint i = 0;

	while (i < r->requests->len) {
		struct request *request = g_ptr_array_index(r->requests, i);

		if (!request->replied || request->in_batch ||
		    (request->claim && claim_has_op(request->claim))) {
			i++;
			continue;
		}
		attempt_destroy(request->attempt);
		claim_destroy(request->claim);
		request->attempt = NULL;
		request->claim = NULL;
		g_ptr_array_remove_index(r->requests, i);
	}
}

static void run_due_work(struct world *w, struct fake_router *r)
{
	guint i;

	copy_check_connections(w, r);
	admit(w, r);
	for (i = 0; i < r->requests->len; i++)
		step_request(w, g_ptr_array_index(r->requests, i));
	if (w->now >= claim_batch_due_us(r->batch))
		platform_batch(w, r);
	ask_shares(w, r);
	destroy_finished_requests(r);
}

static void tick(struct world *w, struct event *event)
{
	struct fake_router *r = event->a;

	if (!r->up || r->incarnation != event->n || router_paused(w, r, event))
		return;
	run_due_work(w, r);
	r->ticking = r->requests->len > 0;
	if (r->ticking)
		world_at(w, w->now + TICK_US, tick, r, NULL, r->incarnation, 0);
}

static void wake(struct world *w, struct event *event)
{
	struct fake_router *r = event->a;

	if (r->up && r->incarnation == event->n && !router_paused(w, r, event))
		run_due_work(w, r);
}

void router_wake(struct world *w, struct fake_router *r)
{
	world_at(w, w->now, wake, r, NULL, r->incarnation, 0);
	if (r->ticking)
		return;
	r->ticking = true;
	world_at(w, w->now + TICK_US, tick, r, NULL, r->incarnation, 0);
}

static void receive_call(struct world *w, struct event *event)
{
	struct fake_router *r = event->a;
	struct request *request;
	enum verdict_reason reason;
	void *refused;

	if (!r->up || router_paused(w, r, event))
		return;
	request = world_new(w, sizeof(*request));
	request->call = event->b;
	request->router = r->index;
	request->incarnation = r->incarnation;
	request->deadline_us = w->now + DEADLINE_US;
	request->pending = ATTEMPT_NONE;
	w->submitted++;
	g_ptr_array_add(r->requests, request);
	request->entry =
		admission_enqueue(r->admission, r->lane, request->deadline_us,
				  request, w->now, &refused, &reason);
	if (refused)
		end_request(w, refused,
			    (struct verdict){ VERDICT_NOT_RUN, reason }, false);
	router_wake(w, r);
}

void router_submit(struct world *w, struct fake_router *r, struct call *call)
{
	world_at(w, w->now, receive_call, r, call, 0, 0);
}
