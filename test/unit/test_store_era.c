/* Tests of what VMs believe when the store comes back from an older copy: rows
 * of tables, the leader's lease, and the owners of keys. */
#include <string.h>
#include <unistd.h>

#include "entry/table_watch.h"
#include "keys/key_allocator.h"
#include "keys/lease.h"
#include "manual_clock.h"
#include "suite.h"
#include "wire/entry.pb-c.h"

/* The eras before and after the store comes back. */
#define BEFORE 1
#define AFTER 2

/** A fake store whose calls the test answers. */
struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct metrics *metrics;
	struct store store;
	struct table_watch *watch;
	struct lease *lease;
	/** The pending call: 'r', 'f' or 'w'; 0: none. */
	char call;
	store_done_fn done;
	void *ctx;
	/** The last write. */
	uint64_t expect;
	GString *written;
	/** What the watch reported: "+key " and "-key ". */
	GString *reported;
	bool holding;
};

static void note_call(struct fixture *f, char call, store_done_fn done,
		      void *ctx)
{
	f->call = call;
	f->done = done;
	f->ctx = ctx;
}

static void fake_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	(void)table;
	(void)from;
	note_call(impl, 'r', done, ctx);
}

static void fake_follow(void *impl, const char *table, uint64_t after,
			double wait_s, store_done_fn done, void *ctx)
{
	(void)table;
	(void)after;
	(void)wait_s;
	note_call(impl, 'f', done, ctx);
}

static void fake_write(void *impl, const struct store_write *write,
		       double timeout_s, store_done_fn done, void *ctx)
{
	struct fixture *f = impl;

	(void)timeout_s;
	f->expect = write->expect;
	g_string_truncate(f->written, 0);
	g_string_append_len(f->written, write->value.data,
			    (gssize)write->value.len);
	note_call(f, 'w', done, ctx);
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
	((struct fixture *)impl)->call = 0;
}

static const struct store_ops store_ops = {
	.read = fake_read,
	.follow = fake_follow,
	.write = fake_write,
	.receiving = fake_receiving,
	.cancel = fake_cancel,
};

static void setup(struct fixture *f, uint64_t era)
{
	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	f->loop.clock = &f->clock.clock;
	f->loop.ev = ev_loop_new(EVFLAG_AUTO);
	f->metrics = metrics_create();
	f->store.ops = &store_ops;
	f->store.impl = f;
	f->store.era = store_era_create(&f->loop, NULL, f->metrics);
	f->written = g_string_new(NULL);
	f->reported = g_string_new(NULL);
	store_era_observe(f->store.era, era, "test");
}

static void teardown(struct fixture *f)
{
	table_watch_destroy(f->watch);
	lease_destroy(f->lease);
	store_era_destroy(f->store.era);
	metrics_destroy(f->metrics);
	ev_loop_destroy(f->loop.ev);
	g_string_free(f->written, TRUE);
	g_string_free(f->reported, TRUE);
}

static void answer(struct fixture *f, const struct store_result *result)
{
	CU_ASSERT_TRUE_FATAL(f->call != 0);
	f->call = 0;
	f->done(f->ctx, result);
	ev_run(f->loop.ev, EVRUN_NOWAIT);
}

/* --- rows of a table --- */

static void on_row(void *ctx, const struct store_row *row)
{
	g_string_append_printf(((struct fixture *)ctx)->reported, "+%s ",
			       row->key);
}

static void on_removed(void *ctx, const char *key)
{
	g_string_append_printf(((struct fixture *)ctx)->reported, "-%s ", key);
}

static void on_nothing(void *ctx)
{
	(void)ctx;
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

/* Reads rows from a text such as "a5x -b9": key "a" with version 5 and value
 * "x", and the deletion of "b" with version 9. */
static GArray *parse_rows(const char *text, uint64_t era)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct store_row));
	char **words = g_strsplit(text, " ", -1);
	size_t i;

	for (i = 0; words[i]; i++) {
		const char *at = words[i];
		struct store_row row = { .removed = *at == '-' };
		char *end;

		if (!*at)
			continue;
		at += row.removed;
		row.key = g_strndup(at, 1);
		row.version =
			store_version(era, g_ascii_strtoull(at + 1, &end, 10));
		row.value = g_string_new(end);
		g_array_append_val(rows, row);
	}
	g_strfreev(words);
	return rows;
}

static void free_rows(GArray *rows)
{
	guint i;

	for (i = 0; i < rows->len; i++) {
		struct store_row *row =
			&g_array_index(rows, struct store_row, i);

		g_free(row->key);
		g_string_free(row->value, TRUE);
	}
	g_array_free(rows, TRUE);
}

/* Answers the pending read of the table. */
static void answer_rows(struct fixture *f, uint64_t era, const char *text,
			uint64_t version)
{
	GArray *rows = parse_rows(text, era);
	struct store_result result = {
		.status = STORE_OK,
		.version = store_version(era, version),
		.rows = (const struct store_row *)(void *)rows->data,
		.row_count = rows->len,
	};

	CU_ASSERT_EQUAL(f->call, 'r');
	answer(f, &result);
	free_rows(rows);
}

/* Relays changes after the watch's version, in version order. */
static void relay(struct fixture *f, uint64_t era, const char *text)
{
	GArray *rows = parse_rows(text, era);
	struct table_delta changes = {
		.after = table_watch_version(f->watch),
		.rows = (const struct store_row *)(void *)rows->data,
		.count = rows->len,
	};

	if (rows->len) {
		changes.upto = changes.rows[rows->len - 1].version;
		table_watch_apply_delta(f->watch, &changes);
	}
	free_rows(rows);
}

static void tick(struct fixture *f, double span_s, uint64_t peers_version)
{
	manual_clock_advance(&f->clock, span_s);
	table_watch_set_peers(f->watch, TABLE_WATCH_PEERS_RELAY, peers_version);
	ev_run(f->loop.ev, EVRUN_NOWAIT);
}

/* Has a watch read rows "a" and "b", and learn of changes by relay. */
static void start_watch(struct fixture *f, const char *changes)
{
	setup(f, BEFORE);
	f->watch =
		table_watch_create(&f->loop, &f->store, "t", 1, &watch_ops, f);
	table_watch_start(f->watch, 0);
	ev_run(f->loop.ev, EVRUN_NOWAIT);
	table_watch_set_mode(f->watch, TABLE_WATCH_PASSIVE);
	table_watch_set_peers(f->watch, TABLE_WATCH_PEERS_RELAY, 0);
	answer_rows(f, BEFORE, "a5x b6x", 10);
	relay(f, BEFORE, changes);
	g_string_truncate(f->reported, 0);
}

static void rows_of_an_older_copy_change_nothing(void)
{
	static const struct {
		const char *name;
		/* Changes before the store went away. */
		const char *changes;
		/* What it shows when it is back. */
		const char *rows;
		const char *reported;
	} cases[] = {
		{ "rows that are known", "", "a5x b6x", "" },
		{ "a row that was written again", "a11y", "a5x b6x", "" },
		{ "a row that was written twice at once", "a11y a12z",
		  "a11y b6x", "" },
		{ "a row that was removed", "-b11", "a5x b6x", "" },
		{ "a row that the store lost", "c11x", "a5x b6x", "" },
		{ "a row that was written since", "a11y", "a9z b6x", "+a " },
		{ "a new value of a version that is given out again", "a11y",
		  "a11z b6x", "+a " },
		{ "a row that was removed since", "", "b6x", "-a " },
		{ "a row that was added since", "c11x", "a5x b6x d8x", "+d " },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		start_watch(&f, cases[i].changes);
		tick(&f, 0.2, store_version(AFTER, 6));
		answer_rows(&f, AFTER, cases[i].rows, 12);
		if (strcmp(f.reported->str, cases[i].reported) != 0)
			printf("# %s: \"%s\"\n", cases[i].name,
			       f.reported->str);
		CU_ASSERT_STRING_EQUAL(f.reported->str, cases[i].reported);
		CU_ASSERT_TRUE(
			table_watch_has(f.watch, store_version(AFTER, 12)));
		teardown(&f);
	}
}

static void a_relayed_row_of_a_new_era_is_taken_without_the_store(void)
{
	struct fixture f;
	GArray *rows = parse_rows("a4z", AFTER);
	struct table_delta changes = {
		.after = store_version(AFTER, 3),
		.upto = store_version(AFTER, 4),
		.rows = (const struct store_row *)(void *)rows->data,
		.count = 1,
	};

	start_watch(&f, "a11y");
	table_watch_apply_delta(f.watch, &changes);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a ");
	free_rows(rows);
	teardown(&f);
}

static void rows_that_stay_lost_are_given_up(void)
{
	struct fixture f;

	start_watch(&f, "c11x");
	tick(&f, 0.2, store_version(AFTER, 6));
	answer_rows(&f, AFTER, "a5x b6x", 12);
	tick(&f, 20, store_version(AFTER, 6));
	CU_ASSERT_EQUAL(f.call, 0);
	tick(&f, 11, store_version(AFTER, 6));
	answer_rows(&f, AFTER, "a5x b6x", 90);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "-c ");
	teardown(&f);
}

/* --- the lease --- */

static void on_won(void *ctx)
{
	((struct fixture *)ctx)->holding = true;
}

static void on_lost(void *ctx, const char *reason)
{
	(void)reason;
	((struct fixture *)ctx)->holding = false;
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	(void)ctx;
	(void)vm;
	(void)address;
}

static const struct lease_ops lease_ops = { on_won, on_lost, on_learned,
					    on_nothing, on_nothing };

static void start_lease(struct fixture *f, uint64_t era)
{
	setup(f, era);
	f->lease = lease_create(&f->loop, &f->store, &lease_ops, f, "vm",
				"127.0.0.1:1");
}

/* Runs the lease until it calls the store, for span_s seconds at most. */
static void run_until_call(struct fixture *f, double span_s)
{
	for (; span_s > 0 && !f->call; span_s -= 0.05) {
		manual_clock_advance(&f->clock, 0.05);
		lease_tick(f->lease);
	}
}

/* Answers the pending call with the lease's row.
 *
 * @param writer VM that wrote it; NULL: there is no row
 * @param era the era that the writer knew */
static void answer_lease(struct fixture *f, enum store_status status,
			 uint64_t version, const char *writer, uint64_t era)
{
	LeaseRow message = LEASE_ROW__INIT;
	struct store_row row = { .key = "leader", .version = version };
	struct store_result result = {
		.status = status,
		.version = version,
		.rows = &row,
		.row_count = writer ? 1 : 0,
		.now_s = loop_now(&f->loop),
	};

	message.vm = (char *)writer;
	message.address = "127.0.0.1:2";
	message.attempt = "other-1";
	message.era = era;
	/* Long past. */
	message.until_s = 0.001;
	if (writer) {
		row.value = g_string_new(NULL);
		g_string_set_size(row.value,
				  lease_row__get_packed_size(&message));
		lease_row__pack(&message, (uint8_t *)row.value->str);
	}
	answer(f, &result);
	if (writer)
		g_string_free(row.value, TRUE);
}

/* Has the VM acquire the lease by version 70 of the row, in the first era. */
static void acquire(struct fixture *f)
{
	start_lease(f, BEFORE);
	run_until_call(f, 1);
	answer_lease(f, STORE_OK, store_version(BEFORE, 60), NULL, 0);
	run_until_call(f, 4);
	CU_ASSERT_EQUAL_FATAL(f->call, 'w');
	answer_lease(f, STORE_OK, store_version(BEFORE, 70), NULL, 0);
	CU_ASSERT_TRUE_FATAL(f->holding);
}

static void the_holder_keeps_its_lease_when_the_store_loses_it(void)
{
	const struct {
		const char *name;
		/* The row that the renewal meets. */
		const char *writer;
		uint64_t era;
		bool holds;
		/* Version on which it is written again. */
		uint64_t expect;
	} cases[] = {
		{ "no row", NULL, 0, true, 0 },
		{ "a row of an earlier holder", "other", BEFORE, true,
		  store_version(AFTER, 54) },
		{ "a row that was written since", "other", AFTER, false, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fixture f;

		acquire(&f);
		run_until_call(&f, 1);
		CU_ASSERT_EQUAL(f.call, 'w');
		store_era_observe(f.store.era, AFTER, "write");
		answer_lease(&f, STORE_CONFLICT, store_version(AFTER, 54),
			     cases[i].writer, cases[i].era);
		CU_ASSERT_EQUAL(f.holding, cases[i].holds);
		if (cases[i].holds) {
			run_until_call(&f, 0.1);
			CU_ASSERT_EQUAL(f.call, 'w');
			CU_ASSERT_EQUAL(f.expect, cases[i].expect);
		}
		teardown(&f);
	}
}

static void no_lease_is_acquired_by_a_restored_row(void)
{
	static const struct {
		const char *name;
		/* The VM runs since before; else it starts now. */
		bool knew;
		/* The row that it reads. */
		const char *writer;
		/* The era before the store came back, and since. */
		uint64_t before, after;
	} cases[] = {
		{ "a VM that knew a newer row", true, "other", BEFORE, AFTER },
		{ "a VM that knew a row that is lost", true, NULL, BEFORE,
		  AFTER },
		{ "a VM that starts", false, "other", BEFORE, AFTER },
		{ "a VM that starts, and the row is lost", false, NULL, BEFORE,
		  AFTER },
		{ "a store that shows no era", true, "other", 0, 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		double span_s = 0;
		struct fixture f;

		start_lease(&f,
			    cases[i].knew ? cases[i].before : cases[i].after);
		if (cases[i].knew)
			lease_observe_version(
				f.lease, store_version(cases[i].before, 70));
		manual_clock_advance(&f.clock, cases[i].knew ? 1.9 : 0);
		lease_tick(f.lease);
		run_until_call(&f, 1);
		CU_ASSERT_EQUAL(f.call, 'r');
		store_era_observe(f.store.era, cases[i].after, "read");
		answer_lease(&f, STORE_OK, store_version(cases[i].after, 54),
			     cases[i].writer, cases[i].before);
		while (span_s < 5 && f.call != 'w') {
			if (f.call)
				answer_lease(&f, STORE_OK,
					     store_version(cases[i].after, 54),
					     cases[i].writer, cases[i].before);
			manual_clock_advance(&f.clock, 0.05);
			span_s += 0.05;
			lease_tick(f.lease);
		}
		CU_ASSERT_TRUE(span_s > LEASE_S * 1.02);
		CU_ASSERT_TRUE(span_s < LEASE_S * 1.02 + 1.2);
		teardown(&f);
	}
}

static void a_write_sent_before_the_store_went_back_acquires_nothing(void)
{
	struct fixture f;

	start_lease(&f, BEFORE);
	run_until_call(&f, 1);
	answer_lease(&f, STORE_OK, store_version(BEFORE, 60), NULL, 0);
	run_until_call(&f, 4);
	CU_ASSERT_EQUAL(f.call, 'w');
	store_era_observe(f.store.era, AFTER, "read");
	answer_lease(&f, STORE_OK, store_version(AFTER, 55), NULL, 0);
	CU_ASSERT_FALSE(f.holding);
	teardown(&f);
}

/* --- owners of keys --- */

struct owners {
	unsigned int grants, saves;
	struct key_order last;
};

static enum owner_state owner_state(void *ctx, const char *id, int64_t started)
{
	(void)ctx;
	(void)id;
	(void)started;
	return OWNER_AVAILABLE;
}

static void on_grant(void *ctx, const struct key_order *order)
{
	struct owners *owners = ctx;

	owners->grants++;
	owners->last = *order;
}

static void on_release(void *ctx, const struct key_order *order)
{
	(void)ctx;
	(void)order;
}

static void on_save(void *ctx, const struct key_map *map)
{
	(void)map;
	((struct owners *)ctx)->saves++;
}

static void on_note(void *ctx, const struct key_span *span, const char *to,
		    const char *reason)
{
	(void)ctx;
	(void)span;
	(void)to;
	(void)reason;
}

static const struct key_allocator_ops key_ops = {
	.owner_state = owner_state,
	.grant = on_grant,
	.release = on_release,
	.save = on_save,
	.changed = on_nothing,
	.note = on_note,
};

static void unknown_owners_get_no_keys_until_all_grants_ended(void)
{
	struct key_candidate a = { .id = g_intern_string("a"),
				   .started_ms = 1,
				   .weight = 1 };
	struct key_map *map = key_map_create();
	struct key_inheritance inherited = {
		.map = map,
		.until_s = 20,
		.owners_unknown = true,
		.fence_min = UINT64_C(2) << 32,
	};
	struct key_allocator *allocator;
	struct owners owners = { 0 };
	double now = 10;

	g_array_index(map->spans, struct key_span, 0).owner = a.id;
	allocator = key_allocator_create(&key_ops, &owners, &inherited);
	for (; now < 30 && !owners.saves; now += 0.05)
		key_allocator_tick(allocator, now, 3, &a, 1);
	CU_ASSERT_TRUE(now > 20 && now < 20.3);
	key_allocator_save_done(allocator, true, 1, now);
	key_allocator_tick(allocator, now, 3, &a, 1);
	CU_ASSERT_EQUAL(owners.grants, 1);
	CU_ASSERT_TRUE(owners.last.fence > inherited.fence_min);
	key_allocator_destroy(allocator);
	key_map_destroy(map);
}

/* A leader that takes over from this one would rely on the saved map. */
static void unknown_owners_are_not_saved_as_known_ones(void)
{
	struct key_candidate a = { .id = g_intern_string("a"),
				   .started_ms = 1,
				   .weight = 1 };
	struct key_map *map = key_map_create();
	struct key_inheritance inherited = {
		.map = map,
		.until_s = 20,
		.owners_unknown = true,
	};
	struct key_allocator *allocator;
	struct owners owners = { 0 };
	unsigned int tick;

	g_array_index(map->spans, struct key_span, 0).owner = a.id;
	allocator = key_allocator_create(&key_ops, &owners, &inherited);
	key_allocator_save_again(allocator);
	for (tick = 0; tick < 200; tick++)
		key_allocator_tick(allocator, 10 + tick * 0.05, 3, &a, 1);
	CU_ASSERT_EQUAL(owners.saves, 0);
	for (; tick < 206; tick++)
		key_allocator_tick(allocator, 10 + tick * 0.05, 3, &a, 1);
	CU_ASSERT_EQUAL(owners.saves, 1);
	key_allocator_destroy(allocator);
	key_map_destroy(map);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "rows of an older copy change nothing",
		  rows_of_an_older_copy_change_nothing },
		{ "a relayed row of a new era is taken without the store",
		  a_relayed_row_of_a_new_era_is_taken_without_the_store },
		{ "rows that stay lost are given up",
		  rows_that_stay_lost_are_given_up },
		{ "the holder keeps its lease when the store loses it",
		  the_holder_keeps_its_lease_when_the_store_loses_it },
		{ "no lease is acquired by a restored row",
		  no_lease_is_acquired_by_a_restored_row },
		{ "a write sent before the store went back acquires nothing",
		  a_write_sent_before_the_store_went_back_acquires_nothing },
		{ "unknown owners get no keys until all grants ended",
		  unknown_owners_get_no_keys_until_all_grants_ended },
		{ "unknown owners are not saved as known ones",
		  unknown_owners_are_not_saved_as_known_ones },
		{ 0 },
	};

	return suite_run("store_era", cases);
}
