/**
 * Fleet-wide limit of one upstream's concurrent requests. An allocator (in the
 * coordinator of the service's cell) divides the limit into shares. A share is
 * a lease: until it ends, one router may run a number of requests at once.
 *
 * Rules:
 * - The router counts a share's duration from its ShareRequest, by its own
 *   clock. The allocator counts it from its answer, plus BUDGET_MARGIN_US, so
 *   that the share ends at the router first.
 * - The allocator grants no share that raises the sum of the shares that it
 *   counts above the limit.
 * - A new allocator, and an allocator that learns of a new incarnation, waits
 *   until every share given for the past one has ended.
 * - Requests may outlive their share. After a share ended without being
 *   returned, the allocator grants nothing until it has read the upstream's own
 *   count of running requests, and subtracts that count from the limit. It
 *   does the same, after a margin, when a router reports that it gave up a
 *   request (cancelled, or its connection broke), which may still be under way
 *   or run. For an upstream that is ready such a report makes the allocator
 *   read the upstream again, as it may be another incarnation by now.
 * - When more routers ask than the limit can serve, a router that still holds a
 *   share gets no new one, so that the others are served next. Its running
 *   requests continue.
 * - Nothing is granted while the limit isn't known, or was read longer than
 *   BUDGET_SHARE_US ago: a share ends that long after the reading on which it
 *   is based, which is less than an upstream takes to restart.
 *
 * Not thread-safe: one thread or one lock for each allocator and each share.
 */
#ifndef UPSTREAM_BUDGET_H
#define UPSTREAM_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** Longest duration of a share. */
#define BUDGET_SHARE_US INT64_C(200000)
/** Time after which a ShareRequest is repeated, or a share renewed. */
#define BUDGET_REQUEST_INTERVAL_US INT64_C(20000)
/** The allocator's margin for differing clock rates and network delay. */
#define BUDGET_MARGIN_US INT64_C(50000)
/** Most connections to one upstream. A limit of this many concurrent requests
 * or more means that the upstream is ready: its shares aren't counted. */
#define BUDGET_CONNECTIONS 130

/** An upstream's report about itself, in answer to the allocator. Times are by
 * the allocator's clock. */
struct budget_reading {
	/** Incarnation; empty: unknown, which counts as cold with limit 0. */
	struct str boot;
	/** Concurrent requests of the whole fleet that the upstream accepts
	 * now. With BUDGET_CONNECTIONS or more it is ready, and shares need not
	 * be counted. */
	uint32_t limit;
	/** Requests that the upstream runs or has queued. */
	uint32_t running;
	/** When the allocator asked the upstream. */
	int64_t asked_us;
};

/** A share as granted to a router. */
struct budget_grant {
	/** Requests that the router may run at once; 0 when nothing was
	 * granted. */
	uint32_t count;
	/** Duration from the moment the router asked; 0 when nothing was
	 * granted. */
	int64_t duration_us;
	/** Incarnation that the share is valid for; borrowed from the
	 * allocator.
	 */
	struct str boot;
};

/** The fleet-wide limit of one upstream and the shares granted from it. */
struct budget_allocator;

/**
 * Creates the allocator of one upstream's limit.
 *
 * @param now_us when this process took over the limit. Shares of the allocator
 *        before it may still be in use, so nothing is granted until those have
 *        ended.
 * @return a new allocator; free with budget_allocator_destroy()
 */
struct budget_allocator *budget_allocator_create(int64_t now_us);

/** Frees an allocator; NULL is allowed. */
void budget_allocator_destroy(struct budget_allocator *allocator);

/**
 * Applies an upstream's report. A report that was asked for before the last
 * applied one is ignored.
 */
void budget_allocator_update(struct budget_allocator *allocator,
			     const struct budget_reading *reading,
			     int64_t now_us);

/** Content of a router's ShareRequest. With nothing wanted and nothing in use
 * the router returns its share. */
struct budget_request {
	/** Requests that the router wants to send in addition to in_use. */
	uint32_t wanted;
	/** Requests of the router that run. They are counted even if its share,
	 * which limits only new requests, becomes smaller. */
	uint32_t in_use;
	/** The router gave up a request since the last ShareRequest that was
	 * answered; the request may still run on the upstream. */
	bool lost;
	/** When the router asked, by its own clock. */
	int64_t asked_us;
	/** The router starts no request under a share that it asked for before
	 * this time. */
	int64_t taken_us;
};

/**
 * Answers a router's ShareRequest, whose share replaces the router's earlier
 * one. A ShareRequest older than the last one answered gets nothing:
 * ShareRequests overtake each other while some wait for a new report.
 *
 * @param router id of the router's incarnation, as its clock restarts with it
 * @param now_us when the ShareRequest was received
 * @return the share; count 0 when nothing can be granted
 */
struct budget_grant budget_allocator_grant(struct budget_allocator *allocator,
					   struct str router,
					   const struct budget_request *ask,
					   int64_t now_us);

/**
 * Tells whether the last report of the upstream is out of date, so that a new
 * one is needed before a ShareRequest is answered.
 */
bool budget_allocator_stale(const struct budget_allocator *allocator,
			    int64_t now_us);

/** Returns the sum of the shares that may still be in use. */
uint32_t budget_allocator_granted(struct budget_allocator *allocator,
				  int64_t now_us);

/** A router's share of one upstream's limit. Plain data; when all is zero, the
 * router has no share. */
struct budget_share {
	/** Requests that may run at once under the share. */
	uint32_t count;
	/** Requests that run under this share or earlier ones. */
	uint32_t in_use;
	/** When the share ends, by the router's monotonic clock. */
	int64_t ends_us;
	/** When the last ShareRequest was sent. */
	int64_t asked_us;
	/** Answers to ShareRequests sent up to this instant are ignored. */
	int64_t taken_us;
	/** A request under the share was given up, and the allocator has not
	 * answered since. */
	bool lost;
};

/**
 * Records that a ShareRequest is sent now, with now_us as its asked_us.
 *
 * @return false when a ShareRequest was sent within BUDGET_REQUEST_INTERVAL_US:
 *         don't send another one
 */
bool budget_share_mark_requested(struct budget_share *share, int64_t now_us);

/**
 * Applies a Share, which replaces the present one and whose duration counts
 * from the ShareRequest that it answers. An answer to an older ShareRequest
 * than that of the last Share applied is ignored.
 *
 * @param asked_us time of the ShareRequest, copied into the Share
 * @return false when the Share was ignored
 */
bool budget_share_apply(struct budget_share *share, int64_t asked_us,
			uint32_t count, int64_t duration_us);

/** Takes a place in the share for one request. @return false when no place is
 * free or the share has ended */
bool budget_share_use(struct budget_share *share, int64_t now_us);

/** Gives back the place of one request. */
void budget_share_release(struct budget_share *share);

/**
 * Ends the share at once, for example because a connection was reset or the
 * router returns the share. Answers to ShareRequests sent up to now are
 * ignored.
 */
void budget_share_drop(struct budget_share *share, int64_t now_us);

/**
 * Ends the share at once, as budget_share_drop() does, and makes the next
 * ShareRequest say that a request was given up. The allocator then reads the
 * upstream again before it grants another share.
 */
void budget_share_invalidate(struct budget_share *share, int64_t now_us);

/**
 * Computes how many connections one daemon may hold to one upstream.
 *
 * @param connections limit of the upstream over all daemons
 * @param daemons number of daemons that may use the upstream
 * @return at least 1: a daemon whose part is less than one connection opens
 *         one for a single request and closes it after
 */
uint32_t budget_connections(uint32_t connections, uint32_t daemons);

#endif
