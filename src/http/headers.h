/**
 * List of a message's header fields, with the checks and removals that a proxy
 * must make before it forwards them.
 */
#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Body length: unknown, chunked transfer coding. */
#define HEADERS_LENGTH_CHUNKED INT64_C(-1)
/** Body length: unknown, the body ends when the connection closes. */
#define HEADERS_LENGTH_UNTIL_CLOSE INT64_C(-2)

/** A header field; the list that holds the field owns the strings. */
struct header {
	struct str name;
	struct str value;
};

/** The list of header fields. */
struct headers;

/**
 * Creates an empty list.
 *
 * @return the list, for headers_destroy()
 */
struct headers *headers_create(void);

/** Frees a list and its strings; accepts NULL. */
void headers_destroy(struct headers *headers);

/** Removes every field. */
void headers_clear(struct headers *headers);

/**
 * Appends a field; name and value are copied.
 *
 * @return false when name or value holds bytes that RFC 9110 forbids
 */
bool headers_add(struct headers *headers, struct str name, struct str value);

/**
 * Appends a field from a line "Name: value"; trims white space around the
 * value.
 *
 * @return false when the line is malformed
 */
bool headers_add_line(struct headers *headers, struct str line);

/** Returns the number of fields. */
size_t headers_count(const struct headers *headers);

/** Returns the field at an index, in order of addition; valid until the list
 * changes. */
const struct header *headers_at(const struct headers *headers, size_t index);

/**
 * Finds the first field with a name, ignoring case.
 *
 * @return the field, valid until the list changes; or NULL
 */
const struct header *headers_find(const struct headers *headers,
				  struct str name);

/**
 * Removes hop-by-hop fields, fields that Connection lists, and every Auburn-*
 * field.
 */
void headers_strip(struct headers *headers);

/**
 * Determines the length of a message's body. Framing that two recipients could
 * interpret differently is an error, as it allows request smuggling:
 * Content-Length together with Transfer-Encoding, several or malformed lengths,
 * codings other than a single "chunked".
 *
 * @param length set to the number of bytes, to HEADERS_LENGTH_CHUNKED, or to
 *        HEADERS_LENGTH_UNTIL_CLOSE when neither field is present
 * @param error set to AUBURN_ERROR_PROTOCOL on failure
 * @return false when the framing is ambiguous or malformed
 */
bool headers_body_length(const struct headers *headers, int64_t *length,
			 GError **error);

/** Returns whether two field names are equal, ignoring case. */
bool headers_name_equal(struct str a, struct str b);

#endif
