#include "entry/forward.h"

#include <string.h>

#include "base/hash.h"
#include "entry/forward_impl.h"

/* How often waiting requests look for room that other VMs' requests left. */
#define PUMP_S 0.02
/* Retry-After of a daemon that knows no configuration yet. */
#define STARTING_RETRY_S 0.3
/* Where a caller does not say how long it waits. */
#define WAIT_DEFAULT_S 30.0

double forward_now(const struct forward *forward)
{
	return loop_now(forward->options.loop);
}

static void pump_service(struct service *service, void *ctx)
{
	dispatch_pump(ctx, service);
}

void forward_pump(struct forward *forward)
{
	roster_each_service(forward->options.roster, pump_service, forward);
}

static void on_pump_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	forward_pump(timer->data);
}

static void create_metrics(struct forward *forward)
{
	struct metrics *m = forward->options.metrics;

	forward->requests = metrics_counter(m, "auburn_requests_total", "",
					    "Requests of callers.");
	forward->answered =
		metrics_counter(m, "auburn_answered_total", "",
				"Requests answered by an upstream.");
	forward->refused =
		metrics_counter(m, "auburn_refused_total", "",
				"Requests refused; they did not run.");
	forward->failed =
		metrics_counter(m, "auburn_failed_total", "",
				"Requests that failed and may have run.");
	forward->abandoned = metrics_counter(m, "auburn_abandoned_total", "",
					     "Requests whose callers left.");
	forward->repeats = metrics_counter(m, "auburn_repeats_total", "",
					   "Requests sent once more.");
	forward->backups = metrics_counter(m, "auburn_backups_total", "",
					   "Second copies of slow requests.");
	forward->answer_time =
		metrics_histogram(m, "auburn_answer_seconds", "",
				  "From a request to its answer.");
	forward->wait_time = metrics_histogram(
		m, "auburn_wait_seconds", "",
		"From a request to its first send to an upstream.");
}

struct forward *forward_create(const struct forward_options *options)
{
	struct forward *forward = g_new0(struct forward, 1);

	forward->options = *options;
	forward->crashes = crash_list_create();
	forward->stats =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forward->random = g_rand_new();
	forward->jobs = g_hash_table_new(NULL, NULL);
	forward->detached = g_hash_table_new(NULL, NULL);
	create_metrics(forward);
	ev_timer_init(&forward->pump_timer, on_pump_timer, PUMP_S, PUMP_S);
	forward->pump_timer.data = forward;
	return forward;
}

void forward_destroy(struct forward *forward)
{
	GHashTableIter iter;
	gpointer key;

	if (!forward)
		return;
	ev_timer_stop(forward->options.loop->ev, &forward->pump_timer);
	g_hash_table_iter_init(&iter, forward->detached);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct flight *flight = key;

		upstream_unref(flight->upstream);
		g_free(flight);
	}
	crash_list_destroy(forward->crashes);
	g_hash_table_destroy(forward->detached);
	g_hash_table_destroy(forward->jobs);
	g_hash_table_destroy(forward->stats);
	g_rand_free(forward->random);
	g_free(forward);
}

static void write_own_answer(struct http_request *request, unsigned int status,
			     double retry_after_s)
{
	struct headers *headers = headers_create();
	struct http_answer answer = { .status = status, .headers = headers };
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	if (retry_after_s > 0) {
		g_ascii_formatd(text, sizeof(text), "%.3f", retry_after_s);
		headers_add(headers, STR("Retry-After"), str_from(text));
	}
	http_request_answer(request, &answer);
	headers_destroy(headers);
}

static void log_request(const struct job *job, const char *event,
			unsigned int status, const char *detail)
{
	double now = forward_now(job->forward);

	event_log_write(job->forward->options.log, "info", "request",
			"event=%s id=%.*s route=%s service=%s key=%d status=%u "
			"%s sends=%u age_ms=%.0f left_ms=%.0f config=%" PRIu64,
			event, STR_ARG(job->id), job->route_name,
			job->service->name, job->key, status, detail,
			job->sends, (now - job->received_s) * 1000,
			(job->give_up_s - now) * 1000,
			roster_config(job->forward->options.roster)->version);
}

void job_free(struct job *job)
{
	struct forward *forward = job->forward;

	ev_timer_stop(forward->options.loop->ev, &job->timer);
	dispatch_withdraw(job);
	flight_cancel_all(job);
	g_hash_table_remove(forward->jobs, job);
	if (job->failure) {
		headers_destroy(job->failure->headers);
		g_string_free(job->failure->body, TRUE);
		g_free(job->failure);
	}
	g_free(job->route_name);
	g_free(job);
}

void job_refuse(struct job *job, unsigned int status, double retry_after_s,
		const char *reason)
{
	struct forward *forward = job->forward;
	struct http_request *caller = job->caller;
	char inputs[160];
	char detail[320];

	dispatch_describe(job, inputs, sizeof(inputs));
	g_snprintf(detail, sizeof(detail), "reason=%s retry_after_ms=%.0f %s",
		   reason, retry_after_s * 1000, inputs);
	log_request(job, "refused", status, detail);
	counter_add(status == 503 ? forward->refused : forward->failed, 1);
	job->caller = NULL;
	/* The answer frees the request, whose id the job borrows. */
	job_free(job);
	write_own_answer(caller, status, retry_after_s);
}

static bool passes_to_caller(struct str name)
{
	return !headers_name_equal(name, STR("content-length"));
}

void job_answer(struct job *job, const struct http_reply *reply,
		const struct flight *flight)
{
	struct forward *forward = job->forward;
	struct http_request *caller = job->caller;
	struct headers *headers = headers_create();
	struct http_answer answer = {
		.status = reply->status,
		.headers = headers,
		.body = { reply->body->str, reply->body->len },
	};
	double now = forward_now(forward);
	char detail[160];
	size_t i;

	headers_strip(reply->headers);
	for (i = 0; i < headers_count(reply->headers); i++) {
		const struct header *h = headers_at(reply->headers, i);

		if (passes_to_caller(h->name))
			headers_add(headers, h->name, h->value);
	}
	g_snprintf(detail, sizeof(detail), "upstream=%s bytes=%zu",
		   flight ? flight->upstream->entry.id : "-", reply->body->len);
	log_request(job, "answered", reply->status, detail);
	counter_add(forward->answered, 1);
	histogram_record(forward->answer_time,
			 (int64_t)((now - job->received_s) * US_PER_SECOND));
	job->caller = NULL;
	http_request_answer(caller, &answer);
	headers_destroy(headers);
	job_free(job);
}

static void on_job_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct job *job = timer->data;

	(void)loop;
	(void)events;
	if (forward_now(job->forward) + 0.0005 < job->give_up_s) {
		flight_backup(job);
		job_arm(job);
		return;
	}
	if (job->failure)
		job_answer(job, job->failure, NULL);
	else if (flight_in_progress(job) || job->may_have_run)
		job_refuse(job, 504, 0, "time_is_up");
	else
		job_refuse(job, 503, dispatch_room_s(job), "no_room_in_time");
}

static struct route_stats *stats_of(struct forward *forward,
				    const struct route *route)
{
	struct route_stats *stats =
		g_hash_table_lookup(forward->stats, route->name);

	if (stats)
		return stats;
	stats = g_new0(struct route_stats, 1);
	route_stats_init(stats, route->objective_s);
	g_hash_table_insert(forward->stats, g_strdup(route->name), stats);
	return stats;
}

/* Chooses a part of a split route in proportion to its weight. */
static struct service *choose_service(struct forward *forward,
				      const struct route *route)
{
	double total = 0, at;
	size_t i;

	for (i = 0; i < route->part_count; i++)
		total += route->parts[i].weight;
	at = g_rand_double(forward->random) * total;
	for (i = 0; i + 1 < route->part_count; i++) {
		at -= route->parts[i].weight;
		if (at < 0)
			break;
	}
	return roster_service(forward->options.roster, route->parts[i].service);
}

static uint64_t fingerprint_of(const struct http_request *request,
			       struct str host)
{
	uint64_t hash = hash_key(host);

	hash = hash_seeded(
		(struct str){ request->method->str, request->method->len },
		hash);
	hash = hash_seeded(
		(struct str){ request->target->str, request->target->len },
		hash);
	return hash_seeded(
		(struct str){ request->body->str, request->body->len }, hash);
}

static struct job *job_create(struct forward *forward,
			      struct http_request *request,
			      const struct route *route,
			      struct service *service)
{
	struct job *job = g_new0(struct job, 1);
	struct request_facts facts;
	double wait_s;

	forward->options.protocol->read_request(request->headers, &facts);
	job->forward = forward;
	job->caller = request;
	request->data = job;
	job->has_body =
		headers_find(request->headers, STR("content-length")) ||
		headers_find(request->headers, STR("transfer-encoding"));
	headers_strip(request->headers);
	job->id = facts.id;
	job->key = service->config.keyed ? facts.key : -1;
	job->kind = route->kind;
	job->priority = route->priority;
	job->max_attempts = MAX(route->max_attempts, 1);
	job->objective_s = route->objective_s;
	job->route_name = g_strdup(route->name);
	job->service = service;
	job->stats = stats_of(forward, route);
	job->received_s = request->received_s;
	job->queue_node.data = job;
	wait_s = facts.wait_s > 0 ? facts.wait_s : WAIT_DEFAULT_S;
	job->deadline_s = job->received_s + wait_s;
	job->give_up_s =
		MIN(job->deadline_s, job->received_s + route->timeout_s);
	ev_timer_init(&job->timer, on_job_timer, 0, 0);
	job->timer.data = job;
	g_hash_table_add(forward->jobs, job);
	return job;
}

static struct str host_of(const struct http_request *request)
{
	const struct header *h = headers_find(request->headers, STR("host"));
	struct str host = h ? h->value : (struct str){ "", 0 };
	const char *colon = host.len ? memchr(host.data, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

static struct str path_of(const struct http_request *request)
{
	struct str path = { request->target->str, request->target->len };
	const char *query = memchr(path.data, '?', path.len);

	if (query)
		path.len = (size_t)(query - path.data);
	return path;
}

static void refuse_unrouted(struct forward *forward,
			    struct http_request *request, unsigned int status,
			    double retry_after_s, const char *reason)
{
	const struct header *id =
		headers_find(request->headers, STR("x-request-id"));

	event_log_write(forward->options.log, "info", "request",
			"event=refused id=%.*s status=%u reason=%s "
			"target=%.*s",
			id ? (int)id->value.len : 1, id ? id->value.data : "-",
			status, reason, (int)MIN(request->target->len, 120),
			request->target->str);
	counter_add(forward->refused, 1);
	write_own_answer(request, status, retry_after_s);
}

bool job_outlives(const struct job *job)
{
	const struct forward *forward = job->forward;

	return forward->end_s && forward_now(forward) > forward->accept_s &&
	       job->give_up_s > forward->end_s;
}

void forward_stop(struct forward *forward, double accept_s, double end_s)
{
	forward->accept_s = accept_s;
	forward->end_s = end_s;
}

void forward_end(struct forward *forward)
{
	GList *jobs = g_hash_table_get_keys(forward->jobs);
	GList *at;

	for (at = jobs; at; at = at->next) {
		struct job *job = at->data;

		/* One that ends may take others of its connection with it. */
		if (!g_hash_table_contains(forward->jobs, job))
			continue;
		if (flight_in_progress(job) || job->may_have_run)
			job_refuse(job, 504, 0, "this_vm_ends");
		else
			job_refuse(job, 503, 0, "this_vm_ends");
	}
	g_list_free(jobs);
}

void forward_request(struct forward *forward, struct http_request *request)
{
	const struct config *config = roster_config(forward->options.roster);
	struct str host = host_of(request);
	const struct route *route;
	struct service *service;
	struct job *job;

	counter_add(forward->requests, 1);
	if (!config) {
		refuse_unrouted(forward, request, 503, STARTING_RETRY_S,
				"no_configuration");
		return;
	}
	route = config_route(config, host, path_of(request));
	if (!route) {
		refuse_unrouted(forward, request, 404, 0, "no_route");
		return;
	}
	service = choose_service(forward, route);
	if (!service) {
		refuse_unrouted(forward, request, 503, STARTING_RETRY_S,
				"no_service");
		return;
	}
	retry_window_request(&service->retries, forward_now(forward));
	job = job_create(forward, request, route, service);
	job->fingerprint = fingerprint_of(request, host);
	if (job->key >= 0) {
		uint16_t key = (uint16_t)job->key;

		g_array_append_val(service->requested_keys, key);
	}
	if (crash_list_blocks(forward->crashes, job->fingerprint,
			      forward_now(forward))) {
		job_refuse(job, 503, job->give_up_s - job->received_s,
			   "upstreams_were_lost_under_it");
		return;
	}
	if (job_outlives(job)) {
		job_refuse(job, 503, 0, "this_vm_stops");
		return;
	}
	job_arm(job);
	dispatch_job(job);
}

void forward_gone(struct forward *forward, struct http_request *request)
{
	struct job *job = request->data;

	if (!job)
		return;
	log_request(job, "caller_gone", 0, "");
	counter_add(forward->abandoned, 1);
	job->caller = NULL;
	job_free(job);
}

void forward_note_crash(struct forward *forward, uint64_t fingerprint,
			const char *upstream)
{
	crash_list_blame(forward->crashes, fingerprint, upstream,
			 forward_now(forward));
}

void forward_tick(struct forward *forward)
{
	crash_list_tick(forward->crashes, forward_now(forward));
}
