/**
 * Settings in force as plain data: profiles, services, zones and VMs taken
 * out. Built and checked by profile/settings.c; readers don't change it.
 */
#ifndef PROFILE_PROFILE_DEFS_H
#define PROFILE_PROFILE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How one kind of traffic is treated. */
struct profile {
	char *name;
	/** Share of an overloaded service against other profiles; 1-1000. */
	uint32_t weight;
	/** 0 goes first; 9 waits for all others, but never forever. */
	uint32_t priority;
	/** From arrival to the answer's first byte, in microseconds. */
	int64_t deadline_us;
	/** Requests that may wait in one router. */
	uint32_t queue_limit;
	/** Longest time without progress of a transfer, in microseconds. */
	int64_t stall_us;
	/** Retries as a share of successes, in percent. */
	uint32_t retry_percent;
	/** Largest request body, in bytes. */
	uint64_t body_limit;
	/** Running it twice does no harm. */
	bool idempotent;
	/** Work with an idempotency key is claimed before it is sent. */
	bool once;
	/** A second copy may be sent to another upstream. */
	bool hedge;
};

/** A kind of request and the upstreams that run it. */
struct service {
	char *name;
	char *tenant;
	/** Each key is served by its one owner only. */
	bool keyed;
	const struct profile *profile;
};

/** What is remembered of a version that was published lately. */
struct settings_entry {
	uint64_t version;
	/** The publisher's own id of this write, to resolve a lost answer. */
	char *attempt;
	char *author;
	char *note;
	/** Seconds since 1970-01-01 UTC by the publisher's wall clock. */
	int64_t published_s;
};

/** One version of the settings. */
struct settings {
	uint64_t version;
	char *deployment;
	/** The last versions up to this one, oldest first. */
	struct settings_entry *recent;
	size_t recent_count;
	struct profile *profiles;
	size_t profile_count;
	struct service *services;
	size_t service_count;
	char **zones;
	size_t zone_count;
	/** Zones and VMs that get no new work. */
	char **zones_out;
	size_t zones_out_count;
	char **vms_out;
	size_t vms_out_count;
};

#endif
