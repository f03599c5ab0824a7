/**
 * Services and upstreams as this VM knows them: what operators and upstreams
 * declared, and what was seen of each upstream's load. One thread owns it.
 */
#ifndef ENTRY_ROSTER_H
#define ENTRY_ROSTER_H

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
	double remove_at_s;
	/** Idle connections, last used first. */
	GQueue idle;
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
	double keys_updated_s;
	/** Keys requested since the last report to the leader. */
	GArray *requested_keys;
};

struct roster_ops {
	/** Idle connections of an upstream are to be closed. */
	void (*close_idle)(void *ctx, struct upstream *upstream);
	/** Upstreams, zones or the configuration changed. */
	void (*changed)(void *ctx);
};

struct roster;

struct roster *roster_create(const struct loop *loop,
			     const struct entry_settings *settings,
			     const struct roster_ops *ops, void *ctx);
void roster_destroy(struct roster *roster);

/** The configuration in force, or NULL. */
const struct config *roster_config(const struct roster *roster);

/** Takes over a newer configuration. @return false: it is not newer */
bool roster_set_config(struct roster *roster, struct config *config);

/** Adds or changes an upstream; takes over the entry's contents. */
void roster_put_upstream(struct roster *roster, struct upstream_entry *entry);

/** Removes an upstream; after remove_at_s it is gone, unless its entry is back.
 */
void roster_remove_upstream(struct roster *roster, const char *id,
			    double remove_at_s);

/** Removes upstreams whose entries did not come back in time. */
void roster_tick(struct roster *roster);

/** Takes a zone out, or back in. */
void roster_set_zone_out(struct roster *roster, const char *zone, bool out);
bool roster_zone_is_out(const struct roster *roster, const char *zone);

struct service *roster_service(const struct roster *roster, const char *name);
struct upstream *roster_upstream(const struct roster *roster, const char *id);

/** Calls visit for each service. */
void roster_each_service(struct roster *roster,
			 void (*visit)(struct service *service, void *ctx),
			 void *ctx);

/** Calls visit for each id that is listed. */
void roster_each_upstream(struct roster *roster,
			  void (*visit)(struct upstream *upstream, void *ctx),
			  void *ctx);

/** Sets how many VMs of the system are alive, this one among them. */
void roster_set_vms(struct roster *roster, unsigned int vms,
		    const char **names);
unsigned int roster_vms(const struct roster *roster);

/** Interval of messages about load: it grows with the number of VMs, so that
 * the leader's work does not. */
double roster_load_interval_s(const struct roster *roster);

/** Whether an upstream gets new work at all. */
bool upstream_takes_work(const struct roster *roster,
			 const struct upstream *upstream);

/** Whether an owner may still get requests for its keys. */
bool upstream_serves_keys(const struct roster *roster,
			  const struct upstream *upstream);

/**
 * Whether an upstream, if it is cold, bears a request of this VM now. A few
 * VMs, the same in the eyes of all, share its rate.
 */
bool upstream_cold_admits(const struct roster *roster,
			  const struct upstream *upstream);

/** Notes a request to a cold upstream. */
void upstream_cold_sent(const struct roster *roster, struct upstream *upstream);

/** Connections that this VM may have to an upstream. */
unsigned int upstream_connection_limit(const struct roster *roster,
				       const struct upstream *upstream);

struct upstream *upstream_ref(struct upstream *upstream);
void upstream_unref(struct upstream *upstream);

#endif
