/**
 * Forwards callers' requests to upstreams: finds the route, chooses an
 * upstream, queues, sends and retries, and answers or refuses the caller. Not
 * thread-safe: one thread owns it.
 *
 * Who may free requests and attempts, and when: answering a caller may find its
 * connection broken, which frees all other requests of this connection and
 * their attempts. So
 *
 * - a handler of an event (an answer, a broken connection, a timer, a row, a
 *   datagram) ends only the request that the event is about; an attempt that
 *   ended is unlinked from its request, and thereby owned by its handler,
 * before any caller is answered;
 * - whatever makes other requests worth trying again only calls
 *   forward_dispatch_soon(); the event loop tries the queues when no handler
 *   runs, and only then are requests answered that no event is about;
 * - a loop over requests that answers callers goes over a copy of the list, and
 *   looks each one up before using it.
 */
#ifndef ENTRY_FORWARD_H
#define ENTRY_FORWARD_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "customers/customers.h"
#include "directory/protocol.h"
#include "entry/crash_watch.h"
#include "entry/links.h"
#include "entry/roster.h"
#include "net/http_server.h"

struct forward;
struct watch_status;

/** Options of a forwarder, which copies them. */
struct forward_options {
	struct loop *loop;
	const struct entry_settings *settings;
	struct roster *roster;
	struct links *links;
	const struct protocol *protocol;
	struct event_log *log;
	struct metrics *metrics;
	/** Limits the error answers that are kept while a request is tried
	 * again. */
	struct byte_budget *answers;
	/** Requests that are suspected or blamed for crashes of upstreams. */
	struct crash_watch *crashes;
	/** Customers, of which requests need an API key. */
	struct customers *customers;
	/** How recent the configuration is, for the log; may be NULL. */
	const struct watch_status *status;
	/** Called when an answer said for the first time that its upstream
	 * leaves, while the answer is being handled: must not answer a caller.
	 */
	void (*said_leaving)(void *ctx);
	void *ctx;
};

/** Creates a forwarder; freed with forward_destroy(). */
struct forward *forward_create(const struct forward_options *options);

/**
 * Frees the forwarder; NULL is allowed. The HTTP server, and with it all
 * callers' requests, must be gone.
 */
void forward_destroy(struct forward *forward);

/**
 * Forwards a request that was received completely. The request may be answered
 * from within the call.
 */
void forward_request(struct forward *forward, struct http_request *request);

/** Drops a request whose caller closed the connection. If it must run at most
 * once, attempts in flight are not aborted. */
void forward_caller_gone(struct forward *forward, struct http_request *request);

/**
 * Begins a graceful shutdown.
 *
 * @param accept_until_s loop time until which every request is accepted
 * @param exit_s loop time at which unanswered requests are refused; after
 *        accept_until_s, a request is accepted only if its time limit is not
 *        later than exit_s
 */
void forward_begin_shutdown(struct forward *forward, double accept_until_s,
			    double exit_s);

/** Refuses every request that is still unanswered; the process exits next. */
void forward_refuse_all(struct forward *forward);

/** Has the event loop try again to send the queued requests of all services,
 * once the running handler has returned. */
void forward_dispatch_soon(struct forward *forward);

/** Ends attempts whose callers are gone and whose time is up; called several
 * times a second. */
void forward_tick(struct forward *forward);

#endif
