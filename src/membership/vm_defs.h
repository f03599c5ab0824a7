/**
 * An upstream's VM as the platform lists it and as the system sees it.
 */
#ifndef MEMBERSHIP_VM_DEFS_H
#define MEMBERSHIP_VM_DEFS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

struct vm {
	char *id;
	char *service;
	char *zone;
	/** Where requests go. */
	struct sockaddr_in address;
	/** Where orders go. */
	struct sockaddr_in control;
	/** The platform says that it leaves. */
	bool leaving;
	/** It checks grants. */
	bool fences;
	/** Incarnation last seen; "" when unknown. */
	char *boot;
	/** Concurrent requests of the whole fleet; 0: no limit. */
	uint32_t limit;
};

#endif
