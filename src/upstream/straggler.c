#include "upstream/straggler.h"

#include <glib.h>

/* Divisor of the moving averages: each new value has the weight 1/8. */
#define MEAN_DIVISOR 8
/* For each time added, an estimated quantile moves by up to its value divided
 * by this. */
#define QUANTILE_DIVISOR 20

int64_t straggler_raise_mean(int64_t mean_us, int64_t age_us)
{
	if (age_us <= mean_us)
		return mean_us;
	return mean_us + (age_us - mean_us) / MEAN_DIVISOR;
}

void straggler_add_answer(struct straggler_state *s, int64_t took_us)
{
	/* A faster answer of a slow upstream, to a probe, replaces the mean:
	 * the times before it are out of date. */
	if (!s->mean_us || (s->slow && took_us < s->mean_us))
		s->mean_us = MAX(took_us, 1);
	else
		s->mean_us += (took_us - s->mean_us) / MEAN_DIVISOR;
	s->samples++;
}

void straggler_add_unanswered(struct straggler_state *s, int64_t age_us)
{
	if (s->mean_us)
		s->mean_us = straggler_raise_mean(s->mean_us, age_us);
}

bool straggler_start_probe(struct straggler_state *s, int64_t now_us)
{
	if (now_us < s->probe_us)
		return false;
	s->probe_wait_us = MIN(2 * s->probe_wait_us, STRAGGLER_PROBE_MAX_US);
	s->probe_us = now_us + s->probe_wait_us;
	return true;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Returns the lower median of the known times, 0 when none is known. */
static int64_t median(const int64_t *times, size_t count)
{
	GArray *known = g_array_new(FALSE, FALSE, sizeof(int64_t));
	int64_t result = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (times[i])
			g_array_append_val(known, times[i]);
	g_array_sort(known, compare_times);
	if (known->len)
		result = g_array_index(known, int64_t, (known->len - 1) / 2);
	g_array_free(known, TRUE);
	return result;
}

static void set_slow(struct straggler_state *s, bool slow, int64_t now_us)
{
	if (slow && !s->slow) {
		s->probe_wait_us = STRAGGLER_PROBE_US;
		s->probe_us = now_us + STRAGGLER_PROBE_US;
	}
	s->slow = slow;
}

/* Finds the slowest upstream that isn't marked yet and whose expected time is
 * at least the limit. @return count when there is none */
static size_t find_slowest(struct straggler_state *const *all,
			   const int64_t *expected_us, size_t count,
			   int64_t limit_us, const bool *marked)
{
	size_t slowest = count;
	size_t i;

	for (i = 0; i < count; i++) {
		if (marked[i] || all[i]->samples < STRAGGLER_SAMPLES ||
		    expected_us[i] < limit_us)
			continue;
		if (slowest == count || expected_us[i] > expected_us[slowest])
			slowest = i;
	}
	return slowest;
}

void straggler_classify(struct straggler_state *const *all,
			const int64_t *expected_us, size_t count,
			int64_t now_us)
{
	int64_t limit_us = STRAGGLER_RATIO * median(expected_us, count);
	bool *marked = g_new0(bool, count + 1);
	size_t left = limit_us ? count / 3 : 0;
	size_t i;

	for (; left; left--) {
		i = find_slowest(all, expected_us, count, limit_us, marked);
		if (i == count)
			break;
		marked[i] = true;
	}
	for (i = 0; i < count; i++)
		set_slow(all[i], marked[i], now_us);
	g_free(marked);
}

void quantile_add(struct quantile *q, int64_t time_us, int percent)
{
	int64_t step = q->value_us / QUANTILE_DIVISOR + 1;

	if (!q->samples++)
		q->value_us = time_us;
	else if (time_us > q->value_us)
		q->value_us += step * percent / 100;
	else
		q->value_us -= step * (100 - percent) / 100;
}
