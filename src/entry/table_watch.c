#include "entry/table_watch.h"

#include <ev.h>
#include <string.h>

#include "store/change_log.h"
#include "store/store_calls.h"

/* Wait of a long poll, in seconds, while the leader polls as well. If the call
 * is lost, the leader reports a newer row. */
#define LONG_POLL_S 10.0
/* Time, in seconds, allowed for a change to arrive through the pending long
 * poll. If other VMs have known a newer row for longer, the call is taken for
 * lost. */
#define STALE_AFTER_S 0.2
/* Pause, in seconds, after a change before the next long poll. It batches
 * changes, since every change costs one call of each polling VM. The second
 * value applies to a VM that doesn't lead, while other VMs are live. */
#define BATCH_PAUSE_S 0.12
#define BATCH_PAUSE_BACKUP_S 0.5
/* Delay, in seconds, from a snapshot to the next long poll if no other VM is
 * known to be live. After the first snapshot, other VMs that are live become
 * known in this time. */
#define ALONE_DELAY_S 0.4
/* Longest pause, in seconds, between calls that fetch changes which other VMs
 * have and this one missed. */
#define CATCH_UP_PAUSE_MAX_S 0.6
/* Back-off after a failed call: the first and the longest delay in seconds, and
 * the factor by which the delay grows. The first is also the pause after a long
 * poll that returns early without a change. */
#define RETRY_S 0.25
#define RETRY_MAX_S 0.4
#define RETRY_FACTOR 1.5
/* Shortest interval between the retries of all passive watches of a table
 * together, in seconds, and longest delay of one watch's retry. */
#define RETRY_VM_S 0.012
#define RETRY_PASSIVE_MAX_S 3.0

struct table_watch {
	struct loop *loop;
	struct store store;
	char *table;
	/** Wait of a long poll, in seconds, while no other VM polls for this
	 * one. */
	double poll_s;
	const struct table_watch_ops *ops;
	void *ctx;
	/** Fires when the next call to the store is due. */
	ev_timer timer;
	/** Existing rows (struct store_row) by key. */
	GHashTable *rows;
	/** Set of the keys seen by the snapshot in progress, or NULL. */
	GHashTable *seen_keys;
	/** All changes up to this version were applied. */
	uint64_t version;
	/** Value of version when the pending long poll was sent. */
	uint64_t call_version;
	/** Recent changes, for relaying. */
	struct change_log *changes;
	/** Store version at the first page of the snapshot in progress. */
	uint64_t snapshot_version;
	/** The first snapshot is complete. */
	bool loaded;
	/** Changes were missed, so that a snapshot has to be read. */
	bool needs_snapshot;
	/** The last call failed or was not answered. */
	bool unreachable;
	/** A call to the store is in progress. */
	bool call_pending;
	enum table_watch_peers peers;
	enum table_watch_mode mode;
	/** Number of VMs, each of which has such a watch. */
	unsigned int vms;
	/** Loop time at which the last call to the store, or the snapshot in
	 * progress, was started. */
	double call_started_s;
	/** Timeout of the long poll in progress, in seconds; 0 for other calls.
	 */
	double long_poll_s;
	/** Delay of the retry after the next failed call, in seconds. */
	double retry_delay_s;
	/**
	 * The snapshot in progress only fetches changes that were not relayed;
	 * it is cancelled when they arrive by relay after all.
	 */
	bool catch_up_snapshot;
	/** Earliest loop time of the next call by catch_up(). */
	double catch_up_after_s;
	/** Newest row version seen so far. */
	uint64_t row_version;
	/** Loop time since which other VMs have known a newer row than this VM;
	 * 0: they don't. */
	double behind_since_s;
	/** Loop time until which the watch waits for another VM's copy of the
	 * table before it reads it; 0: it doesn't wait. */
	double copy_until_s;
};

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events);

static void free_row(gpointer data)
{
	struct store_row *row = data;

	g_free(row->key);
	g_string_free(row->value, TRUE);
	g_free(row);
}

static struct store_row *copy_row(const struct store_row *row)
{
	struct store_row *copy = g_new0(struct store_row, 1);

	copy->key = g_strdup(row->key);
	copy->value =
		g_string_new_len(row->value->str, (gssize)row->value->len);
	copy->version = row->version;
	return copy;
}

struct table_watch *table_watch_create(struct loop *loop,
				       const struct store *store,
				       const char *table, double poll_s,
				       const struct table_watch_ops *ops,
				       void *ctx)
{
	struct table_watch *table_watch = g_new0(struct table_watch, 1);

	table_watch->loop = loop;
	table_watch->store = *store;
	table_watch->table = g_strdup(table);
	table_watch->poll_s = poll_s;
	table_watch->ops = ops;
	table_watch->ctx = ctx;
	table_watch->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	table_watch->changes = change_log_create();
	table_watch->needs_snapshot = true;
	table_watch->retry_delay_s = RETRY_S;
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
	g_hash_table_destroy(table_watch->rows);
	if (table_watch->seen_keys)
		g_hash_table_destroy(table_watch->seen_keys);
	g_free(table_watch->table);
	g_free(table_watch);
}

bool table_watch_loaded(const struct table_watch *table_watch)
{
	return table_watch->loaded;
}

/* Whether this watch need not poll because other VMs relay changes. */
static bool relies_on_peers(const struct table_watch *table_watch)
{
	return table_watch->mode == TABLE_WATCH_PASSIVE &&
	       table_watch->peers != TABLE_WATCH_NO_PEERS &&
	       !table_watch->needs_snapshot;
}

/* Records whether the store answered the last call. */
static void set_unreachable(struct table_watch *table_watch, bool unreachable)
{
	double call_s = relies_on_peers(table_watch)
				? 0
				: loop_now(table_watch->loop) -
					  table_watch->call_started_s;

	if (!unreachable)
		table_watch->retry_delay_s = RETRY_S;
	if (table_watch->unreachable == unreachable)
		return;
	table_watch->unreachable = unreachable;
	table_watch->ops->reachability_changed(
		table_watch->ctx, table_watch->table, unreachable, call_s);
}

/* Sets the time of the next call to the store. */
static void schedule(struct table_watch *table_watch, double after_s)
{
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	ev_timer_set(&table_watch->timer, after_s, 0);
	ev_timer_start(table_watch->loop->ev, &table_watch->timer);
}

/* Records a row's version and reports the change, unless this version or a
 * newer one is known already. */
static void apply_row(struct table_watch *table_watch,
		      const struct store_row *row)
{
	const struct store_row *known =
		g_hash_table_lookup(table_watch->rows, row->key);
	struct store_row *copy;

	if (row->version > table_watch->row_version)
		table_watch->row_version = row->version;

	if (known && known->version >= row->version)
		return;
	if (row->removed) {
		if (g_hash_table_remove(table_watch->rows, row->key))
			table_watch->ops->removed(table_watch->ctx, row->key);
		return;
	}
	copy = copy_row(row);
	g_hash_table_replace(table_watch->rows, copy->key, copy);
	table_watch->ops->row(table_watch->ctx, row);
}

/* Removes the rows that the finished snapshot did not contain. */
static void remove_unseen_rows(struct table_watch *table_watch)
{
	GPtrArray *unseen = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key;
	guint i;

	g_hash_table_iter_init(&iter, table_watch->rows);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(table_watch->seen_keys, key))
			g_ptr_array_add(unseen, g_strdup(key));
	for (i = 0; i < unseen->len; i++) {
		g_hash_table_remove(table_watch->rows, unseen->pdata[i]);
		table_watch->ops->removed(table_watch->ctx, unseen->pdata[i]);
	}
	g_ptr_array_free(unseen, TRUE);
}

/* Returns the shortest delay of a retry, in seconds. The watches that the store
 * fails call it together about as often as a few would. */
static double least_retry_delay_s(const struct table_watch *table_watch)
{
	double delay_s =
		table_watch->vms * RETRY_VM_S * (0.5 + g_random_double());

	return table_watch->mode == TABLE_WATCH_PASSIVE
		       ? MIN(delay_s, RETRY_PASSIVE_MAX_S)
		       : 0;
}

static void retry_later(struct table_watch *table_watch)
{
	schedule(table_watch, MAX(table_watch->retry_delay_s,
				  least_retry_delay_s(table_watch)));
	table_watch->retry_delay_s =
		MIN(table_watch->retry_delay_s * RETRY_FACTOR, RETRY_MAX_S);
}

/* Reports that the store's answer was applied. */
static void report_answered(const struct table_watch *table_watch)
{
	if (table_watch->ops->answered)
		table_watch->ops->answered(table_watch->ctx,
					   table_watch->call_started_s);
}

static void on_snapshot_page(void *ctx, const struct store_result *result);

static void read_page(struct table_watch *table_watch, const char *from)
{
	store_calls_count(table_watch->store.calls, table_watch->table,
			  table_watch->catch_up_snapshot ? "catch_up"
							 : "snapshot");
	table_watch->call_pending = true;
	table_watch->store.ops->read(table_watch->store.impl,
				     table_watch->table, from, on_snapshot_page,
				     table_watch);
}

/* Pauses catching up for as long as the last answer took, so that large answers
 * do not fill a slow link. */
static void set_catch_up_pause(struct table_watch *table_watch)
{
	double now = loop_now(table_watch->loop);
	double took_s = table_watch->long_poll_s > 0
				? 0
				: now - table_watch->call_started_s;

	table_watch->catch_up_after_s = now + MIN(took_s, CATCH_UP_PAUSE_MAX_S);
}

static void finish_snapshot(struct table_watch *table_watch)
{
	set_catch_up_pause(table_watch);
	table_watch->version = table_watch->snapshot_version;
	change_log_reset(table_watch->changes, table_watch->version);
	table_watch->needs_snapshot = false;
	table_watch->catch_up_snapshot = false;
	table_watch->copy_until_s = 0;
	if (!table_watch->loaded) {
		table_watch->loaded = true;
		table_watch->ops->loaded(table_watch->ctx);
	}
	schedule(table_watch, table_watch->peers != TABLE_WATCH_NO_PEERS
				      ? 0
				      : ALONE_DELAY_S);
}

static void on_snapshot_page(void *ctx, const struct store_result *result)
{
	struct table_watch *table_watch = ctx;
	char *from;
	size_t i;

	table_watch->call_pending = false;
	if (result->status != STORE_OK) {
		set_unreachable(table_watch, true);
		retry_later(table_watch);
		return;
	}
	set_unreachable(table_watch, false);
	if (!table_watch->snapshot_version)
		table_watch->snapshot_version = result->version;
	for (i = 0; i < result->row_count; i++) {
		g_hash_table_add(table_watch->seen_keys,
				 g_strdup(result->rows[i].key));
		apply_row(table_watch, &result->rows[i]);
	}
	if (!result->more || !result->row_count) {
		remove_unseen_rows(table_watch);
		g_clear_pointer(&table_watch->seen_keys, g_hash_table_destroy);
		report_answered(table_watch);
		finish_snapshot(table_watch);
		return;
	}
	/* The smallest key in byte order that may follow the last one. */
	from = g_strconcat(result->rows[result->row_count - 1].key, "\x01",
			   NULL);
	read_page(table_watch, from);
	g_free(from);
}

/* Returns the pause, in seconds, before the next long poll. It batches changes
 * of one moment into one answer, and keeps early answers without a change from
 * causing a burst of calls. */
static double pause_after(const struct table_watch *table_watch,
			  const struct store_result *result)
{
	double waited =
		loop_now(table_watch->loop) - table_watch->call_started_s;

	if (result->row_count)
		return table_watch->mode == TABLE_WATCH_LEADER ||
				       table_watch->peers ==
					       TABLE_WATCH_NO_PEERS
			       ? BATCH_PAUSE_S
			       : BATCH_PAUSE_BACKUP_S;
	return waited < table_watch->long_poll_s / 2 ? RETRY_S : 0;
}

/* Maps each key to its last change in the delta. */
static GHashTable *last_changes(const struct table_delta *changes)
{
	GHashTable *last = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < changes->count; i++)
		g_hash_table_insert(last, changes->rows[i].key,
				    (gpointer)&changes->rows[i]);
	return last;
}

/* Applies a delta. Rows up to the current version are skipped: other VMs
 * relayed them meanwhile. */
static void apply_changes(struct table_watch *table_watch,
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
		apply_row(table_watch, row);
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

	table_watch->call_pending = false;
	/* A version below the requested one means that the store was reset. */
	if (result->status == STORE_HISTORY_GONE ||
	    (result->status == STORE_OK &&
	     result->version < table_watch->call_version)) {
		table_watch->needs_snapshot = true;
		set_unreachable(table_watch, false);
		schedule(table_watch, 0);
		return;
	}
	if (result->status != STORE_OK) {
		set_unreachable(table_watch, true);
		retry_later(table_watch);
		return;
	}
	set_unreachable(table_watch, false);
	set_catch_up_pause(table_watch);
	apply_changes(table_watch, &changes);
	report_answered(table_watch);
	schedule(table_watch, pause_after(table_watch, result));
	if (result->row_count)
		table_watch->ops->changed(table_watch->ctx);
}

/* Returns how long a long poll may wait. A connection can go silent without
 * being reset, which only the end of this wait shows. So it is short for a
 * watch that others rely on, or that can rely on none. */
static double longest_poll_s(const struct table_watch *table_watch)
{
	bool relied_on = table_watch->mode == TABLE_WATCH_LEADER ||
			 table_watch->mode == TABLE_WATCH_RELAY;

	return !relied_on && table_watch->peers == TABLE_WATCH_PEERS_RELAY
		       ? LONG_POLL_S
		       : table_watch->poll_s;
}

/* Whether the call in progress is a long poll that has waited for too long: the
 * watch began it while it could rely on others. */
static bool is_poll_overdue(struct table_watch *table_watch)
{
	double limit_s = longest_poll_s(table_watch);

	return table_watch->call_pending &&
	       table_watch->long_poll_s > limit_s &&
	       loop_now(table_watch->loop) >
		       table_watch->call_started_s + limit_s &&
	       !table_watch->store.ops->receiving(table_watch->store.impl,
						  table_watch);
}

/* Starts to read the whole table.
 *
 * @param catch_up see catch_up_snapshot */
static void start_snapshot(struct table_watch *table_watch, bool catch_up)
{
	g_clear_pointer(&table_watch->seen_keys, g_hash_table_destroy);
	table_watch->seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	table_watch->needs_snapshot = true;
	table_watch->catch_up_snapshot = catch_up;
	table_watch->snapshot_version = 0;
	table_watch->call_started_s = loop_now(table_watch->loop);
	table_watch->long_poll_s = 0;
	read_page(table_watch, "");
}

/* Asks the store for changes; waits for one for up to wait_s seconds. */
static void request_changes(struct table_watch *table_watch, double wait_s,
			    const char *reason)
{
	store_calls_count(table_watch->store.calls, table_watch->table, reason);
	table_watch->call_pending = true;
	table_watch->call_started_s = loop_now(table_watch->loop);
	table_watch->call_version = table_watch->version;
	table_watch->long_poll_s = wait_s;
	table_watch->store.ops->follow(table_watch->store.impl,
				       table_watch->table, table_watch->version,
				       wait_s, on_changes, table_watch);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct table_watch *table_watch = timer->data;

	(void)loop;
	(void)events;
	if (table_watch->call_pending || relies_on_peers(table_watch))
		return;
	table_watch->copy_until_s = 0;
	if (table_watch->needs_snapshot)
		start_snapshot(table_watch, false);
	else
		/* While the store is unreachable, do not wait: a call that
		 * hangs is abandoned soon, and the next one finds the
		 * connection restored. */
		request_changes(table_watch,
				table_watch->unreachable
					? 0
					: longest_poll_s(table_watch),
				table_watch->unreachable ? "probe" : "poll");
}

/* Asks the store for changes that were not relayed. */
static void catch_up(struct table_watch *table_watch)
{
	if (loop_now(table_watch->loop) < table_watch->catch_up_after_s)
		return;
	table_watch->behind_since_s = 0;
	if (!table_watch->ops->catch_up_by_snapshot) {
		request_changes(table_watch, 0, "catch_up");
		return;
	}
	start_snapshot(table_watch, true);
}

/* Cancels the pending call, which is taken for lost, and calls the store again.
 */
static void restart_call(struct table_watch *table_watch)
{
	if (table_watch->call_pending) {
		table_watch->store.ops->cancel(table_watch->store.impl,
					       table_watch);
		table_watch->call_pending = false;
		table_watch->behind_since_s = 0;
		table_watch->retry_delay_s = RETRY_S;
	}
	if (relies_on_peers(table_watch))
		catch_up(table_watch);
	else
		schedule(table_watch, 0);
}

/* Resumes polling when no VM relays changes any more. */
static void resume_calls(struct table_watch *table_watch)
{
	if (!table_watch->call_pending && !relies_on_peers(table_watch) &&
	    !ev_is_active(&table_watch->timer))
		schedule(table_watch, 0);
}

void table_watch_set_vms(struct table_watch *table_watch, unsigned int vms)
{
	table_watch->vms = vms;
}

void table_watch_set_mode(struct table_watch *table_watch,
			  enum table_watch_mode mode)
{
	table_watch->mode = mode;
	/* The leader has no one to get a copy from. */
	if (mode == TABLE_WATCH_LEADER && table_watch->copy_until_s) {
		table_watch->copy_until_s = 0;
		schedule(table_watch, 0);
	}
	resume_calls(table_watch);
}

/* Calls the store again if other VMs have known a newer row for too long,
 * unless an answer is just arriving.
 *
 * @param version newest row version that other VMs have seen */
static void check_staleness(struct table_watch *table_watch, uint64_t version)
{
	double now = loop_now(table_watch->loop);

	if (version <= table_watch->row_version) {
		table_watch->behind_since_s = 0;
		return;
	}
	if (!table_watch->behind_since_s)
		table_watch->behind_since_s = now;
	if (now > table_watch->behind_since_s + STALE_AFTER_S &&
	    now > table_watch->call_started_s + STALE_AFTER_S &&
	    !table_watch->store.ops->receiving(table_watch->store.impl,
					       table_watch))
		restart_call(table_watch);
}

void table_watch_set_peers(struct table_watch *table_watch,
			   enum table_watch_peers peers, uint64_t version)
{
	bool awaits_changes =
		table_watch->call_pending || relies_on_peers(table_watch);

	table_watch->peers = peers;
	if (table_watch->loaded && !table_watch->call_pending &&
	    relies_on_peers(table_watch))
		set_unreachable(table_watch, peers == TABLE_WATCH_PEERS_WAIT);
	if (!table_watch->loaded || table_watch->needs_snapshot)
		return;
	if (is_poll_overdue(table_watch))
		restart_call(table_watch);
	else if (peers != TABLE_WATCH_NO_PEERS && awaits_changes)
		check_staleness(table_watch, version);
	else
		resume_calls(table_watch);
}

/* Cancels a catch-up snapshot whose changes have been relayed meanwhile. */
static void cancel_catch_up(struct table_watch *table_watch)
{
	if (!table_watch->catch_up_snapshot)
		return;
	table_watch->store.ops->cancel(table_watch->store.impl, table_watch);
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	g_clear_pointer(&table_watch->seen_keys, g_hash_table_destroy);
	table_watch->call_pending = false;
	table_watch->needs_snapshot = false;
	table_watch->catch_up_snapshot = false;
	resume_calls(table_watch);
}

void table_watch_apply_delta(struct table_watch *table_watch,
			     const struct table_delta *changes)
{
	if (!table_watch->loaded || changes->upto <= table_watch->version ||
	    (table_watch->needs_snapshot && !table_watch->catch_up_snapshot))
		return;
	if (changes->after <= table_watch->version) {
		apply_changes(table_watch, changes);
		cancel_catch_up(table_watch);
	} else if (relies_on_peers(table_watch) && !table_watch->call_pending)
		catch_up(table_watch);
}

struct table_delta table_watch_recent_delta(struct table_watch *table_watch)
{
	const GArray *rows = change_log_rows(table_watch->changes);

	change_log_expire(table_watch->changes, loop_now(table_watch->loop));
	return (struct table_delta){
		.after = change_log_after(table_watch->changes),
		.upto = table_watch->version,
		.rows = (const struct store_row *)(const void *)rows->data,
		.count = rows->len,
	};
}

bool table_watch_unreachable(const struct table_watch *table_watch)
{
	return table_watch->unreachable;
}

uint64_t table_watch_row_version(const struct table_watch *table_watch)
{
	return table_watch->row_version;
}

void table_watch_start(struct table_watch *table_watch, double copy_wait_s)
{
	if (copy_wait_s > 0)
		table_watch->copy_until_s =
			loop_now(table_watch->loop) + copy_wait_s;
	schedule(table_watch, copy_wait_s);
}

bool table_watch_wants_copy(const struct table_watch *table_watch)
{
	return table_watch->copy_until_s > 0;
}

void table_watch_extend_copy_wait(struct table_watch *table_watch,
				  double wait_s)
{
	double until_s = loop_now(table_watch->loop) + wait_s;

	if (!table_watch->copy_until_s || until_s <= table_watch->copy_until_s)
		return;
	table_watch->copy_until_s = until_s;
	schedule(table_watch, wait_s);
}

bool table_watch_copy(const struct table_watch *table_watch,
		      struct table_delta *copy)
{
	GHashTableIter iter;
	struct store_row *rows;
	gpointer row;
	size_t n = 0;

	if (!table_watch->loaded || table_watch->needs_snapshot)
		return false;
	rows = g_new0(struct store_row, g_hash_table_size(table_watch->rows));
	g_hash_table_iter_init(&iter, table_watch->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		rows[n++] = *(const struct store_row *)row;
	*copy = (struct table_delta){
		.upto = table_watch->version,
		.rows = rows,
		.count = n,
	};
	return true;
}

void table_watch_apply_copy(struct table_watch *table_watch,
			    const struct table_delta *copy)
{
	size_t i;

	if (!table_watch->copy_until_s)
		return;
	for (i = 0; i < copy->count; i++)
		apply_row(table_watch, &copy->rows[i]);
	table_watch->snapshot_version = copy->upto;
	table_watch->call_started_s = loop_now(table_watch->loop);
	finish_snapshot(table_watch);
	/* A VM that gets a copy does not lead. Its first heartbeat follows. */
	if (table_watch->mode == TABLE_WATCH_LEADER)
		table_watch->mode = TABLE_WATCH_PASSIVE;
	schedule(table_watch, ALONE_DELAY_S);
}
