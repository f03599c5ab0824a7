/*
 * The state machine of a coordinator: what it does in each phase, and when the
 * phase changes.
 */
#include "ownership/authority.h"
#include "ownership/coordinator_impl.h"
#include "ownership/election.h"
#include "ownership/grants.h"
#include "ownership/moves.h"
#include "ownership/row.h"

/** A candidate whose ballots were refused gives up after this many ballots. */
#define MAX_BALLOTS 3
/** A candidate gives up if its newest ballot has not won after this time. */
#define BALLOT_TIMEOUT_US (2 * US_PER_SECOND)
/** A candidate whose ballot is refused keeps the ballot for at least this time
 * before it tries a higher one. */
#define NEXT_BALLOT_PAUSE_US (20 * US_PER_MS)
/** A leader whose ballot some upstreams refuse keeps the ballot for at least
 * this time before it raises it above the one that they know. */
#define RAISE_PAUSE_US (300 * US_PER_MS)

/* Makes this daemon a candidate with a new ballot. */
static void begin_ballot(struct coordinator *c, int64_t now)
{
	c->phase = COORDINATOR_PREPARING;
	c->ballots_tried++;
	c->ballot_raised_us = now;
	authority_new_ballot(c);
	c->term_number = c->ballot.number;
	coordinator_event(c,
			  "became a candidate with ballot %" G_GUINT64_FORMAT,
			  c->ballot.number);
}

/* Reads the row, which lists the upstreams to ask for acceptance. If the table
 * has none, writes the cell's first row. */
static void read_or_create_row(struct coordinator *c)
{
	row_need_read(c);
	if (c->row_absent && !c->write && c->table_up)
		row_write_first(c);
}

static void step_following(struct coordinator *c, int64_t now)
{
	if (!election_may_become_candidate(c, now))
		return;
	c->ballots_tried = 0;
	if (!c->map)
		read_or_create_row(c);
	else
		begin_ballot(c, now);
}

/* Ends this daemon's candidacy or lead, and backs off. */
static void give_up(struct coordinator *c, const char *reason, int64_t now)
{
	election_follow(c, reason);
	election_back_off(c, now);
}

/* Whether another live daemon claims the cell with a higher ballot than ours.
 */
static bool leader_is_live(const struct coordinator *c, int64_t now)
{
	return c->leader[0] && c->leader_seen_us != NEVER_US &&
	       now < c->leader_seen_us + c->timing.lost_us &&
	       ballot_compare(c->leader_ballot, c->ballot) > 0;
}

/* Takes over a cell whose upstreams don't check grants, by writing its row
 * again and waiting until the previous authority has expired. */
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
	if (leader_is_live(c, now)) {
		election_follow(c, "another daemon leads with a higher ballot");
		return;
	}
	if (c->unfenced)
		take_over_table(c, now);
	else if (authority_refused(c) && c->ballots_tried < MAX_BALLOTS &&
		 now >= c->ballot_raised_us + NEXT_BALLOT_PAUSE_US)
		begin_ballot(c, now);
	else if (authority_refused(c) && c->ballots_tried >= MAX_BALLOTS)
		give_up(c, "too many upstreams refused the ballot", now);
	if (c->phase != COORDINATOR_PREPARING)
		return;
	if (authority_of(c)->won(c, now)) {
		authority_won(c, now);
		c->phase = COORDINATOR_READING;
		row_need_read(c);
	} else if (now >= c->ballot_raised_us + BALLOT_TIMEOUT_US) {
		give_up(c,
			"no majority of upstreams accepted the ballot in time",
			now);
	}
}

static void step_reading(struct coordinator *c, int64_t now)
{
	if (!authority_of(c)->row_current(c))
		return;
	c->phase = COORDINATOR_LEADING;
	c->lead_us = now;
	c->backoff_us = ELECTION_BACKOFF_MIN_US;
	/* The row's version may be out of date if it was read before the ballot
	 * won. */
	if (!c->unfenced && c->row_read_us < c->won_us)
		c->version = 0;
	coordinator_event(c, "leads the cell at epoch %" G_GUINT64_FORMAT,
			  slice_map_epoch(c->map));
	grants_make_all_due(c);
}

/* Whether any upstream reported a higher ballot than ours. */
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
		election_follow(c, "handed over to a daemon of higher rank");
		election_back_off(c, now);
		return;
	}
	row_publish(c);
	moves_step(c, now);
}

/* Returns a leader to COORDINATOR_READING if a majority still accepts its
 * ballot: authority then ended only because upstreams know a newer epoch.
 *
 * Returns false if authority is lost. */
static bool reread_row(struct coordinator *c, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING || c->unfenced)
		return false;
	c->phase = COORDINATOR_READING;
	if (!authority_held(c, now))
		return false;
	coordinator_event(
		c, "reading the row again: upstreams know a newer epoch");
	/* From now on, reads that began before this instant no longer prove
	 * that the row is the newest. */
	authority_won(c, now);
	row_need_read(c);
	return true;
}

void coordinator_check_authority(struct coordinator *c, int64_t now)
{
	if (c->phase != COORDINATOR_LEADING && c->phase != COORDINATOR_READING)
		return;
	if (authority_refused(c) && !c->unfenced)
		give_up(c, "too many upstreams accepted a higher ballot", now);
	else if (!authority_held(c, now) && !reread_row(c, now))
		give_up(c, "authority expired", now);
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
