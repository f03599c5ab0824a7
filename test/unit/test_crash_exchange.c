/*
 * Tests how VMs tell each other of requests that crash upstreams: several
 * exchanges on one clock, between which the test passes messages, and a store
 * that the test answers for.
 */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "entry/crash_exchange.h"
#include "manual_clock.h"
#include "suite.h"

#define VMS 3
/* The fingerprint that the cases use. */
#define REQUEST 7
/* Time between two rounds of messages. */
#define ROUND_S 0.25

/* A VM's view of crashes. */
struct vm {
	struct crash_watch *watch;
	struct crash_exchange *exchange;
	/** Number of calls of changed(). */
	unsigned int changes;
};

static struct manual_clock time_source;
static struct loop loop;
static struct metrics *metrics;
static struct event_log *event_log;
static struct store_era *store_era;
static struct vm vms[VMS];
/* The last write, its value, and who gets the result. */
static struct {
	unsigned int count;
	uint64_t expect;
	GByteArray *value;
	store_done_fn done;
	void *ctx;
} saved;

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	(void)impl;
	(void)timeout_s;
	saved.count++;
	saved.expect = write->expect;
	saved.done = done;
	saved.ctx = ctx;
	g_byte_array_set_size(saved.value, 0);
	g_byte_array_append(saved.value, (const guint8 *)write->value.data,
			    (guint)write->value.len);
}

static const struct store_ops store_ops = { .write = fake_write };

static void on_changed(void *ctx)
{
	((struct vm *)ctx)->changes++;
}

static void on_blamed(void *ctx, const struct crash *crash)
{
	crash_exchange_add_crash(((struct vm *)ctx)->exchange, crash);
}

static void on_cleared(void *ctx, uint64_t request)
{
	crash_exchange_add_cleared(((struct vm *)ctx)->exchange, request);
}

static void on_refused(void *ctx, uint64_t request)
{
	crash_exchange_add_refused(((struct vm *)ctx)->exchange, request);
}

static void start_vm(struct vm *vm)
{
	struct crash_watch_options watch = {
		.loop = &loop,
		.log = event_log,
		.metrics = metrics,
		.blamed = on_blamed,
		.cleared = on_cleared,
		.refused = on_refused,
		.ctx = vm,
	};
	struct crash_exchange_options exchange = {
		.loop = &loop,
		.store = { .ops = &store_ops, .era = store_era },
		.changed = on_changed,
		.ctx = vm,
	};

	vm->watch = crash_watch_create(&watch);
	exchange.crashes = vm->watch;
	vm->exchange = crash_exchange_create(&exchange);
	vm->changes = 0;
}

static void stop_vm(struct vm *vm)
{
	crash_exchange_destroy(vm->exchange);
	crash_watch_destroy(vm->watch);
}

static void restart_vm(struct vm *vm)
{
	stop_vm(vm);
	start_vm(vm);
}

static void setup(void)
{
	struct event_log_options log = { .fd = -1, .lines_per_s = 1 };
	int i;

	manual_clock_init(&time_source);
	manual_clock_advance(&time_source, 1000);
	loop.clock = &time_source.clock;
	metrics = metrics_create();
	event_log = event_log_create(&log);
	store_era = store_era_create(&loop, NULL, metrics);
	memset(&saved, 0, sizeof(saved));
	saved.value = g_byte_array_new();
	for (i = 0; i < VMS; i++)
		start_vm(&vms[i]);
}

static void teardown(void)
{
	int i;

	for (i = 0; i < VMS; i++)
		stop_vm(&vms[i]);
	g_byte_array_free(saved.value, TRUE);
	store_era_destroy(store_era);
	event_log_destroy(event_log);
	metrics_destroy(metrics);
}

/* An upstream crashes under the request on a VM, which recognizes it. */
static void crash_on(struct vm *vm, const char *upstream)
{
	struct crash crash = { .request = REQUEST, .upstream = upstream };

	crash_watch_connection_lost(vm->watch, &crash, STR("id"));
	crash_watch_refused(vm->watch, upstream);
}

static void send_report(const struct vm *from, struct vm *to)
{
	VmReport report = VM_REPORT__INIT;

	crash_exchange_fill_report(from->exchange, &report);
	crash_exchange_apply_report(to->exchange, &report);
	crash_exchange_release_report(&report);
}

static void send_beat(const struct vm *from, struct vm *to)
{
	LeaderBeat beat = LEADER_BEAT__INIT;

	crash_exchange_fill_beat(from->exchange, &beat);
	crash_exchange_apply_beat(to->exchange, &beat);
	crash_exchange_release_beat(&beat);
}

/* Lets all VMs report to the leader, and the leader send heartbeats, for a
 * time. */
static void run_rounds(struct vm *leader, double span_s)
{
	unsigned int rounds = (unsigned int)ceil(span_s / ROUND_S);
	int i;

	while (rounds--) {
		for (i = 0; i < VMS; i++)
			if (&vms[i] != leader)
				send_report(&vms[i], leader);
		for (i = 0; i < VMS; i++)
			if (&vms[i] != leader)
				send_beat(leader, &vms[i]);
		manual_clock_advance(&time_source, ROUND_S);
		for (i = 0; i < VMS; i++)
			crash_watch_tick(vms[i].watch);
	}
}

static unsigned int blocking_vms(void)
{
	unsigned int count = 0;
	int i;

	for (i = 0; i < VMS; i++)
		count += crash_watch_blocks(vms[i].watch, REQUEST);
	return count;
}

/* One crash on each VM; VM 0 leads. */
static void crash_everywhere(void)
{
	crash_on(&vms[0], "a");
	crash_on(&vms[1], "b");
	crash_on(&vms[2], "c");
}

static void crashes_on_three_vms_block_a_request_on_all(void)
{
	setup();
	crash_everywhere();
	CU_ASSERT_EQUAL(blocking_vms(), 0);
	CU_ASSERT_TRUE(vms[1].changes > 0);
	run_rounds(&vms[0], ROUND_S);
	CU_ASSERT_EQUAL(blocking_vms(), VMS);
	teardown();
}

static void a_vm_that_starts_later_learns_the_blocks(void)
{
	setup();
	crash_everywhere();
	run_rounds(&vms[0], 20);
	restart_vm(&vms[1]);
	run_rounds(&vms[0], ROUND_S);
	CU_ASSERT_EQUAL(blocking_vms(), VMS);
	teardown();
}

static void a_new_leader_learns_the_crashes_and_blocks_of_others(void)
{
	static const struct {
		/** Crashes before the leader is lost. */
		unsigned int crashes;
		/** The VM that leads next restarts, too. */
		bool restart_next;
	} rows[] = { { 2, false }, { 3, false }, { 3, true } };
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		setup();
		crash_on(&vms[2], "a");
		crash_on(&vms[2], "b");
		if (rows[i].crashes == 3)
			crash_on(&vms[0], "c");
		run_rounds(&vms[0], 20);
		restart_vm(&vms[0]);
		if (rows[i].restart_next)
			restart_vm(&vms[1]);
		crash_exchange_resend(vms[1].exchange);
		crash_exchange_resend(vms[2].exchange);
		if (rows[i].crashes == 2)
			crash_on(&vms[0], "c");
		run_rounds(&vms[1], 2 * ROUND_S);
		CU_ASSERT_EQUAL(blocking_vms(), VMS);
		teardown();
	}
}

static void a_block_ends_on_all_vms(void)
{
	setup();
	crash_everywhere();
	run_rounds(&vms[0], 59);
	CU_ASSERT_EQUAL(blocking_vms(), VMS);
	run_rounds(&vms[0], 3);
	CU_ASSERT_EQUAL(blocking_vms(), 0);
	run_rounds(&vms[0], 3);
	CU_ASSERT_EQUAL(blocking_vms(), 0);
	teardown();
}

static void a_request_that_comes_to_one_vm_stays_blocked_on_all(void)
{
	setup();
	crash_everywhere();
	run_rounds(&vms[0], 50);
	CU_ASSERT_TRUE(crash_watch_refuses(vms[2].watch, REQUEST));
	run_rounds(&vms[0], 50);
	CU_ASSERT_EQUAL(blocking_vms(), VMS);
	teardown();
}

static void an_answer_lifts_a_block_on_all_vms(void)
{
	setup();
	crash_everywhere();
	run_rounds(&vms[0], ROUND_S);
	crash_watch_answered(vms[2].watch, REQUEST);
	/* The crashes that other VMs still report don't block it again. */
	run_rounds(&vms[0], 10);
	CU_ASSERT_EQUAL(blocking_vms(), 0);
	teardown();
}

static void answer_save(enum store_status status, uint64_t version,
			const struct store_row *row)
{
	struct store_result result = {
		.status = status,
		.version = version,
		.rows = row,
		.row_count = row ? 1 : 0,
	};

	saved.done(saved.ctx, &result);
}

/* Returns the row as it was written last; the value is not copied. */
static struct store_row saved_row(GString *value, uint64_t version)
{
	g_string_truncate(value, 0);
	g_string_append_len(value, (const char *)saved.value->data,
			    (gssize)saved.value->len);
	return (struct store_row){ .key = (char *)BLOCKED_KEY,
				   .value = value,
				   .version = version };
}

static void the_store_keeps_blocks_over_the_loss_of_all_vms(void)
{
	GString *value = g_string_new(NULL);
	struct store_row row;
	int i;

	setup();
	crash_everywhere();
	run_rounds(&vms[0], ROUND_S);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.count, 1);
	row = saved_row(value, 5);
	answer_save(STORE_OK, 5, NULL);
	/* Nothing changed, so nothing is saved. */
	run_rounds(&vms[0], 2);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.count, 1);
	for (i = 0; i < VMS; i++)
		restart_vm(&vms[i]);
	crash_exchange_load(vms[1].exchange, &row);
	run_rounds(&vms[1], ROUND_S);
	CU_ASSERT_EQUAL(blocking_vms(), VMS);
	teardown();
	g_string_free(value, TRUE);
}

static void blocks_that_the_store_lost_are_saved_again(void)
{
	setup();
	store_era_observe(store_era, 1, "test");
	crash_everywhere();
	run_rounds(&vms[0], ROUND_S);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.count, 1);
	answer_save(STORE_OK, store_version(1, 5), NULL);
	store_era_observe(store_era, 2, "test");
	manual_clock_advance(&time_source, 1);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.count, 2);
	CU_ASSERT_EQUAL(saved.expect, 0);
	answer_save(STORE_OK, store_version(2, 4), NULL);
	manual_clock_advance(&time_source, 1);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.count, 2);
	teardown();
}

static void a_conflicting_save_keeps_the_blocks_in_the_row(void)
{
	GString *value = g_string_new(NULL);
	struct crash other = { .request = REQUEST + 1 };
	struct store_row row;
	int i;

	setup();
	/* VM 1 has saved a block of which VM 0 doesn't know. */
	for (i = 1; i <= 3; i++) {
		other.upstream = "a";
		other.started_ms = i;
		crash_watch_learn(vms[1].watch, &other);
	}
	crash_exchange_save(vms[1].exchange);
	row = saved_row(value, 5);
	answer_save(STORE_OK, 5, NULL);
	crash_on(&vms[0], "a");
	crash_on(&vms[0], "b");
	crash_on(&vms[0], "c");
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.expect, 0);
	answer_save(STORE_CONFLICT, 0, &row);
	CU_ASSERT_TRUE(crash_watch_blocks(vms[0].watch, REQUEST + 1));
	manual_clock_advance(&time_source, 1);
	crash_exchange_save(vms[0].exchange);
	CU_ASSERT_EQUAL(saved.expect, 5);
	answer_save(STORE_OK, 6, NULL);
	teardown();
	g_string_free(value, TRUE);
}

static void an_old_row_does_not_extend_a_block(void)
{
	GString *value = g_string_new(NULL);
	struct store_row row;
	int i;

	setup();
	crash_everywhere();
	run_rounds(&vms[0], ROUND_S);
	crash_exchange_save(vms[0].exchange);
	row = saved_row(value, 5);
	answer_save(STORE_OK, 5, NULL);
	/* A VM without a leader reads the row again and again. */
	for (i = 0; i < 100; i++) {
		crash_exchange_load(vms[1].exchange, &row);
		manual_clock_advance(&time_source, 1);
	}
	CU_ASSERT_FALSE(crash_watch_blocks(vms[1].watch, REQUEST));
	/* A row that can't be decoded changes nothing. */
	g_string_assign(value, "\xff\xff");
	row.version = 6;
	crash_exchange_load(vms[1].exchange, &row);
	teardown();
	g_string_free(value, TRUE);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "crashes on three VMs block a request on all",
		  crashes_on_three_vms_block_a_request_on_all },
		{ "a VM that starts later learns the blocks",
		  a_vm_that_starts_later_learns_the_blocks },
		{ "a new leader learns the crashes and blocks of others",
		  a_new_leader_learns_the_crashes_and_blocks_of_others },
		{ "a block ends on all VMs", a_block_ends_on_all_vms },
		{ "a request that comes to one VM stays blocked on all",
		  a_request_that_comes_to_one_vm_stays_blocked_on_all },
		{ "an answer lifts a block on all VMs",
		  an_answer_lifts_a_block_on_all_vms },
		{ "the store keeps blocks over the loss of all VMs",
		  the_store_keeps_blocks_over_the_loss_of_all_vms },
		{ "blocks that the store lost are saved again",
		  blocks_that_the_store_lost_are_saved_again },
		{ "a conflicting save keeps the blocks in the row",
		  a_conflicting_save_keeps_the_blocks_in_the_row },
		{ "an old row does not extend a block",
		  an_old_row_does_not_extend_a_block },
		{ 0 },
	};

	return suite_run("crash_exchange", cases);
}
