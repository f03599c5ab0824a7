/**
 * Bytes that only one request's answer holds, made by the upstream stand-in
 * and checked by the load generator.
 */
#ifndef PATTERN_H
#define PATTERN_H

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/**
 * The seed of the answer to a request.
 *
 * @param id the caller's own id of the request (header Load-Id), may be empty
 * @param uri path and query as sent
 */
uint64_t pattern_seed(struct str id, struct str uri);

/**
 * Writes a part of the bytes of a seed.
 *
 * @param offset where the part begins
 * @param buf filled with len bytes
 */
void pattern_fill(uint64_t seed, uint64_t offset, void *buf, size_t len);

/**
 * Compares with a part of the bytes of a seed.
 *
 * @return the number of leading bytes that are right
 */
size_t pattern_match(uint64_t seed, uint64_t offset, const void *buf,
		     size_t len);

#endif
