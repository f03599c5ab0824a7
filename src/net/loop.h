/**
 * Event loop and its clock. The clock is monotonic: it includes the time during
 * which the VM was suspended, and changes of the time of day don't affect it.
 */
#ifndef NET_LOOP_H
#define NET_LOOP_H

#include <ev.h>

#include "base/clock.h"

struct descriptors;

/** A libev loop, the clock for its times, and the account of the descriptors
 * that its connections use. */
struct loop {
	/** The libev loop. */
	struct ev_loop *ev;
	const struct clock *clock;
	/** NULL: not counted. */
	struct descriptors *descriptors;
};

/** Returns the loop time: the clock's time in seconds. */
static inline double loop_now(const struct loop *loop)
{
	return (double)clock_now_us(loop->clock) / (double)US_PER_SECOND;
}

#endif
