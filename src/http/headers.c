#include "http/headers.h"

#include "base/error.h"

#define DECIMAL_BASE 10

struct headers {
	/** Elements: struct header. */
	GArray *fields;
	/** Storage of the names and values. */
	GStringChunk *texts;
};

/* Size of the blocks in which names and values are allocated. */
#define TEXTS_BLOCK_BYTES 2048

/* Fields that concern a single connection and must not be forwarded. */
static const struct str hop_by_hop[] = {
	{ "connection", 10 },
	{ "keep-alive", 10 },
	{ "proxy-connection", 16 },
	{ "proxy-authenticate", 18 },
	{ "proxy-authorization", 19 },
	{ "te", 2 },
	{ "trailer", 7 },
	{ "transfer-encoding", 17 },
	{ "upgrade", 7 },
	{ "http2-settings", 14 },
};

struct headers *headers_create(void)
{
	struct headers *headers = g_new0(struct headers, 1);

	headers->fields = g_array_new(FALSE, FALSE, sizeof(struct header));
	headers->texts = g_string_chunk_new(TEXTS_BLOCK_BYTES);
	return headers;
}

void headers_destroy(struct headers *headers)
{
	if (!headers)
		return;
	g_array_free(headers->fields, TRUE);
	g_string_chunk_free(headers->texts);
	g_free(headers);
}

void headers_clear(struct headers *headers)
{
	g_array_set_size(headers->fields, 0);
	g_string_chunk_clear(headers->texts);
}

/* Returns whether a string is a token of RFC 9110, as field names must be. */
static bool is_token(struct str s)
{
	static const char marks[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.data[i]) &&
		    (!s.data[i] || !strchr(marks, s.data[i])))
			return false;
	return s.len > 0;
}

/* Returns whether a string holds no control characters except tabs. */
static bool is_field_value(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

static struct str copy_text(struct headers *headers, struct str s)
{
	struct str copy = { NULL, s.len };

	copy.data = g_string_chunk_insert_len(
		headers->texts, s.len ? s.data : "", (gssize)s.len);
	return copy;
}

bool headers_add(struct headers *headers, struct str name, struct str value)
{
	struct header field;

	if (!is_token(name) || !is_field_value(value))
		return false;
	field.name = copy_text(headers, name);
	field.value = copy_text(headers, value);
	g_array_append_val(headers->fields, field);
	return true;
}

static struct str trim(struct str s)
{
	while (s.len && (*s.data == ' ' || *s.data == '\t')) {
		s.data++;
		s.len--;
	}
	while (s.len && (s.data[s.len - 1] == ' ' || s.data[s.len - 1] == '\t'))
		s.len--;
	return s;
}

bool headers_add_line(struct headers *headers, struct str line)
{
	const char *colon = memchr(line.data, ':', line.len);
	struct str name, value;

	if (!colon)
		return false;
	name = (struct str){ line.data, (size_t)(colon - line.data) };
	value = (struct str){ colon + 1, line.len - name.len - 1 };
	return headers_add(headers, name, trim(value));
}

size_t headers_count(const struct headers *headers)
{
	return headers->fields->len;
}

const struct header *headers_at(const struct headers *headers, size_t index)
{
	return &g_array_index(headers->fields, struct header, index);
}

bool headers_name_equal(struct str a, struct str b)
{
	return a.len == b.len && !g_ascii_strncasecmp(a.data, b.data, a.len);
}

const struct header *headers_find(const struct headers *headers,
				  struct str name)
{
	size_t i;

	for (i = 0; i < headers_count(headers); i++)
		if (headers_name_equal(headers_at(headers, i)->name, name))
			return headers_at(headers, i);
	return NULL;
}

/* Returns whether a comma-separated list holds a name, ignoring case. */
static bool list_contains(struct str list, struct str name)
{
	while (list.len) {
		const char *comma = memchr(list.data, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.data) : list.len;

		if (headers_name_equal(trim((struct str){ list.data, len }),
				       name))
			return true;
		len += comma ? 1 : 0;
		list.data += len;
		list.len -= len;
	}
	return false;
}

/* Returns whether a Connection field lists a name. */
static bool named_by_connection(const struct headers *headers, struct str name)
{
	size_t i;

	for (i = 0; i < headers_count(headers); i++) {
		const struct header *field = headers_at(headers, i);

		if (headers_name_equal(field->name, STR("connection")) &&
		    list_contains(field->value, name))
			return true;
	}
	return false;
}

static bool is_auburn_field(struct str name)
{
	static const struct str prefix = { "auburn-", 7 };

	return name.len >= prefix.len &&
	       !g_ascii_strncasecmp(name.data, prefix.data, prefix.len);
}

/* Returns whether headers_strip() removes the fields with a name. */
static bool must_strip(const struct headers *headers, struct str name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(hop_by_hop); i++)
		if (headers_name_equal(hop_by_hop[i], name))
			return true;
	return is_auburn_field(name) || named_by_connection(headers, name);
}

void headers_strip(struct headers *headers)
{
	GArray *kept = g_array_sized_new(FALSE, FALSE, sizeof(struct header),
					 headers->fields->len);
	size_t i;

	for (i = 0; i < headers_count(headers); i++) {
		const struct header *field = headers_at(headers, i);

		if (!must_strip(headers, field->name))
			g_array_append_vals(kept, field, 1);
	}
	g_array_free(headers->fields, TRUE);
	headers->fields = kept;
}

/* Parses a decimal number. @return false when malformed or above INT64_MAX */
static bool parse_length(struct str text, int64_t *length)
{
	size_t i;

	*length = 0;
	if (!text.len)
		return false;
	for (i = 0; i < text.len; i++) {
		int digit = g_ascii_digit_value(text.data[i]);

		if (digit < 0 || *length > (INT64_MAX - digit) / DECIMAL_BASE)
			return false;
		*length = *length * DECIMAL_BASE + digit;
	}
	return true;
}

/* Sets an error about the length of the body; returns false. */
static bool framing_error(GError **error, const char *message)
{
	g_set_error_literal(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    message);
	return false;
}

bool headers_body_length(const struct headers *headers, int64_t *length,
			 GError **error)
{
	const struct header *content_length = NULL, *transfer_encoding = NULL;
	size_t i;

	for (i = 0; i < headers_count(headers); i++) {
		const struct header *field = headers_at(headers, i);

		if (headers_name_equal(field->name, STR("content-length"))) {
			if (content_length)
				return framing_error(
					error, "repeated Content-Length field");
			content_length = field;
		}
		if (headers_name_equal(field->name, STR("transfer-encoding"))) {
			if (transfer_encoding)
				return framing_error(
					error,
					"repeated Transfer-Encoding field");
			transfer_encoding = field;
		}
	}
	if (content_length && transfer_encoding)
		return framing_error(
			error, "both Content-Length and Transfer-Encoding");
	if (transfer_encoding &&
	    !headers_name_equal(transfer_encoding->value, STR("chunked")))
		return framing_error(error,
				     "Transfer-Encoding is not \"chunked\"");
	if (content_length && !parse_length(content_length->value, length))
		return framing_error(error,
				     "Content-Length is not a valid number");
	if (transfer_encoding)
		*length = HEADERS_LENGTH_CHUNKED;
	else if (!content_length)
		*length = HEADERS_LENGTH_UNTIL_CLOSE;
	return true;
}
