#include <glib.h>

#include "base/hash.h"
#include "request/claim_row.h"

struct claim_batch {
	GPtrArray *claims;
	/** Operations of the claims, while the batch is under way. */
	GArray *ops;
	/** When the first claim was added. */
	int64_t first_us;
	/** The operations were handed out and have no results yet. */
	bool under_way;
};

struct claim_batch *claim_batch_create(void)
{
	struct claim_batch *batch = g_new0(struct claim_batch, 1);

	batch->claims = g_ptr_array_new();
	batch->ops = g_array_new(FALSE, FALSE, sizeof(struct table_op));
	return batch;
}

void claim_batch_destroy(struct claim_batch *batch)
{
	if (!batch)
		return;
	g_ptr_array_free(batch->claims, TRUE);
	g_array_free(batch->ops, TRUE);
	g_free(batch);
}

bool claim_batch_add(struct claim_batch *batch, struct claim *claim,
		     int64_t now_us)
{
	if (batch->under_way || batch->claims->len >= CLAIM_BATCH_MAX)
		return false;
	if (!batch->claims->len)
		batch->first_us = now_us;
	g_ptr_array_add(batch->claims, claim);
	return true;
}

int64_t claim_batch_due_us(const struct claim_batch *batch)
{
	if (batch->under_way || !batch->claims->len)
		return INT64_MAX;
	if (batch->claims->len >= CLAIM_BATCH_MAX)
		return batch->first_us;
	return batch->first_us + CLAIM_BATCH_US;
}

const struct table_op *claim_batch_ops(struct claim_batch *batch, size_t *count)
{
	guint i;

	for (i = 0; i < batch->claims->len; i++) {
		struct table_op op = { 0 };

		claim_next_op(g_ptr_array_index(batch->claims, i), &op);
		g_array_append_val(batch->ops, op);
	}
	batch->under_way = true;
	*count = batch->ops->len;
	return (const struct table_op *)(const void *)batch->ops->data;
}

void claim_batch_result(struct claim_batch *batch,
			const struct table_result *results, size_t count,
			int64_t wall_us)
{
	guint i;

	for (i = 0; i < batch->claims->len && i < count; i++)
		claim_handle_result(g_ptr_array_index(batch->claims, i),
				    &results[i], wall_us);
	g_ptr_array_set_size(batch->claims, 0);
	g_array_set_size(batch->ops, 0);
	batch->under_way = false;
}

/* Tells whether a row's text is that of an expired claim. */
static bool row_is_expired(struct str text, int64_t wall_us)
{
	struct claim_row_value row;
	bool expired;

	if (!claim_row_decode(text, &row))
		return false;
	expired = claim_row_expired(&row, wall_us);
	claim_row_clear(&row);
	return expired;
}

size_t claim_cleanup(const struct claim_row *rows, size_t count,
		     uint32_t router, uint32_t routers, int64_t wall_us,
		     struct table_op *ops, size_t max)
{
	size_t found = 0;
	size_t i;

	for (i = 0; i < count && found < max; i++) {
		if (hash_key(rows[i].key) % MAX(1, routers) != router)
			continue;
		if (!row_is_expired(rows[i].value, wall_us))
			continue;
		ops[found++] = (struct table_op){
			.kind = TABLE_OP_DELETE,
			.key = rows[i].key,
			.if_version = rows[i].version,
		};
	}
	return found;
}
