/**
 * The customers of the configuration in force: who sent a request, by its API
 * key, and whether the customer's quota has room for it. Decides without I/O;
 * times are seconds on one clock, which the caller passes in.
 */
#ifndef CUSTOMERS_CUSTOMERS_H
#define CUSTOMERS_CUSTOMERS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/metrics.h"
#include "base/str.h"
#include "customers/config_contact.h"
#include "customers/quota.h"
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
	struct quota quota;
	/** Metrics: requests with one of the customer's keys, those that were
	 * sent to an upstream, and those that were refused because of the
	 * quota. */
	struct counter *requests;
	struct counter *sent;
	struct counter *over_quota;
};

struct customers;

/**
 * Creates an empty set, without a configuration.
 *
 * @param apply_s time, in seconds, from a change of the configuration until it
 *        must be in force
 * @param bounds copied
 * @param now_s when this VM started
 */
struct customers *customers_create(struct metrics *metrics, double apply_s,
				   const struct quota_bounds *bounds,
				   double now_s);
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

/**
 * Decides whether the quota of a request's customer has room for it. To be
 * called once for each request, before it is sent for the first time.
 *
 * @param random from 0 up to, but not including, 1
 * @param retry_after_s set to the time, in seconds, until there is probably
 *        room, if there is none now
 */
bool customers_admit(const struct customers *customers,
		     struct customer *customer, double random, double now_s,
		     double *retry_after_s);

/** Decides again about a request that was admitted and then queued; otherwise
 * like customers_admit(). */
bool customers_still_admit(const struct customers *customers,
			   const struct customer *customer, double random,
			   double now_s, double *retry_after_s);

/** Charges a request that is sent for the first time. */
void customers_record_send(const struct customers *customers,
			   struct customer *customer, double now_s);

/** What a message with the leader's accounts says besides the accounts. */
struct quota_news {
	/** Version of the lease with which the leader began to lead; its
	 * renewals have others. */
	uint64_t term;
	/** Number of VMs that share the quotas, with those that the leader
	 * lost. */
	unsigned int vms;
	/** Time between two such messages, in seconds. */
	double interval_s;
};

/**
 * Begins to apply the leader's accounts: those that
 * customers_apply_account() doesn't set are well filled.
 */
void customers_apply_accounts(struct customers *customers,
			      const struct quota_news *news, double now_s);

/** Applies one account of the message. */
void customers_apply_account(struct customers *customers, uint32_t hash,
			     const struct rate_account *account);

/** Returns the number of VMs that share the quotas; 0 if it is unknown. */
unsigned int customers_quota_vms(const struct customers *customers);

/** Returns how strictly quotas are kept. */
const struct quota_bounds *
customers_quota_bounds(const struct customers *customers);

/** Finds a customer by its hash; returns NULL if there is none. */
struct customer *customers_find(const struct customers *customers,
				uint32_t hash);

/** Calls visit for each customer, also for those that the configuration lacks.
 */
void customers_each(const struct customers *customers,
		    void (*visit)(struct customer *customer, void *ctx),
		    void *ctx);

#endif
