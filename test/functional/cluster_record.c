#include "cluster_record.h"

#include <string.h>

#include "base/clock.h"

/* Number of tab-separated fields of a "run" and of a "grant" line;
 * test/standin/upstream_record.h describes the lines. */
#define RUN_FIELDS 10
#define GRANT_FIELDS 5
/* Number base of hashes. */
#define HEX 16
/* Hexadecimal digits of a hash; a range is written "FIRST-LAST". */
#define HASH_DIGITS 16

struct execution_record {
	/* struct record_run */
	GArray *runs;
	/* struct ownership_period */
	GArray *periods;
};

static void clear_run(gpointer data)
{
	struct record_run *run = data;

	g_free(run->request_id);
	g_free(run->idempotency_key);
	g_free(run->load_id);
	g_free(run->method);
	g_free(run->uri);
}

struct execution_record *execution_record_create(void)
{
	struct execution_record *record = g_new0(struct execution_record, 1);

	record->runs = g_array_new(FALSE, TRUE, sizeof(struct record_run));
	g_array_set_clear_func(record->runs, clear_run);
	record->periods =
		g_array_new(FALSE, TRUE, sizeof(struct ownership_period));
	return record;
}

void execution_record_destroy(struct execution_record *record)
{
	g_array_unref(record->runs);
	g_array_unref(record->periods);
	g_free(record);
}

static int64_t parse_number(const char *text)
{
	return g_ascii_strtoll(text, NULL, 10);
}

/* Adds the execution that is described by a line
 * "run TIME HASH EPOCH REQUEST ATTEMPT WORK LOAD METHOD URI". */
static void add_run(struct execution_record *record, char **fields,
		    unsigned int upstream)
{
	struct record_run run = {
		.at_us = parse_number(fields[1]),
		.upstream = upstream,
		.keyed = strcmp(fields[2], "-") != 0,
		.hash = g_ascii_strtoull(fields[2], NULL, HEX),
		.epoch = g_ascii_strtoull(fields[3], NULL, 10),
		.request_id = g_strdup(fields[4]),
		.idempotency_key = g_strdup(fields[6]),
		.load_id = g_strdup(fields[7]),
		.method = g_strdup(fields[8]),
		.uri = g_strdup(fields[9]),
	};

	g_array_append_val(record->runs, run);
}

/* State while the record file of one upstream is read. */
struct record_reader {
	struct execution_record *record;
	unsigned int upstream;
	/* struct ownership_period: the ranges of the latest grant. */
	GArray *current;
};

/* Ends ownership of the current ranges at now_us, or at their expiry if that is
 * earlier, and adds their ownership periods to the record. */
static void end_ownership(struct record_reader *reader, int64_t now_us)
{
	guint i;

	for (i = 0; i < reader->current->len; i++) {
		struct ownership_period period = g_array_index(
			reader->current, struct ownership_period, i);

		period.until_us = MIN(period.until_us, now_us);
		if (period.until_us > period.from_us)
			g_array_append_val(reader->record->periods, period);
	}
	g_array_set_size(reader->current, 0);
}

/* Renews the current ranges until until_us. For a range that expired before
 * now_us a new ownership period begins. */
static void renew_ownership(struct record_reader *reader, int64_t now_us,
			    int64_t until_us)
{
	guint i;

	for (i = 0; i < reader->current->len; i++) {
		struct ownership_period *period = &g_array_index(
			reader->current, struct ownership_period, i);

		if (period->until_us < now_us) {
			struct ownership_period ended = *period;

			g_array_append_val(reader->record->periods, ended);
			period->from_us = now_us;
		}
		period->until_us = until_us;
	}
}

/* Makes the ranges "FIRST-LAST,..." the current ones; period has the members
 * that they have in common. */
static void begin_ownership(struct record_reader *reader, const char *ranges,
			    struct ownership_period period)
{
	char **list = g_strsplit(ranges, ",", -1);
	char **p;

	for (p = list; *p && strlen(*p) == 2 * HASH_DIGITS + 1; p++) {
		period.first = g_ascii_strtoull(*p, NULL, HEX);
		period.last = g_ascii_strtoull(*p + HASH_DIGITS + 1, NULL, HEX);
		g_array_append_val(reader->current, period);
	}
	g_strfreev(list);
}

/* Applies a line "grant TIME UNTIL EPOCH RANGES". The text "=" for RANGES
 * renews the current ranges. A grant whose UNTIL is not after TIME revokes
 * them. */
static void add_grant(struct record_reader *reader, char **fields)
{
	struct ownership_period period = {
		.upstream = reader->upstream,
		.from_us = parse_number(fields[1]),
		.until_us = parse_number(fields[2]),
		.epoch = g_ascii_strtoull(fields[3], NULL, 10),
	};

	if (!strcmp(fields[4], "=") && period.until_us > period.from_us) {
		renew_ownership(reader, period.from_us, period.until_us);
		return;
	}
	end_ownership(reader, period.from_us);
	if (period.until_us > period.from_us)
		begin_ownership(reader, fields[4], period);
}

/* Applies a line of a record file; other lines than the known ones are
 * ignored. */
static void add_line(struct record_reader *reader, const char *line)
{
	char **fields = g_strsplit(line, "\t", RUN_FIELDS);
	guint count = g_strv_length(fields);

	if (count == RUN_FIELDS && !strcmp(fields[0], "run"))
		add_run(reader->record, fields, reader->upstream);
	else if (count == GRANT_FIELDS && !strcmp(fields[0], "grant"))
		add_grant(reader, fields);
	/* A restarted process owns nothing until its first grant. */
	else if (count == 2 && !strcmp(fields[0], "start"))
		end_ownership(reader, parse_number(fields[1]));
	g_strfreev(fields);
}

bool execution_record_add_file(struct execution_record *record,
			       const char *path, unsigned int upstream)
{
	struct record_reader reader = { .record = record,
					.upstream = upstream };
	char *text = NULL;
	char **lines, **p;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	reader.current =
		g_array_new(FALSE, TRUE, sizeof(struct ownership_period));
	lines = g_strsplit(text, "\n", -1);
	for (p = lines; *p; p++)
		add_line(&reader, *p);
	end_ownership(&reader, INT64_MAX);
	g_strfreev(lines);
	g_array_unref(reader.current);
	g_free(text);
	return true;
}

const GArray *execution_record_runs(const struct execution_record *record)
{
	return record->runs;
}

static const struct record_run *run_at(const struct execution_record *record,
				       guint i)
{
	return &g_array_index(record->runs, struct record_run, i);
}

static bool may_repeat(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

/* Returns the id under which a request may be executed only once, owned by run;
 * NULL when the request may be executed repeatedly. */
static const char *unrepeatable_id(const struct record_run *run)
{
	if (strcmp(run->idempotency_key, "-") != 0)
		return run->idempotency_key;
	if (may_repeat(run->method))
		return NULL;
	return strcmp(run->load_id, "-") != 0 ? run->load_id : run->request_id;
}

unsigned int execution_record_count_duplicates(struct execution_record *record,
					       const char **first)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTable *twice = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned int count;
	guint i;

	*first = NULL;
	for (i = 0; i < record->runs->len; i++) {
		const char *id = unrepeatable_id(run_at(record, i));

		if (!id || g_hash_table_add(seen, (gpointer)id))
			continue;
		g_hash_table_add(twice, (gpointer)id);
		*first = id;
	}
	count = g_hash_table_size(twice);
	g_hash_table_unref(seen);
	g_hash_table_unref(twice);
	return count;
}

unsigned int
execution_record_count_by_key(const struct execution_record *record,
			      const char *idempotency_key)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < record->runs->len; i++)
		count += !strcmp(run_at(record, i)->idempotency_key,
				 idempotency_key);
	return count;
}

/* Whether two upstreams owned the same hash at the same time. */
static bool overlap(const struct ownership_period *a,
		    const struct ownership_period *b)
{
	return a->upstream != b->upstream && a->first <= b->last &&
	       b->first <= a->last && a->from_us < b->until_us &&
	       b->from_us < a->until_us;
}

static gint compare_starts(gconstpointer a, gconstpointer b)
{
	const struct ownership_period *x = a, *y = b;

	return (x->from_us > y->from_us) - (x->from_us < y->from_us);
}

unsigned int
execution_record_count_overlaps(const struct execution_record *record,
				struct ownership_period *first,
				struct ownership_period *second)
{
	const GArray *periods = record->periods;
	unsigned int count = 0;
	guint i, k;

	g_array_sort(record->periods, compare_starts);
	for (i = 0; i < periods->len; i++) {
		const struct ownership_period *a =
			&g_array_index(periods, struct ownership_period, i);

		for (k = i + 1; k < periods->len; k++) {
			const struct ownership_period *b = &g_array_index(
				periods, struct ownership_period, k);

			/* The periods are sorted: later ones start after a
			 * has ended, too. */
			if (b->from_us >= a->until_us)
				break;
			if (!overlap(a, b))
				continue;
			count++;
			*first = *a;
			*second = *b;
		}
	}
	return count;
}

unsigned int
execution_record_count_between(const struct execution_record *record,
			       unsigned int upstream, int64_t from_us,
			       int64_t until_us)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < record->runs->len; i++) {
		const struct record_run *run = run_at(record, i);

		count += run->upstream == upstream && run->at_us >= from_us &&
			 run->at_us < until_us;
	}
	return count;
}
