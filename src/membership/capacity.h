/**
 * Whether the upstreams that remain after a change carry today's load.
 */
#ifndef MEMBERSHIP_CAPACITY_H
#define MEMBERSHIP_CAPACITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "profile/profile_defs.h"

/** Share of the remaining slots that may be in use, in percent. */
#define CAPACITY_USE_PERCENT 80

/** What is known of one upstream. */
struct capacity_vm {
	const char *id;
	const char *service;
	const char *zone;
	/** Requests it runs at once. */
	uint32_t slots;
	/** Requests that it runs and that wait for it, averaged lately. */
	double running;
	/** Takes new work today. */
	bool live;
};

/**
 * Checks each service that the settings declare.
 *
 * @param after settings with the change
 * @param why set to a new text when it does not fit: names service, load and
 *        what would remain; freed with g_free()
 */
bool capacity_fits(const struct capacity_vm *vms, size_t count,
		   const struct settings *after, char **why);

#endif
