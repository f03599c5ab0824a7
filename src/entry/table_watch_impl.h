/**
 * Definitions that the files of the table watch share: table_watch.c calls the
 * store, table_watch_peers.c handles what other VMs do for this one.
 */
#ifndef ENTRY_TABLE_WATCH_IMPL_H
#define ENTRY_TABLE_WATCH_IMPL_H

#include <ev.h>

#include "entry/table_watch.h"
#include "store/change_log.h"
#include "store/row_history.h"

/* Delay, in seconds, from a snapshot to the next long poll if no other VM is
 * known to be live. After the first snapshot, other VMs that are live become
 * known in this time. */
#define ALONE_DELAY_S 0.4
/* First delay, in seconds, after a failed call, and the pause after a long poll
 * that returns early without a change. */
#define RETRY_S 0.25

/* Time, in seconds, without a newer row on any VM after which the store counts
 * as quiet. In calm it is: a row changes when its upstream says something new.
 */
#define QUIET_S 1.0

/** A time in which other VMs know a newer row; zero-initialized: none. */
struct table_lag {
	/** Loop time at which it began; 0: it didn't. */
	double since_s;
	/** Calls that were made, and given up, since. */
	unsigned int calls, given_up;
	/** Newest relayed change that did not follow those of the watch. */
	uint64_t gap_upto;
	/** A line says that it began. */
	bool logged;
};

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
	/** Set of the keys seen by the snapshot or copy in progress, or NULL.
	 */
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
	/** Delay of the retry after the next failed call, in seconds, and of
	 * the retry of a first snapshot. */
	double retry_delay_s;
	double start_retry_s;
	/** A call for the first snapshot failed. */
	bool start_failed;
	/** This VM leads: table_watch_set_mode() said so. */
	bool leads;
	/**
	 * The snapshot in progress only fetches changes that were not relayed;
	 * it is cancelled when they arrive by relay after all.
	 */
	bool catch_up_snapshot;
	/** Earliest loop time of the next call by catch_up(). */
	double catch_up_after_s;
	/** Newest row version seen so far. */
	uint64_t row_version;
	/** Newest row version that other VMs have seen, and the loop time at
	 * which this VM heard of it. */
	uint64_t peers_version;
	double peers_version_s;
	/** The last such version that the store had not reached when it was
	 * asked, 0: none; and the loop time of its answer. */
	uint64_t refuted_version;
	double refuted_s;
	/** Loop time at which a newer row became known on any VM, and at which
	 * the last time without one of QUIET_S or more ended. */
	double newer_row_s;
	double quiet_until_s;
	/** Loop time since which relayed changes have ended before this VM's
	 * version; 0: they don't. */
	double ahead_since_s;
	/** Loop time since which other VMs have known a newer row than this VM;
	 * 0: they don't. */
	double behind_since_s;
	/** Calls in a row that were taken for lost, and loop time of the last
	 * one. */
	unsigned int lost_calls;
	double lost_call_s;
	/** Newest row version at the last check, and when it was seen first. */
	uint64_t progress_version;
	double progress_s;
	/** Loop time until which another VM sends changes in parts. */
	double changes_until_s;
	/** Loop time until which the watch waits for another VM's copy of the
	 * table before it reads it; 0: it doesn't wait. */
	double copy_until_s;
	/** States of rows that were superseded lately. */
	struct row_history *history;
	/** Loop time until which rows that differ from those of a restored
	 * store are kept; 0: they aren't. */
	double keep_until_s;
	/** Rows that were kept or ignored so since the era changed. */
	unsigned int kept_rows, restored_rows;
	/** The last era of which a snapshot began, and the newest version,
	 * before that era, of a row that the store restored; 0: none. */
	uint64_t restored_era;
	uint64_t restored_upto;
	/** Gets the lines of decisions; NULL: there are none. */
	struct event_log *log;
	struct table_watch_counts counts;
	struct table_lag lag;
	/** Why a snapshot is needed: one word, while needs_snapshot. */
	const char *snapshot_reason;
	/** A line tells of the snapshot that is needed. */
	bool read_logged;
};

/** Whether this watch need not poll because other VMs relay changes. */
bool table_watch_relies_on_peers(const struct table_watch *table_watch);

/** Records whether the store answered the last call. */
void table_watch_set_unreachable(struct table_watch *table_watch,
				 bool unreachable);

/** Cancels the pending call to the store, if there is one. */
void table_watch_cancel_call(struct table_watch *table_watch);

/** Sets the time of the next call to the store. */
void table_watch_schedule(struct table_watch *table_watch, double after_s);

/** Records a row's version and reports the change, unless this version or a
 * newer one is known already. */
void table_watch_apply_row(struct table_watch *table_watch,
			   const struct store_row *row);

/** Notes that a newer row became known on any VM. */
void table_watch_note_newer_row(struct table_watch *table_watch);

/** Forgets the version that other VMs have seen if the store, which was asked
 * after that, has not reached it.
 *
 * @param store_version newest version of the store */
void table_watch_check_peers_version(struct table_watch *table_watch,
				     uint64_t store_version);

/** Prepares seen_keys for the rows of a snapshot or copy. */
void table_watch_forget_seen_rows(struct table_watch *table_watch);

/** Applies a row of a snapshot or copy. */
void table_watch_see_row(struct table_watch *table_watch,
			 const struct store_row *row);

/** Removes the rows that the snapshot or copy did not show, except those newer
 * than version upto, and frees seen_keys. */
void table_watch_remove_unseen_rows(struct table_watch *table_watch,
				    uint64_t upto);

/** Ends a snapshot that showed snapshot_version.
 *
 * @param source see table_watch_note_loaded() */
void table_watch_finish_snapshot(struct table_watch *table_watch,
				 const char *source);

/** Applies a delta. Rows up to the current version are skipped. */
void table_watch_apply_changes(struct table_watch *table_watch,
			       const struct table_delta *changes);

/** Notes the newest version of a row, whether the row is applied or not. */
void table_watch_note_row_version(struct table_watch *table_watch,
				  uint64_t version);

/** Keeps what is known for a time if a snapshot that begins is the first one of
 * a new era.
 *
 * @param version of the store at its first page */
void table_watch_begin_era(struct table_watch *table_watch, uint64_t version);

/** Whether a row of a snapshot is one that the store restored, and that changes
 * nothing: the watch knows it, or a newer state of it. */
bool table_watch_is_restored(struct table_watch *table_watch,
			     const struct store_row *row);

/** Whether a known row that a snapshot doesn't show was lost by the store, not
 * removed. */
bool table_watch_is_lost(const struct table_watch *table_watch,
			 const struct store_row *row);

/** Notes that a snapshot is complete. */
void table_watch_end_era_snapshot(struct table_watch *table_watch);

/** Reads the table again when its era has changed, or when rows that differ
 * from those of the store were kept for long enough. */
void table_watch_check_era(struct table_watch *table_watch);

/** Applies the rows of relayed changes of a newer era than the watch has read,
 * which it may be unable to do. Their earlier changes are still missing. */
void table_watch_apply_new_era(struct table_watch *table_watch,
			       const struct table_delta *changes);

/** Keeps rows of earlier eras in a copy for as long as if this VM had read the
 * table when the era changed. */
void table_watch_keep_copied(struct table_watch *table_watch);

/** Notes that the era of the store changed. */
void table_watch_note_era(const struct table_watch *table_watch,
			  uint64_t version);

/** Notes how the rows of the first snapshot of an era differ. */
void table_watch_note_kept(const struct table_watch *table_watch);

/** Whether the call in progress is a long poll that has waited for too long:
 * the watch began it while it could rely on others. */
bool table_watch_poll_overdue(struct table_watch *table_watch);

/** Notes the newest row version that other VMs know. */
void table_watch_note_lag(struct table_watch *table_watch);

/** Notes relayed changes that don't follow those of the watch. */
void table_watch_note_gap(struct table_watch *table_watch,
			  const struct table_delta *changes);

/** Notes a call that fetches what was not relayed. */
void table_watch_note_catch_up(struct table_watch *table_watch);

/** Notes that the pending call is taken for lost.
 *
 * @param reason one word */
void table_watch_note_given_up(struct table_watch *table_watch,
			       const char *reason);

/** Notes a row that is ignored because a newer version is known. */
void table_watch_note_older_row(struct table_watch *table_watch,
				const struct store_row *known,
				const struct store_row *row);

/** Notes that the whole table is being read. */
void table_watch_note_read(struct table_watch *table_watch);

/** Notes that the whole table was replaced.
 *
 * @param source one word: "store" or "copy" */
void table_watch_note_loaded(struct table_watch *table_watch,
			     const char *source);

/** Starts to read the whole table.
 *
 * @param catch_up see catch_up_snapshot */
void table_watch_start_snapshot(struct table_watch *table_watch, bool catch_up);

/** Asks the store for changes; waits for one for up to wait_s seconds.
 *
 * @param reason counted with the call */
void table_watch_request_changes(struct table_watch *table_watch, double wait_s,
				 const char *reason);

#endif
