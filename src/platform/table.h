/**
 * The platform's transactional table, as a client. Calls don't block; each
 * calls back exactly once from http_client_run().
 */
#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/http_client.h"
#include "platform/table_defs.h"

/** Write whatever version the row has. */
#define TABLE_ANY_VERSION UINT64_MAX
/** Write only if there is no row. */
#define TABLE_IF_ABSENT 0

struct table_result {
	enum table_status status;
	/** Version of the row after the call, where known. */
	uint64_t version;
	/** The row's value after a read or a conflict. */
	struct str value;
};

enum table_op_kind {
	TABLE_OP_GET,
	TABLE_OP_PUT,
	TABLE_OP_DELETE,
};

/** One row's part in a batch. */
struct table_op {
	enum table_op_kind kind;
	struct str key;
	uint64_t if_version;
	/** Text in UTF-8; put only. */
	struct str value;
};

typedef void (*table_done_fn)(void *ctx, const struct table_result *result);
/** results has as many members as the batch had operations. */
typedef void (*table_batch_fn)(void *ctx, const struct table_result *results,
			       size_t count);
/** body is the answer's JSON, empty when the platform can't be reached. */
typedef void (*table_text_fn)(void *ctx, enum table_status status,
			      struct str body);

struct table;

/**
 * Creates a client.
 *
 * @param http lives as long as the client
 * @param address the platform's "IPv4:port"
 * @param timeout_us longest time of one call
 */
struct table *table_create(struct http_client *http, const char *address,
			   int64_t timeout_us);

/** Frees the client; calls in progress must have ended. */
void table_destroy(struct table *table);

/** Reads one row. */
void table_get(struct table *table, struct str key, table_done_fn done,
	       void *ctx);

/**
 * Writes one row.
 *
 * @param if_version version it must have, TABLE_IF_ABSENT or TABLE_ANY_VERSION
 */
void table_put(struct table *table, struct str key, uint64_t if_version,
	       struct str value, table_done_fn done, void *ctx);

/** Carries out several operations, each on its own. */
void table_batch(struct table *table, const struct table_op *ops, size_t count,
		 table_batch_fn done, void *ctx);

/** Lists rows by the prefix of their keys, as docs/protocols.md says. */
void table_list(struct table *table, struct str prefix, table_text_fn done,
		void *ctx);

/** Reads the platform's lagging list of VMs as JSON. */
void table_vms(struct table *table, table_text_fn done, void *ctx);

#endif
