/* Upstreams that know ranges, tokens and times, and the oracle's rules. */
#include <string.h>

#include "base/planted.h"
#include "fuzz_keys_parts/world.h"

#define ORDER_TIMEOUT_S 0.5

static void check_owners(struct world *world)
{
	unsigned int k, t;

	for (k = 0; k < SAMPLES; k++) {
		unsigned int holders = 0;

		for (t = 0; t < TARGETS; t++)
			holders += world->targets[t].up &&
				   world->targets[t].holds[k].until_s >
					   world->now_s;
		if (holders > 1)
			world->broken = "a key has one owner";
	}
}

/* A key goes to another owner, or another life, under a higher token only. */
static void check_fence(struct world *world, unsigned int t, unsigned int k,
			uint64_t fence)
{
	int64_t life = world->targets[t].started_ms;

	if ((world->fence_target[k] != (int)t ||
	     world->fence_life[k] != life) &&
	    fence <= world->fence[k])
		world->broken = "a new owner has a higher token";
	if (fence < world->fence[k])
		return;
	world->fence[k] = fence;
	world->fence_target[k] = (int)t;
	world->fence_life[k] = life;
}

static enum order_result apply(struct world *world, struct delivery *d,
			       bool late)
{
	struct target *target = &world->targets[d->target];
	unsigned int k;

	for (k = 0; k < SAMPLES; k++) {
		unsigned int key = k * SAMPLE_STEP;

		if (key >= d->order.first && key <= d->order.last &&
		    !d->release && d->order.fence < target->seen[k])
			return ORDER_FENCED;
	}
	for (k = 0; k < SAMPLES; k++) {
		unsigned int key = k * SAMPLE_STEP;

		if (key < d->order.first || key > d->order.last)
			continue;
		target->seen[k] = MAX(target->seen[k], d->order.fence);
		if (d->release) {
			target->holds[k].until_s = 0;
			continue;
		}
		target->holds[k].until_s =
			MAX(target->holds[k].until_s,
			    d->arrived_s + d->order.hold_s * SLOW_CLOCK);
		if (!late)
			check_fence(world, d->target, k, d->order.fence);
	}
	world->grants += !d->release;
	check_owners(world);
	return ORDER_DONE;
}

static void delivery_unref(struct delivery *d)
{
	if (--d->events)
		return;
	g_free((char *)d->order.handover);
	g_free(d);
}

static void later(struct world *world, double after_s,
		  void (*run)(struct world *world, void *data),
		  struct delivery *d)
{
	d->events++;
	world_at(world, after_s, run, d);
}

struct reply {
	struct delivery *delivery;
	enum order_result result;
	bool broken;
};

static void send_next(struct vm *vm, unsigned int t);

static void end_order(struct delivery *d, enum order_result result, bool broken)
{
	struct vm *vm = d->vm;
	struct world *world = vm->world;

	d->done = true;
	if (!d->release)
		vm->sending[d->target] = false;
	if (broken && !d->release) {
		vm->connected[d->target] = 0;
		key_allocator_owner_disconnected(
			vm->allocator,
			g_intern_string(world->targets[d->target].id));
	}
	key_allocator_order_done(vm->allocator, d->order.id, result,
				 d->release ? "token" : NULL, world->now_s);
	send_next(vm, d->target);
}

static void reply(struct world *world, void *data)
{
	struct reply *r = data;
	struct delivery *d = r->delivery;
	struct vm *vm = d->vm;

	if (vm_is_frozen(vm) && !d->done) {
		world_at(world, vm->frozen_until_s - world->now_s + 0.001,
			 reply, r);
		return;
	}
	if (!d->done && vm->up && vm->life == d->vm_life && vm->allocator &&
	    vm->allocator_number == d->allocator_number)
		end_order(d, r->result, r->broken);
	delivery_unref(d);
	g_free(r);
}

static void reply_later(struct world *world, struct delivery *d, double after_s,
			enum order_result result, bool broken)
{
	struct reply *r = g_new0(struct reply, 1);

	r->delivery = d;
	r->result = result;
	r->broken = broken;
	d->events++;
	world_at(world, after_s, reply, r);
}

static void apply_late(struct world *world, void *data)
{
	struct delivery *d = data;

	/* An order does not outlive the process that it reached. */
	if (world->targets[d->target].up &&
	    world->targets[d->target].started_ms == d->arrived_life)
		apply(world, d, true);
	delivery_unref(d);
}

static void arrive(struct world *world, void *data)
{
	struct delivery *d = data;
	struct target *target = &world->targets[d->target];
	struct vm *vm = d->vm;

	d->arrived_s = world->now_s;
	d->arrived_life = target->started_ms;
	if (vm->cut[d->target] || target->dark) {
		/* The sender gives up, and resets the connection. */
	} else if (!target->up) {
		reply_later(world, d, 0.002, ORDER_NOT_SENT, true);
	} else if (!d->release && vm->connected[d->target] &&
		   vm->connected[d->target] != target->started_ms) {
		reply_later(world, d, 0.002, ORDER_UNKNOWN, true);
	} else if (target->late && world_random(world, 0, 1) < 0.5) {
		if (!d->release)
			vm->connected[d->target] = target->started_ms;
		later(world, world_random(world, 2, 12), apply_late, d);
	} else {
		if (!d->release)
			vm->connected[d->target] = target->started_ms;
		reply_later(world, d,
			    d->release ? world_random(world, 0.002, 0.3)
				       : 0.003,
			    apply(world, d, false), false);
	}
	delivery_unref(d);
}

static void send_now(struct vm *vm, struct delivery *d)
{
	struct world *world = vm->world;

	if (!d->release)
		vm->sending[d->target] = true;
	/* A connection whose far end did not answer in time is given up. */
	reply_later(world, d, ORDER_TIMEOUT_S, ORDER_UNKNOWN, true);
	later(world, world_random(world, 0.001, 0.01), arrive, d);
}

/* As the orders of the entry daemon do: a token that was sent before does not
 * go over a new connection. */
static bool admits(struct vm *vm, struct delivery *d)
{
	const char *id = g_intern_string(vm->world->targets[d->target].id);

	if (!vm_may_order(vm))
		return false;
	if (vm->connected[d->target] &&
	    (d->order.fresh || d->connection == vm->connection[d->target] ||
	     planted(PLANTED_TOKEN_KEPT)))
		return true;
	if (!d->order.fresh && !planted(PLANTED_TOKEN_KEPT)) {
		key_allocator_owner_disconnected(vm->allocator, id);
		return false;
	}
	vm->connection[d->target]++;
	key_allocator_owner_reconnecting(vm->allocator, id);
	return true;
}

/* Nothing was sent. */
static void end_refused(struct vm *vm, struct delivery *d)
{
	key_allocator_order_done(vm->allocator, d->order.id, ORDER_NOT_SENT,
				 NULL, vm->world->now_s);
}

static void send_next(struct vm *vm, unsigned int t)
{
	struct delivery *d;

	while (!vm->sending[t] && (d = g_queue_pop_head(&vm->pending[t]))) {
		d->events++;
		if (vm->allocator && d->vm_life == vm->life &&
		    d->allocator_number == vm->allocator_number) {
			if (admits(vm, d))
				send_now(vm, d);
			else
				end_refused(vm, d);
		}
		delivery_unref(d);
	}
}

void target_forget(struct vm *vm)
{
	struct delivery *d;
	unsigned int t;

	for (t = 0; t < TARGETS; t++)
		while ((d = g_queue_pop_head(&vm->pending[t]))) {
			d->events++;
			delivery_unref(d);
		}
}

void target_send(struct vm *vm, const struct key_order *order, bool release)
{
	struct delivery *d = g_new0(struct delivery, 1);
	unsigned int t;

	for (t = 0; t + 1 < TARGETS; t++)
		if (!strcmp(vm->world->targets[t].id, order->owner))
			break;
	d->vm = vm;
	d->vm_life = vm->life;
	d->allocator_number = vm->allocator_number;
	d->target = t;
	d->connection = vm->connection[t];
	d->order = *order;
	d->order.handover = g_strdup(order->handover);
	d->release = release;
	if (release) {
		send_now(vm, d);
		return;
	}
	g_queue_push_tail(&vm->pending[t], d);
	send_next(vm, t);
}

void target_start(struct world *world, unsigned int index)
{
	struct target *target = &world->targets[index];

	memset(target->holds, 0, sizeof(target->holds));
	memset(target->seen, 0, sizeof(target->seen));
	target->started_ms = (int64_t)(world->now_s * 1000) + 1;
	target->up = true;
	target->dark = false;
}

void target_stop(struct world *world, unsigned int index)
{
	struct target *target = &world->targets[index];

	target->up = false;
	memset(target->holds, 0, sizeof(target->holds));
}
