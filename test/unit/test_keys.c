/* Tests of owner maps, the leader lease and the key allocator. */
#include <string.h>

#include "keys/key_allocator.h"
#include "keys/key_capacity.h"
#include "keys/key_load.h"
#include "keys/lease.h"
#include "keys/published_map.h"
#include "manual_clock.h"
#include "suite.h"
#include "wire/entry.pb-c.h"

static void maps_are_packed_and_read(void)
{
	struct key_map *map = key_map_create();
	struct key_map *read = key_map_create();
	struct key_span spans[] = {
		{ .last = 99, .owner = g_intern_string("a"), .fence = 3 },
		{ .first = 100, .last = 4095, .wait_s = 0.5 },
		{ .first = 4096,
		  .last = KEY_LAST,
		  .owner = g_intern_string("b"),
		  .started_ms = 7,
		  .fence = 9 },
	};
	char *attempt = NULL;
	GString *bytes;

	g_array_set_size(map->spans, 0);
	g_array_append_vals(map->spans, spans, 3);
	map->fence = 9;
	bytes = key_map_pack(map, "s", "w1");
	CU_ASSERT_TRUE(key_map_unpack(
		read, (struct str){ bytes->str, bytes->len }, &attempt));
	CU_ASSERT_STRING_EQUAL(attempt, "w1");
	CU_ASSERT_EQUAL(read->fence, 9);
	CU_ASSERT_PTR_EQUAL(key_map_find(read, 99)->owner, spans[0].owner);
	CU_ASSERT_PTR_NULL(key_map_find(read, 100)->owner);
	CU_ASSERT_DOUBLE_EQUAL(key_map_find(read, 100)->wait_s, 0.5, 0.001);
	CU_ASSERT_EQUAL(key_map_find(read, KEY_LAST)->started_ms, 7);
	/* A map with a gap is rejected and changes nothing. */
	g_array_remove_index(map->spans, 1);
	g_string_free(bytes, TRUE);
	bytes = key_map_pack(map, "s", "w2");
	CU_ASSERT_FALSE(key_map_unpack(
		read, (struct str){ bytes->str, bytes->len }, NULL));
	CU_ASSERT_EQUAL(read->spans->len, 3);
	g_string_free(bytes, TRUE);
	g_free(attempt);
	key_map_destroy(map);
	key_map_destroy(read);
}

static void set_spans(struct key_map *map, const struct key_span *spans,
		      guint count)
{
	g_array_set_size(map->spans, 0);
	g_array_append_vals(map->spans, spans, count);
}

/* Applies a delta to a map as a peer that received it does. */
static bool apply_delta(struct key_map *map, const struct key_map *changes)
{
	KeyMap *message = key_map_to_message(changes, "s", "");
	bool ok;

	message->partial = true;
	ok = key_map_apply_message(map, message);
	key_map__free_unpacked(message, NULL);
	return ok;
}

/* A peer that received the snapshot and the latest delta has the whole map,
 * even if deltas in between were lost. */
static void a_delta_holds_only_changed_spans(void)
{
	const char *a = g_intern_string("a"), *b = g_intern_string("b");
	struct key_span whole[] = {
		{ .last = 99, .owner = a, .fence = 1 },
		{ .first = 100, .last = 199, .owner = b, .fence = 2 },
		{ .first = 200, .last = KEY_LAST, .owner = a, .fence = 3 },
	};
	struct key_span split[] = {
		{ .last = 99, .owner = a, .fence = 1 },
		{ .first = 100, .last = 149, .owner = b, .fence = 2 },
		{ .first = 150, .last = 199, .wait_s = 1 },
		{ .first = 200, .last = KEY_LAST, .owner = a, .fence = 3 },
	};
	struct key_map *map = key_map_create();
	struct key_map *peer_map = key_map_create();
	struct key_map *changes = key_map_create();
	struct published_map *published = published_map_create();
	GString *bytes;

	set_spans(map, whole, 3);
	published_map_snapshot(published, map);
	key_map_copy(peer_map, map);
	published_map_delta(published, map, changes);
	CU_ASSERT_EQUAL(changes->spans->len, 0);
	set_spans(map, split, 4);
	published_map_delta(published, map, changes);
	CU_ASSERT_EQUAL(changes->spans->len, 2);
	CU_ASSERT_TRUE(apply_delta(peer_map, changes));
	CU_ASSERT_EQUAL(peer_map->spans->len, 4);
	CU_ASSERT_PTR_NULL(key_map_find(peer_map, 150)->owner);
	CU_ASSERT_PTR_EQUAL(key_map_find(peer_map, 149)->owner, b);
	CU_ASSERT_PTR_EQUAL(key_map_find(peer_map, 99)->owner, a);
	CU_ASSERT_PTR_EQUAL(key_map_find(peer_map, 200)->owner, a);
	/* A delta is rejected where a whole map is expected. */
	bytes = key_map_pack(changes, "s", "");
	CU_ASSERT_FALSE(key_map_unpack(
		peer_map, (struct str){ bytes->str, bytes->len }, NULL));
	g_string_free(bytes, TRUE);
	set_spans(map, whole, 3);
	published_map_delta(published, map, changes);
	CU_ASSERT_EQUAL(changes->spans->len, 1);
	CU_ASSERT_TRUE(apply_delta(peer_map, changes));
	CU_ASSERT_EQUAL(peer_map->spans->len, 3);
	CU_ASSERT_PTR_EQUAL(key_map_find(peer_map, 150)->owner, b);
	published_map_destroy(published);
	key_map_destroy(map);
	key_map_destroy(peer_map);
	key_map_destroy(changes);
}

static void a_range_is_split_by_load(void)
{
	struct key_load *load = key_load_create();
	uint16_t upper_first;
	int i;

	key_load_decay(load, 1);
	for (i = 0; i < 200; i++)
		key_load_add(load, (uint16_t)(30000 + i));
	upper_first = key_load_split_point(load, 0, KEY_LAST, 100);
	CU_ASSERT_TRUE(upper_first > 30080 && upper_first < 30180);
	CU_ASSERT_TRUE(key_load_requests(load, 30000, 30199) > 199);
	key_load_decay(load, 60);
	CU_ASSERT_TRUE(key_load_requests(load, 0, KEY_LAST) < 1);
	key_load_destroy(load);
}

/* --- the lease, on a fake store of one row --- */

/** A lease, its clock, and a store whose calls the test answers. */
struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct store store;
	struct lease *lease;
	/** Number of calls of each of the lease's callbacks. */
	int won, lost, renewal_failing, released;
	/** Callback of the read or write in progress, which the test completes;
	 * NULL if there is none. */
	store_done_fn done;
	void *ctx;
	/** Version that the last write expects the row to have. */
	uint64_t expect;
	/** The last call is a write. */
	bool writing;
	/** Value of the last write. */
	GString *written;
	/** Number of the reading of the clock before which the process is
	 * stopped; 0: none. */
	unsigned int readings_to_pause;
};

static void fake_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	struct fixture *f = impl;

	(void)table;
	(void)from;
	f->done = done;
	f->ctx = ctx;
	f->writing = false;
}

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	struct fixture *f = impl;

	(void)timeout_s;
	f->done = done;
	f->ctx = ctx;
	f->writing = true;
	f->expect = write->expect;
	g_string_truncate(f->written, 0);
	g_string_append_len(f->written, write->value.data,
			    (gssize)write->value.len);
}

static const struct store_ops store_ops = {
	.read = fake_read,
	.write = fake_write,
};

static void on_won(void *ctx)
{
	((struct fixture *)ctx)->won++;
}

static void on_lost(void *ctx, const char *reason)
{
	(void)reason;
	((struct fixture *)ctx)->lost++;
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	(void)ctx;
	(void)vm;
	(void)address;
}

static void on_renewal_failing(void *ctx)
{
	((struct fixture *)ctx)->renewal_failing++;
}

static void on_released(void *ctx)
{
	((struct fixture *)ctx)->released++;
}

static const struct lease_ops lease_ops = { on_won, on_lost, on_learned,
					    on_renewal_failing, on_released };

/* Advances the clock by a time in seconds, then runs the lease's timers. */
static void advance(struct fixture *f, double span_s)
{
	manual_clock_advance(&f->clock, span_s);
	lease_tick(f->lease);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	f->loop.clock = &f->clock.clock;
	f->store.ops = &store_ops;
	f->store.impl = f;
	f->written = g_string_new(NULL);
	f->lease = lease_create(&f->loop, &f->store, &lease_ops, f, "vm",
				"127.0.0.1:1");
}

static void teardown(struct fixture *f)
{
	lease_destroy(f->lease);
	g_string_free(f->written, TRUE);
}

/* Answers the lease's read or write in progress. */
static void complete_call_with(struct fixture *f,
			       const struct store_result *result)
{
	store_done_fn done = f->done;

	f->done = NULL;
	CU_ASSERT_PTR_NOT_NULL(done);
	if (done)
		done(f->ctx, result);
}

/* Answers it without any rows. */
static void complete_call(struct fixture *f, enum store_status status,
			  uint64_t version)
{
	struct store_result result = { .status = status, .version = version };

	complete_call_with(f, &result);
}

/* Runs the lease until it has found no row in the store and started the write
 * that acquires the lease. */
static void begin_acquire(struct fixture *f)
{
	int i;

	advance(f, 0.05);
	complete_call(f, STORE_OK, 0);
	for (i = 0; i < 40 && !f->done; i++)
		advance(f, 0.05);
	CU_ASSERT_TRUE_FATAL(f->writing && f->done != NULL);
}

static void a_lease_is_measured_from_before_its_write(void)
{
	struct fixture f;

	setup(&f);
	begin_acquire(&f);
	advance(&f, 1);
	complete_call(&f, STORE_OK, 1);
	CU_ASSERT_EQUAL(f.won, 1);
	CU_ASSERT_TRUE(lease_held(f.lease, LEASE_S - 1.1));
	CU_ASSERT_FALSE(lease_held(f.lease, LEASE_S - 0.9));
	teardown(&f);
}

static void a_late_answer_does_not_acquire_the_lease(void)
{
	struct fixture f;

	setup(&f);
	begin_acquire(&f);
	advance(&f, LEASE_S + 0.1);
	complete_call(&f, STORE_OK, 1);
	CU_ASSERT_EQUAL(f.won, 0);
	CU_ASSERT_FALSE(lease_held(f.lease, 0));
	teardown(&f);
}

static void a_lease_that_is_not_renewed_expires(void)
{
	struct fixture f;

	setup(&f);
	begin_acquire(&f);
	complete_call(&f, STORE_OK, 1);
	advance(&f, 0.6);
	CU_ASSERT_TRUE_FATAL(f.done != NULL);
	complete_call(&f, STORE_REFUSED, 0);
	CU_ASSERT_EQUAL(f.renewal_failing, 1);
	/* The lease counts as expired even before the next tick. */
	manual_clock_advance(&f.clock, 2);
	CU_ASSERT_FALSE(lease_held(f.lease, 0));
	advance(&f, 0.05);
	CU_ASSERT_EQUAL(f.lost, 1);
	teardown(&f);
}

/* A VM with an acquire delay lets peer_map VMs try to acquire the lease first.
 */
static void the_acquire_delay_postpones_the_first_attempt(void)
{
	struct fixture f;

	setup(&f);
	lease_set_acquire_delay(f.lease, 0.5);
	advance(&f, 0.05);
	CU_ASSERT_FALSE_FATAL(f.writing);
	/* The store has no row: there never was a leader. */
	complete_call(&f, STORE_OK, 0);
	advance(&f, 0.45);
	CU_ASSERT_FALSE(f.writing);
	advance(&f, 0.6);
	CU_ASSERT_TRUE(f.writing);
	teardown(&f);
}

static void a_newer_version_ends_a_lease(void)
{
	struct fixture f;

	setup(&f);
	begin_acquire(&f);
	complete_call(&f, STORE_OK, 1);
	lease_observe_version(f.lease, 5);
	CU_ASSERT_EQUAL(f.lost, 1);
	CU_ASSERT_FALSE(lease_held(f.lease, 0));
	teardown(&f);
}

static void an_observed_lease_must_expire_first(void)
{
	struct fixture f;
	int i;

	setup(&f);
	lease_observe_version(f.lease, 5);
	for (i = 0; i < 38; i++) {
		advance(&f, 0.05);
		CU_ASSERT_FALSE(f.writing);
		if (f.done)
			complete_call(&f, STORE_REFUSED, 0);
	}
	for (i = 0; i < 40 && !f.writing; i++) {
		advance(&f, 0.05);
		if (f.done && !f.writing)
			complete_call(&f, STORE_REFUSED, 0);
	}
	CU_ASSERT_TRUE(f.writing);
	CU_ASSERT_EQUAL(f.expect, 5);
	teardown(&f);
}

/* The store's clock minus the VM's, in seconds. */
#define STORE_AHEAD_S 4000
/* Length of a pause of the process. */
#define PAUSE_S 3

static void a_lease_that_is_given_up_is_acquired_at_once(void)
{
	static const struct {
		double acquire_delay_s;
		bool knows_fleet;
		/* Bounds of the time until the lease is acquired. */
		double min_s, max_s;
	} rows[] = {
		{ 0, true, 0, 0.35 },
		{ 0, false, 0.3, 0.65 },
		{ 0.5, true, 0.5, 1.6 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		double waited_s = 0;
		struct fixture f;

		setup(&f);
		lease_set_acquire_delay(f.lease, rows[i].acquire_delay_s);
		lease_set_knows_fleet(f.lease, rows[i].knows_fleet);
		lease_set_vms(f.lease, 60);
		lease_observe_version(f.lease, 5);
		advance(&f, 0.1);
		lease_observe_release(f.lease, 6);
		while (!f.done && waited_s < 3) {
			advance(&f, 0.05);
			waited_s += 0.05;
		}
		CU_ASSERT_TRUE(f.writing);
		CU_ASSERT_EQUAL(f.expect, 6);
		CU_ASSERT_TRUE(waited_s > rows[i].min_s);
		CU_ASSERT_TRUE(waited_s < rows[i].max_s);
		teardown(&f);
	}
}

static void a_lease_is_given_up_after_a_renewal_in_progress(void)
{
	struct fixture f;

	setup(&f);
	begin_acquire(&f);
	complete_call(&f, STORE_OK, 1);
	while (!f.done)
		advance(&f, 0.05);
	lease_stop(f.lease);
	CU_ASSERT_EQUAL(f.lost, 1);
	CU_ASSERT_EQUAL(f.released, 0);
	complete_call(&f, STORE_OK, 2);
	CU_ASSERT_TRUE_FATAL(f.done && f.writing);
	CU_ASSERT_EQUAL(f.expect, 2);
	complete_call(&f, STORE_OK, 3);
	CU_ASSERT_EQUAL(f.released, 1);
	teardown(&f);
}

/* Answers the lease's call as a store that reports its clock. */
static void complete_call_at(struct fixture *f, uint64_t version,
			     double store_now_s)
{
	struct store_result result = { .status = STORE_OK,
				       .version = version,
				       .now_s = store_now_s };

	complete_call_with(f, &result);
}

/* Returns the end of the lease that the VM wrote, on the store's clock. */
static double written_until_s(const struct fixture *f)
{
	LeaseRow *row = lease_row__unpack(NULL, f->written->len,
					  (const uint8_t *)f->written->str);
	double until_s = row ? row->until_s : 0;

	CU_ASSERT_PTR_NOT_NULL_FATAL(row);
	lease_row__free_unpacked(row, NULL);
	return until_s;
}

/* Reads the clock of a process that is stopped before one of the readings. */
static struct timespec read_clock_with_pause(void *ctx)
{
	struct fixture *f = ctx;

	if (f->readings_to_pause && !--f->readings_to_pause)
		manual_clock_advance(&f->clock, PAUSE_S);
	return f->clock.now;
}

/* Guards against a lease that others may acquire while its holder, which was
 * stopped while it wrote the row, still holds it. */
static void a_pause_during_a_write_does_not_prolong_the_lease(void)
{
	static const struct clock_ops ops = { read_clock_with_pause,
					      read_clock_with_pause };
	unsigned int reading;

	for (reading = 1; reading < 20; reading++) {
		struct fixture f;
		double until_s, left_s;
		int i;

		setup(&f);
		f.clock.clock.ops = &ops;
		f.clock.clock.ctx = &f;
		advance(&f, 0.05);
		complete_call_at(&f, 0, loop_now(&f.loop) + STORE_AHEAD_S);
		for (i = 0; i < 40 && !f.writing; i++) {
			f.readings_to_pause = reading;
			advance(&f, 0.05);
		}
		f.readings_to_pause = 0;
		until_s = written_until_s(&f);
		complete_call_at(&f, 1, loop_now(&f.loop) + STORE_AHEAD_S);
		left_s = until_s - STORE_AHEAD_S - loop_now(&f.loop);
		CU_ASSERT_FALSE(lease_held(f.lease, MAX(left_s, 0)));
		teardown(&f);
	}
}

/* Guards against a lease that others may acquire early, because its holder read
 * the store's clock long ago and the clocks differ in speed. */
static void a_slow_clock_does_not_shorten_the_written_lease(void)
{
	struct fixture f;
	double began_s, store_now_s;
	uint64_t version = 5;
	int i;

	setup(&f);
	advance(&f, 0.05);
	began_s = loop_now(&f.loop);
	complete_call_at(&f, 0, STORE_AHEAD_S);
	for (i = 0; i < 1000; i++) {
		lease_observe_version(f.lease, ++version);
		advance(&f, 0.1);
	}
	for (i = 0; i < 100 && !f.writing; i++) {
		if (f.done)
			complete_call(&f, STORE_REFUSED, 0);
		advance(&f, 0.05);
	}
	CU_ASSERT_TRUE_FATAL(f.writing);
	store_now_s = STORE_AHEAD_S + (loop_now(&f.loop) - began_s) * 1.02;
	CU_ASSERT_TRUE(written_until_s(&f) > store_now_s + LEASE_S - 0.001);
	teardown(&f);
}

/* --- the key allocator, with callbacks that record its orders --- */

/** An allocator, and a record of the orders and saves that it asked for. */
struct orders {
	struct key_allocator *allocator;
	/** The last order, without its hand-over token. */
	struct key_order last;
	/** Hand-over token of the last grant; "" if the grant had none. */
	char handover[16];
	/** Number of grants, releases and saves so far. */
	unsigned int grants, releases, saves;
	/** State that owner_state() reports for every owner. */
	enum owner_state state;
};

static enum owner_state owner_state(void *ctx, const char *id, int64_t started)
{
	(void)id;
	(void)started;
	return ((struct orders *)ctx)->state;
}

static void on_grant(void *ctx, const struct key_order *order)
{
	struct orders *o = ctx;

	o->last = *order;
	o->handover[0] = '\0';
	if (order->handover)
		g_strlcpy(o->handover, order->handover, sizeof(o->handover));
	o->grants++;
}

static void on_release(void *ctx, const struct key_order *order)
{
	struct orders *o = ctx;

	o->last = *order;
	o->releases++;
}

static void on_save(void *ctx, const struct key_map *map)
{
	(void)map;
	((struct orders *)ctx)->saves++;
}

static void on_changed(void *ctx)
{
	(void)ctx;
}

static void on_note(void *ctx, const struct key_span *span, const char *to,
		    const char *reason)
{
	(void)ctx;
	(void)span;
	(void)to;
	(void)reason;
}

static const struct key_allocator_ops key_allocator_ops = {
	.owner_state = owner_state,
	.grant = on_grant,
	.release = on_release,
	.save = on_save,
	.changed = on_changed,
	.note = on_note,
};

static struct key_candidate candidate(const char *id)
{
	return (struct key_candidate){ .id = g_intern_string(id),
				       .started_ms = 1,
				       .weight = 3 };
}

/* Creates an allocator that grants all keys to "a". The owner has not answered
 * the grant yet. */
static void start_granting_all_keys(struct orders *o)
{
	struct key_candidate a = candidate("a");
	struct key_map *map = key_map_create();

	memset(o, 0, sizeof(*o));
	o->allocator = key_allocator_create(
		&key_allocator_ops, o, &(struct key_inheritance){ .map = map });
	key_map_destroy(map);
	key_allocator_tick(o->allocator, 10, 3, &a, 1);
	CU_ASSERT_EQUAL(o->grants, 0);
	CU_ASSERT_EQUAL(o->saves, 1);
	key_allocator_save_done(o->allocator, true, 1, 10);
	key_allocator_tick(o->allocator, 10.01, 3, &a, 1);
	CU_ASSERT_EQUAL_FATAL(o->grants, 1);
}

static void keys_are_granted_after_their_map_is_saved(void)
{
	struct orders o;

	start_granting_all_keys(&o);
	CU_ASSERT_TRUE(o.last.fresh);
	CU_ASSERT_EQUAL(key_allocator_unserved_spans(o.allocator), 1);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	CU_ASSERT_EQUAL(key_allocator_unserved_spans(o.allocator), 0);
	key_allocator_destroy(o.allocator);
}

static void a_handover_is_passed_on_once(void)
{
	struct key_candidate b = candidate("b");
	struct orders o;
	uint64_t first_fence;

	start_granting_all_keys(&o);
	first_fence = o.last.fence;
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	o.state = OWNER_LEAVING;
	key_allocator_tick(o.allocator, 10.1, 3, &b, 1);
	key_allocator_tick(o.allocator, 10.15, 3, &b, 1);
	CU_ASSERT_EQUAL_FATAL(o.releases, 1);
	CU_ASSERT_TRUE(o.last.fence > first_fence);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, "h1",
				 10.3);
	o.state = OWNER_AVAILABLE;
	key_allocator_tick(o.allocator, 10.31, 3, &b, 1);
	CU_ASSERT_EQUAL(o.saves, 2);
	CU_ASSERT_EQUAL(o.grants, 1);
	key_allocator_save_done(o.allocator, true, 2, 10.32);
	key_allocator_tick(o.allocator, 10.33, 3, &b, 1);
	CU_ASSERT_EQUAL_FATAL(o.grants, 2);
	CU_ASSERT_STRING_EQUAL(o.last.owner, "b");
	CU_ASSERT_STRING_EQUAL(o.handover, "h1");
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.34);
	key_allocator_tick(o.allocator, 11.5, 3, &b, 1);
	CU_ASSERT_EQUAL_FATAL(o.grants, 3);
	CU_ASSERT_STRING_EQUAL(o.handover, "");
	key_allocator_destroy(o.allocator);
}

static void the_grant_of_an_unresponsive_owner_must_expire(void)
{
	struct key_candidate b = candidate("b");
	struct orders o;
	double now = 10.1;
	int i;

	start_granting_all_keys(&o);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	o.state = OWNER_UNREACHABLE;
	/* The grant lasts 3 s on a clock that may be 2% slow. */
	for (i = 0; i < 59; i++, now += 0.05) {
		uint32_t order = o.last.id;

		key_allocator_tick(o.allocator, now, 3, &b, 1);
		CU_ASSERT_EQUAL(o.saves, 1);
		if (o.last.id != order)
			key_allocator_order_done(o.allocator, o.last.id,
						 ORDER_UNKNOWN, NULL, now);
	}
	for (i = 0; i < 20 && o.saves == 1; i++, now += 0.05)
		key_allocator_tick(o.allocator, now, 3, &b, 1);
	CU_ASSERT_EQUAL(o.saves, 2);
	key_allocator_destroy(o.allocator);
}

/* Guards against keys that are granted to another upstream too early, because
 * the grant of their owner took effect later than it was thought to. */
static void a_doubted_grant_expires_from_the_doubt_on(void)
{
	struct key_candidate b = candidate("b");
	struct orders o;
	double now = 11;

	start_granting_all_keys(&o);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	key_allocator_owner_doubted(o.allocator, g_intern_string("other"), 15);
	key_allocator_owner_doubted(o.allocator, g_intern_string("a"), now);
	o.state = OWNER_UNREACHABLE;
	for (; o.saves == 1 && now < 20; now += 0.01) {
		uint32_t order = o.last.id;

		key_allocator_tick(o.allocator, now, 3, &b, 1);
		if (o.last.id != order)
			key_allocator_order_done(o.allocator, o.last.id,
						 ORDER_NOT_SENT, NULL, now);
	}
	/* The grant lasts 3 s on a clock that may be 2% slow. */
	CU_ASSERT_TRUE(now > 11 + 3.06);
	CU_ASSERT_TRUE(now < 11 + 3.06 + 0.2);
	key_allocator_destroy(o.allocator);
}

static void a_broken_connection_needs_a_new_token(void)
{
	struct key_candidate a = candidate("a");
	struct orders o;
	uint64_t first_fence;

	start_granting_all_keys(&o);
	first_fence = o.last.fence;
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	key_allocator_tick(o.allocator, 11, 3, &a, 1);
	CU_ASSERT_EQUAL(o.last.fence, first_fence);
	CU_ASSERT_FALSE(o.last.fresh);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL, 11);
	key_allocator_owner_disconnected(o.allocator, g_intern_string("a"));
	key_allocator_tick(o.allocator, 12, 3, &a, 1);
	CU_ASSERT_EQUAL(o.saves, 2);
	/* Requests are still routed to the owner, which keeps its keys. */
	CU_ASSERT_EQUAL(key_allocator_unserved_spans(o.allocator), 0);
	key_allocator_save_done(o.allocator, true, 2, 12.01);
	key_allocator_tick(o.allocator, 12.02, 3, &a, 1);
	CU_ASSERT_TRUE(o.last.fence > first_fence);
	CU_ASSERT_TRUE(o.last.fresh);
	key_allocator_destroy(o.allocator);
}

static void load_is_spread_over_upstreams(void)
{
	struct key_candidate both[] = { candidate("a"), candidate("b") };
	struct orders o;
	int i;

	start_granting_all_keys(&o);
	key_allocator_order_done(o.allocator, o.last.id, ORDER_DONE, NULL,
				 10.02);
	for (i = 0; i < 300; i++)
		key_allocator_count_request(o.allocator,
					    (uint16_t)(500 + i % 200));
	key_allocator_tick(o.allocator, 10.3, 3, both, 2);
	key_allocator_tick(o.allocator, 10.35, 3, both, 2);
	CU_ASSERT_EQUAL_FATAL(o.releases, 1);
	/* About half of the hot keys move, with the idle keys above them. */
	CU_ASSERT_TRUE(o.last.first > 540 && o.last.first < 660);
	CU_ASSERT_EQUAL(o.last.last, KEY_LAST);
	key_allocator_destroy(o.allocator);
}

static void limited_owners_get_no_more_keys_than_they_take(void)
{
	static const struct {
		double requests_per_s;
		/* Negative: no limit. */
		double limits[3];
		/* Requests per second that each is expected to get. */
		double expected[3];
	} rows[] = {
		{ 30, { -1, -1, -1 }, { 10, 10, 10 } },
		{ 30, { 5, -1, -1 }, { 5, 12.5, 12.5 } },
		{ 30, { 5, 11, -1 }, { 5, 11, 14 } },
		/* A limit above the share does not bind. */
		{ 30, { 12, -1, -1 }, { 10, 10, 10 } },
		/* All limits bind: in proportion to them. */
		{ 30, { 2, 4, 4 }, { 6, 12, 12 } },
		{ 0, { 5, 0, -1 }, { 0, 0, 0 } },
	};
	size_t i, c;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct key_candidate candidates[3] = { { .weight = 2 },
						       { .weight = 2 },
						       { .weight = 2 } };
		double total = 0;

		key_capacity_apply_limits(candidates, rows[i].limits, 3,
					  rows[i].requests_per_s);
		for (c = 0; c < 3; c++)
			total += candidates[c].weight;
		for (c = 0; c < 3; c++)
			CU_ASSERT_DOUBLE_EQUAL(candidates[c].weight / total *
						       rows[i].requests_per_s,
					       rows[i].expected[c], 0.01);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "maps are packed and read", maps_are_packed_and_read },
		{ "a delta holds only changed spans",
		  a_delta_holds_only_changed_spans },
		{ "a range is split by load", a_range_is_split_by_load },
		{ "a lease is measured from before its write",
		  a_lease_is_measured_from_before_its_write },
		{ "a late answer does not acquire the lease",
		  a_late_answer_does_not_acquire_the_lease },
		{ "a lease that is not renewed expires",
		  a_lease_that_is_not_renewed_expires },
		{ "the acquire delay postpones the first attempt",
		  the_acquire_delay_postpones_the_first_attempt },
		{ "a lease that is given up is acquired at once",
		  a_lease_that_is_given_up_is_acquired_at_once },
		{ "a lease is given up after a renewal in progress",
		  a_lease_is_given_up_after_a_renewal_in_progress },
		{ "a newer version ends a lease",
		  a_newer_version_ends_a_lease },
		{ "an observed lease must expire first",
		  an_observed_lease_must_expire_first },
		{ "a pause during a write does not prolong the lease",
		  a_pause_during_a_write_does_not_prolong_the_lease },
		{ "a slow clock does not shorten the written lease",
		  a_slow_clock_does_not_shorten_the_written_lease },
		{ "keys are granted after their map is saved",
		  keys_are_granted_after_their_map_is_saved },
		{ "a handover is passed on once",
		  a_handover_is_passed_on_once },
		{ "the grant of an unresponsive owner must expire",
		  the_grant_of_an_unresponsive_owner_must_expire },
		{ "a doubted grant expires from the doubt on",
		  a_doubted_grant_expires_from_the_doubt_on },
		{ "a broken connection needs a new token",
		  a_broken_connection_needs_a_new_token },
		{ "load is spread over upstreams",
		  load_is_spread_over_upstreams },
		{ "limited owners get no more keys than they take",
		  limited_owners_get_no_more_keys_than_they_take },
		{ 0 },
	};

	return suite_run("keys", cases);
}
