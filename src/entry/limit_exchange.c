#include "entry/limit_exchange.h"

#include <math.h>

#include "wire/message_list.h"

#define MILLI 1000.0
/* Time after this VM began to lead, in seconds, in which it takes over the
 * limits that the other VMs know from the previous leader. Later such a report
 * may be about a limit that has ended. */
#define INHERIT_S 2.0

struct limit_exchange {
	const struct loop *loop;
	struct roster *roster;
	/** As leader: accounts (struct limit_account) by the hash of the
	 * upstream's id. */
	GHashTable *accounts;
	/** As leader: until when accounts are created from what VMs know,
	 * without an answer that named the limit. */
	double inherit_until_s;
	/** At least one upstream of the roster had a limit when the last
	 * message was applied. */
	bool limited;
};

struct limit_exchange *limit_exchange_create(const struct loop *loop,
					     struct roster *roster)
{
	struct limit_exchange *exchange = g_new0(struct limit_exchange, 1);

	exchange->loop = loop;
	exchange->roster = roster;
	exchange->accounts = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return exchange;
}

void limit_exchange_destroy(struct limit_exchange *exchange)
{
	if (!exchange)
		return;
	g_hash_table_destroy(exchange->accounts);
	g_free(exchange);
}

void limit_exchange_begin(struct limit_exchange *exchange)
{
	g_hash_table_remove_all(exchange->accounts);
	exchange->inherit_until_s = loop_now(exchange->loop) + INHERIT_S;
}

static uint32_t to_milli(double value)
{
	return (uint32_t)fmin(fmax(value, 0) * MILLI, UINT32_MAX);
}

/* Appends a message about an upstream that has a limit, or had one until this
 * VM's last report. */
static void add_limit(struct upstream *upstream, void *ctx)
{
	struct upstream_limit *limit = &upstream->limit;
	VmLimit *message;

	if (!limit->limited && !limit->unreported_end)
		return;
	message = g_new(VmLimit, 1);
	vm_limit__init(message);
	message->upstream = upstream_hash(upstream);
	message->named = limit->unreported_named;
	message->per_s_milli = to_milli(limit->per_s);
	message->ended = limit->unreported_end;
	message->sent = limit->unreported_sent;
	message->wanted = limit->unreported_wanted;
	limit->unreported_named = false;
	limit->unreported_end = false;
	limit->unreported_sent = 0;
	limit->unreported_wanted = 0;
	g_ptr_array_add(ctx, message);
}

void limit_exchange_fill_report(struct limit_exchange *exchange, VmLoads *loads)
{
	GPtrArray *messages = g_ptr_array_new();

	roster_each_upstream(exchange->roster, add_limit, messages);
	loads->n_limits = messages->len;
	loads->limits = (VmLimit **)g_ptr_array_free(messages, FALSE);
}

void limit_exchange_release_report(VmLoads *loads)
{
	message_list_free(loads->limits, loads->n_limits);
}

/* Returns an upstream's account, added if an answer named the limit or if this
 * VM has just begun to lead; NULL if there is none. */
static struct limit_account *find_account(struct limit_exchange *exchange,
					  const VmLimit *report)
{
	gpointer key = GUINT_TO_POINTER(report->upstream);
	struct limit_account *account =
		g_hash_table_lookup(exchange->accounts, key);

	if (account || (!report->named &&
			loop_now(exchange->loop) > exchange->inherit_until_s))
		return account;
	account = g_new0(struct limit_account, 1);
	g_hash_table_insert(exchange->accounts, key, account);
	return account;
}

void limit_exchange_apply_report(struct limit_exchange *exchange,
				 const VmLoads *loads)
{
	double now = loop_now(exchange->loop);
	size_t i;

	for (i = 0; i < loads->n_limits; i++) {
		const VmLimit *report = loads->limits[i];
		struct limit_account *account;

		if (report->ended) {
			g_hash_table_remove(exchange->accounts,
					    GUINT_TO_POINTER(report->upstream));
			continue;
		}
		account = find_account(exchange, report);
		if (!account)
			continue;
		if (report->named || !account->named_s)
			limit_account_name(account, report->per_s_milli / MILLI,
					   now);
		limit_account_charge(account, report->sent, report->wanted,
				     now);
	}
}

/* GHRFunc: returns whether an account has expired. */
static gboolean is_expired(gpointer key, gpointer value, gpointer now_s)
{
	(void)key;
	return limit_account_expired(value, *(double *)now_s);
}

void limit_exchange_fill_totals(struct limit_exchange *exchange,
				LeaderLoads *loads)
{
	GPtrArray *messages = g_ptr_array_new();
	double now = loop_now(exchange->loop);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_foreach_remove(exchange->accounts, is_expired, &now);
	g_hash_table_iter_init(&iter, exchange->accounts);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		struct limit_account *account = value;
		LimitAccount *message = g_new(LimitAccount, 1);

		limit_account_update(account, now);
		limit_account__init(message);
		message->upstream = GPOINTER_TO_UINT(key);
		message->per_s_milli = to_milli(account->per_s);
		message->level_milli = (int32_t)fmax(
			fmin(account->flow.level * MILLI, INT32_MAX),
			INT32_MIN);
		message->wanted_per_s_milli =
			to_milli(account->flow.wanted_per_s);
		g_ptr_array_add(messages, message);
	}
	loads->n_limits = messages->len;
	loads->limits = (LimitAccount **)g_ptr_array_free(messages, FALSE);
}

void limit_exchange_release_totals(LeaderLoads *loads)
{
	message_list_free(loads->limits, loads->n_limits);
}

/* A message with accounts while it is applied. */
struct application {
	struct limit_exchange *exchange;
	/** The accounts (LimitAccount) by the hash of the upstream's id. */
	GHashTable *messages;
};

static void apply_account(struct upstream *upstream, void *ctx)
{
	const struct application *application = ctx;
	double now = loop_now(application->exchange->loop);
	const LimitAccount *message =
		g_hash_table_lookup(application->messages,
				    GUINT_TO_POINTER(upstream_hash(upstream)));
	struct limit_account account;

	if (!message) {
		upstream_limit_no_account(&upstream->limit, now);
		return;
	}
	account = (struct limit_account){
		.per_s = message->per_s_milli / MILLI,
		.flow.level = message->level_milli / MILLI,
		.flow.wanted_per_s = message->wanted_per_s_milli / MILLI,
	};
	upstream_limit_apply_account(&upstream->limit, &account, now);
}

void limit_exchange_apply_totals(struct limit_exchange *exchange,
				 const LeaderLoads *loads)
{
	struct application application = { .exchange = exchange };
	size_t i;

	if (!loads->n_limits && !exchange->limited)
		return;
	application.messages = g_hash_table_new(NULL, NULL);
	for (i = 0; i < loads->n_limits; i++)
		g_hash_table_insert(
			application.messages,
			GUINT_TO_POINTER(loads->limits[i]->upstream),
			loads->limits[i]);
	roster_each_upstream(exchange->roster, apply_account, &application);
	g_hash_table_destroy(application.messages);
	exchange->limited = loads->n_limits > 0;
}
