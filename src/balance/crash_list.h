/**
 * Finds requests that crash upstreams. A request becomes a suspect when its
 * connection breaks without an answer, and is blamed when that upstream then
 * turns out to be down or restarted. A request that is blamed for several
 * upstreams is blocked for a while. An answer clears it. A request is
 * identified by a fingerprint, which equal requests share, and an upstream by
 * its id. Times are seconds on one clock, which the caller passes in.
 */
#ifndef BALANCE_CRASH_LIST_H
#define BALANCE_CRASH_LIST_H

#include <stdbool.h>
#include <stdint.h>

/** Suspects and blamed requests, as one VM knows them. */
struct crash_list;

/** @return a new list; free with crash_list_destroy() */
struct crash_list *crash_list_create(void);

/** Frees a list; NULL is allowed. */
void crash_list_destroy(struct crash_list *list);

/** Records that a connection to an upstream broke while a request was on it. */
void crash_list_add_suspect(struct crash_list *list, uint64_t request,
			    const char *upstream, double now_s);

/** Called when a request is blamed for the crash of an upstream. */
typedef void (*crash_blamed_fn)(void *ctx, uint64_t request,
				const char *upstream);

/**
 * Blames all suspects of an upstream that is down or restarted.
 *
 * @param blamed called for each blamed request
 */
void crash_list_upstream_lost(struct crash_list *list, const char *upstream,
			      double now_s, crash_blamed_fn blamed, void *ctx);

/**
 * Records that this VM or another one blames a request for the crash of an
 * upstream.
 *
 * @return whether this is news: the request wasn't blamed for this upstream yet
 */
bool crash_list_blame(struct crash_list *list, uint64_t request,
		      const char *upstream, double now_s);

/**
 * Records that a request was answered: drops all suspicion and blame of it.
 *
 * @return whether there was any
 */
bool crash_list_clear_request(struct crash_list *list, uint64_t request);

/** Returns the number of upstreams for whose crash a request is blamed. */
unsigned int crash_list_crashes(const struct crash_list *list,
				uint64_t request);

/** Returns whether a request is blocked and must not be sent. */
bool crash_list_blocks(const struct crash_list *list, uint64_t request,
		       double now_s);

/** Called when a suspicion is dropped because its upstream was not found to be
 * down in time. */
typedef void (*crash_expired_fn)(void *ctx, uint64_t request,
				 const char *upstream);

/**
 * Drops expired suspects and blame.
 *
 * @param expired called for each suspect that is dropped
 */
void crash_list_expire(struct crash_list *list, double now_s,
		       crash_expired_fn expired, void *ctx);

#endif
