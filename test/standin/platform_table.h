/**
 * Rows with versions, changed by compare-and-set. Not thread safe.
 */
#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** if_version of a change that is made whatever the row holds. */
#define TABLE_ANY_VERSION (-1)

struct table_row {
	int64_t version;
	GBytes *value;
};

enum table_status {
	TABLE_OK,
	/** The row is at another version, or exists when it should not. */
	TABLE_CONFLICT,
	TABLE_ABSENT,
};

struct table;

struct table *table_create(void);
void table_destroy(struct table *table);

/** Tells whether a key holds only letters, digits and "/._-". */
bool table_key_valid(const char *key);

/**
 * Finds a row.
 *
 * @return the row, or NULL; it belongs to the table
 */
const struct table_row *table_get(const struct table *table, const char *key);

/**
 * Writes a row.
 *
 * @param if_version version the row must have; 0: it must not exist
 * @param version set to the row's new version
 */
enum table_status table_put(struct table *table, const char *key,
			    int64_t if_version, struct str value,
			    int64_t *version);

/** Deletes a row; if_version as in table_put(). */
enum table_status table_delete(struct table *table, const char *key,
			       int64_t if_version);

typedef void (*table_visitor)(void *ctx, const char *key,
			      const struct table_row *row);

/** Visits the rows whose key begins with a prefix, in the keys' order. */
void table_list(struct table *table, const char *prefix, table_visitor visit,
		void *ctx);

/** The number of rows. */
size_t table_count(const struct table *table);

#endif
