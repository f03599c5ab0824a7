/**
 * Fault injection and operation counters of the platform stand-in.
 * Thread safe.
 */
#ifndef PLATFORM_FAULTS_H
#define PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/** Fault settings and counters. */
struct faults;

/**
 * Creates the state without faults; faults_destroy() frees it.
 *
 * @param seed seed of the random choice of dropped responses
 */
struct faults *faults_create(uint64_t seed);
void faults_destroy(struct faults *faults);

/**
 * Applies fault settings:
 *   "outage"        false, true (respond with 503) or "silent" (close the
 *                   connection without a response when the outage ends, at
 *                   the latest after 30 seconds)
 *   "slow_ms"       delay of each call
 *   "lose_next"     number of next writes whose response is dropped
 *   "lose_percent"  share of the other writes whose response is dropped
 *   "list_lag_ms"   age of the list of VMs that is served
 * A write whose response is dropped is applied nevertheless.
 *
 * @param change JSON object of the settings to change
 * @return false when a member is unknown or has the wrong type; the other
 *         members are applied nevertheless
 */
bool faults_configure(struct faults *faults, const json_t *change);

/** How a call to the platform is answered under the current faults. */
enum fault_outcome {
	/** Handle the call. */
	FAULT_NONE,
	/** Respond with 503. */
	FAULT_REFUSE,
	/** Close the connection without a response. */
	FAULT_CLOSE,
};

/**
 * Counts a call and delays it as the settings "slow_ms" and "outage" say.
 *
 * @return how to answer the call after the delay
 */
enum fault_outcome faults_apply(struct faults *faults);

/** Returns whether to drop the response to a write, and counts dropped ones. */
bool faults_drop_response(struct faults *faults);

/** Returns the age that the served list of VMs is to have, in microseconds. */
int64_t faults_list_lag_us(struct faults *faults);

/** Adds to the counters of row operations. Each operation of a batch counts,
 * and a listing of rows counts as one read. */
void faults_count_operations(struct faults *faults, unsigned int reads,
			     unsigned int writes);

/**
 * Returns the counters.
 *
 * @return {"calls", "reads", "writes", "answers_lost", "refused"}, a new
 *         reference; "answers_lost" counts dropped responses to writes,
 *         "refused" the calls that came during an outage of either kind
 */
json_t *faults_stats(struct faults *faults);

#endif
