/* Tests of hundreds of VMs that start at the same time, without any leader. The
 * store answers one call after the other, and spends the time for a call that
 * its caller has given up as well. All VMs must have the tables soon, and one
 * must lead. The test takes as long as what it plays, because libev's timers
 * run by the system's clock. */
#include <stdio.h>
#include <string.h>

#include "entry/live_vms.h"
#include "entry/table_watch.h"
#include "keys/lease.h"
#include "suite.h"
#include "wire/entry.pb-c.h"

#define VMS 300
/* Tables of a VM; the second one is read in pages. */
#define TABLES 2
#define TICK_S 0.05
/* Time that the store spends on a call of the lease, on a configuration of 300
 * KB and on 3,001 entries of upstreams. The reads of all VMs take 3.9 s. */
#define LEASE_CALL_S 0.0002
#define OPERATORS_CALL_S 0.003
#define UPSTREAMS_CALL_S 0.01
/* Time that a VM waits for the lease before it reads the tables. */
#define LEASE_READ_WAIT_S 0.25
/* Time after which a VM gives up a call. */
#define TIMEOUT_S 1.0
/* A VM that reported hears the leader after this time. */
#define HEARTBEAT_S 0.25
/* All VMs must have the tables in this time, and one must lead. The bound for
 * the whole system is 15 s. */
#define RECOVERY_S 10.0

struct fleet;
struct vm;

/* A call that waits for its answer; done is NULL while there is none. */
struct call {
	store_done_fn done;
	void *ctx;
	/** 'r': read, 'f': ask for changes, 'w': write. */
	char kind;
	uint64_t expect;
	double sent_s;
	/** Tells the calls of a caller apart. */
	unsigned int number;
};

/* A call in the store's queue. */
struct job {
	struct caller *caller;
	unsigned int number;
	double done_s;
};

/* A part of a VM that calls the store: its lease or a table watch. */
struct caller {
	struct vm *vm;
	struct call call;
	/** The lease, or the number of the table. */
	unsigned int part;
	/** Time that the store spends on a read. */
	double cost_s;
};

struct vm {
	struct fleet *fleet;
	struct caller callers[TABLES + 1];
	struct lease *lease;
	struct table_watch *watches[TABLES];
	bool leads;
	/** Version of the lease that the VM learned from the store. */
	uint64_t learned;
	/** When it reported to the leader; 0: it has not. */
	double reported_s;
	/** Value of its last write. */
	GString *value;
};

struct fleet {
	struct loop loop;
	struct vm vms[VMS];
	/** The lease's row. */
	GString *lease_value;
	uint64_t lease_version;
	/** Calls (struct job), the next one first, and when the store will have
	 * answered all. */
	GQueue jobs;
	double busy_until_s;
	unsigned int calls;
	/** Calls whose answers came too late. */
	unsigned int wasted;
};

static void start_call(struct caller *caller, char kind, double cost_s,
		       store_done_fn done, void *ctx)
{
	struct fleet *f = caller->vm->fleet;
	struct job *job = g_new0(struct job, 1);
	double now = loop_now(&f->loop);

	caller->call.done = done;
	caller->call.ctx = ctx;
	caller->call.kind = kind;
	caller->call.sent_s = now;
	f->busy_until_s = MAX(f->busy_until_s, now) + cost_s;
	job->caller = caller;
	job->number = ++caller->call.number;
	job->done_s = f->busy_until_s;
	g_queue_push_tail(&f->jobs, job);
	f->calls++;
}

static void fake_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	struct caller *caller = impl;

	(void)table;
	(void)from;
	start_call(caller, 'r', caller->cost_s, done, ctx);
}

static void fake_follow(void *impl, const char *table, uint64_t after,
			double wait_s, store_done_fn done, void *ctx)
{
	(void)table;
	(void)after;
	(void)wait_s;
	/* There are no changes. */
	start_call(impl, 'f', 0, done, ctx);
}

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	struct caller *caller = impl;

	(void)timeout_s;
	caller->call.expect = write->expect;
	g_string_truncate(caller->vm->value, 0);
	g_string_append_len(caller->vm->value, write->value.data,
			    (gssize)write->value.len);
	start_call(caller, 'w', LEASE_CALL_S, done, ctx);
}

static bool fake_receiving(void *impl, void *ctx)
{
	(void)impl;
	(void)ctx;
	return false;
}

static void fake_cancel(void *impl, void *ctx)
{
	(void)ctx;
	((struct caller *)impl)->call.done = NULL;
}

static const struct store_ops store_ops = {
	.read = fake_read,
	.follow = fake_follow,
	.write = fake_write,
	.receiving = fake_receiving,
	.cancel = fake_cancel,
};

static void on_won(void *ctx)
{
	((struct vm *)ctx)->leads = true;
}

static void on_lost(void *ctx, const char *reason)
{
	(void)reason;
	((struct vm *)ctx)->leads = false;
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	struct vm *self = ctx;

	(void)vm;
	(void)address;
	/* As the cluster does. */
	if (!self->learned) {
		double wait_s =
			live_vms_start_wait_s(lease_row_vms(self->lease)) *
			g_random_double();

		table_watch_set_copy_wait(self->watches[0], wait_s);
		table_watch_set_copy_wait(self->watches[1], wait_s);
	}
	self->learned = lease_version(self->lease);
}

static void on_nothing(void *ctx)
{
	(void)ctx;
}

static const struct lease_ops lease_ops = { on_won, on_lost, on_learned,
					    on_nothing, on_nothing };

static void on_row(void *ctx, const struct store_row *row)
{
	(void)ctx;
	(void)row;
}

static void on_removed(void *ctx, const char *key)
{
	(void)ctx;
	(void)key;
}

static void on_reachability_changed(void *ctx, const char *table,
				    bool unreachable, double call_s)
{
	(void)ctx;
	(void)table;
	(void)unreachable;
	(void)call_s;
}

static const struct table_watch_ops watch_ops = {
	.row = on_row,
	.removed = on_removed,
	.changed = on_nothing,
	.loaded = on_nothing,
	.reachability_changed = on_reachability_changed,
};

static void start_vm(struct fleet *f, unsigned int number)
{
	static const char *const tables[TABLES] = { "operators", "upstreams" };
	static const double costs_s[TABLES + 1] = { OPERATORS_CALL_S,
						    UPSTREAMS_CALL_S,
						    LEASE_CALL_S };
	struct vm *vm = &f->vms[number];
	char name[16];
	unsigned int i;

	vm->fleet = f;
	vm->value = g_string_new(NULL);
	for (i = 0; i <= TABLES; i++) {
		struct store store = { .ops = &store_ops,
				       .impl = &vm->callers[i] };

		vm->callers[i].vm = vm;
		vm->callers[i].part = i;
		vm->callers[i].cost_s = costs_s[i];
		if (i < TABLES) {
			vm->watches[i] = table_watch_create(
				&f->loop, &store, tables[i], 1, &watch_ops, vm);
			table_watch_start(vm->watches[i], LEASE_READ_WAIT_S);
			continue;
		}
		g_snprintf(name, sizeof(name), "vm%u", number);
		vm->lease = lease_create(&f->loop, &store, &lease_ops, vm, name,
					 "127.0.0.1:1");
		/* One VM in twenty has a fast link. */
		lease_set_acquire_delay(vm->lease, number % 20 ? 0.25 : 0.025);
	}
}

/* Writes the row of a leader that was killed a moment ago. */
static void write_old_lease(struct fleet *f)
{
	LeaseRow row = LEASE_ROW__INIT;
	char name[] = "old", attempt[] = "old-1";

	row.vm = row.address = name;
	row.attempt = attempt;
	row.vms = VMS;
	row.until_s = loop_now(&f->loop) + LEASE_S - 0.3;
	f->lease_value = g_string_new(NULL);
	g_string_set_size(f->lease_value, lease_row__get_packed_size(&row));
	lease_row__pack(&row, (uint8_t *)f->lease_value->str);
	f->lease_version = 1000;
}

static void setup(struct fleet *f)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	g_random_set_seed(1);
	f->loop.clock = clock_system();
	f->loop.ev = ev_loop_new(EVFLAG_AUTO);
	g_queue_init(&f->jobs);
	write_old_lease(f);
	for (i = 0; i < VMS; i++)
		start_vm(f, i);
}

static void teardown(struct fleet *f)
{
	unsigned int i, t;

	for (i = 0; i < VMS; i++) {
		for (t = 0; t < TABLES; t++)
			table_watch_destroy(f->vms[i].watches[t]);
		lease_destroy(f->vms[i].lease);
		g_string_free(f->vms[i].value, TRUE);
	}
	g_queue_clear_full(&f->jobs, g_free);
	g_string_free(f->lease_value, TRUE);
	ev_loop_destroy(f->loop.ev);
}

/* Ends a call of the lease. */
static void answer_lease(struct fleet *f, const struct caller *caller,
			 const struct call *call, struct store_result *result)
{
	struct store_row row = { .key = "leader", .value = f->lease_value };

	if (call->kind == 'w' && call->expect == f->lease_version) {
		f->lease_version++;
		g_string_truncate(f->lease_value, 0);
		g_string_append_len(f->lease_value, caller->vm->value->str,
				    (gssize)caller->vm->value->len);
	} else if (call->kind == 'w') {
		result->status = STORE_CONFLICT;
	}
	row.version = f->lease_version;
	result->version = f->lease_version;
	result->rows = &row;
	result->row_count = 1;
	call->done(call->ctx, result);
}

/* Ends a call of a table. */
static void answer_table(const struct call *call, struct store_result *result)
{
	struct store_row row = { .key = "row", .version = 5 };

	row.value = g_string_new("x");
	result->version = 5;
	result->rows = &row;
	result->row_count = call->kind == 'r' ? 1 : 0;
	call->done(call->ctx, result);
	g_string_free(row.value, TRUE);
}

static void answer(struct fleet *f, struct caller *caller)
{
	struct store_result result = { .status = STORE_OK };
	struct call call = caller->call;

	result.now_s = loop_now(&f->loop);
	caller->call.done = NULL;
	if (caller->part == TABLES)
		answer_lease(f, caller, &call, &result);
	else
		answer_table(&call, &result);
}

/* Ends the calls that the store has done. */
static void run_store(struct fleet *f)
{
	struct job *job;

	while ((job = g_queue_peek_head(&f->jobs)) &&
	       job->done_s <= loop_now(&f->loop)) {
		struct caller *caller = job->caller;

		g_queue_pop_head(&f->jobs);
		if (caller->call.done && caller->call.number == job->number)
			answer(f, caller);
		else
			f->wasted++;
		g_free(job);
	}
}

/* Ends a call that took too long. */
static void give_up_call(struct fleet *f, struct caller *caller)
{
	struct store_result result = { .status = STORE_UNKNOWN };
	struct call call = caller->call;

	if (!call.done || loop_now(&f->loop) < call.sent_s + TIMEOUT_S)
		return;
	caller->call.done = NULL;
	call.done(call.ctx, &result);
}

static struct vm *leader_of(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < VMS; i++)
		if (f->vms[i].leads)
			return &f->vms[i];
	return NULL;
}

/* Sends the leader's copies of the tables to a VM that wants them. */
static void send_copies(const struct vm *leader, struct vm *vm)
{
	unsigned int t;

	for (t = 0; t < TABLES; t++) {
		struct table_delta copy;

		if (!table_watch_wants_copy(vm->watches[t]) ||
		    !table_watch_copy(leader->watches[t], &copy))
			continue;
		table_watch_apply_copy(vm->watches[t], &copy);
		g_free((void *)copy.rows);
	}
}

/* Lets a VM hear the leader, if it has reported to it. */
static void hear_leader(struct fleet *f, struct vm *vm)
{
	struct vm *leader = leader_of(f);
	unsigned int t;

	if (!leader || vm == leader) {
		for (t = 0; leader && t < TABLES; t++)
			table_watch_set_mode(vm->watches[t],
					     TABLE_WATCH_LEADER);
		return;
	}
	if (!vm->reported_s && vm->learned == f->lease_version)
		vm->reported_s = loop_now(&f->loop);
	if (!vm->reported_s ||
	    loop_now(&f->loop) < vm->reported_s + HEARTBEAT_S)
		return;
	lease_set_vms(vm->lease, VMS);
	lease_observe_version(vm->lease, lease_version(leader->lease));
	for (t = 0; t < TABLES; t++) {
		table_watch_set_vms(vm->watches[t], VMS);
		table_watch_set_mode(vm->watches[t], TABLE_WATCH_PASSIVE);
		table_watch_set_peers(vm->watches[t], TABLE_WATCH_PEERS_RELAY,
				      5);
	}
	send_copies(leader, vm);
}

/* Returns the number of VMs that have both tables. */
static unsigned int run_tick(struct fleet *f)
{
	unsigned int i, c, loaded = 0;

	g_usleep((gulong)(TICK_S * G_USEC_PER_SEC));
	ev_run(f->loop.ev, EVRUN_NOWAIT);
	run_store(f);
	for (i = 0; i < VMS; i++) {
		struct vm *vm = &f->vms[i];

		for (c = 0; c <= TABLES; c++)
			give_up_call(f, &vm->callers[c]);
		lease_set_ready(vm->lease,
				table_watch_loaded(vm->watches[0]) &&
					table_watch_loaded(vm->watches[1]));
		lease_tick(vm->lease);
		hear_leader(f, vm);
		loaded += table_watch_loaded(vm->watches[0]) &&
			  table_watch_loaded(vm->watches[1]);
	}
	return loaded;
}

/* Guards against a fleet that never comes back: calls that were given up kept
 * the store busy, so that those which replaced them were given up as well. */
static void a_fleet_without_leader_recovers(void)
{
	struct fleet *f = g_new0(struct fleet, 1);
	double start_s, took_s;
	unsigned int loaded;

	setup(f);
	start_s = loop_now(&f->loop);
	do {
		loaded = run_tick(f);
		took_s = loop_now(&f->loop) - start_s;
	} while ((loaded < VMS || !leader_of(f)) && took_s < RECOVERY_S);
	printf("# %u of %u VMs have the tables after %.1f s, %s leads; %u "
	       "calls, "
	       "%u answered too late\n",
	       loaded, VMS, took_s, leader_of(f) ? "one" : "none", f->calls,
	       f->wasted);
	CU_ASSERT_EQUAL(loaded, VMS);
	CU_ASSERT_PTR_NOT_NULL(leader_of(f));
	teardown(f);
	g_free(f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a fleet without leader recovers",
		  a_fleet_without_leader_recovers },
		{ 0 },
	};

	return suite_run("restart_fleet", cases);
}
