/**
 * One service's upstreams as one router sees them: slots, what is in flight and
 * since when, which are slow, cold or leaving, and the choice among them.
 *
 * Rules:
 * - An unkeyed request goes to the better of two random candidates, by requests
 *   in flight and by expected time; a keyed one goes to its owner or waits.
 * - Expected time is the mean of answers, raised by the ages of what waits for
 *   one. Whoever is expected to take STRAGGLER_RATIO times the median gets one
 *   probe at a time only, until an answer is fast again; at most a third of the
 *   available upstreams, the slowest (upstream/straggler.h).
 * - An upstream that isn't known to be ready counts as cold: requests go to it
 *   only under a share of its fleet-wide budget (upstream/budget.h). Readiness
 *   holds for one incarnation: a request must go over a connection that is
 *   known to reach that one, see pool_flight_boot(). A failed connection ends
 *   it until the holder of the budget says anew that it is ready.
 * - One that leaves, or is out of service, gets nothing new; what runs ends.
 *
 * Not thread-safe: one lock for each pool, held for single calls.
 */
#ifndef UPSTREAM_POOL_H
#define UPSTREAM_POOL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "upstream/budget.h"

/** No upstream. */
#define POOL_NONE UINT32_MAX
/** Upstreams that one request can have tried before. */
#define POOL_TRIED_MAX 8
struct pool_options {
	/** Availability zone of this router. */
	struct str zone;
	/** Id of this router, for its subset of the upstreams. */
	struct str router;
	/** Requests that one upstream runs at once. */
	uint32_t slots;
	/** Every upstream is used: requests go to owners of keys. */
	bool keyed;
	/** Seed of the random choices. */
	uint32_t seed;
};

/** An upstream as listed. Strings are copied. */
struct pool_member {
	struct str id;
	struct str zone;
	/** Gets new work: neither leaving nor out, nor in a zone out. */
	bool available;
};

/** Why pool_pick() or pool_check() found no place. */
enum pool_place {
	/** An upstream was found. */
	POOL_OK,
	/** All slots are taken here; wait for one. */
	POOL_FULL,
	/** Cold: ask for shares, then try again. */
	POOL_NO_SHARE,
	/** No upstream takes new work. */
	POOL_EMPTY,
};

enum pool_outcome_kind {
	/** A whole answer, or one that runs to its end after this. */
	POOL_ANSWERED,
	/** Refused: no slot there. */
	POOL_SHED,
	/** Refused: it is cold. */
	POOL_COLD,
	/** Refused: it leaves. */
	POOL_LEAVING,
	/** Connect failed, reset or truncated. */
	POOL_FAILED,
	/** No progress for the stall limit, or past the deadline. */
	POOL_STALLED,
	/** This side gave up: says nothing about the upstream. */
	POOL_CANCELLED,
	/** Not sent: its connection reaches another incarnation. */
	POOL_OTHER_BOOT,
	/** Not sent: says nothing about the upstream. */
	POOL_UNSENT,
};

/** A request in flight; owned by the pool, freed by pool_finish(). */
struct pool_flight;

struct pool;

/** @return a new pool without upstreams; free with pool_destroy() */
struct pool *pool_create(const struct pool_options *options);

/** Frees a pool and the flights still in it; NULL is allowed. */
void pool_destroy(struct pool *pool);

/**
 * Takes the present list. New upstreams count as cold. Those not listed any
 * more get nothing new and are forgotten when nothing of them is in flight.
 */
void pool_update(struct pool *pool, const struct pool_member *members,
		 size_t count);

/**
 * Takes the ids of all routers, by which each uses a subset of the upstreams
 * (upstream/subset.h). Without this call, and when keyed, all are used.
 */
void pool_set_routers(struct pool *pool, const struct str *routers,
		      size_t count);

/** Changes the slots of each upstream. */
void pool_set_slots(struct pool *pool, uint32_t slots);

/** @return the upstream's handle, or POOL_NONE; stable while it is listed */
uint32_t pool_find(const struct pool *pool, struct str id);

/** The id of an upstream; borrowed until the next pool_update(). */
struct str pool_id(const struct pool *pool, uint32_t upstream);

/** The incarnation last seen, empty when unknown; borrowed likewise. */
struct str pool_boot(const struct pool *pool, uint32_t upstream);

/**
 * Chooses an upstream for an unkeyed request. Takes nothing: call pool_start()
 * under the same lock.
 *
 * @param tried upstreams not to be chosen
 * @param upstream set to the choice, or to one that a share is wanted for
 *        (POOL_NO_SHARE), else POOL_NONE
 */
enum pool_place pool_pick(struct pool *pool, const uint32_t *tried,
			  size_t tried_count, int64_t now_us,
			  uint32_t *upstream);

/** Tells whether the owner of a key can take a request now. */
enum pool_place pool_check(struct pool *pool, uint32_t upstream,
			   int64_t now_us);

/**
 * Takes a slot. Call only after POOL_OK for this upstream.
 *
 * @return the flight; end it with pool_finish()
 */
struct pool_flight *pool_start(struct pool *pool, uint32_t upstream,
			       int64_t now_us);

/**
 * The incarnation that the request is for; borrowed from the flight. A
 * connection that reaches another one must not carry it: end the flight with
 * POOL_OTHER_BOOT.
 */
struct str pool_flight_boot(const struct pool_flight *flight);

/**
 * Until when the request may be sent: a share ends, also while its holder is
 * paused. End the flight with POOL_UNSENT when it is later.
 *
 * @return an instant; INT64_MAX without a share
 */
int64_t pool_flight_send_before(const struct pool_flight *flight);

/** The upstream of a flight. */
uint32_t pool_flight_upstream(const struct pool_flight *flight);

/**
 * Notes the first byte of an answer. Its time counts for expectations; the
 * slot stays taken until pool_finish().
 *
 * @param boot Auburn-Boot of the answer; empty when it had none
 */
void pool_head(struct pool *pool, struct pool_flight *flight, struct str boot,
	       int64_t now_us);

/** Ends a flight, gives its slot back and frees it. */
void pool_finish(struct pool *pool, struct pool_flight *flight,
		 enum pool_outcome_kind outcome, int64_t now_us);

/**
 * Notes a sign from outside a flight that the incarnation may have changed: a
 * connection reset while idle, or another boot seen. It counts as cold then.
 */
void pool_doubt(struct pool *pool, uint32_t upstream, int64_t now_us);

/** A ShareRequest to send. */
struct pool_ask {
	uint32_t upstream;
	struct budget_ask ask;
};

/**
 * Tells which upstreams to send a ShareRequest for, with now_us as its
 * asked_us, and notes it as sent. Call when a pick or a check said
 * POOL_NO_SHARE, when a flight ends, and every BUDGET_ASK_US.
 *
 * @param asks set to at most max requests
 * @return the number set
 */
size_t pool_shares_to_ask(struct pool *pool, int64_t now_us,
			  struct pool_ask *asks, size_t max);

/**
 * Takes a Share for an upstream.
 *
 * @param asked_us as carried back by the Share
 */
void pool_take_share(struct pool *pool, uint32_t upstream, struct str boot,
		     int64_t asked_us, uint32_t count, int64_t duration_us);

/**
 * How long to wait for an answer before a backup request is worth its load:
 * the 95th percentile of this service's answers.
 *
 * @return microseconds; INT64_MAX when too little is known
 */
int64_t pool_backup_delay(const struct pool *pool);

/**
 * Tells whether a backup request may be sent: copies that lose may take at most
 * 5% of the time that answers take. A copy ended with POOL_CANCELLED lost.
 */
bool pool_backup_allowed(const struct pool *pool);

struct pool_upstream_status {
	struct str id;
	uint32_t in_flight;
	bool available;
	/** It counts as cold here. */
	bool cold;
	bool slow;
	int64_t expected_us;
};

/** Describes an upstream, for metrics. @return false at the list's end */
bool pool_status(const struct pool *pool, size_t index, int64_t now_us,
		 struct pool_upstream_status *status);

#endif
