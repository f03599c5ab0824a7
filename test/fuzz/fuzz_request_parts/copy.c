/* The copies of requests that routers send to upstreams, and their
 * connections. */
#include "base/planted.h"
#include "fuzz_request_parts/world.h"

static struct fake_router *router_of(struct world *w, const struct copy *copy)
{
	return &w->routers[copy->request->router];
}

/* Reports an event of a copy to its request's attempt. */
static void report(struct world *w, const struct copy *copy,
		   enum attempt_event_kind kind)
{
	struct attempt_event event = { .kind = kind, .copy = copy->index };

	attempt_event(copy->request->attempt, &event, w->now);
}

/* Takes a copy off its connection, which is closed unless keep is true and the
 * router can reuse it. */
static void close_connection(struct world *w, struct copy *copy, bool keep)
{
	struct fake_router *r = router_of(w, copy);
	struct connection *c = copy->connection;
	struct connection_set *set = r->connections[copy->upstream];

	c->current = NULL;
	if (keep && connection_done(set, c->id, w->now))
		return;
	connection_closed(set, c->id);
	c->closed = true;
}

/* Tells the poison module how a copy ended, and spreads the crash report that
 * may result. */
static void end_poisoning(struct world *w, struct copy *copy,
			  enum poison_end how)
{
	struct fake_router *r = router_of(w, copy);
	struct call *call = copy->request->call;
	struct poison_report poison;

	if (!poison_end(r->poison, copy->poisoning, how, w->now, &poison))
		return;
	router_report(w, r, &poison);
	call->knows_crash[r->index] = poison.deaths > 0;
	if (poison.deaths)
		copy->request->reply_not_before_us = w->now + POISON_SPREAD_US;
}

void copy_end(struct world *w, struct copy *copy, enum pool_outcome_kind how,
	      enum poison_end poison)
{
	struct fake_router *r = router_of(w, copy);

	if (!copy->live)
		return;
	copy->live = false;
	/* The copy may still run and crash its upstream unnoticed. */
	if (copy->sent && poison == POISON_INCONCLUSIVE &&
	    (how == POOL_CANCELLED || how == POOL_STALLED))
		copy->request->call->hidden_crashes++;
	close_connection(w, copy, how == POOL_ANSWERED || how == POOL_SHED);
	pool_finish(r->pool, copy->flight, how, w->now);
	if (copy->poisoning)
		end_poisoning(w, copy, poison);
	if (!copy->trial)
		return;
	budget_share_release(&r->trial);
	if (how == POOL_CANCELLED || how == POOL_STALLED)
		budget_share_invalidate(&r->trial, w->now);
}

/* Records that an upstream's incarnation was alive when it replied. */
static void record_alive(struct world *w, struct copy *copy)
{
	struct fake_router *r = router_of(w, copy);
	struct poison_report reports[8];
	char boot[16];
	size_t count, i;

	g_snprintf(boot, sizeof(boot), "b%u", copy->connection->boot);
	pool_answer_started(r->pool, copy->flight, str_from(boot), w->now);
	count = poison_revoke_deaths(r->poison,
				     pool_id(r->pool, copy->upstream),
				     str_from(boot), copy->sent_us, reports, 8);
	for (i = 0; i < count; i++)
		router_report(w, r, &reports[i]);
}

static void on_refused(struct world *w, struct copy *copy, enum answer what)
{
	static const struct {
		enum attempt_event_kind event;
		enum pool_outcome_kind outcome;
	} rows[] = {
		[ANSWER_SHED] = { ATTEMPT_SHED, POOL_SHED },
		[ANSWER_COLD] = { ATTEMPT_COLD, POOL_COLD },
		[ANSWER_LEAVING] = { ATTEMPT_SHUTTING_DOWN,
				     POOL_SHUTTING_DOWN },
	};

	record_alive(w, copy);
	report(w, copy, rows[what].event);
	copy_end(w, copy, rows[what].outcome, POISON_INCONCLUSIVE);
}

static void on_reset(struct world *w, struct copy *copy)
{
	bool sent = copy->sent;

	report(w, copy,
	       sent ? ATTEMPT_RESET_AFTER_SEND : ATTEMPT_RESET_BEFORE_SEND);
	copy_end(w, copy, POOL_FAILED,
		 sent ? POISON_CONNECTION_BROKEN : POISON_INCONCLUSIVE);
}

static void on_answer(struct world *w, struct copy *copy, enum answer what,
		      uint32_t bytes)
{
	switch (what) {
	case ANSWER_HEAD:
		record_alive(w, copy);
		report(w, copy, ATTEMPT_HEAD);
		break;
	case ANSWER_BODY:
		copy->bytes = bytes;
		report(w, copy, ATTEMPT_BODY_DONE);
		copy_end(w, copy, POOL_ANSWERED, POISON_ANSWERED);
		break;
	case ANSWER_TRUNCATED:
		copy->bytes = bytes;
		report(w, copy, ATTEMPT_TRUNCATED);
		copy_end(w, copy, POOL_FAILED, POISON_ANSWERED);
		break;
	case ANSWER_SHED:
	case ANSWER_COLD:
	case ANSWER_LEAVING:
		on_refused(w, copy, what);
		break;
	case ANSWER_RESET:
		on_reset(w, copy);
		break;
	}
}

void copy_answer(struct world *w, struct event *event)
{
	struct connection *c = event->a;
	struct fake_router *r = &w->routers[c->router];
	struct copy *copy;

	if (c->silent || c->closed || r->incarnation != c->incarnation ||
	    !r->up || router_paused(w, r, event))
		return;
	copy = c->current;
	if (!copy) {
		connection_closed(r->connections[c->upstream], c->id);
		pool_mark_cold(r->pool, c->upstream, w->now);
		c->closed = true;
		return;
	}
	if (event->b && event->b != copy->request)
		world_violate(w, "an answer went to another request");
	connection_progress(r->connections[c->upstream], c->id, w->now);
	on_answer(w, copy, (enum answer)event->n, (uint32_t)event->m);
	router_wake(w, r);
}

static void write_request(struct world *w, struct copy *copy)
{
	copy->sent = true;
	copy->sent_us = w->now;
	report(w, copy, ATTEMPT_SENT);
	oracle_sent(w, copy);
	world_at(w, w->now + world_delay(w), upstream_arrive, copy, NULL, 0, 0);
}

/* Returns the time before which a copy must be sent: when the share that it
 * uses expires, even if its router is paused. */
static int64_t send_before(struct world *w, const struct copy *copy)
{
	int64_t limit = pool_flight_send_before(copy->flight);

	if (copy->trial && !injected(INJECTED_SHARE_NEVER_EXPIRES))
		limit = MIN(limit, router_of(w, copy)->trial.ends_us);
	return limit;
}

/* Sends a copy unless its share expired or the connection reached another
 * incarnation than the one chosen; then it needs a new upstream. */
static void send_or_replace(struct world *w, struct copy *copy)
{
	char boot[16];
	struct str meant = pool_flight_boot(copy->flight);

	g_snprintf(boot, sizeof(boot), "b%u", copy->connection->boot);
	if (w->now >= send_before(w, copy)) {
		copy_end(w, copy, POOL_UNSENT, POISON_INCONCLUSIVE);
	} else if (!meant.len || str_equal(meant, str_from(boot))) {
		write_request(w, copy);
		return;
	} else {
		copy_end(w, copy, POOL_OTHER_BOOT, POISON_INCONCLUSIVE);
	}
	copy->request->copies[copy->index] = NULL;
	copy->request->pending = copy->index;
}

static void connected(struct world *w, struct event *event)
{
	struct copy *copy = event->a;
	struct fake_router *r = router_of(w, copy);
	struct fake_upstream *u = &w->upstreams[copy->upstream];

	if (!copy->live || !r->up ||
	    r->incarnation != copy->request->incarnation ||
	    router_paused(w, r, event))
		return;
	if (!u->up) {
		report(w, copy, ATTEMPT_CONNECT_FAILED);
		copy_end(w, copy, POOL_FAILED, POISON_INCONCLUSIVE);
	} else {
		copy->connection->boot = u->boot;
		send_or_replace(w, copy);
	}
	router_wake(w, r);
}

static struct connection *open_connection(struct world *w, struct copy *copy)
{
	struct connection *c = world_new(w, sizeof(*c));

	c->id = w->connections->len;
	c->router = copy->request->router;
	c->incarnation = copy->request->incarnation;
	c->upstream = copy->upstream;
	g_ptr_array_add(w->connections, c);
	connection_opened(w->routers[c->router].connections[c->upstream], c->id,
			  w->now);
	return c;
}

/* Assigns a copy an idle or new connection; returns false if the router may not
 * use or open one now. */
static bool connect_copy(struct world *w, struct copy *copy)
{
	struct connection_set *set =
		router_of(w, copy)->connections[copy->upstream];
	enum kind kind = copy->request->call->kind;
	uint64_t id;
	enum connection_choice choice = connection_choose(
		set, kind != KIND_PLAIN && kind != KIND_ONCE && !copy->trial,
		w->now, &id);

	if (choice == CONNECTION_WAIT)
		return false;
	if (choice == CONNECTION_FRESH) {
		if (id != CONNECTION_NONE) {
			struct connection *old =
				g_ptr_array_index(w->connections, id);

			old->closed = true;
			connection_closed(set, id);
		}
		copy->connection = open_connection(w, copy);
		copy->connection->current = copy;
		world_at(w, w->now + MS, connected, copy, NULL, 0, 0);
		return true;
	}
	copy->connection = g_ptr_array_index(w->connections, id);
	copy->connection->current = copy;
	connection_used(set, id, w->now);
	return true;
}

static void send_copy(struct world *w, struct request *request,
		      uint32_t upstream, bool trial)
{
	struct fake_router *r = &w->routers[request->router];
	struct copy *copy = world_new(w, sizeof(*copy));

	copy->request = request;
	copy->index = request->pending;
	copy->upstream = upstream;
	copy->trial = trial;
	copy->sent_knowing_crash = request->call->knows_crash[r->index];
	if (!connect_copy(w, copy)) {
		if (trial)
			budget_share_release(&r->trial);
		return;
	}
	copy->live = true;
	copy->flight = pool_start(r->pool, upstream, w->now);
	copy->poisoning = poison_begin(r->poison, request->call->fingerprint,
				       pool_id(r->pool, upstream),
				       pool_boot(r->pool, upstream));
	request->copies[copy->index] = copy;
	request->pending = ATTEMPT_NONE;
	if (copy->connection->boot)
		send_or_replace(w, copy);
}

static void report_no_upstream(struct world *w, struct request *request,
			       enum verdict_reason reason)
{
	struct attempt_event event = {
		.kind = ATTEMPT_NO_UPSTREAM,
		.copy = request->pending,
		.reason = reason,
	};

	request->pending = ATTEMPT_NONE;
	attempt_event(request->attempt, &event, w->now);
}

static enum pool_availability
choose_upstream(struct world *w, struct request *request, uint32_t *upstream)
{
	struct fake_router *r = &w->routers[request->router];
	uint32_t tried[ATTEMPT_MAX];
	size_t count = 0;
	uint32_t i;

	if (request->call->kind == KIND_KEYED) {
		*upstream = request->call->index % UPSTREAMS;
		return pool_check(r->pool, *upstream, w->now);
	}
	/* Exclude upstreams that were tried, but never all of them. */
	for (i = 0; i < request->pending; i++)
		if (request->copies[i] && count < UPSTREAMS - 1)
			tried[count++] = request->copies[i]->upstream;
	return pool_pick(r->pool, tried, count, w->now, upstream);
}

void copy_dispatch(struct world *w, struct request *request)
{
	struct fake_router *r = &w->routers[request->router];
	enum poison_check check =
		poison_check(r->poison, request->call->fingerprint, w->now);
	uint32_t upstream;
	bool trial = check == POISON_SUSPECT;

	if (check == POISON_POISONED) {
		report_no_upstream(w, request, REASON_POISONED);
		return;
	}
	if (request->pending_backup &&
	    (trial || !pool_backup_allowed(r->pool))) {
		report_no_upstream(w, request, REASON_NO_UPSTREAM);
		return;
	}
	if (choose_upstream(w, request, &upstream) != POOL_OK) {
		if (request->pending_backup)
			report_no_upstream(w, request, REASON_NO_UPSTREAM);
		return;
	}
	if (trial && !budget_share_use(&r->trial, w->now))
		return;
	send_copy(w, request, upstream, trial);
}

static struct copy *find_copy(struct world *w, uint64_t connection)
{
	const struct connection *c =
		g_ptr_array_index(w->connections, connection);

	return c->current;
}

void copy_check_connections(struct world *w, struct fake_router *r)
{
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++) {
		struct connection_set *set = r->connections[i];
		uint64_t id;
		bool silent;

		while ((id = connection_expired(set, STALL_US, w->now,
						&silent)) != CONNECTION_NONE) {
			struct connection *c =
				g_ptr_array_index(w->connections, id);
			struct copy *copy = find_copy(w, id);

			if (silent)
				r->silence_detected_us[i] = w->now;
			if (copy) {
				report(w, copy, ATTEMPT_STALLED);
				copy_end(w, copy, POOL_STALLED,
					 POISON_INCONCLUSIVE);
			}
			connection_closed(set, id);
			c->closed = true;
		}
	}
}
