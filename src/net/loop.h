/**
 * Event loop and its clock. The clock is monotonic: it includes the time during
 * which the VM was suspended, and changes of the time of day don't affect it.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <ev.h>

#include "base/clock.h"

/** A libev loop and the clock for its times. */
struct loop {
	/** The libev loop. */
	struct ev_loop *ev;
	const struct clock *clock;
};

/** Returns the loop time: the clock's time in seconds. */
static inline double loop_now(const struct loop *loop)
{
	return (double)clock_now_us(loop->clock) / (double)US_PER_SECOND;
}

#endif
