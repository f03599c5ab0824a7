/**
 * State of one caller's request while it is forwarded, and of its attempts at
 * upstreams. Private to the forwarding module.
 */
#ifndef ENTRY_PROXY_REQUEST_H
#define ENTRY_PROXY_REQUEST_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "entry/forward.h"
#include "entry/route_stats.h"

/** Most concurrent attempts of one request. */
#define CONCURRENT_ATTEMPTS_MAX 2
/** Most upstreams that are remembered as already tried. */
#define TRIED_MAX 6

struct proxy_request;

/** One copy of a request that was sent to an upstream. */
struct upstream_attempt {
	struct proxy_request *req;
	struct forward *forward;
	struct upstream *upstream;
	struct link *link;
	/** Loop time at which the copy was sent. */
	double started_s;
	/** Estimate of the requests that the upstream already had when this
	 * copy was sent. */
	double busy_before;
	/** The caller is gone; the upstream may finish the work. */
	bool detached;
};

struct proxy_request {
	struct forward *forward;
	/** The caller's request; NULL once it is answered or abandoned. */
	struct http_request *caller;
	/** The caller's request id; points into the caller's headers. */
	struct str id;
	/** The request's key, or -1 if the service isn't keyed. */
	int key;
	/** Hash of host, method, target and body; names the request in the
	 * crash list. */
	uint64_t fingerprint;
	enum route_kind kind;
	unsigned int priority;
	unsigned int max_attempts;
	/** The caller declared a body, which may be empty. */
	bool has_body;
	double objective_s;
	char *route_name;
	struct service *service;
	struct route_stats *stats;
	/** Loop time at which the request was received. */
	double received_s;
	/** Loop time at which the caller stops waiting. */
	double deadline_s;
	/** Loop time by which the request must be answered: the caller's
	 * deadline or the route's timeout, whichever is earlier. */
	double give_up_s;
	/** Fires when a backup attempt is due or time is up. */
	ev_timer timer;
	struct upstream_attempt *attempts[CONCURRENT_ATTEMPTS_MAX];
	/** Attempts sent. */
	unsigned int sends;
	/** Attempts that may have run. */
	unsigned int runs;
	/** Interned ids of the upstreams that got an attempt. */
	const char *tried[TRIED_MAX];
	unsigned int tried_count;
	/** An attempt may have run without a usable answer. */
	bool may_have_run;
	/** Loop time before which the request isn't sent to its key's owner;
	 * set when the owner refused the request. */
	double not_before_s;
	/** The request is in its service's queue, linked by queue_node. */
	bool queued;
	GList queue_node;
	/** Copy of an upstream's error answer, or NULL. Passed to the caller if
	 * no later attempt succeeds. */
	struct http_reply *error_answer;
};

/**
 * Answers the caller with an error of this daemon, logs it, and frees the
 * request.
 *
 * @param status 503 promises the caller that the request did not run
 * @param retry_after_s sent as Retry-After; 0: not sent
 * @param reason written to the log
 */
void proxy_request_refuse(struct proxy_request *req, unsigned int status,
			  double retry_after_s, const char *reason);

#endif
