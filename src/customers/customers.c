#include "customers/customers.h"

#include <string.h>

#include "base/hash.h"

/* Share of the time in which a change must be in force for which this VM may
 * rely on a configuration that was the newest. The rest covers the time until
 * the sender of that confirmation learned of the change. */
#define CONTACT_SHARE 0.8
/* Longest API key, in bytes; longer ones are unknown. */
#define KEY_BYTES_MAX 255

/* The leader's accounts are used for two intervals between messages, because
 * one may be lost, and this time, in seconds, in which one may be late. A
 * longer time lets VMs that lose the leader send more when a customer's demand
 * jumps. */
#define FRESH_INTERVALS 2.0
#define FRESH_LATE_S 0.25
/* A VM that hears a leader begins to use its accounts after this many
 * intervals, and this time in seconds. By then the leader knows what the VM
 * sent lately and wants to send, and the smoothed rate of wanted requests comes
 * near the true one. */
#define JOIN_INTERVALS 2.0
#define JOIN_S 0.6

struct customers {
	struct metrics *metrics;
	double apply_s;
	struct quota_bounds bounds;
	/** When the leader's accounts last arrived, 0: never, and until when
	 * they are used. */
	double accounts_s;
	double fresh_until_s;
	/** Lease of that leader, and from when on its accounts are used. */
	uint64_t term;
	double joined_s;
	/** Since when this VM has spent its share; holds until it joins. */
	double share_since_s;
	/** Number of VMs that share the quotas; 0: unknown. */
	unsigned int quota_vms;
	unsigned int vms;
	struct config_contact contact;
	/** A configuration was set; its version, and whether it has customers.
	 */
	bool has_config;
	uint64_t version;
	bool required;
	/** All customers (struct customer) by name, and by hash. */
	GHashTable *by_name;
	GHashTable *by_hash;
	/** The configured customers by API key, as bytes up to a NUL. */
	GHashTable *by_key;
};

static void free_customer(gpointer data)
{
	struct customer *customer = data;

	g_free(customer->name);
	g_free(customer);
}

struct customers *customers_create(struct metrics *metrics, double apply_s,
				   const struct quota_bounds *bounds,
				   double now_s)
{
	struct customers *customers = g_new0(struct customers, 1);

	customers->metrics = metrics;
	customers->apply_s = apply_s;
	customers->bounds = *bounds;
	customers->share_since_s = now_s;
	customers->by_hash = g_hash_table_new(NULL, NULL);
	customers->by_name = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, free_customer);
	customers->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return customers;
}

void customers_destroy(struct customers *customers)
{
	if (!customers)
		return;
	g_hash_table_destroy(customers->by_key);
	g_hash_table_destroy(customers->by_hash);
	g_hash_table_destroy(customers->by_name);
	g_free(customers);
}

/* Creates the metrics of a customer. */
static void create_metrics(struct customers *customers,
			   struct customer *customer)
{
	char *name = metrics_escape(customer->name);
	char *labels = g_strdup_printf("customer=\"%s\"", name);

	customer->requests = metrics_counter(
		customers->metrics, "auburn_customer_requests_total", labels,
		"Requests with an API key of the customer.");
	customer->sent = metrics_counter(
		customers->metrics, "auburn_customer_sent_total", labels,
		"Requests of the customer that were sent to an upstream.");
	customer->over_quota = metrics_counter(
		customers->metrics, "auburn_customer_over_quota_total", labels,
		"Requests of the customer that were refused with 429.");
	g_free(labels);
	g_free(name);
}

static struct customer *ensure_customer(struct customers *customers,
					const char *name)
{
	struct customer *customer =
		g_hash_table_lookup(customers->by_name, name);

	if (customer)
		return customer;
	customer = g_new0(struct customer, 1);
	customer->name = g_strdup(name);
	customer->hash = (uint32_t)hash_key(str_from(name));
	customer->quota.phase = g_random_double();
	create_metrics(customers, customer);
	g_hash_table_insert(customers->by_hash,
			    GUINT_TO_POINTER(customer->hash), customer);
	g_hash_table_insert(customers->by_name, customer->name, customer);
	return customer;
}

static void apply_customer(struct customers *customers,
			   const struct customer_config *config)
{
	struct customer *customer = ensure_customer(customers, config->name);
	char **key;

	customer->configured = true;
	customer->has_priority = config->has_priority;
	customer->priority = config->priority;
	customer->quota.limit.per_s = config->rate_per_s;
	customer->quota.limit.burst = config->burst;
	/* A key of two customers stays that of the first one. */
	for (key = config->api_keys; *key; key++)
		if (!g_hash_table_contains(customers->by_key, *key))
			g_hash_table_insert(customers->by_key, g_strdup(*key),
					    customer);
}

void customers_set_config(struct customers *customers,
			  const struct config *config)
{
	GHashTableIter iter;
	gpointer value;
	size_t i;

	if (customers->has_config && customers->version == config->version)
		return;
	customers->has_config = true;
	customers->version = config->version;
	customers->required = config->has_customers;
	g_hash_table_remove_all(customers->by_key);
	g_hash_table_iter_init(&iter, customers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct customer *)value)->configured = false;
	for (i = 0; i < config->customer_count; i++)
		apply_customer(customers, &config->customers[i]);
}

struct config_contact *customers_contact(struct customers *customers)
{
	return &customers->contact;
}

void customers_set_vms(struct customers *customers, unsigned int vms)
{
	customers->vms = vms;
}

bool customers_required(const struct customers *customers)
{
	return customers->required;
}

/* Returns the customer of an API key, or NULL. */
static struct customer *find_key(const struct customers *customers,
				 struct str key)
{
	char text[KEY_BYTES_MAX + 1];

	if (!key.len || key.len > KEY_BYTES_MAX ||
	    memchr(key.data, '\0', key.len))
		return NULL;
	memcpy(text, key.data, key.len);
	text[key.len] = '\0';
	return g_hash_table_lookup(customers->by_key, text);
}

/* Whether the configuration in force may be relied on. */
static bool is_current(const struct customers *customers, double now_s)
{
	bool alone = customers->vms == 1 && customers->quota_vms <= 1;

	return alone || config_contact_is_current(
				&customers->contact,
				customers->apply_s * CONTACT_SHARE, now_s);
}

enum customer_verdict customers_identify(const struct customers *customers,
					 struct str key, bool is_public,
					 double now_s,
					 struct customer **customer)
{
	*customer = NULL;
	if (!customers->required)
		return CUSTOMER_ACCEPTED;
	if (!is_public && !is_current(customers, now_s))
		return CUSTOMER_OUT_OF_CONTACT;
	*customer = find_key(customers, key);
	return *customer || is_public ? CUSTOMER_ACCEPTED
				      : CUSTOMER_UNKNOWN_KEY;
}

/* Returns what all quotas have in common now. */
static struct quota_view view_of(const struct customers *customers,
				 double now_s)
{
	bool fresh = customers->accounts_s && now_s < customers->fresh_until_s;
	bool joined = fresh && now_s >= customers->joined_s;
	bool lapsed = !fresh && customers->accounts_s &&
		      customers->fresh_until_s >= customers->joined_s;

	return (struct quota_view){
		.bounds = customers->bounds,
		.has_accounts = joined && config_contact_trusts(
						  &customers->contact,
						  customers->accounts_s, now_s),
		.share_since_s = lapsed ? customers->fresh_until_s
					: customers->share_since_s,
		.vms = customers->quota_vms,
	};
}

bool customers_still_admit(const struct customers *customers,
			   const struct customer *customer, double random,
			   double now_s, double *retry_after_s)
{
	struct quota_view view = view_of(customers, now_s);

	if (quota_admits(&customer->quota, &view, random, now_s, retry_after_s))
		return true;
	counter_add(customer->over_quota, 1);
	return false;
}

bool customers_admit(const struct customers *customers,
		     struct customer *customer, double random, double now_s,
		     double *retry_after_s)
{
	quota_record_wanted(&customer->quota);
	return customers_still_admit(customers, customer, random, now_s,
				     retry_after_s);
}

void customers_record_send(const struct customers *customers,
			   struct customer *customer, double now_s)
{
	struct quota_view view = view_of(customers, now_s);

	quota_record_send(&customer->quota, &view, now_s);
	counter_add(customer->sent, 1);
}

/* Begins to hear a leader: this VM goes on spending its share for a while. */
static void begin_to_join(struct customers *customers, uint64_t term,
			  double interval_s, double now_s)
{
	struct quota_view view = view_of(customers, now_s);

	customers->share_since_s =
		view.has_accounts ? now_s : view.share_since_s;
	customers->term = term;
	customers->joined_s = now_s + interval_s * JOIN_INTERVALS + JOIN_S;
}

void customers_apply_accounts(struct customers *customers,
			      const struct quota_news *news, double now_s)
{
	GHashTableIter iter;
	gpointer value;

	if (!customers->accounts_s || now_s >= customers->fresh_until_s ||
	    news->term != customers->term)
		begin_to_join(customers, news->term, news->interval_s, now_s);
	customers->quota_vms = news->vms;
	customers->accounts_s = now_s;
	customers->fresh_until_s =
		now_s + news->interval_s * FRESH_INTERVALS + FRESH_LATE_S;
	g_hash_table_iter_init(&iter, customers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		quota_apply_account(&((struct customer *)value)->quota, NULL);
}

void customers_apply_account(struct customers *customers, uint32_t hash,
			     const struct rate_account *account)
{
	struct customer *customer = customers_find(customers, hash);

	if (customer)
		quota_apply_account(&customer->quota, account);
}

unsigned int customers_quota_vms(const struct customers *customers)
{
	return customers->quota_vms;
}

const struct quota_bounds *
customers_quota_bounds(const struct customers *customers)
{
	return &customers->bounds;
}

struct customer *customers_find(const struct customers *customers,
				uint32_t hash)
{
	return g_hash_table_lookup(customers->by_hash, GUINT_TO_POINTER(hash));
}

void customers_each(const struct customers *customers,
		    void (*visit)(struct customer *customer, void *ctx),
		    void *ctx)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, customers->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		visit(value, ctx);
}
