/**
 * In-memory table of versioned rows with compare-and-set. Not thread safe.
 */
#ifndef PLATFORM_ROWS_H
#define PLATFORM_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** if_version of an unconditional write. */
#define ROWS_ANY_VERSION (-1)

/** A row's value with its version: 1 when the key is first written, one higher
 * with each further write. */
struct row {
	int64_t version;
	GBytes *value;
};

/** Result of an operation on a row. */
enum rows_status {
	ROWS_OK,
	/** The row's version is not if_version, or if_version is 0 and the row
	 * exists. */
	ROWS_CONFLICT,
	/** The row to read or delete does not exist. */
	ROWS_ABSENT,
};

/** The table: rows by key. */
struct rows;

/** Creates an empty table; rows_destroy() frees it. */
struct rows *rows_create(void);
void rows_destroy(struct rows *table);

/** Returns whether a key is valid: one or more ASCII letters, digits or
 * characters of "/._-". */
bool rows_key_valid(const char *key);

/** Returns the row of a key, owned by the table and valid until the row is
 * written or deleted; NULL when it does not exist. */
const struct row *rows_get(const struct rows *table, const char *key);

/**
 * Writes a row.
 *
 * @param if_version version that the row must have; 0: it must not exist;
 *                   ROWS_ANY_VERSION: no condition
 * @param version set to the row's new version on ROWS_OK
 * @return ROWS_OK or ROWS_CONFLICT
 */
enum rows_status rows_put(struct rows *table, const char *key,
			  int64_t if_version, struct str value,
			  int64_t *version);

/** Deletes a row; if_version as in rows_put(). A missing row is a ROWS_CONFLICT
 * if if_version names a version, otherwise ROWS_ABSENT. */
enum rows_status rows_delete(struct rows *table, const char *key,
			     int64_t if_version);

/** Called by rows_list() for each row; must not change the table. */
typedef void (*rows_visitor)(void *ctx, const char *key, const struct row *row);

/** Visits the rows whose keys begin with a prefix, in key order. */
void rows_list(struct rows *table, const char *prefix, rows_visitor visit,
	       void *ctx);

/** Returns the number of rows. */
size_t rows_count(const struct rows *table);

#endif
