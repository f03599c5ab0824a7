#include "cluster_events.h"

#include <string.h>

#include "base/clock.h"

/* Number of tab-separated fields of a line, in the order of struct event. */
#define FIELDS 10

struct events {
	/* struct event, by planned time. */
	GArray *list;
};

static void clear_event(gpointer data)
{
	struct event *event = data;

	g_free(event->service);
	g_free(event->load_id);
	g_free(event->idempotency_key);
	g_free(event->outcome);
	g_free(event->verdict);
	g_free(event->reason);
	g_free(event->upstream);
}

static void add_line(struct events *events, const char *line)
{
	char **f = g_strsplit(line, "\t", FIELDS);
	struct event event;

	if (g_strv_length(f) == FIELDS) {
		event = (struct event){
			.planned_us = g_ascii_strtoll(f[0], NULL, 10),
			.done_us = g_ascii_strtoll(f[1], NULL, 10),
			.service = g_strdup(f[2]),
			.key = (unsigned int)g_ascii_strtoull(f[3], NULL, 10),
			.load_id = g_strdup(f[4]),
			.idempotency_key = g_strdup(f[5]),
			.outcome = g_strdup(f[6]),
			.verdict = g_strdup(f[7]),
			.reason = g_strdup(f[8]),
			.upstream = g_strdup(f[9]),
		};
		g_array_append_val(events->list, event);
	}
	g_strfreev(f);
}

static gint compare_planned(gconstpointer a, gconstpointer b)
{
	const struct event *x = a, *y = b;

	return (x->planned_us > y->planned_us) -
	       (x->planned_us < y->planned_us);
}

struct events *events_load(const char *path)
{
	struct events *events;
	char *text = NULL;
	char **lines, **p;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return NULL;
	events = g_new0(struct events, 1);
	events->list = g_array_new(FALSE, FALSE, sizeof(struct event));
	g_array_set_clear_func(events->list, clear_event);
	lines = g_strsplit(text, "\n", -1);
	for (p = lines; *p; p++)
		add_line(events, *p);
	g_array_sort(events->list, compare_planned);
	g_strfreev(lines);
	g_free(text);
	return events;
}

void events_destroy(struct events *events)
{
	if (!events)
		return;
	g_array_unref(events->list);
	g_free(events);
}

size_t events_count(const struct events *events)
{
	return events->list->len;
}

const struct event *events_at(const struct events *events, size_t index)
{
	return &g_array_index(events->list, struct event, index);
}

unsigned int events_count_outcome(const struct events *events,
				  const char *outcome, const char *verdict)
{
	unsigned int count = 0;
	size_t i;

	for (i = 0; i < events_count(events); i++) {
		const struct event *e = events_at(events, i);

		count += !strcmp(e->outcome, outcome) &&
			 (!verdict || !strcmp(e->verdict, verdict));
	}
	return count;
}

static bool is_for_service(const struct event *event, const char *service)
{
	return !service || !strcmp(event->service, service);
}

static bool is_answered(const struct event *event)
{
	return !strcmp(event->outcome, "answered");
}

/* Updates the time for which the event's key has had no answer, and returns its
 * length up to the event's end. When no earlier request of the key is
 * unanswered, that is the event's own duration. starts maps "service/key" to
 * the planned time of the key's first unanswered request. */
static int64_t update_gap(GHashTable *starts, const struct event *event)
{
	char *key = g_strdup_printf("%s/%u", event->service, event->key);
	int64_t *start_us = g_hash_table_lookup(starts, key);
	int64_t gap_us = event->done_us - event->planned_us;

	if (start_us)
		gap_us = event->done_us - *start_us;
	else if (!is_answered(event))
		g_hash_table_insert(
			starts, g_strdup(key),
			g_memdup2(&event->planned_us, sizeof(int64_t)));
	if (start_us && is_answered(event))
		g_hash_table_remove(starts, key);
	g_free(key);
	return gap_us;
}

int64_t events_longest_gap(const struct events *events, const char *service,
			   int64_t from_us, int64_t until_us)
{
	GHashTable *starts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	int64_t longest_us = 0;
	size_t i;

	for (i = 0; i < events_count(events); i++) {
		const struct event *e = events_at(events, i);

		int64_t gap_us = 0;

		if (is_for_service(e, service) && e->planned_us >= from_us &&
		    e->planned_us < until_us)
			gap_us = update_gap(starts, e);
		longest_us = MAX(longest_us, gap_us);
	}
	g_hash_table_unref(starts);
	return longest_us;
}

/* Returns the set of keys whose last answer up to at_us came from an upstream.
 * Elements are key + 1, so that key 0 isn't stored as NULL. */
static GHashTable *keys_last_answered_by(const struct events *events,
					 const char *service,
					 const char *upstream, int64_t at_us)
{
	GHashTable *keys = g_hash_table_new(NULL, NULL);
	size_t i;

	for (i = 0; i < events_count(events); i++) {
		const struct event *e = events_at(events, i);
		gpointer key = GUINT_TO_POINTER(e->key + 1);

		if (!is_for_service(e, service) || !is_answered(e) ||
		    e->done_us > at_us)
			continue;
		if (!strcmp(e->upstream, upstream))
			g_hash_table_add(keys, key);
		else
			g_hash_table_remove(keys, key);
	}
	return keys;
}

/* When one key was requested and answered after its upstream failed. */
struct key_recovery {
	/* Planned time of the first request, or time of the failure when a
	 * request was in flight then. */
	int64_t asked_us;
	/* End of the first answer; 0: not answered. */
	int64_t answered_us;
};

/* Finds or adds the entry of a key. recoveries maps key + 1 to the entry. */
static struct key_recovery *recovery_of(GHashTable *recoveries,
					unsigned int key)
{
	struct key_recovery *recovery =
		g_hash_table_lookup(recoveries, GUINT_TO_POINTER(key + 1));

	if (!recovery) {
		recovery = g_new0(struct key_recovery, 1);
		g_hash_table_insert(recoveries, GUINT_TO_POINTER(key + 1),
				    recovery);
	}
	return recovery;
}

/* Applies an event that finished after the failure at at_us. */
static void update_recovery(struct key_recovery *recovery,
			    const struct event *event, int64_t at_us)
{
	int64_t asked_us = MAX(event->planned_us, at_us);

	if (!recovery->asked_us || asked_us < recovery->asked_us)
		recovery->asked_us = asked_us;
	if (!is_answered(event))
		return;
	if (!recovery->answered_us || event->done_us < recovery->answered_us)
		recovery->answered_us = event->done_us;
}

/* Returns the longest time from request to answer, or INT64_MAX when a key has
 * no answer. Sets seen to the number of keys that were answered again. */
static int64_t longest_recovery(GHashTable *recoveries, unsigned int *seen)
{
	int64_t longest_us = 0;
	GHashTableIter iter;
	gpointer data;

	*seen = 0;
	g_hash_table_iter_init(&iter, recoveries);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const struct key_recovery *recovery = data;

		/* A key that is never served again has the longest time. */
		if (!recovery->answered_us)
			return INT64_MAX;
		++*seen;
		longest_us = MAX(longest_us,
				 recovery->answered_us - recovery->asked_us);
	}
	return longest_us;
}

/* Whether the failed upstream itself still answered a request from before its
 * failure: such an answer doesn't show that the key is served again. */
static bool answered_by_failed(const struct event *event, const char *upstream,
			       int64_t at_us)
{
	return event->planned_us < at_us && is_answered(event) &&
	       !strcmp(event->upstream, upstream);
}

int64_t events_longest_unserved(const struct events *events,
				const char *service, const char *upstream,
				int64_t at_us, unsigned int *keys_served)
{
	GHashTable *keys =
		keys_last_answered_by(events, service, upstream, at_us);
	GHashTable *recoveries =
		g_hash_table_new_full(NULL, NULL, NULL, g_free);
	int64_t longest_us;
	size_t i;

	for (i = 0; i < events_count(events); i++) {
		const struct event *e = events_at(events, i);

		if (is_for_service(e, service) && e->done_us > at_us &&
		    !answered_by_failed(e, upstream, at_us) &&
		    g_hash_table_contains(keys, GUINT_TO_POINTER(e->key + 1)))
			update_recovery(recovery_of(recoveries, e->key), e,
					at_us);
	}
	longest_us = longest_recovery(recoveries, keys_served);
	g_hash_table_unref(keys);
	g_hash_table_unref(recoveries);
	return longest_us;
}

static gint compare_numbers(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

int64_t events_latency(const struct events *events, const char *service,
		       double quantile)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t result = 0;
	size_t i;

	for (i = 0; i < events_count(events); i++) {
		const struct event *e = events_at(events, i);
		int64_t took_us = e->done_us - e->planned_us;

		if (is_for_service(e, service) && is_answered(e))
			g_array_append_val(all, took_us);
	}
	g_array_sort(all, compare_numbers);
	if (all->len) {
		guint at = MIN((guint)(quantile * all->len), all->len - 1);

		result = g_array_index(all, int64_t, at);
	}
	g_array_unref(all);
	return result;
}
