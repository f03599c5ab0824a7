#include <string.h>

#include "entry/table_watch_impl.h"
#include "store/store_calls.h"

/* Wait of a long poll, in seconds, while the leader polls as well. If the call
 * is lost, the leader reports a newer row. */
#define LONG_POLL_S 10.0
/* Pause, in seconds, after a change before the next long poll. It batches
 * changes, since every change costs one call of each polling VM. The second
 * value applies to a VM that doesn't lead, while other VMs are live. */
#define BATCH_PAUSE_S 0.12
#define BATCH_PAUSE_BACKUP_S 0.5
/* Longest pause, in seconds, between calls that fetch changes which other VMs
 * have and this one missed. */
#define CATCH_UP_PAUSE_MAX_S 0.6
/* Back-off after a failed call: the longest delay in seconds, and the factor by
 * which the delay grows from RETRY_S. */
#define RETRY_MAX_S 0.4
#define RETRY_FACTOR 1.5
/* Shortest interval between the retries of all passive watches of a table
 * together, in seconds, and longest delay of one watch's retry. */
#define RETRY_VM_S 0.012
#define RETRY_PASSIVE_MAX_S 3.0

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

/* Recent changes that are kept for relaying, in bytes: several configurations
 * of 1,500 routes, or the entries of all upstreams of 300 VMs. */
#define CHANGES_BYTES_MAX ((size_t)2 << 20)

/* Delays, in seconds, of the retries of a first snapshot on a VM that doesn't
 * lead: the first one, the longest one, and the factor of their growth, before
 * a random factor of 0.5 to 1.5. When hundreds of VMs start at once, the store
 * can't answer all in time. It works on calls that were given up as well, so
 * quick retries would keep it from answering any. */
#define START_RETRY_S 0.25
#define START_RETRY_MAX_S 4.0
#define START_RETRY_FACTOR 4.0

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
	table_watch->changes = change_log_create(CHANGES_BYTES_MAX);
	table_watch->history = row_history_create();
	table_watch->needs_snapshot = true;
	table_watch->snapshot_reason = "start";
	table_watch->retry_delay_s = RETRY_S;
	table_watch->start_retry_s = START_RETRY_S;
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
	row_history_destroy(table_watch->history);
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

bool table_watch_relies_on_peers(const struct table_watch *table_watch)
{
	return table_watch->mode == TABLE_WATCH_PASSIVE &&
	       table_watch->peers != TABLE_WATCH_NO_PEERS &&
	       !table_watch->needs_snapshot;
}

void table_watch_set_unreachable(struct table_watch *table_watch,
				 bool unreachable)
{
	double call_s = table_watch_relies_on_peers(table_watch)
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

void table_watch_schedule(struct table_watch *table_watch, double after_s)
{
	ev_timer_stop(table_watch->loop->ev, &table_watch->timer);
	ev_timer_set(&table_watch->timer, after_s, 0);
	ev_timer_start(table_watch->loop->ev, &table_watch->timer);
}

void table_watch_cancel_call(struct table_watch *table_watch)
{
	if (!table_watch->call_pending)
		return;
	table_watch->store.ops->cancel(table_watch->store.impl, table_watch);
	table_watch->call_pending = false;
}

void table_watch_note_row_version(struct table_watch *table_watch,
				  uint64_t version)
{
	if (version <= table_watch->row_version)
		return;
	table_watch->row_version = version;
	if (version > table_watch->peers_version)
		table_watch_note_newer_row(table_watch);
}

void table_watch_apply_row(struct table_watch *table_watch,
			   const struct store_row *row)
{
	const struct store_row *known =
		g_hash_table_lookup(table_watch->rows, row->key);
	struct store_row *copy;

	table_watch_note_row_version(table_watch, row->version);
	if (known && known->version >= row->version) {
		if (known->version > row->version)
			table_watch_note_older_row(table_watch, known, row);
		return;
	}
	if (known)
		row_history_add(table_watch->history, known,
				loop_now(table_watch->loop));
	if (row->removed) {
		if (g_hash_table_remove(table_watch->rows, row->key))
			table_watch->ops->removed(table_watch->ctx, row->key);
		return;
	}
	copy = copy_row(row);
	g_hash_table_replace(table_watch->rows, copy->key, copy);
	table_watch->ops->row(table_watch->ctx, row);
}

void table_watch_forget_seen_rows(struct table_watch *table_watch)
{
	g_clear_pointer(&table_watch->seen_keys, g_hash_table_destroy);
	table_watch->seen_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void table_watch_see_row(struct table_watch *table_watch,
			 const struct store_row *row)
{
	g_hash_table_add(table_watch->seen_keys, g_strdup(row->key));
	table_watch_apply_row(table_watch, row);
}

void table_watch_remove_unseen_rows(struct table_watch *table_watch,
				    uint64_t upto)
{
	GPtrArray *unseen = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	gpointer key, row;
	guint i;

	g_hash_table_iter_init(&iter, table_watch->rows);
	while (g_hash_table_iter_next(&iter, &key, &row)) {
		if (((const struct store_row *)row)->version > upto ||
		    g_hash_table_contains(table_watch->seen_keys, key) ||
		    table_watch_is_lost(table_watch, row))
			continue;
		row_history_add(table_watch->history, row,
				loop_now(table_watch->loop));
		g_ptr_array_add(unseen, g_strdup(key));
	}
	for (i = 0; i < unseen->len; i++) {
		g_hash_table_remove(table_watch->rows, unseen->pdata[i]);
		table_watch->ops->removed(table_watch->ctx, unseen->pdata[i]);
	}
	g_ptr_array_free(unseen, TRUE);
	g_clear_pointer(&table_watch->seen_keys, g_hash_table_destroy);
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

/* Retries a first snapshot later. Until then the leader may send a copy. */
static void retry_start_later(struct table_watch *table_watch)
{
	double delay_s = table_watch->start_retry_s * (0.5 + g_random_double());

	table_watch->start_failed = true;
	table_watch->start_retry_s =
		MIN(table_watch->start_retry_s * START_RETRY_FACTOR,
		    START_RETRY_MAX_S);
	table_watch_schedule(table_watch, delay_s);
}

static void retry_later(struct table_watch *table_watch)
{
	if (!table_watch->loaded && !table_watch->leads) {
		retry_start_later(table_watch);
		return;
	}
	table_watch_schedule(table_watch,
			     MAX(table_watch->retry_delay_s,
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

/* Forgets versions that the store has not reached, which a VM relayed: no row
 * is newer than a snapshot, since changes aren't applied while it is read. */
static void forget_refuted_rows(struct table_watch *table_watch,
				const struct store_result *result)
{
	size_t i;

	table_watch->row_version =
		MIN(table_watch->row_version, result->version);
	for (i = 0; i < result->row_count; i++) {
		struct store_row *known = g_hash_table_lookup(
			table_watch->rows, result->rows[i].key);

		if (known && known->version > result->version)
			known->version = 0;
	}
}

/* Applies a row of a snapshot, unless the store restored it. */
static void see_stored_row(struct table_watch *table_watch,
			   const struct store_row *row)
{
	if (table_watch_is_restored(table_watch, row))
		g_hash_table_add(table_watch->seen_keys, g_strdup(row->key));
	else
		table_watch_see_row(table_watch, row);
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

void table_watch_finish_snapshot(struct table_watch *table_watch,
				 const char *source)
{
	set_catch_up_pause(table_watch);
	table_watch->version = table_watch->snapshot_version;
	change_log_reset(table_watch->changes, table_watch->version);
	table_watch->needs_snapshot = false;
	table_watch->catch_up_snapshot = false;
	table_watch->copy_until_s = 0;
	table_watch_note_loaded(table_watch, source);
	if (!table_watch->loaded) {
		table_watch->loaded = true;
		table_watch->ops->loaded(table_watch->ctx);
	}
	table_watch_schedule(
		table_watch,
		table_watch->peers != TABLE_WATCH_NO_PEERS ? 0 : ALONE_DELAY_S);
}

static void on_snapshot_page(void *ctx, const struct store_result *result)
{
	struct table_watch *table_watch = ctx;
	char *from;
	size_t i;

	table_watch->call_pending = false;
	if (result->status != STORE_OK) {
		table_watch_set_unreachable(table_watch, true);
		retry_later(table_watch);
		return;
	}
	table_watch_set_unreachable(table_watch, false);
	table_watch_check_peers_version(table_watch, result->version);
	if (!table_watch->snapshot_version) {
		table_watch->snapshot_version = result->version;
		table_watch_begin_era(table_watch, result->version);
	} else if (store_version_era(result->version) !=
		   store_version_era(table_watch->snapshot_version)) {
		/* The pages are of two states of the table. */
		table_watch_start_snapshot(table_watch,
					   table_watch->catch_up_snapshot);
		return;
	}
	forget_refuted_rows(table_watch, result);
	for (i = 0; i < result->row_count; i++)
		see_stored_row(table_watch, &result->rows[i]);
	from = store_result_next_key(result);
	if (!from) {
		table_watch_remove_unseen_rows(table_watch, UINT64_MAX);
		table_watch_end_era_snapshot(table_watch);
		report_answered(table_watch);
		table_watch_finish_snapshot(table_watch, "store");
		return;
	}
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

void table_watch_apply_changes(struct table_watch *table_watch,
			       const struct table_delta *changes)
{
	GHashTable *last = last_changes(changes);
	double now = loop_now(table_watch->loop);
	size_t i;

	for (i = 0; i < changes->count; i++) {
		const struct store_row *row = &changes->rows[i];

		if (row->version <= table_watch->version)
			continue;
		if (g_hash_table_lookup(last, row->key) != row) {
			if (!row->removed)
				row_history_add(table_watch->history, row, now);
			continue;
		}
		table_watch_apply_row(table_watch, row);
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
	if (result->status == STORE_OK)
		table_watch_check_peers_version(table_watch, result->version);
	/* A version below the requested one means that the store was reset. */
	if (result->status == STORE_HISTORY_GONE ||
	    (result->status == STORE_OK &&
	     result->version < table_watch->call_version)) {
		table_watch->needs_snapshot = true;
		table_watch->snapshot_reason = result->status == STORE_OK
						       ? "store_reset"
						       : "history_gone";
		table_watch_set_unreachable(table_watch, false);
		table_watch_schedule(table_watch, 0);
		return;
	}
	if (result->status != STORE_OK) {
		table_watch_set_unreachable(table_watch, true);
		retry_later(table_watch);
		return;
	}
	table_watch_set_unreachable(table_watch, false);
	set_catch_up_pause(table_watch);
	table_watch_apply_changes(table_watch, &changes);
	report_answered(table_watch);
	table_watch_schedule(table_watch, pause_after(table_watch, result));
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

bool table_watch_poll_overdue(struct table_watch *table_watch)
{
	double limit_s = longest_poll_s(table_watch);

	return table_watch->call_pending &&
	       table_watch->long_poll_s > limit_s &&
	       loop_now(table_watch->loop) >
		       table_watch->call_started_s + limit_s &&
	       !table_watch->store.ops->receiving(table_watch->store.impl,
						  table_watch);
}

void table_watch_start_snapshot(struct table_watch *table_watch, bool catch_up)
{
	table_watch_forget_seen_rows(table_watch);
	table_watch->needs_snapshot = true;
	table_watch->catch_up_snapshot = catch_up;
	table_watch->snapshot_version = 0;
	table_watch->call_started_s = loop_now(table_watch->loop);
	table_watch->long_poll_s = 0;
	if (catch_up)
		table_watch->snapshot_reason = "catch_up";
	table_watch_note_read(table_watch);
	read_page(table_watch, "");
}

void table_watch_request_changes(struct table_watch *table_watch, double wait_s,
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
	if (table_watch->call_pending ||
	    table_watch_relies_on_peers(table_watch))
		return;
	table_watch->copy_until_s = 0;
	if (table_watch->needs_snapshot)
		table_watch_start_snapshot(table_watch, false);
	else
		/* While the store is unreachable, do not wait: a call that
		 * hangs is abandoned soon, and the next one finds the
		 * connection restored. */
		table_watch_request_changes(
			table_watch,
			table_watch->unreachable ? 0
						 : longest_poll_s(table_watch),
			table_watch->unreachable ? "probe" : "poll");
}

bool table_watch_unreachable(const struct table_watch *table_watch)
{
	return table_watch->unreachable;
}

uint64_t table_watch_version(const struct table_watch *table_watch)
{
	return table_watch->version;
}

bool table_watch_has(const struct table_watch *table_watch, uint64_t version)
{
	return version <= table_watch->version;
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
	table_watch_schedule(table_watch, copy_wait_s);
}
