/**
 * A clock that a test sets forward.
 */
#ifndef MANUAL_CLOCK_H
#define MANUAL_CLOCK_H

#include "base/clock.h"

struct manual_clock {
	struct clock clock;
	struct timespec now;
};

/** Starts it. It must not move: the clock points to it. */
void manual_clock_init(struct manual_clock *clock);

void manual_clock_advance(struct manual_clock *clock, double span_s);

#endif
