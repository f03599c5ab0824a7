#include "loads/load_index.h"

/* Messages repeat a newly numbered upstream for this time, in seconds, at
 * least: four load messages at 490 VMs; and for twice that at most. */
#define RECENT_S 2.4
/* Numbers are assigned anew when there are this many times as many as
 * upstreams, and this many more. Until then unused ones cost less than the list
 * that each VM needs afterwards. */
#define UNUSED_FACTOR 1.5
#define UNUSED_SLACK 32
/* Multiplier of the sum, the prime of the 32-bit FNV hash. */
#define SUM_PRIME 16777619u
#define SUM_START 2166136261u

struct load_index {
	/** Hashes of the upstreams' ids (uint32_t), by number. */
	GArray *upstreams;
	/** Sum (uint32_t) over the upstreams up to and with each number. */
	GArray *sums;
	/** Maps a hash to its number plus one. */
	GHashTable *numbers;
	/** First numbers that were assigned in the last two periods of
	 * RECENT_S, and when the later one began. */
	guint older_from, newer_from;
	double newer_s;
};

struct load_index *load_index_create(void)
{
	struct load_index *index = g_new0(struct load_index, 1);

	index->upstreams = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	index->sums = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	index->numbers = g_hash_table_new(NULL, NULL);
	return index;
}

void load_index_destroy(struct load_index *index)
{
	if (!index)
		return;
	g_array_free(index->upstreams, TRUE);
	g_array_free(index->sums, TRUE);
	g_hash_table_destroy(index->numbers);
	g_free(index);
}

/* Returns the sum over the first upstreams. */
static uint32_t sum_of(const struct load_index *index, guint count)
{
	return count ? g_array_index(index->sums, uint32_t, count - 1)
		     : SUM_START;
}

struct load_index_state load_index_state(const struct load_index *index)
{
	guint count = index->upstreams->len;

	return (struct load_index_state){ count, sum_of(index, count) };
}

bool load_index_knows(const struct load_index *index,
		      const struct load_index_state *state)
{
	return state->count <= index->upstreams->len &&
	       sum_of(index, state->count) == state->sum;
}

uint32_t load_index_number(const struct load_index *index, uint32_t upstream)
{
	gpointer number =
		g_hash_table_lookup(index->numbers, GUINT_TO_POINTER(upstream));

	return number ? GPOINTER_TO_UINT(number) - 1 : LOAD_INDEX_NONE;
}

uint32_t load_index_upstream(const struct load_index *index, uint32_t number)
{
	return g_array_index(index->upstreams, uint32_t, number);
}

static uint32_t add_to_sum(uint32_t sum, uint32_t upstream)
{
	return (sum ^ upstream) * SUM_PRIME;
}

static void append(struct load_index *index, uint32_t upstream)
{
	guint count = index->upstreams->len;
	uint32_t sum = add_to_sum(sum_of(index, count), upstream);

	g_array_append_val(index->upstreams, upstream);
	g_array_append_val(index->sums, sum);
	g_hash_table_insert(index->numbers, GUINT_TO_POINTER(upstream),
			    GUINT_TO_POINTER(count + 1));
}

/* Drops the numbers from count on. */
static void truncate_to(struct load_index *index, guint count)
{
	guint i;

	for (i = count; i < index->upstreams->len; i++)
		g_hash_table_remove(
			index->numbers,
			GUINT_TO_POINTER(load_index_upstream(index, i)));
	g_array_set_size(index->upstreams, MIN(count, index->upstreams->len));
	g_array_set_size(index->sums, index->upstreams->len);
}

static gint compare_hashes(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

/* Notes that the upstreams from a number on are new. */
static void note_recent(struct load_index *index, guint from, double now_s)
{
	if (now_s <= index->newer_s + RECENT_S) {
		index->newer_from = MIN(index->newer_from, from);
		index->older_from = MIN(index->older_from, from);
		return;
	}
	index->older_from = now_s > index->newer_s + 2 * RECENT_S
				    ? from
				    : MIN(index->newer_from, from);
	index->newer_from = from;
	index->newer_s = now_s;
}

void load_index_update(struct load_index *index, GArray *upstreams,
		       double now_s)
{
	guint old, i;

	if (index->upstreams->len >
	    upstreams->len * UNUSED_FACTOR + UNUSED_SLACK)
		truncate_to(index, 0);
	old = index->upstreams->len;
	g_array_sort(upstreams, compare_hashes);
	for (i = 0; i < upstreams->len; i++) {
		uint32_t upstream = g_array_index(upstreams, uint32_t, i);

		if (load_index_number(index, upstream) == LOAD_INDEX_NONE)
			append(index, upstream);
	}
	/* A new index holds the sorted upstreams, which the other VMs know. */
	if (!old)
		index->older_from = index->newer_from = index->upstreams->len;
	else if (index->upstreams->len > old)
		note_recent(index, old, now_s);
}

const uint32_t *load_index_recent(const struct load_index *index, double now_s,
				  size_t *count)
{
	*count = 0;
	if (now_s > index->newer_s + 2 * RECENT_S ||
	    index->older_from >= index->upstreams->len)
		return NULL;
	*count = index->upstreams->len - index->older_from;
	return &g_array_index(index->upstreams, uint32_t, index->older_from);
}

bool load_index_adopt(struct load_index *index,
		      const struct load_index_state *state, GArray *upstreams)
{
	uint32_t sum = SUM_START;
	guint i;

	if (upstreams->len != state->count)
		return false;
	g_array_sort(upstreams, compare_hashes);
	for (i = 0; i < upstreams->len; i++)
		sum = add_to_sum(sum, g_array_index(upstreams, uint32_t, i));
	if (sum != state->sum)
		return false;
	load_index_replace(index, (const uint32_t *)(void *)upstreams->data,
			   upstreams->len);
	return true;
}

/* Returns the sum over the first upstreams and some further ones. */
static uint32_t sum_with(const struct load_index *index, guint count,
			 const uint32_t *further, size_t further_count)
{
	uint32_t sum = sum_of(index, count);
	size_t i;

	for (i = 0; i < further_count; i++)
		sum = add_to_sum(sum, further[i]);
	return sum;
}

bool load_index_follow(struct load_index *index,
		       const struct load_index_state *state,
		       const uint32_t *recent, size_t recent_count)
{
	guint before;
	size_t i;

	if (load_index_knows(index, state)) {
		truncate_to(index, state->count);
		return true;
	}
	if (recent_count > state->count)
		return false;
	before = state->count - (guint)recent_count;
	if (before > index->upstreams->len ||
	    sum_with(index, before, recent, recent_count) != state->sum)
		return false;
	truncate_to(index, before);
	for (i = 0; i < recent_count; i++)
		append(index, recent[i]);
	return true;
}

void load_index_replace(struct load_index *index, const uint32_t *upstreams,
			size_t count)
{
	size_t i;

	truncate_to(index, 0);
	for (i = 0; i < count; i++)
		append(index, upstreams[i]);
}

const GArray *load_index_all(const struct load_index *index)
{
	return index->upstreams;
}
