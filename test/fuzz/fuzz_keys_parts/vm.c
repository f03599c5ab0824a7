/* Simulated VM: runs the lease, and the key allocator while it is the leader.
 */
#include <string.h>

#include "base/planted.h"
#include "fuzz_keys_parts/world.h"

/* Duration of a grant. */
#define HOLD_S 3.0
/* Duration of a grant while the renewal of the lease fails. */
#define HOLD_MAX_S 10.0
/* Remaining time of the lease that is needed to send an order. */
#define ORDER_LEASE_MIN_S 0.5
/* Where the store keeps the key map. */
#define TABLE "keys"
#define KEY "service"

static struct timespec vm_clock(void *ctx)
{
	const struct vm *vm = ctx;
	double now = vm->world->now_s;
	struct timespec t;

	if (injected(INJECTED_CLOCK_STOPS_IN_SUSPEND))
		now -= vm->frozen_s;
	t.tv_sec = (time_t)now;
	t.tv_nsec = (long)((now - (double)t.tv_sec) * 1e9);
	return t;
}

static const struct clock_ops clock_ops = {
	.monotonic = vm_clock,
	.wall = vm_clock,
};

bool vm_is_frozen(const struct vm *vm)
{
	return vm->world->now_s < vm->frozen_until_s;
}

bool vm_may_order(const struct vm *vm)
{
	return vm->leading && lease_held(vm->lease, ORDER_LEASE_MIN_S);
}

static enum owner_state owner_state(void *ctx, const char *id,
				    int64_t started_ms)
{
	const struct vm *vm = ctx;
	unsigned int t;

	for (t = 0; t < UPSTREAM_COUNT; t++) {
		const struct sim_upstream *upstream = &vm->world->upstreams[t];

		if (strcmp(upstream->id, id) != 0)
			continue;
		if (!upstream->listed)
			return OWNER_UNREACHABLE;
		if (upstream->leaving)
			return OWNER_LEAVING;
		return upstream->listed_ms == started_ms ? OWNER_AVAILABLE
							 : OWNER_RESTARTED;
	}
	return OWNER_UNREACHABLE;
}

static void on_grant(void *ctx, const struct key_order *order)
{
	struct vm *vm = ctx;

	sim_upstream_send(vm, order, false);
}

static void on_release(void *ctx, const struct key_order *order)
{
	struct vm *vm = ctx;

	if (vm_may_order(vm))
		sim_upstream_send(vm, order, true);
	else
		key_allocator_order_done(vm->allocator, order->id,
					 ORDER_NOT_SENT, NULL,
					 vm->world->now_s);
}

/* Returns a text that identifies the VM's last write of the key map. */
static char *attempt_name(const struct vm *vm)
{
	return g_strdup_printf("%u-%u-%u", vm->index, vm->incarnation,
			       vm->attempt);
}

/* Returns whether a row is the result of the VM's last write. */
static bool is_own(const struct vm *vm, const struct store_row *row)
{
	struct key_map *map = key_map_create();
	char *name = attempt_name(vm);
	char *attempt = NULL;
	bool own =
		key_map_unpack(map,
			       (struct str){ row->value->str, row->value->len },
			       &attempt) &&
		!strcmp(name, attempt);

	g_free(attempt);
	g_free(name);
	key_map_destroy(map);
	return own;
}

static void on_saved(void *ctx, const struct store_result *result)
{
	struct vm *vm = ctx;
	bool ok = result->status == STORE_OK;

	if (!vm->allocator)
		return;
	if (ok)
		vm->row_version = result->version;
	else if (result->status == STORE_CONFLICT) {
		/* The write may have taken effect before this answer. */
		ok = result->row_count && is_own(vm, &result->rows[0]);
		vm->row_version =
			result->row_count ? result->rows[0].version : 0;
	}
	key_allocator_save_done(vm->allocator, ok, vm->row_version,
				vm->world->now_s);
}

static void on_save(void *ctx, const struct key_map *map)
{
	struct vm *vm = ctx;
	struct store_write write = {
		.table = TABLE,
		.key = KEY,
		.expect = vm->row_version,
	};
	GString *value;
	char *name;

	vm->attempt++;
	name = attempt_name(vm);
	value = key_map_pack(map, KEY, name);
	write.value = (struct str){ value->str, value->len };
	vm->store.ops->write(vm->store.impl, &write, 0.8, on_saved, vm);
	g_string_free(value, TRUE);
	g_free(name);
}

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void on_note(void *ctx, const struct key_span *span, const char *to,
		    const char *reason)
{
	struct vm *vm = ctx;

	(void)span;
	(void)to;
	(void)reason;
	vm->world->moves++;
}

static const struct key_allocator_ops key_allocator_ops = {
	.owner_state = owner_state,
	.grant = on_grant,
	.release = on_release,
	.save = on_save,
	.changed = on_changed,
	.note = on_note,
};

static void drop_allocator(struct vm *vm)
{
	sim_upstream_drop_pending(vm);
	key_allocator_destroy(vm->allocator);
	vm->allocator = NULL;
	vm->allocator_number++;
	memset(vm->connected, 0, sizeof(vm->connected));
	memset(vm->sending, 0, sizeof(vm->sending));
}

static void on_won(void *ctx)
{
	struct vm *vm = ctx;

	vm->leading = true;
	vm->hold_s = HOLD_S;
}

static void on_lost(void *ctx, const char *reason)
{
	struct vm *vm = ctx;

	(void)reason;
	vm->leading = false;
	drop_allocator(vm);
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	(void)ctx;
	(void)vm;
	(void)address;
}

static void on_troubled(void *ctx)
{
	struct vm *vm = ctx;

	if (!vm_may_order(vm) || !vm->allocator)
		return;
	vm->hold_s = HOLD_MAX_S;
	key_allocator_renew_all(vm->allocator, vm->world->now_s, HOLD_MAX_S);
}

static void on_released(void *ctx)
{
	(void)ctx;
}

static const struct lease_ops lease_ops = {
	.won = on_won,
	.lost = on_lost,
	.learned = on_learned,
	.renewal_failing = on_troubled,
	.released = on_released,
};

void vm_start(struct vm *vm)
{
	char name[8];

	g_snprintf(name, sizeof(name), "vm%u", vm->index);
	vm->up = true;
	vm->incarnation++;
	vm->leading = false;
	vm->reading = false;
	vm->clock.ops = &clock_ops;
	vm->clock.ctx = vm;
	vm->loop.clock = &vm->clock;
	memset(vm->connected, 0, sizeof(vm->connected));
	store_bind(vm);
	vm->lease = lease_create(&vm->loop, &vm->store, &lease_ops, vm, name,
				 "127.0.0.1:1");
}

void vm_stop(struct vm *vm)
{
	vm->up = false;
	drop_allocator(vm);
	lease_destroy(vm->lease);
	vm->lease = NULL;
}

static void on_map(void *ctx, const struct store_result *result)
{
	struct vm *vm = ctx;
	struct key_inheritance inherited = { 0 };
	struct key_map *map;

	vm->reading = false;
	if (result->status != STORE_OK || !vm->leading || vm->allocator)
		return;
	map = key_map_create();
	vm->row_version = 0;
	if (result->row_count) {
		const struct store_row *row = &result->rows[0];

		vm->row_version = row->version;
		key_map_unpack(map,
			       (struct str){ row->value->str, row->value->len },
			       NULL);
	}
	inherited.map = map;
	inherited.until_s = vm->world->now_s + HOLD_MAX_S * SLOW_CLOCK + 0.6;
	vm->allocator =
		key_allocator_create(&key_allocator_ops, vm, &inherited);
	key_map_destroy(map);
}

static void run_leader(struct vm *vm)
{
	struct key_candidate list[UPSTREAM_COUNT];
	size_t count = 0;
	unsigned int t;

	if (!vm->allocator) {
		if (!vm->reading) {
			vm->reading = true;
			vm->store.ops->read(vm->store.impl, TABLE, "", on_map,
					    vm);
		}
		return;
	}
	if (lease_held(vm->lease, LEASE_S * 0.6))
		vm->hold_s = HOLD_S;
	for (t = 0; t < UPSTREAM_COUNT; t++) {
		const struct sim_upstream *upstream = &vm->world->upstreams[t];

		if (!upstream->listed || upstream->leaving)
			continue;
		list[count].id = g_intern_string(upstream->id);
		list[count].started_ms = upstream->listed_ms;
		list[count++].weight = 1;
	}
	if (vm_may_order(vm))
		key_allocator_tick(vm->allocator, vm->world->now_s, vm->hold_s,
				   list, count);
}

void vm_tick(struct vm *vm)
{
	if (!vm->up || vm_is_frozen(vm))
		return;
	lease_tick(vm->lease);
	if (vm->leading)
		run_leader(vm);
}
