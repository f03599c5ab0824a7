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

/** Creates an exchange without reports; loop and roster must outlive it. */
struct load_exchange *load_exchange_create(const struct loop *loop,
					   struct roster *roster);
/** Frees an exchange; NULL is allowed. */
void load_exchange_destroy(struct load_exchange *exchange);

/**
 * Builds this VM's load report: requests in flight, and the outcomes of
 * requests that ended since the last call.
 *
 * @return messages (UpstreamLoad); the caller frees the array
 */
GPtrArray *load_exchange_local_report(struct load_exchange *exchange);

/**
 * As leader, adds the outcomes in a VM's load report to the totals, and
 * replaces the numbers of the VM's requests in flight.
 *
 * @param vm name of the VM
 * @param loads the report, one message for each upstream
 */
void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const char *vm, UpstreamLoad *const *loads,
				   size_t count);

/** As leader, drops the requests in flight that a VM reported before it left.
 */
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
/** Frees a message of load_exchange_totals(). */
void leader_loads_free(LeaderLoads *loads);

/** Applies the leader's totals to the upstreams of this VM's roster. */
void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads);

#endif
