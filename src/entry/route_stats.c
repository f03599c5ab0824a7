#include "entry/route_stats.h"

#include <math.h>

/* Weight of one answer: about the last thirty count. */
#define WEIGHT 0.03
/* Part of the useful time that is taken for the mean at first. */
#define FIRST_PART 0.3
/* With a spread as in answers of one kind, one in fifty takes longer. */
#define OVERDUE_DEVIATIONS 3.0

void route_stats_init(struct route_stats *stats, double objective_s)
{
	stats->mean_s = objective_s * FIRST_PART;
	stats->deviation_s = stats->mean_s / 2;
	stats->answer_bytes = 0;
}

void route_stats_add(struct route_stats *stats, double took_s, double bytes)
{
	double distance = fabs(took_s - stats->mean_s);

	stats->mean_s += WEIGHT * (took_s - stats->mean_s);
	stats->deviation_s += WEIGHT * (distance - stats->deviation_s);
	stats->answer_bytes += WEIGHT * (bytes - stats->answer_bytes);
}

double route_stats_overdue_s(const struct route_stats *stats)
{
	return stats->mean_s + OVERDUE_DEVIATIONS * stats->deviation_s;
}
