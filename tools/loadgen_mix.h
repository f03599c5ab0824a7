/**
 * Which requests the load generator sends: services by weight, keys by a Zipf
 * law, seeded.
 */
#ifndef LOADGEN_MIX_H
#define LOADGEN_MIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One kind of request. */
struct mix_item {
	char *service;
	double weight;
	bool post;
	/** Carries an idempotency key. */
	bool once;
	/** Size of the answer asked for, and of the body sent. */
	int64_t bytes, body;
	/** Time the upstream takes; negative: its own choice. */
	int64_t run_us;
	/** How fast the answer is read; 0: as fast as it comes. */
	int64_t bytes_per_second;
};

struct mix;

/**
 * Reads a mix: items separated by commas, each
 * SERVICE=WEIGHT[:post][:once][:bytes=N][:body=N][:run_us=N][:speed=N].
 *
 * @param error AUBURN_ERROR_INVALID, names the item
 * @return a new mix, or NULL
 */
struct mix *mix_parse(const char *text, GError **error);

void mix_destroy(struct mix *mix);

/** The number of items. */
size_t mix_count(const struct mix *mix);

/** An item by its index. */
const struct mix_item *mix_at(const struct mix *mix, size_t index);

/**
 * Chooses an item by weight.
 *
 * @return its index
 */
size_t mix_choose(const struct mix *mix, GRand *rand);

struct key_law;

/**
 * Creates a Zipf law over keys.
 *
 * @param count number of keys
 * @param exponent 0 for uniform
 */
struct key_law *key_law_create(unsigned int count, double exponent);

void key_law_destroy(struct key_law *law);

/**
 * Chooses a key.
 *
 * @param shift moves the hottest keys to others
 * @return a number below the count
 */
unsigned int key_law_choose(const struct key_law *law, GRand *rand,
			    unsigned int shift);

#endif
