/**
 * Length-counted strings. A struct str borrows its bytes: it owns nothing and
 * is valid as long as what it points into.
 */
#ifndef BASE_STR_H
#define BASE_STR_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

struct str {
	const char *data;
	size_t len;
};

/** A string literal as a length-counted string. */
#define STR(literal) ((struct str){ (literal), sizeof(literal) - 1 })

/** Arguments for a "%.*s" conversion. */
#define STR_ARG(s) (int)(s).len, (s).data

/**
 * Wraps a NUL-terminated string.
 *
 * @param text the text, or NULL for an empty string
 * @return a view that borrows the text
 */
static inline struct str str_from(const char *text)
{
	return (struct str){ text, text ? strlen(text) : 0 };
}

/**
 * Compares byte by byte.
 *
 * @return true when both hold the same bytes
 */
static inline bool str_equal(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.data, b.data, a.len));
}

/**
 * Tells whether a string begins with a prefix.
 */
static inline bool str_has_prefix(struct str s, struct str prefix)
{
	return s.len >= prefix.len &&
	       (!prefix.len || !memcmp(s.data, prefix.data, prefix.len));
}

/**
 * Copies into a new NUL-terminated buffer.
 *
 * @return the copy; the caller frees it with g_free()
 */
char *str_dup(struct str s);

#endif
