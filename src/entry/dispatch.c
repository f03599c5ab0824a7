/*
 * Load balancing and admission: decides which upstream gets a request, which
 * requests are queued and which are refused. Designed for overload: many
 * requests and few free slots.
 */
#include <string.h>

#include "entry/authorize.h"
#include "entry/forward_impl.h"

/* An upstream gets as many requests beyond its slots as it completes within
 * this many load report intervals. Other VMs learn of an answer after two
 * intervals; until then a request queued at the upstream starts earlier than
 * one queued here. */
#define QUEUE_AHEAD_INTERVALS 6.7
/* Most requests in flight beyond an upstream's slots, because upstreams queue
 * about 8 requests. */
#define QUEUE_AHEAD_MAX 8.0
/* The same for the owner of a key. A request that waits here instead can be
 * overtaken by one that is answered within its objective. */
#define OWNER_AHEAD_MAX 4.0
/* The same for a request that can't be answered within its route's objective
 * any more: it leaves the room to those that can. */
#define LATE_AHEAD_MAX 1.0
/* Penalty of an upstream in another zone: this many times the route's mean
 * answer time, plus a number of seconds for each MB that the answer sends
 * between zones. */
#define OTHER_ZONE_MEANS 1.0
#define OTHER_ZONE_S_PER_MB 2.0
#define BYTES_PER_MB 1e6
/* Penalty of an upstream to which this VM has no idle connection, in multiples
 * of the route's mean answer time. Opening one costs a round trip and may
 * occupy a slot of the upstream, and with many VMs and upstreams a VM that
 * spreads its requests over all upstreams finds idle connections timed out. */
#define NEW_CONNECTION_MEANS 1.0
/* Share of the choices that leave this penalty out, so that an upstream that
 * has joined gets requests, and its speed stays known. */
#define EXPLORE_SHARE 0.1
/* Largest random addition to an upstream's expected response time, as a share
 * of that time, so that VMs with the same view don't all choose the same
 * upstream. */
#define RANDOM_SHARE 1.0
/* Most upstreams with a limit that one choice considers. */
#define LIMIT_DRAWS_MAX 4
/* A request is refused when its remaining time is less than this share of the
 * route's mean answer time. */
#define MIN_TIME_SHARE 0.6

/* Time in a queue, in seconds, after which a request's quota is checked again.
 * Requests that waited for so long may be sent together with others that came
 * since, and the quota counts when they are sent. */
#define QUOTA_RECHECK_S 0.2

/* Reason in the log: the upstream's limit leaves no room for the request. */
#define OVER_LIMIT "over_the_limit"

bool dispatch_was_tried(const struct proxy_request *req,
			const struct upstream *upstream)
{
	unsigned int i;

	for (i = 0; i < req->tried_count; i++)
		if (req->tried[i] == g_intern_string(upstream->entry.id))
			return true;
	return false;
}

/* Whether a request can't be answered within its route's objective any more. */
static bool is_late(const struct proxy_request *req)
{
	return forward_now(req->forward) + req->stats->mean_s >
	       req->received_s + req->objective_s;
}

/* Number of requests beyond its slots that an upstream may have in flight and
 * still get another one. */
static double queue_ahead_limit(const struct proxy_request *req,
				const struct upstream *upstream)
{
	double slots = upstream->load.slots;
	double lag;

	if (is_late(req))
		return LATE_AHEAD_MAX;
	/* Only the owner may run the request, so there is no alternative that
	 * could start the request earlier. */
	if (req->key >= 0)
		return OWNER_AHEAD_MAX;
	lag = QUEUE_AHEAD_INTERVALS *
	      roster_load_interval_s(req->forward->options.roster);
	return MIN(1 + slots * lag / req->stats->mean_s, QUEUE_AHEAD_MAX);
}

/* Whether an upstream's queue and connections allow one more request. */
static bool has_room(const struct proxy_request *req,
		     const struct upstream *upstream, double now)
{
	double ahead = queue_ahead_limit(req, upstream);

	return load_in_flight(&upstream->load, now) <
		       upstream->load.slots + ahead &&
	       links_has_capacity(req->forward->options.links, upstream);
}

/* Returns the penalty in seconds of an upstream in another zone; 0 if it is in
 * this VM's zone. */
static double zone_cost_s(const struct proxy_request *req,
			  const struct upstream *upstream)
{
	const struct entry_settings *settings = req->forward->options.settings;

	if (!strcmp(upstream->entry.zone, settings->zone))
		return 0;
	return OTHER_ZONE_MEANS * req->stats->mean_s +
	       OTHER_ZONE_S_PER_MB * req->stats->answer_bytes / BYTES_PER_MB;
}

/* Returns the penalty in seconds of an upstream to which a connection has to be
 * opened; 0 if there is an idle one, or if the upstream is cold: then few VMs
 * may send to it, which others don't replace. */
static double connection_cost_s(const struct proxy_request *req,
				const struct upstream *upstream)
{
	bool avoid_stale = !route_kind_is_idempotent(req->kind);

	if (forward_now(req->forward) < upstream->cold_until_s ||
	    links_has_idle(upstream, avoid_stale))
		return 0;
	return NEW_CONNECTION_MEANS * req->stats->mean_s;
}

/* Returns the cost in seconds of sending a request to an upstream: its expected
 * response time, with a random addition, and the penalties for its zone and for
 * a new connection.
 *
 * @param explore leave out the latter */
static double cost_s(const struct proxy_request *req,
		     const struct upstream *upstream, bool explore, double now)
{
	struct forward *forward = req->forward;
	double work = req->stats->mean_s;
	double expected = load_expected_s(&upstream->load, work, now);

	return expected * (1 + RANDOM_SHARE * g_rand_double(forward->random)) +
	       zone_cost_s(req, upstream) +
	       (explore ? 0 : connection_cost_s(req, upstream));
}

/* Decides whether the limit that an upstream names admits a request. */
static bool is_within_limit(const struct proxy_request *req,
			    struct upstream *upstream)
{
	struct forward *forward = req->forward;

	return upstream_within_limit(forward->options.roster, upstream,
				     g_rand_double(forward->random),
				     !req->queued);
}

/* Returns the result for a request that an upstream's limit did not admit. */
static enum choice over_limit_choice(const struct proxy_request *req,
				     const struct upstream *upstream)
{
	return upstream_limit_exceeded(&upstream->limit,
				       forward_now(req->forward))
		       ? CHOICE_OVER_LIMIT
		       : CHOICE_BUSY;
}

/* Upstreams whose limits did not admit a request, while one is chosen. */
struct denied {
	const struct upstream *upstreams[LIMIT_DRAWS_MAX];
	unsigned int count;
};

/* Whether an upstream is left out of the choice because of its limit. After
 * LIMIT_DRAWS_MAX upstreams, all that have a limit are. */
static bool is_denied(const struct denied *denied,
		      const struct upstream *upstream)
{
	unsigned int i;

	if (!upstream->limit.limited)
		return false;
	for (i = 0; i < denied->count; i++)
		if (denied->upstreams[i] == upstream)
			return true;
	return denied->count == LIMIT_DRAWS_MAX;
}

/* Chooses the upstream with the lowest cost for a request without a key, among
 * those not denied. */
static enum choice choose_cheapest(struct proxy_request *req,
				   const struct denied *denied,
				   struct upstream **chosen)
{
	struct forward *forward = req->forward;
	const struct roster *roster = forward->options.roster;
	double now = forward_now(forward);
	bool explore = g_rand_double(forward->random) < EXPLORE_SHARE;
	enum choice choice = CHOICE_NONE;
	double best = 0;
	guint i;

	*chosen = NULL;
	for (i = 0; i < req->service->upstreams->len; i++) {
		struct upstream *u = req->service->upstreams->pdata[i];
		double cost;

		if (!upstream_takes_work(roster, u))
			continue;
		if (dispatch_was_tried(req, u) &&
		    req->service->upstreams->len > 1)
			continue;
		choice = choice == CHOICE_FOUND ? choice : CHOICE_BUSY;
		if (!load_usable(&u->load, now) || upstream_paused(roster, u) ||
		    !upstream_cold_admits(roster, u) || !has_room(req, u, now))
			continue;
		if (is_denied(denied, u))
			continue;
		cost = cost_s(req, u, explore, now);
		if (!*chosen || cost < best) {
			*chosen = u;
			best = cost;
			choice = CHOICE_FOUND;
		}
	}
	return choice;
}

/* Whether every upstream that may get new work limits what it takes, and more
 * comes than they allow. */
static bool all_exceeded(const struct proxy_request *req)
{
	const struct roster *roster = req->forward->options.roster;
	double now = forward_now(req->forward);
	guint i;

	for (i = 0; i < req->service->upstreams->len; i++) {
		const struct upstream *u = req->service->upstreams->pdata[i];

		if (upstream_takes_work(roster, u) &&
		    load_usable(&u->load, now) &&
		    !upstream_limit_exceeded(&u->limit, now))
			return false;
	}
	return true;
}

/* Chooses an upstream for a request without a key. */
static enum choice choose_any(struct proxy_request *req,
			      struct upstream **chosen)
{
	struct denied denied = { .count = 0 };
	enum choice choice = choose_cheapest(req, &denied, chosen);

	while (choice == CHOICE_FOUND && (*chosen)->limit.limited &&
	       !is_within_limit(req, *chosen)) {
		denied.upstreams[denied.count++] = *chosen;
		choice = choose_cheapest(req, &denied, chosen);
	}
	if (choice == CHOICE_BUSY && denied.count && all_exceeded(req))
		return CHOICE_OVER_LIMIT;
	return choice;
}

/* Chooses the owner of the request's key, if it can take the request now. */
static enum choice choose_owner(struct proxy_request *req,
				struct upstream **chosen)
{
	struct forward *forward = req->forward;
	const struct roster *roster = forward->options.roster;
	const struct key_span *span =
		key_map_find(req->service->keys, req->key);
	double now = forward_now(forward);
	struct upstream *u;

	if (!span->owner || now < req->not_before_s)
		return CHOICE_NO_OWNER;
	u = roster_upstream(roster, span->owner);
	if (!u || u->service != req->service ||
	    u->entry.started_ms != span->started_ms ||
	    !upstream_serves_keys(roster, u) || !load_usable(&u->load, now) ||
	    refused_grants_wait_s(req->service->refused_grants, span->fence,
				  now) > 0)
		return CHOICE_NO_OWNER;
	if (upstream_paused(roster, u) || !upstream_cold_admits(roster, u) ||
	    !has_room(req, u, now))
		return CHOICE_BUSY;
	if (!is_within_limit(req, u))
		return over_limit_choice(req, u);
	*chosen = u;
	return CHOICE_FOUND;
}

/* Numbers of upstreams that can't get a request now, by reason. */
struct unavailable {
	/** Draining, replaced, or in a zone that is out of service. */
	unsigned int no_work;
	/** Ejected after failures. */
	unsigned int failing;
	/** Cold: this VM may not send a request yet. */
	unsigned int cold;
	/** None of the other reasons: at the limit of requests in flight. */
	unsigned int full;
	/** Asked this VM for a pause. */
	unsigned int paused;
	/** At the limit of connections. */
	unsigned int no_connection;
	/** None of the other reasons, but it names a limit. */
	unsigned int limited;
};

static void count_unavailable(const struct proxy_request *req,
			      const struct upstream *u, double now,
			      struct unavailable *reasons)
{
	const struct roster *roster = req->forward->options.roster;

	if (!upstream_takes_work(roster, u))
		reasons->no_work++;
	else if (!load_usable(&u->load, now))
		reasons->failing++;
	else if (upstream_paused(roster, u))
		reasons->paused++;
	else if (!upstream_cold_admits(roster, u))
		reasons->cold++;
	else if (!links_has_capacity(req->forward->options.links, u))
		reasons->no_connection++;
	else if (u->limit.limited)
		reasons->limited++;
	else
		reasons->full++;
}

void dispatch_describe(const struct proxy_request *req, char *buf, size_t size)
{
	const GPtrArray *upstreams = req->service->upstreams;
	double now = forward_now(req->forward);
	struct unavailable reasons = { 0 };
	guint i;

	for (i = 0; i < upstreams->len; i++)
		count_unavailable(req, upstreams->pdata[i], now, &reasons);
	g_snprintf(buf, size,
		   "upstreams=%u no_work=%u failing=%u cold=%u full=%u "
		   "no_connection=%u limited=%u paused=%u waiting=%u",
		   upstreams->len, reasons.no_work, reasons.failing,
		   reasons.cold, reasons.full, reasons.no_connection,
		   reasons.limited, reasons.paused, req->service->queue.length);
}

enum choice dispatch_choose(struct proxy_request *req,
			    struct upstream **upstream)
{
	if (req->key >= 0)
		return choose_owner(req, upstream);
	return choose_any(req, upstream);
}

static void start_queue_timer(struct forward *forward)
{
	if (!ev_is_active(&forward->queue_timer))
		ev_timer_again(forward->options.loop->ev,
			       &forward->queue_timer);
}

/* Adds a request to its service's queue, which is sorted by priority and then
 * by time limit. */
static void enqueue(struct proxy_request *req)
{
	GQueue *queue = &req->service->queue;
	GList *at = queue->tail;

	while (at && dispatch_compare_urgency(req, at->data) < 0)
		at = at->prev;
	if (at)
		g_queue_insert_after_link(queue, at, &req->queue_node);
	else
		g_queue_push_head_link(queue, &req->queue_node);
	req->queued = true;
	req->forward->queued_count++;
	start_queue_timer(req->forward);
}

void dispatch_withdraw(struct proxy_request *req)
{
	if (!req->queued)
		return;
	g_queue_unlink(&req->service->queue, &req->queue_node);
	req->queued = false;
	req->forward->queued_count--;
}

/* Queues a request if it can still be served in time, else refuses it. */
static void wait_or_refuse(struct proxy_request *req, enum choice choice)
{
	double left = req->give_up_s - forward_now(req->forward);
	double need = MIN_TIME_SHARE * req->stats->mean_s;

	if (proxy_request_exceeds_shutdown(req)) {
		proxy_request_refuse(req, 503, 0, "this_vm_stops");
		return;
	}
	if (choice == CHOICE_NONE) {
		proxy_request_refuse(req, 503, OWNER_WAIT_S, "no_upstream");
		return;
	}
	if (choice == CHOICE_OVER_LIMIT) {
		proxy_request_refuse(req, 503, dispatch_retry_after_s(req),
				     OVER_LIMIT);
		return;
	}
	if (choice == CHOICE_BUSY && req->key < 0)
		need += dispatch_expected_wait_s(req);
	else if (choice == CHOICE_BUSY)
		need = MAX(MIN_TIME_SHARE * dispatch_owner_expected_s(req),
			   need + dispatch_pause_left_s(req));
	else
		need += dispatch_owner_wait_s(req);
	if (left < need) {
		proxy_request_refuse(req, 503, dispatch_retry_after_s(req),
				     "no_room");
		return;
	}
	enqueue(req);
}

/* Removes a request from its queue and sends it to an upstream. */
static void send_to(struct proxy_request *req, struct upstream *upstream)
{
	struct forward *forward = req->forward;
	double now = forward_now(forward);

	dispatch_withdraw(req);
	if (!req->sends)
		histogram_record(
			forward->wait_time,
			(int64_t)((now - req->received_s) * US_PER_SECOND));
	attempt_send(req, upstream, false);
}

/* Refuses a request whose API key is no longer known.
 *
 * @return whether the request was refused and freed */
static bool refuse_unauthorized(struct proxy_request *req)
{
	const struct refusal *refusal = authorize_send(req);

	if (refusal)
		proxy_request_refuse(req, refusal->status,
				     refusal->retry_after_s, refusal->reason);
	return refusal != NULL;
}

void dispatch_request(struct proxy_request *req)
{
	struct upstream *upstream = NULL;
	enum choice choice;

	if (refuse_unauthorized(req))
		return;
	choice = dispatch_choose(req, &upstream);
	if (choice == CHOICE_FOUND)
		send_to(req, upstream);
	else
		wait_or_refuse(req, choice);
}

/* Sends a queued request, unless its customer used up its quota while it
 * waited. */
static void send_queued(struct proxy_request *req, struct upstream *upstream)
{
	double waited_s = forward_now(req->forward) - req->received_s;

	if (waited_s < QUOTA_RECHECK_S ||
	    !authorize_refuses_over_quota(req, true))
		send_to(req, upstream);
}

/* Sends a queued request if an upstream can take it; refuses it if it can no
 * longer be served in time. */
static void retry_queued(struct proxy_request *req)
{
	double left = req->give_up_s - forward_now(req->forward);
	double need = req->stats->mean_s;
	struct upstream *upstream = NULL;
	enum choice choice;

	if (refuse_unauthorized(req))
		return;
	choice = dispatch_choose(req, &upstream);
	if (choice == CHOICE_BUSY && req->key >= 0)
		need = dispatch_owner_expected_s(req);
	else if (choice == CHOICE_NO_OWNER)
		/* MIN_TIME_SHARE below applies to the answer time but not to
		 * this wait. */
		need += dispatch_owner_wait_s(req) / MIN_TIME_SHARE;
	if (crash_watch_blocks(req->forward->options.crashes, req->fingerprint))
		proxy_request_refuse(req, 503, req->give_up_s - req->received_s,
				     CRASHES_UPSTREAMS);
	else if (choice == CHOICE_FOUND)
		send_queued(req, upstream);
	else if (proxy_request_exceeds_shutdown(req))
		proxy_request_refuse(req, 503, 0, "this_vm_stops");
	else if (choice == CHOICE_OVER_LIMIT)
		proxy_request_refuse(req, 503, dispatch_retry_after_s(req),
				     OVER_LIMIT);
	else if (choice == CHOICE_NONE || left < MIN_TIME_SHARE * need ||
		 (choice == CHOICE_BUSY &&
		  left < dispatch_pause_left_s(req) +
				  MIN_TIME_SHARE * req->stats->mean_s))
		proxy_request_refuse(req, 503, dispatch_retry_after_s(req),
				     choice == CHOICE_NO_OWNER
					     ? "no_owner_in_time"
					     : "no_room_in_time");
}

/* Returns a copy of the queue, which is safe to walk: answering a request may
 * close its connection, which frees other queued requests of that connection.
 * The caller frees the array. */
static GPtrArray *copy_queue(const struct service *service)
{
	GPtrArray *queued = g_ptr_array_new();
	GList *at;

	for (at = service->queue.head; at; at = at->next)
		g_ptr_array_add(queued, at->data);
	return queued;
}

/* Tries queued requests again.
 *
 * @param late those that can't be answered within their objective any more, or
 *        the others */
static void retry_all(struct forward *forward, const GPtrArray *queued,
		      bool late)
{
	guint i;

	for (i = 0; i < queued->len; i++) {
		struct proxy_request *req = queued->pdata[i];

		/* A request that was sent in the first pass may have become
		 * late since. */
		if (g_hash_table_contains(forward->requests_in_progress, req) &&
		    req->queued && is_late(req) == late)
			retry_queued(req);
	}
}

void dispatch_queued_soon(struct forward *forward, struct service *service)
{
	if (service->dispatch_due || !service->queue.length)
		return;
	service->dispatch_due = true;
	g_ptr_array_add(forward->due_services, service);
	ev_feed_event(forward->options.loop->ev, &forward->dispatch, EV_CUSTOM);
}

void dispatch_queued(struct forward *forward, struct service *service)
{
	GPtrArray *queued;

	if (!service->queue.length)
		return;
	queued = copy_queue(service);
	retry_all(forward, queued, false);
	retry_all(forward, queued, true);
	g_ptr_array_free(queued, TRUE);
	if (!forward->queued_count)
		ev_timer_stop(forward->options.loop->ev, &forward->queue_timer);
}
