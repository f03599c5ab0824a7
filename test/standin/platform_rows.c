#include "platform_rows.h"

#include <string.h>

struct rows {
	/* Maps each key to its struct row. */
	GTree *rows;
	/* Maps the key of each deleted row to its last version. A row that is
	 * created again continues from it, so that no version is used twice. */
	GHashTable *deleted;
};

static void free_row(gpointer data)
{
	struct row *row = data;

	g_bytes_unref(row->value);
	g_free(row);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct rows *rows_create(void)
{
	struct rows *table = g_new0(struct rows, 1);

	table->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	table->deleted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void rows_destroy(struct rows *table)
{
	g_tree_unref(table->rows);
	g_hash_table_unref(table->deleted);
	g_free(table);
}

bool rows_key_valid(const char *key)
{
	const char *p;

	for (p = key; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("/._-", *p))
			return false;
	return *key != '\0';
}

const struct row *rows_get(const struct rows *table, const char *key)
{
	return g_tree_lookup(table->rows, key);
}

/* Returns whether a row, NULL if it does not exist, meets the condition of a
 * write. */
static enum rows_status check_version(const struct row *row, int64_t if_version)
{
	if (if_version == ROWS_ANY_VERSION)
		return ROWS_OK;
	if (if_version == 0)
		return row ? ROWS_CONFLICT : ROWS_OK;
	return row && row->version == if_version ? ROWS_OK : ROWS_CONFLICT;
}

/* Returns the last version of a key, whose row is row or was deleted; 0 when
 * the key was never written. */
static int64_t last_version(struct rows *table, const char *key,
			    const struct row *row)
{
	const int64_t *deleted;

	if (row)
		return row->version;
	deleted = g_hash_table_lookup(table->deleted, key);
	return deleted ? *deleted : 0;
}

enum rows_status rows_put(struct rows *table, const char *key,
			  int64_t if_version, struct str value,
			  int64_t *version)
{
	const struct row *old = rows_get(table, key);
	enum rows_status status = check_version(old, if_version);
	struct row *row;

	if (status != ROWS_OK)
		return status;
	row = g_new0(struct row, 1);
	row->version = last_version(table, key, old) + 1;
	row->value = g_bytes_new(value.data, value.len);
	g_tree_replace(table->rows, g_strdup(key), row);
	*version = row->version;
	return ROWS_OK;
}

enum rows_status rows_delete(struct rows *table, const char *key,
			     int64_t if_version)
{
	const struct row *row = rows_get(table, key);
	enum rows_status status = check_version(row, if_version);

	if (!row)
		return if_version > 0 ? ROWS_CONFLICT : ROWS_ABSENT;
	if (status != ROWS_OK)
		return status;
	g_hash_table_replace(table->deleted, g_strdup(key),
			     g_memdup2(&row->version, sizeof(row->version)));
	g_tree_remove(table->rows, key);
	return ROWS_OK;
}

void rows_list(struct rows *table, const char *prefix, rows_visitor visit,
	       void *ctx)
{
	GTreeNode *node = g_tree_lower_bound(table->rows, prefix);

	for (; node; node = g_tree_node_next(node)) {
		const char *key = g_tree_node_key(node);

		if (!g_str_has_prefix(key, prefix))
			return;
		visit(ctx, key, g_tree_node_value(node));
	}
}

size_t rows_count(const struct rows *table)
{
	return (size_t)g_tree_nnodes(table->rows);
}
