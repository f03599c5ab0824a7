/**
 * Checks that the upstreams that remain after a change of the settings can
 * carry the current load.
 */
#ifndef MEMBERSHIP_CAPACITY_H
#define MEMBERSHIP_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "profile/profile_defs.h"

/** Share of the remaining slots that the current load may use, in percent. */
#define CAPACITY_USE_PERCENT 80

/** Slots and load of one upstream. */
struct capacity_vm {
	const char *id;
	const char *service;
	const char *zone;
	/** Requests that the upstream can run at once. */
	uint32_t slots;
	/** Running and queued requests, as a moving average. */
	double load;
	/** Whether the upstream takes new requests at present. The slots and
	 * the load of an upstream that doesn't are not counted. */
	bool live;
};

/**
 * Checks for each service of the settings that its load fits into
 * CAPACITY_USE_PERCENT of the slots of the live upstreams that are not taken
 * out of service. Services without a live upstream pass.
 *
 * @param after settings with the change
 * @param why set when false is returned: a text that names the service, its
 *        load and the slots that would remain; freed with g_free()
 * @return whether every service fits
 */
bool capacity_fits(const struct capacity_vm *vms, size_t count,
		   const struct settings *after, char **why);

#endif
