/**
 * Requests that crash what runs them. The fingerprint of a request is the hash
 * of service, method, path and body.
 *
 * Rules:
 * - When an upstream died (its connections broke and it refuses new ones or has
 *   another incarnation), every request in flight on it has one death.
 * - A request with a death is a suspect. It runs again only as a trial: one at
 *   a time for each service over the whole fleet (a share of the budget
 *   "trial/SERVICE" with limit 1, upstream/budget.h), so no two suspects are in
 *   flight at once and a second death is that one's own.
 * - A suspect that ran to an answer is cleared. One whose trial's upstream died
 *   is poisoned: refused everywhere for POISON_REFUSE_US.
 * - A second death outside a trial (a neighbour's crash, a copy sent before the
 *   first death was known) does not poison an innocent neighbour, unless the
 *   request was alone on the upstream.
 * - A router reports a death (Poison frame) before it answers the caller, and
 *   holds that answer POISON_SPREAD_US, so that a caller who sends the request
 *   again finds the other routers warned.
 *
 * Not thread-safe: one lock for each instance.
 */
#ifndef REQUEST_POISON_H
#define REQUEST_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** How long a poisoned request is refused. */
#define POISON_REFUSE_US INT64_C(600000000)
/** How long a suspect is remembered. */
#define POISON_SUSPECT_US INT64_C(600000000)
/** How long an answer waits for its report to reach the other routers. */
#define POISON_SPREAD_US INT64_C(100000)
/** Fingerprints remembered; the oldest suspects are forgotten first. */
#define POISON_MAX 4096

struct poison;

/** What travels between the processes as a Poison frame. */
struct poison_report {
	uint64_t fingerprint;
	/** 1: suspect; 2: poisoned; 0: cleared. */
	uint32_t deaths;
};

enum poison_check {
	POISON_CLEAR,
	/** Send only as a trial. */
	POISON_SUSPECT,
	/** Refuse: not run, REASON_POISONED. */
	POISON_POISONED,
};

/** @return an instance without records; free with poison_destroy() */
struct poison *poison_create(void);

/** Frees it; NULL is allowed. */
void poison_destroy(struct poison *poison);

/** The fingerprint of a request. */
uint64_t poison_fingerprint(struct str service, struct str method,
			    struct str path, struct str body);

/** What to do with a request before it is sent. */
enum poison_check poison_check(struct poison *poison, uint64_t fingerprint,
			       int64_t now_us);

/**
 * Notes a request in flight.
 *
 * @param upstream id of the upstream
 * @param trial it is sent as a trial
 * @return a handle for poison_end(), at least 1
 */
uint64_t poison_begin(struct poison *poison, uint64_t fingerprint,
		      struct str upstream, bool trial);

/**
 * Notes the end of a request on an upstream that lives.
 *
 * @param answered an answer came: a suspect is cleared by it
 * @param report set when the others must be told
 * @return true when report was set
 */
bool poison_end(struct poison *poison, uint64_t handle, bool answered,
		int64_t now_us, struct poison_report *report);

/**
 * Notes that an upstream died. Everything in flight on it has ended.
 *
 * @param reports set to at most max reports for the others
 * @return the number set
 */
size_t poison_died(struct poison *poison, struct str upstream, int64_t now_us,
		   struct poison_report *reports, size_t max);

/** Takes another process's report. */
void poison_take(struct poison *poison, const struct poison_report *report,
		 int64_t now_us);

#endif
