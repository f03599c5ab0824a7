/**
 * A fake clock that moves only when a test advances it.
 */
#ifndef MANUAL_CLOCK_H
#define MANUAL_CLOCK_H

#include "base/clock.h"

struct manual_clock {
	/** The clock to pass to the code under test. */
	struct clock clock;
	/** Both the monotonic and the wall time. */
	struct timespec now;
};

/** Initialises a clock, which points to itself and so must not be copied. */
void manual_clock_init(struct manual_clock *clock);

/** Moves the clock forward by span_s seconds. */
void manual_clock_advance(struct manual_clock *clock, double span_s);

#endif
