/**
 * Services and upstreams as this VM knows them: what operators and upstreams
 * declared, and what was seen of each upstream's load. One thread owns it.
 */
#ifndef ENTRY_FLEET_H
#define ENTRY_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "balance/load.h"
#include "balance/retry_window.h"
#include "directory/directory_defs.h"
#include "entry/settings.h"
#include "keys/key_map.h"
#include "net/loop.h"

struct service;

struct upstream {
	struct upstream_entry entry;
	struct service *service;
	struct load load;
	/** It is cold until then. */
	double cold_until_s;
	/** Earliest next request of this VM while it is cold. */
	double cold_next_s;
	/** Since when it is leaving; 0: it isn't. */
	double leaving_since_s;
	/** Another incarnation was met at its address. */
	bool replaced;
	/** Removed: it gets no new work; it is freed with its last user. */
	bool gone;
	/** The entry lapsed: it is gone then, unless the entry is back. */
	double lapse_s;
	/** Idle connections, last used first. */
	GQueue idle;
	/** Those for orders. */
	GQueue control_idle;
	unsigned int connections;
	unsigned int references;
};

struct service {
	char *name;
	struct service_config config;
	bool configured;
	/** Of struct upstream, in no order. */
	GPtrArray *upstreams;
	/** Requests that wait for an upstream. */
	GQueue waiting;
	struct retry_window retries;
	/** Owners of keys; nobody's when the service has none. */
	struct key_map *keys;
	/** When the owners were told. */
	double keys_told_s;
	/** Keys requested since the last report to the leader. */
	GArray *requested_keys;
};

struct fleet_ops {
	/** Idle connections of an upstream are to be closed. */
	void (*close_idle)(void *ctx, struct upstream *upstream);
	/** Upstreams, zones or the configuration changed. */
	void (*changed)(void *ctx);
};

struct fleet;

struct fleet *fleet_create(const struct loop *loop,
			   const struct entry_settings *settings,
			   const struct fleet_ops *ops, void *ctx);
void fleet_destroy(struct fleet *fleet);

/** The configuration in force, or NULL. */
const struct config *fleet_config(const struct fleet *fleet);

/** Takes over a newer configuration. @return false: it is not newer */
bool fleet_set_config(struct fleet *fleet, struct config *config);

/** Adds or changes an upstream; takes over the entry's contents. */
void fleet_put_upstream(struct fleet *fleet, struct upstream_entry *entry);

/** Removes an upstream; after lapse_s it is gone, unless its entry is back. */
void fleet_remove_upstream(struct fleet *fleet, const char *id, double lapse_s);

/** Removes upstreams whose entries did not come back in time. */
void fleet_tick(struct fleet *fleet);

/** Takes a zone out, or back in. */
void fleet_set_zone_out(struct fleet *fleet, const char *zone, bool out);
bool fleet_zone_is_out(const struct fleet *fleet, const char *zone);

struct service *fleet_service(const struct fleet *fleet, const char *name);
struct upstream *fleet_upstream(const struct fleet *fleet, const char *id);

/** Calls visit for each service. */
void fleet_each_service(struct fleet *fleet,
			void (*visit)(struct service *service, void *ctx),
			void *ctx);

/** Calls visit for each id that is listed. */
void fleet_each_upstream(struct fleet *fleet,
			 void (*visit)(struct upstream *upstream, void *ctx),
			 void *ctx);

/** Sets how many VMs of the system are alive, this one among them. */
void fleet_set_vms(struct fleet *fleet, unsigned int vms, const char **names);
unsigned int fleet_vms(const struct fleet *fleet);

/** Whether an upstream gets new work at all. */
bool upstream_takes_work(const struct fleet *fleet,
			 const struct upstream *upstream);

/** Whether an owner may still get requests for its keys. */
bool upstream_serves_keys(const struct fleet *fleet,
			  const struct upstream *upstream);

/**
 * Whether an upstream, if it is cold, bears a request of this VM now. A few
 * VMs, the same in the eyes of all, share its rate.
 */
bool upstream_cold_admits(const struct fleet *fleet,
			  const struct upstream *upstream);

/** Notes a request to a cold upstream. */
void upstream_cold_sent(const struct fleet *fleet, struct upstream *upstream);

/** Connections that this VM may have to an upstream. */
unsigned int upstream_connection_limit(const struct fleet *fleet,
				       const struct upstream *upstream);

struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);

#endif
