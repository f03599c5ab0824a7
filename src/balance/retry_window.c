#include "balance/retry_window.h"

#include <glib.h>
#include <string.h>

void retry_window_init(struct retry_window *window, double window_s,
		       double ratio, double slack, double since_s)
{
	memset(window, 0, sizeof(*window));
	window->window_s = window_s;
	window->ratio = ratio;
	window->slack = slack;
	window->since_s = since_s;
}

/* Moves the window forward and clears the buckets that left it. */
static void advance(struct retry_window *window, double now_s)
{
	long bucket = (long)(now_s / window->window_s * RETRY_WINDOW_BUCKETS);
	long b = window->bucket + 1;

	if (bucket - window->bucket > RETRY_WINDOW_BUCKETS)
		b = bucket - RETRY_WINDOW_BUCKETS + 1;
	for (; b <= bucket; b++) {
		window->requests[b % RETRY_WINDOW_BUCKETS] = 0;
		window->retries[b % RETRY_WINDOW_BUCKETS] = 0;
	}
	if (bucket > window->bucket)
		window->bucket = bucket;
}

static unsigned int sum(const unsigned int *buckets)
{
	unsigned int total = 0;
	int i;

	for (i = 0; i < RETRY_WINDOW_BUCKETS; i++)
		total += buckets[i];
	return total;
}

/* Returns the number of retries allowed within the current window. */
static double allowed(const struct retry_window *window, double now_s)
{
	double part = (now_s - window->since_s) / window->window_s;

	return window->ratio * sum(window->requests) +
	       window->slack * CLAMP(part, 0, 1);
}

void retry_window_request(struct retry_window *window, double now_s)
{
	advance(window, now_s);
	window->requests[window->bucket % RETRY_WINDOW_BUCKETS]++;
}

bool retry_window_consume(struct retry_window *window, double now_s)
{
	advance(window, now_s);
	if (sum(window->retries) + 1 > allowed(window, now_s))
		return false;
	window->retries[window->bucket % RETRY_WINDOW_BUCKETS]++;
	return true;
}

double retry_window_left(struct retry_window *window, double now_s)
{
	double limit;

	advance(window, now_s);
	limit = allowed(window, now_s);
	if (sum(window->retries) + 1 > limit)
		return 0;
	return 1 - sum(window->retries) / limit;
}
