/**
 * The era of the store, and versions that hold it. The store may come back from
 * an older copy of itself: writes since the copy are lost, and versions go back
 * and are assigned again. Each of its answers shows an era, which rises by one
 * each time. Design: docs/design/store-era.md.
 */
#ifndef STORE_STORE_ERA_H
#define STORE_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/event_log.h"
#include "base/metrics.h"
#include "net/loop.h"

/** Number of low bits of a version that hold the store's own version; the era
 * is above them. */
#define STORE_ERA_SHIFT 40
/** The highest era that a version can hold. */
#define STORE_ERA_MAX ((UINT64_C(1) << (64 - STORE_ERA_SHIFT)) - 1)

/** Up to this era, what isn't in the store never was: a store that counts its
 * eras from 0 or 1 hasn't come back from an older copy yet. */
#define STORE_FIRST_ERA_MAX 1

/** Returns the version that stands for a version of the store in an era. It is
 * newer than all versions of earlier eras. */
static inline uint64_t store_version(uint64_t era, uint64_t own)
{
	return era << STORE_ERA_SHIFT | own;
}

/** Returns the era of a version; 0 also if it is unknown. */
static inline uint64_t store_version_era(uint64_t version)
{
	return version >> STORE_ERA_SHIFT;
}

/** Returns the store's own version, without the era. */
static inline uint64_t store_version_own(uint64_t version)
{
	return version & ((UINT64_C(1) << STORE_ERA_SHIFT) - 1);
}

/** What the answers of the store have shown of its era. */
struct store_era;

/**
 * Creates the state, in which no era is known.
 *
 * @param log gets a line when the era or the version of the store changes
 *        unexpectedly; NULL: there are no lines
 * @param metrics registry of the metrics; must outlive the state
 */
struct store_era *store_era_create(const struct loop *loop,
				   struct event_log *log,
				   struct metrics *metrics);

/** Frees the state; NULL is allowed. */
void store_era_destroy(struct store_era *era);

/**
 * Notes the era that an answer shows.
 *
 * @param number the era, STORE_ERA_MAX at most
 * @param call one word that names the call, for the log
 */
void store_era_observe(struct store_era *era, uint64_t number,
		       const char *call);

/**
 * Notes the store's own version in an answer. In one era, an answer to a call
 * that was sent after another answer must not show a lower version than that.
 *
 * @param sent_s loop time, in seconds, at which the call was sent
 * @param call one word that names the call, for the log
 */
void store_era_observe_version(struct store_era *era, uint64_t own,
			       double sent_s, const char *call);

/** Notes an answer of an earlier era, which is ignored. */
void store_era_note_late(struct store_era *era, uint64_t number,
			 const char *call);

/** Returns the newest era that an answer showed; 0: none, also for NULL. */
uint64_t store_era_current(const struct store_era *era);

/** Returns the loop time, in seconds, at which this process saw the era change;
 * 0 if it didn't, also for NULL. */
double store_era_changed_s(const struct store_era *era);

#endif
