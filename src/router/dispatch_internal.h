/**
 * Internals of the dispatcher, shared by dispatch.c (queue and in-flight
 * requests, for workers) and dispatch_control.c (updates and reports, for the
 * control thread).
 */
#ifndef ROUTER_DISPATCH_INTERNAL_H
#define ROUTER_DISPATCH_INTERNAL_H

#include <pthread.h>

#include "request/admission.h"
#include "router/dispatch.h"

/** A service with the state that the dispatcher's lock guards. */
struct service_state {
	/** Must be first: state_of() casts from this field to the struct. */
	struct dispatch_service shared;
	struct dispatch *dispatch;
	/** Name of the profile that the service's lanes belong to. */
	char *profile;
	/** Index of the profile's admission class. */
	uint32_t class;
	bool keyed;
	struct pool *pool;
	/** struct lane by the id of the upstream that owns the keys, "" for
	 * requests that any upstream may run. */
	GHashTable *lanes;
	/** Lane of requests suspected of crashing upstreams. All routers
	 * together run one of them at a time. NULL until the first. */
	struct lane *trial_lane;
	/** Time until which this router holds the share that allows a trial. */
	int64_t trial_until_us;
	/** When that share was last requested. */
	int64_t trial_requested_us;
	/** A trial waits for the share, which is yet to be requested. */
	bool trial_wanted;
	bool trial_running;
	/** Hot keys since the last load report. */
	struct hot_keys *hot;
	/** Requests since the last load report. */
	uint64_t requests;
	/** Epoch of the owner map that slices refers to. */
	uint64_t map_epoch;
	/** uint64_t, requests since the last load report by slice of that map.
	 */
	GArray *slices;
};

/** A queue of requests that wait for the same upstream, or for any. */
struct lane {
	struct service_state *service;
	/** Index of the lane in the admission queue. */
	uint32_t index;
	/** Id of the upstream that the requests need; "" for any. */
	char *owner;
	/** The requests are suspected of crashing upstreams. */
	bool trial;
};

/** A crash report to send, with copies of the strings that it refers to. */
struct queued_report {
	struct poison_report report;
	char upstream[DISPATCH_ID_SIZE];
	char boot[DISPATCH_ID_SIZE];
};

struct dispatch {
	struct dispatch_options options;
	pthread_mutex_t lock;
	struct admission *admission;
	/** Admission class index + 1, by the profile's name. */
	GHashTable *classes;
	/** struct service_state by the service's name, a struct str. */
	GHashTable *services;
	/** The crashes of upstreams known to this router, by request. */
	struct poison *poison;
	/** struct queued_report, not yet sent to assigners. */
	GArray *reports;
	/** Seed of the next pool's random choices. */
	uint32_t seed;
};

/** Returns a service's lane, added when missing. Call under the lock. */
struct lane *dispatch_find_lane(struct service_state *service,
				const char *owner, bool trial);

/** Admits every queued request that can run now. Call under the lock. */
void dispatch_admit(struct dispatch *dispatch, int64_t now_us);

/** Queues a crash report for the assigners. Call under the lock. */
void dispatch_queue_report(struct dispatch *dispatch,
			   const struct poison_report *report);

#endif
