/* Tests of the lease in fleets of many VMs, over a store that holds one row:
 * how many calls the VMs make together when they all start, when the leader is
 * lost, and while the store does not answer. */
#include <stdio.h>
#include <string.h>

#include "keys/lease.h"
#include "manual_clock.h"
#include "suite.h"

#define VMS_MAX 490
/* Time between two runs of the VMs' timers, and until a call is answered. */
#define TICK_S 0.05
/* Time until the other VMs hear of a new leader. */
#define HEARTBEAT_TICKS 2
/* The leader must be known again in this time after the last one's loss. */
#define SUCCESSION_MAX_S (LEASE_S + 1.0)

struct fleet;

/** A VM's lease and the call that it waits for. */
struct vm {
	struct fleet *fleet;
	struct lease *lease;
	/** Function and context for the answer; NULL: no call is pending. */
	store_done_fn done;
	void *ctx;
	/** The pending call is a write of this value on this version. */
	bool writing;
	uint64_t expect;
	GString *value;
	/** The VM was lost. */
	bool lost;
	bool holding;
};

struct fleet {
	struct manual_clock clock;
	struct loop loop;
	struct vm vms[VMS_MAX];
	unsigned int size;
	/** The store's row; version 0: there is none. */
	uint64_t version;
	GString *row;
	/** The store refuses all calls. */
	bool down;
	/** Number of calls so far. */
	unsigned int calls;
	/** Number of ticks since the last acquisition. */
	unsigned int heard_ticks;
};

static void fake_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	struct vm *vm = impl;

	(void)table;
	(void)from;
	vm->done = done;
	vm->ctx = ctx;
	vm->writing = false;
	vm->fleet->calls++;
}

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	struct vm *vm = impl;

	(void)timeout_s;
	vm->done = done;
	vm->ctx = ctx;
	vm->writing = true;
	vm->expect = write->expect;
	g_string_truncate(vm->value, 0);
	g_string_append_len(vm->value, write->value.data,
			    (gssize)write->value.len);
	vm->fleet->calls++;
}

static const struct store_ops store_ops = {
	.read = fake_read,
	.write = fake_write,
};

static void on_won(void *ctx)
{
	struct vm *vm = ctx;

	vm->holding = true;
	vm->fleet->heard_ticks = 0;
}

static void on_lost(void *ctx, const char *reason)
{
	(void)reason;
	((struct vm *)ctx)->holding = false;
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	(void)ctx;
	(void)vm;
	(void)address;
}

static void on_renewal_failing(void *ctx)
{
	(void)ctx;
}

static void on_released(void *ctx)
{
	(void)ctx;
}

static const struct lease_ops lease_ops = { on_won, on_lost, on_learned,
					    on_renewal_failing, on_released };

/* Whether a VM has a fast link: one in twenty. */
static bool is_fit(unsigned int number)
{
	return number % 20 == 0;
}

static void setup(struct fleet *f, unsigned int size)
{
	unsigned int i;

	memset(f, 0, sizeof(*f));
	g_random_set_seed(size);
	manual_clock_init(&f->clock);
	f->loop.clock = &f->clock.clock;
	f->size = size;
	f->row = g_string_new(NULL);
	for (i = 0; i < size; i++) {
		struct store store = { .ops = &store_ops, .impl = &f->vms[i] };
		char name[16];

		g_snprintf(name, sizeof(name), "vm%u", i);
		f->vms[i].fleet = f;
		f->vms[i].value = g_string_new(NULL);
		f->vms[i].lease = lease_create(&f->loop, &store, &lease_ops,
					       &f->vms[i], name, "127.0.0.1:1");
		/* Some VMs have fast links and should lead. */
		lease_set_acquire_delay(f->vms[i].lease,
					is_fit(i) ? 0.025 : 0.25);
		lease_begin(f->vms[i].lease);
	}
}

static void teardown(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < f->size; i++) {
		lease_destroy(f->vms[i].lease);
		g_string_free(f->vms[i].value, TRUE);
	}
	g_string_free(f->row, TRUE);
}

/* Carries out a VM's pending call. */
static void answer(struct fleet *f, struct vm *vm)
{
	struct store_row row = { .key = "leader",
				 .value = f->row,
				 .version = f->version };
	struct store_result result = { .status = STORE_OK, .rows = &row };
	store_done_fn done = vm->done;

	result.now_s = loop_now(&f->loop);
	if (f->down) {
		result.status = STORE_REFUSED;
	} else if (vm->writing && vm->expect == f->version) {
		f->version++;
		g_string_assign(f->row, "");
		g_string_append_len(f->row, vm->value->str,
				    (gssize)vm->value->len);
	} else if (vm->writing) {
		result.status = STORE_CONFLICT;
	}
	row.version = f->version;
	result.version = f->version;
	result.row_count = f->version && !f->down ? 1 : 0;
	vm->done = NULL;
	done(vm->ctx, &result);
}

static struct vm *leader_of(struct fleet *f)
{
	unsigned int i;

	for (i = 0; i < f->size; i++)
		if (f->vms[i].holding && !f->vms[i].lost)
			return &f->vms[i];
	return NULL;
}

/* Tells all VMs of the leader's lease, as its heartbeats do. */
static void hear_leader(struct fleet *f)
{
	struct vm *leader = leader_of(f);
	unsigned int i;

	if (!leader || f->heard_ticks++ < HEARTBEAT_TICKS)
		return;
	for (i = 0; i < f->size; i++) {
		lease_set_vms(f->vms[i].lease, f->size);
		lease_observe_version(f->vms[i].lease,
				      lease_version(leader->lease));
	}
}

/* Runs the fleet for a time; returns the number of calls in it. */
static unsigned int run_fleet(struct fleet *f, double span_s)
{
	unsigned int before = f->calls, i;
	double end_s = loop_now(&f->loop) + span_s;

	while (loop_now(&f->loop) < end_s) {
		manual_clock_advance(&f->clock, TICK_S);
		for (i = 0; i < f->size; i++) {
			if (f->vms[i].lost)
				continue;
			if (f->vms[i].done)
				answer(f, &f->vms[i]);
			lease_tick(f->vms[i].lease);
		}
		hear_leader(f);
	}
	return f->calls - before;
}

static const unsigned int sizes[] = { 12, 82, 295, 490 };

/* All VMs start at once, and none of them leads yet. */
static void a_start_costs_about_a_call_a_vm(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet f;

		setup(&f, sizes[i]);
		CU_ASSERT_TRUE(run_fleet(&f, 2) <= 2 * sizes[i] + 10);
		CU_ASSERT_PTR_NOT_NULL(leader_of(&f));
		teardown(&f);
	}
}

static void in_calm_only_the_leader_calls(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet f;

		setup(&f, sizes[i]);
		run_fleet(&f, 5);
		/* Two renewals a second. */
		CU_ASSERT_TRUE(run_fleet(&f, 10) <= 22);
		teardown(&f);
	}
}

static void a_lost_leader_is_succeeded_by_few_calls(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet f;

		setup(&f, sizes[i]);
		run_fleet(&f, 5);
		leader_of(&f)->lost = true;
		CU_ASSERT_TRUE(run_fleet(&f, SUCCESSION_MAX_S) <=
			       60 + sizes[i] / 4);
		CU_ASSERT_PTR_NOT_NULL(leader_of(&f));
		teardown(&f);
	}
}

/* The successor of a leader is a VM with a fast link, but for a few times: the
 * leader's work exceeds the processors and links of the others. */
static void a_fit_vm_succeeds(void)
{
	unsigned int round, fit = 0;
	struct fleet f;

	setup(&f, 295);
	run_fleet(&f, 5);
	for (round = 0; round < 10; round++) {
		struct vm *leader = leader_of(&f);

		leader->lost = true;
		run_fleet(&f, SUCCESSION_MAX_S + 1);
		CU_ASSERT_PTR_NOT_NULL_FATAL(leader_of(&f));
		fit += is_fit((unsigned int)(leader_of(&f) - f.vms));
	}
	CU_ASSERT_TRUE(fit >= 8);
	teardown(&f);
}

/* Guards against a leader with a slow link after an outage, whose work holds up
 * its own lease and changes of the configuration: all leases have run out, so
 * that any VM may acquire one at once. */
static void a_fit_vm_leads_after_an_outage(void)
{
	static const unsigned int fleets[] = { 82, 295 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		unsigned int round, fit = 0;
		struct fleet f;

		setup(&f, fleets[i]);
		run_fleet(&f, 5);
		for (round = 0; round < 10; round++) {
			f.down = true;
			run_fleet(&f, 8);
			CU_ASSERT_PTR_NULL(leader_of(&f));
			f.down = false;
			run_fleet(&f, 3);
			CU_ASSERT_PTR_NOT_NULL_FATAL(leader_of(&f));
			fit += is_fit((unsigned int)(leader_of(&f) - f.vms));
		}
		CU_ASSERT_TRUE(fit >= 8);
		printf("# %u VMs: %u of 10 leaders are fit\n", fleets[i], fit);
		teardown(&f);
	}
}

/* An outage takes the leader's lease. Its calls are bounded for any size of the
 * fleet, and its end is noticed at once. */
static void an_outage_costs_a_bounded_rate_of_calls(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct fleet f;
		unsigned int calls;

		setup(&f, sizes[i]);
		run_fleet(&f, 5);
		f.down = true;
		run_fleet(&f, 6);
		CU_ASSERT_PTR_NULL(leader_of(&f));
		calls = run_fleet(&f, 10);
		CU_ASSERT_TRUE(calls <= 10 * 200);
		f.down = false;
		run_fleet(&f, 1);
		CU_ASSERT_PTR_NOT_NULL(leader_of(&f));
		teardown(&f);
	}
}

/* Guards against hundreds of VMs that start while the store is overloaded, and
 * keep it so: a VM that knows nothing of the others calls ever more rarely. */
static void vms_that_start_call_an_overloaded_store_rarely(void)
{
	struct fleet f;

	setup(&f, 295);
	f.down = true;
	run_fleet(&f, 4);
	CU_ASSERT_TRUE(run_fleet(&f, 10) <= 10 * 295);
	f.down = false;
	run_fleet(&f, 5);
	CU_ASSERT_PTR_NOT_NULL(leader_of(&f));
	teardown(&f);
}

/* Guards against a leader that has to read the tables first, while all others
 * wait for its copies. */
static void a_vm_that_is_ready_leads(void)
{
	unsigned int round, i, ready = 0;

	for (round = 0; round < 5; round++) {
		struct fleet f;

		setup(&f, 82);
		g_random_set_seed(round);
		for (i = 0; i < f.size; i++)
			lease_set_ready(f.vms[i].lease, i % 10 == 3);
		run_fleet(&f, 4);
		CU_ASSERT_PTR_NOT_NULL_FATAL(leader_of(&f));
		ready += (unsigned int)(leader_of(&f) - f.vms) % 10 == 3;
		teardown(&f);
	}
	CU_ASSERT_EQUAL(ready, 5);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a start costs about a call a VM",
		  a_start_costs_about_a_call_a_vm },
		{ "in calm only the leader calls",
		  in_calm_only_the_leader_calls },
		{ "a lost leader is succeeded by few calls",
		  a_lost_leader_is_succeeded_by_few_calls },
		{ "a fit VM succeeds", a_fit_vm_succeeds },
		{ "a fit VM leads after an outage",
		  a_fit_vm_leads_after_an_outage },
		{ "VMs that start call an overloaded store rarely",
		  vms_that_start_call_an_overloaded_store_rarely },
		{ "a VM that is ready leads", a_vm_that_is_ready_leads },
		{ "an outage costs a bounded rate of calls",
		  an_outage_costs_a_bounded_rate_of_calls },
		{ 0 },
	};

	return suite_run("lease_fleet", cases);
}
