#include "platform_table.h"

#include <string.h>

struct table {
	GTree *rows;
	/* Versions of deleted keys go on counting, so none comes twice. */
	GHashTable *deleted;
};

static void free_row(gpointer data)
{
	struct table_row *row = data;

	g_bytes_unref(row->value);
	g_free(row);
}

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
	(void)data;
	return strcmp(a, b);
}

struct table *table_create(void)
{
	struct table *table = g_new0(struct table, 1);

	table->rows = g_tree_new_full(compare_keys, NULL, g_free, free_row);
	table->deleted =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return table;
}

void table_destroy(struct table *table)
{
	g_tree_unref(table->rows);
	g_hash_table_unref(table->deleted);
	g_free(table);
}

bool table_key_valid(const char *key)
{
	const char *p;

	for (p = key; *p; p++)
		if (!g_ascii_isalnum(*p) && !strchr("/._-", *p))
			return false;
	return *key != '\0';
}

const struct table_row *table_get(const struct table *table, const char *key)
{
	return g_tree_lookup(table->rows, key);
}

static enum table_status check_version(const struct table_row *row,
				       int64_t if_version)
{
	if (if_version == TABLE_ANY_VERSION)
		return TABLE_OK;
	if (if_version == 0)
		return row ? TABLE_CONFLICT : TABLE_OK;
	return row && row->version == if_version ? TABLE_OK : TABLE_CONFLICT;
}

static int64_t last_version(struct table *table, const char *key,
			    const struct table_row *row)
{
	const int64_t *deleted;

	if (row)
		return row->version;
	deleted = g_hash_table_lookup(table->deleted, key);
	return deleted ? *deleted : 0;
}

enum table_status table_put(struct table *table, const char *key,
			    int64_t if_version, struct str value,
			    int64_t *version)
{
	const struct table_row *old = table_get(table, key);
	enum table_status status = check_version(old, if_version);
	struct table_row *row;

	if (status != TABLE_OK)
		return status;
	row = g_new0(struct table_row, 1);
	row->version = last_version(table, key, old) + 1;
	row->value = g_bytes_new(value.data, value.len);
	g_tree_replace(table->rows, g_strdup(key), row);
	*version = row->version;
	return TABLE_OK;
}

enum table_status table_delete(struct table *table, const char *key,
			       int64_t if_version)
{
	const struct table_row *row = table_get(table, key);
	enum table_status status = check_version(row, if_version);

	if (!row)
		return if_version > 0 ? TABLE_CONFLICT : TABLE_ABSENT;
	if (status != TABLE_OK)
		return status;
	g_hash_table_replace(table->deleted, g_strdup(key),
			     g_memdup2(&row->version, sizeof(row->version)));
	g_tree_remove(table->rows, key);
	return TABLE_OK;
}

void table_list(struct table *table, const char *prefix, table_visitor visit,
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

size_t table_count(const struct table *table)
{
	return (size_t)g_tree_nnodes(table->rows);
}
