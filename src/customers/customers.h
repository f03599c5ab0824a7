/**
 * The customers of the configuration in force: who sent a request, by its API
 * key. Decides without I/O; times are seconds on one clock, which the caller
 * passes in.
 */
#ifndef CUSTOMERS_CUSTOMERS_H
#define CUSTOMERS_CUSTOMERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/str.h"
#include "customers/config_contact.h"
#include "directory/directory_defs.h"

/** A customer; exists until the customers are destroyed, even if a later
 * configuration lacks it. */
struct customer {
	char *name;
	/** Stands for the name in messages between VMs. */
	uint32_t hash;
	/** The configuration in force has the customer. */
	bool configured;
	/** Whether priority is given; it then replaces that of the route. */
	bool has_priority;
	unsigned int priority;
	/** Metrics: requests with one of the customer's keys. */
	struct counter *requests;
};

struct customers;

/**
 * Creates an empty set, without a configuration.
 *
 * @param apply_s time, in seconds, from a change of the configuration until it
 *        must be in force
 */
struct customers *customers_create(struct metrics *metrics, double apply_s);
/** Frees the set; NULL is allowed. */
void customers_destroy(struct customers *customers);

/** Applies a configuration, unless it is the one in force. */
void customers_set_config(struct customers *customers,
			  const struct config *config);

/** Returns what is known about the age of the configuration. */
struct config_contact *customers_contact(struct customers *customers);

/**
 * Sets the number of VMs of the system. The only VM serves by the last
 * configuration that it knows, even if it can't reach the store: no other could
 * serve its callers.
 */
void customers_set_vms(struct customers *customers, unsigned int vms);

/** Returns whether the configuration in force has customers. */
bool customers_required(const struct customers *customers);

/** Result of customers_identify(). */
enum customer_verdict {
	/** The request may be served. */
	CUSTOMER_ACCEPTED,
	/** The request has no key that the configuration contains. */
	CUSTOMER_UNKNOWN_KEY,
	/** This VM may not know the newest configuration. */
	CUSTOMER_OUT_OF_CONTACT,
};

/**
 * Identifies the customer of a request.
 *
 * @param key the request's API key; empty: none
 * @param is_public the request's route needs no key
 * @param customer set to the key's customer, or to NULL if there is none or the
 *        request isn't accepted
 */
enum customer_verdict customers_identify(const struct customers *customers,
					 struct str key, bool is_public,
					 double now_s,
					 struct customer **customer);

#endif
