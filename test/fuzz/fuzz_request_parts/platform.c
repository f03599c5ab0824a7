#include "fuzz_request_parts/world.h"

#define TRIAL UPSTREAMS

/* One ShareRequest on its way through the holder and back. */
struct asking {
	struct fake_router *router;
	uint32_t life, holder_life, upstream;
	struct budget_ask ask;
	struct budget_reading reading;
	char boot[16];
	int64_t asked_us;
	struct budget_grant grant;
};

static void take_share(struct world *w, struct event *event)
{
	struct asking *asking = event->a;
	struct fake_router *r = asking->router;

	if (!r->up || r->life != asking->life || router_paused(w, r, event))
		return;
	if (asking->upstream == TRIAL)
		budget_share_take(&r->trial, asking->asked_us,
				  asking->grant.count,
				  asking->grant.duration_us);
	else
		pool_take_share(r->pool, asking->upstream,
				str_from(asking->boot), asking->asked_us,
				asking->grant.count, asking->grant.duration_us);
	router_wake(w, r);
}

static int64_t link_time(struct world *w, int64_t *last)
{
	*last = MAX(*last + 1, w->now + world_delay(w));
	return *last;
}

static void answer_share(struct world *w, struct event *event)
{
	struct asking *asking = event->a;
	struct budget_allocator *holder = w->holders[asking->upstream];
	char router[16];

	if (!w->holder_up || w->holder_life != asking->holder_life)
		return;
	if (event->n)
		budget_allocator_update(holder, &asking->reading, w->now);
	g_snprintf(router, sizeof(router), "r%u.%u", asking->router->index,
		   asking->life);
	asking->grant = budget_allocator_grant(holder, str_from(router),
					       &asking->ask, w->now);
	g_strlcpy(asking->boot, asking->grant.boot.data, sizeof(asking->boot));
	world_at(w, link_time(w, &asking->router->link_in_us), take_share,
		 asking, NULL, 0, 0);
}

/* The holder's reading reaches the upstream and returns. */
static void read_upstream(struct world *w, struct event *event)
{
	struct asking *asking = event->a;
	bool answered = upstream_read(w, &w->upstreams[asking->upstream],
				      asking->boot, &asking->reading);

	world_at(w, w->now + world_delay(w), answer_share, asking, NULL,
		 answered, 0);
}

static void hold_ask(struct world *w, struct event *event)
{
	struct asking *asking = event->a;

	if (!w->holder_up)
		return;
	asking->holder_life = w->holder_life;
	asking->reading.asked_us = w->now;
	if (asking->upstream == TRIAL) {
		asking->reading.boot = STR("trial");
		asking->reading.limit = 1;
		event->n = 1;
		answer_share(w, event);
	} else if (budget_allocator_stale(w->holders[asking->upstream],
					  w->now)) {
		world_at(w, w->now + world_delay(w), read_upstream, asking,
			 NULL, 0, 0);
	} else {
		event->n = 0;
		answer_share(w, event);
	}
}

void platform_ask(struct world *w, struct fake_router *r, uint32_t upstream,
		  const struct budget_ask *ask, int64_t asked_us)
{
	struct asking *asking = world_new(w, sizeof(*asking));

	asking->router = r;
	asking->life = r->life;
	asking->upstream = upstream;
	asking->ask = *ask;
	asking->asked_us = asked_us;
	world_at(w, link_time(w, &r->link_out_us), hold_ask, asking, NULL, 0,
		 0);
}

static void new_holder(struct world *w, struct event *event)
{
	int i;

	(void)event;
	w->holder_up = true;
	w->holder_life++;
	for (i = 0; i <= UPSTREAMS; i++) {
		budget_allocator_destroy(w->holders[i]);
		w->holders[i] = budget_allocator_create(w->now);
	}
}

void platform_lose_holder(struct world *w)
{
	if (!w->holder_up)
		return;
	w->holder_up = false;
	world_at(w, w->now + world_random(w, 1, 100) * MS, new_holder, NULL,
		 NULL, 0, 0);
}

struct row {
	char *value;
	uint64_t version;
};

/* One POST /batch on its way. */
struct posting {
	struct fake_router *router;
	uint32_t life;
	struct table_op ops[CLAIM_BATCH_MAX];
	struct table_result results[CLAIM_BATCH_MAX];
	size_t count;
};

static char *keep(struct world *w, struct str text)
{
	char *copy = str_dup(text);

	g_ptr_array_add(w->garbage, copy);
	return copy;
}

static void apply(struct world *w, const struct table_op *op,
		  struct table_result *result)
{
	struct row *row = g_hash_table_lookup(w->table, op->key.data);

	if (!row) {
		row = world_new(w, sizeof(*row));
		g_hash_table_insert(w->table, keep(w, op->key), row);
	}
	result->status = TABLE_OK;
	if (op->kind == TABLE_OP_GET && !row->version) {
		result->status = TABLE_ABSENT;
	} else if (op->kind == TABLE_OP_PUT && op->if_version != row->version) {
		result->status = TABLE_CONFLICT;
	} else if (op->kind == TABLE_OP_PUT) {
		row->value = keep(w, op->value);
		row->version++;
	}
	result->version = row->version;
	result->value = str_from(row->value);
}

static void apply_all(struct world *w, struct event *event)
{
	struct posting *posting = event->a;
	size_t i;

	for (i = 0; i < posting->count; i++)
		apply(w, &posting->ops[i], &posting->results[i]);
}

static void take_results(struct world *w, struct event *event)
{
	struct posting *posting = event->a;
	struct fake_router *r = posting->router;
	guint i;

	if (!r->up || r->life != posting->life || router_paused(w, r, event))
		return;
	for (i = 0; i < r->batched->len; i++) {
		struct request *request = g_ptr_array_index(r->batched, i);

		request->in_batch = false;
	}
	g_ptr_array_set_size(r->batched, 0);
	claim_batch_result(r->batch, posting->results, posting->count, w->now);
	router_wake(w, r);
}

static void set_all(struct posting *posting, bool write_lost)
{
	size_t i;

	for (i = 0; i < posting->count; i++) {
		bool get = posting->ops[i].kind == TABLE_OP_GET;

		posting->results[i] = (struct table_result){
			.status = write_lost && !get ? TABLE_UNKNOWN
						     : TABLE_UNAVAILABLE,
		};
	}
}

/* Lost answers: applied at once, applied late, or never. */
static void post_lossy(struct world *w, struct event *event)
{
	struct posting *posting = event->a;
	int64_t fate = world_random(w, 0, 2);

	if (fate == 0) {
		apply_all(w, event);
	} else if (fate == 1) {
		struct posting *late = world_new(w, sizeof(*late));

		*late = *posting;
		world_at(w, w->now + world_random(w, 1, 300) * MS, apply_all,
			 late, NULL, 0, 0);
	}
	set_all(posting, true);
}

static void post(struct world *w, struct event *event)
{
	struct posting *posting = event->a;
	int64_t delay = world_delay(w);

	if (w->now < w->table_down_us) {
		set_all(posting, false);
	} else if (w->now < w->table_lossy_us && world_random(w, 0, 1)) {
		post_lossy(w, event);
		delay = 50 * MS;
	} else {
		apply_all(w, event);
	}
	world_at(w, w->now + delay, take_results, posting, NULL, 0, 0);
}

void platform_batch(struct world *w, struct fake_router *r)
{
	struct posting *posting = world_new(w, sizeof(*posting));
	const struct table_op *ops = claim_batch_ops(r->batch, &posting->count);
	size_t i;

	posting->router = r;
	posting->life = r->life;
	for (i = 0; i < posting->count; i++) {
		posting->ops[i] = ops[i];
		/* The claim may be gone when it arrives. */
		posting->ops[i].key = str_from(keep(w, ops[i].key));
		posting->ops[i].value = str_from(keep(w, ops[i].value));
	}
	world_at(w, w->now + world_delay(w), post, posting, NULL, 0, 0);
}
