/*
 * Attempts of a request at upstreams: builds and sends the message, decides
 * from the answer or the broken connection whether the request ran, and
 * retries it if that is allowed.
 */
#include <string.h>

#include "base/hash.h"
#include "entry/authorize.h"
#include "entry/forward_impl.h"

/* Most attempts of a request, including those that did not run. */
#define ATTEMPTS_TOTAL_MAX 4
/* A backup attempt needs this share of the retry budget to be left, since
 * retries after failures take precedence. */
#define BACKUP_MIN_BUDGET 0.5
/* Delay, in seconds, before a request that its key's owner refused is sent
 * again; by then the new owner map has usually arrived. */
#define KEY_RETRY_S 0.04
/* Time, in seconds, after a request's time limit from which on no answer of its
 * upstream is awaited any more. Upstreams know the limit. */
#define DETACHED_S 1.0
/* Initial buffer size for the head of a message, in bytes. */
#define HEAD_BYTES 512

static const struct link_ops link_ops;

static bool is_idempotent(const struct proxy_request *req)
{
	return route_kind_is_idempotent(req->kind);
}

/* Whether a header field of the caller's request is passed on; build_head()
 * writes Content-Length itself. */
static bool passes_to_upstream(const struct forward *forward, struct str name)
{
	return !headers_name_equal(name, STR("content-length")) &&
	       !headers_name_equal(name, STR("expect")) &&
	       !forward->options.protocol->is_rewritten_field(
		       name, customers_required(forward->options.customers));
}

/* Builds the head of the HTTP request for an upstream; the caller frees it.
 *
 * @param left_s seconds until the request must be answered */
static GString *build_head(const struct proxy_request *req,
			   const struct upstream *upstream, double left_s)
{
	const struct protocol *protocol = req->forward->options.protocol;
	struct http_request *caller = req->caller;
	GString *out = g_string_sized_new(HEAD_BYTES);
	size_t i;

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", caller->method->str,
			       caller->target->str);
	for (i = 0; i < headers_count(caller->headers); i++) {
		const struct header *h = headers_at(caller->headers, i);

		if (passes_to_upstream(req->forward, h->name))
			g_string_append_printf(out, "%.*s: %.*s\r\n",
					       STR_ARG(h->name),
					       STR_ARG(h->value));
	}
	protocol->write_fields(out, left_s, upstream->entry.id,
			       req->customer ? req->customer->name : NULL);
	if (req->has_body || caller->body->len)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       caller->body->len);
	g_string_append(out, "\r\n");
	return out;
}

/* Returns the index of an unused element of req->attempts, or -1. */
static int unused_attempt_index(const struct proxy_request *req)
{
	int i;

	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (!req->attempts[i])
			return i;
	return -1;
}

static unsigned int attempts_in_flight(const struct proxy_request *req)
{
	unsigned int count = 0;
	int i;

	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		count += req->attempts[i] != NULL;
	return count;
}

static void record_tried_upstream(struct proxy_request *req,
				  const struct upstream *upstream)
{
	if (req->tried_count < TRIED_MAX)
		req->tried[req->tried_count++] =
			g_intern_string(upstream->entry.id);
}

void attempt_send(struct proxy_request *req, struct upstream *upstream,
		  bool backup)
{
	struct forward *forward = req->forward;
	struct upstream_attempt *attempt = g_new0(struct upstream_attempt, 1);
	double now = forward_now(forward);
	GString *head = build_head(req, upstream, req->give_up_s - now);
	struct link_request request = {
		.head_only = !strcmp(req->caller->method->str, "HEAD"),
		.avoid_stale = !is_idempotent(req),
		/* Without an id, only the first answer on a connection can be
		 * told to be that of this request. */
		.new_connection =
			!req->id.len || dispatch_was_tried(req, upstream),
		.id_hash = req->id.len ? hash_key(req->id) : 0,
	};

	attempt->req = req;
	attempt->forward = forward;
	attempt->fingerprint = req->fingerprint;
	attempt->id = str_dup(req->id);
	attempt->upstream = upstream_ref(upstream);
	attempt->started_s = now;
	attempt->give_up_s = req->give_up_s;
	attempt->busy_before = load_in_flight(&upstream->load, now);
	if (req->key >= 0) {
		attempt->fence =
			key_map_find(req->service->keys, req->key)->fence;
		refused_grants_sent(req->service->refused_grants,
				    attempt->fence, now);
	}
	req->attempts[unused_attempt_index(req)] = attempt;
	if (!req->sends++ && req->customer)
		customers_record_send(forward->options.customers, req->customer,
				      now);
	record_tried_upstream(req, upstream);
	load_start(&upstream->load, now);
	upstream_record_send(forward->options.roster, upstream);
	request_log_sent(attempt, backup);
	request.message = (struct str){ head->str, head->len };
	request.body = req->caller->shared_body;
	attempt->link = links_send(forward->options.links, upstream, &request,
				   &link_ops, attempt);
	g_string_free(head, TRUE);
	proxy_request_arm_timer(req);
}

/* Removes an attempt from its request, or from the forwarder's detached
 * attempts if its caller is gone. Doesn't close the connection. */
static void attempt_unlink(struct upstream_attempt *attempt)
{
	struct proxy_request *req = attempt->req;
	int i;

	if (!req) {
		g_hash_table_remove(attempt->forward->detached_attempts,
				    attempt);
		return;
	}
	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (req->attempts[i] == attempt)
			req->attempts[i] = NULL;
}

static void attempt_free(struct upstream_attempt *attempt)
{
	upstream_unref(attempt->upstream);
	g_free(attempt->id);
	g_free(attempt);
}

/* Records how an attempt ended in the load estimate of its upstream, and
 * unlinks the attempt. The caller frees it. */
static void attempt_end(struct upstream_attempt *attempt,
			enum load_outcome outcome)
{
	struct forward *forward = attempt->forward;
	const struct proxy_request *req = attempt->req;
	double now = forward_now(forward);
	double took = now - attempt->started_s;
	double relative = 1;

	if (outcome == LOAD_ANSWERED && req) {
		double slots = attempt->upstream->load.slots;
		double ahead = attempt->busy_before + 1 - slots;

		/* Time in the upstream's queue doesn't count as slowness. */
		relative = took / req->stats->mean_s;
		if (ahead > 0)
			relative /= 1 + ahead / slots;
	}
	load_end(&attempt->upstream->load, outcome, relative, now);
	attempt_unlink(attempt);
}

/* Returns what an attempt without an answer says about its upstream. Less time
 * than an answer takes says nothing: else callers with short deadlines would
 * make healthy upstreams look like failing ones. */
static enum load_outcome
unanswered_outcome(const struct upstream_attempt *attempt, double now)
{
	const struct proxy_request *req = attempt->req;

	if (now < req->give_up_s ||
	    now - attempt->started_s < req->stats->mean_s)
		return LOAD_CANCELLED;
	return LOAD_TIMED_OUT;
}

void attempt_cancel_all(struct proxy_request *req)
{
	struct forward *forward = req->forward;
	double now = forward_now(forward);
	int i;

	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++) {
		struct upstream_attempt *attempt = req->attempts[i];

		if (!attempt)
			continue;
		req->attempts[i] = NULL;
		if (!is_idempotent(req) && link_may_have_sent(attempt->link)) {
			/* A request that must run at most once isn't aborted:
			 * the upstream may be running it. */
			attempt->req = NULL;
			g_hash_table_add(forward->detached_attempts, attempt);
			continue;
		}
		load_end(&attempt->upstream->load,
			 unanswered_outcome(attempt, now), 1, now);
		link_close(attempt->link);
		attempt_free(attempt);
	}
}

void attempt_end_detached(struct forward *forward)
{
	double now = forward_now(forward);
	GHashTableIter iter;
	gpointer key;

	g_hash_table_iter_init(&iter, forward->detached_attempts);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct upstream_attempt *attempt = key;

		if (now < attempt->give_up_s + DETACHED_S)
			continue;
		g_hash_table_iter_remove(&iter);
		load_end(&attempt->upstream->load, LOAD_TIMED_OUT, 1, now);
		link_close(attempt->link);
		attempt_free(attempt);
	}
}

bool attempt_may_run(const struct proxy_request *req)
{
	int i;

	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (req->attempts[i] &&
		    link_may_have_sent(req->attempts[i]->link))
			return true;
	return false;
}

bool attempt_may_retry(const struct proxy_request *req, bool ran)
{
	double left = req->give_up_s - forward_now(req->forward);

	if (ran && !is_idempotent(req))
		return false;
	if (req->runs >= req->max_attempts || req->sends >= ATTEMPTS_TOTAL_MAX)
		return false;
	return left > req->stats->mean_s / 2;
}

/*
 * Retries a request after an attempt ended, or answers the caller: with an
 * upstream's error answer if there was one, else with an error of this daemon.
 * Does nothing while another attempt is in flight or the request is queued.
 *
 * @param ran the attempt may have run
 * @param arrived the upstream may have received the attempt; only then does a
 *        retry consume retry budget
 * @param reason one word, written to the log if the request is refused
 */
static void retry_or_finish(struct proxy_request *req, bool ran, bool arrived,
			    const char *reason)
{
	struct forward *forward = req->forward;
	double now = forward_now(forward);

	if (attempts_in_flight(req) || req->queued)
		return;
	if (attempt_may_retry(req, ran) &&
	    !crash_watch_blocks(forward->options.crashes, req->fingerprint) &&
	    (!arrived || retry_window_consume(&req->service->retries, now))) {
		counter_add(forward->retries, 1);
		dispatch_request(req);
		return;
	}
	proxy_request_refuse(req, 503, dispatch_retry_after_s(req), reason);
}

/* Copies an upstream's error answer, unless there is a copy of an earlier one
 * or no memory is left for it. The caller gets it if no later attempt succeeds.
 */
static void save_error_answer(struct proxy_request *req,
			      const struct http_reply *reply)
{
	size_t i;

	if (req->error_answer ||
	    !byte_budget_take(req->forward->options.answers, 0,
			      reply->body->len))
		return;
	req->error_answer = g_new0(struct http_reply, 1);
	req->error_answer->status = reply->status;
	req->error_answer->headers = headers_create();
	req->error_answer->body =
		g_string_new_len(reply->body->str, (gssize)reply->body->len);
	for (i = 0; i < headers_count(reply->headers); i++) {
		const struct header *h = headers_at(reply->headers, i);

		headers_add(req->error_answer->headers, h->name, h->value);
	}
}

/* Whether a status tells a caller that the request did not run. */
static bool status_means_not_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Whether another upstream answered, which has taken over the address. */
static bool is_by_another_upstream(const struct upstream_attempt *attempt,
				   const struct reply_facts *facts)
{
	return facts->refused_by.len &&
	       !str_equal(facts->refused_by,
			  str_from(attempt->upstream->entry.id));
}

/* Notes that a key's owner doesn't hold the key: requests for it wait for other
 * owners, or for the grant. */
static void note_key_refusal(const struct upstream_attempt *attempt)
{
	struct forward *forward = attempt->forward;
	struct service *service = attempt->req->service;
	double now = forward_now(forward);

	counter_add(forward->key_refusals, 1);
	if (!refused_grants_note(service->refused_grants, attempt->fence,
				 attempt->started_s, now))
		return;
	event_log_write(forward->options.log, "info", "keys",
			"event=grant_refused service=%s key=%d owner=%s"
			" fence=%" PRIu64 " map=%" PRIu64
			" map_age_ms=%.0f wait_ms=%.0f id=%s",
			service->name, attempt->req->key,
			attempt->upstream->entry.id, attempt->fence,
			key_map_shown_version(service->keys->version),
			(now - service->keys_updated_s) * 1000,
			refused_grants_wait_s(service->refused_grants,
					      attempt->fence, now) *
				1000,
			attempt->id);
}

/* Handles an answer that says that the upstream did not run the request. */
static void handle_refusal(struct upstream_attempt *attempt,
			   const struct http_reply *reply,
			   const struct reply_facts *facts)
{
	struct proxy_request *req = attempt->req;
	struct upstream *upstream = attempt->upstream;

	if (is_by_another_upstream(attempt, facts))
		upstream->replaced = true;
	else if (req && req->key >= 0) {
		if (reply->status == 421)
			note_key_refusal(attempt);
		req->not_before_s = forward_now(req->forward) + KEY_RETRY_S;
		req->shed_with_room = reply->status == 503 && facts->has_load &&
				      facts->running < facts->slots;
	}
	attempt_end(attempt, LOAD_SHED);
	attempt_free(attempt);
	if (!req)
		return;
	if (reply->status == 400) {
		/* The request is malformed, so every upstream would refuse it.
		 */
		proxy_request_answer(req, reply, NULL);
		return;
	}
	retry_or_finish(req, false, true, "upstream_refused");
}

/*
 * Handles an error answer, or an answer that isn't the upstream's own.
 *
 * @param usable the answer may be passed to the caller
 */
static void handle_failure(struct upstream_attempt *attempt,
			   const struct http_reply *reply, bool usable)
{
	struct proxy_request *req = attempt->req;

	attempt_end(attempt, LOAD_FAILED);
	attempt_free(attempt);
	if (!req)
		return;
	req->runs++;
	req->may_have_run = true;
	/* The request may have run, so the caller must not get a status that
	 * denies it. */
	if (usable && !status_means_not_run(reply->status))
		save_error_answer(req, reply);
	retry_or_finish(req, true, true, "upstream_failed");
}

static void handle_answer(struct upstream_attempt *attempt,
			  const struct http_reply *reply)
{
	struct proxy_request *req = attempt->req;
	struct forward *forward = attempt->forward;
	double took = forward_now(forward) - attempt->started_s;

	attempt_end(attempt, LOAD_ANSWERED);
	if (req && req->key >= 0)
		refused_grants_ran(req->service->refused_grants, attempt->fence,
				   attempt->started_s);
	if (req) {
		route_stats_add(req->stats, took, (double)reply->body->len);
		crash_watch_answered(forward->options.crashes,
				     req->fingerprint);
		proxy_request_answer(req, reply, attempt);
	}
	attempt_free(attempt);
}

/* Applies the load report that came with an answer, if there is one. */
static void record_load_report(struct upstream *upstream,
			       const struct reply_facts *facts, double now)
{
	struct load_report report = {
		.running = facts->running,
		.waiting = facts->waiting,
		.slots = facts->slots,
		.work_factor = facts->work_factor,
	};

	if (facts->has_load)
		load_report(&upstream->load, &report, now);
}

/* Whether the upstream made the answer, rather than another one at its address
 * or something on the way. */
static bool is_own_answer(const struct upstream_attempt *attempt,
			  const struct reply_facts *facts)
{
	return (facts->signed_by_upstream || facts->not_run) &&
	       !is_by_another_upstream(attempt, facts);
}

/* Applies the limit that an upstream's own answer names, or its end. */
static void record_limit(const struct upstream_attempt *attempt,
			 const struct reply_facts *facts)
{
	struct forward *forward = attempt->forward;
	struct upstream_limit *limit = &attempt->upstream->limit;

	if (!is_own_answer(attempt, facts))
		return;
	if (!upstream_limit_apply_answer(limit, facts->limit_per_s,
					 attempt->started_s,
					 forward_now(forward)))
		return;
	counter_add(forward->limit_changes, 1);
	event_log_write(forward->options.log, "info", "limits",
			"event=%s upstream=%s per_s=%.2f",
			limit->limited ? "named" : "lifted",
			attempt->upstream->entry.id, limit->per_s);
}

/* Applies what an upstream's own answer says of its leaving, and the pause that
 * it asks for. */
static void record_signals(const struct upstream_attempt *attempt,
			   const struct reply_facts *facts)
{
	struct forward *forward = attempt->forward;
	struct upstream *upstream = attempt->upstream;
	double now = forward_now(forward);

	if (!is_own_answer(attempt, facts))
		return;
	if (facts->leaving &&
	    roster_set_leaving(forward->options.roster, upstream)) {
		event_log_write(forward->options.log, "info", "roster",
				"event=said_leaving upstream=%s id=%s",
				upstream->entry.id, attempt->id);
		forward->options.said_leaving(forward->options.ctx);
	}
	if (facts->pause_s <= 0 ||
	    now + facts->pause_s < upstream->paused_until_s)
		return;
	upstream->paused_until_s = now + facts->pause_s;
	counter_add(forward->pauses, 1);
	event_log_write(forward->options.log, "info", "roster",
			"event=paused upstream=%s pause_s=%.2f id=%s",
			upstream->entry.id, facts->pause_s, attempt->id);
}

/* Whether an answer without an id may be a repetition of that to an earlier
 * request on the connection. */
static bool is_unattributable(const struct upstream_attempt *attempt,
			      const struct reply_facts *facts)
{
	return !facts->id.len && link_used_before(attempt->link);
}

static bool on_reply(void *user, const struct http_reply *reply)
{
	struct upstream_attempt *attempt = user;
	struct forward *forward = attempt->forward;
	struct proxy_request *req = attempt->req;
	struct service *service = attempt->upstream->service;
	struct reply_facts facts;
	bool success = reply->status / 100 == 2;

	forward->options.protocol->read_reply(reply->status, reply->headers,
					      &facts);
	if (facts.id.len && !str_equal(facts.id, str_from(attempt->id))) {
		request_log_reply(attempt, reply->status, "of_another_request");
		return false;
	}
	record_load_report(attempt->upstream, &facts, forward_now(forward));
	record_limit(attempt, &facts);
	record_signals(attempt, &facts);
	if (is_unattributable(attempt, &facts)) {
		request_log_reply(attempt, reply->status, "without_id");
		link_retire(attempt->link);
		handle_failure(attempt, reply, false);
	} else if (facts.not_run && !success) {
		request_log_reply(attempt, reply->status, "not_run");
		handle_refusal(attempt, reply, &facts);
	} else if (success &&
		   (!facts.signed_by_upstream || facts.has_content_encoding ||
		    (req && !facts.id.len && req->id.len))) {
		request_log_reply(attempt, reply->status,
				  "not_the_upstreams_answer");
		handle_failure(attempt, reply, false);
	} else if (reply->status >= 500 ||
		   status_means_not_run(reply->status)) {
		request_log_reply(attempt, reply->status, "failed");
		handle_failure(attempt, reply, !facts.has_content_encoding);
	} else {
		request_log_reply(attempt, reply->status, "answered");
		handle_answer(attempt, reply);
	}
	dispatch_queued_soon(forward, service);
	return true;
}

/* What is known when a connection ended without an answer. */
struct end_info {
	/** Word for the log. */
	const char *name;
	/** The upstream may have received the request. */
	bool arrived;
	/** What it says about the upstream. */
	enum load_outcome outcome;
};

static const struct end_info ends[] = {
	[HTTP_CHANNEL_NOT_CONNECTED] = { "not_connected", false,
					 LOAD_UNREACHABLE },
	[HTTP_CHANNEL_REFUSED] = { "connection_refused", false,
				   LOAD_UNREACHABLE },
	[HTTP_CHANNEL_UNSENT] = { "unsent", false, LOAD_UNREACHABLE },
	[HTTP_CHANNEL_RESET] = { "connection_lost", true, LOAD_UNREACHABLE },
	[HTTP_CHANNEL_BROKEN] = { "answer_broken", true, LOAD_FAILED },
	[HTTP_CHANNEL_NO_SOCKET] = { "no_socket", false, LOAD_CANCELLED },
	[HTTP_CHANNEL_WITHDRAWN] = { "withdrawn", false, LOAD_CANCELLED },
};

static void on_ended(void *user, enum http_channel_end end)
{
	struct upstream_attempt *attempt = user;
	struct forward *forward = attempt->forward;
	struct proxy_request *req = attempt->req;
	struct upstream *upstream = attempt->upstream;
	struct service *service = upstream->service;

	request_log_reply(attempt, 0, ends[end].name);
	if (end == HTTP_CHANNEL_RESET) {
		struct crash crash = {
			.request = attempt->fingerprint,
			.upstream = upstream->entry.id,
			.started_ms = upstream->entry.started_ms,
		};

		crash_watch_connection_lost(forward->options.crashes, &crash,
					    req ? req->id : STR("-"));
		/* The request is to blame only if the upstream is down. */
		links_check(forward->options.links, upstream);
	}
	attempt_end(attempt, ends[end].outcome);
	attempt_free(attempt);
	if (req) {
		if (ends[end].arrived) {
			req->runs++;
			req->may_have_run = true;
		}
		retry_or_finish(req, ends[end].arrived, ends[end].arrived,
				ends[end].name);
	}
	dispatch_queued_soon(forward, service);
}

/* Whether the upstream still takes the request: it may have begun to leave
 * while the connection was being opened. */
static bool may_send(void *user)
{
	const struct upstream_attempt *attempt = user;
	const struct roster *roster = attempt->forward->options.roster;

	if (attempt->req && attempt->req->key >= 0)
		return upstream_serves_keys(roster, attempt->upstream);
	return upstream_takes_work(roster, attempt->upstream);
}

static const struct link_ops link_ops = {
	.reply = on_reply,
	.ended = on_ended,
	.may_send = may_send,
};

/* Returns the loop time at which a backup attempt is due; G_MAXDOUBLE if none
 * is allowed. */
static double backup_due_s(const struct proxy_request *req)
{
	const struct upstream_attempt *first = NULL;
	int i;

	if (!is_idempotent(req) || req->key >= 0 ||
	    attempts_in_flight(req) != 1 || req->sends >= req->max_attempts)
		return G_MAXDOUBLE;
	for (i = 0; i < CONCURRENT_ATTEMPTS_MAX; i++)
		if (req->attempts[i])
			first = req->attempts[i];
	return first->started_s + route_stats_overdue_s(req->stats);
}

void attempt_send_backup(struct proxy_request *req)
{
	struct forward *forward = req->forward;
	double now = forward_now(forward);
	struct upstream *upstream;

	if (crash_watch_blocks(forward->options.crashes, req->fingerprint) ||
	    authorize_send(req))
		return;
	if (now + TIMER_TOLERANCE_S < backup_due_s(req) ||
	    retry_window_left(&req->service->retries, now) < BACKUP_MIN_BUDGET)
		return;
	if (req->give_up_s - now < req->stats->mean_s / 2)
		return;
	if (dispatch_choose(req, &upstream) != CHOICE_FOUND ||
	    load_in_flight(&upstream->load, now) + 1 > upstream->load.slots ||
	    !retry_window_consume(&req->service->retries, now))
		return;
	counter_add(forward->backups, 1);
	attempt_send(req, upstream, true);
}

/* Period, in seconds, of checks whether a backup attempt can be sent while the
 * answer is overdue. */
#define BACKUP_AGAIN_S 0.05
/* Shortest time, in seconds, after which a request's timer fires. */
#define TIMER_MIN_S 0.001

void proxy_request_arm_timer(struct proxy_request *req)
{
	struct ev_loop *ev = req->forward->options.loop->ev;
	double now = forward_now(req->forward);
	double due = backup_due_s(req);
	double next = req->give_up_s;

	if (due < next)
		next = due > now ? due : MIN(next, now + BACKUP_AGAIN_S);
	ev_timer_stop(ev, &req->timer);
	ev_now_update(ev);
	ev_timer_set(&req->timer, MAX(next - now, TIMER_MIN_S), 0);
	ev_timer_start(ev, &req->timer);
}
