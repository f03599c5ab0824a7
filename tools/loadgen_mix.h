/**
 * The load generator's choice of requests: services by weight, keys by a Zipf
 * distribution. The caller's random generator makes it repeatable.
 */
#ifndef LOADGEN_MIX_H
#define LOADGEN_MIX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** A kind of request in the mix. */
struct mix_item {
	/** Name of the service; the first part of the request's path. */
	char *service;
	/** Frequency of the item relative to the other items. */
	double weight;
	/** The method is POST; otherwise GET. */
	bool post;
	/** Requests have an idempotency key. */
	bool send_idempotency_key;
	/** Bytes of the answer to ask for, and of the body that a POST sends.
	 */
	int64_t bytes, body;
	/** How long the upstream shall run the request, in microseconds;
	 * negative: the upstream's default. */
	int64_t run_us;
	/** Rate at which the answer is read; 0: unlimited. */
	int64_t bytes_per_second;
};

/** The items from which requests are drawn at random. */
struct mix;

/**
 * Parses a mix: items separated by commas, each
 * SERVICE=WEIGHT[:post][:once][:bytes=N][:body=N][:run_us=N][:speed=N]. Each
 * option sets a member of struct mix_item: "once" sets send_idempotency_key,
 * "speed" sets bytes_per_second, the others set members of their name.
 *
 * @param error set to AUBURN_ERROR_INVALID; the message names the invalid item
 * @return a new mix to pass to mix_destroy(), or NULL on error
 */
struct mix *mix_parse(const char *text, GError **error);

void mix_destroy(struct mix *mix);

/** Returns the number of items. */
size_t mix_count(const struct mix *mix);

/** Returns an item by its index; the mix keeps ownership. */
const struct mix_item *mix_at(const struct mix *mix, size_t index);

/**
 * Draws a random item by weight.
 *
 * @return its index
 */
size_t mix_choose(const struct mix *mix, GRand *rand);

/** A Zipf distribution over the keys of a service. */
struct key_distribution;

/**
 * Creates a Zipf distribution over keys.
 *
 * @param count number of keys, at least 1
 * @param exponent Zipf exponent; 0 for a uniform distribution
 * @return the distribution; free with key_distribution_destroy()
 */
struct key_distribution *key_distribution_create(unsigned int count,
						 double exponent);

void key_distribution_destroy(struct key_distribution *distribution);

/**
 * Draws a random key.
 *
 * @param shift each value makes other keys the hottest ones
 * @return the key's number, from 0 to count - 1
 */
unsigned int
key_distribution_choose(const struct key_distribution *distribution,
			GRand *rand, unsigned int shift);

#endif
