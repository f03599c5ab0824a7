/**
 * How many requests of a service may be sent to a second upstream: a share of
 * its requests in a sliding window, and this VM's bucket of a fixed slack. The
 * buckets of all VMs add up to the limit without a message between them.
 */
#ifndef BALANCE_RETRY_WINDOW_H
#define BALANCE_RETRY_WINDOW_H

#include <stdbool.h>

#define RETRY_WINDOW_BUCKETS 20

struct retry_window {
	double window_s;
	/** Repeats allowed for each request. */
	double ratio;
	/** Repeats allowed besides, by this VM. */
	double slack;
	/** The bucket being filled. */
	long bucket;
	unsigned int requests[RETRY_WINDOW_BUCKETS];
	unsigned int retries[RETRY_WINDOW_BUCKETS];
};

void retry_window_init(struct retry_window *window, double window_s,
		       double ratio, double slack);

/** Notes a caller's request. */
void retry_window_request(struct retry_window *window, double now_s);

/** Takes one repeat. @return false when none is left */
bool retry_window_take(struct retry_window *window, double now_s);

/** Share of the allowance that is left, 0 to 1. */
double retry_window_left(struct retry_window *window, double now_s);

#endif
