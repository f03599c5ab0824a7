/*
 * Tests of who sent a request, by its API key and the age of the configuration.
 */
#include <glib.h>

#include "customers/customers.h"
#include "customers/lost_vms.h"
#include "suite.h"

#define APPLY_S 2.5
#define TICK_S 0.05

static char *first_keys[] = { "k1", "k2", NULL };
static char *second_keys[] = { "k3", "k1", NULL };
static char *later_keys[] = { "k2", "k4", NULL };

static struct customer_config first_customers[] = {
	{ .name = "first",
	  .api_keys = first_keys,
	  .has_priority = true,
	  .priority = 3 },
	{ .name = "second", .api_keys = second_keys },
};
static struct customer_config later_customers[] = {
	{ .name = "first", .api_keys = later_keys },
};

static const struct config first = {
	.version = 1,
	.has_customers = true,
	.customers = first_customers,
	.customer_count = 2,
};
static const struct config later = {
	.version = 2,
	.has_customers = true,
	.customers = later_customers,
	.customer_count = 1,
};
static const struct config without = { .version = 3 };

/* Ticks until a time, starting at the last one. */
static void tick_until(struct config_contact *contact, double until_s)
{
	while (contact->tick_s + TICK_S < until_s)
		config_contact_tick(contact, contact->tick_s + TICK_S);
	config_contact_tick(contact, until_s);
}

/* Creates customers of a VM that has just read the configuration at 1 s. */
static struct customers *create(struct metrics *metrics,
				const struct config *config)
{
	static const struct quota_bounds bounds = { 5, 0.1, 20 };
	struct customers *customers =
		customers_create(metrics, APPLY_S, &bounds, 1);

	config_contact_tick(customers_contact(customers), 1);
	customers_set_config(customers, config);
	config_contact_store_answered(customers_contact(customers), 0.9, 1);
	return customers;
}

/* Guards against serving an unknown or removed key, refusing a valid one, and
 * naming the wrong customer. */
static void keys_belong_to_the_configuration_in_force(void)
{
	static const struct {
		const struct config *config;
		const char *key;
		bool is_public;
		enum customer_verdict verdict;
		/** NULL: none. */
		const char *customer;
	} rows[] = {
		{ &first, "k1", false, CUSTOMER_ACCEPTED, "first" },
		{ &first, "k2", false, CUSTOMER_ACCEPTED, "first" },
		{ &first, "k3", false, CUSTOMER_ACCEPTED, "second" },
		{ &first, "k4", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &first, "k", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &first, "k11", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &first, "", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &first, "", true, CUSTOMER_ACCEPTED, NULL },
		{ &first, "k4", true, CUSTOMER_ACCEPTED, NULL },
		{ &first, "k3", true, CUSTOMER_ACCEPTED, "second" },
		{ &later, "k1", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &later, "k3", false, CUSTOMER_UNKNOWN_KEY, NULL },
		{ &later, "k4", false, CUSTOMER_ACCEPTED, "first" },
		{ &without, "k9", false, CUSTOMER_ACCEPTED, NULL },
		{ &without, "", false, CUSTOMER_ACCEPTED, NULL },
	};
	struct metrics *metrics = metrics_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct customers *customers = create(metrics, &first);
		struct customer *customer;

		customers_set_config(customers, rows[i].config);
		CU_ASSERT_EQUAL(
			customers_identify(customers, str_from(rows[i].key),
					   rows[i].is_public, 1, &customer),
			rows[i].verdict);
		CU_ASSERT_EQUAL(customer != NULL, rows[i].customer != NULL);
		if (customer && rows[i].customer)
			CU_ASSERT_STRING_EQUAL(customer->name,
					       rows[i].customer);
		customers_destroy(customers);
	}
	metrics_destroy(metrics);
}

/* Guards against the route's priority for a customer that has its own. */
static void priority_follows_the_configuration(void)
{
	struct metrics *metrics = metrics_create();
	struct customers *customers = create(metrics, &first);
	struct customer *customer;

	customers_identify(customers, STR("k2"), false, 1, &customer);
	CU_ASSERT_TRUE(customer->has_priority && customer->priority == 3);
	customers_set_config(customers, &later);
	customers_identify(customers, STR("k2"), false, 1, &customer);
	CU_ASSERT_FALSE(customer->has_priority);
	customers_destroy(customers);
	metrics_destroy(metrics);
}

/* What a VM hears after it read the configuration at 1 s. */
struct contact_row {
	/** It is frozen between these times; 0: it isn't. */
	double frozen_from_s, frozen_until_s;
	/** When the last message of a VM without a newer row arrived, and when
	 * the store was asked and answered; 0: not at all. */
	double heard_s, asked_s, answered_s;
	/** Number of VMs. */
	unsigned int vms;
	/** When a request arrives, and whether its key can be relied on. */
	double request_s;
	bool in_contact;
};

static bool is_in_contact(struct metrics *metrics,
			  const struct contact_row *row)
{
	struct customers *customers = create(metrics, &first);
	struct config_contact *contact = customers_contact(customers);
	enum customer_verdict known, unknown, public;
	struct customer *customer;

	customers_set_vms(customers, row->vms);
	if (row->frozen_from_s) {
		tick_until(contact, row->frozen_from_s);
		config_contact_tick(contact, row->frozen_until_s);
	}
	if (row->heard_s) {
		tick_until(contact, row->heard_s);
		config_contact_peer_heard(contact, row->heard_s);
	}
	if (row->answered_s) {
		tick_until(contact, row->answered_s);
		config_contact_store_answered(contact, row->asked_s,
					      row->answered_s);
	}
	tick_until(contact, row->request_s);
	known = customers_identify(customers, STR("k1"), false, row->request_s,
				   &customer);
	unknown = customers_identify(customers, STR("k9"), false,
				     row->request_s, &customer);
	public = customers_identify(customers, STR(""), true, row->request_s,
				    &customer);
	customers_destroy(customers);
	/* The key may have been added or removed meanwhile. */
	CU_ASSERT_EQUAL(known == CUSTOMER_OUT_OF_CONTACT,
			unknown == CUSTOMER_OUT_OF_CONTACT);
	CU_ASSERT_EQUAL(public, CUSTOMER_ACCEPTED);
	return known == CUSTOMER_ACCEPTED;
}

/* Guards against serving a removed key, or refusing an added one for good, on a
 * VM that was cut off or frozen. */
static void a_vm_out_of_contact_relies_on_no_key(void)
{
	static const struct contact_row rows[] = {
		/* Frozen, heard, asked and answered, VMs, request. */
		{ 0, 0, 0, 0, 0, 82, 2.9, true },
		{ 0, 0, 0, 0, 0, 82, 3.2, false },
		{ 0, 0, 3, 0, 0, 82, 4.9, true },
		{ 0, 0, 3, 0, 0, 82, 5.1, false },
		{ 0, 0, 0, 2, 3, 82, 4.9, true },
		{ 0, 0, 0, 2, 3, 82, 5.1, false },
		/* The only VM of the system. */
		{ 0, 0, 0, 0, 0, 1, 60, true },
		/* Frozen: what it reads when it resumes may be as old. */
		{ 1.2, 11.2, 0, 0, 0, 82, 11.2, false },
		{ 1.2, 11.2, 11.25, 0, 0, 82, 11.3, false },
		{ 1.2, 11.2, 0, 1.1, 11.25, 82, 11.3, false },
		{ 1.2, 11.2, 11.35, 0, 0, 82, 11.4, true },
		{ 1.2, 11.2, 0, 11.3, 11.35, 82, 11.4, true },
	};
	struct metrics *metrics = metrics_create();
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_EQUAL(is_in_contact(metrics, &rows[i]),
				rows[i].in_contact);
	metrics_destroy(metrics);
}

/* Guards against a request that is handled between the end of a freeze and the
 * first tick. */
static void a_frozen_vm_notices_before_its_first_tick(void)
{
	struct metrics *metrics = metrics_create();
	struct customers *customers = create(metrics, &first);
	struct config_contact *contact = customers_contact(customers);
	struct customer *customer;

	/* The message arrived while the VM was frozen. */
	config_contact_peer_heard(contact, 11);
	CU_ASSERT_EQUAL(
		customers_identify(customers, STR("k1"), false, 11, &customer),
		CUSTOMER_OUT_OF_CONTACT);
	customers_destroy(customers);
	metrics_destroy(metrics);
}

/* Guards against a leader that spends the shares of VMs which it doesn't hear,
 * or keeps the shares of those that stopped or are gone. */
static void the_shares_of_lost_vms_are_kept(void)
{
	struct lost_vms *lost = lost_vms_create();

	lost_vms_begin(lost, 2, 100);
	CU_ASSERT_EQUAL(lost_vms_count(lost, 100), 2);
	lost_vms_add(lost, "a", 200);
	lost_vms_add(lost, "b", 200);
	lost_vms_add(lost, "a", 250);
	CU_ASSERT_EQUAL(lost_vms_count(lost, 300), 4);
	lost_vms_remove(lost, "b");
	lost_vms_remove(lost, "c");
	CU_ASSERT_EQUAL(lost_vms_count(lost, 300), 3);
	CU_ASSERT_EQUAL(lost_vms_count(lost, 701), 1);
	CU_ASSERT_EQUAL(lost_vms_count(lost, 851), 0);
	lost_vms_add(lost, "d", 900);
	lost_vms_begin(lost, 0, 901);
	CU_ASSERT_EQUAL(lost_vms_count(lost, 902), 0);
	lost_vms_destroy(lost);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "keys belong to the configuration in force",
		  keys_belong_to_the_configuration_in_force },
		{ "the priority follows the configuration",
		  priority_follows_the_configuration },
		{ "a VM out of contact relies on no key",
		  a_vm_out_of_contact_relies_on_no_key },
		{ "a frozen VM notices before its first tick",
		  a_frozen_vm_notices_before_its_first_tick },
		{ "the shares of lost VMs are kept",
		  the_shares_of_lost_vms_are_kept },
		{ 0 },
	};

	return suite_run("customers", cases);
}
