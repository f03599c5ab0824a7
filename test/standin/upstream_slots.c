#include "upstream_slots.h"

#include <pthread.h>

#include "base/clock.h"

/* Number of finished requests whose ids are kept, to answer a late cancel. */
#define FINISHED_KEPT 4096

struct slot {
	/* The request's id. */
	char *id;
	bool running, cancelled;
};

struct slots {
	struct slot_limits limits;
	/* Guards the members below. */
	pthread_mutex_t lock;
	/* Signalled when a request leaves the queue or a slot, or is
	 * cancelled. */
	pthread_cond_t changed;
	GRand *rand;
	/* Slots of queued requests, in order of arrival. */
	GQueue waiting;
	/* Slots of queued and running requests by request id. */
	GHashTable *by_id;
	/* Ids of the last FINISHED_KEPT finished requests: a queue, oldest
	 * first, which owns the texts, and the same ids as a set. */
	GQueue finished;
	GHashTable *finished_set;
	/* Number of running requests. */
	unsigned int running;
	/* End of the cold period; monotonic clock. */
	int64_t cold_until_us;
	/* All new requests are rejected: because the upstream shuts down, or
	 * because a fault is set. */
	bool draining, shed;
	/* Factor of execution times; 1: normal speed. */
	double slow_factor;
	/* Number of requests rejected with SLOT_COLD. */
	uint64_t cold_overshoot;
};

static int64_t now_us(void)
{
	return clock_now_us(clock_system());
}

static void init_condition(pthread_cond_t *condition)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(condition, &attributes);
	pthread_condattr_destroy(&attributes);
}

struct slots *slots_create(const struct slot_limits *limits)
{
	struct slots *slots = g_new0(struct slots, 1);

	slots->limits = *limits;
	pthread_mutex_init(&slots->lock, NULL);
	init_condition(&slots->changed);
	slots->rand = g_rand_new_with_seed((guint32)limits->seed);
	g_queue_init(&slots->waiting);
	g_queue_init(&slots->finished);
	slots->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	slots->finished_set = g_hash_table_new(g_str_hash, g_str_equal);
	slots->cold_until_us = now_us() + limits->cold_us;
	slots->slow_factor = 1;
	return slots;
}

void slots_destroy(struct slots *slots)
{
	g_hash_table_unref(slots->by_id);
	g_hash_table_unref(slots->finished_set);
	g_queue_clear_full(&slots->finished, g_free);
	g_queue_clear(&slots->waiting);
	g_rand_free(slots->rand);
	pthread_cond_destroy(&slots->changed);
	pthread_mutex_destroy(&slots->lock);
	g_free(slots);
}

static bool is_cold(const struct slots *slots)
{
	return now_us() < slots->cold_until_us;
}

/* Returns the number of running and queued requests. */
static unsigned int accepted_count(const struct slots *slots)
{
	return slots->running + slots->waiting.length;
}

/* Returns SLOT_OK if a new request is admitted, or why it is rejected. */
static enum slot_result admit(struct slots *slots)
{
	if (slots->draining)
		return SLOT_DRAINING;
	if (is_cold(slots) &&
	    accepted_count(slots) >= slots->limits.cold_limit) {
		slots->cold_overshoot++;
		return SLOT_COLD;
	}
	if (slots->shed ||
	    accepted_count(slots) >= slots->limits.slots + slots->limits.queue)
		return SLOT_SHED;
	return SLOT_OK;
}

/* Returns whether a queued request is the first one and a slot is free. */
static bool can_start(struct slots *slots, const struct slot *slot)
{
	return slots->running < slots->limits.slots &&
	       g_queue_peek_head(&slots->waiting) == slot;
}

/* Waits until slots->changed is signalled, at most left_us. The caller holds
 * the lock, which is released meanwhile. Reads CLOCK_MONOTONIC, by which the
 * condition measures time, rather than now_us(). */
static void wait_for_change(struct slots *slots, int64_t left_us)
{
	struct timespec until;
	int64_t until_us;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until_us = clock_us(until) + left_us;
	until.tv_sec = until_us / US_PER_SECOND;
	until.tv_nsec = (until_us % US_PER_SECOND) * NS_PER_US;
	pthread_cond_timedwait(&slots->changed, &slots->lock, &until);
}

/* Frees a request and removes it from by_id, where a later request with the
 * same id may have replaced it. */
static void free_slot(struct slots *slots, struct slot *slot)
{
	if (g_hash_table_lookup(slots->by_id, slot->id) == slot)
		g_hash_table_remove(slots->by_id, slot->id);
	g_free(slot->id);
	g_free(slot);
}

/* Waits until a queued request can start or is cancelled, or its deadline
 * passes. The caller holds the lock. */
static enum slot_result wait_for_slot(struct slots *slots, struct slot *slot,
				      int64_t deadline_us)
{
	while (!slot->cancelled && !can_start(slots, slot)) {
		int64_t left_us = deadline_us - now_us();

		if (left_us <= 0)
			return SLOT_DEADLINE;
		wait_for_change(slots, left_us);
	}
	return slot->cancelled ? SLOT_CANCELLED : SLOT_OK;
}

enum slot_result slots_acquire(struct slots *slots, const char *id,
			       int64_t deadline_us, struct slot **out)
{
	enum slot_result result;
	struct slot *slot;

	pthread_mutex_lock(&slots->lock);
	result = admit(slots);
	if (result == SLOT_OK) {
		slot = g_new0(struct slot, 1);
		slot->id = g_strdup(id);
		g_hash_table_replace(slots->by_id, slot->id, slot);
		g_queue_push_tail(&slots->waiting, slot);
		result = wait_for_slot(slots, slot, deadline_us);
		g_queue_remove(&slots->waiting, slot);
		if (result == SLOT_OK) {
			slot->running = true;
			slots->running++;
			*out = slot;
		} else {
			free_slot(slots, slot);
		}
		pthread_cond_broadcast(&slots->changed);
	}
	pthread_mutex_unlock(&slots->lock);
	return result;
}

/* Draws an execution time: half of the mean, plus an exponential time whose
 * mean is the other half. */
static int64_t draw_service_time(struct slots *slots)
{
	double half = (double)slots->limits.service_us / 2;
	double u = g_rand_double(slots->rand);

	return (int64_t)(half - half * __builtin_log(1 - u));
}

bool slots_run(struct slots *slots, struct slot *slot, int64_t service_us)
{
	double factor;
	int64_t end_us, left_us;
	bool completed;

	pthread_mutex_lock(&slots->lock);
	if (service_us < 0)
		service_us = draw_service_time(slots);
	factor = slots->slow_factor;
	if (is_cold(slots))
		factor *= slots->limits.cold_factor;
	end_us = now_us() + (int64_t)((double)service_us * factor);
	while (!slot->cancelled && (left_us = end_us - now_us()) > 0)
		wait_for_change(slots, left_us);
	completed = !slot->cancelled;
	pthread_mutex_unlock(&slots->lock);
	return completed;
}

/* Keeps the id of a finished request, and drops the oldest one if FINISHED_KEPT
 * is exceeded. */
static void add_finished(struct slots *slots, const char *id)
{
	char *copy;

	if (g_hash_table_contains(slots->finished_set, id))
		return;
	copy = g_strdup(id);
	g_queue_push_tail(&slots->finished, copy);
	g_hash_table_add(slots->finished_set, copy);
	if (slots->finished.length <= FINISHED_KEPT)
		return;
	copy = g_queue_pop_head(&slots->finished);
	g_hash_table_remove(slots->finished_set, copy);
	g_free(copy);
}

void slots_release(struct slots *slots, struct slot *slot)
{
	pthread_mutex_lock(&slots->lock);
	slots->running--;
	add_finished(slots, slot->id);
	free_slot(slots, slot);
	pthread_cond_broadcast(&slots->changed);
	pthread_mutex_unlock(&slots->lock);
}

enum slot_cancel_result slots_cancel(struct slots *slots, const char *id)
{
	enum slot_cancel_result result = CANCEL_UNKNOWN;
	struct slot *slot;

	pthread_mutex_lock(&slots->lock);
	slot = g_hash_table_lookup(slots->by_id, id);
	if (slot) {
		slot->cancelled = true;
		result = slot->running ? CANCEL_STOPPED : CANCEL_NOT_RUN;
		pthread_cond_broadcast(&slots->changed);
	} else if (g_hash_table_contains(slots->finished_set, id)) {
		result = CANCEL_RAN;
	}
	pthread_mutex_unlock(&slots->lock);
	return result;
}

void slots_drain(struct slots *slots)
{
	pthread_mutex_lock(&slots->lock);
	slots->draining = true;
	pthread_mutex_unlock(&slots->lock);
}

void slots_set_cold(struct slots *slots)
{
	pthread_mutex_lock(&slots->lock);
	slots->cold_until_us = now_us() + slots->limits.cold_us;
	pthread_mutex_unlock(&slots->lock);
}

void slots_set_shed(struct slots *slots, bool shed)
{
	pthread_mutex_lock(&slots->lock);
	slots->shed = shed;
	pthread_mutex_unlock(&slots->lock);
}

void slots_set_slowdown(struct slots *slots, double factor)
{
	pthread_mutex_lock(&slots->lock);
	slots->slow_factor = factor;
	pthread_mutex_unlock(&slots->lock);
}

struct slot_load slots_load(struct slots *slots)
{
	struct slot_load load = { .slots = slots->limits.slots };

	pthread_mutex_lock(&slots->lock);
	load.running = slots->running;
	load.queued = slots->waiting.length;
	load.state = slots->draining  ? UPSTREAM_DRAINING
		     : is_cold(slots) ? UPSTREAM_COLD
				      : UPSTREAM_READY;
	load.cold_limit = is_cold(slots) ? slots->limits.cold_limit : 0;
	pthread_mutex_unlock(&slots->lock);
	return load;
}

uint64_t slots_cold_overshoot(struct slots *slots)
{
	uint64_t count;

	pthread_mutex_lock(&slots->lock);
	count = slots->cold_overshoot;
	pthread_mutex_unlock(&slots->lock);
	return count;
}
