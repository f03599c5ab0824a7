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

struct follower {
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

struct follower *table_watch_create(struct loop *loop,
				    const struct store *store,
				    const char *table,
				    const struct table_watch_ops *ops,
				    void *ctx)
{
	struct follower *follower = g_new0(struct follower, 1);

	follower->loop = loop;
	follower->store = *store;
	follower->table = g_strdup(table);
	follower->ops = ops;
	follower->ctx = ctx;
	follower->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	follower->changes = change_log_create();
	follower->read_whole = true;
	follower->retry_s = RETRY_S;
	ev_timer_init(&follower->timer, on_timer, 0, 0);
	follower->timer.data = follower;
	return follower;
}

void table_watch_destroy(struct follower *follower)
{
	if (!follower)
		return;
	ev_timer_stop(follower->loop->ev, &follower->timer);
	change_log_destroy(follower->changes);
	g_hash_table_destroy(follower->known);
	if (follower->met)
		g_hash_table_destroy(follower->met);
	g_free(follower->table);
	g_free(follower);
}

bool table_watch_loaded(const struct follower *follower)
{
	return follower->loaded;
}

static void set_contact(struct follower *follower, bool lost)
{
	if (!lost)
		follower->retry_s = RETRY_S;
	if (follower->lost == lost)
		return;
	follower->lost = lost;
	follower->ops->contact(follower->ctx, lost);
}

static void later(struct follower *follower, double after_s)
{
	ev_timer_stop(follower->loop->ev, &follower->timer);
	ev_timer_set(&follower->timer, after_s, 0);
	ev_timer_start(follower->loop->ev, &follower->timer);
}

static void take_row(struct follower *follower, const struct store_row *row)
{
	uint64_t *known = g_hash_table_lookup(follower->known, row->key);

	if (row->version > follower->row_version)
		follower->row_version = row->version;

	if (known && *known >= row->version)
		return;
	if (row->removed) {
		if (g_hash_table_remove(follower->known, row->key))
			follower->ops->removed(follower->ctx, row->key);
		return;
	}
	known = g_new(uint64_t, 1);
	*known = row->version;
	g_hash_table_insert(follower->known, g_strdup(row->key), known);
	follower->ops->row(follower->ctx, row);
}

/* Rows that are known and were not met are no more. */
static void drop_unmet(struct follower *follower)
{
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, follower->known);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(follower->met, key))
			g_ptr_array_add(gone, g_strdup(key));
	for (i = 0; i < gone->len; i++) {
		g_hash_table_remove(follower->known, gone->pdata[i]);
		follower->ops->removed(follower->ctx, gone->pdata[i]);
	}
	g_ptr_array_free(gone, TRUE);
}

static void retry_later(struct follower *follower)
{
	later(follower, follower->retry_s);
	follower->retry_s = MIN(follower->retry_s * RETRY_FACTOR, RETRY_MAX_S);
}

static void on_page(void *ctx, const struct store_result *result);

static void read_page(struct follower *follower, const char *from)
{
	follower->busy = true;
	follower->store.ops->read(follower->store.impl, follower->table, from,
				  on_page, follower);
}

/* How long the last answer took is left between calls: large ones must not
 * fill a slow link. */
static void note_answer(struct follower *follower)
{
	double now = loop_now(follower->loop);
	double took_s = follower->wait_s > 0 ? 0 : now - follower->asked_s;

	follower->catch_up_s = now + MIN(took_s, CATCH_UP_S);
}

static void end_reading(struct follower *follower)
{
	note_answer(follower);
	drop_unmet(follower);
	g_clear_pointer(&follower->met, g_hash_table_destroy);
	follower->version = follower->reading_version;
	change_log_reset(follower->changes, follower->version);
	follower->read_whole = false;
	follower->catching_up = false;
	if (!follower->loaded) {
		follower->loaded = true;
		follower->ops->loaded(follower->ctx);
	}
	later(follower, follower->accompanied ? 0 : SETTLE_S);
}

static void on_page(void *ctx, const struct store_result *result)
{
	struct follower *follower = ctx;
	char *from;
	size_t i;

	follower->busy = false;
	if (result->status != STORE_OK) {
		set_contact(follower, true);
		retry_later(follower);
		return;
	}
	set_contact(follower, false);
	if (!follower->reading_version)
		follower->reading_version = result->version;
	for (i = 0; i < result->row_count; i++) {
		g_hash_table_add(follower->met, g_strdup(result->rows[i].key));
		take_row(follower, &result->rows[i]);
	}
	if (!result->more || !result->row_count) {
		end_reading(follower);
		return;
	}
	/* The next key in byte order. */
	from = g_strconcat(result->rows[result->row_count - 1].key, "\x01",
			   NULL);
	read_page(follower, from);
	g_free(from);
}

/* Changes of one moment come in one answer. An answer without a change that
 * comes early must not lead to a rush of calls. */
static double pause_after(const struct follower *follower,
			  const struct store_result *result)
{
	double waited = loop_now(follower->loop) - follower->asked_s;

	if (result->row_count)
		return follower->duty == TABLE_WATCH_LEADER ||
				       !follower->accompanied
			       ? GATHER_S
			       : GATHER_WATCH_S;
	return waited < follower->wait_s / 2 ? RETRY_S : 0;
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
static void take_changes(struct follower *follower,
			 const struct table_delta *changes)
{
	GHashTable *last = last_changes(changes);
	double now = loop_now(follower->loop);
	size_t i;

	for (i = 0; i < changes->count; i++) {
		const struct store_row *row = &changes->rows[i];

		if (row->version <= follower->version ||
		    g_hash_table_lookup(last, row->key) != row)
			continue;
		take_row(follower, row);
		change_log_add(follower->changes, row, now);
	}
	g_hash_table_destroy(last);
	follower->version = MAX(follower->version, changes->upto);
}

static void on_changes(void *ctx, const struct store_result *result)
{
	struct follower *follower = ctx;
	struct table_delta changes = {
		.upto = result->version,
		.rows = result->rows,
		.count = result->row_count,
	};

	follower->busy = false;
	if (result->status == STORE_HISTORY_GONE ||
	    (result->status == STORE_OK &&
	     result->version < follower->asked_version)) {
		follower->read_whole = true;
		set_contact(follower, false);
		later(follower, 0);
		return;
	}
	if (result->status != STORE_OK) {
		set_contact(follower, true);
		retry_later(follower);
		return;
	}
	set_contact(follower, false);
	note_answer(follower);
	take_changes(follower, &changes);
	later(follower, pause_after(follower, result));
	if (result->row_count)
		follower->ops->changed(follower->ctx);
}

static double wait_of(const struct follower *follower)
{
	/* A store that was away is asked for an answer at once: a call that
	 * hangs is given up soon, and the next one finds the way open. */
	if (follower->lost)
		return 0;
	return follower->accompanied ? WAIT_S : WAIT_ALONE_S;
}

static void start_reading(struct follower *follower)
{
	g_clear_pointer(&follower->met, g_hash_table_destroy);
	follower->met =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	follower->read_whole = true;
	follower->catching_up = false;
	follower->reading_version = 0;
	follower->asked_s = loop_now(follower->loop);
	follower->wait_s = 0;
	read_page(follower, "");
}

/* Whether others pass on what changes. */
static bool is_served(const struct follower *follower)
{
	return follower->duty == TABLE_WATCH_PASSIVE && follower->accompanied &&
	       !follower->lost && !follower->read_whole;
}

static void ask_changes(struct follower *follower, double wait_s)
{
	follower->busy = true;
	follower->asked_s = loop_now(follower->loop);
	follower->asked_version = follower->version;
	follower->wait_s = wait_s;
	follower->store.ops->follow(follower->store.impl, follower->table,
				    follower->version, wait_s, on_changes,
				    follower);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct follower *follower = timer->data;

	(void)loop;
	(void)events;
	if (follower->busy || is_served(follower))
		return;
	if (follower->read_whole)
		start_reading(follower);
	else
		ask_changes(follower, wait_of(follower));
}

/* Asks the store for what others did not pass on. */
static void catch_up(struct follower *follower)
{
	if (loop_now(follower->loop) < follower->catch_up_s)
		return;
	follower->behind_s = 0;
	if (!follower->ops->catch_up_by_snapshot) {
		ask_changes(follower, 0);
		return;
	}
	start_reading(follower);
	follower->catching_up = true;
}

static void follow_again(struct follower *follower)
{
	if (follower->busy) {
		follower->store.ops->cancel(follower->store.impl, follower);
		follower->busy = false;
		follower->behind_s = 0;
		follower->retry_s = RETRY_S;
	}
	if (is_served(follower))
		catch_up(follower);
	else
		later(follower, 0);
}

/* Goes on alone when nobody passes changes on any more. */
static void check_served(struct follower *follower)
{
	if (!follower->busy && !is_served(follower) &&
	    !ev_is_active(&follower->timer))
		later(follower, 0);
}

void table_watch_set_mode(struct follower *follower, enum table_watch_mode duty)
{
	follower->duty = duty;
	check_served(follower);
}

static void check_behind(struct follower *follower, uint64_t version)
{
	double now = loop_now(follower->loop);

	if (version <= follower->row_version) {
		follower->behind_s = 0;
		return;
	}
	if (!follower->behind_s)
		follower->behind_s = now;
	if (now > follower->behind_s + HINT_S &&
	    now > follower->asked_s + HINT_S &&
	    !follower->store.ops->receiving(follower->store.impl, follower))
		follow_again(follower);
}

void table_watch_note_peer_version(struct follower *follower, uint64_t version)
{
	bool waits = follower->busy || is_served(follower);

	follower->accompanied = version > 0;
	if (!follower->loaded || follower->read_whole)
		return;
	if (version && waits)
		check_behind(follower, version);
	else if (follower->busy && follower->wait_s > WAIT_ALONE_S &&
		 loop_now(follower->loop) > follower->asked_s + WAIT_ALONE_S)
		follow_again(follower);
	else
		check_served(follower);
}

/* What is passed on after all makes the reading needless. */
static void stop_catching_up(struct follower *follower)
{
	if (!follower->catching_up)
		return;
	follower->store.ops->cancel(follower->store.impl, follower);
	ev_timer_stop(follower->loop->ev, &follower->timer);
	g_clear_pointer(&follower->met, g_hash_table_destroy);
	follower->busy = false;
	follower->read_whole = false;
	follower->catching_up = false;
	check_served(follower);
}

void table_watch_apply_delta(struct follower *follower,
			     const struct table_delta *changes)
{
	if (!follower->loaded || changes->upto <= follower->version ||
	    (follower->read_whole && !follower->catching_up))
		return;
	if (changes->after <= follower->version) {
		take_changes(follower, changes);
		stop_catching_up(follower);
	} else if (is_served(follower) && !follower->busy)
		catch_up(follower);
}

struct table_delta table_watch_recent_delta(struct follower *follower)
{
	const GArray *rows = change_log_rows(follower->changes);

	change_log_age(follower->changes, loop_now(follower->loop));
	return (struct table_delta){
		.after = change_log_after(follower->changes),
		.upto = follower->version,
		.rows = (const struct store_row *)(const void *)rows->data,
		.count = rows->len,
	};
}

uint64_t table_watch_row_version(const struct follower *follower)
{
	return follower->row_version;
}

void table_watch_start(struct follower *follower)
{
	later(follower, 0);
}
