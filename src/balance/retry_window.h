/**
 * Retry budget of a service on one VM: the retries within a sliding window may
 * be a share of the requests that the VM received, plus this VM's part of a
 * fixed number. So the retries of all VMs keep to the service's limit without
 * communication between them. Times are seconds on one clock.
 */
#ifndef BALANCE_RETRY_WINDOW_H
#define BALANCE_RETRY_WINDOW_H

#include <stdbool.h>

/** Number of time buckets of the sliding window. */
#define RETRY_WINDOW_BUCKETS 20

struct retry_window {
	/** Length of the window, in seconds. */
	double window_s;
	/** Retries allowed for each request within the window. */
	double ratio;
	/** Retries that this VM may send within the window in addition. */
	double slack;
	/** Since when: the slack grows from 0 within a window, since an earlier
	 * process on this VM may have used it up. */
	double since_s;
	/** Number of the current time bucket, counted from time 0. */
	long bucket;
	/** Requests and retries by bucket number modulo the bucket count. */
	unsigned int requests[RETRY_WINDOW_BUCKETS];
	unsigned int retries[RETRY_WINDOW_BUCKETS];
};

/** Initializes an empty window; for the parameters see the fields. */
void retry_window_init(struct retry_window *window, double window_s,
		       double ratio, double slack, double since_s);

/** Records a caller's request. */
void retry_window_request(struct retry_window *window, double now_s);

/**
 * Consumes one retry if the budget allows it.
 *
 * @return false when no retry is left
 */
bool retry_window_consume(struct retry_window *window, double now_s);

/**
 * Returns the share of the budget that is left, 0 to 1; 0 when no whole retry
 * is left.
 */
double retry_window_left(struct retry_window *window, double now_s);

#endif
