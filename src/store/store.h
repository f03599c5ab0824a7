/**
 * The platform's table service as the product uses it. An adapter fills the
 * operations; nothing here blocks. Answers come from the event loop, never
 * from within the call.
 */
#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

struct store_row {
	char *key;
	GString *value;
	/** Of the transaction that wrote it; grows with every change. */
	uint64_t version;
	/** The row is no more. */
	bool removed;
};

enum store_status {
	STORE_OK,
	/** A condition did not hold: nothing was done. */
	STORE_CONFLICT,
	/** The changes asked for are no longer kept. */
	STORE_HISTORY_GONE,
	/** Refused: nothing was done. */
	STORE_REFUSED,
	/** No answer: it may have been done, or may yet be. */
	STORE_UNKNOWN,
};

struct store_result {
	enum store_status status;
	/** Rows read, changed, or those that broke a condition. */
	const struct store_row *rows;
	size_t row_count;
	/** Newest version, when status is STORE_OK. */
	uint64_t version;
	/** More rows follow the last one. */
	bool more;
	/** The store's steady clock when it answered; 0: not said. */
	double now_s;
};

typedef void (*store_done_fn)(void *ctx, const struct store_result *result);

/** A write of one row under a condition. */
struct store_write {
	const char *table;
	const char *key;
	/** Version that the row must have; 0: it must not exist. */
	uint64_t expect;
	/** Written whatever the row holds. */
	bool unconditional;
	struct str value;
};

struct store_ops {
	/** Reads a table's rows with keys from a key on; "" for all. */
	void (*read)(void *impl, const char *table, const char *from,
		     store_done_fn done, void *ctx);
	/** Waits for changes of a table after a version. */
	void (*follow)(void *impl, const char *table, uint64_t after,
		       double wait_s, store_done_fn done, void *ctx);
	void (*write)(void *impl, const struct store_write *write,
		      double timeout_s, store_done_fn done, void *ctx);
	/** Whether an answer to a context's calls is receiving: a large one
	 * takes its time on a slow link. */
	bool (*receiving)(void *impl, void *ctx);
	/** Breaks off the calls of a context; they are not answered. */
	void (*cancel)(void *impl, void *ctx);
};

struct store {
	const struct store_ops *ops;
	void *impl;
};

#endif
