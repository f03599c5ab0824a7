#include "request/request_history.h"

#include <glib.h>
#include <pthread.h>

struct request_history {
	pthread_mutex_t lock;
	struct request_history_entry *entries;
	size_t capacity;
	/* Number of entries added so far; modulo capacity, the index at which
	 * the next one is stored. */
	uint64_t added;
};

struct request_history *request_history_create(size_t capacity)
{
	struct request_history *history = g_new0(struct request_history, 1);

	pthread_mutex_init(&history->lock, NULL);
	history->entries = g_new0(struct request_history_entry, capacity);
	history->capacity = capacity;
	return history;
}

void request_history_destroy(struct request_history *history)
{
	if (!history)
		return;
	pthread_mutex_destroy(&history->lock);
	g_free(history->entries);
	g_free(history);
}

void request_history_add(struct request_history *history,
			 const struct request_history_entry *entry)
{
	pthread_mutex_lock(&history->lock);
	history->entries[history->added % history->capacity] = *entry;
	history->added++;
	pthread_mutex_unlock(&history->lock);
}

bool request_history_find(struct request_history *history, struct str id,
			  struct request_history_entry *entry)
{
	bool found = false;
	size_t i, count;

	pthread_mutex_lock(&history->lock);
	count = MIN(history->added, history->capacity);
	for (i = 0; i < count && !found; i++) {
		found = str_equal(str_from(history->entries[i].id), id);
		if (found)
			*entry = history->entries[i];
	}
	pthread_mutex_unlock(&history->lock);
	return found;
}
