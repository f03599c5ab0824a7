/**
 * An event loop with the clock that everything in it reads. The clock counts
 * the time in which the VM was suspended and does not follow the time of day.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <ev.h>

#include "base/clock.h"

struct loop {
	struct ev_loop *ev;
	const struct clock *clock;
};

/** Seconds on the loop's clock. */
static inline double loop_now(const struct loop *loop)
{
	return (double)clock_now_us(loop->clock) / (double)US_PER_SECOND;
}

#endif
