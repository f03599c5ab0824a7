#include "store/store_calls.h"

#include <glib.h>

struct store_calls {
	struct metrics *metrics;
	/** Counters (struct counter) by their labels. */
	GHashTable *counters;
};

struct store_calls *store_calls_create(struct metrics *metrics)
{
	struct store_calls *calls = g_new0(struct store_calls, 1);

	calls->metrics = metrics;
	calls->counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return calls;
}

void store_calls_destroy(struct store_calls *calls)
{
	if (!calls)
		return;
	g_hash_table_destroy(calls->counters);
	g_free(calls);
}

void store_calls_count(struct store_calls *calls, const char *table,
		       const char *reason)
{
	struct counter *counter;
	char *labels;

	if (!calls)
		return;
	labels = g_strdup_printf("table=\"%s\",reason=\"%s\"", table, reason);
	counter = g_hash_table_lookup(calls->counters, labels);
	if (counter) {
		g_free(labels);
	} else {
		counter = metrics_counter(calls->metrics,
					  "auburn_store_calls_total", labels,
					  "Calls to the store.");
		g_hash_table_insert(calls->counters, labels, counter);
	}
	counter_add(counter, 1);
}
