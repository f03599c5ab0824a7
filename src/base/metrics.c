#include "base/metrics.h"

#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>

/* 16 buckets per power of two bound the relative error to 1/16. */
#define SUB_BITS 4
#define SUB_COUNT (1u << SUB_BITS)
/*
 * Highest bit of a value that has buckets of its own: 2^36 us, about 19 hours.
 * Values from 2^37 us up count in the last bucket.
 */
#define TOP_BIT 36
#define BUCKET_COUNT ((size_t)(TOP_BIT - SUB_BITS + 2) * SUB_COUNT)
#define US_IN_SECOND 1e6
/* Rendered bucket bounds: powers of two from 64 us to about 1074 s. */
#define FIRST_BOUND_BIT 6
#define LAST_BOUND_BIT 30

enum series_kind {
	SERIES_COUNTER,
	SERIES_GAUGE,
	SERIES_HISTOGRAM,
	SERIES_KINDS,
};

/* Value of a counter or a gauge. */
struct counter {
	_Atomic uint64_t value;
};

struct histogram {
	_Atomic uint64_t count;
	_Atomic uint64_t sum_us;
	_Atomic uint64_t buckets[BUCKET_COUNT];
};

/* One metric with one set of labels. */
struct series {
	char *labels;
	struct counter counter;
	/* NULL for a counter or gauge, because a histogram is over a hundred
	 * times as large. */
	struct histogram *histogram;
};

/* All series of one metric name, in order of creation. */
struct family {
	char *name;
	char *help;
	enum series_kind kind;
	GPtrArray *series;
	GHashTable *by_labels;
};

struct metrics {
	/* Guards the fields below. Recording a value takes no lock: values are
	 * atomic. */
	pthread_mutex_t lock;
	GPtrArray *families;
	GHashTable *by_name;
	size_t series_count;
	/* One shared series of each kind, returned in place of a new series
	 * beyond the limit or of a series of another kind. */
	struct series *overflow[SERIES_KINDS];
};

static struct series *series_create(enum series_kind kind, const char *labels)
{
	struct series *series = g_new0(struct series, 1);

	if (kind == SERIES_HISTOGRAM)
		series->histogram = g_new0(struct histogram, 1);
	series->labels = g_strdup(labels);
	return series;
}

static void series_free(void *data)
{
	struct series *series = data;

	g_free(series->labels);
	g_free(series->histogram);
	g_free(series);
}

static void family_free(void *data)
{
	struct family *family = data;

	g_hash_table_destroy(family->by_labels);
	g_ptr_array_free(family->series, TRUE);
	g_free(family->name);
	g_free(family->help);
	g_free(family);
}

struct metrics *metrics_create(void)
{
	struct metrics *metrics = g_new0(struct metrics, 1);
	int kind;

	pthread_mutex_init(&metrics->lock, NULL);
	metrics->families = g_ptr_array_new_with_free_func(family_free);
	metrics->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	for (kind = 0; kind < SERIES_KINDS; kind++)
		metrics->overflow[kind] = series_create(kind, "");
	return metrics;
}

void metrics_destroy(struct metrics *metrics)
{
	int kind;

	if (!metrics)
		return;
	for (kind = 0; kind < SERIES_KINDS; kind++)
		series_free(metrics->overflow[kind]);
	g_hash_table_destroy(metrics->by_name);
	g_ptr_array_free(metrics->families, TRUE);
	pthread_mutex_destroy(&metrics->lock);
	g_free(metrics);
}

/* Finds or creates the family of a name. The caller holds the lock. An existing
 * family may be of another kind. */
static struct family *ensure_family(struct metrics *metrics,
				    enum series_kind kind, const char *name,
				    const char *help)
{
	struct family *family = g_hash_table_lookup(metrics->by_name, name);

	if (family)
		return family;
	family = g_new0(struct family, 1);
	family->name = g_strdup(name);
	family->help = g_strdup(help);
	family->kind = kind;
	family->series = g_ptr_array_new_with_free_func(series_free);
	family->by_labels = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(metrics->families, family);
	g_hash_table_insert(metrics->by_name, family->name, family);
	return family;
}

static struct series *ensure_series(struct metrics *metrics,
				    enum series_kind kind, const char *name,
				    const char *labels, const char *help)
{
	struct family *family;
	struct series *series;

	pthread_mutex_lock(&metrics->lock);
	family = ensure_family(metrics, kind, name, help);
	series = g_hash_table_lookup(family->by_labels, labels);
	if (family->kind != kind ||
	    (!series && metrics->series_count >= METRICS_SERIES_MAX)) {
		series = metrics->overflow[kind];
	} else if (!series) {
		series = series_create(kind, labels);
		g_ptr_array_add(family->series, series);
		g_hash_table_insert(family->by_labels, series->labels, series);
		metrics->series_count++;
	}
	pthread_mutex_unlock(&metrics->lock);
	return series;
}

struct counter *metrics_counter(struct metrics *metrics, const char *name,
				const char *labels, const char *help)
{
	return &ensure_series(metrics, SERIES_COUNTER, name, labels, help)
			->counter;
}

struct counter *metrics_gauge(struct metrics *metrics, const char *name,
			      const char *labels, const char *help)
{
	return &ensure_series(metrics, SERIES_GAUGE, name, labels, help)
			->counter;
}

struct histogram *metrics_histogram(struct metrics *metrics, const char *name,
				    const char *labels, const char *help)
{
	return ensure_series(metrics, SERIES_HISTOGRAM, name, labels, help)
		->histogram;
}

void counter_add(struct counter *counter, uint64_t n)
{
	atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

void counter_set(struct counter *counter, uint64_t value)
{
	atomic_store_explicit(&counter->value, value, memory_order_relaxed);
}

uint64_t counter_value(const struct counter *counter)
{
	return atomic_load_explicit(&counter->value, memory_order_relaxed);
}

static unsigned int highest_bit(uint64_t value)
{
	return 63u - (unsigned int)__builtin_clzll(value);
}

/* Returns the index of the bucket that counts a value. */
static size_t bucket_of(uint64_t us)
{
	unsigned int bit;
	uint64_t sub;

	if (us < SUB_COUNT)
		return us;
	if (us >> (TOP_BIT + 1))
		return BUCKET_COUNT - 1;
	bit = highest_bit(us);
	sub = (us >> (bit - SUB_BITS)) & (SUB_COUNT - 1);
	return (size_t)(bit - SUB_BITS + 1) * SUB_COUNT + sub;
}

/* Returns the exclusive upper bound of a bucket, in microseconds. */
static uint64_t bucket_end(size_t bucket)
{
	unsigned int shift;

	if (bucket < SUB_COUNT)
		return bucket + 1;
	shift = (unsigned int)(bucket / SUB_COUNT) - 1;
	return (uint64_t)(SUB_COUNT + bucket % SUB_COUNT + 1) << shift;
}

void histogram_record(struct histogram *histogram, int64_t us)
{
	uint64_t value = us > 0 ? (uint64_t)us : 0;

	atomic_fetch_add_explicit(&histogram->buckets[bucket_of(value)], 1,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->sum_us, value,
				  memory_order_relaxed);
	atomic_fetch_add_explicit(&histogram->count, 1, memory_order_relaxed);
}

uint64_t histogram_count(const struct histogram *histogram)
{
	return atomic_load_explicit(&histogram->count, memory_order_relaxed);
}

static uint64_t bucket_count(const struct histogram *histogram, size_t bucket)
{
	return atomic_load_explicit(&histogram->buckets[bucket],
				    memory_order_relaxed);
}

int64_t histogram_quantile(const struct histogram *histogram, double q)
{
	uint64_t total = 0, seen = 0;
	double rank;
	size_t i;

	for (i = 0; i < BUCKET_COUNT; i++)
		total += bucket_count(histogram, i);
	if (!total)
		return 0;
	rank = q * (double)total;
	for (i = 0; i < BUCKET_COUNT; i++) {
		seen += bucket_count(histogram, i);
		if (seen && (double)seen >= rank)
			break;
	}
	return (int64_t)bucket_end(MIN(i, BUCKET_COUNT - 1)) - 1;
}

char *metrics_escape(const char *value)
{
	GString *out = g_string_new(NULL);

	for (; *value; value++) {
		if (*value == '\n') {
			g_string_append(out, "\\n");
			continue;
		}
		if (*value == '\\' || *value == '"')
			g_string_append_c(out, '\\');
		g_string_append_c(out, *value);
	}
	return g_string_free(out, FALSE);
}

static void append_name(GString *out, const char *name, const char *suffix,
			const char *labels)
{
	g_string_append_printf(out, "%s%s", name, suffix);
	if (*labels)
		g_string_append_printf(out, "{%s}", labels);
	g_string_append_c(out, ' ');
}

static void append_count(GString *out, uint64_t value)
{
	g_string_append_printf(out, "%" G_GUINT64_FORMAT "\n", value);
}

/* Appends a line of a histogram: the number of values up to a bound. */
static void append_bound(GString *out, const char *name, const char *labels,
			 const char *bound, uint64_t count)
{
	char *all = g_strdup_printf("%s%sle=\"%s\"", labels, *labels ? "," : "",
				    bound);

	append_name(out, name, "_bucket", all);
	append_count(out, count);
	g_free(all);
}

static void render_histogram(GString *out, const char *name,
			     const struct series *series)
{
	const struct histogram *histogram = series->histogram;
	char bound[G_ASCII_DTOSTR_BUF_SIZE];
	uint64_t seen = 0;
	unsigned int bit;
	size_t i = 0;

	for (bit = FIRST_BOUND_BIT; bit <= LAST_BOUND_BIT; bit++) {
		uint64_t end = UINT64_C(1) << bit;

		for (; i < BUCKET_COUNT && bucket_end(i) <= end; i++)
			seen += bucket_count(histogram, i);
		g_ascii_formatd(bound, sizeof(bound), "%g",
				(double)end / US_IN_SECOND);
		append_bound(out, name, series->labels, bound, seen);
	}
	for (; i < BUCKET_COUNT; i++)
		seen += bucket_count(histogram, i);
	append_bound(out, name, series->labels, "+Inf", seen);
	append_name(out, name, "_sum", series->labels);
	g_ascii_formatd(bound, sizeof(bound), "%.6f",
			(double)atomic_load_explicit(&histogram->sum_us,
						     memory_order_relaxed) /
				US_IN_SECOND);
	g_string_append_printf(out, "%s\n", bound);
	append_name(out, name, "_count", series->labels);
	append_count(out, seen);
}

static void render_family(GString *out, const struct family *family)
{
	static const char *const types[SERIES_KINDS] = {
		[SERIES_COUNTER] = "counter",
		[SERIES_GAUGE] = "gauge",
		[SERIES_HISTOGRAM] = "histogram",
	};
	guint i;

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
			       family->name, family->help, family->name,
			       types[family->kind]);
	for (i = 0; i < family->series->len; i++) {
		const struct series *series =
			g_ptr_array_index(family->series, i);

		if (family->kind == SERIES_HISTOGRAM) {
			render_histogram(out, family->name, series);
			continue;
		}
		append_name(out, family->name, "", series->labels);
		append_count(out, counter_value(&series->counter));
	}
}

char *metrics_render(struct metrics *metrics)
{
	GString *out = g_string_new(NULL);
	guint i;

	pthread_mutex_lock(&metrics->lock);
	for (i = 0; i < metrics->families->len; i++)
		render_family(out, g_ptr_array_index(metrics->families, i));
	pthread_mutex_unlock(&metrics->lock);
	return g_string_free(out, FALSE);
}
