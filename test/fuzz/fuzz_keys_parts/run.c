/* Plays an input: each byte advances time and may bring a trouble. */
#include <string.h>

#include "fuzz_keys_parts/world.h"

#define INPUT_MAX 1200
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

static void list_target(struct world *world, void *data)
{
	struct target *target = data;

	(void)world;
	target->listed = target->up;
	target->listed_ms = target->started_ms;
}

static void start_target(struct world *world, unsigned int t)
{
	target_start(world, t);
	world_at(world, world_random(world, 0.05, 2), list_target,
		 &world->targets[t]);
}

static void end_dark(struct world *world, void *data)
{
	struct target *target = data;

	(void)world;
	target->dark = false;
}

static void start_vm(struct world *world, void *data)
{
	struct vm *vm = data;

	(void)world;
	if (!vm->up)
		vm_start(vm);
}

static void play_vm(struct world *world, uint8_t byte)
{
	struct vm *vm = &world->vms[byte % VMS];
	double span;

	switch (byte / VMS % 5) {
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
		vm->cut[byte % TARGETS] = !vm->cut[byte % TARGETS];
		return;
	}
}

static void play_target(struct world *world, uint8_t byte)
{
	unsigned int t = byte % TARGETS;
	struct target *target = &world->targets[t];

	switch (byte / TARGETS % 6) {
	case 0:
		if (target->up)
			target_stop(world, t);
		else
			start_target(world, t);
		return;
	case 1:
		/* Restarts at once. */
		target_stop(world, t);
		start_target(world, t);
		return;
	case 2:
		target->dark = true;
		world_at(world, world_random(world, 0.5, 8), end_dark, target);
		return;
	case 3:
		target->leaving = !target->leaving;
		return;
	case 4:
		target->late = !target->late;
		return;
	default:
		target->listed = !target->listed || !target->up;
		return;
	}
}

static void play(struct world *world, uint8_t byte)
{
	switch (byte % 8) {
	case 0:
		play_vm(world, byte / 8);
		return;
	case 1:
		play_target(world, byte / 8);
		return;
	case 2:
		/* Mostly up, or nothing would ever be agreed. */
		world->store_mode =
			byte / 8 % 10 < 4
				? (enum store_mode)(byte / 8 % STORE_MODES)
				: STORE_MODE_UP;
		return;
	default:
		return;
	}
}

static void advance(struct world *world, double span)
{
	double until = world->now_s + span;

	while (!world->broken) {
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
		world->fence_target[i] = -1;
	for (i = 0; i < TARGETS; i++) {
		g_snprintf(world->targets[i].id, sizeof(world->targets[i].id),
			   "t%u", i);
		target_start(world, i);
		list_target(world, &world->targets[i]);
	}
	for (i = 0; i < VMS; i++) {
		world->vms[i].world = world;
		world->vms[i].index = i;
		vm_start(&world->vms[i]);
		world_at(world, 0, tick_vm, &world->vms[i]);
	}
	return world;
}

/* What events still refer to is left to the end of the process: a run's end
 * has no order in which they could be undone. */
static void world_destroy(struct world *world)
{
	GSequenceIter *at = g_sequence_get_begin_iter(world->events);
	unsigned int i;

	for (i = 0; i < VMS; i++) {
		world->vms[i].frozen_until_s = 0;
		if (world->vms[i].up)
			vm_stop(&world->vms[i]);
	}
	for (i = 0; i < TARGETS; i++)
		world->targets[i].up = false;
	world->store_mode = STORE_MODE_DOWN;
	while (!g_sequence_iter_is_end(at)) {
		struct event *event = g_sequence_get(at);

		g_sequence_remove(at);
		/* VMs and upstreams are gone: events only free what they hold.
		 */
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

	g_random_set_seed(1);
	for (i = 0; i < size && i < 16; i++)
		seed = seed * 31 + data[i];
	world = world_create(seed);
	for (i = 0; i < size && i < INPUT_MAX && !world->broken; i++) {
		play(world, data[i]);
		advance(world, world_random(world, 0.02, 0.3));
	}
	result.rule = world->broken;
	result.steps = world->steps;
	result.grants = world->grants;
	result.moves = world->moves;
	world_destroy(world);
	return result;
}
