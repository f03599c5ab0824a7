/*
 * What a table watch does when the store came back from an older copy: it tells
 * restored rows from those written since, and keeps what the store lost until
 * the operator and the upstreams have written it again.
 */
#include "entry/table_watch_impl.h"

/* Time, in seconds, for which rows that differ from those of a restored store
 * are kept, at most. Their writers write them again within some seconds. */
#define KEEP_S 30.0
/* Part of this time in which the VMs read the table as it is, each at another
 * moment. */
#define KEEP_SPREAD 0.2
/* Seconds per VM in which the VMs read the tables once the era has changed. */
#define READ_VM_S 0.001

static bool keeps_rows(const struct table_watch *table_watch)
{
	return loop_now(table_watch->loop) < table_watch->keep_until_s;
}

static void start_keeping(struct table_watch *table_watch)
{
	table_watch->keep_until_s =
		loop_now(table_watch->loop) +
		KEEP_S * (1 - KEEP_SPREAD * g_random_double());
	table_watch->kept_rows = 0;
	table_watch->restored_rows = 0;
}

void table_watch_begin_era(struct table_watch *table_watch, uint64_t version)
{
	if (!table_watch->loaded ||
	    store_version_era(version) <=
		    store_version_era(table_watch->version))
		return;
	/* What an attempt to read the table has shown of the copy holds on. */
	if (table_watch->restored_era != store_version_era(version))
		table_watch->restored_upto = 0;
	table_watch->restored_era = store_version_era(version);
	table_watch_note_era(table_watch, version);
	start_keeping(table_watch);
}

/* Notes that the copy has a row which was written in an earlier era.
 *
 * @param version of the row in that era; one of the present era says nothing of
 *        the copy */
static void note_in_copy(struct table_watch *table_watch, uint64_t version)
{
	if (store_version_era(version) < table_watch->restored_era)
		table_watch->restored_upto =
			MAX(table_watch->restored_upto, version);
}

bool table_watch_is_restored(struct table_watch *table_watch,
			     const struct store_row *row)
{
	struct store_row *known =
		g_hash_table_lookup(table_watch->rows, row->key);
	double now = loop_now(table_watch->loop);

	if (!keeps_rows(table_watch))
		return false;
	if (known && row_is_same_state(known, row)) {
		note_in_copy(table_watch, known->version);
		known->version = MAX(known->version, row->version);
	} else if (row_history_has(table_watch->history, row, now)) {
		note_in_copy(
			table_watch,
			store_version(store_version_era(table_watch->version),
				      store_version_own(row->version)));
		table_watch->restored_rows++;
	} else {
		return false;
	}
	table_watch_note_row_version(table_watch, row->version);
	return true;
}

bool table_watch_is_lost(const struct table_watch *table_watch,
			 const struct store_row *row)
{
	/* The copy had all rows that are older than one that it had, but none
	 * that the store had lost before. */
	return keeps_rows(table_watch) &&
	       store_version_era(row->version) <
		       store_version_era(table_watch->snapshot_version) &&
	       (row->version > table_watch->restored_upto ||
		store_version_era(row->version) <
			store_version_era(table_watch->restored_upto));
}

/* Counts the known rows that the store lost. */
static unsigned int count_lost(const struct table_watch *table_watch)
{
	unsigned int count = 0;
	GHashTableIter iter;
	gpointer row;

	g_hash_table_iter_init(&iter, table_watch->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		count += store_version_era(
				 ((const struct store_row *)row)->version) <
			 store_version_era(table_watch->snapshot_version);
	return count;
}

void table_watch_end_era_snapshot(struct table_watch *table_watch)
{
	if (!table_watch->loaded ||
	    store_version_era(table_watch->snapshot_version) <=
		    store_version_era(table_watch->version))
		return;
	table_watch->kept_rows = count_lost(table_watch);
	table_watch->counts.kept_rows += table_watch->kept_rows;
	table_watch->counts.restored_rows += table_watch->restored_rows;
	table_watch_note_kept(table_watch);
}

/* Has the table read anew. */
static void read_again(struct table_watch *table_watch, const char *reason,
		       double after_s)
{
	table_watch_cancel_call(table_watch);
	table_watch->needs_snapshot = true;
	table_watch->catch_up_snapshot = false;
	table_watch->snapshot_reason = reason;
	table_watch_schedule(table_watch, after_s);
}

void table_watch_check_era(struct table_watch *table_watch)
{
	uint64_t newest = MAX(store_era_current(table_watch->store.era),
			      store_version_era(table_watch->peers_version));
	double now = loop_now(table_watch->loop);

	if (!table_watch->loaded || table_watch->needs_snapshot ||
	    now < table_watch->call_started_s + RETRY_S / 2)
		return;
	if (newest > store_version_era(table_watch->version)) {
		read_again(table_watch, "era_changed",
			   g_random_double() * table_watch->vms * READ_VM_S);
		return;
	}
	if (!table_watch->keep_until_s || keeps_rows(table_watch))
		return;
	table_watch->keep_until_s = 0;
	if (table_watch->kept_rows || table_watch->restored_rows)
		read_again(table_watch, "rows_kept", 0);
}

void table_watch_apply_new_era(struct table_watch *table_watch,
			       const struct table_delta *changes)
{
	size_t i;

	if (!table_watch->loaded ||
	    store_version_era(changes->upto) <=
		    store_version_era(table_watch->version))
		return;
	for (i = 0; i < changes->count; i++)
		table_watch_apply_row(table_watch, &changes->rows[i]);
}

void table_watch_keep_copied(struct table_watch *table_watch)
{
	if (!count_lost(table_watch))
		return;
	start_keeping(table_watch);
	table_watch->kept_rows = count_lost(table_watch);
}
