/**
 * Finds requests that crash upstreams. A request becomes a suspect when its
 * connection breaks without an answer, and is blamed when that upstream then
 * turns out to be down or restarted. A request that is blamed for several
 * crashes is blocked for a while; when the block has ended, one more crash
 * blocks it again. An answer clears it. A request is identified by a
 * fingerprint, which equal requests share. Times are seconds on one clock,
 * which the caller passes in. The number of requests in the list is bounded.
 */
#ifndef BALANCE_CRASH_LIST_H
#define BALANCE_CRASH_LIST_H

#include <stdbool.h>
#include <stdint.h>

/** Suspects, blamed and blocked requests, as one VM knows them. */
struct crash_list;

/** The crash of an upstream under a request. */
struct crash {
	/** Fingerprint of the request. */
	uint64_t request;
	/** Id of the upstream. */
	const char *upstream;
	/** Start of the upstream's incarnation, in milliseconds since
	 * 1970-01-01 UTC. Each incarnation can crash once. */
	int64_t started_ms;
};

/** Called with a crash, whose upstream id is interned. */
typedef void (*crash_fn)(void *ctx, const struct crash *crash);

/** @return a new list; free with crash_list_destroy() */
struct crash_list *crash_list_create(void);

/** Frees a list; NULL is allowed. */
void crash_list_destroy(struct crash_list *list);

/** Records that a connection to an upstream broke while a request was on it. */
void crash_list_add_suspect(struct crash_list *list, const struct crash *crash,
			    double now_s);

/**
 * Blames all suspects of an upstream that is down or restarted.
 *
 * @param blamed called for each blamed request
 */
void crash_list_upstream_lost(struct crash_list *list, const char *upstream,
			      double now_s, crash_fn blamed, void *ctx);

/**
 * Records that this VM or another one blames a request for the crash of an
 * upstream.
 *
 * @return whether this is news: the request wasn't blamed for this crash yet
 */
bool crash_list_blame(struct crash_list *list, const struct crash *crash,
		      double now_s);

/**
 * Records that another VM blocks a request. Has no effect if the request is
 * blocked for longer already.
 *
 * @param left_s seconds for which the request stays blocked; at most the
 *        duration of a block
 * @return whether this is news: the request wasn't blocked yet
 */
bool crash_list_block(struct crash_list *list, uint64_t request, double left_s,
		      double now_s);

/** Restarts the time of a request's block, because the request came again. Has
 * no effect unless the request is blocked. */
void crash_list_renew_block(struct crash_list *list, uint64_t request,
			    double now_s);

/**
 * Records that a request was answered: drops all suspicion, blame and block of
 * it.
 *
 * @return whether there was any
 */
bool crash_list_clear_request(struct crash_list *list, uint64_t request);

/** Returns the number of crashes for which a request is blamed. */
unsigned int crash_list_crashes(const struct crash_list *list,
				uint64_t request);

/** Returns whether a request is blocked and must not be sent. */
bool crash_list_blocks(const struct crash_list *list, uint64_t request,
		       double now_s);

/** Calls visit for each blocked request, with the seconds that are left. */
void crash_list_each_blocked(const struct crash_list *list, double now_s,
			     void (*visit)(void *ctx, uint64_t request,
					   double left_s),
			     void *ctx);

/**
 * Drops expired suspects, blame and blocks.
 *
 * @param expired called for each suspect whose upstream was not found to be
 *        down in time
 */
void crash_list_expire(struct crash_list *list, double now_s, crash_fn expired,
		       void *ctx);

#endif
