/* The store comes back from an older copy of itself: writes since the copy are
 * lost, and versions are given out again. What the operator and the upstreams
 * wrote is written again after a while. */
#include "site.h"

/* Time, in seconds, from the store's return until lost rows of the operator and
 * of upstreams are written again, unless they were written since. */
#define REWRITE_S 2.0

/* A change of a row. */
struct change {
	/** Loop time of the change. */
	double at_s;
	char *table;
	char *key;
	/** Value in Base64; NULL: the row was removed. */
	char *value;
	guint64 version;
};

/* A lost change that its writer repeats. */
struct rewrite {
	double due_s;
	struct change change;
};

struct site_history {
	/** All changes (struct change), oldest first. */
	GArray *changes;
	/** Lost changes (struct rewrite) in the order in which they are due. */
	GQueue rewrites;
};

static void clear_change(gpointer data)
{
	struct change *change = data;

	g_free(change->table);
	g_free(change->key);
	g_free(change->value);
}

struct site_history *site_history_create(void)
{
	struct site_history *history = g_new0(struct site_history, 1);

	history->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	g_array_set_clear_func(history->changes, clear_change);
	g_queue_init(&history->rewrites);
	return history;
}

void site_history_note(struct site *site, const char *table, const char *key,
		       const char *value)
{
	struct change change = {
		.at_s = loop_now(&site->loop),
		.table = g_strdup(table),
		.key = g_strdup(key),
		.value = g_strdup(value),
		.version = site->version,
	};

	g_array_append_val(site->history->changes, change);
}

/* Whether the writer of a table is outside the system. */
static bool is_rewritten(const char *table)
{
	return !strcmp(table, "op") || !strcmp(table, "servers");
}

/* Returns the change of a row that is to be repeated already, or NULL. */
static GList *find_rewrite(const struct site *site, const struct change *change)
{
	GList *node;

	for (node = site->history->rewrites.head; node; node = node->next) {
		const struct rewrite *rewrite = node->data;

		if (!strcmp(rewrite->change.table, change->table) &&
		    !strcmp(rewrite->change.key, change->key))
			return node;
	}
	return NULL;
}

/* Has a writer repeat a lost change, unless it repeats a later one. */
static void plan_rewrite(struct site *site, const struct change *change)
{
	GList *node = find_rewrite(site, change);
	struct rewrite *rewrite;

	if (node) {
		rewrite = node->data;
		if (rewrite->change.at_s > change->at_s)
			return;
		clear_change(&rewrite->change);
		g_free(rewrite);
		g_queue_delete_link(&site->history->rewrites, node);
	}
	rewrite = g_new0(struct rewrite, 1);
	rewrite->due_s = loop_now(&site->loop) + REWRITE_S;
	rewrite->change = *change;
	rewrite->change.table = g_strdup(change->table);
	rewrite->change.key = g_strdup(change->key);
	rewrite->change.value = g_strdup(change->value);
	g_queue_push_tail(&site->history->rewrites, rewrite);
}

/* Has the writers of lost changes repeat the last one of each row. */
static void plan_rewrites(struct site *site, guint first)
{
	const GArray *changes = site->history->changes;
	guint i;

	for (i = first; i < changes->len; i++) {
		const struct change *change =
			&g_array_index(changes, struct change, i);

		if (is_rewritten(change->table))
			plan_rewrite(site, change);
	}
}

void site_restore(struct site *site, double age_s)
{
	GArray *changes = site->history->changes;
	double until_s = loop_now(&site->loop) - age_s;
	guint64 version = site->version;
	guint kept = 0, i;

	while (kept < changes->len &&
	       g_array_index(changes, struct change, kept).at_s <= until_s)
		kept++;
	plan_rewrites(site, kept);
	g_array_set_size(changes, kept);
	site_store_clear(site);
	for (i = 0; i < kept; i++) {
		const struct change *change =
			&g_array_index(changes, struct change, i);

		site->version = change->version;
		site_store_load(site, change->table, change->key,
				change->value);
	}
	site->era++;
	site_event(site,
		   "restored %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		   " %" G_GUINT64_FORMAT,
		   site->era, version, site->version);
}

/* Whether the store has a later change of the same row. */
static bool is_superseded(const struct site *site, const struct change *change)
{
	const GArray *changes = site->history->changes;
	guint i;

	for (i = changes->len; i > 0; i--) {
		const struct change *other =
			&g_array_index(changes, struct change, i - 1);

		if (other->at_s <= change->at_s)
			return false;
		if (!strcmp(other->table, change->table) &&
		    !strcmp(other->key, change->key))
			return true;
	}
	return false;
}

void site_restore_tick(struct site *site)
{
	GQueue *rewrites = &site->history->rewrites;
	struct rewrite *rewrite;

	while (!site->store_down && (rewrite = g_queue_peek_head(rewrites)) &&
	       rewrite->due_s <= loop_now(&site->loop)) {
		const struct change *change = &rewrite->change;

		g_queue_pop_head(rewrites);
		if (!is_superseded(site, change))
			site_write_row(site, change->table, change->key,
				       change->value);
		clear_change(&rewrite->change);
		g_free(rewrite);
	}
}
