#include "request/request_history.h"

#include <glib.h>
#include <pthread.h>

struct request_history {
	pthread_mutex_t lock;
	struct request_history_entry *entries;
	size_t capacity;
	/* Entries ever added; modulo capacity, the index of the next one. */
	uint64_t added;
};

struct request_history *request_history_create(size_t capacity)
{
	struct request_history *request_history =
		g_new0(struct request_history, 1);

	pthread_mutex_init(&request_history->lock, NULL);
	request_history->entries =
		g_new0(struct request_history_entry, capacity);
	request_history->capacity = capacity;
	return request_history;
}

void request_history_destroy(struct request_history *request_history)
{
	if (!request_history)
		return;
	pthread_mutex_destroy(&request_history->lock);
	g_free(request_history->entries);
	g_free(request_history);
}

void request_history_add(struct request_history *request_history,
			 const struct request_history_entry *entry)
{
	pthread_mutex_lock(&request_history->lock);
	request_history
		->entries[request_history->added % request_history->capacity] =
		*entry;
	request_history->added++;
	pthread_mutex_unlock(&request_history->lock);
}

bool request_history_find(struct request_history *request_history,
			  struct str id, struct request_history_entry *entry)
{
	bool found = false;
	size_t i, count;

	pthread_mutex_lock(&request_history->lock);
	count = MIN(request_history->added, request_history->capacity);
	for (i = 0; i < count && !found; i++) {
		found = str_equal(str_from(request_history->entries[i].id), id);
		if (found)
			*entry = request_history->entries[i];
	}
	pthread_mutex_unlock(&request_history->lock);
	return found;
}
