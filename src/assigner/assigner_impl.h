/**
 * The state of an assigner and the functions that its files share. Included
 * from this folder only.
 */
#ifndef ASSIGNER_ASSIGNER_IMPL_H
#define ASSIGNER_ASSIGNER_IMPL_H

#include "assigner/assigner.h"
#include "assigner/cell.h"
#include "base/clock.h"
#include "membership/peers.h"
#include "membership/vm_table.h"
#include "operator/api.h"
#include "operator/common_routes.h"
#include "operator/operator_server.h"
#include "platform/http_client.h"
#include "platform/table.h"
#include "profile/settings_replica.h"
#include "request/poison.h"
#include "wire/hub.h"

/** Load of an upstream's VM, from its replies to orders. */
struct vm_load {
	/** Requests that the VM can run at once. */
	uint32_t slots;
	/** Running and queued requests, as a moving average. */
	double requests;
	/** Time of the last reply, on this daemon's clock. */
	int64_t seen_us;
};

/** State of the daemon; used by one thread only. */
struct assigner {
	const struct assigner_options *options;
	const struct clock *clock;
	/** Id of this process, new at each start of the daemon. */
	char *incarnation;
	struct http_client *http;
	struct table *table;
	struct hub *hub;
	struct peers *peers;
	struct settings_replica *settings_replica;
	struct vm_table *vms;
	/** Version of the VM table that was last sent to routers. */
	uint64_t vms_sent_version;
	/** A read of the platform's VM list is in flight. */
	bool vms_reading;
	/** The last read of the platform's VM list failed. */
	bool vms_unreachable;
	/** Text that names the entries skipped in the last VM list, as it was
	 * logged; NULL when none was skipped. */
	char *vms_skipped;
	/** Times of the next read of the VM list, membership tick and round of
	 * CellBeat messages. */
	int64_t vms_due_us;
	int64_t slow_tick_due_us;
	int64_t beat_due_us;
	/** What the cells use of this daemon; each cell points to it. */
	struct cell_env cell_env;
	/* struct cell *, one for each service of the settings in force. */
	GPtrArray *cells;
	/** Requests that crashed upstreams, to be reported to daemons that link
	 * to this one; see request/poison.h. */
	struct poison *poison;
	/* VM id -> struct vm_load *, for the upstreams that replied to orders
	 * of this daemon. */
	GHashTable *loads;
	struct operator_server *operators;
	/* Common routes, API routes and an empty entry that ends the list. */
	struct operator_mount mounts[3];
	struct common_routes common;
	struct api *api;
	/** Where this daemon listens for links of routers and other assigners.
	 */
	struct sockaddr_in wire_address;
	/** A graceful shutdown has begun. */
	bool leaving;
	/** Number of versions of the settings that came into force. */
	uint64_t settings_changes;
};

/* assigner_messages.c: messages between routers and assigners. */

extern const struct hub_ops assigner_hub_ops;
extern const struct peers_ops assigner_peers_ops;

/** Sends a message on every link to a router or an assigner. */
void assigner_broadcast(struct assigner *a, const Envelope *message);

/** Sends a cell's owner map to every linked router and assigner. */
void assigner_send_map(struct assigner *a, const struct slice_map *map);

/** Sends the VM list to every linked router. */
void assigner_send_vms(struct assigner *a);

/** Finds the cell of the service of that name; NULL when there is none. */
struct cell *assigner_cell(struct assigner *a, struct str name);

/* assigner_cell_beats.c: assigners exchange the state of the cells. */

/** The daemon at the other end of a link; the link's data from the daemon's
 * Hello on. */
struct link_peer {
	/* Id of the daemon. */
	char *daemon;
	/* The daemon is a router; false: an assigner. */
	bool router;
	/* cells_digest() when a heartbeat on this link last carried the cells.
	 */
	uint64_t sent_cells_digest;
	/* Heartbeats sent on this link since the last one with the cells. */
	unsigned int heartbeats_without_cells;
};

/**
 * Sends the CellBeat messages: the state of each cell, to the assigners that
 * are candidates for its coordination.
 */
void assigner_send_cell_beats(struct assigner *a);

/** Applies a CellBeat and asks its sender for newer owner maps. */
void assigner_on_cell_beat(struct assigner *a, struct link *link,
			   const CellBeat *beat);

/** Sends a heartbeat on a link. Adds the cells if they have changed or were
 * not sent for a while. */
void assigner_send_heartbeat(void *ctx, void *link, const struct beat *beat);

/** Applies the cells of a received heartbeat; ignores its other fields. */
void assigner_on_heartbeat_cells(struct assigner *a, struct link *link,
				 const Heartbeat *message);

/* assigner_platform.c: settings and VM list, read from the platform. */

extern const struct settings_replica_ops assigner_settings_replica_ops;

/** Starts a read of the platform's VM list when the next one is due. */
void assigner_read_vms(struct assigner *a, int64_t now_us);

/** Creates, removes and updates cells to match the settings in force and the VM
 * table. Does nothing before any settings are in force. */
void assigner_update_cells(struct assigner *a);

/* assigner_api.c: the operator API. */

extern const struct api_ops assigner_api_ops;

/** Records the load that a VM reported in its reply to an order. */
void assigner_record_load(struct assigner *a, struct str vm,
			  const struct upstream_load *load);

/* assigner_metrics.c: readiness and Prometheus metrics. */

extern const struct common_ops assigner_common_ops;

#endif
