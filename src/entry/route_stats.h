/**
 * Moving averages of a route's answer times and sizes, as seen by this VM. They
 * are used to estimate how long a request waits in a queue, and after which
 * time an answer is overdue.
 */
#ifndef ENTRY_ROUTE_STATS_H
#define ENTRY_ROUTE_STATS_H

/** The averages of one route; times in seconds from sending a request to its
 * answer. */
struct route_stats {
	/** Moving average of the answer time. */
	double mean_s;
	/** Moving average of the answer time's absolute deviation from the
	 * mean. */
	double deviation_s;
	/** Moving average of the answer's body size. */
	double answer_bytes;
};

/**
 * Sets estimates that apply before the route's first answer.
 *
 * @param objective_s the route's latency objective
 */
void route_stats_init(struct route_stats *stats, double objective_s);

/**
 * Adds one answer to the averages.
 *
 * @param took_s time from sending the request to its answer
 * @param bytes size of the answer's body
 */
void route_stats_add(struct route_stats *stats, double took_s, double bytes);

/** Returns the seconds after sending at which an answer is overdue. */
double route_stats_overdue_s(const struct route_stats *stats);

#endif
