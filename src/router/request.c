#include "router/request.h"

#include <string.h>

#include "base/hash.h"
#include "request/request_history.h"
#include "router/request_internal.h"

/* Interval of the check whether the caller has disconnected. */
#define CALLER_CHECK_US (INT64_C(50) * US_PER_MS)
/* Upload bytes read and discarded after a refusal, so that the caller reads the
 * refusal instead of failing while it writes. */
#define DISCARD_BYTES ((uint64_t)16 << 20)
#define IDEMPOTENCY_HEADER STR("idempotency-key")
/* Longest idempotency key that is accepted, in bytes. */
#define IDEMPOTENCY_KEY_MAX 128

void request_schedule(struct request *request)
{
	if (request->scheduled)
		return;
	request->scheduled = true;
	g_queue_push_tail_link(&request->worker->scheduled,
			       &request->scheduled_link);
}

void request_exchange_changed(struct exchange *exchange)
{
	struct copy *copy = exchange_data(exchange);

	request_schedule(copy->request);
}

void request_caller_ended(struct request *request, bool whole)
{
	(void)whole;
	request->caller = NULL;
	request_schedule(request);
}

/* Tells whether a copy has a ticket or an exchange. These point to the copy, so
 * the request must not be freed. */
static bool has_active_copy(const struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->copy_count; i++)
		if (request->copies[i].exchange ||
		    request->copies[i].stage == COPY_QUEUED)
			return true;
	return false;
}

/* Frees a request whose caller and copies have ended. */
static void request_free(struct request *request)
{
	struct worker *worker = request->worker;

	if (request->scheduled)
		g_queue_unlink(&worker->scheduled, &request->scheduled_link);
	g_queue_unlink(&worker->requests, &request->link);
	attempt_destroy(request->attempt);
	headers_destroy(request->answer_headers);
	body_unref(request->answer_body);
	body_unref(request->upload);
	claim_destroy(request->claim);
	target_clear(&request->target);
	g_free(request->path);
	g_free(request->method);
	g_free(request);
}

/* Updates the service's metrics for a request that ended. */
static void count_outcome(struct request *request, enum verdict_kind kind)
{
	struct router *router = request->worker->router;

	if (!request->service)
		return;
	counter_add(request->service->outcomes[kind], 1);
	histogram_record(request->service->whole_time,
			 clock_now_us(router->clock) - request->arrived_us);
}

/* Counts a refusal by its reason and verdict. */
static void count_refusal(struct request *request, struct verdict verdict)
{
	char *labels = g_strdup_printf("reason=\"%s\",verdict=\"%s\"",
				       verdict_reason_name(verdict.reason),
				       verdict_kind_name(verdict.kind));

	counter_add(metrics_counter(request->worker->router->metrics,
				    "auburn_refusals_total", labels,
				    "Refusals by reason."),
		    1);
	g_free(labels);
}

static void add_to_history(const struct request *request,
			   enum verdict_kind kind)
{
	struct router *router = request->worker->router;
	struct request_history_entry entry = {
		.keyed = request->keyed,
		.hash = request->hash,
		.copies = request->copy_count,
		.verdict = { kind, request->verdict.reason },
		.ended_us = clock_wall_us(router->clock),
		.took_us = clock_now_us(router->clock) - request->arrived_us,
	};

	g_strlcpy(entry.id, request->id, sizeof(entry.id));
	if (request->service)
		g_strlcpy(entry.service, request->service->name,
			  sizeof(entry.service));
	if (request->copy_count)
		g_strlcpy(entry.upstream,
			  request->copies[request->copy_count - 1]
				  .ticket.upstream,
			  sizeof(entry.upstream));
	request_history_add(router->request_history, &entry);
}

void request_complete(struct request *request, enum verdict_kind kind)
{
	request->stage = REQUEST_DONE;
	count_outcome(request, kind);
	add_to_history(request, kind);
}

void request_send_refusal(struct request *request, struct verdict verdict)
{
	request->verdict = verdict;
	request_complete(request, verdict.kind);
	count_refusal(request, verdict);
	if (!request->caller)
		return;
	caller_discard_upload(request->caller, DISCARD_BYTES);
	caller_refuse(request->caller, verdict);
}

void request_refuse(struct request *request, struct verdict verdict)
{
	if (request->stage == REQUEST_DONE)
		return;
	request->verdict = verdict;
	if (request->claim && request->stage == REQUEST_RUNNING)
		request_record_outcome(request);
	else
		request_send_refusal(request, verdict);
}

static void refuse_not_run(struct request *request, enum verdict_reason reason)
{
	request_refuse(request, (struct verdict){ VERDICT_NOT_RUN, reason });
}

/*
 * Parses and checks the head. Sets the service, profile, key hash and deadline.
 * Returns the reason to refuse the request, or REASON_NONE.
 */
static enum verdict_reason check_head(struct request *request)
{
	struct worker *worker = request->worker;
	const struct view *view = worker->view;
	const struct view_service *found;
	int64_t length = caller_upload_length(request->caller);

	if (!target_parse(caller_target(request->caller), &request->target,
			  NULL))
		return REASON_BAD_REQUEST;
	if (!view->settings ||
	    !router_settings_fresh(worker->router, worker->now_us))
		return REASON_NO_SETTINGS;
	found = view_service(view, request->target.service);
	request->service = found ? dispatch_service(worker->router->dispatch,
						    request->target.service)
				 : NULL;
	if (!request->service)
		return REASON_UNKNOWN_SERVICE;
	request->profile = *found->service->profile;
	request->profile.name = NULL;
	request->keyed = found->service->keyed;
	if (request->keyed && !request->target.key.len)
		return REASON_BAD_REQUEST;
	request->hash = hash_key(request->target.key);
	request->deadline_us =
		request->arrived_us + request->profile.deadline_us;
	if (length > 0 && (uint64_t)length > request->profile.body_limit)
		return REASON_TOO_LARGE;
	return REASON_NONE;
}

/* Tells whether a key is empty, too long or has characters other than visible
 * ASCII ones. */
static bool bad_idempotency_key(const struct header *key)
{
	size_t i;

	if (!key->value.len || key->value.len > IDEMPOTENCY_KEY_MAX)
		return true;
	for (i = 0; i < key->value.len; i++)
		if (!g_ascii_isgraph(key->value.data[i]))
			return true;
	return false;
}

/* Tells whether the request must run at most once: its profile has once set and
 * the caller sent an idempotency key. */
static bool wants_claim(const struct request *request)
{
	return request->profile.once &&
	       headers_find(caller_headers(request->caller),
			    IDEMPOTENCY_HEADER);
}

void request_create(struct worker *worker, struct caller *caller)
{
	struct request *request = g_new0(struct request, 1);
	enum verdict_reason reason;

	request->worker = worker;
	request->caller = caller;
	request->arrived_us = clock_now_us(worker->router->clock);
	request->link.data = request;
	request->scheduled_link.data = request;
	request->path = str_dup(caller_target(caller));
	request->method = str_dup(caller_method(caller));
	request->upload = body_ref(caller_upload(caller));
	g_strlcpy(request->id, caller_id(caller), sizeof(request->id));
	g_queue_push_tail_link(&worker->requests, &request->link);
	caller_set_data(caller, request);
	reason = check_head(request);
	if (reason == REASON_NONE && wants_claim(request) &&
	    bad_idempotency_key(
		    headers_find(caller_headers(caller), IDEMPOTENCY_HEADER)))
		reason = REASON_BAD_REQUEST;
	if (reason != REASON_NONE)
		refuse_not_run(request, reason);
}

static bool upload_is_over_limit(const struct request *request)
{
	return caller_uploaded_bytes(request->caller) >
	       request->profile.body_limit;
}

/*
 * Tells whether enough of the upload is buffered to send the request. An upload
 * below CALLER_KEEP_BYTES is buffered whole, so that a slow caller does not
 * occupy a slot at an upstream.
 */
static bool upload_is_ready(const struct request *request)
{
	return body_ended(request->upload) ||
	       body_peek(request->upload).len >= CALLER_KEEP_BYTES;
}

void request_start(struct request *request)
{
	bool upload = caller_upload_length(request->caller) != 0;
	struct attempt_options options = {
		.idempotent = request->profile.idempotent,
		.keyed = request->keyed,
		/* Two copies cannot read the same upload at once. */
		.hedge = request->profile.hedge && !upload,
		.deadline_us = request->deadline_us,
		.budget = request->service->budget,
		.retry_percent = request->profile.retry_percent,
	};

	request->attempt = attempt_create(&options);
	request->stage = REQUEST_RUNNING;
	request_run_actions(request);
}

/* Refuses a poisoned request, else acquires the claim or sends the request. */
static void start_after_upload(struct request *request)
{
	struct dispatch *dispatch = request->worker->router->dispatch;

	request->fingerprint = poison_fingerprint(
		request->target.service, str_from(request->method),
		str_from(request->path), body_peek(request->upload));
	if (dispatch_check_poison(dispatch, request->fingerprint) ==
	    POISON_POISONED)
		refuse_not_run(request, REASON_POISONED);
	else if (wants_claim(request))
		request_claim(request);
	else
		request_start(request);
}

/* Starts the request when enough of its upload is buffered. */
static void advance_upload(struct request *request)
{
	if (upload_is_over_limit(request)) {
		refuse_not_run(request, REASON_TOO_LARGE);
		return;
	}
	if (upload_is_ready(request))
		start_after_upload(request);
	else if (request->worker->now_us >= request->deadline_us)
		refuse_not_run(request, REASON_DEADLINE_IN_QUEUE);
}

/* Tells whether a refusal is still possible: no part of an answer was passed to
 * the caller. */
static bool can_still_refuse(const struct request *request)
{
	return request->answer_pending || !request->caller ||
	       !caller_answer_begun(request->caller);
}

/*
 * Ends a request whose answer was truncated: refuses it while nothing was
 * passed to the caller, else closes the caller's connection before the answer's
 * end.
 */
static void abort_answer(struct request *request, struct verdict verdict)
{
	request->verdict = verdict;
	if (can_still_refuse(request)) {
		request->answer_pending = false;
		request->winner = NULL;
		request_refuse(request, verdict);
		return;
	}
	caller_abort(request->caller);
	if (request->claim)
		request_record_outcome(request);
	else
		request_complete(request, verdict.kind);
}

/* Ends a request whose answer is complete: records the outcome first when the
 * request holds a claim. */
static void finish_answered(struct request *request)
{
	if (request->claim) {
		request->verdict = (struct verdict){ VERDICT_RAN, REASON_NONE };
		request_record_outcome(request);
		return;
	}
	request_complete(request, VERDICT_RAN);
}

/*
 * Refuses the request. After a broken connection the refusal is delayed by
 * POISON_SPREAD_US: the crash report must reach the other routers before the
 * caller can send the request to one of them again. Call again until the
 * request is refused.
 */
static void refuse_after_report(struct request *request, struct verdict verdict)
{
	int64_t now_us = request->worker->now_us;

	if (request->connection_broke && !request->refuse_not_before_us)
		request->refuse_not_before_us = now_us + POISON_SPREAD_US;
	if (request->too_large)
		verdict.reason = REASON_TOO_LARGE;
	if (now_us >= request->refuse_not_before_us)
		request_refuse(request, verdict);
}

/* Carries out an action that ends the request: finish, abort or refuse. */
static void run_final_action(struct request *request,
			     const struct attempt_action *action)
{
	if (action->kind == ATTEMPT_FINISH)
		finish_answered(request);
	else if (action->kind == ATTEMPT_ABORT)
		abort_answer(request, action->verdict);
	else
		refuse_after_report(request, action->verdict);
}

void request_event(struct request *request, enum attempt_event_kind kind)
{
	struct attempt_event event = { .kind = kind };

	attempt_event(request->attempt, &event, request->worker->now_us);
}

void request_run_actions(struct request *request)
{
	while (request->stage == REQUEST_RUNNING) {
		struct attempt_action action =
			attempt_next(request->attempt, request->worker->now_us);

		switch (action.kind) {
		case ATTEMPT_WAIT:
			return;
		case ATTEMPT_SEND:
			copy_send(request, &action);
			break;
		case ATTEMPT_CANCEL:
			copy_cancel(&request->copies[action.copy]);
			break;
		case ATTEMPT_ANSWER:
			request->winner = &request->copies[action.copy];
			request_answer(request);
			break;
		default:
			run_final_action(request, &action);
			if (request->stage == REQUEST_RUNNING)
				return;
			break;
		}
	}
}

/* Resumes the transfer of the upload and of the answer. */
static void resume_transfers(struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->copy_count; i++)
		if (request->copies[i].exchange)
			exchange_resume(request->copies[i].exchange);
	if (!request->caller)
		return;
	if (!body_ended(request->upload) && body_room(request->upload))
		caller_resume_upload(request->caller);
	if (request->winner && !request->answer_pending)
		caller_resume_answer(request->caller);
}

/* Cancels a running request when its upload exceeds the limit. */
static void check_running_upload(struct request *request)
{
	if (!request->caller || !upload_is_over_limit(request))
		return;
	request->too_large = true;
	request_event(request, ATTEMPT_CANCELLED);
}

/* Handles what happened to a running request and its copies. */
static void advance_running(struct request *request)
{
	uint32_t i;

	/* A request with a claim and a complete upload continues after its
	 * caller disconnects, so that the outcome is recorded. */
	if (!request->caller &&
	    (!request->claim || !body_ended(request->upload)))
		request_event(request, ATTEMPT_CANCELLED);
	check_running_upload(request);
	request_run_actions(request);
	for (i = 0; i < request->copy_count; i++)
		copy_handle_progress(&request->copies[i]);
	request_run_actions(request);
	/* An answer that is too long to be recorded is passed on at once, as
	 * its end need not be awaited. */
	if (request->answer_pending &&
	    body_peek(request->answer_body).len > CLAIM_BODY_MAX)
		request_answer(request);
	resume_transfers(request);
}

/* Cancels the copies of a request whose outcome is decided, and discards the
 * rest of its upload. */
static void advance_done(struct request *request)
{
	uint32_t i;

	for (i = 0; i < request->copy_count; i++)
		copy_cancel(&request->copies[i]);
	if (!request->caller)
		return;
	if (!body_ended(request->upload))
		caller_discard_upload(request->caller,
				      DISCARD_BYTES +
					      request->profile.body_limit);
	caller_resume_answer(request->caller);
}

void request_advance(struct request *request)
{
	request->scheduled = false;
	switch (request->stage) {
	case REQUEST_UPLOADING:
		if (request->caller)
			advance_upload(request);
		else
			request->stage = REQUEST_DONE;
		break;
	case REQUEST_RUNNING:
		advance_running(request);
		break;
	case REQUEST_CLAIMING:
	case REQUEST_CLOSING:
	case REQUEST_DONE:
		break;
	}
	if (request->stage == REQUEST_DONE)
		advance_done(request);
	if (request->stage == REQUEST_DONE && !request->caller &&
	    !request->claim_job_sent && !has_active_copy(request))
		request_free(request);
}

/* Aborts the exchange with a caller that disconnected while waiting for the
 * answer. */
static void check_caller_connected(struct request *request)
{
	if (request->worker->now_us < request->caller_check_us)
		return;
	request->caller_check_us = request->worker->now_us + CALLER_CHECK_US;
	if (request->caller && !caller_answered(request->caller) &&
	    caller_disconnected(request->caller))
		caller_abort(request->caller);
}

void request_tick(struct request *request)
{
	uint32_t i;

	if (request->stage == REQUEST_DONE)
		return;
	check_caller_connected(request);
	for (i = 0; i < request->copy_count; i++)
		copy_tick(&request->copies[i]);
	request_schedule(request);
}
