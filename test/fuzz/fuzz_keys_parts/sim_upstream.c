/* Simulated upstreams, which track key ranges, fencing tokens and grant times,
 * and the oracle's rules. */
#include <string.h>

#include "base/planted.h"
#include "fuzz_keys_parts/world.h"

/* Time after which a VM gives up waiting for the answer to an order. */
#define ORDER_TIMEOUT_S 0.5

/* Rule: at most one upstream holds a key at any time. */
static void check_owners(struct world *world)
{
	unsigned int k, t;

	for (k = 0; k < SAMPLES; k++) {
		unsigned int holders = 0;

		for (t = 0; t < UPSTREAM_COUNT; t++)
			holders += world->upstreams[t].up &&
				   world->upstreams[t].holds[k].until_s >
					   world->now_s;
		if (holders > 1)
			world->violated_rule = "a key has one owner";
	}
}

/* Rule: a key is granted to another owner, or to another incarnation, only
 * under a higher fencing token. */
static void check_fence(struct world *world, unsigned int t, unsigned int k,
			uint64_t fence)
{
	int64_t incarnation = world->upstreams[t].started_ms;

	if ((world->fence_upstream[k] != (int)t ||
	     world->fence_incarnation[k] != incarnation) &&
	    fence <= world->fence[k])
		world->violated_rule = "a new owner has a higher token";
	if (fence < world->fence[k])
		return;
	world->fence[k] = fence;
	world->fence_upstream[k] = (int)t;
	world->fence_incarnation[k] = incarnation;
}

/* An upstream carries out an order. It refuses a grant if it knows a higher
 * fencing token for one of the sample keys. late: a while after the order's
 * arrival. */
static enum order_result apply_order(struct world *world, struct delivery *d,
				     bool late)
{
	struct sim_upstream *upstream = &world->upstreams[d->upstream];
	unsigned int k;

	for (k = 0; k < SAMPLES; k++) {
		unsigned int key = k * SAMPLE_STEP;

		if (key >= d->order.first && key <= d->order.last &&
		    !d->release && d->order.fence < upstream->highest_fence[k])
			return ORDER_FENCED;
	}
	for (k = 0; k < SAMPLES; k++) {
		unsigned int key = k * SAMPLE_STEP;

		if (key < d->order.first || key > d->order.last)
			continue;
		upstream->highest_fence[k] =
			MAX(upstream->highest_fence[k], d->order.fence);
		if (d->release) {
			upstream->holds[k].until_s = 0;
			continue;
		}
		upstream->holds[k].until_s =
			MAX(upstream->holds[k].until_s,
			    d->arrived_s + d->order.hold_s * SLOW_CLOCK);
		if (!late)
			check_fence(world, d->upstream, k, d->order.fence);
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

static void schedule_event(struct world *world, double after_s,
			   void (*run)(struct world *world, void *data),
			   struct delivery *d)
{
	d->events++;
	world_at(world, after_s, run, d);
}

/* The result of an order, on its way to the VM. */
struct reply {
	struct delivery *delivery;
	enum order_result result;
	/* The connection is closed. */
	bool broken;
};

static void send_next(struct vm *vm, unsigned int t);

/* Reports the result of an order to the allocator and sends the next grant. */
static void complete_order(struct delivery *d, enum order_result result,
			   bool broken)
{
	struct vm *vm = d->vm;
	struct world *world = vm->world;

	d->done = true;
	if (!d->release)
		vm->sending[d->upstream] = false;
	if (broken && !d->release) {
		vm->connected[d->upstream] = 0;
		key_allocator_owner_disconnected(
			vm->allocator,
			g_intern_string(world->upstreams[d->upstream].id));
	}
	key_allocator_order_done(vm->allocator, d->order.id, result,
				 d->release ? "token" : NULL, world->now_s);
	send_next(vm, d->upstream);
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
	if (!d->done && vm->up && vm->incarnation == d->vm_incarnation &&
	    vm->allocator && vm->allocator_number == d->allocator_number)
		complete_order(d, r->result, r->broken);
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

	/* An order does not outlive the process that received it. */
	if (world->upstreams[d->upstream].up &&
	    world->upstreams[d->upstream].started_ms == d->arrived_incarnation)
		apply_order(world, d, true);
	delivery_unref(d);
}

/* A grant has opened a connection, unless its sender has closed it again. */
static void set_connected(const struct delivery *d)
{
	struct vm *vm = d->vm;

	if (!d->release && vm->incarnation == d->vm_incarnation &&
	    vm->allocator_number == d->allocator_number)
		vm->connected[d->upstream] = d->arrived_incarnation;
}

static void on_arrival(struct world *world, void *data)
{
	struct delivery *d = data;
	struct sim_upstream *upstream = &world->upstreams[d->upstream];
	struct vm *vm = d->vm;

	d->arrived_s = world->now_s;
	d->arrived_incarnation = upstream->started_ms;
	if (vm->cut[d->upstream] || upstream->unresponsive) {
		/* The sender times out and resets the connection. */
	} else if (!upstream->up) {
		reply_later(world, d, 0.002, ORDER_NOT_SENT, true);
	} else if (d->connected_to && d->connected_to != upstream->started_ms) {
		reply_later(world, d, 0.002, ORDER_UNKNOWN, true);
	} else if (upstream->delays_orders && world_random(world, 0, 1) < 0.5) {
		set_connected(d);
		schedule_event(world, world_random(world, 2, 12), apply_late,
			       d);
	} else {
		set_connected(d);
		reply_later(world, d,
			    d->release ? world_random(world, 0.002, 0.3)
				       : 0.003,
			    apply_order(world, d, false), false);
	}
	delivery_unref(d);
}

static void send_now(struct vm *vm, struct delivery *d)
{
	struct world *world = vm->world;

	if (!d->release) {
		vm->sending[d->upstream] = true;
		d->connected_to = vm->connected[d->upstream];
	}
	/* Without an answer in time, the VM closes the connection. */
	reply_later(world, d, ORDER_TIMEOUT_S, ORDER_UNKNOWN, true);
	schedule_event(world, world_random(world, 0.001, 0.01), on_arrival, d);
}

/* Returns whether a grant may be sent now. As in the entry daemon, a fencing
 * token that was sent before must not be sent on a new connection. */
static bool may_send(struct vm *vm, struct delivery *d)
{
	const char *id = g_intern_string(vm->world->upstreams[d->upstream].id);

	if (!vm_may_order(vm))
		return false;
	if (vm->connected[d->upstream] &&
	    (d->order.fresh ||
	     d->connection_number == vm->connections_opened[d->upstream] ||
	     injected(INJECTED_FENCING_TOKEN_REUSED)))
		return true;
	if (!d->order.fresh && !injected(INJECTED_FENCING_TOKEN_REUSED)) {
		key_allocator_owner_disconnected(vm->allocator, id);
		return false;
	}
	vm->connections_opened[d->upstream]++;
	key_allocator_owner_reconnecting(vm->allocator, id);
	return true;
}

/* Reports to the allocator that the order was not sent. */
static void report_not_sent(struct vm *vm, struct delivery *d)
{
	key_allocator_order_done(vm->allocator, d->order.id, ORDER_NOT_SENT,
				 NULL, vm->world->now_s);
}

/* Sends the queued grants to an upstream until one is in flight. */
static void send_next(struct vm *vm, unsigned int t)
{
	struct delivery *d;

	while (!vm->sending[t] && (d = g_queue_pop_head(&vm->pending[t]))) {
		d->events++;
		if (vm->allocator && d->vm_incarnation == vm->incarnation &&
		    d->allocator_number == vm->allocator_number) {
			if (may_send(vm, d))
				send_now(vm, d);
			else
				report_not_sent(vm, d);
		}
		delivery_unref(d);
	}
}

void sim_upstream_drop_pending(struct vm *vm)
{
	struct delivery *d;
	unsigned int t;

	for (t = 0; t < UPSTREAM_COUNT; t++)
		while ((d = g_queue_pop_head(&vm->pending[t]))) {
			d->events++;
			delivery_unref(d);
		}
}

void sim_upstream_send(struct vm *vm, const struct key_order *order,
		       bool release)
{
	struct delivery *d = g_new0(struct delivery, 1);
	unsigned int t;

	for (t = 0; t + 1 < UPSTREAM_COUNT; t++)
		if (!strcmp(vm->world->upstreams[t].id, order->owner))
			break;
	d->vm = vm;
	d->vm_incarnation = vm->incarnation;
	d->allocator_number = vm->allocator_number;
	d->upstream = t;
	d->connection_number = vm->connections_opened[t];
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

void sim_upstream_start(struct world *world, unsigned int index)
{
	struct sim_upstream *upstream = &world->upstreams[index];

	memset(upstream->holds, 0, sizeof(upstream->holds));
	memset(upstream->highest_fence, 0, sizeof(upstream->highest_fence));
	upstream->started_ms = (int64_t)(world->now_s * 1000) + 1;
	upstream->up = true;
	upstream->unresponsive = false;
}

void sim_upstream_stop(struct world *world, unsigned int index)
{
	struct sim_upstream *upstream = &world->upstreams[index];

	upstream->up = false;
	memset(upstream->holds, 0, sizeof(upstream->holds));
}
