/**
 * How often each key of a service is requested, smoothed over some seconds.
 */
#ifndef KEYS_KEY_LOAD_H
#define KEYS_KEY_LOAD_H

#include <stdint.h>

struct key_load;

struct key_load *key_load_create(void);
void key_load_destroy(struct key_load *load);

/** Counts a request. */
void key_load_add(struct key_load *load, uint16_t key);

/** Lets time pass: old requests count less. */
void key_load_decay(struct key_load *load, double now_s);

/** Requests for keys from first to last that still count. */
double key_load_requests(const struct key_load *load, uint16_t first,
			 uint16_t last);

/** The same with what every key counts, so that idle keys are spread too. */
double key_load_weighted(const struct key_load *load, uint16_t first,
			 uint16_t last);

/**
 * Where to cut a range so that its upper part carries about a given load.
 *
 * @return the upper part's first key; above first, last at most
 */
uint16_t key_load_split_point(const struct key_load *load, uint16_t first,
			      uint16_t last, double upper);

#endif
