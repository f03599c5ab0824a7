/**
 * Follows one table of the store: reads it whole, then waits for changes, and
 * reads it whole again when changes were missed.
 */
#ifndef ENTRY_TABLE_WATCH_H
#define ENTRY_TABLE_WATCH_H

#include "net/loop.h"
#include "store/store.h"

struct table_watch;

/** All changes after one version, up to another. */
struct table_delta {
	uint64_t after;
	uint64_t upto;
	const struct store_row *rows;
	size_t count;
};

struct table_watch_ops {
	/** The table has few rows, which may be large: it is read whole to
	 * catch up, since a feed repeats a row for each of its changes. */
	bool catch_up_by_snapshot;
	/** A row as it stands now. */
	void (*row)(void *ctx, const struct store_row *row);
	/** A row is no more. */
	void (*removed)(void *ctx, const char *key);
	/** The store told of changes, which can be passed on. */
	void (*changed)(void *ctx);
	/** The whole table was read. */
	void (*loaded)(void *ctx);
	/** The store does not answer, or answers again. */
	void (*contact)(void *ctx, bool lost);
};

struct table_watch *table_watch_create(struct loop *loop,
				       const struct store *store,
				       const char *table,
				       const struct table_watch_ops *ops,
				       void *ctx);
void table_watch_destroy(struct table_watch *table_watch);

/** Begins to read. */
void table_watch_start(struct table_watch *table_watch);

/**
 * Tells how far others have read: if they know of a newer row, the call that
 * waits for changes was lost and is made again.
 *
 * @param version as table_watch_row_version() of another VM; 0: nobody is
 * heard, so calls must wait for short times only
 */
void table_watch_note_peer_version(struct table_watch *table_watch,
				   uint64_t version);

/** Version of the newest row of the table that is known. */
uint64_t table_watch_row_version(const struct table_watch *table_watch);

enum table_watch_mode {
	/** Others depend on what is read here. */
	TABLE_WATCH_LEADER,
	/** Finds out whether whoever passes changes on misses some. */
	TABLE_WATCH_BACKUP,
	/** No call waits here for changes as long as others pass them on. */
	TABLE_WATCH_PASSIVE,
};

/** Sets what a table_watch does while others are heard; at first it leads. */
void table_watch_set_mode(struct table_watch *table_watch,
			  enum table_watch_mode duty);

/**
 * Takes changes that another VM passes on. One that misses earlier ones asks
 * the store for them.
 */
void table_watch_apply_delta(struct table_watch *table_watch,
			     const struct table_delta *changes);

/** The newest changes, to be passed on; rows are the table_watch's. */
struct table_delta table_watch_recent_delta(struct table_watch *table_watch);

/** Whether the table was read whole once. */
bool table_watch_loaded(const struct table_watch *table_watch);

#endif
