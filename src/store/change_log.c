#include "store/change_log.h"

#include <string.h>

/* A change is sent at once and repeated with the next four heartbeats, so that
 * it survives lost datagrams. */
#define RETENTION_S 1.0
/* Estimated encoded size of a row besides its key and value. */
#define ROW_OVERHEAD_BYTES 24

struct change_log {
	/** Largest value of bytes. */
	size_t bytes_max;
	/** The log holds every change after this version. */
	uint64_t after_version;
	/** Changed rows (struct store_row), oldest first. */
	GArray *rows;
	/** Time in seconds (double) at which each row was added. */
	GArray *times;
	/** Estimated encoded size of all rows. */
	size_t bytes;
};

static void clear_row(gpointer data)
{
	struct store_row *row = data;

	g_free(row->key);
	g_string_free(row->value, TRUE);
}

struct change_log *change_log_create(size_t bytes_max)
{
	struct change_log *log = g_new0(struct change_log, 1);

	log->bytes_max = bytes_max;
	log->rows = g_array_new(FALSE, FALSE, sizeof(struct store_row));
	g_array_set_clear_func(log->rows, clear_row);
	log->times = g_array_new(FALSE, FALSE, sizeof(double));
	return log;
}

void change_log_destroy(struct change_log *log)
{
	if (!log)
		return;
	g_array_free(log->rows, TRUE);
	g_array_free(log->times, TRUE);
	g_free(log);
}

void change_log_reset(struct change_log *log, uint64_t version)
{
	g_array_set_size(log->rows, 0);
	g_array_set_size(log->times, 0);
	log->bytes = 0;
	log->after_version = version;
}

/* Estimates the encoded size of a row in bytes. */
static size_t row_size(const struct store_row *row)
{
	return strlen(row->key) + row->value->len + ROW_OVERHEAD_BYTES;
}

static void drop_oldest(struct change_log *log)
{
	struct store_row *row = &g_array_index(log->rows, struct store_row, 0);

	log->after_version = MAX(log->after_version, row->version);
	log->bytes -= row_size(row);
	g_array_remove_index(log->rows, 0);
	g_array_remove_index(log->times, 0);
}

/* Drops all rows of the oldest transaction together: receivers would take a
 * part of a transaction for all of it. */
static void drop_transaction(struct change_log *log)
{
	do
		drop_oldest(log);
	while (log->rows->len &&
	       g_array_index(log->rows, struct store_row, 0).version <=
		       log->after_version);
}

void change_log_add(struct change_log *log, const struct store_row *row,
		    double now_s)
{
	struct store_row copy = {
		.key = g_strdup(row->key),
		.value = g_string_new_len(row->value ? row->value->str : "",
					  row->value ? (gssize)row->value->len
						     : 0),
		.version = row->version,
		.removed = row->removed,
	};

	log->bytes += row_size(&copy);
	g_array_append_val(log->rows, copy);
	g_array_append_val(log->times, now_s);
	while (log->rows->len && log->bytes > log->bytes_max)
		drop_transaction(log);
}

void change_log_expire(struct change_log *log, double now_s)
{
	while (log->rows->len &&
	       now_s > g_array_index(log->times, double, 0) + RETENTION_S)
		drop_transaction(log);
}

uint64_t change_log_after(const struct change_log *log)
{
	return log->after_version;
}

const GArray *change_log_rows(const struct change_log *log)
{
	return log->rows;
}
