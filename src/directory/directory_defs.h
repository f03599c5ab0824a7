/**
 * Configuration and service directory, as the entry daemon uses them: routes
 * and services set by operators, and entries that upstreams register.
 * Independent of the platform's encoding.
 */
#ifndef DIRECTORY_DEFS_H
#define DIRECTORY_DEFS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http_server.h"

/** How a route's requests may be retried. */
enum route_kind {
	/** Idempotent: may run any number of times. */
	ROUTE_SAFE,
	/** Must run at most once. */
	ROUTE_UNSAFE,
	/** Idempotent, with a large answer. */
	ROUTE_DOWNLOAD,
	/** Must run at most once, with a large body. */
	ROUTE_UPLOAD,
};

/** One service of a route, with its share of the route's requests. */
struct route_part {
	char *service;
	/** Weight relative to the other parts of the route. */
	double weight;
};

/** A route: matches requests by host and path prefix. */
struct route {
	char *name;
	/** Host of the requests, without a port. */
	char *host;
	/** Path prefix; begins and ends with a slash. */
	char *prefix;
	enum route_kind kind;
	/** Longest time from a request to its answer, in seconds. */
	double timeout_s;
	/** Latency objective in seconds: answers within it are of full use to
	 * callers. */
	double objective_s;
	/** Priority of the route's requests; 0 is the most urgent. */
	unsigned int priority;
	/** Most attempts of one request, not counting those that did not run.
	 */
	unsigned int max_attempts;
	/** Services that the route's requests are spread over; none if the
	 * operator's list is invalid. */
	struct route_part *parts;
	size_t part_count;
	/** Requests need no API key, even if the configuration has customers.
	 */
	bool is_public;
};

/** A customer: requests with one of its API keys are its own. */
struct customer_config {
	char *name;
	/** API keys; ends with NULL. */
	char **api_keys;
	/** Whether priority is given; it then replaces that of the route. */
	bool has_priority;
	unsigned int priority;
	/** Quota over all VMs: requests per second, and requests beyond that in
	 * any time. A rate of 0: no limit. */
	double rate_per_s;
	double burst;
};

/** Configuration of a service. */
struct service_config {
	char *name;
	/** Most connections from all VMs together to one upstream. */
	unsigned int max_connections;
	/** Seconds after its start for which an upstream is cold (slow). */
	double cold_s;
	/** Requests per second, from all VMs, that a cold upstream can serve.
	 */
	double cold_per_s;
	/** Requests have keys; only the key's owner may serve a request. */
	bool keyed;
	/** Seconds for which an owner is slow in serving keys that were granted
	 * to it without a handover token. */
	double warm_s;
};

/** A complete configuration as set by operators. */
struct config {
	/** Version; grows with each configuration. */
	uint64_t version;
	struct route *routes;
	size_t route_count;
	struct service_config *services;
	size_t service_count;
	/** Requests need an API key of one of the customers. */
	bool has_customers;
	struct customer_config *customers;
	size_t customer_count;
	/** Limits of the entry daemon's HTTP server. */
	struct http_limits limits;
	/** Routes with an invalid value. One without host or prefix is left
	 * out. One of an unknown kind counts as ROUTE_UNSAFE, and one with an
	 * invalid list of services refuses its requests. */
	unsigned int invalid_routes;
	/** Services that are left out because they have no name. */
	unsigned int invalid_services;
	/** Customers with an invalid value. One without a name is left out, an
	 * invalid key is, and an invalid rate counts as 0. */
	unsigned int invalid_customers;
};

/** An upstream's registration in the directory. */
struct upstream_entry {
	char *id;
	char *service;
	char *zone;
	struct sockaddr_in address;
	/** Requests that the upstream runs concurrently. */
	unsigned int slots;
	/** The upstream drains: it takes no new requests. */
	bool leaving;
	/** Seconds for which the upstream stays cold, as of its registration.
	 */
	double cold_remaining_s;
	/** Start of this incarnation, in milliseconds since 1970-01-01 UTC; 0:
	 * not given. Tells incarnations under the same id apart. */
	int64_t started_ms;
	/** Number of the registration, which grows with each of an incarnation.
	 */
	int64_t seq;
	/** Version of the entry's row in the store; 0: unknown. */
	uint64_t row_version;
};

/** Whether requests of a kind may run more than once. */
bool route_kind_is_idempotent(enum route_kind kind);

/** Frees the list of services of a route. */
void route_clear_parts(struct route *route);

/** Frees what a route points to, and zeroes it. */
void route_clear(struct route *route);

/** Frees what a customer points to, and zeroes it. */
void customer_config_clear(struct customer_config *customer);

/** Frees a configuration; NULL is allowed. */
void config_free(struct config *config);

/** Frees what an entry points to, and zeroes it. */
void upstream_entry_clear(struct upstream_entry *entry);

/** Finds a service by name; returns NULL if there is none. */
const struct service_config *config_service(const struct config *config,
					    const char *name);

/**
 * Finds the route of a request: the host's route with the longest matching
 * prefix.
 *
 * @param host without a port; compared case-insensitively
 * @param path without a query
 * @return the route, or NULL
 */
const struct route *config_route(const struct config *config, struct str host,
				 struct str path);

#endif
