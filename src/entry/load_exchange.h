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
 * Adds this VM's load to a report: requests in flight, and the outcomes of
 * requests that ended since the last call.
 *
 * @param out load_exchange_release_report() frees what is added
 */
void load_exchange_fill_report(struct load_exchange *exchange, VmLoads *out);
void load_exchange_release_report(VmLoads *out);

/**
 * As leader, adds the outcomes in a VM's load report to the totals, and
 * replaces the numbers of the VM's requests in flight.
 */
void load_exchange_apply_vm_report(struct load_exchange *exchange,
				   const VmLoads *report);

/** As leader, drops the requests in flight that a VM reported before it left.
 */
void load_exchange_remove_vm(struct load_exchange *exchange, const char *vm);

/**
 * As leader, builds the message with the totals of all VMs.
 *
 * @param outcomes whether to include the outcomes of requests since they were
 *        last included
 * @return the message, for which the caller sets the lease; freed with
 *         leader_loads_free()
 */
LeaderLoads *load_exchange_totals(struct load_exchange *exchange,
				  bool outcomes);
/** Frees a message of load_exchange_totals(). */
void leader_loads_free(LeaderLoads *loads);

/** Applies the leader's totals to the upstreams of this VM's roster. Has no
 * effect while this VM doesn't know the leader's numbers, for which its next
 * report asks. */
void load_exchange_apply_totals(struct load_exchange *exchange,
				const LeaderLoads *loads);

/** As leader, sets a message to the numbers of upstreams; it refers to the
 * exchange. */
void load_exchange_fill_index(const struct load_exchange *exchange,
			      LoadIndex *out);

/** Applies the leader's numbers of upstreams. */
void load_exchange_apply_index(struct load_exchange *exchange,
			       const LoadIndex *message);

#endif
