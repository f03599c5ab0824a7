/* Tests of the table watch, which follows a table of the store: changes arrive
 * through the store's change feed, or other VMs relay them. Also tests the
 * change log, which keeps recent changes for relaying. */
#include <string.h>
#include <unistd.h>

#include "entry/table_watch.h"
#include "manual_clock.h"
#include "store/change_log.h"
#include "store/store_calls.h"
#include "suite.h"

/* --- change log --- */

static struct store_row make_row(char *key, uint64_t version, size_t bytes)
{
	struct store_row row = { .key = key, .version = version };

	row.value = g_string_new(NULL);
	g_string_set_size(row.value, bytes);
	memset(row.value->str, 'x', bytes);
	return row;
}

/* Adds a change of a row with a value of some bytes. */
static void add_change(struct change_log *log, uint64_t version, size_t bytes,
		       double now_s)
{
	struct store_row row = make_row("k", version, bytes);

	change_log_add(log, &row, now_s);
	g_string_free(row.value, TRUE);
}

static void changes_are_retained_for_a_second(void)
{
	struct change_log *log = change_log_create(32 << 10);

	change_log_reset(log, 10);
	add_change(log, 11, 10, 1.0);
	add_change(log, 13, 10, 1.5);
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
	struct change_log *log = change_log_create(32 << 10);
	uint64_t i;

	add_change(log, 5, 12 << 10, 1.0);
	add_change(log, 5, 12 << 10, 1.0);
	add_change(log, 6, 12 << 10, 1.0);
	CU_ASSERT_EQUAL(change_log_after(log), 5);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 1);
	/* A row that is too large for a datagram is not retained. */
	add_change(log, 7, 60 << 10, 1.0);
	CU_ASSERT_EQUAL(change_log_after(log), 7);
	CU_ASSERT_EQUAL(change_log_rows(log)->len, 0);
	for (i = 8; i < 1008; i++)
		add_change(log, i, 100, 1.0);
	CU_ASSERT_TRUE(change_log_rows(log)->len < 400);
	change_log_destroy(log);
}

/* --- table watch on a fake store, whose calls the test answers --- */

/* Wait of a long poll, in seconds, while no other VM polls. */
#define POLL_S 1.0
/* Interval, in seconds, at which the watch learns what other VMs know. */
#define TICK_S 0.05

struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct store store;
	struct table_watch *table_watch;
	/** Function and context that get the result of the pending call. */
	store_done_fn done;
	void *ctx;
	/** Pending call of the watch to the store: 'r' reads a snapshot, 'f'
	 * asks for changes; 0: no call. */
	char call;
	/** Parameters of the last call that asked for changes. */
	uint64_t after;
	double wait_s;
	/** Number of calls to the store so far. */
	int calls;
	/** The store says that an answer is being received. */
	bool receiving;
	/**
	 * What the watch reported: "+key " for a new or changed row, "-key "
	 * for a deleted one.
	 */
	GString *reported;
	/** The watch reported last that the store is unreachable. */
	int unreachable;
	/** The store had failed all VMs when the watch reported that it is
	 * reachable again. */
	bool was_quiet;
	/** Counts the calls by reason. */
	struct metrics *metrics;
};

static void fake_read(void *impl, const char *table, const char *from,
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

static void fake_follow(void *impl, const char *table, uint64_t after,
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

static void fake_cancel(void *impl, void *ctx)
{
	(void)ctx;
	((struct fixture *)impl)->call = 0;
}

static bool fake_receiving(void *impl, void *ctx)
{
	(void)ctx;
	return ((struct fixture *)impl)->receiving;
}

static const struct store_ops store_ops = {
	.receiving = fake_receiving,
	.read = fake_read,
	.follow = fake_follow,
	.cancel = fake_cancel,
};

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
	struct fixture *f = ctx;

	CU_ASSERT_STRING_EQUAL(table, "t");
	CU_ASSERT_TRUE(call_s >= 0);
	f->unreachable = unreachable;
	f->was_quiet = !unreachable && table_watch_was_quiet(f->table_watch);
}

static const struct table_watch_ops snapshot_ops = {
	.catch_up_by_snapshot = true,
	.row = on_row,
	.removed = on_removed,
	.changed = on_nothing,
	.loaded = on_nothing,
	.reachability_changed = on_reachability_changed,
};

static const struct table_watch_ops table_watch_ops = {
	.row = on_row,
	.removed = on_removed,
	.changed = on_nothing,
	.loaded = on_nothing,
	.reachability_changed = on_reachability_changed,
};

/* Advances the clock and runs the timers that are due at once. */
static void advance(struct fixture *f, double span_s)
{
	manual_clock_advance(&f->clock, span_s);
	/* libev measures timers by its own clock, so those with a delay don't
	 * run here. */
	ev_run(f->loop.ev, EVRUN_NOWAIT);
}

/* Answers the pending call of the watch. */
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

/* Answers the pending read with one row; more rows follow it. */
static void answer_page(struct fixture *f, uint64_t version,
			const struct store_row *row)
{
	struct store_result result = {
		.status = STORE_OK,
		.version = version,
		.rows = row,
		.row_count = 1,
		.more = true,
	};

	f->call = 0;
	f->done(f->ctx, &result);
}

/* Creates and starts a watch. */
static void start_watch(struct fixture *f, const struct table_watch_ops *ops,
			double copy_wait_s)
{
	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	f->loop.clock = &f->clock.clock;
	f->loop.ev = ev_loop_new(EVFLAG_AUTO);
	f->store.ops = &store_ops;
	f->store.impl = f;
	f->metrics = metrics_create();
	f->store.calls = store_calls_create(f->metrics);
	f->reported = g_string_new(NULL);
	f->table_watch =
		table_watch_create(&f->loop, &f->store, "t", POLL_S, ops, f);
	table_watch_start(f->table_watch, copy_wait_s);
	advance(f, 0);
}

/* Creates a watch in passive mode that has read row "a" of version 7 while the
 * store is at version 10. */
static void setup_with(struct fixture *f, const struct table_watch_ops *ops)
{
	struct store_row a = make_row("a", 7, 1);

	start_watch(f, ops, 0);
	CU_ASSERT_EQUAL_FATAL(f->call, 'r');
	table_watch_set_peers(f->table_watch, TABLE_WATCH_PEERS_RELAY, 7);
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
	g_string_free(f->reported, TRUE);
	store_calls_destroy(f->store.calls);
	metrics_destroy(f->metrics);
}

/* Applies a delta that another VM relays, with one changed row. */
static void relay(struct fixture *f, uint64_t after, uint64_t upto, char *key,
		  uint64_t version, bool removed)
{
	struct store_row row = make_row(key, version, 1);
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

static void relayed_changes_need_no_store_call(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(f.calls, 1);
	relay(&f, 9, 12, "b", 12, false);
	relay(&f, 9, 12, "b", 12, false);
	relay(&f, 11, 14, "a", 14, true);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b -a ");
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 14);
	CU_ASSERT_EQUAL(f.calls, 1);
	/* The watch can relay these changes if this VM leads next. */
	CU_ASSERT_EQUAL(table_watch_recent_delta(f.table_watch).count, 2);
	CU_ASSERT_EQUAL(table_watch_recent_delta(f.table_watch).upto, 14);
	teardown(&f);
}

static void missed_changes_are_requested_at_once(void)
{
	struct store_row b = make_row("b", 12, 1);
	struct fixture f;

	setup(&f);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a ");
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_EQUAL(f.after, 10);
	CU_ASSERT_EQUAL(f.wait_s, 0);
	answer(&f, STORE_OK, 13, &b, 1);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b +c ");
	CU_ASSERT_EQUAL(f.call, 0);
	g_string_free(b.value, TRUE);
	teardown(&f);
}

/* A relayed change deletes a row while a call is pending. The answer to that
 * call is older and must not bring the row back. */
static void an_older_answer_does_not_restore_a_deleted_row(void)
{
	struct store_row a = make_row("a", 11, 1);
	struct fixture f;

	setup(&f);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	relay(&f, 9, 16, "a", 16, true);
	answer(&f, STORE_OK, 12, &a, 1);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a -a ");
	/* The lower version must not be taken for a store that was reset. */
	CU_ASSERT_EQUAL(f.call, 0);
	g_string_free(a.value, TRUE);
	teardown(&f);
}

/* Returns the number of calls of a reason that were counted. */
static uint64_t counted(const struct fixture *f, const char *reason)
{
	char *labels = g_strdup_printf("table=\"t\",reason=\"%s\"", reason);
	uint64_t count = counter_value(metrics_counter(
		f->metrics, "auburn_store_calls_total", labels, ""));

	g_free(labels);
	return count;
}

static void calls_are_counted_by_reason(void)
{
	struct fixture f;

	setup(&f);
	relay(&f, 12, 15, "c", 15, false);
	answer(&f, STORE_HISTORY_GONE, 0, NULL, 0);
	answer(&f, STORE_OK, 15, NULL, 0);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_NO_PEERS, 0);
	advance(&f, 0);
	CU_ASSERT_EQUAL(counted(&f, "snapshot"), 2);
	CU_ASSERT_EQUAL(counted(&f, "catch_up"), 1);
	CU_ASSERT_EQUAL(counted(&f, "poll"), 1);
	CU_ASSERT_EQUAL(f.calls, 4);
	teardown(&f);
}

static void without_peers_the_store_is_polled(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(f.call, 0);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_NO_PEERS, 0);
	advance(&f, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_TRUE(f.wait_s > 0 && f.wait_s < 2);
	/* The watch does not become passive while the store does not answer,
	 * even if peers report their versions. */
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	answer(&f, STORE_REFUSED, 0, NULL, 0);
	CU_ASSERT_EQUAL(f.unreachable, 1);
	relay(&f, 9, 12, "b", 12, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b ");
	teardown(&f);
}

/* Backups of the leader watch the store; as long as it doesn't answer them, the
 * other VMs don't call it either. */
static void peers_that_wait_for_the_store_keep_a_watch_quiet(void)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 100; i++) {
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_WAIT, 7);
		advance(&f, 0.05);
	}
	CU_ASSERT_EQUAL(f.calls, 1);
	CU_ASSERT_EQUAL(f.unreachable, 1);
	/* The store is back: changes come through the peers. */
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	CU_ASSERT_EQUAL(f.unreachable, 0);
	relay(&f, 9, 12, "b", 12, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b ");
	CU_ASSERT_EQUAL(f.calls, 1);
	/* Without the peers the watch calls the store itself. */
	table_watch_set_peers(f.table_watch, TABLE_WATCH_NO_PEERS, 0);
	advance(&f, 0);
	CU_ASSERT_EQUAL(f.call, 'f');
	teardown(&f);
}

/* Plays a time in which the VMs that this one relies on lack contact to the
 * store, while other VMs see newer rows or don't. Returns the newest version.
 */
static uint64_t play_lost_contact(struct fixture *f, unsigned int ticks,
				  bool rows_change, uint64_t version)
{
	unsigned int i;

	for (i = 0; i < ticks; i++) {
		table_watch_set_peers(f->table_watch, TABLE_WATCH_PEERS_WAIT,
				      version);
		version += rows_change;
		advance(f, 0.05);
		if (f->call)
			answer(f, STORE_UNKNOWN, 0, NULL, 0);
	}
	return version;
}

/* Guards against upstreams that keep getting requests after they left, each
 * time that a VM regains contact to a store that served the others. */
static void only_a_quiet_store_was_away_for_all(void)
{
	static const struct {
		unsigned int quiet_ticks;
		/** Ticks of 50 ms from the first newer row on another VM until
		 * this one regains contact. */
		unsigned int late_ticks;
		bool quiet;
	} rows[] = {
		{ 0, 10, false }, { 0, 80, false },  { 60, 0, true },
		{ 60, 10, true }, { 60, 80, false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture f;
		uint64_t version = 11;

		setup(&f);
		version = play_lost_contact(&f, rows[i].quiet_ticks, false,
					    version);
		version = play_lost_contact(&f, rows[i].late_ticks, true,
					    version);
		CU_ASSERT_EQUAL_FATAL(f.unreachable, 1);
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      version);
		CU_ASSERT_EQUAL(f.unreachable, 0);
		CU_ASSERT_EQUAL(f.was_quiet, rows[i].quiet);
		teardown(&f);
	}
}

/* Guards against changes that become known only at the end of a wait of ten
 * seconds, because the connections of all VMs that poll went silent. */
static void a_watch_that_others_rely_on_polls_for_a_short_time(void)
{
	static const struct {
		enum table_watch_mode mode;
		enum table_watch_peers peers;
		bool is_short;
	} rows[] = {
		{ TABLE_WATCH_LEADER, TABLE_WATCH_PEERS_RELAY, true },
		{ TABLE_WATCH_LEADER, TABLE_WATCH_NO_PEERS, true },
		{ TABLE_WATCH_RELAY, TABLE_WATCH_PEERS_RELAY, true },
		{ TABLE_WATCH_BACKUP, TABLE_WATCH_PEERS_RELAY, false },
		{ TABLE_WATCH_BACKUP, TABLE_WATCH_PEERS_WAIT, true },
		{ TABLE_WATCH_BACKUP, TABLE_WATCH_NO_PEERS, true },
		{ TABLE_WATCH_PASSIVE, TABLE_WATCH_NO_PEERS, true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture f;

		setup(&f);
		table_watch_set_mode(f.table_watch, rows[i].mode);
		table_watch_set_peers(f.table_watch, rows[i].peers, 7);
		advance(&f, 0);
		CU_ASSERT_EQUAL_FATAL(f.call, 'f');
		CU_ASSERT_TRUE(f.wait_s > 0);
		CU_ASSERT_EQUAL(f.wait_s <= POLL_S, rows[i].is_short);
		teardown(&f);
	}
}

/* Guards against the same when the leader is lost as well: a backup relays
 * changes in its place, on a long poll that it began before. */
static void a_backup_that_relays_ends_its_long_poll(void)
{
	struct fixture f;
	int i;

	setup(&f);
	table_watch_set_mode(f.table_watch, TABLE_WATCH_BACKUP);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	advance(&f, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_TRUE(f.wait_s > POLL_S);
	for (i = 0; i < 100; i++) {
		advance(&f, 0.05);
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      7);
	}
	CU_ASSERT_EQUAL(f.calls, 2);
	table_watch_set_mode(f.table_watch, TABLE_WATCH_RELAY);
	/* The answer is arriving. */
	f.receiving = true;
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	CU_ASSERT_EQUAL(f.calls, 2);
	f.receiving = false;
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	advance(&f, 0);
	CU_ASSERT_EQUAL(f.calls, 3);
	CU_ASSERT_EQUAL(f.call, 'f');
	CU_ASSERT_TRUE(f.wait_s <= POLL_S);
	teardown(&f);
}

static void a_newer_row_on_a_peer_is_requested(void)
{
	struct fixture f;

	setup(&f);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL(f.call, 0);
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_EQUAL(f.wait_s, 0);
	teardown(&f);
}

/* Guards against VMs that read the store again and again for a row that doesn't
 * exist: a VM named a version that the store has not reached. */
static void a_version_that_the_store_refutes_is_forgotten(void)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 40; i++) {
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      1000);
		advance(&f, 0.05);
		if (f.call)
			answer(&f, STORE_OK, 12, NULL, 0);
	}
	CU_ASSERT_EQUAL(f.calls, 2);
	/* Real versions count, and so does an answer that may be older than
	 * the version that it doesn't reach. */
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 14);
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 14);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 16);
	answer(&f, STORE_OK, 14, NULL, 0);
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 16);
	CU_ASSERT_EQUAL(f.calls, 4);
	teardown(&f);
}

/* Guards against a row that stands for ever, and changes that are ignored for
 * ever, after a VM relayed versions that the store has not reached. */
static void relayed_changes_that_the_store_refutes_are_replaced(void)
{
	struct store_row rows[] = { make_row("a", 11, 1),
				    make_row("b", 12, 1) };
	struct fixture f;
	int i;

	setup(&f);
	relay(&f, 9, 1000, "a", 1000, false);
	for (i = 0; i < 100 && !f.call; i++) {
		relay(&f, 9, 12, "b", 12, false);
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      12);
		advance(&f, 0.05);
	}
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	answer(&f, STORE_OK, 12, NULL, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	answer(&f, STORE_OK, 12, rows, 2);
	relay(&f, 11, 14, "c", 14, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +a +a +b +c ");
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 14);
	CU_ASSERT_EQUAL(f.calls, 3);
	for (i = 0; i < 2; i++)
		g_string_free(rows[i].value, TRUE);
	teardown(&f);
}

/* Returns how often a text is in what was written to a pipe. */
static unsigned int count_lines(int fd, const char *text)
{
	char buf[16384] = "";
	const char *at = buf;
	unsigned int count = 0;

	CU_ASSERT_TRUE(read(fd, buf, sizeof(buf) - 1) > 0);
	for (; (at = strstr(at, text)); at++)
		count++;
	return count;
}

/* Guards against a watch that falls behind without a line, or logs one for each
 * time that it asks. */
static void a_watch_logs_once_that_it_is_behind(void)
{
	static const struct {
		/* Ticks of 0.05 s in which other VMs know row 12. */
		unsigned int ticks;
		const char *text;
		unsigned int lines;
	} rows[] = {
		{ 2, "event=behind", 0 },
		{ 2, "event=caught_up", 0 },
		{ 60, "event=behind table=t row=7 newest=12", 1 },
		{ 60, "event=catch_up", 1 },
		{ 60, "event=caught_up table=t row=12 behind_ms=3000", 1 },
		{ 60, "event=call_given_up table=t reason=others_know", 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct event_log_options options = { .lines_per_s = 1000 };
		struct event_log *log;
		struct fixture f;
		unsigned int tick;
		int ends[2];

		CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
		options.fd = ends[1];
		log = event_log_create(&options);
		setup(&f);
		table_watch_set_log(f.table_watch, log);
		for (tick = 0; tick <= rows[i].ticks; tick++) {
			table_watch_set_peers(f.table_watch,
					      TABLE_WATCH_PEERS_RELAY, 12);
			if (tick < rows[i].ticks)
				advance(&f, 0.05);
		}
		relay(&f, 9, 12, "b", 12, false);
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      12);
		event_log_write(log, "info", "test", "event=end");
		event_log_destroy(log);
		CU_ASSERT_EQUAL(count_lines(ends[0], rows[i].text),
				rows[i].lines);
		teardown(&f);
		close(ends[0]);
		close(ends[1]);
	}
}

/* Guards against VMs that all read a large row from the store while its parts
 * are on their way from the leader, and against one that waits for ever. */
static void a_watch_waits_for_changes_in_parts(void)
{
	struct fixture f;

	setup(&f);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	table_watch_expect_changes(f.table_watch, 0.5);
	advance(&f, 0.45);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL(f.call, 0);
	advance(&f, 0.1);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	teardown(&f);
}

/* Guards against a VM that misses the parts of several large changes in quick
 * succession, and never reads the store because each is announced anew. */
static void a_watch_does_not_wait_for_parts_again_and_again(void)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 10 && !f.call; i++) {
		table_watch_expect_changes(f.table_watch, 0.5);
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      20 + (uint64_t)i);
		advance(&f, 0.1);
	}
	CU_ASSERT_EQUAL(f.call, 'f');
	teardown(&f);
}

/* On a slow link a large row takes longer to arrive than other VMs need to
 * report it; cancelling the call would start it over each time. */
static void a_call_is_not_cancelled_while_its_answer_arrives(void)
{
	struct fixture f;

	setup(&f);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	f.receiving = true;
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL(f.calls, 2);
	f.receiving = false;
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 20);
	CU_ASSERT_EQUAL(f.calls, 3);
	teardown(&f);
}

/* Returns the number of calls to the store until the watch has a row that other
 * VMs know, when each answer comes latency_s after its call; 0: it is still
 * missing after ten seconds. */
static int calls_to_catch_up(struct fixture *f, double latency_s)
{
	struct store_row b = make_row("b", 20, 1);
	int calls = f->calls;
	int answered = calls;
	int ticks, called = 0;

	for (ticks = 0; ticks < 10 / TICK_S; ticks++) {
		advance(f, TICK_S);
		table_watch_set_peers(f->table_watch, TABLE_WATCH_PEERS_RELAY,
				      20);
		if (f->calls != answered) {
			answered = f->calls;
			called = ticks;
		}
		if (f->call && (ticks - called) * TICK_S >= latency_s)
			answer(f, STORE_OK, 20, &b, 1);
		if (table_watch_row_version(f->table_watch) == 20)
			break;
	}
	g_string_free(b.value, TRUE);
	return ticks < 10 / TICK_S ? f->calls - calls : 0;
}

static void a_store_that_answers_late_is_heard(void)
{
	static const struct {
		enum table_watch_mode mode;
		const struct table_watch_ops *ops;
		double latency_s;
	} rows[] = {
		{ TABLE_WATCH_PASSIVE, &table_watch_ops, 0.15 },
		{ TABLE_WATCH_PASSIVE, &table_watch_ops, 0.35 },
		{ TABLE_WATCH_PASSIVE, &table_watch_ops, 0.7 },
		{ TABLE_WATCH_PASSIVE, &table_watch_ops, 1.4 },
		{ TABLE_WATCH_PASSIVE, &table_watch_ops, 1.9 },
		{ TABLE_WATCH_PASSIVE, &snapshot_ops, 0.35 },
		{ TABLE_WATCH_PASSIVE, &snapshot_ops, 1.4 },
		{ TABLE_WATCH_BACKUP, &table_watch_ops, 0.7 },
		{ TABLE_WATCH_LEADER, &table_watch_ops, 0.35 },
		{ TABLE_WATCH_LEADER, &table_watch_ops, 1.4 },
		{ TABLE_WATCH_LEADER, &table_watch_ops, 1.9 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture f;
		int calls;

		setup_with(&f, rows[i].ops);
		table_watch_set_mode(f.table_watch, rows[i].mode);
		calls = calls_to_catch_up(&f, rows[i].latency_s);
		CU_ASSERT_TRUE(calls > 0 && calls <= 5);
		teardown(&f);
	}
}

/* Guards against a VM that takes a version for refuted after the store has
 * reached it, and misses the change. */
static void a_refuted_version_counts_once_the_store_reached_it(void)
{
	struct store_row b = make_row("b", 1000, 1);
	struct fixture f;
	int i, calls;

	setup(&f);
	for (i = 0; i < 40; i++) {
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      1000);
		advance(&f, 0.05);
		if (f.call)
			answer(&f, STORE_OK, 12, NULL, 0);
	}
	/* The store goes on to 999, which others relay. */
	relay(&f, 12, 999, "a", 999, false);
	calls = f.calls;
	/* Other VMs see row "b" of version 1000; its relay was lost here. */
	for (i = 0; i < 200 && table_watch_row_version(f.table_watch) < 1000;
	     i++) {
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      1000);
		advance(&f, 0.05);
		if (f.call)
			answer(&f, STORE_OK, 1000, &b, 1);
	}
	CU_ASSERT_TRUE(f.calls > calls);
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 1000);
	g_string_free(b.value, TRUE);
	teardown(&f);
}

static void a_table_of_few_rows_catches_up_by_snapshot(void)
{
	struct store_row b = make_row("b", 12, 1);
	struct fixture f;

	setup_with(&f, &snapshot_ops);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	manual_clock_advance(&f.clock, 0.4);
	answer(&f, STORE_OK, 15, &b, 1);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b -a ");
	/* The next snapshot waits as long as the last answer took, to leave the
	 * link to callers' requests. */
	relay(&f, 16, 17, "c", 17, false);
	CU_ASSERT_EQUAL(f.call, 0);
	advance(&f, 0.45);
	relay(&f, 16, 17, "c", 17, false);
	CU_ASSERT_EQUAL(f.call, 'r');
	g_string_free(b.value, TRUE);
	teardown(&f);
}

/* A snapshot may take long, while the missed change may come with the leader's
 * next heartbeat. */
static void a_relayed_delta_cancels_the_catch_up_snapshot(void)
{
	struct fixture f;

	setup_with(&f, &snapshot_ops);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	relay(&f, 9, 15, "c", 15, false);
	CU_ASSERT_EQUAL(f.call, 0);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +c ");
	CU_ASSERT_EQUAL(table_watch_row_version(f.table_watch), 15);
	relay(&f, 14, 16, "d", 16, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +c +d ");
	CU_ASSERT_EQUAL(f.calls, 2);
	teardown(&f);
}

/* Guards against a VM that counts as up to date after the newest row of a
 * snapshot that it didn't read to the end. */
static void rows_of_a_cancelled_snapshot_do_not_stand_for_all(void)
{
	struct store_row a = make_row("a", 15, 1);
	struct fixture f;

	setup_with(&f, &snapshot_ops);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	answer_page(&f, 15, &a);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	relay(&f, 9, 12, "b", 12, false);
	CU_ASSERT_EQUAL(f.call, 0);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 15);
	advance(&f, 0.25);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 15);
	CU_ASSERT_EQUAL(f.call, 'r');
	g_string_free(a.value, TRUE);
	teardown(&f);
}

/* Guards against VMs that read the store all the time, because other VMs saw a
 * row's deletion, which no snapshot shows. */
static void a_snapshot_stands_for_earlier_deletions(void)
{
	struct fixture f;
	int i;

	setup_with(&f, &snapshot_ops);
	for (i = 0; i < 20; i++) {
		table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY,
				      9);
		advance(&f, 0.05);
	}
	CU_ASSERT_EQUAL(f.calls, 1);
	teardown(&f);
}

static void only_the_last_change_of_a_row_is_applied(void)
{
	struct store_row rows[] = { make_row("b", 11, 1), make_row("c", 12, 1),
				    make_row("b", 13, 1) };
	struct fixture f;
	size_t i;

	setup(&f);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_NO_PEERS, 0);
	advance(&f, 0);
	answer(&f, STORE_OK, 13, rows, 3);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +c +b ");
	for (i = 0; i < 3; i++)
		g_string_free(rows[i].value, TRUE);
	teardown(&f);
}

static void a_lost_history_is_replaced_by_a_snapshot(void)
{
	struct fixture f;

	setup(&f);
	relay(&f, 12, 15, "c", 15, false);
	answer(&f, STORE_HISTORY_GONE, 0, NULL, 0);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	/* A delta relayed during the snapshot could be older than its pages. */
	relay(&f, 9, 15, "c", 15, false);
	answer(&f, STORE_OK, 15, NULL, 0);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a -a ");
	teardown(&f);
}

/* --- copies of the table from another VM --- */

/* Creates a watch that waits for a copy for a time. */
static void setup_waiting(struct fixture *f, double copy_wait_s)
{
	start_watch(f, &table_watch_ops, copy_wait_s);
}

static void apply_copy(struct fixture *f, uint64_t upto, char *key,
		       uint64_t version)
{
	struct store_row row = make_row(key, version, 1);
	struct table_delta copy = { .upto = upto, .rows = &row, .count = 1 };

	table_watch_apply_copy(f->table_watch, &copy);
	g_string_free(row.value, TRUE);
}

static void a_copy_replaces_the_first_snapshot(void)
{
	struct table_delta copy;
	struct fixture f;

	setup_waiting(&f, 1);
	CU_ASSERT_EQUAL(f.calls, 0);
	CU_ASSERT_TRUE(table_watch_wants_copy(f.table_watch));
	CU_ASSERT_FALSE(table_watch_copy(f.table_watch, &copy));
	apply_copy(&f, 10, "a", 7);
	CU_ASSERT_TRUE(table_watch_loaded(f.table_watch));
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	/* Relayed changes follow, and the watch can pass the table on. */
	relay(&f, 9, 12, "b", 12, false);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b ");
	CU_ASSERT_TRUE_FATAL(table_watch_copy(f.table_watch, &copy));
	CU_ASSERT_EQUAL(copy.upto, 12);
	CU_ASSERT_EQUAL(copy.count, 2);
	g_free((void *)copy.rows);
	/* A second copy, which may be older, changes nothing. */
	apply_copy(&f, 9, "c", 8);
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+a +b ");
	CU_ASSERT_EQUAL(f.calls, 0);
	teardown(&f);
}

/* The copy is as old as the leader's table; a gap between it and the next
 * relayed change is read from the store. */
static void changes_after_a_copy_are_not_missed(void)
{
	struct fixture f;

	setup_waiting(&f, 1);
	apply_copy(&f, 10, "a", 7);
	table_watch_set_peers(f.table_watch, TABLE_WATCH_PEERS_RELAY, 7);
	relay(&f, 12, 15, "c", 15, false);
	CU_ASSERT_EQUAL_FATAL(f.call, 'f');
	CU_ASSERT_EQUAL(f.after, 10);
	teardown(&f);
}

static void a_leader_does_not_wait_for_a_copy(void)
{
	struct fixture f;

	setup_waiting(&f, 1);
	table_watch_set_mode(f.table_watch, TABLE_WATCH_LEADER);
	advance(&f, 0);
	CU_ASSERT_EQUAL(f.call, 'r');
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	teardown(&f);
}

/* When hundreds of VMs start at once, the store doesn't answer all in time.
 * Guards against a VM that goes on without the leader's copy. */
static void a_copy_replaces_a_read_that_failed(void)
{
	struct store_row a = make_row("a", 7, 1);
	struct table_delta copy = { .upto = 9, .rows = &a, .count = 1 };
	struct fixture f;

	start_watch(&f, &table_watch_ops, 0);
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	answer(&f, STORE_UNKNOWN, 0, NULL, 0);
	CU_ASSERT_TRUE(table_watch_wants_copy(f.table_watch));
	/* The copy arrives while the next read is not answered. */
	g_usleep(400000);
	advance(&f, 0.4);
	CU_ASSERT_EQUAL_FATAL(f.call, 'r');
	table_watch_apply_copy(f.table_watch, &copy);
	CU_ASSERT_EQUAL(f.call, 0);
	CU_ASSERT_TRUE(table_watch_loaded(f.table_watch));
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	g_string_free(a.value, TRUE);
	teardown(&f);
}

/* Guards against an upstream that left, or a zone out of service, that stays
 * for ever: a read that failed midway showed its row, and the copy doesn't. */
static void a_copy_removes_what_a_failed_read_showed(void)
{
	struct store_row old = make_row("old", 5, 1);
	struct store_row newer = make_row("newer", 12, 1);
	struct fixture f;

	start_watch(&f, &table_watch_ops, 0);
	answer_page(&f, 12, &old);
	answer_page(&f, 12, &newer);
	answer(&f, STORE_UNKNOWN, 0, NULL, 0);
	apply_copy(&f, 10, "a", 7);
	/* The copy is too old to show the newer row. */
	CU_ASSERT_STRING_EQUAL(f.reported->str, "+old +newer +a -old ");
	g_string_free(old.value, TRUE);
	g_string_free(newer.value, TRUE);
	teardown(&f);
}

/* A leader has no one to get a copy from, and all others wait for it. */
static void a_new_leader_reads_at_once_what_it_failed_to_read(void)
{
	struct fixture f;

	start_watch(&f, &table_watch_ops, 0);
	answer(&f, STORE_UNKNOWN, 0, NULL, 0);
	table_watch_set_mode(f.table_watch, TABLE_WATCH_LEADER);
	advance(&f, 0);
	CU_ASSERT_EQUAL(f.call, 'r');
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	teardown(&f);
}

static void without_a_copy_the_table_is_read(void)
{
	struct fixture f;

	setup_waiting(&f, 0.02);
	CU_ASSERT_EQUAL(f.calls, 0);
	g_usleep(30000);
	advance(&f, 0.03);
	CU_ASSERT_EQUAL(f.call, 'r');
	CU_ASSERT_FALSE(table_watch_wants_copy(f.table_watch));
	teardown(&f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "changes are retained for a second",
		  changes_are_retained_for_a_second },
		{ "rows of one transaction are dropped together",
		  rows_of_one_transaction_are_dropped_together },
		{ "relayed changes need no store call",
		  relayed_changes_need_no_store_call },
		{ "missed changes are requested at once",
		  missed_changes_are_requested_at_once },
		{ "an older answer does not restore a deleted row",
		  an_older_answer_does_not_restore_a_deleted_row },
		{ "calls are counted by reason", calls_are_counted_by_reason },
		{ "without peers the store is polled",
		  without_peers_the_store_is_polled },
		{ "peers that wait for the store keep a watch quiet",
		  peers_that_wait_for_the_store_keep_a_watch_quiet },
		{ "only a quiet store was away for all",
		  only_a_quiet_store_was_away_for_all },
		{ "a watch that others rely on polls for a short time",
		  a_watch_that_others_rely_on_polls_for_a_short_time },
		{ "a backup that relays ends its long poll",
		  a_backup_that_relays_ends_its_long_poll },
		{ "a newer row on a peer is requested",
		  a_newer_row_on_a_peer_is_requested },
		{ "a version that the store refutes is forgotten",
		  a_version_that_the_store_refutes_is_forgotten },
		{ "relayed changes that the store refutes are replaced",
		  relayed_changes_that_the_store_refutes_are_replaced },
		{ "a watch logs once that it is behind",
		  a_watch_logs_once_that_it_is_behind },
		{ "a watch waits for changes in parts",
		  a_watch_waits_for_changes_in_parts },
		{ "a watch does not wait for parts again and again",
		  a_watch_does_not_wait_for_parts_again_and_again },
		{ "a call is not cancelled while its answer arrives",
		  a_call_is_not_cancelled_while_its_answer_arrives },
		{ "a store that answers late is heard",
		  a_store_that_answers_late_is_heard },
		{ "a refuted version counts once the store reached it",
		  a_refuted_version_counts_once_the_store_reached_it },
		{ "a table of few rows catches up by snapshot",
		  a_table_of_few_rows_catches_up_by_snapshot },
		{ "a relayed delta cancels the catch up snapshot",
		  a_relayed_delta_cancels_the_catch_up_snapshot },
		{ "rows of a cancelled snapshot do not stand for all",
		  rows_of_a_cancelled_snapshot_do_not_stand_for_all },
		{ "a snapshot stands for earlier deletions",
		  a_snapshot_stands_for_earlier_deletions },
		{ "only the last change of a row is applied",
		  only_the_last_change_of_a_row_is_applied },
		{ "a lost history is replaced by a snapshot",
		  a_lost_history_is_replaced_by_a_snapshot },
		{ "a copy replaces the first snapshot",
		  a_copy_replaces_the_first_snapshot },
		{ "changes after a copy are not missed",
		  changes_after_a_copy_are_not_missed },
		{ "a leader does not wait for a copy",
		  a_leader_does_not_wait_for_a_copy },
		{ "a copy replaces a read that failed",
		  a_copy_replaces_a_read_that_failed },
		{ "a copy removes what a failed read showed",
		  a_copy_removes_what_a_failed_read_showed },
		{ "a new leader reads at once what it failed to read",
		  a_new_leader_reads_at_once_what_it_failed_to_read },
		{ "without a copy the table is read",
		  without_a_copy_the_table_is_read },
		{ 0 },
	};

	return suite_run("follower", cases);
}
