/**
 * Callers of the soak: threads that keep connections open, send requests of all
 * kinds, and check each answer.
 */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include <stdbool.h>
#include <stdint.h>

struct callers;

struct callers_result {
	unsigned int served;
	unsigned int refused;
	unsigned int failed;
	/** Connections that ended without an answer. */
	unsigned int unanswered;
	/** Answers that belong to another request, or are not whole. */
	unsigned int wrong;
};

/**
 * Starts the threads.
 *
 * @param addresses "IPv4:port" of the entries; outlive the callers
 */
struct callers *callers_start(const char *const *addresses,
			      unsigned int entries, unsigned int threads,
			      uint32_t seed);

/** Ends the threads and adds up what they saw. */
struct callers_result callers_stop(struct callers *callers);

/**
 * Calls for each request that must not repeat and was answered by a promise
 * that it has not run, and for each of any kind that got no answer.
 */
void callers_each_unresolved(const struct callers *callers,
			     void (*fn)(const char *id, bool promised,
					void *ctx),
			     void *ctx);

void callers_free(struct callers *callers);

#endif
