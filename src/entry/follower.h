/**
 * Follows one table of the store: reads it whole, then waits for changes, and
 * reads it whole again when changes were missed.
 */
#ifndef ENTRY_FOLLOWER_H
#define ENTRY_FOLLOWER_H

#include "net/loop.h"
#include "store/store.h"

struct follower;

/** All changes after one version, up to another. */
struct follower_changes {
	uint64_t after;
	uint64_t upto;
	const struct store_row *rows;
	size_t count;
};

struct follower_ops {
	/** The table has few rows, which may be large: it is read whole to
	 * catch up, since a feed repeats a row for each of its changes. */
	bool few_rows;
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

struct follower *follower_create(struct loop *loop, const struct store *store,
				 const char *table,
				 const struct follower_ops *ops, void *ctx);
void follower_destroy(struct follower *follower);

/** Begins to read. */
void follower_start(struct follower *follower);

/**
 * Tells how far others have read: if they know of a newer row, the call that
 * waits for changes was lost and is made again.
 *
 * @param version as follower_row_version() of another VM; 0: nobody is heard,
 *        so calls must wait for short times only
 */
void follower_hint(struct follower *follower, uint64_t version);

/** Version of the newest row of the table that is known. */
uint64_t follower_row_version(const struct follower *follower);

enum follower_duty {
	/** Others depend on what is read here. */
	FOLLOWER_LEADS,
	/** Finds out whether whoever passes changes on misses some. */
	FOLLOWER_WATCHES,
	/** No call waits here for changes as long as others pass them on. */
	FOLLOWER_LISTENS,
};

/** Sets what a follower does while others are heard; at first it leads. */
void follower_set_duty(struct follower *follower, enum follower_duty duty);

/**
 * Takes changes that another VM passes on. One that misses earlier ones asks
 * the store for them.
 */
void follower_pass(struct follower *follower,
		   const struct follower_changes *changes);

/** The newest changes, to be passed on; rows are the follower's. */
struct follower_changes follower_recent(struct follower *follower);

/** Whether the table was read whole once. */
bool follower_loaded(const struct follower *follower);

#endif
