/*
 * What other VMs do for a table watch: they relay changes, know newer rows and
 * send copies.
 */
#include <math.h>

#include "entry/table_watch_impl.h"

/* Time, in seconds, allowed for a change to arrive through the pending long
 * poll. If other VMs have known a newer row for longer, the call is taken for
 * lost. */
#define STALE_AFTER_S 0.2

/* Longest value of STALE_AFTER_S, which doubles with each call that is taken
 * for lost: its answer may only be late. Longer than the timeouts of calls,
 * which end those that are lost then. */
#define STALE_AFTER_MAX_S 3.2
/* Time, in seconds, for which a version that the store refuted isn't believed.
 * The store may reach it later. */
#define REFUTED_S 5.0
/* Time, in seconds, since the last call that was taken for lost after which
 * STALE_AFTER_S applies again. */
#define FORGET_LOST_S 5.0

/* Longest time, in seconds, without a newer row for which a VM that is behind
 * waits for parts of large changes. Each newer change that is announced would
 * otherwise prolong the wait, and in a quick succession of configurations a VM
 * that misses parts would fall behind for seconds. */
#define PARTS_WAIT_MAX_S 0.8

/* Longest time, in seconds, for which the VMs that relay changes may know an
 * older version than this one. They ask the store about every second. */
#define AHEAD_MAX_S 4.0

/* Whether parts of large changes are expected and not overdue. */
static bool awaits_parts(const struct table_watch *table_watch, double now)
{
	double since_s =
		MAX(table_watch->behind_since_s, table_watch->progress_s);

	return now <= table_watch->changes_until_s &&
	       now <= since_s + PARTS_WAIT_MAX_S;
}

/* Asks the store for changes that were not relayed. */
static void catch_up(struct table_watch *table_watch)
{
	if (loop_now(table_watch->loop) < table_watch->catch_up_after_s)
		return;
	table_watch->behind_since_s = 0;
	table_watch_note_catch_up(table_watch);
	if (!table_watch->ops->catch_up_by_snapshot) {
		table_watch_request_changes(table_watch, 0, "catch_up");
		return;
	}
	table_watch_start_snapshot(table_watch, true);
}

/* Returns the time, in seconds, after which a call without an answer is taken
 * for lost. */
static double stale_after_s(const struct table_watch *table_watch, double now)
{
	if (now > table_watch->lost_call_s + FORGET_LOST_S)
		return STALE_AFTER_S;
	return MIN(ldexp(STALE_AFTER_S, (int)table_watch->lost_calls),
		   STALE_AFTER_MAX_S);
}

/* Counts the pending call as lost. */
static void count_lost_call(struct table_watch *table_watch, double now)
{
	if (now > table_watch->lost_call_s + FORGET_LOST_S)
		table_watch->lost_calls = 0;
	table_watch->lost_calls = MIN(table_watch->lost_calls + 1, 8);
	table_watch->lost_call_s = now;
}

/* Cancels the pending call, which is taken for lost, and calls the store again.
 *
 * @param reason one word for the log */
static void restart_call(struct table_watch *table_watch, const char *reason)
{
	if (table_watch->call_pending) {
		table_watch_note_given_up(table_watch, reason);
		table_watch_cancel_call(table_watch);
		table_watch->behind_since_s = 0;
		table_watch->retry_delay_s = RETRY_S;
	}
	if (table_watch_relies_on_peers(table_watch))
		catch_up(table_watch);
	else
		table_watch_schedule(table_watch, 0);
}

/* Resumes polling when no VM relays changes any more. */
static void resume_calls(struct table_watch *table_watch)
{
	if (!table_watch->call_pending &&
	    !table_watch_relies_on_peers(table_watch) &&
	    !ev_is_active(&table_watch->timer))
		table_watch_schedule(table_watch, 0);
}

void table_watch_set_vms(struct table_watch *table_watch, unsigned int vms)
{
	table_watch->vms = vms;
}

void table_watch_set_mode(struct table_watch *table_watch,
			  enum table_watch_mode mode)
{
	table_watch->mode = mode;
	/* A new leader reads at once what it failed to read before. */
	if (mode == TABLE_WATCH_LEADER && !table_watch->leads &&
	    table_watch->start_failed && !table_watch->loaded &&
	    !table_watch->call_pending)
		table_watch_schedule(table_watch, 0);
	table_watch->leads = mode == TABLE_WATCH_LEADER;
	/* The leader has no one to get a copy from. */
	if (mode == TABLE_WATCH_LEADER && table_watch->copy_until_s) {
		table_watch->copy_until_s = 0;
		table_watch_schedule(table_watch, 0);
	}
	resume_calls(table_watch);
}

void table_watch_note_newer_row(struct table_watch *table_watch)
{
	double now = loop_now(table_watch->loop);

	if (table_watch->newer_row_s &&
	    now > table_watch->newer_row_s + QUIET_S)
		table_watch->quiet_until_s = now;
	table_watch->newer_row_s = now;
}

bool table_watch_was_quiet(const struct table_watch *table_watch)
{
	double now = loop_now(table_watch->loop);

	return now > table_watch->newer_row_s + QUIET_S ||
	       now < table_watch->quiet_until_s + QUIET_S;
}

/* Notes the newest row version that other VMs have seen. */
static void observe_version(struct table_watch *table_watch, uint64_t version)
{
	double now = loop_now(table_watch->loop);

	if (version <= table_watch->peers_version ||
	    (version == table_watch->refuted_version &&
	     now < table_watch->refuted_s + REFUTED_S))
		return;
	table_watch->peers_version = version;
	table_watch->peers_version_s = now;
	if (version > table_watch->row_version)
		table_watch_note_newer_row(table_watch);
}

void table_watch_check_peers_version(struct table_watch *table_watch,
				     uint64_t store_version)
{
	if (table_watch->peers_version <= store_version ||
	    table_watch->call_started_s <= table_watch->peers_version_s)
		return;
	table_watch->refuted_version = table_watch->peers_version;
	table_watch->refuted_s = loop_now(table_watch->loop);
	table_watch->peers_version = table_watch->row_version;
}

uint64_t table_watch_peers_version(const struct table_watch *table_watch)
{
	return table_watch->peers_version;
}

/* Calls the store again if other VMs have known a newer row for too long,
 * unless an answer is just arriving. */
static void check_staleness(struct table_watch *table_watch)
{
	double now = loop_now(table_watch->loop);
	double wait_s;

	if (table_watch->row_version != table_watch->progress_version) {
		table_watch->progress_version = table_watch->row_version;
		table_watch->progress_s = now;
	}
	if (table_watch_has(table_watch, table_watch->peers_version)) {
		table_watch->behind_since_s = 0;
		return;
	}
	if (!table_watch->behind_since_s)
		table_watch->behind_since_s = now;
	wait_s = table_watch->call_pending ? stale_after_s(table_watch, now)
					   : STALE_AFTER_S;
	if (awaits_parts(table_watch, now) ||
	    now <= table_watch->behind_since_s + wait_s ||
	    now <= table_watch->call_started_s + wait_s ||
	    table_watch->store.ops->receiving(table_watch->store.impl,
					      table_watch))
		return;
	if (table_watch->call_pending)
		count_lost_call(table_watch, now);
	restart_call(table_watch, "others_know_newer");
}

void table_watch_set_peers(struct table_watch *table_watch,
			   enum table_watch_peers peers, uint64_t version)
{
	bool awaits_changes = table_watch->call_pending ||
			      table_watch_relies_on_peers(table_watch);

	table_watch->peers = peers;
	observe_version(table_watch, version);
	table_watch_note_lag(table_watch);
	table_watch_check_era(table_watch);
	if (table_watch->loaded && !table_watch->call_pending &&
	    table_watch_relies_on_peers(table_watch))
		table_watch_set_unreachable(table_watch,
					    peers == TABLE_WATCH_PEERS_WAIT);
	if (!table_watch->loaded || table_watch->needs_snapshot)
		return;
	if (table_watch_poll_overdue(table_watch))
		restart_call(table_watch, "overdue");
	else if (peers != TABLE_WATCH_NO_PEERS && awaits_changes)
		check_staleness(table_watch);
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
	table_watch->read_logged = false;
	resume_calls(table_watch);
}

/* Asks the store if the VMs that relay changes stay behind this one for long:
 * it may not have reached this one's version, which was relayed. */
static void check_version(struct table_watch *table_watch, uint64_t upto)
{
	double now = loop_now(table_watch->loop);

	if (upto >= table_watch->version) {
		table_watch->ahead_since_s = 0;
		return;
	}
	if (!table_watch->ahead_since_s)
		table_watch->ahead_since_s = now;
	if (now <= table_watch->ahead_since_s + AHEAD_MAX_S ||
	    table_watch->peers != TABLE_WATCH_PEERS_RELAY ||
	    table_watch->call_pending ||
	    !table_watch_relies_on_peers(table_watch))
		return;
	table_watch->ahead_since_s = 0;
	table_watch_request_changes(table_watch, 0, "catch_up");
}

void table_watch_apply_delta(struct table_watch *table_watch,
			     const struct table_delta *changes)
{
	if (table_watch->loaded)
		check_version(table_watch, changes->upto);
	table_watch_apply_new_era(table_watch, changes);
	if (!table_watch->loaded || changes->upto <= table_watch->version ||
	    (table_watch->needs_snapshot && !table_watch->catch_up_snapshot))
		return;
	if (changes->after <= table_watch->version) {
		table_watch_apply_changes(table_watch, changes);
		cancel_catch_up(table_watch);
		return;
	}
	table_watch_note_gap(table_watch, changes);
	if (table_watch_relies_on_peers(table_watch) &&
	    !table_watch->call_pending)
		catch_up(table_watch);
}

void table_watch_expect_changes(struct table_watch *table_watch, double wait_s)
{
	table_watch->changes_until_s = loop_now(table_watch->loop) + wait_s;
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

bool table_watch_wants_copy(const struct table_watch *table_watch)
{
	return table_watch->copy_until_s > 0 ||
	       (table_watch->start_failed && !table_watch->loaded &&
		!table_watch->leads);
}

void table_watch_set_copy_wait(struct table_watch *table_watch, double wait_s)
{
	if (!table_watch->copy_until_s)
		return;
	table_watch->copy_until_s = loop_now(table_watch->loop) + wait_s;
	table_watch_schedule(table_watch, wait_s);
}

void table_watch_extend_copy_wait(struct table_watch *table_watch,
				  double wait_s)
{
	double until_s = loop_now(table_watch->loop) + wait_s;

	if (!table_watch->copy_until_s || until_s <= table_watch->copy_until_s)
		return;
	table_watch->copy_until_s = until_s;
	table_watch_schedule(table_watch, wait_s);
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

	if (!table_watch_wants_copy(table_watch))
		return;
	table_watch_cancel_call(table_watch);
	table_watch_forget_seen_rows(table_watch);
	for (i = 0; i < copy->count; i++)
		table_watch_see_row(table_watch, &copy->rows[i]);
	table_watch_remove_unseen_rows(table_watch, copy->upto);
	table_watch->snapshot_version = copy->upto;
	table_watch->call_started_s = loop_now(table_watch->loop);
	table_watch_finish_snapshot(table_watch, "copy");
	table_watch_keep_copied(table_watch);
	/* A VM that gets a copy does not lead. Its first heartbeat follows. */
	if (table_watch->mode == TABLE_WATCH_LEADER)
		table_watch->mode = TABLE_WATCH_PASSIVE;
	table_watch_schedule(table_watch, ALONE_DELAY_S);
}
