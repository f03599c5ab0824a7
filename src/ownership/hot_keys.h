/**
 * Counts the most requested keys in fixed memory with the Space-Saving
 * algorithm (Metwally, Agrawal and El Abbadi, 2005). Every key with more than
 * total/capacity requests is among those tracked.
 */
#ifndef OWNERSHIP_HOT_KEYS_H
#define OWNERSHIP_HOT_KEYS_H

#include <stddef.h>
#include <stdint.h>

struct hot_keys;

/** A key that is requested often, and estimates of its requests. */
struct hot_key {
	/** The key's hash. */
	uint64_t hash;
	/** Upper bound on the key's requests. */
	uint64_t count;
	/** By how much the count may be too high: the key had at least count
	 * minus error requests. */
	uint64_t error;
};

/**
 * Creates a counter of a fixed size.
 *
 * @param capacity number of keys that are tracked; at least 1
 * @return the counter; the caller frees it with hot_keys_destroy()
 */
struct hot_keys *hot_keys_create(size_t capacity);

/** Frees a counter; NULL is allowed. */
void hot_keys_destroy(struct hot_keys *keys);

/** Counts one request for a key, given by its hash. */
void hot_keys_add(struct hot_keys *keys, uint64_t hash);

/** Requests counted since the last reset. */
uint64_t hot_keys_total(const struct hot_keys *keys);

/**
 * Writes the most requested keys, in descending order of count.
 *
 * @param out room for max keys
 * @return the number of keys written
 */
size_t hot_keys_top(const struct hot_keys *keys, struct hot_key *out,
		    size_t max);

/** Drops all keys and counts. */
void hot_keys_reset(struct hot_keys *keys);

#endif
