#include "keys/published_map.h"

/** A range of keys; both bounds are inside it. */
struct range {
	uint16_t first;
	uint16_t last;
};

struct published_map {
	/** The map as last sent. */
	struct key_map *last;
	/** Key ranges that changed since the snapshot, as struct range. */
	GArray *changed;
};

struct published_map *published_map_create(void)
{
	struct published_map *published = g_new0(struct published_map, 1);

	published->last = key_map_create();
	published->changed = g_array_new(FALSE, FALSE, sizeof(struct range));
	return published;
}

void published_map_destroy(struct published_map *published)
{
	if (!published)
		return;
	key_map_destroy(published->last);
	g_array_free(published->changed, TRUE);
	g_free(published);
}

void published_map_snapshot(struct published_map *published,
			    const struct key_map *map)
{
	key_map_copy(published->last, map);
	g_array_set_size(published->changed, 0);
}

/* Compares two spans. Spans without an owner always count as changed, because
 * their expected wait has to be sent again each time. */
static bool is_same(const struct key_span *a, const struct key_span *b)
{
	return a->first == b->first && a->last == b->last && a->owner &&
	       a->owner == b->owner && a->started_ms == b->started_ms &&
	       a->fence == b->fence;
}

/* Whether a span overlaps a key range that changed since the snapshot. */
static bool is_changed(const struct published_map *published,
		       const struct key_span *span)
{
	guint i;

	for (i = 0; i < published->changed->len; i++) {
		const struct range *range =
			&g_array_index(published->changed, struct range, i);

		if (span->first <= range->last && range->first <= span->last)
			return true;
	}
	return false;
}

void published_map_delta(struct published_map *published,
			 const struct key_map *map, struct key_map *changes)
{
	guint i;

	g_array_set_size(changes->spans, 0);
	changes->version = map->version;
	changes->fence = map->fence;
	for (i = 0; i < map->spans->len; i++) {
		const struct key_span *span =
			&g_array_index(map->spans, struct key_span, i);
		struct range range = { span->first, span->last };

		if (!is_changed(published, span)) {
			if (is_same(span,
				    key_map_find(published->last, span->first)))
				continue;
			g_array_append_val(published->changed, range);
		}
		g_array_append_val(changes->spans, *span);
	}
	key_map_copy(published->last, map);
}
