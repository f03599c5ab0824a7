/**
 * Clock interface, so that tests can run code under simulated time. Durations
 * and instants inside the program are int64_t microseconds.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>
#include <time.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)
#define NS_PER_US INT64_C(1000)

struct clock_ops {
	/** Never goes back; includes time during which the VM was suspended. */
	struct timespec (*monotonic)(void *ctx);
	/** Wall clock, used only for logs and for the expiry of claims. */
	struct timespec (*wall)(void *ctx);
};

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
