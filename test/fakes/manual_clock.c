#include "manual_clock.h"

#define START_S 1000
#define NS_PER_S 1e9

static struct timespec read_clock(void *ctx)
{
	return ((struct manual_clock *)ctx)->now;
}

void manual_clock_init(struct manual_clock *clock)
{
	static const struct clock_ops ops = { read_clock, read_clock };

	clock->clock.ops = &ops;
	clock->clock.ctx = clock;
	clock->now = (struct timespec){ .tv_sec = START_S };
}

void manual_clock_advance(struct manual_clock *clock, double span_s)
{
	double now = (double)clock->now.tv_sec +
		     (double)clock->now.tv_nsec / NS_PER_S + span_s;

	clock->now.tv_sec = (time_t)now;
	clock->now.tv_nsec =
		(long)((now - (double)clock->now.tv_sec) * NS_PER_S);
}
