/*
 * What a coordinator does in each phase: follow, prepare, read, lead.
 */
#include "ownership/authority.h"
#include "ownership/coordinator_impl.h"
#include "ownership/election.h"
#include "ownership/grants.h"
#include "ownership/moves.h"
#include "ownership/row.h"

/** Attempts at a majority before giving way, and how long each may take. */
#define MAX_CHALLENGES 3
#define CHALLENGE_US (1 * US_PER_SECOND)
/** Pause before a higher ballot while a majority accepts the present one. */
#define RAISE_PAUSE_US (300 * US_PER_MS)
static void begin_challenge(struct coordinator *c, int64_t now)
{
	c->phase = COORDINATOR_PREPARING;
	c->challenges++;
	c->ballot_raised_us = now;
	authority_new_ballot(c);
	c->term_number = c->ballot.number;
	coordinator_event(c, "stands with ballot %" G_GUINT64_FORMAT,
			  c->ballot.number);
}

/* Without a known row there is nobody to ask: read it, or write the first. */
static void find_row(struct coordinator *c)
{
	row_need_read(c);
	if (c->row_absent && !c->write && c->table_up)
		row_write_first(c);
}

static void step_following(struct coordinator *c, int64_t now)
{
	if (!election_may_challenge(c, now))
		return;
	c->challenges = 0;
	if (!c->map)
		find_row(c);
	else
		begin_challenge(c, now);
}

static void give_up(struct coordinator *c, const char *reason, int64_t now)
{
	election_follow(c, reason);
	election_back_off(c, now);
}

static bool leader_is_heard(const struct coordinator *c, int64_t now)
{
	return c->leader[0] && c->leader_heard_us != NEVER_US &&
	       now < c->leader_heard_us + c->timing.lost_us &&
	       ballot_compare(c->leader_ballot, c->ballot) > 0;
}

/* A cell without fences is taken over by writing its row again. */
static void take_over_table(struct coordinator *c, int64_t now)
{
	if (c->write || !c->version)
		return;
	if (c->own_read_us == NEVER_US)
		row_write_takeover(c);
	else if (c->won_us == NEVER_US)
		c->won_us =
			now + c->timing.authority_us + coordinator_margin(c);
}

static void step_preparing(struct coordinator *c, int64_t now)
{
	if (leader_is_heard(c, now)) {
		election_follow(c, "another daemon leads");
		return;
	}
	if (c->unfenced)
		take_over_table(c, now);
	else if (authority_refused(c) && c->challenges < MAX_CHALLENGES &&
		 now >= c->ballot_raised_us + 20 * US_PER_MS)
		begin_challenge(c, now);
	else if (authority_refused(c) && c->challenges >= MAX_CHALLENGES)
		give_up(c, "a majority refused the ballot", now);
	if (c->phase != COORDINATOR_PREPARING)
		return;
	if (authority_of(c)->won(c, now)) {
		authority_won(c, now);
		c->phase = COORDINATOR_READING;
		row_need_read(c);
	} else if (now >= c->ballot_raised_us + 2 * CHALLENGE_US) {
		give_up(c, "no majority answered", now);
	}
}

static void step_reading(struct coordinator *c, int64_t now)
{
	if (!authority_of(c)->row_current(c))
		return;
	c->phase = COORDINATOR_LEADING;
	c->lead_us = now;
	c->backoff_us = 500 * US_PER_MS;
	/* A version that was learnt long ago may be an old one. */
	if (!c->unfenced && c->row_read_us < c->won_us)
		c->version = 0;
	coordinator_event(c, "leads at epoch %" G_GUINT64_FORMAT,
			  slice_map_epoch(c->map));
	grants_send_all_now(c);
}

/* Some upstream knows a higher ballot although a majority accepts ours. */
static bool any_refused(const struct coordinator *c)
{
	size_t i;

	for (i = 0; i < c->acceptors->len; i++)
		if (((struct cell_upstream *)g_ptr_array_index(c->acceptors, i))
			    ->refused)
			return true;
	return false;
}

static void step_leading(struct coordinator *c, int64_t now)
{
	const struct authority_ops *authority = authority_of(c);

	if (!c->won && authority->won(c, now))
		authority_won(c, now);
	if (any_refused(c) && !c->unfenced &&
	    now >= c->ballot_raised_us + RAISE_PAUSE_US) {
		c->ballot_raised_us = now;
		authority_new_ballot(c);
	}
	if (c->old_acceptors &&
	    authority->settled_epoch(c) >= slice_map_epoch(c->map))
		g_clear_pointer(&c->old_acceptors, g_ptr_array_unref);
	if (!c->version)
		row_need_read(c);
	if (now >= c->lead_us + c->timing.prefer_us &&
	    election_preferred_peer_live(c, now)) {
		election_follow(c, "hands over to a better placed daemon");
		election_back_off(c, now);
		return;
	}
	row_publish(c);
	moves_step(c, now);
}

/* A majority accepts the ballot, but may know of a newer row. */
static bool reread_row(struct coordinator *c, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING || c->unfenced)
		return false;
	c->phase = COORDINATOR_READING;
	if (!authority_held(c, now))
		return false;
	coordinator_event(c, "reads the row again: a newer one is known");
	/* What was read before this instant no longer counts. */
	authority_won(c, now);
	row_need_read(c);
	return true;
}

void coordinator_check_authority(struct coordinator *c, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING && c->phase != COORDINATOR_READING)
		return;
	if (authority_refused(c) && !c->unfenced)
		give_up(c, "a higher ballot won", now);
	else if (!authority_held(c, now) && !reread_row(c, now))
		give_up(c, "authority ran out", now);
}

void coordinator_step(struct coordinator *c)
{
	int64_t now = coordinator_now(c);

	coordinator_check_authority(c, now);
	row_step(c, now);
	switch (c->phase) {
	case COORDINATOR_FOLLOWING:
		step_following(c, now);
		break;
	case COORDINATOR_PREPARING:
		step_preparing(c, now);
		break;
	case COORDINATOR_READING:
		step_reading(c, now);
		break;
	case COORDINATOR_LEADING:
		step_leading(c, now);
		break;
	case COORDINATOR_RESIGNED:
		break;
	}
	if (c->map && c->phase != COORDINATOR_FOLLOWING &&
	    c->phase != COORDINATOR_RESIGNED)
		grants_step(c, now);
}
