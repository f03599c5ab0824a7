#include "upstream/connection.h"

#include <glib.h>

#include "base/planted.h"

struct connection {
	uint64_t id;
	/* When the connection last made progress, was opened, or began or ended
	 * a request. */
	int64_t progress_us;
	bool in_use;
	/* No progress since another connection of the set fell silent. */
	bool suspect;
};

struct connection_set {
	GHashTable *by_id;
	uint32_t limit;
};

struct connection_set *connection_set_create(uint32_t limit)
{
	struct connection_set *set = g_new0(struct connection_set, 1);

	set->by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	set->limit = limit;
	return set;
}

void connection_set_destroy(struct connection_set *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->by_id);
	g_free(set);
}

static struct connection *find(struct connection_set *set, uint64_t id)
{
	return g_hash_table_lookup(set->by_id, &id);
}

static bool is_usable(const struct connection *c, int64_t now_us)
{
	if (c->in_use)
		return false;
	if (c->suspect && !injected(INJECTED_REUSE_SUSPECT_CONNECTION))
		return false;
	return now_us < c->progress_us + CONNECTION_IDLE_US;
}

/* Finds the usable idle connection with the latest progress. Sets *idle to any
 * idle connection, usable or not. */
static const struct connection *find_idle(struct connection_set *set,
					  int64_t now_us,
					  const struct connection **idle)
{
	const struct connection *best = NULL;
	struct connection *c;
	GHashTableIter iter;

	*idle = NULL;
	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&c)) {
		if (!c->in_use)
			*idle = c;
		if (!is_usable(c, now_us))
			continue;
		if (!best || c->progress_us > best->progress_us)
			best = c;
	}
	return best;
}

enum connection_choice connection_choose(struct connection_set *set,
					 bool idempotent, int64_t now_us,
					 uint64_t *connection)
{
	const struct connection *idle;
	const struct connection *best = find_idle(set, now_us, &idle);

	*connection = CONNECTION_NONE;
	if (idempotent && best) {
		*connection = best->id;
		return CONNECTION_REUSE;
	}
	if (g_hash_table_size(set->by_id) < set->limit)
		return CONNECTION_FRESH;
	if (!idle)
		return CONNECTION_WAIT;
	*connection = idle->id;
	return CONNECTION_FRESH;
}

void connection_opened(struct connection_set *set, uint64_t connection,
		       int64_t now_us)
{
	struct connection *c = g_new0(struct connection, 1);

	c->id = connection;
	c->progress_us = now_us;
	c->in_use = true;
	g_hash_table_replace(set->by_id, &c->id, c);
}

void connection_used(struct connection_set *set, uint64_t connection,
		     int64_t now_us)
{
	struct connection *c = find(set, connection);

	if (!c)
		return;
	c->in_use = true;
	c->progress_us = now_us;
}

void connection_progress(struct connection_set *set, uint64_t connection,
			 int64_t now_us)
{
	struct connection *c = find(set, connection);

	if (!c)
		return;
	c->progress_us = now_us;
	c->suspect = false;
}

bool connection_done(struct connection_set *set, uint64_t connection,
		     int64_t now_us)
{
	struct connection *c = find(set, connection);

	if (!c)
		return false;
	c->in_use = false;
	c->progress_us = now_us;
	return !c->suspect;
}

void connection_closed(struct connection_set *set, uint64_t connection)
{
	g_hash_table_remove(set->by_id, &connection);
}

/* Marks all other connections as suspect after one fell silent. Only progress
 * after this moment clears them. */
static void mark_siblings_suspect(struct connection_set *set,
				  const struct connection *silent,
				  int64_t now_us)
{
	struct connection *c;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&c))
		if (c != silent && c->progress_us < now_us)
			c->suspect = true;
}

uint64_t connection_expired(struct connection_set *set, int64_t stall_us,
			    int64_t now_us, bool *silent)
{
	struct connection *c;
	GHashTableIter iter;

	*silent = false;
	g_hash_table_iter_init(&iter, set->by_id);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&c)) {
		if (c->in_use && now_us >= c->progress_us + stall_us) {
			*silent = true;
			mark_siblings_suspect(set, c, now_us);
			return c->id;
		}
		if (!c->in_use && !is_usable(c, now_us))
			return c->id;
	}
	return CONNECTION_NONE;
}

size_t connection_count(const struct connection_set *set)
{
	return g_hash_table_size(set->by_id);
}
