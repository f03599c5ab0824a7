#include "keys/key_capacity.h"

#include <math.h>

/* Smallest weight, as a part of the weight without limits. */
#define WEIGHT_MIN_PART 0.01

/* The candidates without a binding limit. */
struct unlimited {
	/** Sum of their weights. */
	double weight;
	/** Requests per second that are left for them. */
	double requests_per_s;
};

/* Marks one more candidate whose share of the requests is over its limit.
 *
 * @return false when there is none */
static bool bind_one(const struct key_candidate *candidates,
		     const double *limits, bool *bound, size_t count,
		     struct unlimited *rest)
{
	size_t i;

	for (i = 0; i < count; i++) {
		double weight = candidates[i].weight;

		if (bound[i] || limits[i] < 0 ||
		    rest->requests_per_s * weight <= limits[i] * rest->weight)
			continue;
		bound[i] = true;
		rest->weight -= weight;
		rest->requests_per_s -= limits[i];
		return true;
	}
	return false;
}

void key_capacity_apply_limits(struct key_candidate *candidates,
			       const double *limits, size_t count,
			       double requests_per_s)
{
	struct unlimited rest = { .requests_per_s = requests_per_s };
	bool *bound = g_new0(bool, count);
	size_t left = count, i;

	for (i = 0; i < count; i++)
		rest.weight += candidates[i].weight;
	while (left && bind_one(candidates, limits, bound, count, &rest))
		left--;
	for (i = 0; i < count; i++) {
		double least = candidates[i].weight * WEIGHT_MIN_PART;
		double weight = limits[i];

		if (!bound[i])
			continue;
		/* If all limits bind, the weights are relative to each other.
		 */
		if (left && rest.requests_per_s > 0)
			weight *= rest.weight / rest.requests_per_s;
		candidates[i].weight = fmax(weight, least);
	}
	g_free(bound);
}
