#include "fuzz_request_parts/run.h"

#include "base/hash.h"
#include "fuzz_request_parts/world.h"

/* Most operations that are read from one input, to limit the time of a replay.
 * An input whose size is a multiple of LONG_BYTES is read to its end. */
#define OPERATIONS_MAX 28
#define LONG_BYTES 128
/* Most calls of a run that crash upstreams. */
#define MARKED_MAX 2
/* Most times that a call is submitted again after a reply that was not whole or
 * the death of its router. */
#define SUBMISSIONS 4
/* Time without new calls at the end, within which every request must end. */
#define DRAIN_US (3000 * MS)

static void start(struct world *w, uint32_t seed)
{
	uint32_t i;

	w->now = 1000 * MS;
	w->rng = g_rand_new_with_seed(seed);
	w->events = g_sequence_new(g_free);
	w->allocations = g_ptr_array_new_with_free_func(g_free);
	w->connections = g_ptr_array_new();
	w->calls = g_ptr_array_new();
	w->table = g_hash_table_new(g_str_hash, g_str_equal);
	w->holder_up = true;
	w->assigner_poison = poison_create();
	for (i = 0; i <= UPSTREAMS; i++)
		w->holders[i] = budget_allocator_create(0);
	for (i = 0; i < UPSTREAMS; i++)
		upstream_init(w, i);
	for (i = 0; i < ROUTERS; i++) {
		w->routers[i].index = i;
		router_start(w, &w->routers[i]);
	}
}

static void stop(struct world *w)
{
	uint32_t i;

	for (i = 0; i < ROUTERS; i++)
		if (w->routers[i].up)
			router_stop(&w->routers[i]);
	for (i = 0; i < UPSTREAMS; i++)
		upstream_clear(&w->upstreams[i]);
	for (i = 0; i <= UPSTREAMS; i++)
		budget_allocator_destroy(w->holders[i]);
	poison_destroy(w->assigner_poison);
	g_hash_table_destroy(w->table);
	g_ptr_array_free(w->calls, TRUE);
	g_ptr_array_free(w->connections, TRUE);
	g_sequence_free(w->events);
	g_ptr_array_free(w->allocations, TRUE);
	g_rand_free(w->rng);
}

static struct call *new_call(struct world *w, enum kind kind)
{
	struct call *call = world_new(w, sizeof(*call));

	call->index = w->calls->len;
	call->kind = kind;
	call->fingerprint = hash_seeded(STR("call"), call->index);
	call->submissions_left = SUBMISSIONS;
	g_ptr_array_add(w->calls, call);
	return call;
}

/* Submits one to eight calls at once to one router. */
static void submit(struct world *w, uint8_t a, uint8_t b)
{
	static const enum kind kinds[] = { KIND_READ, KIND_KEYED, KIND_PLAIN,
					   KIND_ONCE };
	uint32_t i;

	for (i = 0; i <= (b & 7u); i++)
		router_submit(w, &w->routers[a % ROUTERS],
			      new_call(w, kinds[(b >> 3) % 4]));
}

/* Submits one call to all routers at once, or a call that crashes upstreams. */
static void submit_special(struct world *w, uint8_t a, uint8_t b)
{
	struct call *call;
	uint32_t i;

	if (b & 1u) {
		call = new_call(w, KIND_ONCE);
		for (i = 0; i < ROUTERS; i++)
			router_submit(w, &w->routers[i], call);
	} else if (w->marked_calls < MARKED_MAX) {
		w->marked_calls++;
		router_submit(w, &w->routers[a % ROUTERS],
			      new_call(w, KIND_MARKED));
	}
}

/* Makes the network drop all traffic on the open connections of a router to an
 * upstream. */
static void silence(struct world *w, uint8_t a, uint8_t b)
{
	guint i;

	for (i = 0; i < w->connections->len; i++) {
		struct connection *c = g_ptr_array_index(w->connections, i);

		if (c->router != a % ROUTERS || c->upstream != b % UPSTREAMS ||
		    c->closed || c->silent)
			continue;
		/* The connection stays open: the router has to detect the
		 * silence. */
		c->silent = true;
		c->silent_since_us = w->now;
	}
}

/* Injects a fault of the kind what. a chooses the process; b sets a duration or
 * a variant. */
static void inject_fault(struct world *w, uint8_t what, uint8_t a, uint8_t b)
{
	struct fake_upstream *u = &w->upstreams[a % UPSTREAMS];
	struct fake_router *r = &w->routers[a % ROUTERS];

	switch (what) {
	case 0:
		u->frozen_until_us =
			MAX(u->frozen_until_us, w->now + 10 * MS * b);
		break;
	case 1:
		upstream_die(w, u, b & 1u, NULL);
		break;
	case 2:
		silence(w, a, b);
		break;
	case 3:
		if (upstream_is_cold(w, u))
			break;
		u->cold_start = false;
		u->cold_until_us = w->now + 2 * MS * b;
		u->cold_limit = 1;
		break;
	case 4:
		platform_lose_holder(w);
		break;
	case 5:
		if (b & 1u)
			router_kill(w, r);
		else
			r->paused_until_us =
				MAX(r->paused_until_us, w->now + 2 * MS * b);
		break;
	case 6:
		if (b & 1u)
			w->table_down_until_us = w->now + 4 * MS * b;
		else
			w->table_lossy_until_us = w->now + 8 * MS * b;
		break;
	case 7:
		upstream_leave(w, u);
		break;
	default:
		u->slow_until_us = w->now + 4 * MS * b;
		break;
	}
}

/* Runs one operation of the input: three bytes, of which the first chooses what
 * to do. */
static void operate(struct world *w, const uint8_t *op)
{
	uint8_t what = op[0] % 32;

	if (what < 14)
		submit(w, op[1], op[2]);
	else if (what < 18)
		world_run(w, w->now + MS * op[2]);
	else if (what < 21)
		world_run(w, w->now + 4 * MS * op[2]);
	else if (what < 23)
		submit_special(w, op[1], op[2]);
	else
		inject_fault(w, what - 23, op[1], op[2]);
	world_run(w, w->now + MS * (op[1] >> 5));
}

struct run_result run_input(const uint8_t *data, size_t size)
{
	struct world w = { 0 };
	struct run_result result;
	size_t count = size < 4 ? 0 : (size - 4) / 3;
	size_t i;

	if (size % LONG_BYTES)
		count = MIN(count, OPERATIONS_MAX);
	if (size < 7)
		return (struct run_result){ 0 };
	start(&w, (uint32_t)hash_key((struct str){ (const char *)data, 4 }));
	for (i = 0; i < count; i++)
		if (!w.violation)
			operate(&w, data + 4 + 3 * i);
	w.draining = true;
	world_run(&w, w.now + DRAIN_US);
	if (!w.violation)
		oracle_end(&w);
	result = (struct run_result){ w.violation, w.steps, w.submitted };
	stop(&w);
	return result;
}
