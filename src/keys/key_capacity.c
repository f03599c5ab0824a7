#include "keys/key_capacity.h"

#include <math.h>

/* Smallest weight, as a part of the weight without limits. */
#define WEIGHT_MIN_PART 0.01

/* Marginal response time of one more request at an upstream whose slots are
 * used to the part u, in multiples of its execution time: 1 + QUEUE_FACTOR x
 * u^4. It approximates an M/M/c queue with a few servers up to u = 0.8. */
#define QUEUE_FACTOR 8.0
/* Least part of an upstream's capacity that it gets keys for, so that its speed
 * stays known. */
#define USE_MIN 0.08
/* Highest part, at which all are used equally. */
#define USE_MAX 1.0
/* Demand is taken to be this many times higher than it is, and at least this
 * part of the whole capacity, because it rises faster than keys can move. */
#define DEMAND_HEADROOM 1.2
#define DEMAND_MIN_PART 0.25
/* Cost of a refused or failed request for its caller, as a multiple of the
 * usual execution time. */
#define FAILURE_COST 4.0
/* Steps of the search for the marginal cost; each halves the error. */
#define COST_STEPS 24

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

/* Returns the marginal cost of a request at an idle upstream, in multiples of
 * the usual execution time. */
static double idle_cost(const struct key_server *server)
{
	return server->slowness * (1 + FAILURE_COST * server->failures);
}

/* Returns an upstream's capacity, in slots of an upstream with the usual
 * execution time. */
static double capacity_of(const struct key_server *server)
{
	return server->slots / server->slowness * server->capacity_factor;
}

/* Returns the part of an upstream's capacity at which the marginal cost of a
 * request is cost. */
static double use_at(const struct key_server *server, double cost)
{
	double excess = (cost / idle_cost(server) - 1) / QUEUE_FACTOR;

	if (excess <= 0)
		return USE_MIN;
	return fmin(fmax(sqrt(sqrt(excess)), USE_MIN), USE_MAX);
}

static double total_use(const struct key_server *servers, size_t count,
			double cost)
{
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += capacity_of(&servers[i]) * use_at(&servers[i], cost);
	return sum;
}

void key_capacity_set_weights(struct key_candidate *candidates,
			      const struct key_server *servers, size_t count,
			      double demand)
{
	double low = 0, high = 0, capacity = 0;
	size_t i;
	int step;

	for (i = 0; i < count; i++) {
		capacity += capacity_of(&servers[i]);
		high = fmax(high, idle_cost(&servers[i]) * (1 + QUEUE_FACTOR));
	}
	demand = fmax(demand * DEMAND_HEADROOM, capacity * DEMAND_MIN_PART);
	for (step = 0; step < COST_STEPS; step++) {
		double cost = (low + high) / 2;

		if (total_use(servers, count, cost) < demand)
			low = cost;
		else
			high = cost;
	}
	for (i = 0; i < count; i++) {
		const struct key_server *server = &servers[i];

		/* Refused requests take no capacity, so more may come. */
		candidates[i].weight = capacity_of(server) *
				       use_at(server, high) /
				       (1 - fmin(server->failures, 0.5));
	}
}
