/**
 * String views with an explicit length. A struct str borrows its bytes and is
 * valid as long as the buffer it points into. It is not NUL-terminated.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/** View of bytes that someone else owns. */
struct str {
	const char *data;
	size_t len;
};

/** View of a string literal. */
#define STR(literal) ((struct str){ (literal), sizeof(literal) - 1 })

/** Arguments for a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).data

/**
 * Returns a view of a NUL-terminated string.
 *
 * @param text the string, or NULL for an empty view
 */
static inline struct str str_from(const char *text)
{
	return (struct str){ text, text ? strlen(text) : 0 };
}

/**
 * Returns whether two strings hold the same bytes.
 */
static inline bool str_equal(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

/**
 * Returns whether a string begins with a prefix.
 */
static inline bool str_has_prefix(struct str s, struct str prefix)
{
	return s.len >= prefix.len &&
	       (!prefix.len || !memcmp(s.data, prefix.data, prefix.len));
}

/**
 * Copies a string into a new NUL-terminated buffer.
 *
 * @return the copy; the caller frees it with g_free()
 */
char *str_dup(struct str s);

#endif
