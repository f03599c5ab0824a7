#include "ownership/rank.h"

#include "base/hash.h"

uint64_t rank_weight(struct str cell, struct str daemon)
{
	return hash_seeded(daemon, hash_key(cell));
}
