#include "customers/quota_accounts.h"

/* Time, in seconds, after which a VM that isn't heard counts as lost
 * (live_vms_timeout_s()). What it spent meanwhile was not charged. */
#define LOST_AFTER_S 2.0

struct quota_accounts {
	struct customers *customers;
	/** Share of the rates that the VMs which this VM hears may spend. */
	double share;
	/** Accounts (struct rate_account) by customer (struct customer). */
	GHashTable *accounts;
};

struct quota_accounts *quota_accounts_create(struct customers *customers)
{
	struct quota_accounts *accounts = g_new0(struct quota_accounts, 1);

	accounts->customers = customers;
	accounts->share = 1;
	accounts->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return accounts;
}

void quota_accounts_destroy(struct quota_accounts *accounts)
{
	if (!accounts)
		return;
	g_hash_table_destroy(accounts->accounts);
	g_free(accounts);
}

void quota_accounts_begin(struct quota_accounts *accounts)
{
	g_hash_table_remove_all(accounts->accounts);
	accounts->share = 1;
}

/* Returns a customer's account, up to date. A new one is empty: its customer
 * may have used up its burst just before. */
static struct rate_account *ensure_account(struct quota_accounts *accounts,
					   struct customer *customer,
					   const struct rate_terms *terms,
					   double now_s)
{
	struct rate_account *account =
		g_hash_table_lookup(accounts->accounts, customer);

	if (!account) {
		account = g_new0(struct rate_account, 1);
		g_hash_table_insert(accounts->accounts, customer, account);
	}
	rate_account_update(account, terms, now_s);
	return account;
}

static struct rate_terms terms_of(const struct quota_accounts *accounts,
				  const struct customer *customer)
{
	return quota_terms(&customer->quota.limit,
			   customers_quota_bounds(accounts->customers),
			   accounts->share);
}

void quota_accounts_charge(struct quota_accounts *accounts, uint32_t hash,
			   unsigned int sent, unsigned int wanted, double now_s)
{
	struct customer *customer = customers_find(accounts->customers, hash);
	struct rate_account *account;
	struct rate_terms terms;

	if (!customer || customer->quota.limit.per_s <= 0)
		return;
	terms = terms_of(accounts, customer);
	account = ensure_account(accounts, customer, &terms, now_s);
	rate_account_charge(account, &terms, sent, wanted, now_s);
}

/* A walk over the accounts. */
struct walk {
	struct quota_accounts *accounts;
	double now_s;
	/** Share of the VMs that were lost since the last walk. */
	double lost;
	void (*visit)(void *ctx, uint32_t customer,
		      const struct rate_account *account);
	void *ctx;
};

static void visit_customer(struct customer *customer, void *ctx)
{
	struct walk *walk = ctx;
	struct rate_account *account;
	struct rate_terms terms;

	if (!customer->configured || customer->quota.limit.per_s <= 0) {
		g_hash_table_remove(walk->accounts->accounts, customer);
		return;
	}
	terms = terms_of(walk->accounts, customer);
	account = ensure_account(walk->accounts, customer, &terms, walk->now_s);
	account->level -=
		customer->quota.limit.per_s * walk->lost * LOST_AFTER_S;
	if (!quota_account_is_full(account, &terms))
		walk->visit(walk->ctx, customer->hash, account);
}

void quota_accounts_each_listed(
	struct quota_accounts *accounts, double share, double now_s,
	void (*visit)(void *ctx, uint32_t customer,
		      const struct rate_account *account),
	void *ctx)
{
	struct walk walk = {
		.accounts = accounts,
		.now_s = now_s,
		.lost = MAX(accounts->share - share, 0),
		.visit = visit,
		.ctx = ctx,
	};

	accounts->share = share;
	customers_each(accounts->customers, visit_customer, &walk);
}
