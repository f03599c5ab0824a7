#include "ownership/election.h"

#include "ownership/authority.h"
#include "ownership/rank.h"
#include "ownership/row.h"

/** A candidacy is delayed by this time for each live daemon of higher rank, so
 * that only one daemon becomes a candidate. */
#define RANK_DELAY_US (150 * US_PER_MS)
/** Longest back-off after a lost candidacy, without its random part. */
#define BACKOFF_MAX_US (2 * US_PER_SECOND)

void election_peer_free(gpointer data)
{
	struct peer *p = data;

	g_free(p->daemon);
	g_free(p);
}

static struct peer *peer_find(const struct coordinator *c, struct str daemon)
{
	size_t i;

	for (i = 0; i < c->peers->len; i++) {
		struct peer *p = g_ptr_array_index(c->peers, i);

		if (str_equal(str_from(p->daemon), daemon))
			return p;
	}
	return NULL;
}

static bool peer_live(const struct coordinator *c, const struct peer *p,
		      int64_t now)
{
	return !p->leaving && now < p->last_seen_us + c->timing.lost_us;
}

/* Records the leader: a peer whose heartbeat names the peer itself as
 * coordinator claims the cell, and gives it up once it no longer does. */
static void update_leader(struct coordinator *c,
			  const struct coordinator_peer *peer, int64_t now)
{
	bool claims = peer->coordinator.len &&
		      str_equal(peer->coordinator, peer->daemon);

	if (claims) {
		/* A claim below the highest known ballot is out of date. */
		if (ballot_compare(peer->ballot, c->leader_ballot) < 0)
			return;
		if (!str_equal(str_from(c->leader), peer->daemon)) {
			g_free(c->leader);
			c->leader = str_dup(peer->daemon);
		}
		c->leader_ballot = peer->ballot;
		c->leader_seen_us = now;
		c->backoff_us = ELECTION_BACKOFF_MIN_US;
		return;
	}
	/* The known coordinator no longer claims the cell. */
	if (str_equal(str_from(c->leader), peer->daemon)) {
		g_free(c->leader);
		c->leader = g_strdup("");
		c->leader_seen_us = NEVER_US;
		c->resigned_us = now;
	}
}

void election_on_peer(struct coordinator *c,
		      const struct coordinator_peer *peer)
{
	int64_t now = coordinator_now(c);
	struct peer *p = peer_find(c, peer->daemon);

	if (str_equal(peer->daemon, str_from(c->daemon)))
		return;
	if (!p) {
		p = g_new0(struct peer, 1);
		p->daemon = str_dup(peer->daemon);
		p->last_seen_us = NEVER_US;
		g_ptr_array_add(c->peers, p);
	}
	if (p->last_seen_us == NEVER_US || !peer_live(c, p, now))
		p->live_since_us = now;
	p->last_seen_us = now;
	p->leaving = peer->leaving;
	p->epoch = peer->epoch;
	c->highest_number = MAX(c->highest_number, peer->ballot.number);
	coordinator_raise_known_epoch(c, peer->epoch);
	update_leader(c, peer, now);
}

static uint64_t weight_of(const struct coordinator *c, const char *daemon)
{
	return rank_weight(str_from(c->cell), str_from(daemon));
}

size_t election_rank(const struct coordinator *c, int64_t now)
{
	uint64_t own = weight_of(c, c->daemon);
	size_t i, rank = 0;

	for (i = 0; i < c->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(c->peers, i);

		rank += peer_live(c, p, now) && weight_of(c, p->daemon) > own;
	}
	return rank;
}

bool election_no_live_peer(const struct coordinator *c, int64_t now)
{
	size_t i;

	for (i = 0; i < c->peers->len; i++)
		if (peer_live(c, g_ptr_array_index(c->peers, i), now))
			return false;
	return true;
}

bool election_may_become_candidate(const struct coordinator *c, int64_t now)
{
	int64_t delay = (int64_t)election_rank(c, now) * RANK_DELAY_US;
	int64_t from = c->leader_seen_us == NEVER_US ? c->created_us
						     : c->leader_seen_us;

	if (now < c->no_candidacy_before_us + delay)
		return false;
	/* After a resignation there is no need to wait for lost heartbeats. */
	if (!c->leader[0] && c->leader_seen_us == NEVER_US &&
	    c->leader_ballot.number > 0)
		return now >= c->resigned_us + delay;
	return now >= from + c->timing.lost_us + delay;
}

void election_follow(struct coordinator *c, const char *reason)
{
	coordinator_event(c, "became a follower: %s", reason);
	if (c->phase != COORDINATOR_RESIGNED)
		c->phase = COORDINATOR_FOLLOWING;
	authority_reset(c);
	/* The write is not repeated: a successor plans its own rows. */
	row_drop_write(c);
	/* The delay lets a daemon that was suspended handle its pending
	 * messages before it becomes a candidate. */
	c->no_candidacy_before_us =
		coordinator_now(c) +
		g_rand_int_range(c->random, 50, 150) * US_PER_MS;
}

void election_back_off(struct coordinator *c, int64_t now)
{
	int64_t spread = c->backoff_us / 2;

	c->no_candidacy_before_us =
		now + c->backoff_us +
		g_rand_int_range(c->random, 0, (gint32)spread);
	c->backoff_us = MIN(2 * c->backoff_us, BACKOFF_MAX_US);
}

bool election_preferred_peer_live(const struct coordinator *c, int64_t now)
{
	uint64_t own = weight_of(c, c->daemon);
	size_t i;

	for (i = 0; i < c->peers->len; i++) {
		const struct peer *p = g_ptr_array_index(c->peers, i);

		if (peer_live(c, p, now) &&
		    now >= p->live_since_us + c->timing.prefer_us &&
		    p->epoch == c->known_epoch && weight_of(c, p->daemon) > own)
			return true;
	}
	return false;
}
