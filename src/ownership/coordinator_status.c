#include "ownership/authority.h"
#include "ownership/coordinator.h"
#include "ownership/coordinator_impl.h"
#include "ownership/grants.h"
#include "ownership/moves.h"
#include "ownership/slice_states.h"

const char *coordinator_phase_name(enum coordinator_phase phase)
{
	switch (phase) {
	case COORDINATOR_FOLLOWING:
		return "following";
	case COORDINATOR_PREPARING:
		return "preparing";
	case COORDINATOR_READING:
		return "reading";
	case COORDINATOR_LEADING:
		return "leading";
	case COORDINATOR_RESIGNED:
		return "resigned";
	}
	return "unknown";
}

/* Whether heartbeats name this daemon as coordinator or candidate. */
static bool claims_cell(const struct coordinator *c)
{
	return c->phase == COORDINATOR_PREPARING ||
	       c->phase == COORDINATOR_READING ||
	       c->phase == COORDINATOR_LEADING;
}

void coordinator_heartbeat(struct coordinator *c, struct coordinator_peer *peer)
{
	bool own = claims_cell(c);

	*peer = (struct coordinator_peer){
		.daemon = str_from(c->daemon),
		.leaving = c->phase == COORDINATOR_RESIGNED,
		.epoch = c->map ? slice_map_epoch(c->map) : 0,
		.coordinator = str_from(own ? c->daemon : c->leader),
		.ballot = own ? c->ballot : c->leader_ballot,
	};
}

struct slice_map *coordinator_map(struct coordinator *c)
{
	return c->map;
}

/* The record of the owner of a slice that has one. */
static struct cell_upstream *slice_owner(struct coordinator *c,
					 const struct slice *s)
{
	return coordinator_upstream(c, slice_map_owner(c->map, s->owner));
}

/* Counts the granted, waiting and unowned slices of the known row. */
static void count_slices(struct coordinator *c,
			 struct coordinator_status *status)
{
	size_t i;

	for (i = 0; c->map && i < slice_map_count(c->map); i++) {
		const struct slice *s = slice_map_at(c->map, i);

		if (s->owner == SLICE_NO_OWNER)
			status->unowned++;
		else if (slice_state_at(c, i)->safe &&
			 grants_held(c, slice_owner(c, s)))
			status->granted++;
		else
			status->waiting++;
	}
}

void coordinator_status(struct coordinator *c,
			struct coordinator_status *status)
{
	int64_t now = coordinator_now(c);
	bool own = claims_cell(c);

	*status = (struct coordinator_status){
		.phase = c->phase,
		.coordinator = str_from(own ? c->daemon : c->leader),
		.ballot = own ? c->ballot : c->leader_ballot,
		.epoch = c->map ? slice_map_epoch(c->map) : 0,
		.authority = coordinator_has_authority(c),
		.authority_left_us = coordinator_authority_left_us(c),
		.acceptors = c->acceptors->len,
		.accepted = authority_accepted(c, now),
		.to_move = moves_wanted(c, now),
		.table_up = c->table_up,
		.paused = moves_paused(c, now),
	};
	if (c->phase == COORDINATOR_LEADING)
		count_slices(c, status);
}

/* An upstream other than the owner that may still hold a slice, or NULL. */
static const struct cell_upstream *
find_blocker(struct coordinator *c, const struct slice *s, int64_t now)
{
	const struct cell_upstream *owner = slice_owner(c, s);
	size_t i;

	for (i = 0; i < c->upstreams->len; i++) {
		const struct cell_upstream *u =
			g_ptr_array_index(c->upstreams, i);

		if (u != owner && !upstream_released(c, u, s->epoch, now))
			return u;
	}
	return NULL;
}

/* Fills in why a slice that is not safe can't be granted yet. */
static void explain_wait(struct coordinator *c, const struct slice_state *state,
			 struct coordinator_explanation *out, int64_t now)
{
	const struct cell_upstream *blocker =
		state->holder ? state->holder
			      : find_blocker(c, &out->slice, now);

	out->reason = "waits for an earlier owner's grant to expire";
	if (!blocker)
		return;
	out->waits_for = str_from(blocker->id);
	out->wait_us = MAX(blocker->held_until_us - now, 0);
}

bool coordinator_explain(struct coordinator *c, uint64_t hash,
			 struct coordinator_explanation *out)
{
	int64_t now = coordinator_now(c);
	const struct slice_state *state;
	size_t i;

	*out = (struct coordinator_explanation){ .hash = hash };
	if (!c->map)
		return false;
	i = slice_map_index(c->map, hash);
	state = slice_state_at(c, i);
	out->slice = *slice_map_at(c->map, i);
	if (out->slice.owner == SLICE_NO_OWNER) {
		out->reason = "the slice has no owner";
		return true;
	}
	out->owner = slice_map_owner(c->map, out->slice.owner);
	if (c->phase != COORDINATOR_LEADING) {
		out->reason = "this daemon does not lead the cell";
	} else if (!state->safe) {
		explain_wait(c, state, out, now);
	} else if (!grants_held(c, slice_owner(c, &out->slice))) {
		out->reason = "the owner has not acknowledged its grant";
	} else {
		out->granted = true;
		out->reason = "the owner holds its grant";
	}
	return true;
}
