/* The platform: the budget holder and the table with claims. */
#include "fuzz_request_parts/world.h"

/* Index of the budget for suspect calls, after those of the upstreams. */
#define TRIAL_BUDGET UPSTREAMS

/* A router's request for a budget share, and the holder's reply. */
struct share_exchange {
	struct fake_router *router;
	/** Incarnations of the router and of the holder, index of the budget.
	 */
	uint32_t incarnation, holder_incarnation, upstream;
	struct budget_request ask;
	struct budget_reading reading;
	/** Incarnation of the upstream that the share is for. */
	char boot[16];
	/** When the router sent the request. */
	int64_t asked_us;
	/** The holder's reply. */
	struct budget_grant grant;
};

static void apply_share(struct world *w, struct event *event)
{
	struct share_exchange *exchange = event->a;
	struct fake_router *r = exchange->router;

	if (!r->up || r->incarnation != exchange->incarnation ||
	    router_paused(w, r, event))
		return;
	if (exchange->upstream == TRIAL_BUDGET)
		budget_share_apply(&r->trial, exchange->asked_us,
				   exchange->grant.count,
				   exchange->grant.duration_us);
	else
		pool_apply_share(r->pool, exchange->upstream,
				 str_from(exchange->boot), exchange->asked_us,
				 exchange->grant.count,
				 exchange->grant.duration_us);
	router_wake(w, r);
}

/* Returns the arrival time of a message sent now, later than that of the last
 * message on the link. */
static int64_t arrival_in_order(struct world *w, int64_t *last)
{
	*last = MAX(*last + 1, w->now + world_delay(w));
	return *last;
}

/* The holder grants a share and replies; n: whether reading is new. */
static void answer_share(struct world *w, struct event *event)
{
	struct share_exchange *exchange = event->a;
	struct budget_allocator *holder = w->holders[exchange->upstream];
	char router[16];

	if (!w->holder_up ||
	    w->holder_incarnation != exchange->holder_incarnation)
		return;
	if (event->n)
		budget_allocator_update(holder, &exchange->reading, w->now);
	g_snprintf(router, sizeof(router), "r%u.%u", exchange->router->index,
		   exchange->incarnation);
	exchange->grant = budget_allocator_grant(holder, str_from(router),
						 &exchange->ask, w->now);
	g_strlcpy(exchange->boot, exchange->grant.boot.data,
		  sizeof(exchange->boot));
	world_at(w,
		 arrival_in_order(w, &exchange->router->last_reply_arrival_us),
		 apply_share, exchange, NULL, 0, 0);
}

/* The holder's query arrives at the upstream, whose reply goes back to it. */
static void read_upstream(struct world *w, struct event *event)
{
	struct share_exchange *exchange = event->a;
	bool answered = upstream_read(w, &w->upstreams[exchange->upstream],
				      exchange->boot, &exchange->reading);

	world_at(w, w->now + world_delay(w), answer_share, exchange, NULL,
		 answered, 0);
}

static void holder_receive(struct world *w, struct event *event)
{
	struct share_exchange *exchange = event->a;

	if (!w->holder_up)
		return;
	exchange->holder_incarnation = w->holder_incarnation;
	exchange->reading.asked_us = w->now;
	if (exchange->upstream == TRIAL_BUDGET) {
		exchange->reading.boot = STR("trial");
		exchange->reading.limit = 1;
		event->n = 1;
		answer_share(w, event);
	} else if (budget_allocator_stale(w->holders[exchange->upstream],
					  w->now)) {
		world_at(w, w->now + world_delay(w), read_upstream, exchange,
			 NULL, 0, 0);
	} else {
		event->n = 0;
		answer_share(w, event);
	}
}

void platform_ask(struct world *w, struct fake_router *r, uint32_t upstream,
		  const struct budget_request *ask, int64_t asked_us)
{
	struct share_exchange *exchange = world_new(w, sizeof(*exchange));

	exchange->router = r;
	exchange->incarnation = r->incarnation;
	exchange->upstream = upstream;
	exchange->ask = *ask;
	exchange->asked_us = asked_us;
	world_at(w, arrival_in_order(w, &r->last_sent_arrival_us),
		 holder_receive, exchange, NULL, 0, 0);
}

static void new_holder(struct world *w, struct event *event)
{
	int i;

	(void)event;
	w->holder_up = true;
	w->holder_incarnation++;
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

/* A row of the table. */
struct row {
	char *value;
	uint64_t version;
};

/* A POST /batch of claim operations in flight to the table. */
struct batch_post {
	struct fake_router *router;
	/** Incarnation of the router. */
	uint32_t incarnation;
	struct table_op ops[CLAIM_BATCH_MAX];
	struct table_result results[CLAIM_BATCH_MAX];
	size_t count;
};

/* Returns a copy that is freed with the world. */
static char *copy_text(struct world *w, struct str text)
{
	char *copy = str_dup(text);

	g_ptr_array_add(w->allocations, copy);
	return copy;
}

static void apply(struct world *w, const struct table_op *op,
		  struct table_result *result)
{
	struct row *row = g_hash_table_lookup(w->table, op->key.data);

	if (!row) {
		row = world_new(w, sizeof(*row));
		g_hash_table_insert(w->table, copy_text(w, op->key), row);
	}
	result->status = TABLE_OK;
	if (op->kind == TABLE_OP_GET && !row->version) {
		result->status = TABLE_ABSENT;
	} else if (op->kind == TABLE_OP_PUT && op->if_version != row->version) {
		result->status = TABLE_CONFLICT;
	} else if (op->kind == TABLE_OP_PUT) {
		row->value = copy_text(w, op->value);
		row->version++;
	}
	result->version = row->version;
	result->value = str_from(row->value);
}

static void apply_all(struct world *w, struct event *event)
{
	struct batch_post *posted = event->a;
	size_t i;

	for (i = 0; i < posted->count; i++)
		apply(w, &posted->ops[i], &posted->results[i]);
}

static void deliver_results(struct world *w, struct event *event)
{
	struct batch_post *posted = event->a;
	struct fake_router *r = posted->router;
	guint i;

	if (!r->up || r->incarnation != posted->incarnation ||
	    router_paused(w, r, event))
		return;
	for (i = 0; i < r->batched->len; i++) {
		struct request *request = g_ptr_array_index(r->batched, i);

		request->in_batch = false;
	}
	g_ptr_array_set_size(r->batched, 0);
	claim_batch_result(r->batch, posted->results, posted->count, w->now);
	router_wake(w, r);
}

/* Fails all operations of a batch. write_lost: its reply was lost, so that the
 * writes may have been applied. */
static void fail_all(struct batch_post *posted, bool write_lost)
{
	size_t i;

	for (i = 0; i < posted->count; i++) {
		bool get = posted->ops[i].kind == TABLE_OP_GET;

		posted->results[i] = (struct table_result){
			.status = write_lost && !get ? TABLE_UNKNOWN
						     : TABLE_UNAVAILABLE,
		};
	}
}

/* Loses the reply to a batch, which is applied at once, late or never. */
static void lose_batch_reply(struct world *w, struct event *event)
{
	struct batch_post *posted = event->a;
	int64_t variant = world_random(w, 0, 2);

	if (variant == 0) {
		apply_all(w, event);
	} else if (variant == 1) {
		struct batch_post *late = world_new(w, sizeof(*late));

		*late = *posted;
		world_at(w, w->now + world_random(w, 1, 300) * MS, apply_all,
			 late, NULL, 0, 0);
	}
	fail_all(posted, true);
}

/* Event: a batch reaches the table; a: struct batch_post. */
static void receive_batch(struct world *w, struct event *event)
{
	struct batch_post *posted = event->a;
	int64_t delay = world_delay(w);

	if (w->now < w->table_down_until_us) {
		fail_all(posted, false);
	} else if (w->now < w->table_lossy_until_us && world_random(w, 0, 1)) {
		lose_batch_reply(w, event);
		delay = 50 * MS;
	} else {
		apply_all(w, event);
	}
	world_at(w, w->now + delay, deliver_results, posted, NULL, 0, 0);
}

void platform_batch(struct world *w, struct fake_router *r)
{
	struct batch_post *posted = world_new(w, sizeof(*posted));
	const struct table_op *ops = claim_batch_ops(r->batch, &posted->count);
	size_t i;

	posted->router = r;
	posted->incarnation = r->incarnation;
	for (i = 0; i < posted->count; i++) {
		posted->ops[i] = ops[i];
		/* Copied: the claim may be freed before the batch arrives. */
		posted->ops[i].key = str_from(copy_text(w, ops[i].key));
		posted->ops[i].value = str_from(copy_text(w, ops[i].value));
	}
	world_at(w, w->now + world_delay(w), receive_batch, posted, NULL, 0, 0);
}
