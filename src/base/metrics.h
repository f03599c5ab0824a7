/**
 * Registry of counters, gauges and log-linear histograms, rendered in the
 * Prometheus text format. Any thread may record values, without a lock. A
 * series lives as long as its registry; the number of series is bounded.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

/**
 * Maximum number of series per registry. Beyond it, a request for a new series
 * returns one that all such requests of the same kind share and that is not
 * rendered.
 */
#define METRICS_SERIES_MAX 2048

/** A registry of series. */
struct metrics;

/** A counter or a gauge: one unsigned value. */
struct counter;

/** A histogram of durations. */
struct histogram;

/**
 * Creates an empty registry.
 *
 * @return the registry; freed with metrics_destroy()
 */
struct metrics *metrics_create(void);

/** Frees a registry and its series. */
void metrics_destroy(struct metrics *metrics);

/**
 * Finds or creates a counter. Takes a lock, so callers should keep the result.
 * For a name that is already used for another kind of series, returns the
 * shared series (METRICS_SERIES_MAX).
 *
 * @param name metric name, such as "auburn_requests_total"; copied
 * @param labels text between the braces, such as "service=\"lots\"", or "";
 *        copied
 * @param help text of the HELP line; copied at the first use of the name
 * @return the counter, owned by the registry
 */
struct counter *metrics_counter(struct metrics *metrics, const char *name,
				const char *labels, const char *help);

/**
 * Finds or creates a gauge, whose value is set with counter_set(). Otherwise
 * like metrics_counter().
 */
struct counter *metrics_gauge(struct metrics *metrics, const char *name,
			      const char *labels, const char *help);

/**
 * Finds or creates a histogram of durations. The name should end with
 * "_seconds"; values are recorded in microseconds and rendered in seconds.
 * Parameters as for metrics_counter().
 *
 * @return the histogram, owned by the registry
 */
struct histogram *metrics_histogram(struct metrics *metrics, const char *name,
				    const char *labels, const char *help);

/** Adds n to a counter. */
void counter_add(struct counter *counter, uint64_t n);

/** Sets a gauge. */
void counter_set(struct counter *counter, uint64_t value);

/** Reads a counter or a gauge. */
uint64_t counter_value(const struct counter *counter);

/**
 * Records a duration.
 *
 * @param us microseconds; a negative value counts as 0
 */
void histogram_record(struct histogram *histogram, int64_t us);

/** Returns the number of recorded values. */
uint64_t histogram_count(const struct histogram *histogram);

/**
 * Estimates a quantile. The result is at most 1/16 above the true value.
 *
 * @param q from 0 to 1
 * @return microseconds; 0 when nothing was recorded
 */
int64_t histogram_quantile(const struct histogram *histogram, double q);

/**
 * Escapes backslash, double quote and line feed in a label value.
 *
 * @return the text; the caller frees it with g_free()
 */
char *metrics_escape(const char *value);

/**
 * Renders every series of a registry in the Prometheus text format.
 *
 * @return NUL-terminated text; the caller frees it with g_free()
 */
char *metrics_render(struct metrics *metrics);

#endif
