/**
 * Client of the platform's transactional table (a versioned key-value store).
 * Calls don't block. The callback of each call runs exactly once, at the times
 * described at http_client_start().
 */
#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/http_client.h"
#include "platform/table_defs.h"

/** As if_version: write whatever the row's version is, and also if the row does
 * not exist. */
#define TABLE_ANY_VERSION UINT64_MAX
/** As if_version: write only if the row does not exist. */
#define TABLE_IF_ABSENT 0

/** The result of a call on one row. */
struct table_result {
	enum table_status status;
	/** Version of the row after the call; 0 when unknown. */
	uint64_t version;
	/** The row's value after a read or a conflict; valid during the
	 * callback. */
	struct str value;
};

/** What an operation of a batch does with its row. */
enum table_op_kind {
	TABLE_OP_GET,
	TABLE_OP_PUT,
	TABLE_OP_DELETE,
};

/** One operation of a batch. */
struct table_op {
	enum table_op_kind kind;
	struct str key;
	/** Condition for put and delete, as in table_put(). */
	uint64_t if_version;
	/** New value in UTF-8; for put only. */
	struct str value;
};

/** Receives the result of table_get() or table_put(). */
typedef void (*table_done_fn)(void *ctx, const struct table_result *result);
/** Receives the results of table_batch(): one for each operation, in their
 * order; valid during the call. */
typedef void (*table_batch_fn)(void *ctx, const struct table_result *results,
			       size_t count);
/** Receives the reply to table_list() or table_vms(): body is its JSON, empty
 * unless status is TABLE_OK. */
typedef void (*table_text_fn)(void *ctx, enum table_status status,
			      struct str body);

/** A client of the table. */
struct table;

/**
 * Creates a client of the table.
 *
 * @param http carries the calls; must outlive the client
 * @param address the platform's "IPv4:port"
 * @param timeout_us time limit of one call
 */
struct table *table_create(struct http_client *http, const char *address,
			   int64_t timeout_us);

/** Frees the client; its calls must have ended. NULL is ignored. */
void table_destroy(struct table *table);

/** Reads one row. */
void table_get(struct table *table, struct str key, table_done_fn done,
	       void *ctx);

/**
 * Writes one row.
 *
 * @param if_version version that the row must have, TABLE_IF_ABSENT or
 *        TABLE_ANY_VERSION; otherwise the status is TABLE_CONFLICT
 */
void table_put(struct table *table, struct str key, uint64_t if_version,
	       struct str value, table_done_fn done, void *ctx);

/** Runs several operations in one call. They are not one transaction. */
void table_batch(struct table *table, const struct table_op *ops, size_t count,
		 table_batch_fn done, void *ctx);

/** Lists the rows whose keys begin with a prefix. docs/protocols.md describes
 * the JSON. */
void table_list(struct table *table, struct str prefix, table_text_fn done,
		void *ctx);

/** Reads the platform's VM list as JSON. The list may be out of date. */
void table_vms(struct table *table, table_text_fn done, void *ctx);

#endif
