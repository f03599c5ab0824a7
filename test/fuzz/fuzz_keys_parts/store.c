/* Simulated store: conditional writes, with answers that are lost or late. */
#include <string.h>

#include "fuzz_keys_parts/world.h"

/** The row of a table. */
struct row {
	GString *value;
	uint64_t version;
};

/** A read or write in progress. */
struct call {
	struct vm *vm;
	unsigned int incarnation;
	bool write;
	char *table;
	char *key;
	/** A write's condition, and the value to write. */
	uint64_t expected_version;
	GString *value;
	store_done_fn done;
	void *ctx;
	/** The caller has the answer. */
	bool answered;
	/** Number of scheduled events that refer to the call. */
	int events;
	/** The answer; row is the row's value, or NULL. */
	enum store_status status;
	double now_s;
	uint64_t version;
	GString *row;
	uint64_t row_version;
};

static void row_free(gpointer data)
{
	struct row *row = data;

	g_string_free(row->value, TRUE);
	g_free(row);
}

static void call_unref(struct call *call)
{
	if (--call->events)
		return;
	g_free(call->table);
	g_free(call->key);
	if (call->value)
		g_string_free(call->value, TRUE);
	if (call->row)
		g_string_free(call->row, TRUE);
	g_free(call);
}

static void schedule_event(struct world *world, double after_s,
			   void (*run)(struct world *world, void *data),
			   struct call *call)
{
	call->events++;
	world_at(world, after_s, run, call);
}

static void deliver_answer(struct world *world, void *data)
{
	struct call *call = data;
	struct vm *vm = call->vm;
	struct store_row row = { 0 };
	struct store_result result = { .status = call->status };

	if (vm_is_frozen(vm) && !call->answered) {
		world_at(world, vm->frozen_until_s - world->now_s + 0.001,
			 deliver_answer, call);
		return;
	}
	if (!call->answered && vm->up && vm->incarnation == call->incarnation) {
		call->answered = true;
		result.now_s = call->now_s;
		result.version = call->version;
		if (call->row) {
			row.key = call->key;
			row.value = call->row;
			row.version = call->row_version;
			result.rows = &row;
			result.row_count = 1;
		}
		call->done(call->ctx, &result);
	}
	call_unref(call);
}

static void on_timeout(struct world *world, void *data)
{
	struct call *call = data;

	if (!call->answered) {
		if (call->row)
			g_string_free(call->row, TRUE);
		call->row = NULL;
		call->now_s = 0;
		call->status = STORE_UNKNOWN;
	}
	deliver_answer(world, data);
}

static void set_answer_row(struct call *call, const struct row *row)
{
	if (call->row)
		g_string_free(call->row, TRUE);
	call->row = NULL;
	if (!row)
		return;
	call->row = g_string_new_len(row->value->str, (gssize)row->value->len);
	call->row_version = row->version;
}

static void execute(struct world *world, struct call *call)
{
	struct row *row = g_hash_table_lookup(world->rows, call->table);

	call->status = STORE_OK;
	/* The store's clock differs from those of the VMs. */
	call->now_s = world->now_s + 1000;
	if (!call->write) {
		set_answer_row(call, row);
	} else if ((row ? row->version : 0) != call->expected_version) {
		call->status = STORE_CONFLICT;
		set_answer_row(call, row);
	} else {
		row = g_new0(struct row, 1);
		row->value = g_string_new_len(call->value->str,
					      (gssize)call->value->len);
		row->version = ++world->version;
		g_hash_table_insert(world->rows, g_strdup(call->table), row);
	}
	call->version = world->version;
}

static void on_arrival(struct world *world, void *data)
{
	struct call *call = data;
	double back_s = world_random(world, 0.002, 0.02);

	if (world->store_mode == STORE_MODE_DOWN || call->vm->store_cut) {
		call_unref(call);
		return;
	}
	if (call->answered) {
		/* The write takes effect after its caller timed out. */
		execute(world, call);
		call_unref(call);
		return;
	}
	execute(world, call);
	if (world->store_mode == STORE_MODE_SLOW)
		back_s = world_random(world, 0.2, 0.7);
	if (!call->write || world->store_mode != STORE_MODE_LOSES_ANSWERS ||
	    world_random(world, 0, 1) < 0.5)
		schedule_event(world, back_s, deliver_answer, call);
	call_unref(call);
}

/* Sends a call of a VM to the store. */
static void start_call(struct vm *vm, struct call *call, double timeout_s)
{
	struct world *world = vm->world;
	double delay = world_random(world, 0.001, 0.01);

	call->vm = vm;
	call->incarnation = vm->incarnation;
	if (call->write && world->store_mode == STORE_MODE_LATE &&
	    world_random(world, 0, 1) < 0.5)
		delay = world_random(world, 1, 6);
	call->events = 0;
	schedule_event(world, timeout_s, on_timeout, call);
	schedule_event(world, delay, on_arrival, call);
}

static void store_read(void *impl, const char *table, const char *from,
		       store_done_fn done, void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	(void)from;
	call->table = g_strdup(table);
	call->key = g_strdup(g_str_has_suffix(table, "lease") ? "leader"
							      : "service");
	call->done = done;
	call->ctx = ctx;
	start_call(impl, call, 1.0);
}

static void store_write(void *impl, const struct store_write *write,
			double timeout_s, store_done_fn done, void *ctx)
{
	struct call *call = g_new0(struct call, 1);

	call->write = true;
	call->table = g_strdup(write->table);
	call->key = g_strdup(write->key);
	call->expected_version = write->expect;
	call->value =
		g_string_new_len(write->value.data, (gssize)write->value.len);
	call->done = done;
	call->ctx = ctx;
	start_call(impl, call, timeout_s);
}

static const struct store_ops ops = {
	.read = store_read,
	.write = store_write,
};

void store_bind(struct vm *vm)
{
	vm->store.ops = &ops;
	vm->store.impl = vm;
}

void store_clear(struct world *world)
{
	if (world->rows)
		g_hash_table_destroy(world->rows);
	world->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    row_free);
}
