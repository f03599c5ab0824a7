/**
 * Which open connections reach which incarnation of an upstream: a connection
 * cannot outlive the process that accepted it. One thread owns a set.
 */
#ifndef HTTP_VERIFIED_CONNS_H
#define HTTP_VERIFIED_CONNS_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/str.h"

struct verified_conns;

/** Both ends of a connection. */
struct connection_ends {
	struct sockaddr_in local, remote;
};

/** Creates an empty set. */
struct verified_conns *verified_conns_create(void);

/** Frees a set; NULL is allowed. */
void verified_conns_destroy(struct verified_conns *verified_conns);

/**
 * Notes that an incarnation answered on a connection.
 *
 * @param fd the connection's socket
 * @param boot the incarnation; copied
 */
void verified_conns_add(struct verified_conns *verified_conns, int fd,
			struct str boot);

/** Forgets a connection; call before its socket is closed. */
void verified_conns_remove(struct verified_conns *verified_conns, int fd);

/** Tells whether a connection is known to reach an incarnation. */
bool verified_conns_match(const struct verified_conns *verified_conns,
			  const struct connection_ends *ends, struct str boot);

/** Tells whether any connection to an address reaches an incarnation. */
bool verified_conns_any(const struct verified_conns *verified_conns,
			const struct sockaddr_in *remote, struct str boot);

#endif
