/* Runs a fuzz input: each byte may inject a fault and advances time. */
#include <string.h>

#include "fuzz_keys_parts/world.h"

/* Most bytes of an input that are run. */
#define INPUT_MAX 1200
/* Mean interval between two ticks of a VM. */
#define TICK_S 0.05

static int compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct event *x = a;
	const struct event *y = b;

	(void)data;
	return x->at_s < y->at_s ? -1 : x->at_s > y->at_s;
}

void world_at(struct world *world, double after_s,
	      void (*run)(struct world *world, void *data), void *data)
{
	struct event *event = g_new0(struct event, 1);

	event->at_s = world->now_s + MAX(after_s, 0);
	event->run = run;
	event->data = data;
	g_sequence_insert_sorted(world->events, event, compare_events, NULL);
}

double world_random(struct world *world, double low, double high)
{
	return g_rand_double_range(world->random, low, high);
}

static void tick_vm(struct world *world, void *data)
{
	struct vm *vm = data;

	vm_tick(vm);
	world_at(world, TICK_S * world_random(world, 0.9, 1.1), tick_vm, vm);
}

/* The list of upstreams shows the present incarnation of an upstream, if up. */
static void list_upstream(struct world *world, void *data)
{
	struct sim_upstream *upstream = data;

	(void)world;
	upstream->listed = upstream->up;
	upstream->listed_ms = upstream->started_ms;
}

static void start_upstream(struct world *world, unsigned int t)
{
	sim_upstream_start(world, t);
	world_at(world, world_random(world, 0.05, 2), list_upstream,
		 &world->upstreams[t]);
}

static void end_unresponsive(struct world *world, void *data)
{
	struct sim_upstream *upstream = data;

	(void)world;
	upstream->unresponsive = false;
}

static void start_vm(struct world *world, void *data)
{
	struct vm *vm = data;

	(void)world;
	if (!vm->up)
		vm_start(vm);
}

static void inject_vm_fault(struct world *world, uint8_t byte)
{
	struct vm *vm = &world->vms[byte % VM_COUNT];
	double span;

	switch (byte / VM_COUNT % 5) {
	case 0:
		span = world_random(world, 0.1, 6);
		if (!vm->up || vm_is_frozen(vm))
			return;
		vm->frozen_until_s = world->now_s + span;
		vm->frozen_s += span;
		return;
	case 1:
		if (!vm->up)
			return;
		vm_stop(vm);
		world_at(world, world_random(world, 0.1, 3), start_vm, vm);
		return;
	case 2:
		vm->store_cut = !vm->store_cut;
		return;
	default:
		vm->cut[byte % UPSTREAM_COUNT] =
			!vm->cut[byte % UPSTREAM_COUNT];
		return;
	}
}

static void inject_upstream_fault(struct world *world, uint8_t byte)
{
	unsigned int t = byte % UPSTREAM_COUNT;
	struct sim_upstream *upstream = &world->upstreams[t];

	switch (byte / UPSTREAM_COUNT % 6) {
	case 0:
		if (upstream->up)
			sim_upstream_stop(world, t);
		else
			start_upstream(world, t);
		return;
	case 1:
		/* Restarts the upstream without a pause. */
		sim_upstream_stop(world, t);
		start_upstream(world, t);
		return;
	case 2:
		upstream->unresponsive = true;
		world_at(world, world_random(world, 0.5, 8), end_unresponsive,
			 upstream);
		return;
	case 3:
		upstream->leaving = !upstream->leaving;
		return;
	case 4:
		upstream->delays_orders = !upstream->delays_orders;
		return;
	default:
		upstream->listed = !upstream->listed || !upstream->up;
		return;
	}
}

static void inject_fault(struct world *world, uint8_t byte)
{
	switch (byte % 8) {
	case 0:
		inject_vm_fault(world, byte / 8);
		return;
	case 1:
		inject_upstream_fault(world, byte / 8);
		return;
	case 2:
		/* The store is mostly up. Otherwise no leader could make
		 * progress. */
		world->store_mode =
			byte / 8 % 10 < 4
				? (enum store_mode)(byte / 8 % STORE_MODES)
				: STORE_MODE_UP;
		return;
	default:
		return;
	}
}

/* Runs the events of the next span_s seconds, or to the first violated rule. */
static void advance(struct world *world, double span_s)
{
	double until = world->now_s + span_s;

	while (!world->violated_rule) {
		GSequenceIter *first = g_sequence_get_begin_iter(world->events);
		struct event *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->at_s > until)
			break;
		g_sequence_remove(first);
		world->now_s = MAX(world->now_s, event->at_s);
		event->run(world, event->data);
		world->steps++;
		g_free(event);
	}
	world->now_s = until;
}

static struct world *world_create(uint32_t seed)
{
	struct world *world = g_new0(struct world, 1);
	unsigned int i;

	world->now_s = 100;
	world->random = g_rand_new_with_seed(seed);
	world->events = g_sequence_new(NULL);
	store_clear(world);
	for (i = 0; i < SAMPLES; i++)
		world->fence_upstream[i] = -1;
	for (i = 0; i < UPSTREAM_COUNT; i++) {
		g_snprintf(world->upstreams[i].id,
			   sizeof(world->upstreams[i].id), "t%u", i);
		sim_upstream_start(world, i);
		list_upstream(world, &world->upstreams[i]);
	}
	for (i = 0; i < VM_COUNT; i++) {
		world->vms[i].world = world;
		world->vms[i].index = i;
		vm_start(&world->vms[i]);
		world_at(world, 0, tick_vm, &world->vms[i]);
	}
	return world;
}

/* Frees the simulation. Each remaining event is run, with all VMs and upstreams
 * down, because only the event can free the object that it refers to. */
static void world_destroy(struct world *world)
{
	GSequenceIter *at = g_sequence_get_begin_iter(world->events);
	unsigned int i;

	for (i = 0; i < VM_COUNT; i++) {
		world->vms[i].frozen_until_s = 0;
		if (world->vms[i].up)
			vm_stop(&world->vms[i]);
	}
	for (i = 0; i < UPSTREAM_COUNT; i++)
		world->upstreams[i].up = false;
	world->store_mode = STORE_MODE_DOWN;
	while (!g_sequence_iter_is_end(at)) {
		struct event *event = g_sequence_get(at);

		g_sequence_remove(at);
		/* These two hold no memory; the tick would start another. */
		if (event->run != tick_vm && event->run != start_vm)
			event->run(world, event->data);
		g_free(event);
		at = g_sequence_get_begin_iter(world->events);
	}
	g_sequence_free(world->events);
	g_hash_table_destroy(world->rows);
	g_rand_free(world->random);
	g_free(world);
}

struct run_result run_input(const uint8_t *data, size_t size)
{
	struct run_result result = { 0 };
	uint32_t seed = 1;
	struct world *world;
	size_t i;

	/* The lease draws its jitter from GLib's global generator. */
	g_random_set_seed(1);
	for (i = 0; i < size && i < 16; i++)
		seed = seed * 31 + data[i];
	world = world_create(seed);
	for (i = 0; i < size && i < INPUT_MAX && !world->violated_rule; i++) {
		inject_fault(world, data[i]);
		advance(world, world_random(world, 0.02, 0.3));
	}
	result.rule = world->violated_rule;
	result.steps = world->steps;
	result.grants = world->grants;
	result.moves = world->moves;
	world_destroy(world);
	return result;
}
