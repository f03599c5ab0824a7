/**
 * Exchange between the VMs, through the leader, of the limits that upstreams
 * name and of what is sent to these upstreams.
 */
#ifndef ENTRY_LIMIT_EXCHANGE_H
#define ENTRY_LIMIT_EXCHANGE_H

#include "entry/roster.h"
#include "wire/entry.pb-c.h"

struct limit_exchange;

/** Creates an exchange without accounts; loop and roster must outlive it. */
struct limit_exchange *limit_exchange_create(const struct loop *loop,
					     struct roster *roster);
/** Frees an exchange; NULL is allowed. */
void limit_exchange_destroy(struct limit_exchange *exchange);

/**
 * Adds what this VM knows of limited upstreams to its report, and begins new
 * counts.
 *
 * @param loads limit_exchange_release_report() frees what is added
 */
void limit_exchange_fill_report(struct limit_exchange *exchange,
				VmLoads *loads);
void limit_exchange_release_report(VmLoads *loads);

/** As leader, applies a VM's report to the accounts. */
void limit_exchange_apply_report(struct limit_exchange *exchange,
				 const VmLoads *loads);

/**
 * As leader, adds all accounts to a message.
 *
 * @param loads limit_exchange_release_totals() frees what is added
 */
void limit_exchange_fill_totals(struct limit_exchange *exchange,
				LeaderLoads *loads);
void limit_exchange_release_totals(LeaderLoads *loads);

/** Applies the leader's accounts to the upstreams of this VM's roster. */
void limit_exchange_apply_totals(struct limit_exchange *exchange,
				 const LeaderLoads *loads);

/** Begins without accounts, because this VM begins to lead; takes over the
 * limits that other VMs know. */
void limit_exchange_begin(struct limit_exchange *exchange);

#endif
