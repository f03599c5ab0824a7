/**
 * A stub assigner on a thread of the test process. It sends routers the state
 * that the test sets, and counts the messages that they send.
 */
#ifndef CLUSTER_STUB_ASSIGNER_H
#define CLUSTER_STUB_ASSIGNER_H

#include <stdbool.h>
#include <stdint.h>

struct stub_assigner;

/** A VM in the list that routers get. */
struct stub_vm {
	const char *id;
	const char *service;
	const char *zone;
	/** "IPv4:port", used for both requests and control calls. */
	const char *address;
	bool leaving;
};

/** @return a listening assigner; stub_assigner_stop() frees it */
struct stub_assigner *stub_assigner_start(void);

void stub_assigner_stop(struct stub_assigner *stub);

/** Returns the "IPv4:port" on which the stub listens, owned by the stub. */
const char *stub_assigner_address(const struct stub_assigner *stub);

/** Sets the settings that routers get; json is copied. */
void stub_assigner_set_settings(struct stub_assigner *stub, uint64_t version,
				const char *json);

/** Sets the VM list, ended by a NULL id; texts are not copied. */
void stub_assigner_set_vms(struct stub_assigner *stub,
			   const struct stub_vm *vms);

/**
 * Sets a cell's owner map: one slice with all hashes.
 *
 * @param owner id of the VM that owns it; NULL: no owner. Texts are not copied.
 */
void stub_assigner_set_owner(struct stub_assigner *stub, const char *cell,
			     uint64_t epoch, const char *owner);

/** Sets whether heartbeats say that the settings are up to date. */
void stub_assigner_set_fresh(struct stub_assigner *stub, bool fresh);

/** Sets the number of concurrent requests granted to each ShareRequest. */
void stub_assigner_set_shares(struct stub_assigner *stub, uint32_t count);

/** Sets the incarnation of upstreams in granted shares; not copied. */
void stub_assigner_set_incarnation(struct stub_assigner *stub,
				   const char *boot);

/** Counts the Stale messages received: reports that the map is outdated. */
unsigned int stub_assigner_stale_count(const struct stub_assigner *stub);
/** Counts the Poison messages received: reports of requests that crash an
 * upstream. */
unsigned int stub_assigner_poison_count(const struct stub_assigner *stub);
/** Sums up the requests in all load reports received. */
uint64_t stub_assigner_load_sum(const struct stub_assigner *stub);

#endif
