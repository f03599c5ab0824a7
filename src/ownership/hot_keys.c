#include "ownership/hot_keys.h"

#include <glib.h>
#include <stdlib.h>

struct hot_keys {
	/** The tracked keys, in no order. */
	struct hot_key *entries;
	/** Number of tracked keys, and the most that can be tracked. */
	size_t count, capacity;
	/** Requests since the last reset. */
	uint64_t total;
};

struct hot_keys *hot_keys_create(size_t capacity)
{
	struct hot_keys *keys = g_new0(struct hot_keys, 1);

	keys->entries = g_new0(struct hot_key, capacity);
	keys->capacity = capacity;
	return keys;
}

void hot_keys_destroy(struct hot_keys *keys)
{
	if (!keys)
		return;
	g_free(keys->entries);
	g_free(keys);
}

/* The entry of a key, or else the entry with the lowest count. */
static struct hot_key *find_or_lowest(struct hot_keys *keys, uint64_t hash)
{
	struct hot_key *lowest = &keys->entries[0];
	size_t i;

	for (i = 0; i < keys->count; i++) {
		struct hot_key *e = &keys->entries[i];

		if (e->hash == hash)
			return e;
		if (e->count < lowest->count)
			lowest = e;
	}
	return lowest;
}

void hot_keys_add(struct hot_keys *keys, uint64_t hash)
{
	struct hot_key *e = find_or_lowest(keys, hash);

	keys->total++;
	if (keys->count && e->hash == hash) {
		e->count++;
		return;
	}
	if (keys->count < keys->capacity) {
		keys->entries[keys->count++] =
			(struct hot_key){ .hash = hash, .count = 1 };
		return;
	}
	/* All places are taken: the new key replaces the one with the lowest
	 * count, and may have had as many requests as that one. */
	e->hash = hash;
	e->error = e->count;
	e->count++;
}

uint64_t hot_keys_total(const struct hot_keys *keys)
{
	return keys->total;
}

/* Orders keys for qsort(), the most requested first. */
static int compare_hotter(const void *a, const void *b)
{
	const struct hot_key *x = a, *y = b;

	if (x->count != y->count)
		return x->count < y->count ? 1 : -1;
	return (x->hash > y->hash) - (x->hash < y->hash);
}

size_t hot_keys_top(const struct hot_keys *keys, struct hot_key *out,
		    size_t max)
{
	struct hot_key *sorted;
	size_t i, n = MIN(max, keys->count);

	if (!keys->count)
		return 0;
	sorted = g_memdup2(keys->entries, keys->count * sizeof(*sorted));
	qsort(sorted, keys->count, sizeof(*sorted), compare_hotter);
	for (i = 0; i < n; i++)
		out[i] = sorted[i];
	g_free(sorted);
	return n;
}

void hot_keys_reset(struct hot_keys *keys)
{
	keys->count = 0;
	keys->total = 0;
}
