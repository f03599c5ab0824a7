#include "request/journal.h"

#include <glib.h>
#include <pthread.h>

struct journal {
	pthread_mutex_t lock;
	struct journal_entry *entries;
	size_t capacity;
	/* Entries ever added; modulo capacity, the index of the next one. */
	uint64_t added;
};

struct journal *journal_create(size_t capacity)
{
	struct journal *journal = g_new0(struct journal, 1);

	pthread_mutex_init(&journal->lock, NULL);
	journal->entries = g_new0(struct journal_entry, capacity);
	journal->capacity = capacity;
	return journal;
}

void journal_destroy(struct journal *journal)
{
	if (!journal)
		return;
	pthread_mutex_destroy(&journal->lock);
	g_free(journal->entries);
	g_free(journal);
}

void journal_add(struct journal *journal, const struct journal_entry *entry)
{
	pthread_mutex_lock(&journal->lock);
	journal->entries[journal->added % journal->capacity] = *entry;
	journal->added++;
	pthread_mutex_unlock(&journal->lock);
}

bool journal_find(struct journal *journal, struct str id,
		  struct journal_entry *entry)
{
	bool found = false;
	size_t i, count;

	pthread_mutex_lock(&journal->lock);
	count = MIN(journal->added, journal->capacity);
	for (i = 0; i < count && !found; i++) {
		found = str_equal(str_from(journal->entries[i].id), id);
		if (found)
			*entry = journal->entries[i];
	}
	pthread_mutex_unlock(&journal->lock);
	return found;
}
