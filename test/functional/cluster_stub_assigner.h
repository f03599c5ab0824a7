/**
 * A stub assigner on a thread of the test process. It sends routers the state
 * that the test sets, and counts the messages that they send.
 */
#ifndef CLUSTER_STUB_ASSIGNER_H
#define CLUSTER_STUB_ASSIGNER_H

#include <stdbool.h>
#include <stdint.h>

/** A running stub assigner. Its functions may be called from any thread. */
struct stub_assigner;

/** A VM in the list that routers get. */
struct stub_vm {
	const char *id;
	const char *service;
	const char *zone;
	/** "IPv4:port", used for both requests and control calls. */
	const char *address;
	/** The VM is draining, so it must get no new requests. */
	bool leaving;
};

/** Returns a listening assigner; stub_assigner_stop() frees it. */
struct stub_assigner *stub_assigner_start(void);

void stub_assigner_stop(struct stub_assigner *stub);

/** Returns the "IPv4:port" on which the stub listens, owned by the stub. */
const char *stub_assigner_address(const struct stub_assigner *stub);

/** Sets the settings that routers get; json is copied. */
void stub_assigner_set_settings(struct stub_assigner *stub, uint64_t version,
				const char *json);

/** Sets the VM list that routers get, ended by a NULL id; its texts are not
 * copied. */
void stub_assigner_set_vms(struct stub_assigner *stub,
			   const struct stub_vm *vms);

/**
 * Sets a cell's owner map: one slice with all hashes.
 *
 * @param cell name of the service whose keys the cell holds
 * @param epoch version of the map; a router fetches it when it is higher than
 *        that of the map it has
 * @param owner id of the VM that owns the slice; NULL: none. Neither this text
 *        nor cell is copied.
 */
void stub_assigner_set_owner(struct stub_assigner *stub, const char *cell,
			     uint64_t epoch, const char *owner);

/** Sets whether heartbeats say that the settings are up to date. */
void stub_assigner_set_fresh(struct stub_assigner *stub, bool fresh);

/** Sets the number of concurrent requests that the reply to each ShareRequest
 * grants. */
void stub_assigner_set_shares(struct stub_assigner *stub, uint32_t count);

/** Sets the incarnation id of upstreams in granted shares; the text is not
 * copied. */
void stub_assigner_set_incarnation(struct stub_assigner *stub,
				   const char *boot);

/** Counts the Stale messages received: reports that the map is outdated. */
unsigned int stub_assigner_stale_count(const struct stub_assigner *stub);
/** Counts the Poison messages received: reports of requests that are presumed
 * to have crashed an upstream. */
unsigned int stub_assigner_poison_count(const struct stub_assigner *stub);
/** Sums up the requests in all load reports received. */
uint64_t stub_assigner_load_sum(const struct stub_assigner *stub);

#endif
