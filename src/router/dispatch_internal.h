/**
 * Shared by dispatch.c (queue and flights) and dispatch_control.c (what the
 * control thread brings and asks).
 */
#ifndef ROUTER_DISPATCH_INTERNAL_H
#define ROUTER_DISPATCH_INTERNAL_H

#include <pthread.h>

#include "request/admission.h"
#include "router/dispatch.h"

/** A service with what the lock guards. */
struct service_state {
	struct dispatch_service shared;
	struct dispatch *dispatch;
	/** Name of the profile that its lanes belong to. */
	char *profile;
	uint32_t class;
	bool keyed;
	struct pool *pool;
	/** struct lane by the owner's id, "" for any upstream. */
	GHashTable *lanes;
	/** Suspects wait here for the fleet's one trial. */
	struct lane *trials;
	/** Until when this router may run a trial. */
	int64_t trial_until_us;
	int64_t trial_asked_us;
	bool trial_wanted;
	bool trial_running;
	struct hot_keys *hot;
	uint64_t requests;
	uint64_t map_epoch;
	/** uint64_t, requests by slice. */
	GArray *slices;
};

/** Requests that wait for the same thing. */
struct lane {
	struct service_state *service;
	uint32_t index;
	char *owner;
	bool trial;
};

struct report {
	struct poison_report report;
	char upstream[DISPATCH_ID_SIZE];
	char boot[DISPATCH_ID_SIZE];
};

struct dispatch {
	struct dispatch_options options;
	pthread_mutex_t lock;
	struct admission *admission;
	/** Class index + 1 by the profile's name. */
	GHashTable *classes;
	/** struct service_state by struct str. */
	GHashTable *services;
	struct poison *poison;
	/** struct report, not yet told. */
	GArray *reports;
	uint32_t seed;
};

/** Finds a lane or adds it; under the lock. */
struct lane *dispatch_lane(struct service_state *service, const char *owner,
			   bool trial);

/** Lets through what can go; under the lock. */
void dispatch_run(struct dispatch *dispatch, int64_t now_us);

/** Queues a report of a death; under the lock. */
void dispatch_report(struct dispatch *dispatch,
		     const struct poison_report *report);

#endif
