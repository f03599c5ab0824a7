/**
 * Election of a cell's coordinator: which assigner becomes a candidate, and
 * when. Live daemons are ranked by rendezvous hashing, which spreads cells
 * evenly over them.
 */
#ifndef OWNERSHIP_ELECTION_H
#define OWNERSHIP_ELECTION_H

#include "ownership/coordinator_impl.h"

/** Records a peer's heartbeat. */
void election_on_peer(struct coordinator *c,
		      const struct coordinator_peer *peer);

/** Rank of this daemon among the live ones; 0: the preferred coordinator. */
size_t election_rank(const struct coordinator *c, int64_t now);

/** Whether a daemon that does not lead should become a candidate now. */
bool election_may_challenge(const struct coordinator *c, int64_t now);

/** Ends this daemon's term. @param reason a short clause for the log */
void election_follow(struct coordinator *c, const char *reason);

/** Delays the next candidacy by a random, exponential back-off. */
void election_back_off(struct coordinator *c, int64_t now);

/** Whether a daemon of higher rank has been live long enough to take over. */
bool election_preferred_peer_live(const struct coordinator *c, int64_t now);

/** Whether no other daemon is live. */
bool election_no_live_peer(const struct coordinator *c, int64_t now);

/** Frees a peer's record. */
void election_peer_free(gpointer data);

#endif
