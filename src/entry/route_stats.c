#include "entry/route_stats.h"

#include <math.h>

/* Weight of one answer: averages cover about the last 30 answers. */
#define WEIGHT 0.03
/* First estimate of the mean, as a share of the latency objective. */
#define INITIAL_MEAN_SHARE 0.3
/* An answer is overdue when it takes longer than the mean answer time by this
 * many mean deviations, as about 2% of a route's answers do. */
#define OVERDUE_DEVIATIONS 3.0

void route_stats_init(struct route_stats *stats, double objective_s)
{
	stats->mean_s = objective_s * INITIAL_MEAN_SHARE;
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
