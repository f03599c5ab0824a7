/**
 * This VM among the system's others: who leads, which VMs are alive, who owns
 * which keys, and what is reported. The leader's work is done here when this
 * VM leads.
 */
#ifndef ENTRY_CLUSTER_H
#define ENTRY_CLUSTER_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "entry/orders.h"
#include "entry/settings.h"
#include "entry/table_watch.h"
#include "store/store.h"

struct cluster;

struct cluster_options {
	struct loop *loop;
	const struct entry_settings *settings;
	struct roster *roster;
	struct links *links;
	const struct protocol *protocol;
	struct store store;
	struct event_log *log;
	struct metrics *metrics;
	/** What is declared: the leader passes changes on. */
	struct table_watch *operator_rows;
	struct table_watch *upstream_rows;
	/** Whether upstreams and the configuration were read. */
	bool (*ready)(void *ctx);
	/** Owners of keys changed. */
	void (*keys_changed)(void *ctx);
	/** Another VM lost an upstream under a request. */
	void (*crashed)(void *ctx, uint64_t request, const char *upstream);
	void *ctx;
};

/** @param error AUBURN_ERROR_UNAVAILABLE */
struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error);
void cluster_destroy(struct cluster *cluster);

/** To be called every 50 ms or so. */
void cluster_tick(struct cluster *cluster);

/** Tells the others of an upstream lost under a request. */
void cluster_report_crash(struct cluster *cluster, uint64_t request,
			  const char *upstream);

/** Tells the others of changed rows, if this VM leads. */
void cluster_send_row_changes(struct cluster *cluster);

/** Stops leading, or trying to. */
void cluster_stop(struct cluster *cluster);

#endif
