/**
 * Requests that wait in one router until they may be sent. A lane holds those
 * that wait for the same thing (a service's upstreams, or one owner of keys);
 * a class is a profile; each lane belongs to one class.
 *
 * Rules:
 * - Lower priority numbers go first. A class of priority p holds at most
 *   (100 - 5 p)% of the router's capacity, so that it never crowds the others.
 * - One of every ADMISSION_LOW_EVERY requests let through is of the lowest
 *   priority that waits, so that none starves: under lasting overload it gets
 *   at least 1 / ADMISSION_LOW_EVERY of what is let through.
 * - Classes of the same priority share by weight.
 * - Within a class the earliest deadline goes first.
 * - A request is refused at once when its class's queue is full (its latest
 *   deadline is refused, be it the new one), or when by the pace of the queue
 *   it can't begin in time. One that can't end in time any more is refused
 *   when its turn comes, without being sent.
 *
 * Not thread-safe: one lock for each instance, held for single calls.
 */
#ifndef REQUEST_ADMISSION_H
#define REQUEST_ADMISSION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/verdict.h"

/** Every so many, the lowest priority that waits goes first. */
#define ADMISSION_LOW_EVERY 20
/** No class or lane. */
#define ADMISSION_NONE UINT32_MAX

struct admission_class {
	uint32_t priority;
	uint32_t weight;
	/** Requests that may wait. */
	uint32_t queue_limit;
};

struct admission_entry;
struct admission;

/**
 * @param capacity requests that may be past this queue at once
 * @return a new queue; free with admission_destroy()
 */
struct admission *admission_create(uint32_t capacity);

/** Frees a queue and its entries; NULL is allowed. */
void admission_destroy(struct admission *admission);

/** Adds a class. @return its index */
uint32_t admission_add_class(struct admission *admission,
			     const struct admission_class *class);

/** Changes a class. */
void admission_set_class(struct admission *admission, uint32_t class,
			 const struct admission_class *settings);

/**
 * Adds a lane.
 *
 * @param owner passed to the ready function of admission_next()
 * @return its index
 */
uint32_t admission_add_lane(struct admission *admission, uint32_t class,
			    void *owner);

/**
 * Queues a request.
 *
 * @param deadline_us instant by which its answer must have begun
 * @param request the caller's; returned when its turn comes
 * @param refused set to the request to refuse, NULL when none: either this
 *        one, and then NULL is returned, or one of a later deadline that made
 *        room, whose entry is freed
 * @param reason set with refused
 * @return its entry, owned by the queue; NULL when refused
 */
struct admission_entry *admission_offer(struct admission *admission,
					uint32_t lane, int64_t deadline_us,
					void *request, int64_t now_us,
					void **refused,
					enum verdict_reason *reason);

/** Takes a waiting request out: its caller went away. Frees the entry. */
void admission_withdraw(struct admission *admission,
			struct admission_entry *entry);

enum admission_turn {
	/** Nothing can go now. */
	ADMISSION_IDLE,
	/** Send the request. It counts as past the queue. */
	ADMISSION_GO,
	/** Refuse the request: its deadline can't be met. */
	ADMISSION_LATE,
};

/** Whether a lane's target has room: asked before a request is let through. */
typedef bool (*admission_ready_fn)(void *ctx, void *lane_owner);

/**
 * Takes the request whose turn it is; its entry is freed. Call until
 * ADMISSION_IDLE whenever room appears or time passes.
 */
enum admission_turn admission_next(struct admission *admission,
				   admission_ready_fn ready, void *ctx,
				   int64_t now_us, void **request,
				   uint32_t *lane);

/**
 * Notes that a request past the queue ended.
 *
 * @param took_us from being let through to the answer's first byte; 0 when
 *        there was none
 */
void admission_done(struct admission *admission, uint32_t lane,
		    int64_t took_us);

/** Requests that wait in a class. */
uint32_t admission_waiting(const struct admission *admission, uint32_t class);

/** Requests past the queue. */
uint32_t admission_running(const struct admission *admission);

#endif
