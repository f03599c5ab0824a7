/**
 * Hashing of keys (XXH3, 64 bits).
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stdint.h>

#include "base/str.h"

/**
 * Hashes a key to its place in the key space. The result is the same in every
 * process and release: ownership depends on it.
 *
 * @param key the key's bytes
 * @return the position, over the whole range of 64 bits
 */
uint64_t hash_key(struct str key);

/**
 * Hashes bytes with a seed.
 */
uint64_t hash_seeded(struct str bytes, uint64_t seed);

#endif
