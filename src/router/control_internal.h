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

/** Stages of the graceful shutdown, in their order. */
enum shutdown_stage {
	/** The router was not told to shut down. */
	SHUTDOWN_NONE,
	/** /ready fails; new connections are still accepted. */
	SHUTDOWN_LEAVING,
	/** The workers no longer listen; in-flight requests run to their end.
	 */
	SHUTDOWN_DRAINING,
	/** All workers have finished: control_run() returns. */
	SHUTDOWN_DONE,
};

/** An assigner to which a link is open. */
struct assigner {
	struct link *link;
	struct sockaddr_in address;
	/** The assigner's clock in its last heartbeat, which this router's
	 * heartbeats echo; 0 before the first. */
	int64_t sent_us;
	/** Time of this router's clock when that heartbeat was received; 0
	 * before the first. */
	int64_t last_heartbeat_us;
	/** Version of the last VM list received from this assigner. */
	uint64_t vms_version;
};

/** The state of the control thread. */
struct control {
	struct router *router;
	/** Messages from other threads to the control thread. */
	struct mailbox *mailbox;
	/** The links to assigners. */
	struct hub *hub;
	/** Client for calls to the platform and to upstreams. */
	struct http_client *http;
	/** Table client; NULL when no platform address is configured. */
	struct table *table;
	struct operator_server *operator_server;
	/** Routes at the operator address, ended by an empty entry. */
	struct operator_mount mounts[3];
	struct common_routes common;
	/** Message of control_wake(). wake_sent is set while the message is in
	 * the mailbox, which can hold it only once. */
	struct message wake;
	atomic_bool wake_sent;
	/** Random id of this run of the router: each start makes a new one. */
	char *incarnation;
	/** signalfd of SIGTERM and SIGINT. */
	int signal_fd;
	/** struct sockaddr_in of all assigners in the assigners option, in
	 * order of preference. */
	GArray *addresses;
	/** Index of the next address to link to, modulo the number of
	 * addresses.
	 */
	guint next_address;
	/** struct assigner: the assigners to which a link is open. */
	GPtrArray *assigners;
	/** struct sockaddr_in to which the hub opens a link, also again after
	 * the link was closed. */
	GArray *link_addresses;
	/** When the next heartbeats are due. */
	int64_t heartbeat_us;
	/** When control_send_pending() is called next. */
	int64_t send_pending_us;
	/** When the next load report is due. */
	int64_t load_report_us;
	/** When to check next for silent assigners. */
	int64_t relink_us;
	enum shutdown_stage stage;
	/** When SHUTDOWN_DRAINING begins; set on entry to SHUTDOWN_LEAVING. */
	int64_t drain_us;
	/** The batch to which claims are added, not yet sent to the table; NULL
	 * when no claim is waiting. */
	struct claim_call *open_batch;
	/** Batches sent to the table and not yet answered. */
	unsigned int calls_in_flight;
};

/** Creates the hub and starts to link to assigners. */
void control_links_start(struct control *control);

/** Sends the messages to assigners that are due and replaces silent links. */
void control_links_tick(struct control *control, int64_t now_us);

/** Closes the links and frees the hub and the address lists. */
void control_links_stop(struct control *control);

/**
 * Sends a message to every linked assigner.
 *
 * @param body message of the type that kind names; not changed or kept
 */
void control_send_to_all(struct control *control, Envelope__BodyCase kind,
			 void *body);

/**
 * Sends a message to one linked assigner: the one that sent the newest
 * heartbeat. Without a link the message is dropped. The assigner forwards a
 * message about a service to the assigner that leads the service.
 *
 * @param body message of the type that kind names; not changed or kept
 */
void control_send_to_one(struct control *control, Envelope__BodyCase kind,
			 void *body);

/** Sends reports of each service's load since the last call: its requests by
 * slice and its hot keys. */
void control_send_load(struct control *control);

/** Sends the pending share requests and crash reports to assigners. */
void control_send_pending(struct control *control);

/**
 * Sends the batch of claims when it is due.
 *
 * @return when to call again at the latest, on the monotonic clock; INT64_MAX
 *         when no claim is waiting
 */
int64_t control_platform_tick(struct control *control, int64_t now_us);

/** Frees the batch that was not sent. The claims belong to the requests. */
void control_platform_stop(struct control *control);

#endif
