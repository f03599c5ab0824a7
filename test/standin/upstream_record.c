#include "upstream_record.h"

#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/error.h"

struct record {
	/* The log file, opened for appending; -1 when there is none. */
	int fd;
	/* Guards the members below. */
	pthread_mutex_t lock;
	/* Number of executions. */
	uint64_t runs;
	/* Each table maps a text to its number of occurrences. */
	GHashTable *requests, *work, *loads, *violations;
};

static GHashTable *new_counts(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* Writes a line with one write(), so that lines that several processes append
 * to the file don't mix. A failed write is ignored. */
static void append_line(const struct record *record, const GString *line)
{
	ssize_t written = write(record->fd, line->str, line->len);

	(void)written;
}

/* Appends the line that separates the starts of an upstream in the file. */
static void append_start(const struct record *record)
{
	GString *line = g_string_new(NULL);

	g_string_printf(line, "start\t%" PRId64 "\n",
			clock_now_us(clock_system()));
	append_line(record, line);
	g_string_free(line, TRUE);
}

struct record *record_create(const char *path, GError **error)
{
	struct record *record;
	int fd = -1;

	if (*path) {
		fd = open(path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
			  0644);
		if (fd < 0) {
			g_set_error(
				error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
				"cannot open the record file %s for appending",
				path);
			return NULL;
		}
	}
	record = g_new0(struct record, 1);
	record->fd = fd;
	pthread_mutex_init(&record->lock, NULL);
	record->requests = new_counts();
	record->work = new_counts();
	record->loads = new_counts();
	record->violations = new_counts();
	if (fd >= 0)
		append_start(record);
	return record;
}

void record_destroy(struct record *record)
{
	if (record->fd >= 0)
		close(record->fd);
	g_hash_table_unref(record->requests);
	g_hash_table_unref(record->work);
	g_hash_table_unref(record->loads);
	g_hash_table_unref(record->violations);
	pthread_mutex_destroy(&record->lock);
	g_free(record);
}

/* Counts an occurrence of a text; NULL is not counted. */
static void count(GHashTable *counts, const char *text)
{
	gpointer old;

	if (!text)
		return;
	old = g_hash_table_lookup(counts, text);
	g_hash_table_replace(counts, g_strdup(text),
			     GUINT_TO_POINTER(GPOINTER_TO_UINT(old) + 1));
}

/* Returns a text as a field of a line. */
static const char *field(const char *text)
{
	return text && *text ? text : "-";
}

static void append_run(const struct record *record, const struct run *run)
{
	GString *line = g_string_sized_new(256);

	g_string_printf(line, "run\t%" PRId64, run->at_us);
	if (run->keyed)
		g_string_append_printf(line, "\t%016" PRIx64 "\t%" PRIu64,
				       run->hash, run->epoch);
	else
		g_string_append(line, "\t-\t-");
	g_string_append_printf(line, "\t%s\t%s\t%s\t%s\t%s\t%s\n",
			       field(run->request_id), field(run->attempt),
			       field(run->work_id), field(run->load_id),
			       run->method, run->uri);
	append_line(record, line);
	g_string_free(line, TRUE);
}

void record_run(struct record *record, const struct run *run)
{
	bool repeatable =
		!strcmp(run->method, "GET") || !strcmp(run->method, "HEAD");

	if (record->fd >= 0)
		append_run(record, run);
	pthread_mutex_lock(&record->lock);
	record->runs++;
	if (!repeatable) {
		count(record->requests, run->request_id);
		count(record->loads, run->load_id);
	}
	count(record->work, run->work_id);
	pthread_mutex_unlock(&record->lock);
}

void record_grant(struct record *record, int64_t now_us, int64_t until_us,
		  const struct order *order)
{
	GString *line;
	size_t i;

	if (record->fd < 0)
		return;
	line = g_string_sized_new(256);
	g_string_printf(line, "grant\t%" PRId64 "\t%" PRId64 "\t%" PRIu64 "\t",
			now_us, until_us, order->epoch);
	for (i = 0; order->has_ranges && i < order->range_count; i++)
		g_string_append_printf(line, "%s%016" PRIx64 "-%016" PRIx64,
				       i ? "," : "", order->ranges[i].first,
				       order->ranges[i].last);
	/* An order without a list of ranges renews the ranges held before. An
	 * empty list, by contrast, means that none is held. */
	if (!order->has_ranges)
		g_string_append_c(line, '=');
	g_string_append_c(line, '\n');
	append_line(record, line);
	g_string_free(line, TRUE);
}

void record_violation(struct record *record, const char *name)
{
	pthread_mutex_lock(&record->lock);
	count(record->violations, name);
	pthread_mutex_unlock(&record->lock);
}

/* Returns a table of counts as {text: count}, a new reference. */
static json_t *counts_json(GHashTable *counts)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer text, number;

	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, &text, &number))
		json_object_set_new(object, text,
				    json_integer(GPOINTER_TO_UINT(number)));
	return object;
}

json_t *record_counts_json(struct record *record)
{
	json_t *counts;

	pthread_mutex_lock(&record->lock);
	counts = json_pack(
		"{s:I,s:o,s:o,s:o,s:o}", "runs", (json_int_t)record->runs,
		"requests", counts_json(record->requests), "work",
		counts_json(record->work), "loads", counts_json(record->loads),
		"violations", counts_json(record->violations));
	pthread_mutex_unlock(&record->lock);
	return counts;
}
