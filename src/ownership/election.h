/**
 * Which assigner stands for coordinator of a cell, and when: live daemons are
 * ranked by rendezvous hashing, so that cells spread evenly.
 */
#ifndef OWNERSHIP_ELECTION_H
#define OWNERSHIP_ELECTION_H

#include "ownership/coordinator_impl.h"

/** Notes a peer's heartbeat. */
void election_on_peer(struct coordinator *c,
		      const struct coordinator_peer *peer);

/** Place of this daemon among live daemons; 0: the first to stand. */
size_t election_rank(const struct coordinator *c, int64_t now);

/** A follower decides whether to stand now. */
bool election_may_challenge(const struct coordinator *c, int64_t now);

/** Becomes a follower. @param reason a short clause for the log */
void election_follow(struct coordinator *c, const char *reason);

/** Gives way to a higher ballot, for longer each time in a row. */
void election_back_off(struct coordinator *c, int64_t now);

/** A better placed daemon has been live for long: give the cell to it. */
bool election_preferred_peer_live(const struct coordinator *c, int64_t now);

/** No other daemon is live. */
bool election_no_live_peer(const struct coordinator *c, int64_t now);

/** Frees a peer's record. */
void election_peer_free(gpointer data);

#endif
