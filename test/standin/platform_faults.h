/**
 * What the platform stand-in is told to do wrong, and what it has counted.
 * Thread safe.
 */
#ifndef PLATFORM_FAULTS_H
#define PLATFORM_FAULTS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

struct faults;

struct faults *faults_create(uint64_t seed);
void faults_destroy(struct faults *faults);

/**
 * Applies a switch: "outage" (false, true or "silent"), "slow_ms",
 * "lose_next", "lose_percent", "list_lag_ms".
 *
 * @return false when a member is unknown or has the wrong type
 */
bool faults_configure(struct faults *faults, const json_t *change);

/** How a call that reaches the platform fares. */
enum fault_outcome {
	FAULT_NONE,
	/** Answer 503. */
	FAULT_REFUSE,
	/** Close the connection with no answer. */
	FAULT_CLOSE,
};

/**
 * Sleeps as long as calls are slow or silent.
 *
 * @return what to do with the call then
 */
enum fault_outcome faults_apply(struct faults *faults);

/** Decides whether the answer to a write that was applied gets lost. */
bool faults_lose_answer(struct faults *faults);

/** How long the list of VMs lags, in microseconds. */
int64_t faults_list_lag_us(struct faults *faults);

/** Counts table operations; a batch counts each of its own. */
void faults_count_operations(struct faults *faults, unsigned int reads,
			     unsigned int writes);

/** The counts as JSON, a new reference. */
json_t *faults_stats(struct faults *faults);

#endif
