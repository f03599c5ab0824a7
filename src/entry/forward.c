/*
 * Life of a caller's request in this daemon: finds its route and service, and
 * answers or refuses it. Choosing an upstream is in dispatch.c, sending to it
 * in attempt.c.
 */
#include "entry/forward.h"

#include <string.h>

#include "base/hash.h"
#include "entry/authorize.h"
#include "entry/forward_impl.h"

/* Period, in seconds, at which queued requests are tried again, because no
 * event tells this VM that another VM's request has freed a slot of an
 * upstream. */
#define QUEUE_RETRY_S 0.02
/* Retry-After, in seconds, while the configuration isn't loaded yet or doesn't
 * have the route's service. */
#define STARTING_RETRY_S 0.3
/* Time, in seconds, for which a caller is assumed to wait if it sends no
 * deadline. */
#define WAIT_DEFAULT_S 30.0

double forward_now(const struct forward *forward)
{
	return loop_now(forward->options.loop);
}

static void dispatch_service_soon(struct service *service, void *ctx)
{
	dispatch_queued_soon(ctx, service);
}

void forward_dispatch_soon(struct forward *forward)
{
	roster_each_service(forward->options.roster, dispatch_service_soon,
			    forward);
}

static void on_queue_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct forward *forward = timer->data;

	(void)events;
	if (!forward->queued_count)
		ev_timer_stop(loop, timer);
	forward_dispatch_soon(forward);
}

/* Tries the queues of the services that are due. */
static void on_dispatch(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct forward *forward = watcher->data;
	GPtrArray *due = forward->due_services;

	(void)loop;
	(void)events;
	while (due->len) {
		struct service *service =
			g_ptr_array_remove_index(due, due->len - 1);

		service->dispatch_due = false;
		dispatch_queued(forward, service);
	}
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
	forward->unauthorized = metrics_counter(
		m, "auburn_unauthorized_total", "",
		"Requests refused because they have no known API key.");
	forward->over_quota =
		metrics_counter(m, "auburn_over_quota_total", "",
				"Requests refused because of a quota.");
	forward->abandoned = metrics_counter(m, "auburn_abandoned_total", "",
					     "Requests whose callers left.");
	forward->retries = metrics_counter(m, "auburn_repeats_total", "",
					   "Requests sent once more.");
	forward->backups = metrics_counter(m, "auburn_backups_total", "",
					   "Second copies of slow requests.");
	forward->pauses =
		metrics_counter(m, "auburn_pauses_total", "",
				"Pauses that upstreams asked this VM for.");
	forward->key_refusals = metrics_counter(
		m, "auburn_key_refusals_total", "",
		"Requests that a key's owner refused as it does not hold it.");
	forward->limit_changes = metrics_counter(
		m, "auburn_limit_changes_total", "",
		"Limits that upstreams named, changed or lifted.");
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
	forward->route_stats =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	forward->random = g_rand_new();
	forward->requests_in_progress = g_hash_table_new(NULL, NULL);
	forward->detached_attempts = g_hash_table_new(NULL, NULL);
	create_metrics(forward);
	ev_timer_init(&forward->queue_timer, on_queue_timer, QUEUE_RETRY_S,
		      QUEUE_RETRY_S);
	forward->queue_timer.data = forward;
	forward->due_services = g_ptr_array_new();
	ev_prepare_init(&forward->dispatch, on_dispatch);
	forward->dispatch.data = forward;
	return forward;
}

void forward_destroy(struct forward *forward)
{
	GHashTableIter iter;
	gpointer key;

	if (!forward)
		return;
	ev_timer_stop(forward->options.loop->ev, &forward->queue_timer);
	ev_clear_pending(forward->options.loop->ev, &forward->dispatch);
	g_ptr_array_free(forward->due_services, TRUE);
	g_hash_table_iter_init(&iter, forward->detached_attempts);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		struct upstream_attempt *attempt = key;

		upstream_unref(attempt->upstream);
		g_free(attempt->id);
		g_free(attempt);
	}
	g_hash_table_destroy(forward->detached_attempts);
	g_hash_table_destroy(forward->requests_in_progress);
	g_hash_table_destroy(forward->route_stats);
	g_rand_free(forward->random);
	g_free(forward);
}

/* Answers a request with an error of this daemon. */
static void answer_with_error(const struct forward *forward,
			      struct http_request *request, unsigned int status,
			      double retry_after_s)
{
	struct headers *headers = headers_create();
	struct http_answer answer = { .status = status, .headers = headers };
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	if (retry_after_s > 0) {
		g_ascii_formatd(text, sizeof(text), "%.3f", retry_after_s);
		headers_add(headers, STR("Retry-After"), str_from(text));
	}
	if (status == UNAUTHORIZED)
		headers_add(
			headers, STR("WWW-Authenticate"),
			str_from(forward->options.protocol->authentication));
	http_request_answer(request, &answer);
	headers_destroy(headers);
}

/* Counts a refusal or failure by its status. */
static void count_error(const struct forward *forward, unsigned int status)
{
	struct counter *counter = forward->failed;

	if (status == UNAUTHORIZED)
		counter = forward->unauthorized;
	else if (status == TOO_MANY_REQUESTS)
		counter = forward->over_quota;
	else if (status == 503)
		counter = forward->refused;
	counter_add(counter, 1);
}

void proxy_request_free(struct proxy_request *req)
{
	struct forward *forward = req->forward;

	ev_timer_stop(forward->options.loop->ev, &req->timer);
	dispatch_withdraw(req);
	attempt_cancel_all(req);
	g_hash_table_remove(forward->requests_in_progress, req);
	if (req->error_answer) {
		byte_budget_return(forward->options.answers,
				   req->error_answer->body->len);
		headers_destroy(req->error_answer->headers);
		g_string_free(req->error_answer->body, TRUE);
		g_free(req->error_answer);
	}
	g_free(req->route_name);
	g_free(req);
}

void proxy_request_refuse(struct proxy_request *req, unsigned int status,
			  double retry_after_s, const char *reason)
{
	struct forward *forward = req->forward;
	struct http_request *caller = req->caller;
	char availability[160];
	char detail[320];

	if (status != 504 && req->may_have_run) {
		if (req->error_answer) {
			proxy_request_answer(req, req->error_answer, NULL);
			return;
		}
		status = BAD_GATEWAY;
		retry_after_s = 0;
	}
	dispatch_describe(req, availability, sizeof(availability));
	g_snprintf(detail, sizeof(detail), "reason=%s retry_after_ms=%.0f %s",
		   reason, retry_after_s * 1000, availability);
	request_log_event(req, "refused", status, detail);
	count_error(forward, status);
	req->caller = NULL;
	/* Freed before the answer is sent: that frees the caller's request,
	 * into which req->id points. */
	proxy_request_free(req);
	answer_with_error(forward, caller, status, retry_after_s);
}

/* Whether a header field of an upstream's answer is passed on; the server
 * writes Content-Length itself. */
static bool passes_to_caller(struct str name)
{
	return !headers_name_equal(name, STR("content-length"));
}

void proxy_request_answer(struct proxy_request *req,
			  const struct http_reply *reply,
			  const struct upstream_attempt *attempt)
{
	struct forward *forward = req->forward;
	struct http_request *caller = req->caller;
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
		   attempt ? attempt->upstream->entry.id : "-",
		   reply->body->len);
	request_log_event(req, "answered", reply->status, detail);
	counter_add(forward->answered, 1);
	histogram_record(forward->answer_time,
			 (int64_t)((now - req->received_s) * US_PER_SECOND));
	req->caller = NULL;
	http_request_answer(caller, &answer);
	headers_destroy(headers);
	proxy_request_free(req);
}

/* Sends a backup attempt if one is due, or ends a request whose time is up. */
static void on_request_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct proxy_request *req = timer->data;

	(void)loop;
	(void)events;
	if (forward_now(req->forward) + TIMER_TOLERANCE_S < req->give_up_s) {
		attempt_send_backup(req);
		proxy_request_arm_timer(req);
		return;
	}
	if (req->error_answer)
		proxy_request_answer(req, req->error_answer, NULL);
	else if (attempt_may_run(req) || req->may_have_run)
		proxy_request_refuse(req, 504, 0, "time_is_up");
	else
		proxy_request_refuse(req, 503, dispatch_retry_after_s(req),
				     "no_room_in_time");
}

/* Returns the averages of a route, which the forwarder owns. */
static struct route_stats *stats_of(struct forward *forward,
				    const struct route *route)
{
	struct route_stats *stats =
		g_hash_table_lookup(forward->route_stats, route->name);

	if (stats)
		return stats;
	stats = g_new0(struct route_stats, 1);
	route_stats_init(stats, route->objective_s);
	g_hash_table_insert(forward->route_stats, g_strdup(route->name), stats);
	return stats;
}

/* Picks one of the route's services at random, in proportion to its weight;
 * returns NULL if it isn't configured. */
static struct service *choose_service(struct forward *forward,
				      const struct route *route)
{
	double total = 0, at;
	size_t i;

	if (!route->part_count)
		return NULL;
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

/* Returns a hash of a request, which is the same when the caller repeats it. */
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

static struct proxy_request *proxy_request_create(struct forward *forward,
						  struct http_request *request,
						  const struct route *route,
						  struct service *service,
						  struct customer *customer)
{
	struct proxy_request *req = g_new0(struct proxy_request, 1);
	struct request_facts facts;
	double wait_s;

	forward->options.protocol->read_request(request->headers, &facts);
	req->forward = forward;
	req->caller = request;
	request->data = req;
	req->has_body =
		headers_find(request->headers, STR("content-length")) ||
		headers_find(request->headers, STR("transfer-encoding"));
	headers_strip(request->headers);
	req->id = facts.id;
	req->key = service->config.keyed ? facts.key : -1;
	req->kind = route->kind;
	req->customer = customer;
	req->config_version = roster_config(forward->options.roster)->version;
	req->routed_version = req->config_version;
	req->is_public = route->is_public;
	req->priority = customer && customer->has_priority ? customer->priority
							   : route->priority;
	req->max_attempts = MAX(route->max_attempts, 1);
	req->objective_s = route->objective_s;
	req->route_name = g_strdup(route->name);
	req->service = service;
	req->stats = stats_of(forward, route);
	req->received_s = request->received_s;
	req->queue_node.data = req;
	wait_s = facts.wait_s > 0 ? facts.wait_s : WAIT_DEFAULT_S;
	req->deadline_s = req->received_s + wait_s;
	req->give_up_s =
		MIN(req->deadline_s, req->received_s + route->timeout_s);
	request->wait_until_s = req->give_up_s;
	ev_timer_init(&req->timer, on_request_timer, 0, 0);
	req->timer.data = req;
	g_hash_table_add(forward->requests_in_progress, req);
	return req;
}

struct str forward_host(const struct http_request *request)
{
	const struct header *h = headers_find(request->headers, STR("host"));
	struct str host = h ? h->value : (struct str){ "", 0 };
	const char *colon = host.len ? memchr(host.data, ':', host.len) : NULL;

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

struct str forward_path(const struct http_request *request)
{
	struct str path = { request->target->str, request->target->len };
	const char *query = memchr(path.data, '?', path.len);

	if (query)
		path.len = (size_t)(query - path.data);
	return path;
}

/* Refuses a request for which there is no configuration, route or service, or
 * that has no known API key. */
static void refuse_unrouted(struct forward *forward,
			    struct http_request *request, unsigned int status,
			    double retry_after_s, const char *reason)
{
	request_log_unrouted(forward, request, status, reason);
	if (status == UNAUTHORIZED)
		count_error(forward, status);
	else
		counter_add(forward->refused, 1);
	answer_with_error(forward, request, status, retry_after_s);
}

bool proxy_request_exceeds_shutdown(const struct proxy_request *req)
{
	const struct forward *forward = req->forward;

	return forward->exit_s &&
	       forward_now(forward) > forward->accept_until_s &&
	       req->give_up_s > forward->exit_s;
}

void forward_begin_shutdown(struct forward *forward, double accept_until_s,
			    double exit_s)
{
	forward->accept_until_s = accept_until_s;
	forward->exit_s = exit_s;
}

void forward_refuse_all(struct forward *forward)
{
	GList *requests = g_hash_table_get_keys(forward->requests_in_progress);
	GList *at;

	for (at = requests; at; at = at->next) {
		struct proxy_request *req = at->data;

		/* Answering a request may close its connection, which frees
		 * other requests of that connection. */
		if (!g_hash_table_contains(forward->requests_in_progress, req))
			continue;
		if (attempt_may_run(req) || req->may_have_run)
			proxy_request_refuse(req, 504, 0, "this_vm_ends");
		else
			proxy_request_refuse(req, 503, 0, "this_vm_ends");
	}
	g_list_free(requests);
}

void forward_request(struct forward *forward, struct http_request *request)
{
	const struct config *config = roster_config(forward->options.roster);
	struct str host = forward_host(request);
	const struct route *route;
	const struct refusal *refusal;
	struct customer *customer;
	struct service *service;
	struct proxy_request *req;

	counter_add(forward->requests, 1);
	if (!config) {
		refuse_unrouted(forward, request, 503, STARTING_RETRY_S,
				"no_configuration");
		return;
	}
	route = config_route(config, host, forward_path(request));
	refusal = authorize_arrival(forward, request, route, &customer);
	if (refusal) {
		refuse_unrouted(forward, request, refusal->status,
				refusal->retry_after_s, refusal->reason);
		return;
	}
	if (customer)
		counter_add(customer->requests, 1);
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
	req = proxy_request_create(forward, request, route, service, customer);
	req->fingerprint = fingerprint_of(request, host);
	if (req->key >= 0)
		service_record_key(service, (uint16_t)req->key);
	if (crash_watch_refuses(forward->options.crashes, req->fingerprint)) {
		proxy_request_refuse(req, 503, req->give_up_s - req->received_s,
				     CRASHES_UPSTREAMS);
		return;
	}
	if (proxy_request_exceeds_shutdown(req)) {
		proxy_request_refuse(req, 503, 0, "this_vm_stops");
		return;
	}
	if (authorize_refuses_over_quota(req, false))
		return;
	proxy_request_arm_timer(req);
	dispatch_request(req);
}

void forward_caller_gone(struct forward *forward, struct http_request *request)
{
	struct proxy_request *req = request->data;

	if (!req)
		return;
	request_log_event(req, "caller_gone", 0, "");
	counter_add(forward->abandoned, 1);
	req->caller = NULL;
	proxy_request_free(req);
}

void forward_tick(struct forward *forward)
{
	attempt_end_detached(forward);
}
