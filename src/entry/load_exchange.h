/**
 * Exchange of load reports about upstreams between the VMs, through the leader:
 * requests in flight, response times and failures. One VM alone sees few
 * answers of each upstream; all VMs together see all of them.
 */
#ifndef ENTRY_LOAD_EXCHANGE_H
#define ENTRY_LOAD_EXCHANGE_H

#include "entry/roster.h"
#include "wire/entry.pb-c.h"

struct load_exchange;

struct load_exchange *load_exchange_create(const struct loop *loop,
					   struct roster *roster);
void load_exchange_destroy(struct load_exchange *exchange);

/**
 * Builds this VM's load report: requests in flight, and what ended since the
 * last call.
 *
 * @return messages (UpstreamLoad); the caller frees the array
 */
GPtrArray *load_exchange_local_report(struct load_exchange *exchange);

/**
 * As leader, adds the outcomes in a VM's load report to the totals, and
 * replaces the VM's requests in flight.
 */
void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const char *vm, UpstreamLoad *const *loads,
				   size_t count);

/** As leader, drops the requests in flight of a VM that left. */
void load_exchange_remove_vm(struct load_exchange *exchange, const char *vm);

/**
 * As leader, builds the message with the totals of all VMs.
 *
 * @param outcomes whether to include the outcomes of requests since they were
 *        last included
 * @return the message, for which the caller sets the lease; freed with
 *        leader_loads_free()
 */
LeaderLoads *load_exchange_totals(struct load_exchange *exchange,
				  bool outcomes);
void leader_loads_free(LeaderLoads *loads);

/** Applies the leader's totals to the upstreams of this VM's roster. */
void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads);

#endif
