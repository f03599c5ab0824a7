/**
 * A worker thread: an event loop that accepts callers' connections and forwards
 * their requests to upstreams. A request stays in one worker.
 */
#ifndef ROUTER_WORKER_H
#define ROUTER_WORKER_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/caller.h"
#include "http/exchange.h"
#include "router/mailbox.h"
#include "router/router.h"

struct worker {
	struct router *router;
	/** Messages to the worker's thread. */
	struct mailbox *mailbox;
	/** Registered by the worker's thread; owned by the view store. */
	struct view_reader *reader;
	/** The current view during an iteration of the loop, else NULL. */
	const struct view *view;
	/** struct caller_server, one for each listen address. */
	GPtrArray *servers;
	/** Connections to upstreams. */
	struct exchange_pool *exchanges;
	/** All struct request of this worker. */
	GQueue requests;
	/** struct request on which request_advance() must be called. */
	GQueue scheduled;
	/** int64_t, the time in microseconds until which connections to an
	 * upstream are not reused, by the upstream's id. */
	GHashTable *no_reuse_until;
	/** Monotonic clock at the start of the loop's iteration. */
	int64_t now_us;
	pthread_t thread;
	/** The thread was created and must be joined. */
	bool started;
	/** Waits for the servers, the exchanges and the mailbox. */
	int epoll_fd;
	/** When the timeouts of requests are checked next. */
	int64_t tick_us;
	/** The worker no longer listens. Its thread ends when no request and no
	 * caller's connection is left. */
	bool quiesced;
	/** The thread has left its loop. */
	_Atomic bool finished;
};

/**
 * Creates a worker and starts to listen. worker_start() starts its thread.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE when an address cannot be bound
 * @return NULL on error
 */
struct worker *worker_create(struct router *router, GError **error);

/**
 * Returns the addresses that a worker listens on.
 *
 * @return "IPv4:port,..."; the caller frees it with g_free()
 */
char *worker_addresses(const struct worker *worker);

/** Starts the worker's thread. Logs an error when that fails. */
void worker_start(struct worker *worker);

/**
 * From now on the worker's answers ask callers to close their connections. May
 * be called from any thread.
 */
void worker_announce_close(struct worker *worker);

/**
 * Makes the worker stop listening. Its thread ends after the last request. May
 * be called from any thread.
 */
void worker_quiesce(struct worker *worker);

/** Tells whether the worker's thread has finished its last request. */
bool worker_finished(const struct worker *worker);

/** Waits for the thread to end and frees the worker; NULL is allowed. */
void worker_destroy(struct worker *worker);

/**
 * Stops the reuse of connections to an upstream for some seconds, after one of
 * them failed or stalled: the others may be dead as well.
 */
void worker_stop_reuse(struct worker *worker, const char *upstream);

/** Tells whether connections to an upstream must not be reused now. */
bool worker_reuse_stopped(const struct worker *worker, const char *upstream);

#endif
