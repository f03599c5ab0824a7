#include "base/clock.h"

#include <stddef.h>

static struct timespec system_monotonic(void *ctx)
{
	struct timespec now;

	(void)ctx;
	clock_gettime(CLOCK_BOOTTIME, &now);
	return now;
}

static struct timespec system_wall(void *ctx)
{
	struct timespec now;

	(void)ctx;
	clock_gettime(CLOCK_REALTIME, &now);
	return now;
}

static const struct clock_ops system_ops = {
	.monotonic = system_monotonic,
	.wall = system_wall,
};

const struct clock *clock_system(void)
{
	static const struct clock clock = { &system_ops, NULL };

	return &clock;
}
