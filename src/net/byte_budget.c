#include "net/byte_budget.h"

/* Part of the limit that one holder may have at most, and part from which on it
 * is refused when the sum is near the limit. */
#define HOLDER_MAX_PART 0.5
#define HOLDER_LARGE_PART 0.125
/* Part of the limit that is left for holders of little. */
#define RESERVE_PART 0.25

bool byte_budget_take(struct byte_budget *budget, size_t held, size_t len)
{
	double limit = (double)budget->limit;
	double own = (double)held + (double)len;
	double sum = (double)budget->used + (double)len;

	if (sum > limit || own > HOLDER_MAX_PART * limit)
		return false;
	if (sum > (1 - RESERVE_PART) * limit && own > HOLDER_LARGE_PART * limit)
		return false;
	budget->used += len;
	if (budget->used > budget->peak)
		budget->peak = budget->used;
	return true;
}

void byte_budget_return(struct byte_budget *budget, size_t held)
{
	budget->used -= held;
}
