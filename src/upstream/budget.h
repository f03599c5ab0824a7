/**
 * The limit of an upstream for the whole fleet. A holder (the coordinator of
 * the service's cell) divides what the upstream can bear into shares: counts
 * of concurrent requests that end after a duration. A router sends only while
 * it holds a share with room.
 *
 * Rules:
 * - A share counts from the moment its receiver asked, by the receiver's own
 *   clock. The holder counts it from the moment it answered, plus a margin, so
 *   that it ends at the router first.
 * - Shares that the holder counts never sum to more than the limit.
 * - A new holder, and a holder that learns of a new incarnation, waits until
 *   every share given for the past one has ended.
 * - Requests may outlive their share. Once a share ended without being
 *   returned, the holder gives out nothing until it has read the upstream's
 *   own count of running requests after that end, and subtracts that count.
 *   The same holds, after a margin, when a router says that it gave a request
 *   up (cancelled, or its connection broke): it may be under way or run. Such
 *   a word about an upstream that is ready makes the holder read it again, as
 *   it may be another incarnation by now.
 * - When more routers ask than the limit can serve, one that held a share last
 *   gets none, so that the others get their turn; what it runs ends.
 * - Nothing is given out while the limit isn't known, or was read longer than
 *   BUDGET_SHARE_US ago: a share ends that long after the reading it rests on,
 *   which is less than an upstream takes to restart.
 *
 * Not thread-safe: one thread or one lock for each holder and each share.
 */
#ifndef UPSTREAM_BUDGET_H
#define UPSTREAM_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Longest duration of a share. */
#define BUDGET_SHARE_US INT64_C(200000)
/** A ShareRequest is repeated, or a share renewed, after this. */
#define BUDGET_ASK_US INT64_C(20000)
/** Clock rate and network delay that the holder allows for. */
#define BUDGET_MARGIN_US INT64_C(50000)
/** Connections of one upstream. */
#define BUDGET_CONNECTIONS 130

/** What an upstream said about itself, in answer to the holder. */
struct budget_reading {
	/** Incarnation; empty: unknown, which counts as cold with limit 0. */
	struct str boot;
	/** Concurrent requests it can bear now, of the whole fleet; at least
	 * BUDGET_CONNECTIONS: it is ready and shares need not be counted. */
	uint32_t limit;
	/** Requests that it runs or has queued. */
	uint32_t running;
	/** When the holder asked. */
	int64_t asked_us;
};

struct budget_grant {
	uint32_t count;
	/** Counts from the router's own request; 0 when nothing was given. */
	int64_t duration_us;
	/** Incarnation it is good for; borrowed from the holder. */
	struct str boot;
};

struct budget_holder;

/**
 * Creates the holder of one upstream's limit.
 *
 * @param now_us when this holder came to its authority; shares of the holder
 *        before it may still run, so nothing is given out for a while
 * @return a new holder; free with budget_holder_destroy()
 */
struct budget_holder *budget_holder_create(int64_t now_us);

/** Frees a holder; NULL is allowed. */
void budget_holder_destroy(struct budget_holder *holder);

/**
 * Takes what the upstream said. Readings that were asked for before the last
 * one taken are ignored.
 */
void budget_holder_read(struct budget_holder *holder,
			const struct budget_reading *reading, int64_t now_us);

/** What a router asks for. Nothing wanted or in use: it returns its share. */
struct budget_ask {
	/** Requests that it would like to send beside those that run. */
	uint32_t wanted;
	/** Requests of it that run. They are counted even if its share, which
	 * bounds what it starts, becomes less. */
	uint32_t in_use;
	/** It gave a request up since its last ask that was answered. */
	bool lost;
	/** When it asked, by its own clock. */
	int64_t asked_us;
	/** It starts nothing under shares that it asked for before this. */
	int64_t taken_us;
};

/**
 * Answers a router's ShareRequest. The router's earlier share is replaced. One
 * that was asked before the last answered is not: requests change order while
 * the holder reads the upstream for some of them.
 *
 * @param router names the router's incarnation, as its clock begins anew
 * @param now_us when the request was received
 * @return the share; count 0 when nothing can be given
 */
struct budget_grant budget_holder_ask(struct budget_holder *holder,
				      struct str router,
				      const struct budget_ask *ask,
				      int64_t now_us);

/**
 * Tells whether the upstream must be read before a ShareRequest can be
 * answered well. Read it, then answer.
 */
bool budget_holder_stale(const struct budget_holder *holder, int64_t now_us);

/** Sum of the shares that may still be used. */
uint32_t budget_holder_given(struct budget_holder *holder, int64_t now_us);

/** A router's share of one upstream. Plain data; zero is "none held". */
struct budget_share {
	uint32_t count;
	uint32_t in_use;
	/** When it ends, by the router's monotonic clock. */
	int64_t ends_us;
	/** When the last ShareRequest was sent. */
	int64_t asked_us;
	/** Answers to requests sent up to this are ignored. */
	int64_t taken_us;
	/** A request under it was given up, and the holder has not answered
	 * since. */
	bool lost;
};

/**
 * Notes that a ShareRequest is sent now; it carries now_us.
 *
 * @return false when one was sent lately: don't send
 */
bool budget_share_ask(struct budget_share *share, int64_t now_us);

/**
 * Takes a Share, which counts from the request that it answers. One that
 * answers an earlier request than the last taken is ignored.
 *
 * @param asked_us as carried back by the Share
 * @return false when it was ignored
 */
bool budget_share_take(struct budget_share *share, int64_t asked_us,
		       uint32_t count, int64_t duration_us);

/** Takes room for one request. @return false when there is none */
bool budget_share_use(struct budget_share *share, int64_t now_us);

/** Gives the room of one request back. */
void budget_share_release(struct budget_share *share);

/**
 * Ends the share at once, for example after a reset of a connection or because
 * it is returned. Answers to requests sent up to now are ignored.
 */
void budget_share_drop(struct budget_share *share, int64_t now_us);

/** Ends the share at once as a request under it was given up. */
void budget_share_lose(struct budget_share *share, int64_t now_us);

/**
 * Connections that one daemon may hold to one upstream.
 *
 * @param connections of the upstream over all daemons
 * @param daemons that may use this upstream
 * @return at least 1: a daemon below one whole share opens a connection for
 *         one request and closes it after
 */
uint32_t budget_connections(uint32_t connections, uint32_t daemons);

#endif
