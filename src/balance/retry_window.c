#include "balance/retry_window.h"

#include <string.h>

void retry_window_init(struct retry_window *window, double window_s,
		       double ratio, double slack)
{
	memset(window, 0, sizeof(*window));
	window->window_s = window_s;
	window->ratio = ratio;
	window->slack = slack;
}

/* Clears the parts that have left the window. */
static void advance(struct retry_window *window, double now_s)
{
	long part = (long)(now_s / window->window_s * RETRY_WINDOW_PARTS);
	long p = window->part + 1;

	if (part - window->part > RETRY_WINDOW_PARTS)
		p = part - RETRY_WINDOW_PARTS + 1;
	for (; p <= part; p++) {
		window->requests[p % RETRY_WINDOW_PARTS] = 0;
		window->repeats[p % RETRY_WINDOW_PARTS] = 0;
	}
	if (part > window->part)
		window->part = part;
}

static unsigned int sum(const unsigned int *parts)
{
	unsigned int total = 0;
	int i;

	for (i = 0; i < RETRY_WINDOW_PARTS; i++)
		total += parts[i];
	return total;
}

static double allowed(const struct retry_window *window)
{
	return window->ratio * sum(window->requests) + window->slack;
}

void retry_window_request(struct retry_window *window, double now_s)
{
	advance(window, now_s);
	window->requests[window->part % RETRY_WINDOW_PARTS]++;
}

bool retry_window_take(struct retry_window *window, double now_s)
{
	advance(window, now_s);
	if (sum(window->repeats) + 1 > allowed(window))
		return false;
	window->repeats[window->part % RETRY_WINDOW_PARTS]++;
	return true;
}

double retry_window_left(struct retry_window *window, double now_s)
{
	double most;

	advance(window, now_s);
	most = allowed(window);
	if (sum(window->repeats) + 1 > most)
		return 0;
	return 1 - sum(window->repeats) / most;
}
