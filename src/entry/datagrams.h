/**
 * Datagrams between the system's VMs: reports to the leader, and the leader's
 * beats. Losing one costs time only; nothing here is agreed.
 */
#ifndef ENTRY_DATAGRAMS_H
#define ENTRY_DATAGRAMS_H

#include <glib.h>
#include <netinet/in.h>

#include "net/loop.h"
#include "wire/entry.pb-c.h"

struct datagrams;

struct datagram_ops {
	void (*beat)(void *ctx, const LeaderBeat *beat,
		     const struct sockaddr_in *from);
	void (*report)(void *ctx, const VmReport *report,
		       const struct sockaddr_in *from);
	void (*vm_loads)(void *ctx, const VmLoads *loads);
	void (*leader_loads)(void *ctx, const LeaderLoads *loads);
};

/**
 * Opens the socket.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct datagrams *datagrams_create(const struct loop *loop,
				   const struct sockaddr_in *address,
				   const struct datagram_ops *ops, void *ctx,
				   GError **error);
void datagrams_destroy(struct datagrams *datagrams);

/** Sends a datagram; what can't be sent is lost. */
void datagrams_send(struct datagrams *datagrams, const struct sockaddr_in *to,
		    const PeerMessage *message);

#endif
