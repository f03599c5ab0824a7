/* A VM: its lease, and the keeper while it leads. */
#include <string.h>

#include "base/planted.h"
#include "fuzz_keys_parts/world.h"

#define HOLD_S 3.0
#define HOLD_MAX_S 10.0
#define GRANT_TIMEOUT_S 0.5
#define TABLE "keys"
#define KEY "service"

static struct timespec vm_clock(void *ctx)
{
	const struct vm *vm = ctx;
	double now = vm->world->now_s;
	struct timespec t;

	if (planted(PLANTED_CLOCK_STANDS_STILL))
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
	return vm->leading && lease_held(vm->lease, GRANT_TIMEOUT_S);
}

static enum owner_state owner_state(void *ctx, const char *id,
				    int64_t started_ms)
{
	const struct vm *vm = ctx;
	unsigned int t;

	for (t = 0; t < TARGETS; t++) {
		const struct target *target = &vm->world->targets[t];

		if (strcmp(target->id, id) != 0)
			continue;
		if (!target->listed)
			return OWNER_UNKNOWN;
		if (target->leaving)
			return OWNER_LEAVING;
		return target->listed_ms == started_ms ? OWNER_GOOD
						       : OWNER_RESTARTED;
	}
	return OWNER_UNKNOWN;
}

static void on_grant(void *ctx, const struct keeper_order *order)
{
	struct vm *vm = ctx;

	target_send(vm, order, false);
}

static void on_release(void *ctx, const struct keeper_order *order)
{
	struct vm *vm = ctx;

	if (vm_may_order(vm))
		target_send(vm, order, true);
	else
		keeper_ordered(vm->keeper, order->id, ORDER_NOT_SENT, NULL,
			       vm->world->now_s);
}

static char *attempt_name(const struct vm *vm)
{
	return g_strdup_printf("%u-%u-%u", vm->index, vm->life, vm->attempt);
}

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

	if (!vm->keeper)
		return;
	if (ok)
		vm->row_version = result->version;
	else if (result->status == STORE_CONFLICT) {
		ok = result->row_count && is_own(vm, &result->rows[0]);
		vm->row_version =
			result->row_count ? result->rows[0].version : 0;
	}
	keeper_saved(vm->keeper, ok, vm->row_version, vm->world->now_s);
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

static const struct keeper_ops keeper_ops = {
	.owner_state = owner_state,
	.grant = on_grant,
	.release = on_release,
	.save = on_save,
	.changed = on_changed,
	.note = on_note,
};

static void drop_keeper(struct vm *vm)
{
	target_forget(vm);
	keeper_destroy(vm->keeper);
	vm->keeper = NULL;
	vm->keeper_number++;
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
	drop_keeper(vm);
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

	if (!vm_may_order(vm) || !vm->keeper)
		return;
	vm->hold_s = HOLD_MAX_S;
	keeper_renew_all(vm->keeper, vm->world->now_s, HOLD_MAX_S);
}

static const struct lease_ops lease_ops = {
	.won = on_won,
	.lost = on_lost,
	.learned = on_learned,
	.troubled = on_troubled,
};

void vm_start(struct vm *vm)
{
	char name[8];

	g_snprintf(name, sizeof(name), "vm%u", vm->index);
	vm->up = true;
	vm->life++;
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
	drop_keeper(vm);
	lease_destroy(vm->lease);
	vm->lease = NULL;
}

static void on_map(void *ctx, const struct store_result *result)
{
	struct vm *vm = ctx;
	struct key_map *map;

	vm->reading = false;
	if (result->status != STORE_OK || !vm->leading || vm->keeper)
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
	vm->keeper =
		keeper_create(&keeper_ops, vm, map,
			      vm->world->now_s + HOLD_MAX_S * SLOW_CLOCK + 0.6);
	key_map_destroy(map);
}

static void lead(struct vm *vm)
{
	struct keeper_candidate list[TARGETS];
	size_t count = 0;
	unsigned int t;

	if (!vm->keeper) {
		if (!vm->reading) {
			vm->reading = true;
			vm->store.ops->read(vm->store.impl, TABLE, "", on_map,
					    vm);
		}
		return;
	}
	if (lease_held(vm->lease, LEASE_S * 0.6))
		vm->hold_s = HOLD_S;
	for (t = 0; t < TARGETS; t++) {
		const struct target *target = &vm->world->targets[t];

		if (!target->listed || target->leaving)
			continue;
		list[count].id = g_intern_string(target->id);
		list[count].started_ms = target->listed_ms;
		list[count++].weight = 1;
	}
	if (vm_may_order(vm))
		keeper_tick(vm->keeper, vm->world->now_s, vm->hold_s, list,
			    count);
}

void vm_tick(struct vm *vm)
{
	if (!vm->up || vm_is_frozen(vm))
		return;
	lease_tick(vm->lease);
	if (vm->leading)
		lead(vm);
}
