/**
 * An upstream's VM: the platform's entry and what its replies add.
 */
#ifndef MEMBERSHIP_VM_DEFS_H
#define MEMBERSHIP_VM_DEFS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** A VM, and what is known of the upstream that runs on it. */
struct vm {
	char *id;
	/** Name of the service that the upstream runs. */
	char *service;
	/** Name of the availability zone that the VM is in. */
	char *zone;
	/** Address for requests. */
	struct sockaddr_in address;
	/** Address for control orders. */
	struct sockaddr_in control;
	/** The platform's list or the VM itself says that it is draining. */
	bool leaving;
	/** The VM rejects requests for keys that it has no grant for. */
	bool fences;
	/** Incarnation of the upstream in its last reply, which changes when
	 * the upstream restarts; "" when unknown. */
	char *boot;
	/** Limit of concurrent requests from all routers together; 0: none. */
	uint32_t limit;
};

#endif
