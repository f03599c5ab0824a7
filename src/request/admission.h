/**
 * Admission queue of one router: holds requests until they may be sent. A lane
 * is the queue for one destination (a service's upstreams, or one owner of
 * keys). A class groups the lanes of one profile.
 *
 * Rules:
 * - Lower priority numbers go first. A class of priority p may use at most
 *   (100 - 5 p)% of the router's capacity, which leaves room for the others.
 * - One of every ADMISSION_LOW_EVERY admitted requests has the lowest priority
 *   that waits. This prevents starvation: under lasting overload that priority
 *   gets at least 1 / ADMISSION_LOW_EVERY of the admitted requests.
 * - Classes of the same priority share by weight.
 * - Within a class the earliest deadline goes first.
 * - A request is refused on arrival when, at the lane's recent pace, its answer
 *   can't begin before its deadline. When its class's queue is full, the
 *   request with the latest deadline is refused: a queued one or the new one.
 * - A queued request whose answer can't begin in time any more is refused by
 *   admission_next() without being sent.
 *
 * Times are microseconds of one monotonic clock, which the caller reads. Not
 * thread-safe: the caller holds one lock per instance around each call.
 */
#ifndef REQUEST_ADMISSION_H
#define REQUEST_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"

/** One of this many admitted requests is of the lowest priority that waits. */
#define ADMISSION_LOW_EVERY 20
/** Index that stands for no class or lane. */
#define ADMISSION_NONE UINT32_MAX

/** Settings of a class, from the profile of its lanes. */
struct admission_class {
	/** 0 to 9; lower goes first. Larger values count as 9. */
	uint32_t priority;
	/** Share among classes of the same priority; 0 counts as 1. */
	uint32_t weight;
	/** Most requests that may wait in the class's lanes together. */
	uint32_t queue_limit;
};

/** A waiting request; owned by the queue. */
struct admission_entry;
/** The admission queue of one router. */
struct admission;

/**
 * Creates an admission queue without classes and lanes.
 *
 * @param capacity most admitted requests that may run at once
 * @return a new queue; free with admission_destroy()
 */
struct admission *admission_create(uint32_t capacity);

/** Frees a queue and its entries; NULL is allowed. */
void admission_destroy(struct admission *admission);

/** Adds a class. @return its index */
uint32_t admission_add_class(struct admission *admission,
			     const struct admission_class *class);

/** Replaces the settings of a class; waiting requests stay queued. */
void admission_set_class(struct admission *admission, uint32_t class,
			 const struct admission_class *settings);

/**
 * Adds an empty lane to a class.
 *
 * @param owner passed to the ready function of admission_next()
 * @return the lane's index
 */
uint32_t admission_add_lane(struct admission *admission, uint32_t class,
			    void *owner);

/**
 * Queues a request. May refuse it, or a queued one in its favour.
 *
 * @param deadline_us instant by which the request's answer must have begun
 * @param request opaque to the queue; handed back by admission_next()
 * @param refused set to the request to refuse, NULL when none: either this
 *        one, and then NULL is returned, or a queued one with a later deadline,
 *        whose entry was freed to make room
 * @param reason set to the reason of the refusal; meaningless when nothing is
 *        refused
 * @return the request's entry, owned by the queue; NULL when it was refused
 */
struct admission_entry *admission_enqueue(struct admission *admission,
					  uint32_t lane, int64_t deadline_us,
					  void *request, int64_t now_us,
					  void **refused,
					  enum verdict_reason *reason);

/** Removes a waiting request, whose caller disconnected, and frees its entry.
 */
void admission_cancel(struct admission *admission,
		      struct admission_entry *entry);

/** What the caller of admission_next() has to do. */
enum admission_decision {
	/** Nothing: no waiting request can be admitted now. */
	ADMISSION_IDLE,
	/** Send the request, which counts as running until admission_done(). */
	ADMISSION_SEND,
	/** Refuse the request: its deadline can't be met. */
	ADMISSION_EXPIRED,
};

/**
 * Callback of admission_next().
 *
 * @param ctx the ctx given to admission_next()
 * @param lane_owner owner given to admission_add_lane()
 * @return whether the lane's destination has room for one more request
 */
typedef bool (*admission_ready_fn)(void *ctx, void *lane_owner);

/**
 * Takes the next request to send or to refuse off the queue and frees its
 * entry. Call until ADMISSION_IDLE whenever capacity becomes free or time
 * passes.
 *
 * @param request set to the request taken, unless ADMISSION_IDLE
 * @param lane set to its lane, unless ADMISSION_IDLE
 */
enum admission_decision admission_next(struct admission *admission,
				       admission_ready_fn ready, void *ctx,
				       int64_t now_us, void **request,
				       uint32_t *lane);

/**
 * Notes that an admitted request ended, which frees its place in the capacity.
 *
 * @param response_us time from admission to the answer's first byte; 0 when
 *        there was no answer
 */
void admission_done(struct admission *admission, uint32_t lane,
		    int64_t response_us);

/** Returns the number of requests that wait in a class. */
uint32_t admission_waiting(const struct admission *admission, uint32_t class);

/** Returns the number of admitted requests that have not ended. */
uint32_t admission_running(const struct admission *admission);

#endif
