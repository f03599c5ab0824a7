/**
 * Records which incarnation of an upstream answered on each open connection.
 * The record stays true while the connection is open, since a connection cannot
 * outlive the process that accepted it. One thread owns a set.
 */
#ifndef HTTP_VERIFIED_CONNS_H
#define HTTP_VERIFIED_CONNS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/str.h"

/** The set of records. */
struct verified_conns;

/** Local and remote address of a connection. */
struct connection_ends {
	struct sockaddr_in local, remote;
};

/** Creates an empty set. */
struct verified_conns *verified_conns_create(void);

/** Frees a set; accepts NULL. */
void verified_conns_destroy(struct verified_conns *verified_conns);

/**
 * Records that an incarnation answered on a connection, in place of an earlier
 * record. Records nothing if the socket is no longer connected.
 *
 * @param fd the connection's socket
 * @param boot the incarnation id (Auburn-Boot); copied
 */
void verified_conns_add(struct verified_conns *verified_conns, int fd,
			struct str boot);

/** Removes the record of a connection; call this before closing its socket. */
void verified_conns_remove(struct verified_conns *verified_conns, int fd);

/** Returns whether the incarnation with the id boot answered on the connection
 * with these local and remote addresses. */
bool verified_conns_match(const struct verified_conns *verified_conns,
			  const struct connection_ends *ends, struct str boot);

/** Returns whether the incarnation with the id boot answered on any open
 * connection to a remote address. */
bool verified_conns_any(const struct verified_conns *verified_conns,
			const struct sockaddr_in *remote, struct str boot);

#endif
