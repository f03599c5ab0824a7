#include "ownership/slice_states.h"

#include "ownership/authority.h"

struct slice_state *slice_state_at(const struct coordinator *c, size_t slice)
{
	return &g_array_index(c->states, struct slice_state, slice);
}

bool upstream_released(const struct coordinator *c,
		       const struct cell_upstream *u, uint64_t epoch,
		       int64_t now)
{
	if (c->fault == COORDINATOR_FAULT_SKIP_WAIT)
		return true;
	if (u->released_epoch >= epoch)
		return true;
	if (c->unfenced)
		return !u->listed && now >= u->listed_us + c->timing.gone_us;
	return now >= u->held_until_us;
}

/* Whether only the owner of a slice can still hold an older grant of it. */
static bool others_released(const struct coordinator *c, const struct slice *s,
			    int64_t now)
{
	struct str owner = slice_map_owner(c->map, s->owner);
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->upstreams, i);

		if (!upstream_released(c, u, s->epoch, now) &&
		    !str_equal(str_from(u->id), owner))
			return false;
	}
	return true;
}

/* The highest epoch whose slices may be granted, because later coordinators are
 * sure to learn of it; 0 while no slice may be. */
static uint64_t grantable_epoch(const struct coordinator *c)
{
	const struct authority_ops *authority = authority_of(c);

	if (!c->won || !authority->row_current(c))
		return 0;
	return authority->settled_epoch(c);
}

void slice_states_update(struct coordinator *c, int64_t now)
{
	uint64_t settled = grantable_epoch(c);
	size_t i;

	for (i = 0; i < slice_map_count(c->map); i++) {
		const struct slice *s = slice_map_at(c->map, i);
		struct slice_state *state = slice_state_at(c, i);
		struct cell_upstream *owner;

		if (state->safe || s->owner == SLICE_NO_OWNER ||
		    s->epoch > settled)
			continue;
		if (state->holder ? !upstream_released(c, state->holder,
						       s->epoch, now)
				  : !others_released(c, s, now))
			continue;
		*state = (struct slice_state){ .safe = true };
		owner = coordinator_upstream(c,
					     slice_map_owner(c->map, s->owner));
		owner->next_order_us = NEVER_US;
	}
}

/* Whether an owner's slices are unchanged since the epoch of its grant, which
 * is given. */
static bool epochs_match(const struct coordinator *c, uint32_t owner,
			 uint64_t epoch)
{
	size_t i;

	if (epoch > slice_map_epoch(c->map))
		return false;
	for (i = 0; i < slice_map_count(c->map); i++) {
		const struct slice *s = slice_map_at(c->map, i);

		if (s->owner == owner && s->epoch > epoch)
			return false;
	}
	return true;
}

void slice_states_confirm(struct coordinator *c, struct cell_upstream *u,
			  const struct order_reply *reply)
{
	uint32_t owner = slice_map_owner_index(c->map, str_from(u->id));
	GArray *ranges;
	size_t i;

	if (owner == SLICE_NO_OWNER || !reply->has_grant ||
	    !epochs_match(c, owner, reply->grant_epoch))
		return;
	ranges = slice_map_ranges(c->map, owner);
	if (ranges->len &&
	    hash_ranges_digest((const struct hash_range *)ranges->data,
			       ranges->len) == reply->grant_digest) {
		for (i = 0; i < slice_map_count(c->map); i++)
			if (slice_map_at(c->map, i)->owner == owner)
				*slice_state_at(c, i) =
					(struct slice_state){ .safe = true };
	}
	g_array_unref(ranges);
}

/* Whether owner x of map a and owner y of map b are the same VM. */
static bool same_owner(const struct slice_map *a, uint32_t x,
		       const struct slice_map *b, uint32_t y)
{
	if (x == SLICE_NO_OWNER || y == SLICE_NO_OWNER)
		return x == y;
	return str_equal(slice_map_owner(a, x), slice_map_owner(b, y));
}

/* Common properties of the old slices: those of the current row that overlap a
 * new slice. */
struct overlap {
	/** All old slices have the same owner and the same holder. */
	bool same_state;
	/** All old slices have the new slice's owner and kept it until the new
	 * row. */
	bool kept;
	/** All old slices are safe to grant to their owner. */
	bool safe;
	/** The owner and holder of the first old slice. */
	uint32_t owner;
	struct cell_upstream *holder;
};

/* Whether a slice that has the same owner in two rows had that owner all the
 * time in between; before and after are the slice's epochs. If others wrote the
 * newer row, the slice may have moved away and back, which raises its epoch. In
 * a row that we made from ours (own) only a merge raises it. */
static bool epoch_kept(uint64_t before, uint64_t after, bool own)
{
	return own ? before <= after : before == after;
}

static struct overlap overlap_of(const struct coordinator *c,
				 const struct slice_map *next,
				 const struct slice *s, bool own)
{
	size_t i = slice_map_index(c->map, s->first);
	struct overlap o = {
		.same_state = true,
		.kept = true,
		.safe = true,
		.owner = slice_map_at(c->map, i)->owner,
		.holder = slice_state_at(c, i)->holder,
	};

	for (; i < slice_map_count(c->map); i++) {
		const struct slice *old = slice_map_at(c->map, i);

		if (old->first > s->last)
			break;
		o.safe &= slice_state_at(c, i)->safe;
		o.same_state &= old->owner == o.owner &&
				slice_state_at(c, i)->holder == o.holder;
		o.kept &= same_owner(c->map, old->owner, next, s->owner) &&
			  epoch_kept(old->epoch, s->epoch, own);
	}
	return o;
}

/* The state of a new slice, from the states of the slices that it overlaps. */
static struct slice_state carry_slice(const struct coordinator *c,
				      const struct slice_map *next,
				      const struct slice *s, bool own)
{
	struct slice_state state = { 0 };
	struct overlap o;

	if (!c->map || s->owner == SLICE_NO_OWNER)
		return state;
	o = overlap_of(c, next, s, own);
	if (o.kept && o.safe) {
		state.safe = true;
	} else if (o.kept && o.same_state) {
		/* The same upstream as before may still hold the slice. */
		state.holder = o.holder;
	} else if (own && o.safe && o.same_state && o.owner != SLICE_NO_OWNER) {
		/* Our plan moved the slice: its old owner may still hold it. */
		state.holder =
			coordinator_upstream((struct coordinator *)c,
					     slice_map_owner(c->map, o.owner));
	}
	return state;
}

void slice_states_carry_over(struct coordinator *c,
			     const struct slice_map *next, bool own)
{
	GArray *states = g_array_new(FALSE, TRUE, sizeof(struct slice_state));
	size_t i;

	for (i = 0; i < slice_map_count(next); i++) {
		struct slice_state state =
			carry_slice(c, next, slice_map_at(next, i), own);

		g_array_append_val(states, state);
	}
	g_array_unref(c->states);
	c->states = states;
}
