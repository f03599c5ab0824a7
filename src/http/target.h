/**
 * Parses the request target of a caller's request into service and key.
 */
#ifndef HTTP_TARGET_H
#define HTTP_TARGET_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

/** Maximum length of a request target, in bytes. */
#define TARGET_MAX_BYTES 8192

/** A parsed request target; target_clear() frees it. */
struct target {
	/** The first path segment, not percent-decoded. */
	struct str service;
	/** The second path segment, percent-decoded; empty when absent. */
	struct str key;
	/** Buffer that service and key point into. */
	char *texts;
};

/**
 * Validates and splits "/service/key/...?query". Rejects other forms, bytes
 * outside visible ASCII, "#" and backslash, malformed percent-encodings, an
 * encoded NUL, and "." or ".." segments, which an upstream could resolve to
 * another service.
 *
 * @param raw the target as in the request line
 * @param target set on success, for target_clear(); zeroed on failure
 * @param error set to AUBURN_ERROR_INVALID on failure
 * @return false when the target is rejected
 */
bool target_parse(struct str raw, struct target *target, GError **error);

/** Frees a target's buffer and zeroes the target. */
void target_clear(struct target *target);

#endif
