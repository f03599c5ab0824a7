/**
 * The open connections from one router to one upstream: which may be used
 * again, and which are silent because something on the way lost track of them.
 *
 * Rules:
 * - Work that isn't idempotent goes on a fresh connection.
 * - An idle connection is used again only within CONNECTION_IDLE_US of its last
 *   progress and while it isn't suspect.
 * - A connection in use without progress for the stall limit is silent: it is
 *   closed, and its siblings are suspect. A suspect one that is idle is closed;
 *   one in use is closed after its answer, unless it shows progress after
 *   that moment, which clears it.
 * So after a loss of all connections no request waits longer than one stall
 * limit, and the next goes on a fresh one.
 *
 * Not thread-safe: belongs to one worker.
 */
#ifndef UPSTREAM_CONNECTION_H
#define UPSTREAM_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Longest idle time after which a connection is used again. */
#define CONNECTION_IDLE_US INT64_C(5000000)
/** TCP keepalive: first probe after, and between, in seconds; probes. */
#define CONNECTION_KEEPALIVE_IDLE_S 5
#define CONNECTION_KEEPALIVE_INTERVAL_S 2
#define CONNECTION_KEEPALIVE_PROBES 3
/** A fresh connection must be made within this. */
#define CONNECTION_CONNECT_US INT64_C(500000)

/** No connection. */
#define CONNECTION_NONE UINT64_MAX

struct connection_set;

/** @return a new, empty set; free with connection_set_destroy() */
struct connection_set *connection_set_create(uint32_t limit);

/** Frees a set; NULL is allowed. */
void connection_set_destroy(struct connection_set *set);

enum connection_choice {
	/** Use the connection named. */
	CONNECTION_REUSE,
	/** Open a fresh one. */
	CONNECTION_FRESH,
	/** The limit is reached and none can be used or closed. */
	CONNECTION_WAIT,
};

/**
 * Chooses the connection for a request.
 *
 * @param idempotent running the request twice does no harm
 * @param connection set for CONNECTION_REUSE; for CONNECTION_FRESH set to an
 *        idle one that must be closed first, or CONNECTION_NONE
 */
enum connection_choice connection_choose(struct connection_set *set,
					 bool idempotent, int64_t now_us,
					 uint64_t *connection);

/** Notes a connection that was opened for a request, which is in use. */
void connection_opened(struct connection_set *set, uint64_t connection,
		       int64_t now_us);

/** Notes that an idle connection is used for a request. */
void connection_used(struct connection_set *set, uint64_t connection,
		     int64_t now_us);

/** Notes bytes that arrived, or that the peer acknowledged. */
void connection_progress(struct connection_set *set, uint64_t connection,
			 int64_t now_us);

/**
 * Notes the end of a request.
 *
 * @return true when the connection may stay open, false: close it
 */
bool connection_done(struct connection_set *set, uint64_t connection,
		     int64_t now_us);

/** Notes that a connection is closed. */
void connection_closed(struct connection_set *set, uint64_t connection);

/**
 * Names a connection to close now: silent for stall_us while in use, or idle
 * and suspect or too old. Call until CONNECTION_NONE.
 *
 * @param stall_us the profile's stall limit
 * @param silent set to true when a request on it has stalled
 */
uint64_t connection_expired(struct connection_set *set, int64_t stall_us,
			    int64_t now_us, bool *silent);

/** Connections open. */
size_t connection_count(const struct connection_set *set);

#endif
