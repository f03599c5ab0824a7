/**
 * Pseudo-random response bodies, different for each request: the fake upstream
 * generates them and the load generator verifies them.
 */
#ifndef PATTERN_H
#define PATTERN_H

#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/**
 * Returns the seed of the response body of a request.
 *
 * @param id request id set by the caller (header Load-Id), may be empty
 * @param uri path and query as sent
 */
uint64_t pattern_seed(struct str id, struct str uri);

/**
 * Generates a part of a seed's byte sequence.
 *
 * @param offset position of the part in the sequence, in bytes
 * @param buf filled with len bytes
 */
void pattern_fill(uint64_t seed, uint64_t offset, void *buf, size_t len);

/**
 * Compares a buffer with a part of a seed's byte sequence.
 *
 * @param offset position of the part in the sequence, in bytes
 * @return number of leading bytes that match; len when all do
 */
size_t pattern_match(uint64_t seed, uint64_t offset, const void *buf,
		     size_t len);

#endif
