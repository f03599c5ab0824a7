/**
 * Detects poison requests, which crash the upstream that runs them, and keeps
 * them from being sent again. A request is identified by its fingerprint, the
 * hash of service, method, path and body. A death is a presumed crash of an
 * upstream's incarnation while it ran the request.
 *
 * Rules:
 * - When a request's connection breaks after it was sent, one death is counted
 *   for it, at most one for each incarnation of an upstream. The death is
 *   revoked when that incarnation is seen alive later.
 * - A request with one death is a suspect: it, or another request on that
 *   upstream, may be the cause. A suspect is sent again only as a trial. In the
 *   whole fleet one trial of a service runs at a time (by a share of the budget
 *   "trial/SERVICE" with limit 1, upstream/budget.h). It uses a fresh
 *   connection, which can't be opened to a crashed incarnation. So no two
 *   suspects are in flight at once, and the second death of a request happens
 *   while no other suspect runs.
 * - A suspect that was answered is cleared. A request with two deaths is
 *   poisoned: refused by all routers for POISON_KEEP_US.
 * - A router reports a death (Poison frame) before it answers the caller, and
 *   delays that answer by POISON_SPREAD_US, so that the other routers know of
 *   the death if the caller sends the request again.
 *
 * So a harmless request is refused only when two upstreams crashed while it
 * ran: the second one while it was the only suspect in flight, or both under
 * its first copies (a backup request). A caller who sends many copies at once,
 * before the first death is known, can crash more than two upstreams.
 *
 * Times are microseconds of one monotonic clock of this process. Not
 * thread-safe: the caller holds one lock per instance.
 */
#ifndef REQUEST_POISON_H
#define REQUEST_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** How long deaths are remembered, and a poisoned request is refused. */
#define POISON_KEEP_US INT64_C(600000000)
/** How long an answer is delayed, so that the report of a death reaches the
 * other routers first. */
#define POISON_SPREAD_US INT64_C(100000)
/** Most fingerprints remembered; the oldest suspects are forgotten first. */
#define POISON_MAX 4096

/** The deaths and in-flight requests known to one process. */
struct poison;

/**
 * Content of a Poison frame, which one process sends to the others. There are
 * three kinds of report:
 * - deaths not 0: the incarnation crashed while it ran the request.
 * - deaths 0, with an upstream: the incarnation is alive after all, so its
 *   death is revoked.
 * - deaths 0, without an upstream: the request was answered, so all of its
 *   deaths are revoked, unless it is poisoned.
 */
struct poison_report {
	uint64_t fingerprint;
	/** Id of the upstream; may be empty, see above. */
	struct str upstream;
	/** Incarnation of the upstream. */
	struct str boot;
	/** Deaths of the request known to the sender, this one included. */
	uint32_t deaths;
};

/** Whether and how a request may be sent. */
enum poison_check {
	/** Send the request; no death is known. */
	POISON_CLEAR,
	/** Send only as a trial. */
	POISON_SUSPECT,
	/** Refuse the request as "not run" with REASON_POISONED. */
	POISON_POISONED,
};

/** Creates an instance that knows of no death. @return the instance; free with
 * poison_destroy() */
struct poison *poison_create(void);

/** Frees an instance; NULL is allowed. */
void poison_destroy(struct poison *poison);

/** Computes the fingerprint of a request. */
uint64_t poison_fingerprint(struct str service, struct str method,
			    struct str path, struct str body);

/** Tells whether a request may be sent, only as a trial, or not at all. */
enum poison_check poison_check(struct poison *poison, uint64_t fingerprint,
			       int64_t now_us);

/**
 * Records that a request is being sent to an upstream.
 *
 * @param upstream id of the upstream
 * @param boot incarnation of the upstream; empty when unknown
 * @return a handle for poison_end(), at least 1
 */
uint64_t poison_begin(struct poison *poison, uint64_t fingerprint,
		      struct str upstream, struct str boot);

/** What the end of a request at an upstream says about a crash. */
enum poison_end {
	/** A whole answer arrived: a suspect is cleared. */
	POISON_ANSWERED,
	/** The request was not run, was cancelled, or stalled: no evidence for
	 * or against a crash. */
	POISON_INCONCLUSIVE,
	/** The connection broke after the request was sent: a death. */
	POISON_CONNECTION_BROKEN,
};

/**
 * Records the end of a request in flight.
 *
 * @param report set when other processes must be informed; its strings live
 *        until the next call
 * @return true when report was set
 */
bool poison_end(struct poison *poison, uint64_t handle, enum poison_end end,
		int64_t now_us, struct poison_report *report);

/**
 * Revokes deaths on an incarnation that answered a request. As it did not crash
 * before that request was sent, the deaths counted before then are revoked.
 * Later ones stay: the answer may have been under way during the crash.
 *
 * @param sent_us when the answered request was sent
 * @param reports set to at most max reports for the other processes; their
 *        strings borrow from the arguments
 * @return the number of reports set
 */
size_t poison_revoke_deaths(struct poison *poison, struct str upstream,
			    struct str boot, int64_t sent_us,
			    struct poison_report *reports, size_t max);

/**
 * Lists all known deaths, for a process that starts and applies these reports
 * before it sends any request. Assigners keep an instance to list from.
 *
 * @param reports set to at most max reports, one for each death; their strings
 *        live until the next call
 * @return the number of reports set
 */
size_t poison_list_reports(const struct poison *poison, int64_t now_us,
			   struct poison_report *reports, size_t max);

/**
 * Applies another process's report.
 *
 * @return true when the report changed a record; an assigner then forwards it
 */
bool poison_apply_report(struct poison *poison,
			 const struct poison_report *report, int64_t now_us);

#endif
