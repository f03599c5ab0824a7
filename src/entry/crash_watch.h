/**
 * Recognizes requests that crash upstreams on this VM, and logs each step: a
 * suspicion when a connection breaks under a request, blame when the upstream
 * turns out to be down, and the block of a request that is blamed for several
 * crashes. Not thread-safe: one thread owns it.
 */
#ifndef ENTRY_CRASH_WATCH_H
#define ENTRY_CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "balance/crash_list.h"
#include "base/event_log.h"
#include "base/metrics.h"
#include "base/str.h"
#include "net/loop.h"

struct crash_watch;

/** What the pointers refer to must outlive the crash watch. */
struct crash_watch_options {
	const struct loop *loop;
	struct event_log *log;
	struct metrics *metrics;
	/** Called when this VM blames a request for the crash of an upstream.
	 */
	crash_fn blamed;
	/** Called when an answer clears a request that was blamed or blocked.
	 */
	void (*cleared)(void *ctx, uint64_t request);
	/** Called when a blocked request came again. */
	void (*refused)(void *ctx, uint64_t request);
	void *ctx;
};

/** Creates a crash watch; freed with crash_watch_destroy(). */
struct crash_watch *
crash_watch_create(const struct crash_watch_options *options);

/** Frees a crash watch; NULL is allowed. */
void crash_watch_destroy(struct crash_watch *watch);

/**
 * Records that a connection to an upstream broke while a request was on it.
 *
 * @param crash the crash that the request is suspected of
 * @param id the request's id, for the log
 */
void crash_watch_connection_lost(struct crash_watch *watch,
				 const struct crash *crash, struct str id);

/** Records that an upstream refused a connection: its process is gone. */
void crash_watch_refused(struct crash_watch *watch, const char *upstream);

/**
 * Records that another VM blames a request for the crash of an upstream.
 *
 * @return whether this is news
 */
bool crash_watch_learn(struct crash_watch *watch, const struct crash *crash);

/**
 * Records that another VM blocks a request.
 *
 * @param left_s seconds for which the request stays blocked
 * @return whether this is news
 */
bool crash_watch_learn_block(struct crash_watch *watch, uint64_t request,
			     double left_s);

/**
 * Records that another VM had an answer to a request, which clears it.
 *
 * @return whether this is news: the request was blamed or blocked
 */
bool crash_watch_clear(struct crash_watch *watch, uint64_t request);

/** Records that a blocked request came again at another VM. */
void crash_watch_renew_block(struct crash_watch *watch, uint64_t request);

/** Records that a request was answered, which clears it. */
void crash_watch_answered(struct crash_watch *watch, uint64_t request);

/** Returns whether a request must not be sent. Use crash_watch_refuses() for a
 * request that has just come. */
bool crash_watch_blocks(const struct crash_watch *watch, uint64_t request);

/** Returns whether a request that has just come is blocked. If so, its block is
 * extended. */
bool crash_watch_refuses(struct crash_watch *watch, uint64_t request);

/** Calls visit for each blocked request, with the seconds that are left. */
void crash_watch_each_blocked(const struct crash_watch *watch,
			      void (*visit)(void *ctx, uint64_t request,
					    double left_s),
			      void *ctx);

/** Drops what has expired; called several times a second. */
void crash_watch_tick(struct crash_watch *watch);

#endif
