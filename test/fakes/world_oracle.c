/* The safety rules that are checked as the simulated cell runs, and queries of
 * its state. */
#include "world_impl.h"

/** Time after a map's publication from which no older map can be in force: the
 * sum of leader authority, grant, safety margin and message delay. */
#define SUPERSEDED_US (1600 * US_PER_MS)

const char *world_violation(const struct world *w)
{
	return w->violation;
}

const struct world_counts *world_counts(const struct world *w)
{
	return &w->counts;
}

int64_t world_now_us(const struct world *w)
{
	return w->now_us;
}

struct slice_map *world_owner_map(const struct world *w)
{
	return w->row_map;
}

struct coordinator *world_coordinator(struct world *w, size_t daemon)
{
	return w->daemons[daemon].c;
}

int world_leader(struct world *w)
{
	size_t i;

	for (i = 0; i < w->config.daemons; i++)
		if (w->daemons[i].alive &&
		    w->now_us >= w->daemons[i].frozen_until_us &&
		    coordinator_has_authority(w->daemons[i].c))
			return (int)i;
	return -1;
}

/* A range of key hashes that an upstream holds under a grant. */
struct held_range {
	struct hash_range range;
	size_t upstream;
};

/* Returns the ranges of grants that are unexpired by the clocks of the live
 * upstreams holding them, sorted; the caller frees the array.
 * Frozen upstreams count: they serve again once they resume. */
static GArray *held_ranges(const struct world *w);

static gint compare_ranges(gconstpointer a, gconstpointer b)
{
	const struct held_range *x = a, *y = b;

	return (x->range.first > y->range.first) -
	       (x->range.first < y->range.first);
}

static GArray *held_ranges(const struct world *w)
{
	GArray *all = g_array_new(FALSE, FALSE, sizeof(struct held_range));
	size_t i, k;

	for (i = 0; i < w->config.upstreams; i++) {
		const struct world_upstream *u = &w->upstreams[i];
		const struct hash_range *ranges;
		size_t count;

		if (!u->alive)
			continue;
		ranges = fence_ranges(u->fence, world_clock_us(&u->time),
				      &count);
		for (k = 0; k < count; k++) {
			struct held_range h = { ranges[k], i };

			g_array_append_val(all, h);
		}
	}
	g_array_sort(all, compare_ranges);
	return all;
}

void world_check_exclusive(struct world *w)
{
	GArray *all = held_ranges(w);
	guint i;

	for (i = 1; i < all->len; i++) {
		const struct held_range *a =
			&g_array_index(all, struct held_range, i - 1);
		const struct held_range *b =
			&g_array_index(all, struct held_range, i);

		if (a->range.last >= b->range.first)
			world_violate(
				w,
				"upstreams %zu and %zu both serve "
				"key hash %016" G_GINT64_MODIFIER "x at %.3f s",
				a->upstream, b->upstream, b->range.first,
				(double)w->now_us / (double)US_PER_SECOND);
	}
	g_array_unref(all);
}

/* Checks that a grant of a lower epoch agrees with the published map, once
 * SUPERSEDED_US has passed since the publication. */
static void check_in_force(struct world *w, size_t upstream,
			   const struct order *order)
{
	const struct slice_map *map = w->published.map;
	size_t i, k;

	if (!map || order->epoch >= slice_map_epoch(map) ||
	    w->now_us < w->published.at_us + SUPERSEDED_US)
		return;
	for (i = 0; i < order->range_count; i++) {
		const struct hash_range *r = &order->ranges[i];

		for (k = slice_map_index(map, r->first);
		     k < slice_map_count(map) &&
		     slice_map_at(map, k)->first <= r->last;
		     k++) {
			uint32_t owner = slice_map_at(map, k)->owner;
			struct str id = owner == SLICE_NO_OWNER
						? STR("")
						: slice_map_owner(map, owner);
			char *own = g_strdup_printf("u%02zu", upstream);

			if (!str_equal(id, str_from(own)))
				world_violate(w,
					      "%s was granted a slice at epoch "
					      "%" G_GUINT64_FORMAT
					      " that the map of epoch "
					      "%" G_GUINT64_FORMAT
					      ", published before, "
					      "does not give it, at %.3f s",
					      own, order->epoch,
					      slice_map_epoch(map),
					      (double)w->now_us /
						      (double)US_PER_SECOND);
			g_free(own);
		}
	}
}

void world_check_grant(struct world *w, size_t upstream,
		       const struct order *order)
{
	if (order->kind != ORDER_GRANT)
		return;
	world_check_exclusive(w);
	check_in_force(w, upstream, order);
}

/* Returns whether a map was ever in the table, with the same content. */
static bool in_history(struct world *w, struct slice_map *map)
{
	uint64_t epoch = slice_map_epoch(map);
	GBytes *kept = g_hash_table_lookup(w->history, &epoch);
	GBytes *row;
	bool same;

	if (!kept)
		return false;
	row = slice_map_encode(map, slice_map_attempt(map));
	same = g_bytes_equal(row, kept);
	g_bytes_unref(row);
	return same;
}

void world_check_published(struct world *w, struct world_daemon *d,
			   struct slice_map *map)
{
	uint64_t epoch = slice_map_epoch(map);

	if (!in_history(w, map))
		world_violate(w,
			      "epoch %" G_GUINT64_FORMAT
			      " was published and is not in the table",
			      epoch);
	if (epoch <= d->published_epoch)
		world_violate(
			w,
			"daemon %zu published an epoch no higher than before",
			d->index);
	d->published_epoch = epoch;
	if (w->published.map && slice_map_epoch(w->published.map) >= epoch)
		return;
	slice_map_destroy(w->published.map);
	w->published.map = slice_map_ref(map);
	w->published.at_us = w->now_us;
}

bool world_serves(const struct world *w, uint64_t hash)
{
	size_t i;

	for (i = 0; i < w->config.upstreams; i++) {
		const struct world_upstream *u = &w->upstreams[i];

		if (u->alive && w->now_us >= u->frozen_until_us &&
		    fence_holds(u->fence, hash, world_clock_us(&u->time)))
			return true;
	}
	return false;
}

double world_served_share(const struct world *w)
{
	GArray *all = held_ranges(w);
	double sum = 0;
	guint i;

	for (i = 0; i < all->len; i++) {
		const struct held_range *h =
			&g_array_index(all, struct held_range, i);

		if (w->now_us >= w->upstreams[h->upstream].frozen_until_us)
			sum += ((double)(h->range.last - h->range.first) + 1) /
			       18446744073709551616.0;
	}
	g_array_unref(all);
	/* The sum can miss 1 by a rounding error. */
	return sum > 1 - 1e-9 ? 1 : sum;
}
