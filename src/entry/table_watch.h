/**
 * Watches one table of the store: reads a snapshot, then long-polls for
 * changes, and reads a new snapshot when it missed changes. While other VMs
 * relay the changes, the store need not be polled.
 */
#ifndef ENTRY_TABLE_WATCH_H
#define ENTRY_TABLE_WATCH_H

#include "base/event_log.h"
#include "net/loop.h"
#include "store/store.h"

struct table_watch;

/** All changes of a table after version after, up to and including version
 * upto. */
struct table_delta {
	uint64_t after;
	uint64_t upto;
	/** The changed rows, in version order. */
	const struct store_row *rows;
	size_t count;
};

/** Functions that a watch calls, and how it catches up. */
struct table_watch_ops {
	/**
	 * The watch fetches missed changes by a snapshot instead of the change
	 * feed. Set for a table with few but large rows, because the feed
	 * repeats a row for each of its changes.
	 */
	bool catch_up_by_snapshot;
	/** Called with the current state of a new or changed row. */
	void (*row)(void *ctx, const struct store_row *row);
	/** Called when a row was deleted. */
	void (*removed)(void *ctx, const char *key);
	/**
	 * Called when the store delivered changes that can be relayed to other
	 * VMs.
	 */
	void (*changed)(void *ctx);
	/**
	 * Called when the store answered and its answer was applied. May be
	 * NULL.
	 *
	 * @param asked_s loop time at which the call was sent
	 */
	void (*answered)(void *ctx, double asked_s);
	/** Called once, when the first snapshot is complete. */
	void (*loaded)(void *ctx);
	/**
	 * Called when a call to the store fails, unless the previous one failed
	 * too, and when the store answers again.
	 *
	 * @param call_s time, in seconds, since that call was sent; 0 if other
	 *        VMs called the store
	 */
	void (*reachability_changed)(void *ctx, const char *table,
				     bool unreachable, double call_s);
};

/**
 * Creates a watch, which table_watch_start() starts.
 *
 * @param store copied
 * @param table name of the table; copied
 * @param poll_s wait of a long poll, in seconds, while no other VM polls for
 *        this one; a change whose answer is lost becomes known after that
 * @param ops must outlive the watch
 */
struct table_watch *table_watch_create(struct loop *loop,
				       const struct store *store,
				       const char *table, double poll_s,
				       const struct table_watch_ops *ops,
				       void *ctx);
/** Frees the watch; NULL is allowed. A call to the store that isn't answered
 * yet must not be answered after this. */
void table_watch_destroy(struct table_watch *table_watch);

/**
 * Starts to read the first snapshot.
 *
 * @param copy_wait_s time, in seconds, for which another VM may deliver a copy
 *        of the table instead; the wait ends early when this VM leads
 */
void table_watch_start(struct table_watch *table_watch, double copy_wait_s);

/** Replaces the wait of table_watch_start(), while it lasts, by one of wait_s
 * seconds from now; 0 reads the table at once. */
void table_watch_set_copy_wait(struct table_watch *table_watch, double wait_s);

/** Whether the watch waits for a copy of the table (table_watch_start()), or
 * failed to read the table since this VM started. */
bool table_watch_wants_copy(const struct table_watch *table_watch);

/** Extends the wait for a copy, if the watch still waits, until wait_s seconds
 * from now. */
void table_watch_extend_copy_wait(struct table_watch *table_watch,
				  double wait_s);

/**
 * Returns all rows, for a VM that wants a copy.
 *
 * @param copy set on success; the caller frees copy->rows with g_free(). The
 *        watch owns what they refer to until it runs again
 * @return false when the watch has not read the table
 */
bool table_watch_copy(const struct table_watch *table_watch,
		      struct table_delta *copy);

/** Replaces the table by another VM's copy, unless the watch doesn't wait for
 * one. */
void table_watch_apply_copy(struct table_watch *table_watch,
			    const struct table_delta *copy);

/** What other VMs do for this one. */
enum table_watch_peers {
	/** None is live. */
	TABLE_WATCH_NO_PEERS,
	/** One watches the store, which doesn't answer it. */
	TABLE_WATCH_PEERS_WAIT,
	/** One is live and relays changes. */
	TABLE_WATCH_PEERS_RELAY,
};

/**
 * Sets what other VMs do, and the newest row version that they have seen; to be
 * called about every 50 ms. If the watch goes on missing changes up to it, it
 * assumes that its pending call was lost, and calls the store again.
 *
 * @param version result of table_watch_row_version() on another VM. It counts
 *        until the store answers a later call with a lower version
 */
void table_watch_set_peers(struct table_watch *table_watch,
			   enum table_watch_peers peers, uint64_t version);

/** Returns the newest version of table_watch_set_peers() that the store hasn't
 * refuted. */
uint64_t table_watch_peers_version(const struct table_watch *table_watch);

/** Whether no VM has seen a newer row for a second or more, until now or until
 * less than a second ago: the store may have failed all of them, not only this
 * one. */
bool table_watch_was_quiet(const struct table_watch *table_watch);

/** Sets the log that gets a line for each decision; until then there are none.
 */
void table_watch_set_log(struct table_watch *table_watch,
			 struct event_log *log);

/** What a watch has done since it was created. */
struct table_watch_counts {
	/** Reads of the whole table. */
	uint64_t snapshots;
	/** Calls that fetch what was not relayed, also by a read. */
	uint64_t catch_ups;
	/** Relayed changes that don't follow those that the watch has. */
	uint64_t gaps;
	/** Calls that were taken for lost before they timed out. */
	uint64_t given_up;
	/** Rows that were ignored, because a newer version is known. */
	uint64_t older_rows;
	/** Rows that the store lost when it came back from an older copy and
	 * that were kept, and restored rows that were ignored. */
	uint64_t kept_rows;
	uint64_t restored_rows;
};

/** Returns the counts, which the watch owns. */
const struct table_watch_counts *
table_watch_counts(const struct table_watch *table_watch);

/** Whether the last call to the store, or those of the VMs that this one relies
 * on, were not answered. */
bool table_watch_unreachable(const struct table_watch *table_watch);

/** Returns the version up to which the watch has applied all changes. */
uint64_t table_watch_version(const struct table_watch *table_watch);

/** Whether the watch has applied all changes up to a version. Having seen a row
 * of this version isn't enough: the pages of a snapshot show newer rows before
 * older ones. */
bool table_watch_has(const struct table_watch *table_watch, uint64_t version);

/** Returns the newest row version that this watch has seen. */
uint64_t table_watch_row_version(const struct table_watch *table_watch);

/** Sets the number of VMs. The more there are, the longer a passive watch waits
 * before it calls a store again that did not answer. */
void table_watch_set_vms(struct table_watch *table_watch, unsigned int vms);

/** Whether a watch polls the store while other VMs are live. */
enum table_watch_mode {
	/** Polls for changes and relays them to the other VMs. */
	TABLE_WATCH_LEADER,
	/** Polls as well, to notice changes that the leader missed. */
	TABLE_WATCH_BACKUP,
	/** A backup that relays changes because the leader isn't heard. */
	TABLE_WATCH_RELAY,
	/** Does not poll as long as other VMs relay the changes. */
	TABLE_WATCH_PASSIVE,
};

/**
 * Sets the mode that applies while other VMs are live; initially
 * TABLE_WATCH_LEADER.
 */
void table_watch_set_mode(struct table_watch *table_watch,
			  enum table_watch_mode mode);

/**
 * Applies changes that another VM relayed. If earlier changes are missing, asks
 * the store for them instead.
 */
void table_watch_apply_delta(struct table_watch *table_watch,
			     const struct table_delta *changes);

/** Waits for changes that another VM sends in parts before asking the store for
 * them.
 *
 * @param wait_s seconds from now */
void table_watch_expect_changes(struct table_watch *table_watch, double wait_s);

/**
 * Returns the most recent changes, for relaying to other VMs. The watch owns
 * the rows; they are valid until it applies another change or is asked again.
 */
struct table_delta table_watch_recent_delta(struct table_watch *table_watch);

/** Whether the first snapshot is complete. */
bool table_watch_loaded(const struct table_watch *table_watch);

#endif
