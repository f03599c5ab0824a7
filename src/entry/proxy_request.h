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
/** Most upstreams that a request remembers as already tried. */
#define TRIED_MAX 6

struct proxy_request;

/** One copy of a request that was sent to an upstream. */
struct upstream_attempt {
	/** The request; NULL if detached. */
	struct proxy_request *req;
	struct forward *forward;
	/** The request's fingerprint and id, which outlast the request. */
	uint64_t fingerprint;
	char *id;
	struct upstream *upstream;
	/** The connection on which the copy was sent. */
	struct link *link;
	/** With a key: fencing token of the grant by which the upstream owned
	 * it when the copy was sent. */
	uint64_t fence;
	/** Loop time at which the copy was sent. */
	double started_s;
	/** Estimate of the requests that the upstream already had when this
	 * copy was sent. */
	double busy_before;
	/** Loop time at which the request had to be answered. */
	double give_up_s;
};

/** A caller's request; owned by the forwarder. */
struct proxy_request {
	struct forward *forward;
	/** The caller's request; NULL once it is answered or abandoned. */
	struct http_request *caller;
	/** The caller's request id, or empty; points into the caller's headers.
	 */
	struct str id;
	/** The request's key, or -1 if the service isn't keyed. */
	int key;
	/** Hash of host, method, target and body; names the request in the
	 * crash list. */
	uint64_t fingerprint;
	/** The customer whose API key the request has, or NULL. */
	struct customer *customer;
	/** The configuration by which the customer was identified, and whether
	 * the route needs no API key by that. */
	uint64_t config_version;
	/** The configuration that has the request's route. */
	uint64_t routed_version;
	bool is_public;
	/** Copies of the fields of struct route; see there. The priority may be
	 * the customer's. */
	enum route_kind kind;
	unsigned int priority;
	unsigned int max_attempts;
	/** The caller declared a body, which may be empty. */
	bool has_body;
	/** Copy of the route's latency objective, in seconds; not read. */
	double objective_s;
	char *route_name;
	struct service *service;
	/** Averages of the route; owned by the forwarder. */
	struct route_stats *stats;
	/** Loop time at which the request was received. */
	double received_s;
	/** Loop time at which the caller stops waiting. */
	double deadline_s;
	/** Loop time by which the request must be answered: the caller's
	 * deadline or the route's timeout, whichever is earlier. */
	double give_up_s;
	/** Fires when a backup attempt is due or when give_up_s is reached. */
	ev_timer timer;
	/** Attempts in flight, in no order; NULL: unused. */
	struct upstream_attempt *attempts[CONCURRENT_ATTEMPTS_MAX];
	/** Number of attempts that were sent. */
	unsigned int sends;
	/** Number of ended attempts that the upstream may have run. */
	unsigned int runs;
	/** Interned ids of the first upstreams that got an attempt. */
	const char *tried[TRIED_MAX];
	unsigned int tried_count;
	/** An attempt may have run, but gave no usable answer. */
	bool may_have_run;
	/** Loop time before which the request isn't sent to its key's owner, or
	 * 0; set when the owner refused the request. */
	double not_before_s;
	/** The key's owner refused the last attempt, though it had free slots.
	 */
	bool shed_with_room;
	/** The request is in its service's queue, linked by queue_node. */
	bool queued;
	GList queue_node;
	/** Copy of the first error answer of an upstream, or NULL. The caller
	 * gets it if no later attempt succeeds. */
	struct http_reply *error_answer;
};

/**
 * Answers the caller with an error of this daemon, logs it, and frees the
 * request.
 *
 * @param status 503 promises the caller that the request did not run; if an
 *        attempt may have run, the caller gets an upstream's error answer, if
 *        there is one, or 502 instead
 * @param retry_after_s sent as Retry-After; 0: not sent
 * @param reason one word, written to the log
 */
void proxy_request_refuse(struct proxy_request *req, unsigned int status,
			  double retry_after_s, const char *reason);

#endif
