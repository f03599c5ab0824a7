#include "entry/table_watch.h"

#include <ev.h>
#include <string.h>

#include "store/change_log.h"

/* How long the store is asked to wait for a change. A call that was lost is
 * made again when other VMs tell of a newer row; while none is heard, after the
 * short time, so that changes are known within the two seconds allowed. */
#define WAIT_S 10.0
#define WAIT_ALONE_S 1.8
/* Time that a change needs to arrive by the call that waits for it. */
#define HINT_S 0.2
/* After a change, before the next call: every change costs a call of each VM.
 */
#define GATHER_S 0.12
/* The same for a VM that only watches. */
#define GATHER_WATCH_S 0.5
/* From reading a table to following it: others are heard by then. */
#define SETTLE_S 0.4
/* Longest pause between calls that catch up with others. */
#define CATCH_UP_S 0.6
/* After a failure, and after more of them. */
#define RETRY_S 0.25
#define RETRY_MAX_S 0.4
#define RETRY_FACTOR 1.5

struct table_watch {
	struct loop *loop;
	struct store store;
	char *table;
	const struct table_watch_ops *ops;
	void *ctx;
	ev_timer timer;
	/** Version of each row that is known, by key. */
	GHashTable *known;
	/** Rows that the reading in progress has met. */
	GHashTable *met;
	uint64_t version;
	/** The version when the call in progress was made. */
	uint64_t asked_version;
	struct change_log *changes;
	/** Version at the first page of the reading in progress. */
	uint64_t reading_version;
	bool loaded;
	/** Changes were missed: the table is to be read whole. */
	bool read_whole;
	bool lost;
	bool busy;
	/** Other VMs are heard and would tell of changes. */
	bool accompanied;
	enum table_watch_mode duty;
	double asked_s;
	double wait_s;
	double retry_s;
	/** The table is read only for what others did not pass on. */
	bool catching_up;
	/** Before it, no call catches up with others. */
	double catch_up_s;
	/** Newest version among the rows that were met. */
	uint64_t row_version;
	/** Since when others know of a newer row; 0: they don't. */
	double behind_s;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events);

struct table_watch *table_watch_create(struct loop *loop,
				       const struct store *store,
				       const char *table,
				       const struct table_watch_ops *ops,
				       void *ctx)
{
	struct table_watch *table_watch = g_new0(struct table_watch, 1);

	table_watch->loop = loop;
	table_watch->store = *store;
	table_watch->table = g_strdup(table);
	table_watch->ops = ops;
	table_watch->ctx = ctx;
	table_watch->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	table_watch->changes = change_log_create();
	table_watch->read_whole = true;
	table_watch->retry_s = RETRY_S;
	ev_timer_init(&table_watch->timer, on_timer, 0, 0);
	table_watch->timer.data = table_watch;
	return table_watch;
}

void table_watch_destroy(struct table_watch *table_watch)
{
	if (!table_watch)
		return;
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	change_log_destroy(table_watch->changes);
	g_hash_table_destroy(table_watch->known);
	if (table_watch->met)
		g_hash_table_destroy(table_watch->met);
	g_free(table_watch->table);
	g_free(table_watch);
}

bool table_watch_loaded(const struct table_watch *table_watch)
{
	return table_watch->loaded;
}

static void set_contact(struct table_watch *table_watch, bool lost)
{
	if (!lost)
		table_watch->retry_s = RETRY_S;
	if (table_watch->lost == lost)
		return;
	table_watch->lost = lost;
	table_watch->ops->contact(table_watch->ctx, lost);
}

static void later(struct table_watch *table_watch, double after_s)
{
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	ev_timer_set(&table_watch->timer, after_s, 0);
	ev_timer_start(table_watch->loop->ev, &table_watch->timer);
}

static void take_row(struct table_watch *table_watch,
		     const struct store_row *row)
{
	uint64_t *known = g_hash_table_lookup(table_watch->known, row->key);

	if (row->version > table_watch->row_version)
		table_watch->row_version = row->version;

	if (known && *known >= row->version)
		return;
	if (row->removed) {
		if (g_hash_table_remove(table_watch->known, row->key))
			table_watch->ops->removed(table_watch->ctx, row->key);
		return;
	}
	known = g_new(uint64_t, 1);
	*known = row->version;
	g_hash_table_insert(table_watch->known, g_strdup(row->key), known);
	table_watch->ops->row(table_watch->ctx, row);
}

/* Rows that are known and were not met are no more. */
static void drop_unmet(struct table_watch *table_watch)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, table_watch->known);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(table_watch->met, key))
			g_ptr_array_add(gone, g_strdup(key));
	for (i = 0; i < gone->len; i++) {
		g_hash_table_remove(table_watch->known, gone->pdata[i]);
		table_watch->ops->removed(table_watch->ctx, gone->pdata[i]);
	}
	g_ptr_array_free(gone, TRUE);
}

static void retry_later(struct table_watch *table_watch)
{
	later(table_watch, table_watch->retry_s);
	table_watch->retry_s =
		MIN(table_watch->retry_s * RETRY_FACTOR, RETRY_MAX_S);
}

static void on_page(void *ctx, const struct store_result *result);

static void read_page(struct table_watch *table_watch, const char *from)
{
	table_watch->busy = true;
	table_watch->store.ops->read(table_watch->store.impl,
				     table_watch->table, from, on_page,
				     table_watch);
}

/* How long the last answer took is left between calls: large ones must not
 * fill a slow link. */
static void note_answer(struct table_watch *table_watch)
{
	double now = loop_now(table_watch->loop);
	double took_s =
		table_watch->wait_s > 0 ? 0 : now - table_watch->asked_s;

	table_watch->catch_up_s = now + MIN(took_s, CATCH_UP_S);
}

static void end_reading(struct table_watch *table_watch)
{
	note_answer(table_watch);
	drop_unmet(table_watch);
	g_clear_pointer(&table_watch->met, g_hash_table_destroy);
	table_watch->version = table_watch->reading_version;
	change_log_reset(table_watch->changes, table_watch->version);
	table_watch->read_whole = false;
	table_watch->catching_up = false;
	if (!table_watch->loaded) {
		table_watch->loaded = true;
		table_watch->ops->loaded(table_watch->ctx);
	}
	later(table_watch, table_watch->accompanied ? 0 : SETTLE_S);
}

static void on_page(void *ctx, const struct store_result *result)
{
	struct table_watch *table_watch = ctx;
	char *from;
	size_t i;

	table_watch->busy = false;
	if (result->status != STORE_OK) {
		set_contact(table_watch, true);
		retry_later(table_watch);
		return;
	}
	set_contact(table_watch, false);
	if (!table_watch->reading_version)
		table_watch->reading_version = result->version;
	for (i = 0; i < result->row_count; i++) {
		g_hash_table_add(table_watch->met,
				 g_strdup(result->rows[i].key));
		take_row(table_watch, &result->rows[i]);
	}
	if (!result->more || !result->row_count) {
		end_reading(table_watch);
		return;
	}
	/* The next key in byte order. */
	from = g_strconcat(result->rows[result->row_count - 1].key, "\x01",
			   NULL);
	read_page(table_watch, from);
	g_free(from);
}

/* Changes of one moment come in one answer. An answer without a change that
 * comes early must not lead to a rush of calls. */
static double pause_after(const struct table_watch *table_watch,
			  const struct store_result *result)
{
	double waited = loop_now(table_watch->loop) - table_watch->asked_s;

	if (result->row_count)
		return table_watch->duty == TABLE_WATCH_LEADER ||
				       !table_watch->accompanied
			       ? GATHER_S
			       : GATHER_WATCH_S;
	return waited < table_watch->wait_s / 2 ? RETRY_S : 0;
}

/* The last change of each row. */
static GHashTable *last_changes(const struct table_delta *changes)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < changes->count; i++)
		g_hash_table_insert(last, changes->rows[i].key,
				    (gpointer)&changes->rows[i]);
	return last;
}

/* Rows up to the version reached were passed on by others meanwhile. */
static void take_changes(struct table_watch *table_watch,
			 const struct table_delta *changes)
{
	GHashTable *last = last_changes(changes);
	double now = loop_now(table_watch->loop);
	size_t i;

	for (i = 0; i < changes->count; i++) {
		const struct store_row *row = &changes->rows[i];

		if (row->version <= table_watch->version ||
		    g_hash_table_lookup(last, row->key) != row)
			continue;
		take_row(table_watch, row);
		change_log_add(table_watch->changes, row, now);
	}
	g_hash_table_destroy(last);
	table_watch->version = MAX(table_watch->version, changes->upto);
}

static void on_changes(void *ctx, const struct store_result *result)
{
	struct table_watch *table_watch = ctx;
	struct table_delta changes = {
		.upto = result->version,
		.rows = result->rows,
		.count = result->row_count,
	};

	table_watch->busy = false;
	if (result->status == STORE_HISTORY_GONE ||
	    (result->status == STORE_OK &&
	     result->version < table_watch->asked_version)) {
		table_watch->read_whole = true;
		set_contact(table_watch, false);
		later(table_watch, 0);
		return;
	}
	if (result->status != STORE_OK) {
		set_contact(table_watch, true);
		retry_later(table_watch);
		return;
	}
	set_contact(table_watch, false);
	note_answer(table_watch);
	take_changes(table_watch, &changes);
	later(table_watch, pause_after(table_watch, result));
	if (result->row_count)
		table_watch->ops->changed(table_watch->ctx);
}

static double wait_of(const struct table_watch *table_watch)
{
	/* A store that was away is asked for an answer at once: a call that
	 * hangs is given up soon, and the next one finds the way open. */
	if (table_watch->lost)
		return 0;
	return table_watch->accompanied ? WAIT_S : WAIT_ALONE_S;
}

static void start_reading(struct table_watch *table_watch)
{
	g_clear_pointer(&table_watch->met, g_hash_table_destroy);
	table_watch->met =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table_watch->read_whole = true;
	table_watch->catching_up = false;
	table_watch->reading_version = 0;
	table_watch->asked_s = loop_now(table_watch->loop);
	table_watch->wait_s = 0;
	read_page(table_watch, "");
}

/* Whether others pass on what changes. */
static bool is_served(const struct table_watch *table_watch)
{
	return table_watch->duty == TABLE_WATCH_PASSIVE &&
	       table_watch->accompanied && !table_watch->lost &&
	       !table_watch->read_whole;
}

static void ask_changes(struct table_watch *table_watch, double wait_s)
{
	table_watch->busy = true;
	table_watch->asked_s = loop_now(table_watch->loop);
	table_watch->asked_version = table_watch->version;
	table_watch->wait_s = wait_s;
	table_watch->store.ops->follow(table_watch->store.impl,
				       table_watch->table, table_watch->version,
				       wait_s, on_changes, table_watch);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct table_watch *table_watch = timer->data;

	(void)loop;
	(void)events;
	if (table_watch->busy || is_served(table_watch))
		return;
	if (table_watch->read_whole)
		start_reading(table_watch);
	else
		ask_changes(table_watch, wait_of(table_watch));
}

/* Asks the store for what others did not pass on. */
static void catch_up(struct table_watch *table_watch)
{
	if (loop_now(table_watch->loop) < table_watch->catch_up_s)
		return;
	table_watch->behind_s = 0;
	if (!table_watch->ops->catch_up_by_snapshot) {
		ask_changes(table_watch, 0);
		return;
	}
	start_reading(table_watch);
	table_watch->catching_up = true;
}

static void follow_again(struct table_watch *table_watch)
{
	if (table_watch->busy) {
		table_watch->store.ops->cancel(table_watch->store.impl,
					       table_watch);
		table_watch->busy = false;
		table_watch->behind_s = 0;
		table_watch->retry_s = RETRY_S;
	}
	if (is_served(table_watch))
		catch_up(table_watch);
	else
		later(table_watch, 0);
}

/* Goes on alone when nobody passes changes on any more. */
static void check_served(struct table_watch *table_watch)
{
	if (!table_watch->busy && !is_served(table_watch) &&
	    !ev_is_active(&table_watch->timer))
		later(table_watch, 0);
}

void table_watch_set_mode(struct table_watch *table_watch,
			  enum table_watch_mode duty)
{
	table_watch->duty = duty;
	check_served(table_watch);
}

static void check_behind(struct table_watch *table_watch, uint64_t version)
{
	double now = loop_now(table_watch->loop);

	if (version <= table_watch->row_version) {
		table_watch->behind_s = 0;
		return;
	}
	if (!table_watch->behind_s)
		table_watch->behind_s = now;
	if (now > table_watch->behind_s + HINT_S &&
	    now > table_watch->asked_s + HINT_S &&
	    !table_watch->store.ops->receiving(table_watch->store.impl,
					       table_watch))
		follow_again(table_watch);
}

void table_watch_note_peer_version(struct table_watch *table_watch,
				   uint64_t version)
{
	bool waits = table_watch->busy || is_served(table_watch);

	table_watch->accompanied = version > 0;
	if (!table_watch->loaded || table_watch->read_whole)
		return;
	if (version && waits)
		check_behind(table_watch, version);
	else if (table_watch->busy && table_watch->wait_s > WAIT_ALONE_S &&
		 loop_now(table_watch->loop) >
			 table_watch->asked_s + WAIT_ALONE_S)
		follow_again(table_watch);
	else
		check_served(table_watch);
}

/* What is passed on after all makes the reading needless. */
static void stop_catching_up(struct table_watch *table_watch)
{
	if (!table_watch->catching_up)
		return;
	table_watch->store.ops->cancel(table_watch->store.impl, table_watch);
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	g_clear_pointer(&table_watch->met, g_hash_table_destroy);
	table_watch->busy = false;
	table_watch->read_whole = false;
	table_watch->catching_up = false;
	check_served(table_watch);
}

void table_watch_apply_delta(struct table_watch *table_watch,
			     const struct table_delta *changes)
{
	if (!table_watch->loaded || changes->upto <= table_watch->version ||
	    (table_watch->read_whole && !table_watch->catching_up))
		return;
	if (changes->after <= table_watch->version) {
		take_changes(table_watch, changes);
		stop_catching_up(table_watch);
	} else if (is_served(table_watch) && !table_watch->busy)
		catch_up(table_watch);
}

struct table_delta table_watch_recent_delta(struct table_watch *table_watch)
{
	const GArray *rows = change_log_rows(table_watch->changes);

	change_log_age(table_watch->changes, loop_now(table_watch->loop));
	return (struct table_delta){
		.after = change_log_after(table_watch->changes),
		.upto = table_watch->version,
		.rows = (const struct store_row *)(const void *)rows->data,
		.count = rows->len,
	};
}

uint64_t table_watch_row_version(const struct table_watch *table_watch)
{
	return table_watch->row_version;
}

void table_watch_start(struct table_watch *table_watch)
{
	later(table_watch, 0);
}
