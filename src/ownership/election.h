/**
 * Election of a cell's coordinator: which assigner becomes a candidate, and
 * when. Live daemons are ranked by rendezvous hashing, which spreads cells
 * evenly over them.
 */
#ifndef OWNERSHIP_ELECTION_H
#define OWNERSHIP_ELECTION_H

#include "ownership/coordinator_impl.h"

/** Length of the first back-off after a lost candidacy. */
#define ELECTION_BACKOFF_MIN_US (500 * US_PER_MS)

/** Records a peer's heartbeat. */
void election_on_peer(struct coordinator *c,
		      const struct coordinator_peer *peer);

/** Number of live daemons that rank above this one for the cell; 0 for the
 * preferred coordinator. */
size_t election_rank(const struct coordinator *c, int64_t now);

/** Whether this daemon, a follower, should become a candidate now. */
bool election_may_become_candidate(const struct coordinator *c, int64_t now);

/**
 * Ends this daemon's term: drops its ballot and its pending write.
 *
 * @param reason a short clause for the log
 */
void election_follow(struct coordinator *c, const char *reason);

/** Delays this daemon's next candidacy by an exponential back-off with a random
 * part. */
void election_back_off(struct coordinator *c, int64_t now);

/** Whether a daemon of higher rank has been live long enough to take over. */
bool election_preferred_peer_live(const struct coordinator *c, int64_t now);

/** Whether no other daemon is live. */
bool election_no_live_peer(const struct coordinator *c, int64_t now);

/** Frees a struct peer. */
void election_peer_free(gpointer data);

#endif
