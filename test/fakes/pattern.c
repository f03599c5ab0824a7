#include "pattern.h"

#include <glib.h>
#include <string.h>

#include "base/hash.h"

#define WORD_BYTES sizeof(uint64_t)
/* pattern_match() generates the expected bytes in parts of this size. */
#define PART_BYTES 4096

/* Returns the word at an index of the sequence that splitmix64 generates from
 * the seed, without computing the words before it. */
static uint64_t word_at(uint64_t seed, uint64_t index)
{
	uint64_t z = seed + (index + 1) * UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

uint64_t pattern_seed(struct str id, struct str uri)
{
	return hash_seeded(uri, hash_key(id));
}

void pattern_fill(uint64_t seed, uint64_t offset, void *buf, size_t len)
{
	unsigned char *out = buf;

	while (len) {
		uint64_t word =
			GUINT64_TO_LE(word_at(seed, offset / WORD_BYTES));
		size_t skip = offset % WORD_BYTES;
		size_t n = MIN(len, WORD_BYTES - skip);

		memcpy(out, (unsigned char *)&word + skip, n);
		out += n;
		offset += n;
		len -= n;
	}
}

/* Returns the number of leading bytes that are equal. */
static size_t equal_prefix(const unsigned char *a, const unsigned char *b,
			   size_t len)
{
	size_t i;

	for (i = 0; i < len; i++)
		if (a[i] != b[i])
			return i;
	return len;
}

size_t pattern_match(uint64_t seed, uint64_t offset, const void *buf,
		     size_t len)
{
	unsigned char part[PART_BYTES];
	size_t done = 0;

	while (done < len) {
		size_t n = MIN(len - done, sizeof(part));

		pattern_fill(seed, offset + done, part, n);
		if (memcmp(part, (const unsigned char *)buf + done, n) != 0)
			return done +
			       equal_prefix((const unsigned char *)buf + done,
					    part, n);
		done += n;
	}
	return len;
}
