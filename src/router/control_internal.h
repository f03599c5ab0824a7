/**
 * Shared by control.c (loop and shutdown), control_links.c (assigners) and
 * control_platform.c (claims and orders to upstreams).
 */
#ifndef ROUTER_CONTROL_INTERNAL_H
#define ROUTER_CONTROL_INTERNAL_H

#include "operator/common_routes.h"
#include "operator/operator_server.h"
#include "platform/http_client.h"
#include "platform/table.h"
#include "router/control.h"
#include "wire/hub.h"

/** Assigners that a router links to at once. */
#define CONTROL_LINKS 3

enum shutdown_stage {
	SHUTDOWN_NONE,
	/** /ready fails, new connections are still answered. */
	SHUTDOWN_LEAVING,
	/** Nothing new; what runs ends. */
	SHUTDOWN_DRAINING,
	SHUTDOWN_DONE,
};

/** A linked assigner. */
struct assigner {
	struct link *link;
	struct sockaddr_in address;
	/** Its clock at its last heartbeat. */
	int64_t sent_us;
	/** When its last heartbeat came. */
	int64_t heard_us;
	uint64_t vms_version;
};

struct control {
	struct router *router;
	struct mailbox *mailbox;
	struct hub *hub;
	struct http_client *http;
	/** NULL without a platform's address. */
	struct table *table;
	struct operator_server *operator;
	struct operator_mount mounts[3];
	struct common_routes common;
	struct message wake;
	atomic_bool wake_sent;
	char *incarnation;
	int signal_fd;
	/** struct sockaddr_in, best first. */
	GArray *addresses;
	/** Index of the next address to try. */
	guint next_address;
	/** struct assigner, with a link. */
	GPtrArray *assigners;
	/** struct sockaddr_in, those that are kept. */
	GArray *kept;
	int64_t heartbeat_us;
	int64_t ask_us;
	int64_t load_us;
	int64_t relink_us;
	enum shutdown_stage stage;
	int64_t drain_us;
	/** The batch that takes claims; NULL when none waits. */
	struct claim_call *claims;
	/** Batches under way. */
	unsigned int claim_calls;
};

/** Connects to assigners. */
void control_links_start(struct control *control);

/** Sends what is due to assigners. */
void control_links_tick(struct control *control, int64_t now_us);

/** Frees what belongs to the links. */
void control_links_stop(struct control *control);

/** Asks for shares and tells of deaths, at once. */
void control_links_ask(struct control *control);

/** Sends the claims that are due. @return when the next are */
int64_t control_platform_tick(struct control *control, int64_t now_us);

/** Frees the batch that was not sent. */
void control_platform_stop(struct control *control);

#endif
