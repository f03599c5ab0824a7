/* The fake upstreams: they run, queue or refuse copies, crash and restart. */
#include "fuzz_request_parts/world.h"

/* Shortest time from an upstream's crash to its restart. */
#define RESTART_US (1 * MS)

void upstream_init(struct world *w, uint32_t index)
{
	struct fake_upstream *u = &w->upstreams[index];

	g_snprintf(u->id, sizeof(u->id), "u%u", index);
	u->index = index;
	u->boot = 1;
	u->up = true;
	u->running = g_ptr_array_new();
	g_queue_init(&u->waiting);
}

void upstream_clear(struct fake_upstream *u)
{
	g_ptr_array_free(u->running, TRUE);
	g_queue_clear(&u->waiting);
}

bool upstream_is_cold(const struct world *w, const struct fake_upstream *u)
{
	return w->now < u->cold_until_us;
}

static void answer(struct world *w, const struct copy *copy, enum answer what,
		   uint32_t bytes, int64_t delay)
{
	world_at(w, w->now + delay, copy_answer, copy->connection,
		 copy->request, what, bytes);
}

static void finish_execution(struct world *w, struct event *event);

static void begin_execution(struct world *w, struct fake_upstream *u,
			    struct copy *copy);

static void crash(struct world *w, struct event *event)
{
	struct fake_upstream *u = event->a;
	struct copy *copy = event->b;

	if (!u->up || u->boot != event->n)
		return;
	if (w->now < u->frozen_until_us) {
		world_requeue(w, event, u->frozen_until_us);
		return;
	}
	oracle_crashed(w, copy->request->call);
	upstream_die(w, u, false, copy->request->call);
}

static void begin_execution(struct world *w, struct fake_upstream *u,
			    struct copy *copy)
{
	int64_t took = world_random(w, MS, 8 * MS);

	if (w->now < u->slow_until_us)
		took *= 10;
	g_ptr_array_add(u->running, copy);
	oracle_executed(w, copy);
	if (copy->request->call->kind == KIND_MARKED)
		world_at(w, w->now + 2 * MS, crash, u, copy, u->boot, 0);
	else
		world_at(w, w->now + took, finish_execution, u, copy, u->boot,
			 0);
}

/* Ends an execution: replies and starts the next queued copy. */
static void finish_execution(struct world *w, struct event *event)
{
	struct fake_upstream *u = event->a;
	struct copy *copy = event->b;
	int64_t delay = world_delay(w);
	int64_t body = delay + world_random(w, 0, 20 * MS);

	if (!u->up || u->boot != event->n)
		return;
	if (w->now < u->frozen_until_us) {
		world_requeue(w, event, u->frozen_until_us);
		return;
	}
	g_ptr_array_remove_fast(u->running, copy);
	answer(w, copy, ANSWER_HEAD, 0, delay);
	if (world_random(w, 0, 24))
		answer(w, copy, ANSWER_BODY, BODY_BYTES, body);
	else
		answer(w, copy, ANSWER_TRUNCATED, BODY_BYTES / 2, body);
	if (!g_queue_is_empty(&u->waiting))
		begin_execution(w, u, g_queue_pop_head(&u->waiting));
}

/* Refuses a copy if the upstream is leaving, cold or full; returns whether it
 * did. */
static bool refuse(struct world *w, const struct fake_upstream *u,
		   struct copy *copy)
{
	uint32_t copies_present = u->running->len + u->waiting.length;

	if (u->leaving && world_random(w, 0, 1))
		answer(w, copy, ANSWER_LEAVING, 0, world_delay(w));
	else if (upstream_is_cold(w, u) && copies_present >= u->cold_limit)
		answer(w, copy, ANSWER_COLD, 0, world_delay(w));
	else if (copies_present >= SLOTS + QUEUE_MAX)
		answer(w, copy, ANSWER_SHED, 0, world_delay(w));
	else
		return false;
	return true;
}

void upstream_arrive(struct world *w, struct event *event)
{
	struct copy *copy = event->a;
	struct connection *c = copy->connection;
	struct fake_upstream *u = &w->upstreams[c->upstream];

	if (c->silent)
		return;
	if (!u->up || u->boot != c->boot) {
		answer(w, copy, ANSWER_RESET, 0, world_delay(w));
		return;
	}
	if (w->now < u->frozen_until_us) {
		world_requeue(w, event, u->frozen_until_us);
		return;
	}
	oracle_received(w, u, copy);
	if (refuse(w, u, copy))
		return;
	if (u->running->len < SLOTS)
		begin_execution(w, u, copy);
	else
		g_queue_push_tail(&u->waiting, copy);
}

static void restart(struct world *w, struct event *event)
{
	struct fake_upstream *u = event->a;

	u->boot++;
	u->up = true;
	u->frozen_until_us = 0;
	u->cold_start = true;
	u->cold_until_us = w->now + world_random(w, 200, 1500) * MS;
	u->cold_limit = (uint32_t)world_random(w, 1, 2);
}

/* Records a crash for every call in flight on an upstream. */
static void record_crashes(struct world *w, const struct fake_upstream *u,
			   struct call *culprit)
{
	guint i;

	for (i = 0; i < w->connections->len; i++) {
		const struct connection *c =
			g_ptr_array_index(w->connections, i);
		const struct copy *copy = c->current;
		struct call *call;

		if (c->upstream != u->index || c->boot != u->boot || !copy)
			continue;
		call = copy->request->call;
		if (call->death_count < G_N_ELEMENTS(call->deaths))
			call->deaths[call->death_count++] =
				(struct death){ culprit,
						copy->sent_knowing_crash };
	}
}

void upstream_die(struct world *w, struct fake_upstream *u, bool lost,
		  struct call *culprit)
{
	guint i;

	if (!u->up)
		return;
	record_crashes(w, u, culprit);
	for (i = 0; i < w->connections->len; i++) {
		struct connection *c = g_ptr_array_index(w->connections, i);

		if (c->upstream != u->index || c->boot != u->boot || c->closed)
			continue;
		if (lost) {
			c->silent = true;
			c->silent_since_us = w->now;
		}
		world_at(w, w->now + world_delay(w), copy_answer, c, NULL,
			 ANSWER_RESET, 0);
	}
	u->up = false;
	g_ptr_array_set_size(u->running, 0);
	g_queue_clear(&u->waiting);
	world_at(w, w->now + RESTART_US + world_random(w, 0, 400) * MS, restart,
		 u, NULL, 0, 0);
}

bool upstream_read(struct world *w, const struct fake_upstream *u, char *boot,
		   struct budget_reading *reading)
{
	if (!u->up || w->now < u->frozen_until_us)
		return false;
	g_snprintf(boot, 16, "b%u", u->boot);
	reading->boot = str_from(boot);
	reading->limit =
		upstream_is_cold(w, u) ? u->cold_limit : BUDGET_CONNECTIONS;
	reading->running = u->running->len + u->waiting.length;
	return true;
}

void upstream_leave(struct world *w, struct fake_upstream *u)
{
	uint32_t i;

	u->leaving = !u->leaving;
	u->leaving_since_us = w->now;
	for (i = 0; i < ROUTERS; i++)
		router_list(w, &w->routers[i]);
}
