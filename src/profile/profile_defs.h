/**
 * The data of one version of the settings: profiles, services, zones, and
 * which zones and VMs are out of service. Built and checked by
 * profile/settings.c; everyone else only reads it.
 */
#ifndef PROFILE_PROFILE_DEFS_H
#define PROFILE_PROFILE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Limits and retry rules for one kind of traffic; services refer to it. */
struct profile {
	char *name;
	/**
	 * Share of an overloaded service, in proportion to the weights of
	 * the other profiles, 1-1000.
	 */
	uint32_t weight;
	/**
	 * Requests of priority 0 are sent first, those of 9 last; none is
	 * starved.
	 */
	uint32_t priority;
	/** Longest time from a request's arrival to its answer's first byte. */
	int64_t deadline_us;
	/** Most requests that one router queues. */
	uint32_t queue_limit;
	/** A transfer without progress for this long is aborted. */
	int64_t stall_us;
	/** Retry budget, in percent of successful requests. */
	uint32_t retry_percent;
	/** Largest request body, in bytes. */
	uint64_t body_limit;
	/** A request may be run twice without harm. */
	bool idempotent;
	/**
	 * A request with an idempotency key is claimed before it is sent, so
	 * that it is run once.
	 */
	bool once;
	/** A backup copy of a slow request may go to another upstream. */
	bool hedge;
};

/** A service of a customer, which upstreams run. */
struct service {
	char *name;
	/** Name of the customer that the service belongs to. */
	char *tenant;
	/** Each key is served only by the upstream that owns it. */
	bool keyed;
	const struct profile *profile;
};

/** History entry of one recently published version. */
struct settings_entry {
	uint64_t version;
	/**
	 * Unique id of the change. A publisher that got no answer to its write
	 * finds by this id whether the change was written.
	 */
	char *attempt;
	/** Name that the operator gave with the change. */
	char *author;
	/** Reason that the operator gave for the change. */
	char *note;
	/**
	 * Time of publication by the publisher's wall clock, in seconds since
	 * 1970-01-01 UTC.
	 */
	int64_t published_s;
};

/** One version of the settings. */
struct settings {
	/** 1 for the first published version; 0 before publication. */
	uint64_t version;
	/** Name of the deployment that the settings are for. */
	char *deployment;
	/**
	 * History entries of the last versions, this one included, oldest
	 * first.
	 */
	struct settings_entry *recent;
	size_t recent_count;
	struct profile *profiles;
	size_t profile_count;
	struct service *services;
	size_t service_count;
	char **zones;
	size_t zone_count;
	/** Zones out of service: their VMs get no new requests. */
	char **zones_out;
	size_t zones_out_count;
	/** Ids of VMs out of service. */
	char **vms_out;
	size_t vms_out_count;
};

#endif
