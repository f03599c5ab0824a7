/**
 * The upstreams of one service as one router sees them: tracks their slots,
 * requests in flight, response times and readiness, and does load balancing.
 *
 * Rules:
 * - An unkeyed request goes to the better of two random candidates, by requests
 *   in flight and by expected time; a keyed one goes to its owner or waits.
 * - The expected time is the mean time to the first byte of an answer, raised
 *   by the ages of requests that still wait for one. An upstream whose expected
 *   time is STRAGGLER_RATIO times the median gets only one probe request at a
 *   time until an answer is fast again. This applies to at most a third of the
 *   available upstreams, the slowest (upstream/straggler.h).
 * - An upstream that isn't known to be ready counts as cold: requests go to it
 *   only under a share of its fleet-wide budget (upstream/budget.h). Readiness
 *   belongs to one incarnation, so a request must use a connection that is
 *   known to reach that incarnation, see pool_flight_boot(). After a failed
 *   connection the upstream counts as cold until the allocator of the budget
 *   reports again that it is ready.
 * - An upstream that shuts down, or is out of service, gets no new requests;
 *   those in flight continue.
 *
 * Not thread-safe: the caller holds one lock per pool around each call.
 */
#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "upstream/budget.h"

/** Handle that stands for no upstream. */
#define POOL_NONE UINT32_MAX
/** Most upstreams that a request can exclude as already tried. */
#define POOL_TRIED_MAX 8

/** Settings of a pool. */
struct pool_options {
	/** Availability zone of this router. */
	struct str zone;
	/** Id of this router, for its subset of the upstreams. */
	struct str router;
	/** Most requests that this router runs on one upstream at once. */
	uint32_t slots;
	/** Requests go to the owners of their keys: all upstreams are used. */
	bool keyed;
	/** Seed of the random choices. */
	uint32_t seed;
};

/** An upstream in the list given to pool_update(), which copies the strings. */
struct pool_member {
	struct str id;
	struct str zone;
	/** The upstream takes new requests: it isn't shutting down, and neither
	 * it nor its zone is out of service. */
	bool available;
};

/** Whether a request can be sent: result of pool_pick() and pool_check(). */
enum pool_availability {
	/** The request can be sent to the upstream. */
	POOL_OK,
	/** All slots of this router on the upstream are taken, or the upstream
	 * is in back-off: wait. */
	POOL_FULL,
	/** The upstream is cold: ask for shares, then try again. */
	POOL_NO_SHARE,
	/** No upstream takes new requests. */
	POOL_EMPTY,
};

/** How a request in flight ended. */
enum pool_outcome_kind {
	/** The answer is complete, or will be passed on to its end. */
	POOL_ANSWERED,
	/** The upstream refused: it has no free slot. */
	POOL_SHED,
	/** The upstream refused: it is cold. */
	POOL_COLD,
	/** The upstream refused: it shuts down. */
	POOL_SHUTTING_DOWN,
	/** Connecting failed, or the connection was reset, or the answer was
	 * truncated. */
	POOL_FAILED,
	/** The upstream made no progress for the stall limit, or the deadline
	 * passed. */
	POOL_STALLED,
	/** The router gave the request up, which says nothing about the
	 * upstream. */
	POOL_CANCELLED,
	/** The request was not sent: the connection reaches another
	 * incarnation. */
	POOL_OTHER_BOOT,
	/** The request was not sent, for a reason that says nothing about the
	 * upstream. */
	POOL_UNSENT,
};

/** A request in flight; owned by the pool, freed by pool_finish(). */
struct pool_flight;

/** One service's upstreams. */
struct pool;

/** @return a new pool without upstreams; free with pool_destroy() */
struct pool *pool_create(const struct pool_options *options);

/** Frees a pool and its requests in flight; NULL is allowed. */
void pool_destroy(struct pool *pool);

/**
 * Replaces the list of upstreams. New ones count as cold. Those not listed any
 * more get no new requests and are removed once none of theirs is in flight.
 */
void pool_update(struct pool *pool, const struct pool_member *members,
		 size_t count);

/**
 * Sets the ids of all routers, from which each router derives its subset of the
 * upstreams (upstream/subset.h). Without this call, and when keyed, this router
 * uses all upstreams.
 */
void pool_set_routers(struct pool *pool, const struct str *routers,
		      size_t count);

/** Changes how many requests this router runs on each upstream at once. */
void pool_set_slots(struct pool *pool, uint32_t slots);

/** @return the upstream's handle, or POOL_NONE; stable while it is listed */
uint32_t pool_find(const struct pool *pool, struct str id);

/** Returns the id of an upstream; borrowed until the next pool_update(). */
struct str pool_id(const struct pool *pool, uint32_t upstream);

/** Returns the incarnation last seen, empty when unknown; borrowed until the
 * next call that changes the pool. */
struct str pool_boot(const struct pool *pool, uint32_t upstream);

/**
 * Chooses an upstream for an unkeyed request. Reserves no slot: call
 * pool_start() under the same lock.
 *
 * @param tried upstreams not to be chosen
 * @param upstream set to the choice; for POOL_NO_SHARE to an upstream for which
 *        a share is now wanted; else to POOL_NONE
 */
enum pool_availability pool_pick(struct pool *pool, const uint32_t *tried,
				 size_t tried_count, int64_t now_us,
				 uint32_t *upstream);

/** Tells whether an upstream, the owner of a key, can take a request now.
 * POOL_NO_SHARE also records that a share is wanted. */
enum pool_availability pool_check(struct pool *pool, uint32_t upstream,
				  int64_t now_us);

/**
 * Takes a slot for a request. Call only after POOL_OK for this upstream.
 *
 * @return the request in flight; end it with pool_finish()
 */
struct pool_flight *pool_start(struct pool *pool, uint32_t upstream,
			       int64_t now_us);

/**
 * Returns the incarnation that the request is for; borrowed from flight.
 * When the connection reaches another incarnation, don't send the request: end
 * it with POOL_OTHER_BOOT.
 */
struct str pool_flight_boot(const struct pool_flight *flight);

/**
 * Returns the instant by which the request must be sent, as its share ends
 * then. After it, for example when this process was paused, end the request
 * with POOL_UNSENT.
 *
 * @return an instant; INT64_MAX without a share
 */
int64_t pool_flight_send_before(const struct pool_flight *flight);

/** Returns the upstream that the request is for. */
uint32_t pool_flight_upstream(const struct pool_flight *flight);

/**
 * Records that an answer's first byte arrived, and updates the upstream's
 * expected time. The slot stays taken until pool_finish().
 *
 * @param boot Auburn-Boot of the answer; empty when it had none
 */
void pool_answer_started(struct pool *pool, struct pool_flight *flight,
			 struct str boot, int64_t now_us);

/** Ends a request in flight: releases its slot, applies the outcome to the
 * upstream's state and frees the request. */
void pool_finish(struct pool *pool, struct pool_flight *flight,
		 enum pool_outcome_kind outcome, int64_t now_us);

/**
 * Marks an upstream as cold, as its incarnation may have changed: an idle
 * connection was reset or another boot id was seen.
 */
void pool_mark_cold(struct pool *pool, uint32_t upstream, int64_t now_us);

/** A ShareRequest to send for an upstream. */
struct pool_share_request {
	uint32_t upstream;
	struct budget_request ask;
};

/**
 * Makes the ShareRequests that are due, with now_us as their asked_us, and
 * marks them as sent. Call after POOL_NO_SHARE, when a request in flight ends,
 * and every BUDGET_REQUEST_INTERVAL_US.
 *
 * @param asks set to at most max ShareRequests
 * @return the number of ShareRequests set
 */
size_t pool_due_share_requests(struct pool *pool, int64_t now_us,
			       struct pool_share_request *asks, size_t max);

/**
 * Applies a Share for an upstream.
 *
 * @param boot incarnation that the share is valid for; empty when unknown
 * @param asked_us time of the ShareRequest, copied into the Share
 * @param count requests that may run at once; at least BUDGET_CONNECTIONS means
 *        that the upstream is ready
 * @param duration_us duration of the share, counted from asked_us
 */
void pool_apply_share(struct pool *pool, uint32_t upstream, struct str boot,
		      int64_t asked_us, uint32_t count, int64_t duration_us);

/**
 * Returns how long to wait for an answer before a backup request is sent: the
 * 95th percentile of the times to the first byte of this service's answers.
 *
 * @return microseconds; INT64_MAX after too few answers to tell
 */
int64_t pool_backup_delay(const struct pool *pool);

/**
 * Tells whether a backup request may be sent: a second copy of a request whose
 * answer is slow. Cancelled copies (POOL_CANCELLED) may take at most 5% of the
 * time that answers take.
 */
bool pool_backup_allowed(const struct pool *pool);

/** State of an upstream as this router sees it. */
struct pool_upstream_status {
	/** Borrowed until the next pool_update(). */
	struct str id;
	/** Requests of this router in flight. */
	uint32_t in_flight;
	bool available;
	/** The upstream counts as cold for this router. */
	bool cold;
	/** The upstream is a straggler: it gets probe requests only. */
	bool slow;
	/** Expected time to the first byte of an answer; 0: unknown. */
	int64_t expected_us;
};

/** Describes the upstream with a handle from 0 on, for metrics. @return false
 * when the index is beyond the last upstream */
bool pool_status(const struct pool *pool, size_t index, int64_t now_us,
		 struct pool_upstream_status *status);

#endif
