/**
 * Hashing of keys (XXH3, 64 bits).
 */
#ifndef BASE_HASH_H
#define BASE_HASH_H

#include <stdint.h>

#include "base/str.h"

/**
 * Hashes a key to its position in the key space. The function must never
 * change: every process and release must agree on which key range a key falls
 * into.
 *
 * @return the position, in the whole 64-bit range
 */
uint64_t hash_key(struct str key);

/**
 * Hashes bytes with a seed, for uses other than key ownership.
 */
uint64_t hash_seeded(struct str bytes, uint64_t seed);

#endif
