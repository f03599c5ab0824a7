#include "keys/published_map.h"

struct range {
	uint16_t first;
	uint16_t last;
};

struct published_map {
	/** As last told. */
	struct key_map *last;
	/** Of struct range: changed since all was told. */
	GArray *changed;
};

struct published_map *published_map_create(void)
{
	struct published_map *told = g_new0(struct published_map, 1);

	told->last = key_map_create();
	told->changed = g_array_new(FALSE, FALSE, sizeof(struct range));
	return told;
}

void published_map_destroy(struct published_map *told)
{
	if (!told)
		return;
	key_map_destroy(told->last);
	g_array_free(told->changed, TRUE);
	g_free(told);
}

void published_map_snapshot(struct published_map *told,
			    const struct key_map *map)
{
	key_map_copy(told->last, map);
	g_array_set_size(told->changed, 0);
}

/* How long a span stays without an owner is told anew each time. */
static bool is_same(const struct key_span *a, const struct key_span *b)
{
	return a->first == b->first && a->last == b->last && a->owner &&
	       a->owner == b->owner && a->started_ms == b->started_ms &&
	       a->fence == b->fence;
}

static bool is_changed(const struct published_map *told,
		       const struct key_span *span)
{
	guint i;

	for (i = 0; i < told->changed->len; i++) {
		const struct range *range =
			&g_array_index(told->changed, struct range, i);

		if (span->first <= range->last && range->first <= span->last)
			return true;
	}
	return false;
}

void published_map_delta(struct published_map *told, const struct key_map *map,
			 struct key_map *changes)
{
	guint i;

	g_array_set_size(changes->spans, 0);
	changes->version = map->version;
	changes->fence = map->fence;
	for (i = 0; i < map->spans->len; i++) {
		const struct key_span *span =
			&g_array_index(map->spans, struct key_span, i);
		struct range range = { span->first, span->last };

		if (!is_changed(told, span)) {
			if (is_same(span,
				    key_map_find(told->last, span->first)))
				continue;
			g_array_append_val(told->changed, range);
		}
		g_array_append_val(changes->spans, *span);
	}
	key_map_copy(told->last, map);
}
