/**
 * Retry budget of a service: the retries within a sliding window may be a share
 * of its requests, plus this VM's part of a fixed slack. The budgets of all VMs
 * add up to the limit without communication between them.
 */
#ifndef BALANCE_RETRY_WINDOW_H
#define BALANCE_RETRY_WINDOW_H

#include <stdbool.h>

/** Number of time buckets of the sliding window. */
#define RETRY_WINDOW_BUCKETS 20

struct retry_window {
	/** Length of the window, in seconds. */
	double window_s;
	/** Retries allowed for each request. */
	double ratio;
	/** Retries allowed in addition, on this VM. */
	double slack;
	/** Number of the current bucket, counted from time 0. */
	long bucket;
	/** Requests and retries by bucket number modulo the bucket count. */
	unsigned int requests[RETRY_WINDOW_BUCKETS];
	unsigned int retries[RETRY_WINDOW_BUCKETS];
};

/** Initializes an empty window; for the parameters see the fields. */
void retry_window_init(struct retry_window *window, double window_s,
		       double ratio, double slack);

/** Records a caller's request. */
void retry_window_request(struct retry_window *window, double now_s);

/**
 * Consumes one retry if the budget allows it.
 *
 * @return false when none is left
 */
bool retry_window_consume(struct retry_window *window, double now_s);

/**
 * Returns the share of the budget that is left, 0 to 1; 0 when no whole retry
 * is left.
 */
double retry_window_left(struct retry_window *window, double now_s);

#endif
