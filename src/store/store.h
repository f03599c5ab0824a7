/**
 * Interface to the external table store. An adapter implements the operations.
 * No operation blocks. Results are delivered by the event loop, never from
 * within the call that asked for them.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "store/store_era.h"

/** A row of a table. */
struct store_row {
	char *key;
	GString *value;
	/**
	 * Version of the transaction that wrote the row; it grows with every
	 * change. It holds the era of the answer, see store_era.h.
	 */
	uint64_t version;
	/** The row was deleted. */
	bool removed;
};

/** How a call ended. */
enum store_status {
	STORE_OK,
	/** The condition of a write did not hold; nothing was written. */
	STORE_CONFLICT,
	/** The store no longer keeps the requested changes, they are too large
	 * for an answer, or the version is of an earlier era. */
	STORE_HISTORY_GONE,
	/** The store refused the call; nothing was done. */
	STORE_REFUSED,
	/**
	 * No answer came: the call may have taken effect, or may still do so.
	 */
	STORE_UNKNOWN,
};

/** Result of a call; owned by the store and valid during store_done_fn. */
struct store_result {
	enum store_status status;
	/** Rows that were read or changed, or that violated a condition. */
	const struct store_row *rows;
	size_t row_count;
	/** Newest version of the store; set with STORE_OK and STORE_CONFLICT
	 * only. */
	uint64_t version;
	/** The result was cut off: more rows follow the last one. */
	bool more;
	/**
	 * Time of the answer on the store's monotonic clock, in seconds; 0: not
	 * reported.
	 */
	double now_s;
};

/**
 * Returns the first key to read on from after a page of a table.
 *
 * @return the key, which the caller frees, or NULL after the last page
 */
char *store_result_next_key(const struct store_result *result);

/** Called once when a call has ended, unless the call was cancelled. */
typedef void (*store_done_fn)(void *ctx, const struct store_result *result);

/** A conditional write of one row. */
struct store_write {
	const char *table;
	const char *key;
	/**
	 * Version that the row must have for the write to succeed; 0: it must
	 * not exist.
	 */
	uint64_t expect;
	/** The row is written whatever its version is. */
	bool unconditional;
	struct str value;
};

/** Operations of a store. impl is the store's; ctx is passed to done and
 * identifies the call for receiving() and cancel(). */
struct store_ops {
	/**
	 * Reads a table's rows in key order.
	 *
	 * @param from first key to read; "" reads from the start
	 */
	void (*read)(void *impl, const char *table, const char *from,
		     store_done_fn done, void *ctx);
	/**
	 * Long poll: waits up to wait_s seconds for changes of a table after a
	 * version; with 0, returns the known changes at once. Ends with
	 * STORE_HISTORY_GONE if the version is of another era.
	 */
	void (*follow)(void *impl, const char *table, uint64_t after,
		       double wait_s, store_done_fn done, void *ctx);
	/**
	 * Writes a row; the result is STORE_UNKNOWN if no answer comes within
	 * timeout_s seconds. The condition doesn't hold the era: in a later one
	 * it may be met by chance.
	 */
	void (*write)(void *impl, const struct store_write *write,
		      double timeout_s, store_done_fn done, void *ctx);
	/**
	 * Returns whether an answer to a call of a context is being received; a
	 * large answer takes time on a slow link.
	 */
	bool (*receiving)(void *impl, void *ctx);
	/** Cancels a context's calls; their done functions are not called. */
	void (*cancel)(void *impl, void *ctx);
};

/** A store: its operations and the implementation that they work on. */
struct store {
	const struct store_ops *ops;
	void *impl;
	/** Counts the calls; NULL: they aren't counted. */
	struct store_calls *calls;
	/** What the answers showed of the store's era; NULL: unknown. */
	struct store_era *era;
};

#endif
