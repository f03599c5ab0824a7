#include "ownership/moves.h"

#include "ownership/authority.h"
#include "ownership/row.h"
#include "ownership/slice_states.h"

/** Shortest interval between two plans of a row. */
#define PLAN_INTERVAL_US (100 * US_PER_MS)

/* Whether an upstream is in service and has been reachable long enough to get
 * slices. */
static bool is_stable(const struct coordinator *c,
		      const struct cell_upstream *u, int64_t now)
{
	return upstream_in_service(c, u) && upstream_reachable(c, u, now) &&
	       u->boot && now >= u->reachable_us + c->timing.stable_us;
}

/* The record of an owner in the plan, by the owner's index. */
static struct cell_upstream *plan_upstream(const struct coordinator *c,
					   const struct row_plan *plan,
					   size_t owner)
{
	return coordinator_upstream((struct coordinator *)c,
				    str_from(row_plan_owner(plan, owner)->id));
}

/* Marks owners that may get slices: the stable ones, or, if there are none, all
 * that are in service and reachable. */
static void mark_usable(const struct coordinator *c, struct row_plan *plan,
			int64_t now)
{
	size_t i, usable = 0;

	for (i = 0; i < plan->owners->len; i++) {
		const struct cell_upstream *u = plan_upstream(c, plan, i);

		row_plan_owner(plan, i)->usable = is_stable(c, u, now);
		usable += row_plan_owner(plan, i)->usable;
	}
	for (i = 0; !usable && i < plan->owners->len; i++) {
		const struct cell_upstream *u = plan_upstream(c, plan, i);

		row_plan_owner(plan, i)->usable = upstream_in_service(c, u) &&
						  upstream_reachable(c, u, now);
	}
}

/* Whether an owner's slices must move. An unreachable owner that does not check
 * grants keeps its slices until it is gone: a single owner per key takes
 * precedence over availability. */
static bool must_move(const struct coordinator *c, uint32_t owner, int64_t now)
{
	const struct cell_upstream *u;

	if (owner == SLICE_NO_OWNER)
		return c->slices_per_owner > 0;
	u = coordinator_upstream((struct coordinator *)c,
				 slice_map_owner(c->map, owner));
	if (c->unfenced && !upstream_reachable(c, u, now))
		return !u->listed && now >= u->listed_us + c->timing.gone_us;
	return !upstream_in_service(c, u) || upstream_lost(c, u, now);
}

size_t moves_wanted(const struct coordinator *c, int64_t now)
{
	size_t i, count = 0;

	for (i = 0; c->map && i < slice_map_count(c->map); i++)
		count += must_move(c, slice_map_at(c->map, i)->owner, now);
	return count;
}

/* Moves slices away from owners that must give them up. */
static void replace_owners(const struct coordinator *c, struct row_plan *plan,
			   int64_t now)
{
	size_t i;

	for (i = 0; i < plan->slices->len; i++) {
		uint32_t owner = row_plan_slice(plan, i)->slice.owner;
		uint32_t to;

		if (!must_move(c, owner, now))
			continue;
		to = row_plan_least_loaded(plan);
		if (to != SLICE_NO_OWNER && to != owner)
			row_plan_move(plan, i, to);
	}
}

/* Adds one upstream without slices to the plan, if one is waiting to join. Each
 * row adds or removes at most one, so that majorities of consecutive rows
 * overlap. */
static bool add_owner(const struct coordinator *c, struct row_plan *plan,
		      int64_t now)
{
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->upstreams, i);

		if (!u->listed || u->leaving || u->fences == c->unfenced ||
		    !u->boot || !upstream_reachable(c, u, now) ||
		    slice_map_owner_index(c->map, str_from(u->id)) !=
			    SLICE_NO_OWNER)
			continue;
		if (!c->unfenced && !authority_counts(c, u->up_us))
			continue;
		row_plan_add_owner(plan, str_from(u->id), false);
		return true;
	}
	return false;
}

static bool owns_any(const struct row_plan *plan, size_t owner)
{
	size_t i;

	for (i = 0; i < plan->slices->len; i++)
		if (row_plan_slice(plan, i)->slice.owner == owner)
			return true;
	return false;
}

/* Removes one owner that is gone and can't hold a grant. */
static void remove_owner(const struct coordinator *c, struct row_plan *plan,
			 int64_t now)
{
	uint64_t epoch = slice_map_epoch(c->map);
	size_t i;

	for (i = 0; plan->owners->len > 1 && i < plan->owners->len; i++) {
		const struct cell_upstream *u = plan_upstream(c, plan, i);

		/* The owner must have no slices in the plan, and none in the
		 * current row either. */
		if (u->listed || now < u->listed_us + c->timing.gone_us ||
		    owns_any(plan, i) || !upstream_released(c, u, epoch, now) ||
		    slice_map_count_owned(c->map, (uint32_t)i))
			continue;
		row_plan_remove_owner(plan, i);
		return;
	}
}

const char *moves_paused(const struct coordinator *c, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING)
		return "";
	if (!authority_held(c, now))
		return "orders wait: no majority of the upstreams answers";
	if (!c->table_up)
		return "moves wait: the table does not answer";
	if (!c->version)
		return "moves wait: the row has not been read yet";
	if (c->write && c->write->outcome_unknown)
		return "moves wait: the outcome of a write is unknown";
	return "";
}

/* Whether a new row may be planned now: this daemon leads with authority, the
 * known row is the newest, and no write of a row is pending. */
static bool can_plan(const struct coordinator *c, int64_t now)
{
	const struct authority_ops *authority = authority_of(c);

	return c->phase == COORDINATOR_LEADING && authority_held(c, now) &&
	       c->won && !c->write && c->version && c->table_up &&
	       c->known_epoch <= slice_map_epoch(c->map) &&
	       authority->settled_epoch(c) >= slice_map_epoch(c->map) &&
	       now >= c->next_plan_us;
}

void moves_step(struct coordinator *c, int64_t now)
{
	struct row_plan *plan;
	double *weights;

	if (!can_plan(c, now))
		return;
	c->next_plan_us = now + PLAN_INTERVAL_US;
	rebalancer_tick(c->rebalancer, now);
	weights = rebalancer_weights(c->rebalancer);
	plan = row_plan_create(c->map, weights);
	g_free(weights);
	mark_usable(c, plan, now);
	replace_owners(c, plan, now);
	if (c->slices_per_owner && !plan->moved)
		rebalancer_plan(c->rebalancer, plan, now);
	if (!add_owner(c, plan, now))
		remove_owner(c, plan, now);
	if (plan->changed) {
		rebalancer_moved(c->rebalancer, plan->moved, now);
		row_begin_write(c, row_plan_finish(plan));
	}
	row_plan_destroy(plan);
}
