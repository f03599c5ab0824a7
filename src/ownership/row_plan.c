#include "ownership/row_plan.h"

static void owner_clear(gpointer data)
{
	g_free(((struct plan_owner *)data)->id);
}

struct plan_owner *row_plan_owner(const struct row_plan *p, size_t owner)
{
	return &g_array_index(p->owners, struct plan_owner, owner);
}

struct plan_slice *row_plan_slice(const struct row_plan *p, size_t slice)
{
	return &g_array_index(p->slices, struct plan_slice, slice);
}

struct row_plan *row_plan_create(const struct slice_map *map,
				 const double *weights)
{
	struct row_plan *p = g_new0(struct row_plan, 1);
	size_t i;

	p->map = map;
	p->owners = g_array_new(FALSE, TRUE, sizeof(struct plan_owner));
	g_array_set_clear_func(p->owners, owner_clear);
	p->slices = g_array_new(FALSE, TRUE, sizeof(struct plan_slice));
	for (i = 0; i < slice_map_owner_count(map); i++) {
		struct plan_owner o = {
			.id = str_dup(slice_map_owner(map, (uint32_t)i)),
		};

		g_array_append_val(p->owners, o);
	}
	for (i = 0; i < slice_map_count(map); i++) {
		struct plan_slice s = { *slice_map_at(map, i), weights[i] };

		g_array_append_val(p->slices, s);
		if (s.slice.owner != SLICE_NO_OWNER)
			row_plan_owner(p, s.slice.owner)->load += s.weight;
	}
	return p;
}

void row_plan_destroy(struct row_plan *p)
{
	if (!p)
		return;
	g_array_unref(p->owners);
	g_array_unref(p->slices);
	g_free(p);
}

void row_plan_add_owner(struct row_plan *p, struct str id, bool usable)
{
	struct plan_owner o = { .id = str_dup(id), .usable = usable };

	g_array_append_val(p->owners, o);
	p->changed = true;
}

void row_plan_remove_owner(struct row_plan *p, size_t owner)
{
	size_t i;

	g_array_remove_index(p->owners, (guint)owner);
	for (i = 0; i < p->slices->len; i++) {
		struct slice *s = &row_plan_slice(p, i)->slice;

		if (s->owner != SLICE_NO_OWNER && s->owner > owner)
			s->owner--;
	}
	p->changed = true;
}

void row_plan_move(struct row_plan *p, size_t slice, size_t owner)
{
	struct plan_slice *s = row_plan_slice(p, slice);

	if (s->slice.owner != SLICE_NO_OWNER)
		row_plan_owner(p, s->slice.owner)->load -= s->weight;
	s->slice.owner = (uint32_t)owner;
	s->slice.epoch = slice_map_epoch(p->map) + 1;
	row_plan_owner(p, owner)->load += s->weight;
	p->moved++;
	p->changed = true;
}

void row_plan_split(struct row_plan *p, size_t slice, uint64_t at,
		    double weight)
{
	struct plan_slice second = *row_plan_slice(p, slice);
	struct plan_slice *first;

	second.slice.first = at;
	second.weight = weight;
	g_array_insert_val(p->slices, (guint)slice + 1, second);
	first = row_plan_slice(p, slice);
	first->slice.last = at - 1;
	first->weight -= weight;
	p->changed = true;
}

void row_plan_merge(struct row_plan *p, size_t slice)
{
	struct plan_slice *first = row_plan_slice(p, slice);
	const struct plan_slice *second = row_plan_slice(p, slice + 1);

	first->slice.last = second->slice.last;
	first->slice.epoch = MAX(first->slice.epoch, second->slice.epoch);
	first->weight += second->weight;
	g_array_remove_index(p->slices, (guint)slice + 1);
	p->changed = true;
}

double row_plan_mean(const struct row_plan *p)
{
	double sum = 0;
	size_t i, usable = 0;

	for (i = 0; i < p->owners->len; i++) {
		if (!row_plan_owner(p, i)->usable)
			continue;
		sum += row_plan_owner(p, i)->load;
		usable++;
	}
	return usable ? sum / (double)usable : 0;
}

/* The usable owner with the most (sign 1) or least (sign -1) load. */
static uint32_t most_extreme_owner(const struct row_plan *p, double sign)
{
	uint32_t best = SLICE_NO_OWNER;
	uint32_t i;

	for (i = 0; i < p->owners->len; i++) {
		const struct plan_owner *o = row_plan_owner(p, i);

		if (!o->usable)
			continue;
		if (best == SLICE_NO_OWNER ||
		    sign * o->load > sign * row_plan_owner(p, best)->load)
			best = i;
	}
	return best;
}

uint32_t row_plan_least_loaded(const struct row_plan *p)
{
	return most_extreme_owner(p, -1);
}

uint32_t row_plan_most_loaded(const struct row_plan *p)
{
	return most_extreme_owner(p, 1);
}

struct slice_map *row_plan_finish(const struct row_plan *p)
{
	struct str *owners = g_new0(struct str, p->owners->len + 1);
	struct slice *slices = g_new0(struct slice, p->slices->len);
	struct slice_map *map;
	size_t i;

	for (i = 0; i < p->owners->len; i++)
		owners[i] = str_from(row_plan_owner(p, i)->id);
	for (i = 0; i < p->slices->len; i++)
		slices[i] = row_plan_slice(p, i)->slice;
	map = slice_map_create(slice_map_cell(p->map),
			       slice_map_epoch(p->map) + 1, owners,
			       p->owners->len, slices, p->slices->len, NULL);
	g_free(owners);
	g_free(slices);
	return map;
}
