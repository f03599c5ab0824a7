/**
 * One caller's request on its way, and its copies at upstreams. Private to the
 * forwarding.
 */
#ifndef ENTRY_JOB_H
#define ENTRY_JOB_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "entry/forward.h"
#include "entry/route_stats.h"

/** Copies of one request at once. */
#define JOB_FLIGHTS 2
/** Upstreams that are remembered as tried. */
#define JOB_TRIED_MAX 6

struct job;

/** One copy of a request at an upstream. */
struct flight {
	struct job *job;
	struct forward *forward;
	struct upstream *upstream;
	struct link *link;
	double started_s;
	/** Requests believed there when it was sent. */
	double busy_before;
	/** The caller is gone; the work is let run to its end. */
	bool detached;
};

struct job {
	struct forward *forward;
	struct http_request *caller;
	struct str id;
	int key;
	uint64_t fingerprint;
	enum route_kind kind;
	unsigned int priority;
	unsigned int max_attempts;
	/** The caller declared a body, be it empty. */
	bool has_body;
	double objective_s;
	char *route_name;
	struct service *service;
	struct route_stats *stats;
	double received_s;
	/** When the caller gives up. */
	double deadline_s;
	/** The last moment for an answer: deadline or the route's limit. */
	double give_up_s;
	ev_timer timer;
	struct flight *flights[JOB_FLIGHTS];
	/** Sends of any outcome, and those that may have run. */
	unsigned int sends;
	unsigned int runs;
	const char *tried[JOB_TRIED_MAX];
	unsigned int tried_count;
	/** A copy may have run at an upstream that did not answer. */
	bool may_have_run;
	/** Not sent before; for a key whose owner refused it. */
	double not_before_s;
	/** In its service's queue. */
	bool waiting;
	GList queue_node;
	/** An upstream's own failure, kept to pass on if nothing better comes.
	 */
	struct http_reply *failure;
};

/** Gives an answer of this daemon's own and ends the job. */
void job_refuse(struct job *job, unsigned int status, double retry_after_s,
		const char *reason);

#endif
