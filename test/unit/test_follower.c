/* Following a table, by the store's own feed and by what others pass on. */
#include <string.h>

#include "entry/table_watch.h"
#include "manual_clock.h"
#include "store/change_log.h"
#include "suite.h"

/* --- the newest changes --- */

static struct store_row row_of(char *key, uint64_t version, size_t bytes)
{
	struct store_row row = { .key = key, .version = version };

	row.value = g_string_new(NULL);
	g_string_set_size(row.value, bytes);
	memset(row.value->str, 'x', bytes);
	return row;
}

static void add(struct change_log *log, uint64_t version, size_t bytes,
		double now_s)
{
	struct store_row row = row_of("k", version, bytes);

	change_log_add(log, &row, now_s);
	g_string_free(row.value, TRUE);
}

static void changes_are_kept_for_a_while(void)
{
	struct change_log *log = change_log_create();

	change_log_reset(log, 10);
	add(log, 11, 10, 1.0);
	add(log, 13, 10, 1.5);
	CU_ASSERT_EQUAL(change_log_after(log), 10);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 2);
	change_log_expire(log, 2.1);
	CU_ASSERT_EQUAL(change_log_after(log), 11);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 1);
	change_log_reset(log, 20);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 0);
	CU_ASSERT_EQUAL(change_log_after(log), 20);
	change_log_destroy(log);
}

static void rows_of_one_transaction_are_dropped_together(void)
{
	struct change_log *log = change_log_create();
	uint64_t i;

	add(log, 5, 12 << 10, 1.0);
	add(log, 5, 12 << 10, 1.0);
	add(log, 6, 12 << 10, 1.0);
	CU_ASSERT_EQUAL(change_log_after(log), 5);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 1);
	/* A row that fits no datagram is kept by nobody. */
	add(log, 7, 60 << 10, 1.0);
	CU_ASSERT_EQUAL(change_log_after(log), 7);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 0);
	for (i = 8; i < 1008; i++)
		add(log, i, 100, 1.0);
	CU_ASSERT_TRUE(change_log_rows(log)->len < 400);
	change_log_destroy(log);
}

/* --- the table_watch, on a store whose calls the test answers --- */

struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct store store;
	struct table_watch *table_watch;
	store_done_fn done;
	void *ctx;
	/** The call in progress: 0 none, 'r' a reading, 'f' for changes. */
	char call;
	uint64_t after;
	double wait_s;
	int calls;
	bool receiving;
	/** What the table_watch told. */
	GString *known;
	int lost;
};

static void take_read(void *impl, const char *table, const char *from,
		      store_done_fn done, void *ctx)
{
	struct fixture *f = impl;

	(void)table;
	(void)from;
	f->done = done;
	f->ctx = ctx;
	f->call = 'r';
	f->calls++;
}

static void take_follow(void *impl, const char *table, uint64_t after,
			double wait_s, store_done_fn done, void *ctx)
{
	struct fixture *f = impl;

	(void)table;
	f->done = done;
	f->ctx = ctx;
	f->call = 'f';
	f->after = after;
	f->wait_s = wait_s;
	f->calls++;
}

static void take_cancel(void *impl, void *ctx)
{
	(void)ctx;
	((struct fixture *)impl)->call = 0;
}

static bool is_arriving(void *impl, void *ctx)
{
	(void)ctx;
	return ((struct fixture *)impl)->receiving;
}

static const struct store_ops store_ops = {
	.receiving = is_arriving,
	.read = take_read,
	.follow = take_follow,
	.cancel = take_cancel,
};

static void on_row(void *ctx, const struct store_row *row)
{
	g_string_append_printf(((struct fixture *)ctx)->known, "+%s ",
			       row->key);
}

static void on_removed(void *ctx, const char *key)
{
	g_string_append_printf(((struct fixture *)ctx)->known, "-%s ", key);
}

static void on_nothing(void *ctx)
{
	(void)ctx;
}

static void on_contact(void *ctx, bool lost)
{
	((struct fixture *)ctx)->lost = lost;
}

static const struct table_watch_ops few_rows_ops = {
	.catch_up_by_snapshot = true,
	.row = on_row,
	.removed = on_removed,
	.changed = on_nothing,
	.loaded = on_nothing,
	.contact = on_contact,
};

static const struct table_watch_ops table_watch_ops = {
	.row = on_row,
	.removed = on_removed,
	.changed = on_nothing,
	.loaded = on_nothing,
	.contact = on_contact,
};

static void run(struct fixture *f, double span_s)
{
	manual_clock_advance(&f->clock, span_s);
	/* Timers are libev's own: what is due at once runs here. */
	ev_run(f->loop.ev, EVRUN_NOWAIT);
}

static void answer(struct fixture *f, enum store_status status,
		   uint64_t version, const struct store_row *rows, size_t count)
{
	struct store_result result = {
		.status = status,
		.version = version,
		.rows = rows,
		.row_count = count,
	};

	CU_ASSERT_TRUE_FATAL(f->call != 0);
	f->call = 0;
	f->done(f->ctx, &result);
	ev_run(f->loop.ev, EVRUN_NOWAIT);
}

/* A table_watch that has read row "a" of version 7, the store being at 10. */
static void setup_with(struct fixture *f, const struct table_watch_ops *ops)
{
	struct store_row a = row_of("a", 7, 1);

	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	f->loop.clock = &f->clock.clock;
	f->loop.ev = ev_loop_new(EVFLAG_AUTO);
	f->store.ops = &store_ops;
	f->store.impl = f;
	f->known = g_string_new(NULL);
	f->table_watch = table_watch_create(&f->loop, &f->store, "t", ops, f);
	table_watch_start(f->table_watch);
	run(f, 0);
	CU_ASSERT_EQUAL_FATAL(f->call, 'r');
	table_watch_note_peer_version(f->table_watch, 7);
	table_watch_set_mode(f->table_watch, TABLE_WATCH_PASSIVE);
	answer(f, STORE_OK, 10, &a, 1);
	g_string_free(a.value, TRUE);
}

static void setup(struct fixture *f)
{
	setup_with(f, &table_watch_ops);
}

static void teardown(struct fixture *f)
{
	table_watch_destroy(f->table_watch);
	ev_loop_destroy(f->loop.ev);
	g_string_free(f->known, TRUE);
}

static void pass(struct fixture *f, uint64_t after, uint64_t upto, char *key,
		 uint64_t version, bool removed)
{
	struct store_row row = row_of(key, version, 1);
	struct table_delta changes = {
		.after = after,
		.upto = upto,
		.rows = &row,
		.count = 1,
	};

	row.removed = removed;
	table_watch_apply_delta(f->table_watch, &changes);
	g_string_free(row.value, TRUE);
}

static void what_is_passed_on_needs_no_call(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(f.calls, 1);
	pass(&f, 9, 12, "b", 12, false);
	pass(&f, 9, 12, "b", 12, false);
	pass(&f, 11, 14, "a", 14, true);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +b -a ");
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 14);
	CU_ASSERT_EQUAL(f.calls, 1);
	/* It can pass them on itself, should it lead next. */
	CU_ASSERT_EQUAL(table_watch_recent_delta(f.table_watch).count, 2);
	CU_ASSERT_EQUAL(table_watch_recent_delta(f.table_watch).upto, 14);
	teardown(&f);
}

static void missed_changes_are_asked_for_at_once(void)
{
	struct store_row b = row_of("b", 12, 1);
	struct fixture f;

	setup(&f);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a ");
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_EQUAL(f.after, 10);
	CU_ASSERT_EQUAL(f.wait_s, 0);
	answer(&f, STORE_OK, 13, &b, 1);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +b +c ");
	CU_ASSERT_EQUAL(f.call, 0);
	g_string_free(b.value, TRUE);
	teardown(&f);
}

/* A row that was removed by a change passed on must not come back with the
 * answer of a call made before it. */
static void an_older_answer_brings_nothing_back(void)
{
	struct store_row a = row_of("a", 11, 1);
	struct fixture f;

	setup(&f);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	pass(&f, 9, 16, "a", 16, true);
	answer(&f, STORE_OK, 12, &a, 1);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a -a ");
	/* It is no store that began anew either. */
	CU_ASSERT_EQUAL(f.call, 0);
	g_string_free(a.value, TRUE);
	teardown(&f);
}

static void who_hears_nobody_asks_the_store(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(f.call, 0);
	table_watch_note_peer_version(f.table_watch, 0);
	run(&f, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_TRUE(f.wait_s > 0 && f.wait_s < 2);
	/* Nor is it passive while the store does not answer. */
	table_watch_note_peer_version(f.table_watch, 7);
	answer(&f, STORE_REFUSED, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.lost, 1);
	pass(&f, 9, 12, "b", 12, false);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +b ");
	teardown(&f);
}

static void a_newer_row_elsewhere_is_asked_for(void)
{
	struct fixture f;

	setup(&f);
	table_watch_note_peer_version(f.table_watch, 20);
	CU_ASSERT_EQUAL(f.call, 0);
	run(&f, 0.25);
	table_watch_note_peer_version(f.table_watch, 20);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_EQUAL(f.wait_s, 0);
	teardown(&f);
}

/* A large row takes longer on a slow link than others need to tell of it. */
static void an_answer_that_arrives_is_not_broken_off(void)
{
	struct fixture f;

	setup(&f);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	f.receiving = true;
	table_watch_note_peer_version(f.table_watch, 20);
	run(&f, 0.25);
	table_watch_note_peer_version(f.table_watch, 20);
	CU_ASSERT_EQUAL(f.calls, 2);
	f.receiving = false;
	run(&f, 0.25);
	table_watch_note_peer_version(f.table_watch, 20);
	CU_ASSERT_EQUAL(f.calls, 3);
	teardown(&f);
}

static void a_table_of_few_rows_is_read_to_catch_up(void)
{
	struct store_row b = row_of("b", 12, 1);
	struct fixture f;

	setup_with(&f, &few_rows_ops);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	manual_clock_advance(&f.clock, 0.4);
	answer(&f, STORE_OK, 15, &b, 1);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +b -a ");
	/* As long as the answer took, the link is left to callers. */
	pass(&f, 16, 17, "c", 17, false);
	CU_ASSERT_EQUAL(f.call, 0);
	run(&f, 0.45);
	pass(&f, 16, 17, "c", 17, false);
	CU_ASSERT_EQUAL(f.call, 'r');
	g_string_free(b.value, TRUE);
	teardown(&f);
}

/* A reading may hang for long; the change may come by the next beat. */
static void what_is_passed_on_ends_catching_up(void)
{
	struct fixture f;

	setup_with(&f, &few_rows_ops);
	pass(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	pass(&f, 9, 15, "c", 15, false);
	CU_ASSERT_EQUAL(f.call, 0);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +c ");
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 15);
	pass(&f, 14, 16, "d", 16, false);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +c +d ");
	CU_ASSERT_EQUAL(f.calls, 2);
	teardown(&f);
}

static void only_the_last_change_of_a_row_is_taken(void)
{
	struct store_row rows[] = { row_of("b", 11, 1), row_of("c", 12, 1),
				    row_of("b", 13, 1) };
	struct fixture f;
	size_t i;

	setup(&f);
	table_watch_note_peer_version(f.table_watch, 0);
	run(&f, 0);
	answer(&f, STORE_OK, 13, rows, 3);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a +c +b ");
	for (i = 0; i < 3; i++)
		g_string_free(rows[i].value, TRUE);
	teardown(&f);
}

static void a_history_that_is_gone_is_read_whole(void)
{
	struct fixture f;

	setup(&f);
	pass(&f, 12, 15, "c", 15, false);
	answer(&f, STORE_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	/* What is passed on while it reads could be older than its pages. */
	pass(&f, 9, 15, "c", 15, false);
	answer(&f, STORE_OK, 15, NULL, 0);
	CU_ASSERT_STRING_EQUAL(f.known->str, "+a -a ");
	teardown(&f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "changes are kept for a while",
		  changes_are_kept_for_a_while },
		{ "rows of one transaction are dropped together",
		  rows_of_one_transaction_are_dropped_together },
		{ "what is passed on needs no call",
		  what_is_passed_on_needs_no_call },
		{ "missed changes are asked for at once",
		  missed_changes_are_asked_for_at_once },
		{ "an older answer brings nothing back",
		  an_older_answer_brings_nothing_back },
		{ "who hears nobody asks the store",
		  who_hears_nobody_asks_the_store },
		{ "a newer row elsewhere is asked for",
		  a_newer_row_elsewhere_is_asked_for },
		{ "an answer that arrives is not broken off",
		  an_answer_that_arrives_is_not_broken_off },
		{ "a table of few rows is read to catch up",
		  a_table_of_few_rows_is_read_to_catch_up },
		{ "what is passed on ends catching up",
		  what_is_passed_on_ends_catching_up },
		{ "only the last change of a row is taken",
		  only_the_last_change_of_a_row_is_taken },
		{ "a history that is gone is read whole",
		  a_history_that_is_gone_is_read_whole },
		{ 0 },
	};

	return suite_run("follower", cases);
}
