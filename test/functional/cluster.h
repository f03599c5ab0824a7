/**
 * A whole system of real processes on free loopback ports: the platform's
 * stand-in, upstream stand-ins over the availability zones, and pairs of a
 * router and an assigner. Several clusters at once don't clash.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster_http.h"
#include "cluster_process.h"
#include "cluster_record.h"
#include "ownership/slice_map.h"

/** The token of the operators' calls. */
#define CLUSTER_TOKEN "operator-token-of-a-test"

/** Upstreams of one service. */
struct cluster_service {
	const char *name;
	unsigned int count;
};

struct cluster_options {
	/** Declarations; NULL: examples/el-oro.conf. */
	const char *profiles;
	/** Ended by one with a NULL name. */
	const struct cluster_service *services;
	/** Pairs of a router and an assigner; 0: 3. */
	unsigned int pairs;
	/** More arguments "--name=value", ended by NULL; NULL: none. */
	const char *const *upstream_arguments;
	const char *const *assigner_arguments;
	const char *const *router_arguments;
	/** Don't wait until requests are answered. */
	bool no_wait;
};

struct cluster_upstream {
	struct process *process;
	char *id, *service, *zone;
	char *record_path;
	/** What the list of VMs says of it. */
	const char *state;
};

struct cluster;

/**
 * Starts a cluster, publishes its settings and waits until each service
 * answers through each router.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE; the logs were printed
 * @return a new cluster, or NULL
 */
struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error);

/**
 * Ends all processes and removes their files.
 *
 * @param failed print the last lines of each log first
 */
void cluster_destroy(struct cluster *cluster, bool failed);

struct process *cluster_platform(struct cluster *cluster);
unsigned int cluster_pairs(const struct cluster *cluster);
struct process *cluster_router(struct cluster *cluster, unsigned int index);
struct process *cluster_assigner(struct cluster *cluster, unsigned int index);
unsigned int cluster_upstream_count(const struct cluster *cluster);
struct cluster_upstream *cluster_upstream(struct cluster *cluster,
					  unsigned int index);

/** A router's address for callers, or any daemon's for operators. */
const char *cluster_callers(struct cluster *cluster, unsigned int router);
const char *cluster_operator(const struct process *daemon);

/** Folder of the cluster's files. */
const char *cluster_folder(const struct cluster *cluster);

/**
 * Finds the upstream of an id.
 *
 * @return its index, or -1
 */
int cluster_find_upstream(struct cluster *cluster, const char *id);

/** Throws a switch of the platform, JSON. */
void cluster_switch_platform(struct cluster *cluster, const char *json);

/** Throws a switch of an upstream, JSON. */
void cluster_switch_upstream(struct cluster *cluster, unsigned int index,
			     const char *json);

/**
 * Starts a process anew on its old addresses and waits until it listens.
 *
 * @return false when it doesn't
 */
bool cluster_restart(struct process *process);

/** Sets what the list of VMs says of an upstream: "live", "leaving", "gone". */
void cluster_set_state(struct cluster *cluster, unsigned int index,
		       const char *state);

/**
 * Runs auburnctl on the cluster's assigners and waits for its end.
 *
 * @param arguments ended by NULL
 * @param output set to what it printed, freed with g_free(); may be NULL
 * @return its exit status, -1 when it did not end
 */
int cluster_ctl(struct cluster *cluster, const char *const *arguments,
		char **output);

/** Takes a zone out, or in again, and waits until it is in force. */
bool cluster_set_zone(struct cluster *cluster, const char *zone, bool out);

/**
 * Reads the map of a cell from the table.
 *
 * @return the map, freed with slice_map_destroy(); NULL when there is none
 */
struct slice_map *cluster_map(struct cluster *cluster, const char *cell);

/**
 * Sends GET through a router.
 *
 * @return the answer; the caller frees it
 */
struct http_answer *cluster_get(struct cluster *cluster, unsigned int router,
				const char *uri);

/** Waits until a GET through a router is answered with 200. */
bool cluster_wait_answer(struct cluster *cluster, unsigned int router,
			 const char *uri, int64_t timeout_us);

/**
 * Finds who owns a key by asking for it.
 *
 * @param uri a request that the owner answers
 * @return the upstream's index, or -1
 */
int cluster_owner(struct cluster *cluster, unsigned int router,
		  const char *uri);

/** Reads what the upstreams noted so far; the caller destroys the book. */
struct record_book *cluster_book(struct cluster *cluster);

/** Starts loadgen on all routers, with more arguments, ended by NULL. */
struct process *cluster_start_load(struct cluster *cluster, const char *name,
				   const char *const *arguments);

#endif
