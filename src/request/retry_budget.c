#include "request/retry_budget.h"

#include <glib.h>
#include <stdatomic.h>

/* A budget is counted in hundredths of a retry, so that an answered request
 * adds its percentage in units. */
#define UNITS_PER_RETRY INT64_C(100)
#define UNITS_MAX (RETRY_BUDGET_MAX * UNITS_PER_RETRY)

struct retry_budget {
	_Atomic int64_t units;
};

struct retry_budget *retry_budget_create(void)
{
	struct retry_budget *budget = g_new0(struct retry_budget, 1);

	atomic_init(&budget->units, UNITS_MAX);
	return budget;
}

void retry_budget_destroy(struct retry_budget *budget)
{
	g_free(budget);
}

void retry_budget_success(struct retry_budget *budget, uint32_t percent)
{
	int64_t old = atomic_load(&budget->units);
	int64_t sum;

	do
		sum = MIN(old + (int64_t)percent, UNITS_MAX);
	while (!atomic_compare_exchange_weak(&budget->units, &old, sum));
}

bool retry_budget_take(struct retry_budget *budget)
{
	int64_t old = atomic_load(&budget->units);

	do
		if (old < UNITS_PER_RETRY)
			return false;
	while (!atomic_compare_exchange_weak(&budget->units, &old,
					     old - UNITS_PER_RETRY));
	return true;
}
