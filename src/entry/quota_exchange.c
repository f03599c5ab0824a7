#include "entry/quota_exchange.h"

#include <math.h>

#include "customers/lost_vms.h"
#include "customers/quota_accounts.h"

/* Unit of the levels and rates in messages. */
#define TENTHS 10.0

struct quota_exchange {
	const struct loop *loop;
	struct customers *customers;
	/** As leader: the accounts, and the VMs that it no longer hears. */
	struct quota_accounts *accounts;
	struct lost_vms *lost;
};

struct quota_exchange *quota_exchange_create(const struct loop *loop,
					     struct customers *customers)
{
	struct quota_exchange *exchange = g_new0(struct quota_exchange, 1);

	exchange->loop = loop;
	exchange->customers = customers;
	exchange->accounts = quota_accounts_create(customers);
	exchange->lost = lost_vms_create();
	return exchange;
}

void quota_exchange_destroy(struct quota_exchange *exchange)
{
	if (!exchange)
		return;
	quota_accounts_destroy(exchange->accounts);
	lost_vms_destroy(exchange->lost);
	g_free(exchange);
}

void quota_exchange_begin(struct quota_exchange *exchange, unsigned int vms)
{
	unsigned int shared = customers_quota_vms(exchange->customers);
	double now = loop_now(exchange->loop);

	quota_accounts_begin(exchange->accounts);
	lost_vms_begin(exchange->lost, shared > vms ? shared - vms : 0, now);
}

void quota_exchange_vm_lost(struct quota_exchange *exchange, const char *name)
{
	lost_vms_add(exchange->lost, name, loop_now(exchange->loop));
}

void quota_exchange_vm_known(struct quota_exchange *exchange, const char *name)
{
	lost_vms_remove(exchange->lost, name);
}

/* Columns of the customers in a message. */
struct columns {
	GArray *customers;
	/** uint32_t or int32_t each. */
	GArray *first, *second;
};

static struct columns columns_create(void)
{
	return (struct columns){
		.customers = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.first = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
		.second = g_array_new(FALSE, FALSE, sizeof(uint32_t)),
	};
}

/* Ends an array and returns its content, which the caller frees. */
static void *take(GArray *array)
{
	return g_array_free(array, FALSE);
}

/* Appends a customer with requests since the last report. */
static void add_report(struct customer *customer, void *ctx)
{
	struct columns *columns = ctx;
	struct quota *quota = &customer->quota;

	if (quota->limit.per_s > 0 &&
	    (quota->unreported_sent || quota->unreported_wanted)) {
		uint32_t sent = quota->unreported_sent;
		uint32_t wanted = quota->unreported_wanted;

		g_array_append_val(columns->customers, customer->hash);
		g_array_append_val(columns->first, sent);
		g_array_append_val(columns->second, wanted);
	}
	quota->unreported_sent = 0;
	quota->unreported_wanted = 0;
}

void quota_exchange_fill_report(struct quota_exchange *exchange, VmLoads *loads)
{
	struct columns columns = columns_create();

	customers_each(exchange->customers, add_report, &columns);
	loads->n_quota_customers = columns.customers->len;
	loads->n_quota_sent = columns.customers->len;
	loads->n_quota_wanted = columns.customers->len;
	loads->quota_customers = take(columns.customers);
	loads->quota_sent = take(columns.first);
	loads->quota_wanted = take(columns.second);
}

void quota_exchange_release_report(VmLoads *loads)
{
	g_free(loads->quota_customers);
	g_free(loads->quota_sent);
	g_free(loads->quota_wanted);
}

void quota_exchange_apply_report(struct quota_exchange *exchange,
				 const VmLoads *loads)
{
	double now = loop_now(exchange->loop);
	size_t i;

	for (i = 0; i < loads->n_quota_customers && i < loads->n_quota_sent &&
		    i < loads->n_quota_wanted;
	     i++)
		quota_accounts_charge(
			exchange->accounts, loads->quota_customers[i],
			loads->quota_sent[i], loads->quota_wanted[i], now);
}

/* Appends an account to a message. */
static void add_account(void *ctx, uint32_t customer,
			const struct rate_account *account)
{
	struct columns *columns = ctx;
	int32_t level = (int32_t)fmax(fmin(account->level * TENTHS, INT32_MAX),
				      INT32_MIN);
	uint32_t wanted =
		(uint32_t)fmin(account->wanted_per_s * TENTHS, UINT32_MAX);

	g_array_append_val(columns->customers, customer);
	g_array_append_val(columns->first, level);
	g_array_append_val(columns->second, wanted);
}

void quota_exchange_fill_totals(struct quota_exchange *exchange,
				unsigned int vms, LeaderLoads *loads)
{
	double now = loop_now(exchange->loop);
	unsigned int shared = vms + lost_vms_count(exchange->lost, now);
	struct columns columns;

	if (!customers_required(exchange->customers) || !vms)
		return;
	columns = columns_create();
	quota_accounts_each_listed(exchange->accounts, vms / (double)shared,
				   now, add_account, &columns);
	loads->quota_vms = shared;
	loads->n_quota_customers = columns.customers->len;
	loads->n_quota_levels = columns.customers->len;
	loads->n_quota_wanted = columns.customers->len;
	loads->quota_customers = take(columns.customers);
	loads->quota_levels = take(columns.first);
	loads->quota_wanted = take(columns.second);
}

void quota_exchange_release_totals(LeaderLoads *loads)
{
	g_free(loads->quota_customers);
	g_free(loads->quota_levels);
	g_free(loads->quota_wanted);
}

void quota_exchange_apply_totals(struct quota_exchange *exchange,
				 const LeaderLoads *loads, double interval_s)
{
	const struct quota_news news = {
		.term = loads->term,
		.vms = loads->quota_vms,
		.interval_s = interval_s,
	};
	size_t i;

	if (!loads->quota_vms)
		return;
	customers_apply_accounts(exchange->customers, &news,
				 loop_now(exchange->loop));
	for (i = 0; i < loads->n_quota_customers && i < loads->n_quota_levels &&
		    i < loads->n_quota_wanted;
	     i++) {
		struct rate_account account = {
			.level = loads->quota_levels[i] / TENTHS,
			.wanted_per_s = loads->quota_wanted[i] / TENTHS,
		};

		customers_apply_account(exchange->customers,
					loads->quota_customers[i], &account);
	}
}
