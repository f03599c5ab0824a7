#include "loads/load_columns.h"

#include <math.h>
#include <string.h>
#include <zlib.h>

/* Smallest ratio, and ratio of adjacent codes. Rounding errs by half a step. */
#define RATIO_MIN 0.02
#define RATIO_STEP 1.05
/* Raw deflate. Codes are made anew for each 2048 bytes, so that each column of
 * a large fleet has its own; more memory would mix the columns. */
#define WINDOW_BITS (-12)
#define MEMORY_LEVEL 5
/* Columns of outcomes: answers, ratios, failures, factors. */
#define OUTCOME_COLUMNS 4
/* An entry of a report begins with the number of requests in flight, above the
 * flags; the largest stands for one that follows. */
#define REPORT_ANSWERS 1u
#define REPORT_FAILURES 2u
#define REPORT_FLIGHTS_SHIFT 2
#define REPORT_FLIGHTS_MORE 63u

uint8_t load_ratio_encode(double ratio)
{
	double code;

	if (!(ratio > 0))
		return 0;
	code = 1 + round(log(ratio / RATIO_MIN) / log(RATIO_STEP));
	return (uint8_t)fmin(fmax(code, 1), UINT8_MAX);
}

double load_ratio_decode(uint8_t code)
{
	return code ? RATIO_MIN * pow(RATIO_STEP, code - 1) : 0;
}

/* Counts of outcomes, each in one byte. */
struct count_bytes {
	uint8_t answers, failures;
};

/* Returns the counts of an entry. Large ones are scaled down together, because
 * the share of failures matters. */
static struct count_bytes count_bytes(const struct load_entry *entry)
{
	unsigned int most = MAX(entry->answers, entry->failures);
	double scale =
		most > LOAD_COUNT_MAX ? (double)LOAD_COUNT_MAX / most : 1;

	return (struct count_bytes){
		.answers = (uint8_t)ceil(entry->answers * scale),
		.failures = (uint8_t)ceil(entry->failures * scale),
	};
}

static GByteArray *compress_bytes(const uint8_t *data, size_t len)
{
	GByteArray *out = g_byte_array_new();
	z_stream stream = { 0 };
	int status;

	/* These calls fail only without memory, on which GLib ends the process
	 * too. */
	status = deflateInit2(&stream, Z_BEST_COMPRESSION, Z_DEFLATED,
			      WINDOW_BITS, MEMORY_LEVEL, Z_RLE);
	g_assert(status == Z_OK);
	g_byte_array_set_size(out,
			      (guint)deflateBound(&stream, (uLong)len) + 1);
	stream.next_in = (Bytef *)data;
	stream.avail_in = (uInt)len;
	stream.next_out = out->data;
	stream.avail_out = out->len;
	status = deflate(&stream, Z_FINISH);
	g_assert(status == Z_STREAM_END);
	g_byte_array_set_size(out, (guint)stream.total_out);
	deflateEnd(&stream);
	return out;
}

/* Decompresses exactly len bytes; returns NULL when the data hold others. */
static uint8_t *decompress_bytes(const uint8_t *data, size_t data_len,
				 size_t len)
{
	z_stream stream = { 0 };
	/* A byte more shows that the data are longer. */
	uint8_t *out = g_malloc(len + 1);
	int status = inflateInit2(&stream, WINDOW_BITS);

	g_assert(status == Z_OK);
	stream.next_in = (Bytef *)data;
	stream.avail_in = (uInt)data_len;
	stream.next_out = out;
	stream.avail_out = (uInt)len + 1;
	status = inflate(&stream, Z_FINISH);
	inflateEnd(&stream);
	if (status == Z_STREAM_END && stream.total_out == len)
		return out;
	g_free(out);
	return NULL;
}

GByteArray *load_flights_encode(const struct load_entry *entries, size_t count)
{
	uint8_t *column = g_malloc(count + 1);
	GByteArray *out;
	size_t i;

	for (i = 0; i < count; i++)
		column[i] = (uint8_t)MIN(entries[i].flights, LOAD_COUNT_MAX);
	out = compress_bytes(column, count);
	g_free(column);
	return out;
}

bool load_flights_decode(const uint8_t *data, size_t len,
			 struct load_entry *entries, size_t count)
{
	uint8_t *column = decompress_bytes(data, len, count);
	size_t i;

	if (!column)
		return false;
	for (i = 0; i < count; i++)
		entries[i].flights = column[i];
	g_free(column);
	return true;
}

GByteArray *load_outcomes_encode(const struct load_entry *entries, size_t count)
{
	uint8_t *columns = g_malloc(OUTCOME_COLUMNS * count + 1);
	GByteArray *out;
	size_t i;

	for (i = 0; i < count; i++) {
		const struct load_entry *entry = &entries[i];
		struct count_bytes counts = count_bytes(entry);

		columns[i] = counts.answers;
		columns[count + i] =
			entry->answers ? load_ratio_encode(entry->relative) : 0;
		columns[2 * count + i] = counts.failures;
		columns[3 * count + i] = load_ratio_encode(entry->work_factor);
	}
	out = compress_bytes(columns, OUTCOME_COLUMNS * count);
	g_free(columns);
	return out;
}

bool load_outcomes_decode(const uint8_t *data, size_t len,
			  struct load_entry *entries, size_t count)
{
	uint8_t *columns = decompress_bytes(data, len, OUTCOME_COLUMNS * count);
	size_t i;

	if (!columns)
		return false;
	for (i = 0; i < count; i++) {
		entries[i].answers = columns[i];
		entries[i].relative = load_ratio_decode(columns[count + i]);
		entries[i].failures = columns[2 * count + i];
		entries[i].work_factor =
			load_ratio_decode(columns[3 * count + i]);
	}
	g_free(columns);
	return true;
}

static void append_byte(GByteArray *out, uint8_t byte)
{
	g_byte_array_append(out, &byte, 1);
}

/* Appends a number, seven bits a byte, the lowest first. */
static void append_number(GByteArray *out, uint32_t number)
{
	for (; number > 0x7f; number >>= 7)
		append_byte(out, (uint8_t)(0x80 | (number & 0x7f)));
	append_byte(out, (uint8_t)number);
}

static gint compare_entries(gconstpointer a, gconstpointer b)
{
	const struct load_report_entry *x = a, *y = b;

	return x->number < y->number ? -1 : x->number > y->number;
}

static void append_entry(GByteArray *out, const struct load_entry *load)
{
	unsigned int flights = MIN(load->flights, REPORT_FLIGHTS_MORE);
	struct count_bytes counts = count_bytes(load);
	unsigned int flags = (load->answers ? REPORT_ANSWERS : 0) |
			     (load->failures ? REPORT_FAILURES : 0);

	append_byte(out, (uint8_t)(flights << REPORT_FLIGHTS_SHIFT | flags));
	if (flights == REPORT_FLIGHTS_MORE)
		append_number(out, load->flights);
	if (load->answers) {
		append_byte(out, counts.answers);
		append_byte(out, load_ratio_encode(load->relative));
		append_byte(out, load_ratio_encode(load->work_factor));
	}
	if (load->failures)
		append_byte(out, counts.failures);
}

GByteArray *load_report_encode(GArray *entries)
{
	GByteArray *out = g_byte_array_new();
	uint32_t next = 0;
	guint i;

	g_array_sort(entries, compare_entries);
	for (i = 0; i < entries->len; i++) {
		const struct load_report_entry *entry =
			&g_array_index(entries, struct load_report_entry, i);

		append_number(out, entry->number - next);
		append_entry(out, &entry->load);
		next = entry->number + 1;
	}
	return out;
}

/* Bytes that are being decoded. */
struct reader {
	const uint8_t *next, *end;
	/** The bytes ended too early. */
	bool damaged;
};

static uint8_t read_byte(struct reader *reader)
{
	if (reader->next < reader->end)
		return *reader->next++;
	reader->damaged = true;
	return 0;
}

static uint32_t read_number(struct reader *reader)
{
	uint32_t number = 0;
	unsigned int shift;
	uint8_t byte;

	for (shift = 0; shift < 32; shift += 7) {
		byte = read_byte(reader);
		number |= (uint32_t)(byte & 0x7f) << shift;
		if (!(byte & 0x80))
			return number;
	}
	reader->damaged = true;
	return 0;
}

static void read_entry(struct reader *reader, struct load_entry *load)
{
	uint8_t first = read_byte(reader);

	memset(load, 0, sizeof(*load));
	load->flights = first >> REPORT_FLIGHTS_SHIFT;
	if (load->flights == REPORT_FLIGHTS_MORE)
		load->flights = read_number(reader);
	if (first & REPORT_ANSWERS) {
		load->answers = read_byte(reader);
		load->relative = load_ratio_decode(read_byte(reader));
		load->work_factor = load_ratio_decode(read_byte(reader));
	}
	if (first & REPORT_FAILURES)
		load->failures = read_byte(reader);
}

GArray *load_report_decode(const uint8_t *data, size_t len)
{
	struct reader reader = { data, data + len, false };
	GArray *entries =
		g_array_new(FALSE, FALSE, sizeof(struct load_report_entry));
	uint32_t next = 0;

	while (reader.next < reader.end) {
		struct load_report_entry entry;

		entry.number = next + read_number(&reader);
		read_entry(&reader, &entry.load);
		next = entry.number + 1;
		g_array_append_val(entries, entry);
	}
	if (!reader.damaged)
		return entries;
	g_array_free(entries, TRUE);
	return NULL;
}
