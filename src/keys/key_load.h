/**
 * Counts recent requests per key of one service, with exponential decay.
 */
#ifndef KEYS_KEY_LOAD_H
#define KEYS_KEY_LOAD_H

#include <stdint.h>

struct key_load;

/** Creates counters that are all 0; the caller frees them with
 * key_load_destroy(). */
struct key_load *key_load_create(void);
/** Frees the counters; NULL is allowed. */
void key_load_destroy(struct key_load *load);

/** Counts a request for a key. */
void key_load_add(struct key_load *load, uint16_t key);

/** Decays all counts by the time since the last decay. Has no effect less than
 * 0.1 s after the last decay. */
void key_load_decay(struct key_load *load, double now_s);

/** Returns the decayed number of requests for keys first to last. */
double key_load_requests(const struct key_load *load, uint16_t first,
			 uint16_t last);

/** Returns the number of requests per second for all keys together. */
double key_load_per_s(const struct key_load *load);

/** Returns the expected load of keys first to last: key_load_requests() plus a
 * small constant per key, so that idle keys are spread over the owners too. */
double key_load_estimate(const struct key_load *load, uint16_t first,
			 uint16_t last);

/**
 * Finds where to split a key range so that the upper part has a given load.
 *
 * @param upper load of the upper part, as of key_load_estimate()
 * @return first key of the upper part, between first + 1 and last
 */
uint16_t key_load_split_point(const struct key_load *load, uint16_t first,
			      uint16_t last, double upper);

#endif
