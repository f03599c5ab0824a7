/**
 * Internals of the control thread, shared by control.c (loop and shutdown),
 * control_links.c (links to assigners), control_reports.c (reports and share
 * requests to assigners) and control_platform.c (claims in the platform's
 * table, cancel calls to upstreams).
 */
#ifndef ROUTER_CONTROL_INTERNAL_H
#define ROUTER_CONTROL_INTERNAL_H

#include "operator/common_routes.h"
#include "operator/operator_server.h"
#include "platform/http_client.h"
#include "platform/table.h"
#include "router/control.h"
#include "wire/hub.h"

/** Number of assigners that a router is linked to at the same time. */
#define CONTROL_LINKS 3

enum shutdown_stage {
	SHUTDOWN_NONE,
	/** /ready fails; new connections are still accepted. */
	SHUTDOWN_LEAVING,
	/** Listening has ended; in-flight requests run to their end. */
	SHUTDOWN_DRAINING,
	SHUTDOWN_DONE,
};

/** A linked assigner. */
struct assigner {
	struct link *link;
	struct sockaddr_in address;
	/** Assigner's clock in its last heartbeat; echoed back to it. */
	int64_t sent_us;
	/** Local time at which its last heartbeat was received. */
	int64_t last_heartbeat_us;
	/** Version of the last VM list received from this assigner. */
	uint64_t vms_version;
};

struct control {
	struct router *router;
	struct mailbox *mailbox;
	struct hub *hub;
	struct http_client *http;
	/** Table client; NULL when no platform address is configured. */
	struct table *table;
	struct operator_server *operator;
	struct operator_mount mounts[3];
	struct common_routes common;
	/** Message of control_wake(); wake_sent while it is in the mailbox. */
	struct message wake;
	atomic_bool wake_sent;
	/** Random id of this process, new at every start. */
	char *incarnation;
	int signal_fd;
	/** struct sockaddr_in of all assigners, in order of preference. */
	GArray *addresses;
	/** Index of the next address to link to; taken modulo the count. */
	guint next_address;
	/** struct assigner, those whose link is open. */
	GPtrArray *assigners;
	/** struct sockaddr_in to which the hub keeps a link open. */
	GArray *linked;
	/** When the next heartbeat, share request, load report and check for
	 * silent assigners are due. */
	int64_t heartbeat_us;
	int64_t ask_us;
	int64_t load_us;
	int64_t relink_us;
	enum shutdown_stage stage;
	/** When listening ends; set on entry to SHUTDOWN_LEAVING. */
	int64_t drain_us;
	/** The batch being filled with claims; NULL when none is waiting. */
	struct claim_call *filling;
	/** Batches sent to the table and not yet answered. */
	unsigned int calls_in_flight;
};

/** Creates the hub and starts to link to assigners. */
void control_links_start(struct control *control);

/** Sends the messages to assigners that are due and replaces silent links. */
void control_links_tick(struct control *control, int64_t now_us);

/** Closes the links and frees the hub and the address lists. */
void control_links_stop(struct control *control);

/** Sends a message to every linked assigner. */
void control_send_all(struct control *control, Envelope__BodyCase kind,
		      void *body);

/**
 * Sends a message to the assigner with the newest heartbeat. That one forwards
 * messages about services that another assigner leads.
 */
void control_send_newest(struct control *control, Envelope__BodyCase kind,
			 void *body);

/** Sends load reports: requests by slice and hot keys since the last call. */
void control_send_load(struct control *control);

/** Sends the pending share requests and crash reports to assigners. */
void control_send_pending(struct control *control);

/**
 * Sends the batch of claims when it is due.
 *
 * @return when to call again at the latest; INT64_MAX when no claim is waiting
 */
int64_t control_platform_tick(struct control *control, int64_t now_us);

/** Frees the batch that was not sent, not the claims in it. */
void control_platform_stop(struct control *control);

#endif
