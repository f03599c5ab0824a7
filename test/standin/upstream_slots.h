/**
 * The slots of the upstream stand-in: how many requests run at once, how many
 * wait, and which are turned away. Thread safe.
 */
#ifndef UPSTREAM_SLOTS_H
#define UPSTREAM_SLOTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "ownership/order_defs.h"

struct slot_limits {
	unsigned int slots;
	unsigned int queue;
	/** Requests that a cold upstream takes at once. */
	unsigned int cold_limit;
	/** How long it stays cold. */
	int64_t cold_us;
	/** How many times slower it is while cold. */
	double cold_factor;
	/** Mean time a request runs. */
	int64_t service_us;
	uint64_t seed;
};

enum slot_result {
	SLOT_OK,
	SLOT_SHED,
	SLOT_COLD,
	SLOT_DRAINING,
	SLOT_DEADLINE,
	SLOT_CANCELLED,
};

/** What the slots hold at one instant. */
struct slot_load {
	unsigned int running, queued, slots, cold_limit;
	enum upstream_state state;
};

/** What became of a request that is to be cancelled. */
enum slot_cancel_result {
	CANCEL_UNKNOWN,
	CANCEL_NOT_RUN,
	CANCEL_STOPPED,
	CANCEL_RAN,
};

struct slots;
struct slot;

struct slots *slots_create(const struct slot_limits *limits);
void slots_destroy(struct slots *slots);

/**
 * Waits for a slot.
 *
 * @param id the request's id, by which it can be cancelled
 * @param deadline_us instant after which it is not started
 * @param slot set on SLOT_OK; ended by slots_release()
 */
enum slot_result slots_acquire(struct slots *slots, const char *id,
			       int64_t deadline_us, struct slot **slot);

/**
 * Runs a request: sleeps for its time.
 *
 * @param service_us time it takes when nothing slows it; negative: by chance
 * @return false when it was cancelled meanwhile
 */
bool slots_run(struct slots *slots, struct slot *slot, int64_t service_us);

void slots_release(struct slots *slots, struct slot *slot);

enum slot_cancel_result slots_cancel(struct slots *slots, const char *id);

/** No new work; what runs or waits is finished. */
void slots_drain(struct slots *slots);

/** Turns cold again, unannounced. */
void slots_set_cold(struct slots *slots);

/** Turns all new work away, or stops doing so. */
void slots_set_shed(struct slots *slots, bool shed);

/** Slows all work by a factor; 1 for none. */
void slots_set_slowdown(struct slots *slots, double factor);

struct slot_load slots_load(struct slots *slots);

/** Times a cold upstream was sent more than its limit. */
uint64_t slots_cold_overshoot(struct slots *slots);

#endif
