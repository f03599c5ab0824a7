/**
 * Datagrams between VMs: reports to the leader, and the leader's heartbeats and
 * load totals. A lost datagram only causes delay; nothing depends on its
 * delivery.
 */
#ifndef ENTRY_DATAGRAMS_H
#define ENTRY_DATAGRAMS_H

#include <glib.h>
#include <netinet/in.h>

#include "base/metrics.h"
#include "fanout/fanout.h"
#include "net/loop.h"
#include "wire/entry.pb-c.h"

struct datagrams;

/** Handlers of received messages; a message is valid during the call. */
struct datagram_ops {
	void (*heartbeat)(void *ctx, const LeaderBeat *beat);
	void (*vm_report)(void *ctx, const VmReport *report);
	void (*vm_loads)(void *ctx, const VmLoads *loads);
	void (*leader_loads)(void *ctx, const LeaderLoads *loads);
	void (*row_relay)(void *ctx, const RowRelay *relay);
	void (*table_copy)(void *ctx, const TableCopyPart *part);
	void (*load_index)(void *ctx, const LoadIndex *index);
};

/** What the pointers refer to must outlive the object, unless stated. */
struct datagrams_options {
	const struct loop *loop;
	/** Address to receive datagrams at; copied. */
	const struct sockaddr_in *address;
	/** This VM's zone; copied. */
	const char *zone;
	/** Counts messages and bytes (wire/message_meter.h). */
	struct metrics *metrics;
	/** Handlers of received messages, and their argument. */
	const struct datagram_ops *ops;
	void *ctx;
};

/**
 * Opens the socket and starts to receive.
 *
 * @param options copied
 * @param error set to AUBURN_ERROR_UNAVAILABLE if the socket can't be opened
 * @return the object, or NULL; freed with datagrams_destroy()
 */
struct datagrams *datagrams_create(const struct datagrams_options *options,
				   GError **error);
/** Closes the socket; NULL is allowed. */
void datagrams_destroy(struct datagrams *datagrams);

/**
 * Sends a datagram to one VM. A message that is too large for a datagram is
 * logged; other errors are ignored, because the next message makes up for a
 * lost one.
 *
 * @param zone the recipient's zone, for the metrics; "": unknown
 */
void datagrams_send(struct datagrams *datagrams, const struct sockaddr_in *to,
		    const char *zone, const PeerMessage *message);

/**
 * Sends a datagram to many VMs. With more than FANOUT_DIRECT_MAX recipients,
 * the message reaches other zones in few copies and is relayed by their VMs
 * (fanout/fanout.h).
 *
 * @param to recipients (struct fanout_target); their order is changed
 * @param message message to send; its relay list is overwritten
 * @return number of bytes that this VM sent
 */
size_t datagrams_broadcast(struct datagrams *datagrams, GArray *to,
			   enum fanout_way way, PeerMessage *message);

#endif
