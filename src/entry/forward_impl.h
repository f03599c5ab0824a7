/**
 * State and functions that the source files of the forwarding module share.
 */
#ifndef ENTRY_FORWARD_IMPL_H
#define ENTRY_FORWARD_IMPL_H

#include "entry/proxy_request.h"

/** A timer counts as due if it fires at most this much before its time, in
 * seconds. */
#define TIMER_TOLERANCE_S 0.0005

/** Reason in the log of the refusal of a request that is blocked because
 * upstreams crashed under it. */
#define CRASHES_UPSTREAMS "upstreams_were_lost_under_it"

/** Status for a failed request that may have run, if no upstream sent an error
 * answer. */
#define BAD_GATEWAY 502

/** Status for a request without a known API key. */
#define UNAUTHORIZED 401

/** Status for a request that its customer's quota has no room for. */
#define TOO_MANY_REQUESTS 429

/** Expected time, in seconds, until a key whose owner left the roster has a new
 * owner, if there is no better estimate. Also the Retry-After if no upstream
 * takes requests. */
#define OWNER_WAIT_S 0.5

/** State of the forwarder. */
struct forward {
	/** Times of the graceful shutdown, as given to
	 * forward_begin_shutdown(); 0: this VM is not shutting down. */
	double accept_until_s, exit_s;
	struct forward_options options;
	/** Averages of each route (struct route_stats) by the route's name. */
	GHashTable *route_stats;
	/** Random numbers for the choice of services and upstreams. */
	GRand *random;
	/** Set of requests (struct proxy_request) whose callers wait for an
	 * answer. */
	GHashTable *requests_in_progress;
	/** Set of attempts (struct upstream_attempt) whose callers are gone. */
	GHashTable *detached_attempts;
	/** Number of requests in the queues of all services. */
	unsigned int queued_count;
	/** Calls forward_dispatch_soon() periodically while requests are
	 * queued. */
	ev_timer queue_timer;
	/** Services (struct service) whose queues are to be tried again. */
	GPtrArray *due_services;
	/** Tries their queues; never started, but fed to the event loop, which
	 * calls it once the running handler has returned. */
	ev_prepare dispatch;
	/** Metrics; create_metrics() describes each. */
	struct counter *requests;
	struct counter *answered;
	struct counter *refused;
	struct counter *failed;
	struct counter *unauthorized;
	struct counter *over_quota;
	struct counter *abandoned;
	struct counter *retries;
	struct counter *backups;
	struct counter *limit_changes;
	struct counter *pauses;
	struct counter *key_refusals;
	struct histogram *answer_time;
	struct histogram *wait_time;
};

/** Result of choosing an upstream. */
enum choice {
	CHOICE_FOUND,
	/** Every candidate is at its limit: queue the request. */
	CHOICE_BUSY,
	/** The key has no reachable owner now: queue the request. */
	CHOICE_NO_OWNER,
	/** The upstreams that could take the request limit what they take, and
	 * more comes than they allow: refuse the request. */
	CHOICE_OVER_LIMIT,
	/** No upstream takes new work: refuse the request. */
	CHOICE_NONE,
};

/**
 * Chooses an upstream for a request, skipping those already tried.
 *
 * @param upstream set when the result is CHOICE_FOUND; the caller gets no
 *        reference to it
 */
enum choice dispatch_choose(struct proxy_request *req,
			    struct upstream **upstream);

/** Whether an upstream has got an attempt of the request already. */
bool dispatch_was_tried(const struct proxy_request *req,
			const struct upstream *upstream);

/** Sends, queues or refuses a request; may free it. */
void dispatch_request(struct proxy_request *req);

/** Removes a request from its service's queue, if it is queued. */
void dispatch_withdraw(struct proxy_request *req);

/** Sends as many queued requests of a service as its upstreams can take, and
 * refuses those that can't be served in time. Answers callers: only the event
 * loop calls it, by forward->dispatch. */
void dispatch_queued(struct forward *forward, struct service *service);

/** Has the event loop try the queue of a service again, once the running
 * handler has returned. */
void dispatch_queued_soon(struct forward *forward, struct service *service);

/** Writes to buf why the upstreams of a request's service can't take it now:
 * the number of upstreams by reason, as key=value pairs for the log. */
void dispatch_describe(const struct proxy_request *req, char *buf, size_t size);

/** Compares two requests: negative if a is more urgent than b, positive if a is
 * less urgent, 0 if both are as urgent. */
int dispatch_compare_urgency(const struct proxy_request *a,
			     const struct proxy_request *b);

/** Returns the expected response time, in seconds, of one more request at the
 * key's owner, including the time in the owner's queue. */
double dispatch_owner_expected_s(const struct proxy_request *req);

/** Returns the rest, in seconds, of the pauses that the upstreams which may run
 * the request asked for. */
double dispatch_pause_left_s(const struct proxy_request *req);

/** Returns the expected time, in seconds, until a request without a key that is
 * queued now is sent. */
double dispatch_expected_wait_s(const struct proxy_request *req);

/** Returns the expected time, in seconds, until the key's owner can take the
 * request. */
double dispatch_owner_wait_s(const struct proxy_request *req);

/** Returns the Retry-After of a refused request: the estimated time, in
 * seconds, until it could be sent. */
double dispatch_retry_after_s(const struct proxy_request *req);

/**
 * Sends a copy of a request to an upstream. Fewer than CONCURRENT_ATTEMPTS_MAX
 * attempts of the request may be in flight.
 *
 * @param backup the attempt is a backup, sent while an earlier one is overdue;
 *        written to the log
 */
void attempt_send(struct proxy_request *req, struct upstream *upstream,
		  bool backup);

/**
 * Ends a request's attempts. If the request is idempotent, or no byte of the
 * attempt was sent, their connections are closed; otherwise the attempts run to
 * their end, detached from the request.
 */
void attempt_cancel_all(struct proxy_request *req);

/** Closes the connections of detached attempts whose upstream must have given
 * up by now. */
void attempt_end_detached(struct forward *forward);

/** Sends a backup attempt if the first attempt is overdue, an upstream has a
 * free slot, and the retry budget allows it. */
void attempt_send_backup(struct proxy_request *req);

/** Whether an attempt in flight may run: bytes of it may have been sent. One
 * whose connection is still being opened can't run once that is closed. */
bool attempt_may_run(const struct proxy_request *req);

/**
 * Whether the request's route and remaining time allow another attempt. The
 * retry budget is not checked.
 *
 * @param ran the last attempt may have run
 */
bool attempt_may_retry(const struct proxy_request *req, bool ran);

/** Whether this VM is shutting down and may exit before the request's time is
 * up. Such a request is refused instead of queued. */
bool proxy_request_exceeds_shutdown(const struct proxy_request *req);

/** Sets the request's timer to the next backup check or to its time limit. */
void proxy_request_arm_timer(struct proxy_request *req);

/**
 * Answers the caller with an upstream's answer, and frees the request.
 *
 * @param attempt the attempt that got the answer, or NULL; for the log
 */
void proxy_request_answer(struct proxy_request *req,
			  const struct http_reply *reply,
			  const struct upstream_attempt *attempt);

/** Frees a request whose caller was answered or is gone. */
void proxy_request_free(struct proxy_request *req);

/** Logs an event of a request.
 *
 * @param detail more key=value pairs */
void request_log_event(const struct proxy_request *req, const char *event,
		       unsigned int status, const char *detail);

/** Logs the refusal of a request that has no route or no customer. */
void request_log_unrouted(const struct forward *forward,
			  const struct http_request *request,
			  unsigned int status, const char *reason);

/** Logs an attempt that is about to be sent.
 *
 * @param backup see attempt_send() */
void request_log_sent(const struct upstream_attempt *attempt, bool backup);

/**
 * Logs how an attempt ended.
 *
 * @param status of the answer; 0: the connection ended without an answer
 * @param verdict one word: the class of the answer, or how the connection ended
 */
void request_log_reply(const struct upstream_attempt *attempt,
		       unsigned int status, const char *verdict);

/** Returns the request's host without the port; empty if there is none. */
struct str forward_host(const struct http_request *request);
/** Returns the request's path without the query. */
struct str forward_path(const struct http_request *request);

/** Returns the loop's time, in seconds. */
double forward_now(const struct forward *forward);

#endif
