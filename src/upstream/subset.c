#include "upstream/subset.h"

#include "base/hash.h"

uint64_t subset_rank(struct str router, struct str upstream)
{
	return hash_seeded(router, hash_key(upstream));
}

bool subset_uses(struct str router, struct str upstream,
		 const struct str *routers, size_t count)
{
	uint64_t seed = hash_key(upstream);
	uint64_t own = hash_seeded(router, seed);
	size_t above = 0;
	size_t i;

	for (i = 0; i < count && above < SUBSET_ROUTERS; i++)
		if (hash_seeded(routers[i], seed) > own)
			above++;
	return above < SUBSET_ROUTERS;
}
