/**
 * Admission of requests to the upstream stand-in: a limited number of execution
 * slots, a queue, draining, shedding and a cold start. Thread safe.
 */
#ifndef UPSTREAM_SLOTS_H
#define UPSTREAM_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ownership/order_defs.h"

/** Limits and execution times of an upstream. */
struct slot_limits {
	/** Most requests that run at once. */
	unsigned int slots;
	/** Most requests that wait for a slot. */
	unsigned int queue;
	/** Most requests that a cold upstream runs and queues at once. */
	unsigned int cold_limit;
	/** Length of a cold period; the first begins with the start. */
	int64_t cold_us;
	/** Factor of execution times while cold. */
	double cold_factor;
	/** Mean execution time of a request. */
	int64_t service_us;
	/** Seed of the random execution times. */
	uint64_t seed;
};

/** Result of waiting for a slot; all but SLOT_OK reject the request. */
enum slot_result {
	SLOT_OK,
	/** The queue is full, or all new requests are rejected. */
	SLOT_SHED,
	/** The upstream is cold and has reached its cold limit. */
	SLOT_COLD,
	/** The upstream shuts down. */
	SLOT_DRAINING,
	/** The deadline passed while the request was queued. */
	SLOT_DEADLINE,
	/** The request was cancelled while it was queued. */
	SLOT_CANCELLED,
};

/** Load at one instant: numbers of running and queued requests and of slots,
 * and the limit while cold, which is 0 otherwise. */
struct slot_load {
	unsigned int running, queued, slots, cold_limit;
	enum upstream_state state;
};

/** State in which a cancel found a request. */
enum slot_cancel_result {
	/** No request with this id is known. */
	CANCEL_UNKNOWN,
	/** The request was queued and will not run. */
	CANCEL_NOT_RUN,
	/** The request was running and ends early. */
	CANCEL_STOPPED,
	/** The request has finished. */
	CANCEL_RAN,
};

/** All slots and the queue of an upstream. */
struct slots;
/** A request that runs in a slot or waits for one. */
struct slot;

/** Creates the slots, all free; slots_destroy() frees them. */
struct slots *slots_create(const struct slot_limits *limits);
void slots_destroy(struct slots *slots);

/**
 * Waits for a free slot.
 *
 * @param id request id, for slots_cancel(); copied
 * @param deadline_us monotonic time after which the request is not started
 * @param slot set on SLOT_OK; free it with slots_release()
 */
enum slot_result slots_acquire(struct slots *slots, const char *id,
			       int64_t deadline_us, struct slot **slot);

/**
 * Simulates a request's execution by sleeping.
 *
 * @param service_us execution time without slowdowns; a negative one is
 * replaced by a random time
 * @return false when the request was cancelled
 */
bool slots_run(struct slots *slots, struct slot *slot, int64_t service_us);

/** Ends a request and frees its slot. */
void slots_release(struct slots *slots, struct slot *slot);

/** Cancels the queued or running request with an id. Of several requests with
 * this id, the last one is cancelled. */
enum slot_cancel_result slots_cancel(struct slots *slots, const char *id);

/** Rejects new requests; running and queued ones are finished. */
void slots_drain(struct slots *slots);

/** Starts another cold period, in place of one that has not ended. */
void slots_set_cold(struct slots *slots);

/** Starts or stops rejecting all new requests. */
void slots_set_shed(struct slots *slots, bool shed);

/** Multiplies execution times by a factor; 1: normal speed. */
void slots_set_slowdown(struct slots *slots, double factor);

/** Returns the current load. */
struct slot_load slots_load(struct slots *slots);

/** Returns how many requests were rejected with SLOT_COLD. */
uint64_t slots_cold_overshoot(struct slots *slots);

#endif
