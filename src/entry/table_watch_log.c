/*
 * What a table watch logs and counts of its decisions: one line for each time
 * that it falls behind, reads the table or gives up a call, however often it
 * tries again.
 */
#include "entry/table_watch_impl.h"

/* Time, in seconds, for which other VMs have to know a newer row before a line
 * says so. Heartbeats name rows that arrive a moment later. */
#define LAG_LOGGED_AFTER_S 0.2

static double ms_since(const struct table_watch *table_watch, double time_s)
{
	return (loop_now(table_watch->loop) - time_s) * 1000;
}

void table_watch_set_log(struct table_watch *table_watch, struct event_log *log)
{
	table_watch->log = log;
}

const struct table_watch_counts *
table_watch_counts(const struct table_watch *table_watch)
{
	return &table_watch->counts;
}

static void log_caught_up(const struct table_watch *table_watch)
{
	const struct table_lag *lag = &table_watch->lag;

	if (!table_watch->log || !lag->logged)
		return;
	event_log_write(table_watch->log, "info", "store",
			"event=caught_up table=%s row=%" PRIu64
			" behind_ms=%.0f calls=%u",
			table_watch->table,
			store_version_own(table_watch->row_version),
			ms_since(table_watch, lag->since_s), lag->calls);
}

void table_watch_note_lag(struct table_watch *table_watch)
{
	struct table_lag *lag = &table_watch->lag;
	double now = loop_now(table_watch->loop);

	if (table_watch_has(table_watch, table_watch->peers_version)) {
		log_caught_up(table_watch);
		*lag = (struct table_lag){ 0 };
		return;
	}
	if (!lag->since_s)
		lag->since_s = now;
	if (!table_watch->log || lag->logged ||
	    now <= lag->since_s + LAG_LOGGED_AFTER_S)
		return;
	lag->logged = true;
	event_log_write(table_watch->log, "warning", "store",
			"event=behind table=%s row=%" PRIu64 " newest=%" PRIu64
			" era=%" PRIu64 " newest_era=%" PRIu64
			" behind_ms=%.0f version=%" PRIu64
			" relies_on_others=%d call_pending=%d call_ms=%.0f"
			" unreachable=%d",
			table_watch->table,
			store_version_own(table_watch->row_version),
			store_version_own(table_watch->peers_version),
			store_version_era(table_watch->version),
			store_version_era(table_watch->peers_version),
			ms_since(table_watch, lag->since_s),
			store_version_own(table_watch->version),
			table_watch_relies_on_peers(table_watch),
			table_watch->call_pending,
			ms_since(table_watch, table_watch->call_started_s),
			table_watch->unreachable);
}

void table_watch_note_gap(struct table_watch *table_watch,
			  const struct table_delta *changes)
{
	struct table_lag *lag = &table_watch->lag;

	table_watch->counts.gaps++;
	if (!table_watch->log || lag->gap_upto >= changes->upto)
		return;
	lag->gap_upto = changes->upto;
	event_log_write(table_watch->log, "info", "store",
			"event=gap table=%s version=%" PRIu64 " after=%" PRIu64
			" upto=%" PRIu64,
			table_watch->table,
			store_version_own(table_watch->version),
			store_version_own(changes->after),
			store_version_own(changes->upto));
}

void table_watch_note_catch_up(struct table_watch *table_watch)
{
	table_watch->counts.catch_ups++;
	if (table_watch->log && !table_watch->lag.calls++)
		event_log_write(table_watch->log, "info", "store",
				"event=catch_up table=%s row=%" PRIu64
				" version=%" PRIu64,
				table_watch->table,
				store_version_own(table_watch->row_version),
				store_version_own(table_watch->version));
}

void table_watch_note_given_up(struct table_watch *table_watch,
			       const char *reason)
{
	table_watch->counts.given_up++;
	if (table_watch->log && !table_watch->lag.given_up++)
		event_log_write(
			table_watch->log, "warning", "store",
			"event=call_given_up table=%s reason=%s"
			" call_ms=%.0f wait_ms=%.0f",
			table_watch->table, reason,
			ms_since(table_watch, table_watch->call_started_s),
			table_watch->long_poll_s * 1000);
}

void table_watch_note_older_row(struct table_watch *table_watch,
				const struct store_row *known,
				const struct store_row *row)
{
	table_watch->counts.older_rows++;
	if (table_watch->log)
		event_log_write(table_watch->log, "info", "store",
				"event=older_row table=%s key=%.64s"
				" row=%" PRIu64 " known=%" PRIu64 " removed=%d",
				table_watch->table, row->key,
				store_version_own(row->version),
				store_version_own(known->version),
				row->removed);
}

void table_watch_note_era(const struct table_watch *table_watch,
			  uint64_t version)
{
	if (table_watch->log)
		event_log_write(table_watch->log, "warning", "store",
				"event=table_restored table=%s era=%" PRIu64
				" version=%" PRIu64 " known_era=%" PRIu64
				" known=%" PRIu64,
				table_watch->table, store_version_era(version),
				store_version_own(version),
				store_version_era(table_watch->version),
				store_version_own(table_watch->version));
}

void table_watch_note_kept(const struct table_watch *table_watch)
{
	if (table_watch->log)
		event_log_write(
			table_watch->log, "info", "store",
			"event=rows_kept table=%s kept=%u restored=%u"
			" restored_upto=%" PRIu64 " keep_ms=%.0f",
			table_watch->table, table_watch->kept_rows,
			table_watch->restored_rows,
			store_version_own(table_watch->restored_upto),
			-ms_since(table_watch, table_watch->keep_until_s));
}

void table_watch_note_read(struct table_watch *table_watch)
{
	table_watch->counts.snapshots++;
	if (!table_watch->log || table_watch->read_logged)
		return;
	table_watch->read_logged = true;
	event_log_write(table_watch->log, "info", "store",
			"event=read table=%s reason=%s version=%" PRIu64,
			table_watch->table, table_watch->snapshot_reason,
			store_version_own(table_watch->version));
}

void table_watch_note_loaded(struct table_watch *table_watch,
			     const char *source)
{
	table_watch->read_logged = false;
	if (table_watch->log)
		event_log_write(
			table_watch->log, "info", "store",
			"event=loaded table=%s source=%s"
			" version=%" PRIu64 " row=%" PRIu64
			" rows=%u took_ms=%.0f",
			table_watch->table, source,
			store_version_own(table_watch->version),
			store_version_own(table_watch->row_version),
			g_hash_table_size(table_watch->rows),
			ms_since(table_watch, table_watch->call_started_s));
}
