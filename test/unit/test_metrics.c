/* Tests of counters and histograms, and of the text in which they are served.
 */
#include <glib.h>
#include <string.h>

#include "base/metrics.h"
#include "suite.h"

static void quantiles_stay_within_a_sixteenth(void)
{
	static const int64_t values[] = { 0,	   1,	    15,	     16,
					  17,	   1000,    4095,    4096,
					  1000000, 5000000, 1 << 30, -5 };
	struct metrics *metrics = metrics_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		char label[32];
		struct histogram *h;
		int64_t value = MAX(values[i], 0);
		int64_t estimate;

		g_snprintf(label, sizeof(label), "i=\"%zu\"", i);
		h = metrics_histogram(metrics, "d_seconds", label, "x");
		histogram_record(h, values[i]);
		estimate = histogram_quantile(h, 0.5);
		CU_ASSERT(estimate >= value);
		CU_ASSERT(estimate <= value + value / 16);
		CU_ASSERT_EQUAL(histogram_count(h), 1);
	}
	metrics_destroy(metrics);
}

static void quantiles_follow_ranks(void)
{
	struct metrics *metrics = metrics_create();
	struct histogram *h = metrics_histogram(metrics, "d_seconds", "", "x");
	int64_t us;

	CU_ASSERT_EQUAL(histogram_quantile(h, 0.99), 0);
	for (us = 1; us <= 10000; us++)
		histogram_record(h, us);
	CU_ASSERT(histogram_quantile(h, 0.5) >= 5000);
	CU_ASSERT(histogram_quantile(h, 0.5) <= 5320);
	CU_ASSERT(histogram_quantile(h, 0.99) >= 9900);
	CU_ASSERT(histogram_quantile(h, 0.99) <= 10520);
	metrics_destroy(metrics);
}

static void rendered_text_holds_every_series(void)
{
	static const char *const lines[] = {
		"# TYPE a_total counter\n",
		"a_total{service=\"lots\"} 3\n",
		"# TYPE up gauge\n",
		"up 7\n",
		"# TYPE d_seconds histogram\n",
		"d_seconds_bucket{le=\"6.4e-05\"} 1\n",
		"d_seconds_bucket{le=\"0.002048\"} 2\n",
		"d_seconds_bucket{le=\"+Inf\"} 2\n",
		"d_seconds_sum 0.001020\n",
		"d_seconds_count 2\n",
	};
	struct metrics *metrics = metrics_create();
	struct counter *a =
		metrics_counter(metrics, "a_total", "service=\"lots\"", "x");
	struct histogram *h = metrics_histogram(metrics, "d_seconds", "", "x");
	char *text;
	size_t i;

	counter_add(a, 3);
	counter_set(metrics_gauge(metrics, "up", "", "x"), 7);
	histogram_record(h, 20);
	histogram_record(h, 1000);
	CU_ASSERT_PTR_EQUAL(a, metrics_counter(metrics, "a_total",
					       "service=\"lots\"", "x"));
	text = metrics_render(metrics);
	for (i = 0; i < G_N_ELEMENTS(lines); i++)
		CU_ASSERT_PTR_NOT_NULL(strstr(text, lines[i]));
	g_free(text);
	metrics_destroy(metrics);
}

static void the_number_of_series_is_bounded(void)
{
	struct metrics *metrics = metrics_create();
	struct counter *last = NULL, *before = NULL;
	int i;

	for (i = 0; i < METRICS_SERIES_MAX + 2; i++) {
		char label[32];

		g_snprintf(label, sizeof(label), "i=\"%d\"", i);
		before = last;
		last = metrics_counter(metrics, "n_total", label, "x");
		counter_add(last, 1);
	}
	CU_ASSERT_PTR_EQUAL(before, last);
	CU_ASSERT_EQUAL(counter_value(last), 2);
	metrics_destroy(metrics);
}

static void label_values_are_escaped(void)
{
	char *text = metrics_escape("a\"b\\c\nd");

	CU_ASSERT_STRING_EQUAL(text, "a\\\"b\\\\c\\nd");
	g_free(text);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "quantiles stay within a sixteenth",
		  quantiles_stay_within_a_sixteenth },
		{ "quantiles follow ranks", quantiles_follow_ranks },
		{ "rendered text holds every series",
		  rendered_text_holds_every_series },
		{ "the number of series is bounded",
		  the_number_of_series_is_bounded },
		{ "label values are escaped", label_values_are_escaped },
		{ 0 },
	};

	return suite_run("metrics", cases);
}
