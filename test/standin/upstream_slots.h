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

struct slot_limits {
	/** Requests that run at once. */
	unsigned int slots;
	/** Requests that wait for a slot. */
	unsigned int queue;
	/** Requests that a cold upstream runs and queues at once. */
	unsigned int cold_limit;
	/** Time after the start during which the upstream is cold. */
	int64_t cold_us;
	/** Factor of the execution time while cold. */
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
	SLOT_DRAINING,
	/** The deadline passed while the request was queued. */
	SLOT_DEADLINE,
	/** The request was cancelled while it was queued. */
	SLOT_CANCELLED,
};

/** Load at one instant; cold_limit is 0 unless cold. */
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

struct slots;
struct slot;

struct slots *slots_create(const struct slot_limits *limits);
void slots_destroy(struct slots *slots);

/**
 * Waits for a free slot.
 *
 * @param id request id, for slots_cancel()
 * @param deadline_us monotonic time after which the request is not started
 * @param slot set on SLOT_OK; free it with slots_release()
 */
enum slot_result slots_acquire(struct slots *slots, const char *id,
			       int64_t deadline_us, struct slot **slot);

/**
 * Simulates a request's execution by sleeping.
 *
 * @param service_us execution time before slowdowns; negative: random
 * @return false when the request was cancelled
 */
bool slots_run(struct slots *slots, struct slot *slot, int64_t service_us);

/** Ends a request and frees its slot. */
void slots_release(struct slots *slots, struct slot *slot);

/** Cancels the queued or running request with an id. */
enum slot_cancel_result slots_cancel(struct slots *slots, const char *id);

/** Rejects new requests; running and queued ones are finished. */
void slots_drain(struct slots *slots);

/** Starts another cold period. */
void slots_set_cold(struct slots *slots);

/** Starts or stops rejecting all new requests. */
void slots_set_shed(struct slots *slots, bool shed);

/** Multiplies execution times by a factor; 1: normal speed. */
void slots_set_slowdown(struct slots *slots, double factor);

struct slot_load slots_load(struct slots *slots);

/** Returns how many requests a cold upstream rejected above its limit. */
uint64_t slots_cold_overshoot(struct slots *slots);

#endif
