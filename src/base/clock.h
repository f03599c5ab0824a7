/**
 * Clock interface, so that tests can run code under simulated time. Code that
 * uses it counts durations and instants in int64_t microseconds, in variables
 * that end with _us.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
#define NS_PER_US INT64_C(1000)

/** How to read a clock. */
struct clock_ops {
	/** Reads the monotonic clock, which never goes back and includes time
	 * during which the VM was suspended. */
	struct timespec (*monotonic)(void *ctx);
	/** Reads the wall clock, which may jump. Used only for records that
	 * other processes or operators read, such as claims and the time at
	 * which settings were published. */
	struct timespec (*wall)(void *ctx);
};

/** A clock: its operations and the context that they are called with. */
struct clock {
	const struct clock_ops *ops;
	void *ctx;
};

/**
 * Converts a timespec to microseconds, rounding down.
 */
static inline int64_t clock_us(struct timespec t)
{
	return (int64_t)t.tv_sec * US_PER_SECOND +
	       (int64_t)t.tv_nsec / NS_PER_US;
}

/**
 * Reads the monotonic clock.
 *
 * @return microseconds since an arbitrary start
 */
static inline int64_t clock_now_us(const struct clock *clock)
{
	return clock_us(clock->ops->monotonic(clock->ctx));
}

/**
 * Reads the wall clock.
 *
 * @return microseconds since 1970-01-01 UTC
 */
static inline int64_t clock_wall_us(const struct clock *clock)
{
	return clock_us(clock->ops->wall(clock->ctx));
}

/**
 * Returns the VM's clock: CLOCK_BOOTTIME and CLOCK_REALTIME.
 *
 * @return a clock that lives as long as the process
 */
const struct clock *clock_system(void);

#endif
