/*
 * Copies of a request at upstreams: what is sent, what an answer or a broken
 * connection says about whether the request ran, and whether it is sent again.
 */
#include <string.h>

#include "entry/forward_impl.h"

/* Sends of a request that did not run, until it is refused. */
#define SENDS_MAX 4
/* A second copy goes out only while so much of the allowance is left: repeats
 * after failures go before. */
#define BACKUP_ALLOWANCE 0.5
/* An owner that refused a request for a key is not asked again before: the
 * change of owners is on its way here. */
#define KEY_RETRY_S 0.04
/* Room for the head of a request besides the caller's fields. */
#define HEAD_BYTES 512
/* An answer of a failure other than the upstream's own. */
#define BAD_GATEWAY 502

static const struct link_ops link_ops;

static bool repeatable(const struct job *job)
{
	return job->kind != ROUTE_UNSAFE;
}

static bool passes_to_upstream(const struct protocol *protocol, struct str name)
{
	return !headers_name_equal(name, STR("content-length")) &&
	       !headers_name_equal(name, STR("expect")) &&
	       !protocol->own_field(name);
}

static GString *build_message(const struct job *job,
			      const struct upstream *upstream, double left_s)
{
	const struct protocol *protocol = job->forward->options.protocol;
	struct http_request *caller = job->caller;
	GString *out = g_string_sized_new(HEAD_BYTES + caller->body->len);
	size_t i;

	g_string_append_printf(out, "%s %s HTTP/1.1\r\n", caller->method->str,
			       caller->target->str);
	for (i = 0; i < headers_count(caller->headers); i++) {
		const struct header *h = headers_at(caller->headers, i);

		if (passes_to_upstream(protocol, h->name))
			g_string_append_printf(out, "%.*s: %.*s\r\n",
					       STR_ARG(h->name),
					       STR_ARG(h->value));
	}
	protocol->write_fields(out, left_s, upstream->entry.id);
	if (job->has_body || caller->body->len)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       caller->body->len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, caller->body->str, (gssize)caller->body->len);
	return out;
}

static int free_slot(const struct job *job)
{
	int i;

	for (i = 0; i < JOB_FLIGHTS; i++)
		if (!job->flights[i])
			return i;
	return -1;
}

static unsigned int flights_of(const struct job *job)
{
	unsigned int count = 0;
	int i;

	for (i = 0; i < JOB_FLIGHTS; i++)
		count += job->flights[i] != NULL;
	return count;
}

static void note_tried(struct job *job, const struct upstream *upstream)
{
	if (job->tried_count < JOB_TRIED_MAX)
		job->tried[job->tried_count++] =
			g_intern_string(upstream->entry.id);
}

void flight_send(struct job *job, struct upstream *upstream, bool backup)
{
	struct forward *forward = job->forward;
	struct flight *flight = g_new0(struct flight, 1);
	double now = forward_now(forward);
	GString *message = build_message(job, upstream, job->give_up_s - now);
	struct link_request request = {
		.head_only = !strcmp(job->caller->method->str, "HEAD"),
		.avoid_stale = !repeatable(job),
	};

	flight->job = job;
	flight->forward = forward;
	flight->upstream = upstream_ref(upstream);
	flight->started_s = now;
	flight->busy_before = load_in_flight(&upstream->load, now);
	job->flights[free_slot(job)] = flight;
	job->sends++;
	note_tried(job, upstream);
	load_start(&upstream->load, now);
	upstream_cold_sent(forward->options.roster, upstream);
	event_log_write(
		forward->options.log, "info", "request",
		"event=sent id=%.*s upstream=%s busy=%.1f slots=%u "
		"expected_ms=%.0f slowness=%.2f report_age_ms=%.0f "
		"backup=%d",
		STR_ARG(job->id), upstream->entry.id, flight->busy_before,
		upstream->load.slots,
		load_expected_s(&upstream->load, job->stats->mean_s, now) *
			1000,
		upstream->load.slowness, (now - upstream->load.others_s) * 1000,
		backup);
	request.message = (struct str){ message->str, message->len };
	flight->link = links_send(forward->options.links, upstream, &request,
				  &link_ops, flight);
	g_string_free(message, TRUE);
	job_arm(job);
}

/* Detaches a flight from its job, its connection not included. */
static void flight_forget(struct flight *flight)
{
	struct job *job = flight->job;
	int i;

	if (!job) {
		g_hash_table_remove(flight->forward->detached, flight);
		return;
	}
	for (i = 0; i < JOB_FLIGHTS; i++)
		if (job->flights[i] == flight)
			job->flights[i] = NULL;
}

static void flight_free(struct flight *flight)
{
	upstream_unref(flight->upstream);
	g_free(flight);
}

static void flight_end(struct flight *flight, enum load_outcome outcome)
{
	struct forward *forward = flight->forward;
	const struct job *job = flight->job;
	double now = forward_now(forward);
	double took = now - flight->started_s;
	double relative = 1;

	if (outcome == LOAD_ANSWERED && job) {
		double slots = flight->upstream->load.slots;
		double ahead = flight->busy_before + 1 - slots;

		/* Time spent waiting there is not slowness. */
		relative = took / job->stats->mean_s;
		if (ahead > 0)
			relative /= 1 + ahead / slots;
	}
	load_end(&flight->upstream->load, outcome, relative, now);
	flight_forget(flight);
}

void flight_cancel_all(struct job *job)
{
	struct forward *forward = job->forward;
	double now = forward_now(forward);
	int i;

	for (i = 0; i < JOB_FLIGHTS; i++) {
		struct flight *flight = job->flights[i];

		if (!flight)
			continue;
		job->flights[i] = NULL;
		if (!repeatable(job)) {
			/* Work that runs once is not broken off. */
			flight->job = NULL;
			g_hash_table_add(forward->detached, flight);
			continue;
		}
		load_end(&flight->upstream->load,
			 now >= job->give_up_s ? LOAD_TIMED_OUT
					       : LOAD_CANCELLED,
			 1, now);
		link_close(flight->link);
		flight_free(flight);
	}
}

bool flight_in_progress(const struct job *job)
{
	return flights_of(job) > 0;
}

bool flight_may_repeat(const struct job *job, bool ran)
{
	double left = job->give_up_s - forward_now(job->forward);

	if (ran && !repeatable(job))
		return false;
	if (job->runs >= job->max_attempts || job->sends >= SENDS_MAX)
		return false;
	return left > job->stats->mean_s / 2;
}

/* Sends the job again, or gives the best answer that there is. */
static void repeat_or_end(struct job *job, bool ran, bool arrived,
			  const char *reason)
{
	struct forward *forward = job->forward;
	double now = forward_now(forward);

	if (flights_of(job) || job->waiting)
		return;
	if (flight_may_repeat(job, ran) &&
	    !crash_list_blocks(forward->crashes, job->fingerprint, now) &&
	    (!arrived || retry_window_take(&job->service->retries, now))) {
		counter_add(forward->repeats, 1);
		if (job->key >= 0)
			job->tried_count = 0;
		dispatch_job(job);
		return;
	}
	if (job->failure)
		job_answer(job, job->failure, NULL);
	else if (job->may_have_run)
		job_refuse(job, BAD_GATEWAY, 0, reason);
	else
		job_refuse(job, 503, dispatch_room_s(job), reason);
}

static void keep_failure(struct job *job, const struct http_reply *reply)
{
	size_t i;

	if (job->failure)
		return;
	job->failure = g_new0(struct http_reply, 1);
	job->failure->status = reply->status;
	job->failure->headers = headers_create();
	job->failure->body =
		g_string_new_len(reply->body->str, (gssize)reply->body->len);
	for (i = 0; i < headers_count(reply->headers); i++) {
		const struct header *h = headers_at(reply->headers, i);

		headers_add(job->failure->headers, h->name, h->value);
	}
}

/* Statuses that promise that a request has not run. */
static bool is_promise(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

static void log_reply(const struct flight *flight, unsigned int status,
		      const char *verdict)
{
	const struct load *load = &flight->upstream->load;
	double now = forward_now(flight->forward);

	event_log_write(flight->forward->options.log, "info", "request",
			"event=reply id=%.*s upstream=%s status=%u verdict=%s "
			"took_ms=%.0f others=%.0f work_factor=%.2f",
			flight->job ? (int)flight->job->id.len : 1,
			flight->job ? flight->job->id.data : "-",
			flight->upstream->entry.id, status, verdict,
			(now - flight->started_s) * 1000, load->others,
			load->work_factor);
}

/* The upstream says that it did not run the request. */
static void take_refusal(struct flight *flight, const struct http_reply *reply,
			 const struct reply_facts *facts)
{
	struct job *job = flight->job;
	struct upstream *upstream = flight->upstream;

	if (facts->refused_by.len &&
	    !str_equal(facts->refused_by, str_from(upstream->entry.id)))
		upstream->replaced = true;
	else if (job && job->key >= 0)
		job->not_before_s = forward_now(job->forward) + KEY_RETRY_S;
	flight_end(flight, LOAD_SHED);
	flight_free(flight);
	if (!job)
		return;
	if (reply->status == 400) {
		job_answer(job, reply, NULL);
		return;
	}
	repeat_or_end(job, false, true, "upstream_refused");
}

/* A failure of the upstream, or bytes that are not its answer. */
static void take_failure(struct flight *flight, const struct http_reply *reply,
			 bool usable)
{
	struct job *job = flight->job;

	flight_end(flight, LOAD_FAILED);
	flight_free(flight);
	if (!job)
		return;
	job->runs++;
	job->may_have_run = true;
	if (usable && !is_promise(reply->status))
		keep_failure(job, reply);
	repeat_or_end(job, true, true, "upstream_failed");
}

static void take_answer(struct flight *flight, const struct http_reply *reply)
{
	struct job *job = flight->job;
	struct forward *forward = flight->forward;
	double took = forward_now(forward) - flight->started_s;

	flight_end(flight, LOAD_ANSWERED);
	if (job) {
		route_stats_add(job->stats, took, (double)reply->body->len);
		crash_list_clear(forward->crashes, job->fingerprint);
		job_answer(job, reply, flight);
	}
	flight_free(flight);
}

static void take_load(struct upstream *upstream,
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

static bool on_reply(void *user, const struct http_reply *reply)
{
	struct flight *flight = user;
	struct forward *forward = flight->forward;
	struct job *job = flight->job;
	struct service *service = flight->upstream->service;
	struct reply_facts facts;
	bool success = reply->status / 100 == 2;

	forward->options.protocol->read_reply(reply->status, reply->headers,
					      &facts);
	if (job && facts.id.len && !str_equal(facts.id, job->id)) {
		log_reply(flight, reply->status, "of_another_request");
		return false;
	}
	take_load(flight->upstream, &facts, forward_now(forward));
	if (facts.not_run && !success) {
		log_reply(flight, reply->status, "not_run");
		take_refusal(flight, reply, &facts);
	} else if (success && (!facts.signed_by_upstream || facts.coded ||
			       (job && !facts.id.len && job->id.len))) {
		log_reply(flight, reply->status, "not_the_upstreams_answer");
		take_failure(flight, reply, false);
	} else if (reply->status >= 500 || is_promise(reply->status)) {
		log_reply(flight, reply->status, "failed");
		take_failure(flight, reply, !facts.coded);
	} else {
		log_reply(flight, reply->status, "answered");
		take_answer(flight, reply);
	}
	dispatch_pump(forward, service);
	return true;
}

static void on_blamed(void *ctx, uint64_t request, const char *upstream)
{
	struct forward *forward = ctx;

	event_log_write(forward->options.log, "warning", "request",
			"event=blamed request=%016" PRIx64 " upstream=%s",
			request, upstream);
	forward->options.crashed(forward->options.ctx, request, upstream);
}

struct end_row {
	const char *name;
	/** Bytes of the request may have arrived. */
	bool arrived;
};

static const struct end_row ends[] = {
	[HTTP_CHANNEL_NOT_CONNECTED] = { "not_connected", false },
	[HTTP_CHANNEL_REFUSED] = { "connection_refused", false },
	[HTTP_CHANNEL_UNSENT] = { "unsent", false },
	[HTTP_CHANNEL_RESET] = { "connection_lost", true },
	[HTTP_CHANNEL_BROKEN] = { "answer_broken", true },
};

static void on_ended(void *user, enum http_channel_end end)
{
	struct flight *flight = user;
	struct forward *forward = flight->forward;
	struct job *job = flight->job;
	struct upstream *upstream = flight->upstream;
	struct service *service = upstream->service;
	double now = forward_now(forward);

	log_reply(flight, 0, ends[end].name);
	if (end == HTTP_CHANNEL_RESET && job)
		crash_list_add_suspect(forward->crashes, job->fingerprint,
				       upstream->entry.id, now);
	if (end == HTTP_CHANNEL_REFUSED)
		crash_list_upstream_lost(forward->crashes, upstream->entry.id,
					 now, on_blamed, forward);
	flight_end(flight,
		   end == HTTP_CHANNEL_BROKEN ? LOAD_FAILED : LOAD_UNREACHABLE);
	flight_free(flight);
	if (job) {
		if (ends[end].arrived) {
			job->runs++;
			job->may_have_run = true;
		}
		repeat_or_end(job, ends[end].arrived, ends[end].arrived,
			      ends[end].name);
	}
	dispatch_pump(forward, service);
}

static const struct link_ops link_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

/* When a second copy is considered, or infinity. */
static double backup_due_s(const struct job *job)
{
	const struct flight *first = NULL;
	int i;

	if (!repeatable(job) || job->key >= 0 || flights_of(job) != 1 ||
	    job->sends >= job->max_attempts)
		return G_MAXDOUBLE;
	for (i = 0; i < JOB_FLIGHTS; i++)
		if (job->flights[i])
			first = job->flights[i];
	return first->started_s + route_stats_overdue_s(job->stats);
}

void flight_backup(struct job *job)
{
	struct forward *forward = job->forward;
	double now = forward_now(forward);
	struct upstream *upstream;

	if (now + 0.0005 < backup_due_s(job) ||
	    retry_window_left(&job->service->retries, now) < BACKUP_ALLOWANCE)
		return;
	if (job->give_up_s - now < job->stats->mean_s / 2)
		return;
	if (dispatch_choose(job, &upstream) != CHOICE_FOUND ||
	    load_in_flight(&upstream->load, now) + 1 > upstream->load.slots ||
	    !retry_window_take(&job->service->retries, now))
		return;
	counter_add(forward->backups, 1);
	flight_send(job, upstream, true);
}

/* After an instant that was let pass, the next look at an overdue answer. */
#define BACKUP_AGAIN_S 0.05
#define TIMER_MIN_S 0.001

void job_arm(struct job *job)
{
	struct ev_loop *ev = job->forward->options.loop->ev;
	double now = forward_now(job->forward);
	double due = backup_due_s(job);
	double next = job->give_up_s;

	if (due < next)
		next = due > now ? due : MIN(next, now + BACKUP_AGAIN_S);
	ev_timer_stop(ev, &job->timer);
	ev_now_update(ev);
	ev_timer_set(&job->timer, MAX(next - now, TIMER_MIN_S), 0);
	ev_timer_start(ev, &job->timer);
}
