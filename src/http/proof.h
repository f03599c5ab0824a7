/**
 * Which open connections reach which incarnation of an upstream: a connection
 * cannot outlive the process that accepted it. One thread owns a set.
 */
#ifndef HTTP_PROOF_H
#define HTTP_PROOF_H

#include <netinet/in.h>
#include <stdbool.h>

#include "base/str.h"

struct proofs;

/** Both ends of a connection. */
struct connection_ends {
	struct sockaddr_in local, remote;
};

/** Creates an empty set. */
struct proofs *proofs_create(void);

/** Frees a set; NULL is allowed. */
void proofs_destroy(struct proofs *proofs);

/**
 * Notes that an incarnation answered on a connection.
 *
 * @param fd the connection's socket
 * @param boot the incarnation; copied
 */
void proofs_add(struct proofs *proofs, int fd, struct str boot);

/** Forgets a connection; call before its socket is closed. */
void proofs_remove(struct proofs *proofs, int fd);

/** Tells whether a connection is known to reach an incarnation. */
bool proofs_hold(const struct proofs *proofs,
		 const struct connection_ends *ends, struct str boot);

/** Tells whether any connection to an address reaches an incarnation. */
bool proofs_any(const struct proofs *proofs, const struct sockaddr_in *remote,
		struct str boot);

#endif
