/**
 * This VM's part in the cluster of VMs: the leader lease, the set of live VMs,
 * the owners of keys, and reports to the leader. While this VM holds the lease,
 * it also does the leader's work.
 */
#ifndef ENTRY_CLUSTER_H
#define ENTRY_CLUSTER_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "customers/customers.h"
#include "entry/crash_exchange.h"
#include "entry/orders.h"
#include "entry/settings.h"
#include "entry/table_watch.h"
#include "entry/watch_status.h"
#include "store/store.h"

struct cluster;

/** What the pointers refer to must outlive the cluster. */
struct cluster_options {
	struct loop *loop;
	const struct entry_settings *settings;
	struct roster *roster;
	struct links *links;
	const struct protocol *protocol;
	struct store store;
	struct event_log *log;
	struct metrics *metrics;
	/**
	 * Watches of the operator table and the upstream table, whose changes
	 * the leader relays.
	 */
	struct table_watch *operator_rows;
	struct table_watch *upstream_rows;
	/** Whether the upstreams and the configuration have been loaded. */
	bool (*roster_loaded)(void *ctx);
	/** Called when the owners of keys or the loads of upstreams changed, so
	 * that queued requests can be routed anew. */
	void (*routing_changed)(void *ctx);
	/** Requests that are blamed for crashes of upstreams. */
	struct crash_watch *crashes;
	/** Gets to know what other VMs say about the configuration's age. */
	struct customers *customers;
	/** Gets to know what they say about the age of both tables. */
	struct watch_status *status;
	void *ctx;
};

/**
 * Opens the datagram socket and joins the cluster. Its work is done by
 * cluster_tick() and by the event loop.
 *
 * @param options copied
 * @param error set to AUBURN_ERROR_UNAVAILABLE when the socket can't be opened
 * @return the cluster, or NULL; freed with cluster_destroy()
 */
struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error);
/** Closes the socket and frees the cluster; NULL is allowed. The lease is not
 * given up: see cluster_stop(). */
void cluster_destroy(struct cluster *cluster);

/** Sends this VM's next report early: it has news for the leader. */
void cluster_report_soon(struct cluster *cluster);

/**
 * Renews or competes for the lease, sends reports and heartbeats that are due,
 * and, as leader, assigns keys. Must be called about every 50 ms.
 */
void cluster_tick(struct cluster *cluster);

/** Sets the gauges of the lease, before metrics are rendered. */
void cluster_update_metrics(struct cluster *cluster);

/** Returns the part that tells the other VMs of requests that crash upstreams;
 * owned by the cluster. */
struct crash_exchange *cluster_crash_exchange(struct cluster *cluster);

/** If this VM leads, schedules a heartbeat that relays the recent changes of
 * both tables to the other VMs. */
void cluster_send_row_changes(struct cluster *cluster);

/**
 * Gives up the lease, or stops competing for it, and reports that this VM
 * stops.
 */
void cluster_stop(struct cluster *cluster);

#endif
