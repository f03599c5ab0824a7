/**
 * The leader's accounts of all customers with a quota. Times are seconds on one
 * clock, which the caller passes in.
 */
#ifndef CUSTOMERS_QUOTA_ACCOUNTS_H
#define CUSTOMERS_QUOTA_ACCOUNTS_H

#include "customers/customers.h"

struct quota_accounts;

/** Creates a leader's state; customers must outlive it. */
struct quota_accounts *quota_accounts_create(struct customers *customers);
/** Frees the state; NULL is allowed. */
void quota_accounts_destroy(struct quota_accounts *accounts);

/** Begins with empty accounts, because this VM begins to lead. */
void quota_accounts_begin(struct quota_accounts *accounts);

/** Charges what a VM reports of a customer. A customer that the configuration
 * lacks is ignored. */
void quota_accounts_charge(struct quota_accounts *accounts, uint32_t customer,
			   unsigned int sent, unsigned int wanted,
			   double now_s);

/**
 * Calls visit for each account that isn't well filled, with up to date figures.
 *
 * @param share as for quota_terms()
 */
void quota_accounts_each_listed(
	struct quota_accounts *accounts, double share, double now_s,
	void (*visit)(void *ctx, uint32_t customer,
		      const struct rate_account *account),
	void *ctx);

#endif
