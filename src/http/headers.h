/**
 * Header fields of one message, and what a router has to check and to remove
 * before it passes them on.
 */
#ifndef HTTP_HEADERS_H
#define HTTP_HEADERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Length of a body that ends with its last chunk. */
#define HEADERS_LENGTH_CHUNKED INT64_C(-1)
/** Length of a body that ends with its connection. */
#define HEADERS_LENGTH_UNTIL_CLOSE INT64_C(-2)

struct header {
	struct str name;
	struct str value;
};

struct headers;

/**
 * Creates an empty list.
 *
 * @return the list; freed with headers_destroy()
 */
struct headers *headers_create(void);

/** Frees a list with its texts. */
void headers_destroy(struct headers *headers);

/** Forgets every field. */
void headers_clear(struct headers *headers);

/**
 * Adds a field; both texts are copied.
 *
 * @return false when the name or the value holds what RFC 9110 forbids
 */
bool headers_add(struct headers *headers, struct str name, struct str value);

/**
 * Adds a field from a line "Name: value", without surrounding white space.
 *
 * @return false when the line is no such field
 */
bool headers_add_line(struct headers *headers, struct str line);

/** The number of fields. */
size_t headers_count(const struct headers *headers);

/** The field at an index, in the order they came. */
const struct header *headers_at(const struct headers *headers, size_t index);

/**
 * Finds the first field of a name, in any case.
 *
 * @return the field, or NULL
 */
const struct header *headers_find(const struct headers *headers,
				  struct str name);

/**
 * Removes what ends at this hop: the connection's own fields, those that
 * Connection names, and every Auburn-* field.
 */
void headers_strip(struct headers *headers);

/**
 * Reads how a message's body is delimited. Anything that two readers could
 * take in two ways is an error: Content-Length beside Transfer-Encoding,
 * several or malformed lengths, codings other than a single "chunked".
 *
 * @param length set to the bytes, to HEADERS_LENGTH_CHUNKED, or to
 *        HEADERS_LENGTH_UNTIL_CLOSE when neither field is there
 * @param error AUBURN_ERROR_PROTOCOL
 */
bool headers_body_length(const struct headers *headers, int64_t *length,
			 GError **error);

/** Compares two names in any case. */
bool headers_name_equal(struct str a, struct str b);

#endif
