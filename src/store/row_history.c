#include "store/row_history.h"

#include <string.h>

#include "base/hash.h"

/* Time, in seconds, for which a state is kept. */
#define KEEP_S 60.0
/* Most states that are kept, so that a table that changes without pause takes a
 * few megabytes. */
#define STATES_MAX 65536

/* A state, by a hash of its key, version and value. */
struct state {
	gint64 hash;
	double superseded_s;
};

struct row_history {
	/** States (struct state) by hash; the queue owns them. */
	GHashTable *states;
	/** The same, oldest first. */
	GQueue order;
};

struct row_history *row_history_create(void)
{
	struct row_history *history = g_new0(struct row_history, 1);

	history->states = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&history->order);
	return history;
}

void row_history_destroy(struct row_history *history)
{
	if (!history)
		return;
	g_hash_table_destroy(history->states);
	g_queue_clear_full(&history->order, g_free);
	g_free(history);
}

static struct str value_of(const struct store_row *row)
{
	return row->value ? (struct str){ row->value->str, row->value->len }
			  : STR("");
}

static gint64 hash_row(const struct store_row *row)
{
	uint64_t hash = hash_seeded(str_from(row->key),
				    store_version_own(row->version));

	return (gint64)hash_seeded(value_of(row), hash);
}

static void drop_oldest(struct row_history *history)
{
	struct state *state = g_queue_pop_head(&history->order);

	/* The same state may have been superseded again. */
	if (g_hash_table_lookup(history->states, &state->hash) == state)
		g_hash_table_remove(history->states, &state->hash);
	g_free(state);
}

static void expire(struct row_history *history, double now_s)
{
	const struct state *oldest;

	while ((oldest = g_queue_peek_head(&history->order)) &&
	       (now_s > oldest->superseded_s + KEEP_S ||
		history->order.length > STATES_MAX))
		drop_oldest(history);
}

void row_history_add(struct row_history *history, const struct store_row *row,
		     double now_s)
{
	struct state *state = g_new0(struct state, 1);

	state->hash = hash_row(row);
	state->superseded_s = now_s;
	g_queue_push_tail(&history->order, state);
	g_hash_table_replace(history->states, &state->hash, state);
	expire(history, now_s);
}

bool row_history_has(struct row_history *history, const struct store_row *row,
		     double now_s)
{
	gint64 hash = hash_row(row);

	expire(history, now_s);
	return g_hash_table_contains(history->states, &hash);
}

bool row_is_same_state(const struct store_row *a, const struct store_row *b)
{
	return !strcmp(a->key, b->key) && a->removed == b->removed &&
	       store_version_own(a->version) == store_version_own(b->version) &&
	       str_equal(value_of(a), value_of(b));
}
