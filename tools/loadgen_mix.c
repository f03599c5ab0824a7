#include "loadgen_mix.h"

#include <math.h>
#include <string.h>

#include "base/error.h"

/* Size of an answer's body when an item has no bytes=N. */
#define DEFAULT_BYTES 256
/*
 * Distance by which a shift moves the hottest keys. Large, so that they aren't
 * keys of neighbouring rank; a prime, so coprime to most counts of keys.
 */
#define SHIFT_STEP 7919

struct mix {
	/* Items of the mix (struct mix_item). */
	GArray *items;
	double weight_sum;
};

struct key_distribution {
	/* Number of keys. */
	unsigned int count;
	/* Cumulative distribution: sums[i] is the probability that a key's rank
	 * is at most i. Rank 0 is the most frequent one. */
	double *sums;
};

/*
 * Parses "NAME=N" into out. Returns false when text has another name, or N
 * isn't a number of at least 0.
 */
static bool parse_number(const char *text, const char *name, int64_t *out)
{
	size_t len = strlen(name);
	char *end;

	if (strncmp(text, name, len) != 0 || text[len] != '=')
		return false;
	*out = g_ascii_strtoll(text + len + 1, &end, 10);
	return end != text + len + 1 && !*end && *out >= 0;
}

/* Parses one option of an item, such as "post" or "bytes=N". */
static bool parse_item_option(struct mix_item *item, const char *word)
{
	if (!strcmp(word, "post"))
		item->post = true;
	else if (!strcmp(word, "once"))
		item->send_idempotency_key = true;
	else
		return parse_number(word, "bytes", &item->bytes) ||
		       parse_number(word, "body", &item->body) ||
		       parse_number(word, "run_us", &item->run_us) ||
		       parse_number(word, "speed", &item->bytes_per_second);
	return true;
}

/*
 * Parses "SERVICE=WEIGHT[:OPTION]...". The item's service is allocated even on
 * some errors; clear_item() frees it.
 */
static bool parse_item(const char *text, struct mix_item *item)
{
	char **words = g_strsplit(text, ":", -1);
	char *equals = words[0] ? strchr(words[0], '=') : NULL;
	bool ok = equals && equals != words[0];
	size_t i;

	*item = (struct mix_item){ .bytes = DEFAULT_BYTES, .run_us = -1 };
	if (ok) {
		item->service = g_strndup(words[0], (gsize)(equals - words[0]));
		item->weight = g_ascii_strtod(equals + 1, NULL);
		ok = item->weight > 0;
		for (i = 1; ok && words[i]; i++)
			ok = parse_item_option(item, words[i]);
	}
	g_strfreev(words);
	return ok;
}

static void clear_item(gpointer data)
{
	g_free(((struct mix_item *)data)->service);
}

struct mix *mix_parse(const char *text, GError **error)
{
	struct mix *mix = g_new0(struct mix, 1);
	char **parts = g_strsplit(text, ",", -1);
	bool ok = parts[0] != NULL;
	char **p;

	mix->items = g_array_new(FALSE, FALSE, sizeof(struct mix_item));
	g_array_set_clear_func(mix->items, clear_item);
	for (p = parts; ok && *p; p++) {
		struct mix_item item;

		ok = parse_item(*p, &item);
		g_array_append_val(mix->items, item);
		mix->weight_sum += item.weight;
		if (!ok)
			g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
				    "--mix: invalid item \"%s\", expected "
				    "SERVICE=WEIGHT[:OPTION]...",
				    *p);
	}
	g_strfreev(parts);
	if (ok)
		return mix;
	if (error && !*error)
		g_set_error_literal(error, AUBURN_ERROR, AUBURN_ERROR_INVALID,
				    "--mix: the list of items is empty");
	mix_destroy(mix);
	return NULL;
}

void mix_destroy(struct mix *mix)
{
	g_array_unref(mix->items);
	g_free(mix);
}

size_t mix_count(const struct mix *mix)
{
	return mix->items->len;
}

const struct mix_item *mix_at(const struct mix *mix, size_t index)
{
	return &g_array_index(mix->items, struct mix_item, index);
}

size_t mix_choose(const struct mix *mix, GRand *rand)
{
	double left = g_rand_double(rand) * mix->weight_sum;
	size_t i;

	for (i = 0; i + 1 < mix->items->len; i++) {
		left -= mix_at(mix, i)->weight;
		if (left < 0)
			break;
	}
	return i;
}

struct key_distribution *key_distribution_create(unsigned int count,
						 double exponent)
{
	struct key_distribution *distribution =
		g_new0(struct key_distribution, 1);
	double sum = 0;
	unsigned int i;

	distribution->count = count;
	distribution->sums = g_new0(double, count);
	for (i = 0; i < count; i++) {
		sum += pow(i + 1.0, -exponent);
		distribution->sums[i] = sum;
	}
	for (i = 0; i < count; i++)
		distribution->sums[i] /= sum;
	return distribution;
}

void key_distribution_destroy(struct key_distribution *distribution)
{
	g_free(distribution->sums);
	g_free(distribution);
}

unsigned int
key_distribution_choose(const struct key_distribution *distribution,
			GRand *rand, unsigned int shift)
{
	double u = g_rand_double(rand);
	unsigned int low = 0, high = distribution->count - 1;

	while (low < high) {
		unsigned int middle = low + (high - low) / 2;

		if (distribution->sums[middle] < u)
			low = middle + 1;
		else
			high = middle;
	}
	return (unsigned int)((low + (uint64_t)shift * SHIFT_STEP) %
			      distribution->count);
}
