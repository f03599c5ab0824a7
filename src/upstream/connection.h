/**
 * The open connections from one router to one upstream: decides which can be
 * reused, and detects connections that are silent because a device on the
 * network path lost their state.
 *
 * Rules:
 * - A request that isn't idempotent uses a fresh connection.
 * - An idle connection is reused only within CONNECTION_IDLE_US of its last
 *   progress and while it isn't suspect.
 * - A connection in use without progress for the stall limit is silent. It is
 *   closed, and the other connections of the set become suspect. A suspect
 *   connection is closed when idle, or when its request ends. Progress on it
 *   after it became suspect clears it.
 * So when all connections are lost at once, no request waits longer than one
 * stall limit, and the next one uses a fresh connection.
 *
 * Not thread-safe: a set belongs to one worker thread of the router.
 */
#ifndef UPSTREAM_CONNECTION_H
#define UPSTREAM_CONNECTION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** A connection that was idle for this long is closed, not reused. */
#define CONNECTION_IDLE_US INT64_C(5000000)
/** TCP keepalive: idle seconds before the first probe, seconds between probes,
 * number of probes. */
#define CONNECTION_KEEPALIVE_IDLE_S 5
#define CONNECTION_KEEPALIVE_INTERVAL_S 2
#define CONNECTION_KEEPALIVE_PROBES 3
/** Connect timeout. */
#define CONNECTION_CONNECT_US INT64_C(500000)

/** Id that stands for no connection. */
#define CONNECTION_NONE UINT64_MAX

/** The open connections to one upstream. */
struct connection_set;

/**
 * Creates an empty set.
 *
 * @param limit most open connections
 * @return a new set; free with connection_set_destroy()
 */
struct connection_set *connection_set_create(uint32_t limit);

/** Frees a set; NULL is allowed. */
void connection_set_destroy(struct connection_set *set);

/** Which connection a request uses: result of connection_choose(). */
enum connection_choice {
	/** Use the idle connection returned. */
	CONNECTION_REUSE,
	/** Open a fresh connection. */
	CONNECTION_FRESH,
	/** The limit is reached and all connections are in use: wait. */
	CONNECTION_WAIT,
};

/**
 * Chooses the connection for a request.
 *
 * @param idempotent running the request twice does no harm
 * @param connection set for CONNECTION_REUSE; for CONNECTION_FRESH set to an
 *        idle connection that must be closed first, or CONNECTION_NONE
 */
enum connection_choice connection_choose(struct connection_set *set,
					 bool idempotent, int64_t now_us,
					 uint64_t *connection);

/** Adds a connection that was opened for a request and is in use. */
void connection_opened(struct connection_set *set, uint64_t connection,
		       int64_t now_us);

/** Marks an idle connection as used for a request. */
void connection_used(struct connection_set *set, uint64_t connection,
		     int64_t now_us);

/** Records progress on a connection: bytes arrived, or the peer acknowledged
 * bytes. */
void connection_progress(struct connection_set *set, uint64_t connection,
			 int64_t now_us);

/**
 * Marks a connection as idle, as its request ended.
 *
 * @return true when the connection may stay open, false to close it
 */
bool connection_done(struct connection_set *set, uint64_t connection,
		     int64_t now_us);

/** Removes a connection that was closed. */
void connection_closed(struct connection_set *set, uint64_t connection);

/**
 * Finds a connection to close now: silent for stall_us while in use, or idle
 * and suspect or idle for too long. Close it, call connection_closed(), and
 * repeat until CONNECTION_NONE.
 *
 * @param stall_us the profile's stall limit
 * @param silent set to true when the connection was in use, so that its request
 *        has stalled; else to false
 * @return the connection's id, or CONNECTION_NONE
 */
uint64_t connection_expired(struct connection_set *set, int64_t stall_us,
			    int64_t now_us, bool *silent);

/** Returns the number of open connections. */
size_t connection_count(const struct connection_set *set);

#endif
