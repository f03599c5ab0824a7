/**
 * The assigner's parts, for the files of this folder only.
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

/** Load of an upstream, from its answers to orders. */
struct vm_load {
	uint32_t slots;
	/** Requests that run or wait there, averaged. */
	double running;
	int64_t seen_us;
};

struct assigner {
	const struct assigner_options *options;
	const struct clock *clock;
	char *incarnation;
	struct http_client *http;
	struct table *table;
	struct hub *hub;
	struct peers *peers;
	struct settings_replica *settings_replica;
	struct vm_table *vms;
	uint64_t vms_sent_version;
	bool vms_reading;
	/** Entries of the list of VMs that were skipped; NULL: none. */
	char *vms_skipped;
	int64_t vms_due_us;
	int64_t slow_tick_due_us;
	int64_t beat_due_us;
	struct cell_env cell_env;
	/* struct cell *, one for each service in force. */
	GPtrArray *cells;
	struct poison *poison;
	/* VM's id -> struct vm_load *, of the cells led here. */
	GHashTable *loads;
	struct operator_server *operators;
	struct operator_mount mounts[3];
	struct common_routes common;
	struct api *api;
	struct sockaddr_in wire_address;
	bool leaving;
	uint64_t settings_changes;
};

/* assigner_links.c: messages of routers and other assigners. */

extern const struct hub_ops assigner_hub_ops;
extern const struct peers_ops assigner_peers_ops;

/** Sends to every router and assigner that is linked. */
void assigner_broadcast(struct assigner *a, const Envelope *message);

/** Sends a row to every link. */
void assigner_send_map(struct assigner *a, const struct slice_map *map);

/** Sends the VMs to every router. */
void assigner_send_vms(struct assigner *a);

/** Finds the cell of a service; NULL when there is none. */
struct cell *assigner_cell(struct assigner *a, struct str name);

/* assigner_beats.c: who coordinates which cell, as daemons tell each other. */

/** What is known of a link's other side. */
struct side {
	char *daemon;
	bool router;
	/* Cells as last told on this link, and heartbeats since. */
	uint64_t told_digest;
	unsigned int beats;
};

/** Sends each cell's beat to the daemons that may coordinate it. */
void assigner_beat(struct assigner *a);

/** A cell beat came. */
void assigner_on_beat(struct assigner *a, struct link *link,
		      const CellBeat *beat);

/** Sends a heartbeat, with the cells when they changed. */
void assigner_send_heartbeat(void *ctx, void *link, const struct beat *beat);

/** A heartbeat came; only its cells are looked at. */
void assigner_on_cells(struct assigner *a, struct link *link,
		       const Heartbeat *message);

/* assigner_feeds.c: what comes from the platform. */

extern const struct settings_replica_ops assigner_spread_ops;

/** Starts to read the list of VMs when it is due. */
void assigner_read_vms(struct assigner *a, int64_t now_us);

/** Brings the cells in line with the settings and the VMs. */
void assigner_update_cells(struct assigner *a);

/* assigner_api.c */

extern const struct api_ops assigner_api_ops;

/** Notes what an upstream said of its load. */
void assigner_note_load(struct assigner *a, struct str vm,
			const struct upstream_load *load);

/* assigner_metrics.c */

extern const struct common_ops assigner_common_ops;

#endif
