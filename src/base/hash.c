#include "base/hash.h"

#include <xxhash.h>

uint64_t hash_key(struct str key)
{
	return XXH3_64bits(key.data, key.len);
}

uint64_t hash_seeded(struct str bytes, uint64_t seed)
{
	return XXH3_64bits_withSeed(bytes.data, bytes.len, seed);
}
