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
	void (*beat)(void *ctx, const LeaderBeat *beat);
	void (*report)(void *ctx, const VmReport *report);
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

/**
 * Sends a datagram to many VMs. Beyond a handful some are asked to send it on,
 * others each time, so that no VM's link bears all of it and the loss of one
 * costs the others a single message.
 *
 * @param to of struct sockaddr_in; its order is changed
 */
void datagrams_broadcast(struct datagrams *datagrams, GArray *to,
			 PeerMessage *message);

#endif
