/**
 * One thread that carries requests from accept to answer: the callers'
 * connections, the exchanges with upstreams, and the requests between them.
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
	struct mailbox *mailbox;
	struct view_reader *reader;
	/** The newest view; within the current turn of the loop. */
	const struct view *view;
	/** struct caller_server, one for each address. */
	GPtrArray *servers;
	struct exchange_pool *exchanges;
	/** struct request. */
	GQueue requests;
	/** struct request that want attention. */
	GQueue touched;
	/** Until when connections to an upstream are not reused, by its id. */
	GHashTable *suspects;
	int64_t now_us;
	pthread_t thread;
	bool started;
	int epoll_fd;
	int64_t tick_us;
	bool quiesced;
	_Atomic bool finished;
};

/**
 * Creates a worker that listens already.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct worker *worker_create(struct router *router, GError **error);

/**
 * The addresses that it listens on.
 *
 * @return "IPv4:port,..."; the caller frees it with g_free()
 */
char *worker_addresses(const struct worker *worker);

/** Starts its thread. */
void worker_start(struct worker *worker);

/** Its answers ask callers to close their connections. From any thread. */
void worker_closing(struct worker *worker);

/** Stops listening; the thread ends after the last request. */
void worker_quiesce(struct worker *worker);

/** Whether its thread has nothing left to do. */
bool worker_finished(const struct worker *worker);

/** Waits for the thread and frees. */
void worker_destroy(struct worker *worker);

/** Notes that connections to an upstream may be dead. */
void worker_suspect(struct worker *worker, const char *upstream);

/** Whether connections to an upstream may be dead. */
bool worker_suspects(const struct worker *worker, const char *upstream);

#endif
