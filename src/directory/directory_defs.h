/**
 * What operators and upstreams declare, as the entry daemon uses it. The types
 * say nothing about how a platform spells it.
 */
#ifndef DIRECTORY_DEFS_H
#define DIRECTORY_DEFS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "net/http_server.h"

enum route_kind {
	/** May run any number of times. */
	ROUTE_SAFE,
	/** Runs at most once. */
	ROUTE_UNSAFE,
	/** A large answer; may run any number of times. */
	ROUTE_DOWNLOAD,
};

/** One service that a route's requests go to. */
struct route_part {
	char *service;
	double weight;
};

struct route {
	char *name;
	char *host;
	/** Begins and ends with a slash. */
	char *prefix;
	enum route_kind kind;
	/** Longest time that a caller is kept waiting. */
	double timeout_s;
	/** Answers up to here are of full use to callers. */
	double objective_s;
	/** 0 goes first. */
	unsigned int priority;
	/** Upstreams to which one request may be sent. */
	unsigned int max_attempts;
	struct route_part *parts;
	size_t part_count;
};

struct service_config {
	char *name;
	/** Connections that one upstream takes from all VMs together. */
	unsigned int max_connections;
	/** How long an upstream is cold after its start. */
	double cold_s;
	/** Requests a second that a cold upstream bears, from all VMs. */
	double cold_per_s;
	/** Divided by key: only a key's owner runs a request. */
	bool keyed;
	/** How long keys that came without a handover are slow. */
	double warm_s;
};

/** A complete configuration. */
struct config {
	uint64_t version;
	struct route *routes;
	size_t route_count;
	struct service_config *services;
	size_t service_count;
	struct http_limits limits;
};

/** What an upstream says of itself. */
struct upstream_entry {
	char *id;
	char *service;
	char *zone;
	struct sockaddr_in address;
	unsigned int slots;
	/** Takes no new work. */
	bool leaving;
	double cold_remaining_s;
	/** Changes with every start, also under the same id. */
	int64_t started_ms;
};

/** Frees a configuration; NULL is allowed. */
void config_free(struct config *config);

/** Frees what an entry points to. */
void upstream_entry_clear(struct upstream_entry *entry);

/** Finds a service, or NULL. */
const struct service_config *config_service(const struct config *config,
					    const char *name);

/**
 * Finds the route of a request: the longest prefix among the host's routes.
 *
 * @param host without a port; compared in any case
 * @param path without a query
 * @return the route, or NULL
 */
const struct route *config_route(const struct config *config, struct str host,
				 struct str path);

#endif
