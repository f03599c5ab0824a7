/**
 * An assigner of a test, in the test's own process: it says what the test wants
 * and keeps count of what routers tell it.
 */
#ifndef CLUSTER_STUB_ASSIGNER_H
#define CLUSTER_STUB_ASSIGNER_H

#include <stdbool.h>
#include <stdint.h>

struct stub_assigner;

/** A VM as told to routers. */
struct stub_vm {
	const char *id;
	const char *service;
	const char *zone;
	/** "IPv4:port", for requests and for orders. */
	const char *address;
	bool leaving;
};

/** @return an assigner that listens; stub_assigner_stop() frees it */
struct stub_assigner *stub_assigner_start(void);

void stub_assigner_stop(struct stub_assigner *stub);

/** Where it listens: "IPv4:port". */
const char *stub_assigner_address(const struct stub_assigner *stub);

/** Settings told from now on; copied. */
void stub_assigner_settings(struct stub_assigner *stub, uint64_t version,
			    const char *json);

/** VMs told from now on, ended by one with a NULL id; texts are not copied. */
void stub_assigner_vms(struct stub_assigner *stub, const struct stub_vm *vms);

/** A map told from now on: one slice, owned by the VM, or by none (NULL). */
void stub_assigner_owner(struct stub_assigner *stub, const char *cell,
			 uint64_t epoch, const char *owner);

/** Whether its heartbeats vouch for the settings. */
void stub_assigner_fresh(struct stub_assigner *stub, bool fresh);

/** Concurrent requests that each ShareRequest is given. */
void stub_assigner_shares(struct stub_assigner *stub, uint32_t count);

/** Incarnation of the upstreams told from now on; not copied. */
void stub_assigner_boot(struct stub_assigner *stub, const char *boot);

/** Frames that came so far. */
unsigned int stub_assigner_stales(const struct stub_assigner *stub);
unsigned int stub_assigner_poisons(const struct stub_assigner *stub);
uint64_t stub_assigner_loads(const struct stub_assigner *stub);

#endif
