/**
 * Exchange between the VMs, through the leader, of what customers' quotas allow
 * and of what is sent.
 */
#ifndef ENTRY_QUOTA_EXCHANGE_H
#define ENTRY_QUOTA_EXCHANGE_H

#include "customers/customers.h"
#include "net/loop.h"
#include "wire/entry.pb-c.h"

struct quota_exchange;

/** Creates an exchange; loop and customers must outlive it. */
struct quota_exchange *quota_exchange_create(const struct loop *loop,
					     struct customers *customers);
/** Frees an exchange; NULL is allowed. */
void quota_exchange_destroy(struct quota_exchange *exchange);

/**
 * Adds what this VM sent to its report, and begins new counts.
 *
 * @param loads quota_exchange_release_report() frees what is added
 */
void quota_exchange_fill_report(struct quota_exchange *exchange,
				VmLoads *loads);
void quota_exchange_release_report(VmLoads *loads);

/** As leader, applies a VM's report to the accounts. */
void quota_exchange_apply_report(struct quota_exchange *exchange,
				 const VmLoads *loads);

/**
 * As leader, adds the accounts that aren't well filled to a message.
 *
 * @param vms number of VMs that the leader hears, with itself
 * @param loads quota_exchange_release_totals() frees what is added
 */
void quota_exchange_fill_totals(struct quota_exchange *exchange,
				unsigned int vms, LeaderLoads *loads);
void quota_exchange_release_totals(LeaderLoads *loads);

/** Applies the leader's accounts.
 *
 * @param interval_s time between two such messages */
void quota_exchange_apply_totals(struct quota_exchange *exchange,
				 const LeaderLoads *loads, double interval_s);

/** Begins without accounts, because this VM begins to lead.
 *
 * @param vms number of VMs that the previous leader heard */
void quota_exchange_begin(struct quota_exchange *exchange, unsigned int vms);

/** As leader, records that a VM is no longer heard, or is heard or stops. */
void quota_exchange_vm_lost(struct quota_exchange *exchange, const char *name);
void quota_exchange_vm_known(struct quota_exchange *exchange, const char *name);

#endif
