/**
 * Rows with versions, changed by compare-and-set. Not thread safe.
 */
#ifndef PLATFORM_ROWS_H
#define PLATFORM_ROWS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** if_version of a change that is made whatever the row holds. */
#define ROWS_ANY_VERSION (-1)

struct row {
	int64_t version;
	GBytes *value;
};

enum rows_status {
	ROWS_OK,
	/** The row is at another version, or exists when it should not. */
	ROWS_CONFLICT,
	ROWS_ABSENT,
};

struct rows;

struct rows *rows_create(void);
void rows_destroy(struct rows *table);

/** Tells whether a key holds only letters, digits and "/._-". */
bool rows_key_valid(const char *key);

/**
 * Finds a row.
 *
 * @return the row, or NULL; it belongs to the table
 */
const struct row *rows_get(const struct rows *table, const char *key);

/**
 * Writes a row.
 *
 * @param if_version version the row must have; 0: it must not exist
 * @param version set to the row's new version
 */
enum rows_status rows_put(struct rows *table, const char *key,
			  int64_t if_version, struct str value,
			  int64_t *version);

/** Deletes a row; if_version as in rows_put(). */
enum rows_status rows_delete(struct rows *table, const char *key,
			     int64_t if_version);

typedef void (*rows_visitor)(void *ctx, const char *key, const struct row *row);

/** Visits the rows whose key begins with a prefix, in the keys' order. */
void rows_list(struct rows *table, const char *prefix, rows_visitor visit,
	       void *ctx);

/** The number of rows. */
size_t rows_count(const struct rows *table);

#endif
