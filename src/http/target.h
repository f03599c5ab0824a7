/**
 * The request target of a caller's request: service and key by path segment.
 */
#ifndef HTTP_TARGET_H
#define HTTP_TARGET_H

#include <glib.h>
#include <stdbool.h>

#include "base/str.h"

/** Longest request target, in bytes. */
#define TARGET_MAX_BYTES 8192

struct target {
	/** The first segment as it stands. */
	struct str service;
	/** The second segment, percent-decoded; empty when there is none. */
	struct str key;
	/** What the two point into. */
	char *texts;
};

/**
 * Checks and splits "/service/key/...?query". Refused are other forms, bytes
 * outside of visible ASCII, bad percent-encodings, an encoded NUL, and "." or
 * ".." segments, which an upstream could resolve to another service.
 *
 * @param raw the target as it stands in the request line
 * @param target set on success; freed with target_clear()
 * @param error AUBURN_ERROR_INVALID
 */
bool target_parse(struct str raw, struct target *target, GError **error);

/** Frees what a target owns. */
void target_clear(struct target *target);

#endif
