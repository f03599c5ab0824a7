#include <string.h>

#include "base/hash.h"
#include "router/request_internal.h"

#define JSON_TYPE STR("application/json")

/* Returns a hash of method, path and upload. A repeat with the same idempotency
 * key must have the same hash. */
static uint64_t request_digest(const struct request *request)
{
	uint64_t digest = hash_key(str_from(request->method));

	digest = hash_seeded(str_from(request->path), digest);
	return hash_seeded(body_peek(request->upload), digest);
}

static void on_claim_done(struct message *message);

/* Sends the claim to the control thread, which returns it by on_claim_done().
 */
static void send_claim_job(struct request *request)
{
	request->claim_job.claim = request->claim;
	request->claim_job.closing = request->stage == REQUEST_CLOSING;
	request->claim_job.mailbox = request->worker->mailbox;
	request->claim_job.done = on_claim_done;
	request->claim_job_sent = true;
	control_run_claim(request->worker->router->control,
			  &request->claim_job);
}

void request_claim(struct request *request)
{
	struct router *router = request->worker->router;
	const struct header *key = headers_find(caller_headers(request->caller),
						STR("idempotency-key"));
	struct claim_options options = {
		.service = request->target.service,
		.key = key->value,
		.digest = request_digest(request),
		.attempt = str_from(request->id),
		.claimant = str_from(router->options.daemon),
		.running_us = request->profile.deadline_us +
			      request->profile.stall_us,
		.wall_us = clock_wall_us(router->clock),
	};

	request->claim = claim_create(&options);
	request->stage = REQUEST_CLAIMING;
	send_claim_job(request);
}

/* Returns a complete body of these bytes; release it with body_unref(). */
static struct body *create_body(struct str bytes)
{
	struct body *body = body_create(bytes.len + 1, 0);

	body_append(body, bytes);
	body_end(body);
	return body;
}

/* Answers with the recorded outcome of an earlier request with the same key.
 * When its body was not recorded, being too long or not UTF-8, the answer's
 * body is the verdict. */
static void answer_from_record(struct request *request)
{
	const struct claim_record *record = claim_record(request->claim);
	struct headers *headers = headers_create();
	struct str type = record->whole ? record->type : JSON_TYPE;
	struct str bytes = record->body;
	struct body *body;

	if (!record->whole)
		bytes = STR("{\"verdict\":\"ran\",\"reason\":\"none\"}");
	if (type.len)
		headers_add(headers, STR("Content-Type"), type);
	if (!record->whole)
		headers_add(headers, STR("Auburn-Verdict"), STR("ran"));
	body = create_body(bytes);
	if (request->caller)
		caller_answer(request->caller, record->status, headers,
			      (int64_t)bytes.len, body);
	body_unref(body);
	headers_destroy(headers);
	request_complete(request, VERDICT_RAN);
}

/* Continues after request_claim(): the claim was acquired or refused, or an
 * earlier request with the same key has an outcome. */
static void on_claim_acquired(struct request *request)
{
	switch (claim_state(request->claim)) {
	case CLAIM_HELD:
		if (request->caller) {
			request_start(request);
			return;
		}
		request->verdict =
			(struct verdict){ VERDICT_NOT_RUN, REASON_CANCELLED };
		request_record_outcome(request);
		return;
	case CLAIM_RECORDED:
		answer_from_record(request);
		return;
	default:
		request_send_refusal(request, claim_verdict(request->claim));
		return;
	}
}

/* Passes the saved answer to the caller. Does nothing without an answer or
 * after the caller disconnected. */
static void send_pending_answer(struct request *request)
{
	if (request->answer_pending && request->caller)
		caller_answer(request->caller, request->answer_status,
			      request->answer_headers, request->answer_length,
			      request->answer_body);
	request->answer_pending = false;
}

/* Continues after request_record_outcome(): gives the caller the saved answer
 * or the refusal. */
static void on_outcome_recorded(struct request *request)
{
	if (request->verdict.kind == VERDICT_RAN) {
		send_pending_answer(request);
		request_complete(request, VERDICT_RAN);
	} else if (request->winner && !request->answer_pending) {
		/* A part of the answer was sent: no refusal is possible. */
		request_complete(request, request->verdict.kind);
	} else {
		request_send_refusal(request, request->verdict);
	}
}

/* Called in the worker's thread: the control thread returns the claim. */
static void on_claim_done(struct message *message)
{
	struct claim_job *job = (struct claim_job *)message;
	struct request *request =
		(struct request *)((char *)job -
				   offsetof(struct request, claim_job));

	request->claim_job_sent = false;
	if (request->stage == REQUEST_CLOSING)
		on_outcome_recorded(request);
	else
		on_claim_acquired(request);
	request_schedule(request);
}

void request_record_outcome(struct request *request)
{
	bool ran = request->verdict.kind == VERDICT_RAN;
	struct claim_record record = { .status = request->answer_status };
	const struct header *type = NULL;

	if (request->answer_headers)
		type = headers_find(request->answer_headers,
				    STR("content-type"));
	if (request->answer_pending && body_ended(request->answer_body) &&
	    body_peek(request->answer_body).len <= CLAIM_BODY_MAX) {
		record.whole = true;
		record.body = body_peek(request->answer_body);
		record.type = type ? type->value : STR("");
	}
	claim_close(request->claim, request->verdict, ran ? &record : NULL);
	request->stage = REQUEST_CLOSING;
	send_claim_job(request);
}

/* Saves the winner's answer: copies its head, references its body. */
static void save_answer(struct request *request)
{
	struct exchange *exchange = request->winner->exchange;
	struct headers *headers = exchange_headers(exchange);
	size_t i;

	request->answer_status = exchange_status(exchange);
	request->answer_length = exchange_body_length(exchange);
	request->answer_body = body_ref(exchange_body(exchange));
	request->answer_headers = headers_create();
	headers_strip(headers);
	for (i = 0; i < headers_count(headers); i++)
		headers_add(request->answer_headers,
			    headers_at(headers, i)->name,
			    headers_at(headers, i)->value);
	request->answer_pending = true;
}

void request_answer(struct request *request)
{
	struct router *router = request->worker->router;

	if (request->answer_pending) {
		send_pending_answer(request);
		return;
	}
	histogram_record(request->service->head_time,
			 clock_now_us(router->clock) - request->arrived_us);
	save_answer(request);
	if (!request->claim)
		send_pending_answer(request);
}
