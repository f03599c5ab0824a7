/**
 * How long answers of a route usually take, for estimates of waiting and for
 * the moment at which an answer is overdue.
 */
#ifndef ENTRY_ROUTE_STATS_H
#define ENTRY_ROUTE_STATS_H

struct route_stats {
	/** Smoothed time of an answer. */
	double mean_s;
	/** Smoothed distance from the mean. */
	double deviation_s;
	/** Smoothed bytes of an answer. */
	double answer_bytes;
};

/** Begins with a guess from the time that is useful to callers. */
void route_stats_init(struct route_stats *stats, double objective_s);

/** Notes an answer. */
void route_stats_add(struct route_stats *stats, double took_s, double bytes);

/** Time after which an answer is overdue: few take longer. */
double route_stats_overdue_s(const struct route_stats *stats);

#endif
