/**
 * Requests that crash what runs them. The fingerprint of a request is the hash
 * of service, method, path and body.
 *
 * Rules:
 * - A request whose connection broke after it was sent has one death, counted
 *   once for each incarnation of an upstream, unless that incarnation is seen
 *   alive after: then the death is taken back.
 * - A request with a death is a suspect: it, or a neighbour on that upstream,
 *   may be the cause. A suspect runs again only as a trial: one at a time for
 *   each service over the whole fleet (a share of the budget "trial/SERVICE"
 *   with limit 1, upstream/budget.h), and on a fresh connection, which does not
 *   open to what had died before. So no two suspects are in flight at once,
 *   and what kills an upstream twice had two chances alone among suspects.
 * - A suspect that ran to an answer is cleared. One with two deaths is
 * poisoned: refused everywhere for POISON_KEEP_US.
 * - A router reports a death (Poison frame) before it answers the caller, and
 *   holds that answer POISON_SPREAD_US, so that a caller who sends the request
 *   again finds the other routers warned.
 *
 * So an innocent request is refused only when two upstreams died under it, the
 * second while it ran alone among suspects or in its first copies (a backup
 * request). A caller who sends many copies at once, before the first death is
 * known, can cost more than two upstreams.
 *
 * Not thread-safe: one lock for each instance.
 */
#ifndef REQUEST_POISON_H
#define REQUEST_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** How long deaths are remembered, and a poisoned request is refused. */
#define POISON_KEEP_US INT64_C(600000000)
/** How long an answer waits for its report to reach the other routers. */
#define POISON_SPREAD_US INT64_C(100000)
/** Fingerprints remembered; the oldest suspects are forgotten first. */
#define POISON_MAX 4096

struct poison;

/** What travels between the processes as a Poison frame. */
struct poison_report {
	uint64_t fingerprint;
	/** The upstream that died, or that is alive after all (deaths 0).
	 * Empty with deaths 0: the request ran, forget all of its deaths. */
	struct str upstream;
	struct str boot;
	/** Deaths known to the sender, the one named included. */
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
 * @param boot incarnation it is sent to, as far as known
 * @return a handle for poison_end(), at least 1
 */
uint64_t poison_begin(struct poison *poison, uint64_t fingerprint,
		      struct str upstream, struct str boot);

enum poison_end {
	/** A whole answer came: a suspect is cleared. */
	POISON_ANSWERED,
	/** Not run, cancelled, or stalled: says nothing. */
	POISON_OPEN,
	/** The connection broke after it was sent. */
	POISON_BROKEN,
};

/**
 * Notes the end of a request in flight.
 *
 * @param report set when the others must be told; its texts live until the
 *        next call
 * @return true when report was set
 */
bool poison_end(struct poison *poison, uint64_t handle, enum poison_end end,
		int64_t now_us, struct poison_report *report);

/**
 * Notes that an incarnation answered: deaths of it noted before that request
 * was sent did not happen. An answer to an earlier request proves nothing, as
 * it may have been under way when the upstream died.
 *
 * @param sent_us when the request that it answered was sent
 * @param reports set to at most max reports for the others; their texts borrow
 *        from the arguments
 * @return the number set
 */
size_t poison_alive(struct poison *poison, struct str upstream, struct str boot,
		    int64_t sent_us, struct poison_report *reports, size_t max);

/**
 * What is known now, for a process that starts: it takes this before it sends
 * anything. Assigners keep an instance of their own for that.
 *
 * @param reports set to at most max reports, one for each death; their texts
 *        live until the next call
 * @return the number set
 */
size_t poison_list(const struct poison *poison, int64_t now_us,
		   struct poison_report *reports, size_t max);

/**
 * Takes another process's report.
 *
 * @return true when it said something new: an assigner passes it on then
 */
bool poison_take(struct poison *poison, const struct poison_report *report,
		 int64_t now_us);

#endif
