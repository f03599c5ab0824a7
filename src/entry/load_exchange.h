/**
 * What VMs tell each other of upstreams' load by way of the leader: requests in
 * flight, how fast answers come, failures. A VM alone sees few answers of each
 * upstream; all together see all.
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
 * Lists what happened on this VM since the last call.
 *
 * @return messages of UpstreamLoad; the caller frees the array
 */
GPtrArray *load_exchange_local_report(struct load_exchange *exchange);

/** The leader takes a VM's list. */
void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const char *vm, UpstreamLoad *const *loads,
				   size_t count);

/** The leader forgets a VM. */
void load_exchange_remove_vm(struct load_exchange *exchange, const char *vm);

/**
 * Lists what all VMs together told the leader.
 *
 * @param outcomes also what ended since they were last asked for
 * @return a message but for the lease; freed with leader_loads_free()
 */
LeaderLoads *load_exchange_totals(struct load_exchange *exchange,
				  bool outcomes);
void leader_loads_free(LeaderLoads *loads);

/** A VM takes the leader's list. */
void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads);

#endif
