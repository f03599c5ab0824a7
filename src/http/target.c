#include "http/target.h"

#include <string.h>

#include "base/error.h"

/* Sets an error with a message; returns false. */
static bool target_error(GError **error, const char *message)
{
	g_set_error_literal(error, AUBURN_ERROR, AUBURN_ERROR_INVALID, message);
	return false;
}

/* Returns whether a string holds only visible ASCII except "#" and backslash.
 */
static bool has_allowed_bytes(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++)
		if (s.data[i] <= ' ' || s.data[i] > '~' || s.data[i] == '#' ||
		    s.data[i] == '\\')
			return false;
	return true;
}

/* Decodes the percent-encodings of a string.
 *
 * @param out buffer of at least s.len bytes
 * @param len set to the number of bytes written to out
 * @return false for a malformed encoding or an encoded NUL */
static bool percent_decode(struct str s, char *out, size_t *len)
{
	size_t i, n = 0;

	for (i = 0; i < s.len; i++) {
		int high, low;

		if (s.data[i] != '%') {
			out[n++] = s.data[i];
			continue;
		}
		if (s.len - i < 3)
			return false;
		high = g_ascii_xdigit_value(s.data[i + 1]);
		low = g_ascii_xdigit_value(s.data[i + 2]);
		if (high < 0 || low < 0 || (!high && !low))
			return false;
		out[n++] = (char)(high << 4 | low);
		i += 2;
	}
	*len = n;
	return true;
}

/* Removes the first segment from a path that begins with a slash; returns the
 * segment. */
static struct str next_segment(struct str *path)
{
	struct str segment = { path->data + 1, path->len - 1 };
	const char *slash = memchr(segment.data, '/', segment.len);

	if (slash)
		segment.len = (size_t)(slash - segment.data);
	path->data += segment.len + 1;
	path->len -= segment.len + 1;
	return segment;
}

static bool is_dot_segment(struct str s)
{
	return str_equal(s, STR(".")) || str_equal(s, STR(".."));
}

/* Copies service and key to the target's buffer.
 *
 * @return false for a malformed encoding or a dot segment */
static bool split_path(struct str path, struct target *target)
{
	/* Decoding never lengthens a segment, so the buffer suffices. */
	char *end = target->texts;
	size_t index, len;

	for (index = 0; path.len; index++) {
		struct str segment = next_segment(&path);

		/* Segments after the key are decoded only to validate them. */
		if (!percent_decode(segment, end, &len) ||
		    is_dot_segment((struct str){ end, len }))
			return false;
		if (index == 0) {
			memcpy(end, segment.data, segment.len);
			target->service = (struct str){ end, segment.len };
			end += segment.len;
		} else if (index == 1) {
			target->key = (struct str){ end, len };
			end += len;
		}
	}
	return true;
}

bool target_parse(struct str raw, struct target *target, GError **error)
{
	const char *query = memchr(raw.data, '?', raw.len);
	struct str path = raw;

	*target = (struct target){ 0 };
	if (!raw.len || raw.data[0] != '/')
		return target_error(
			error, "request target does not begin with a slash");
	if (raw.len > TARGET_MAX_BYTES)
		return target_error(error, "request target is too long");
	if (!has_allowed_bytes(raw))
		return target_error(error,
				    "request target contains a forbidden byte");
	if (query)
		path.len = (size_t)(query - raw.data);
	target->texts = g_malloc(path.len);
	if (split_path(path, target))
		return true;
	target_clear(target);
	return target_error(error,
			    "request target contains a malformed path segment");
}

void target_clear(struct target *target)
{
	g_free(target->texts);
	*target = (struct target){ 0 };
}
