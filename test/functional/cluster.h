/**
 * A cluster of real processes on free loopback ports: the platform stand-in,
 * upstream stand-ins spread over the availability zones, and pairs of a router
 * and an assigner. Several clusters can run at once.
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

/** Token that authorizes operator calls. */
#define CLUSTER_TOKEN "operator-token-of-a-test"

/** How many upstream stand-ins a cluster starts for a service. */
struct cluster_service {
	const char *name;
	unsigned int count;
};

/** Settings, services and program arguments of a cluster. */
struct cluster_options {
	/** Path of the settings file to publish; NULL: examples/el-oro.conf. */
	const char *profiles;
	/** Services with upstreams, ended by a NULL name. */
	const struct cluster_service *services;
	/** Number of pairs of a router and an assigner; 0 stands for 3. */
	unsigned int pairs;
	/** Additional arguments "--name=value" of each upstream, assigner or
	 * router, ended by NULL; NULL: none. */
	const char *const *upstream_arguments;
	const char *const *assigner_arguments;
	const char *const *router_arguments;
	/** cluster_create() returns without waiting until the services answer
	 * requests. */
	bool no_wait;
};

/** One upstream stand-in, owned by its cluster. */
struct cluster_upstream {
	struct process *process;
	/** VM id "SERVICE-NUMBER", service and availability zone. */
	char *id, *service, *zone;
	/** Path of the record file, in which the stand-in logs its executions
	 * and grants. */
	char *record_path;
	/** State in the platform's VM list: "live" or "leaving"; "gone" when
	 * the VM is not listed. */
	const char *state;
};

/** Running processes of a deployment, and the folder of their files. */
struct cluster;

/**
 * Starts a cluster, publishes its settings and waits until each service
 * answers through each router.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE when a process does not start or a
 *        service does not answer in time; the ends of the logs were printed
 * @return a new cluster, freed with cluster_destroy(); NULL on error
 */
struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error);

/**
 * Kills all processes, removes their files and frees the cluster.
 *
 * @param failed print the last log lines of assigners and routers first
 */
void cluster_destroy(struct cluster *cluster, bool failed);

/** Returns the platform stand-in; like all processes it is owned by the
 * cluster. */
struct process *cluster_platform(struct cluster *cluster);
/** Returns the number of routers, which equals that of assigners. */
unsigned int cluster_pair_count(const struct cluster *cluster);
struct process *cluster_router(struct cluster *cluster, unsigned int index);
struct process *cluster_assigner(struct cluster *cluster, unsigned int index);
unsigned int cluster_upstream_count(const struct cluster *cluster);
struct cluster_upstream *cluster_upstream(struct cluster *cluster,
					  unsigned int index);

/** Returns the "IPv4:port" on which a router serves callers. */
const char *cluster_caller_address(struct cluster *cluster,
				   unsigned int router);
/** Returns the "IPv4:port" of a router's or assigner's operator API. */
const char *cluster_operator_address(const struct process *daemon);

/** Returns the folder of logs, records and events, owned by the cluster. */
const char *cluster_folder(const struct cluster *cluster);

/**
 * Finds an upstream by its id.
 *
 * @return the upstream's index; -1 when the cluster has none with this id
 */
int cluster_find_upstream(struct cluster *cluster, const char *id);

/**
 * Switches faults of the platform stand-in on or off.
 *
 * @param json an object such as {"outage":true}; faults_configure() in
 *        test/standin/platform_faults.h lists the members
 */
void cluster_switch_platform(struct cluster *cluster, const char *json);

/**
 * Switches faults of an upstream stand-in on or off.
 *
 * @param json an object such as {"truncate":1}; struct upstream_faults in
 *        test/standin/upstream.h describes the members
 */
void cluster_switch_upstream(struct cluster *cluster, unsigned int index,
			     const char *json);

/**
 * Restarts a process of a cluster on its former addresses, after killing it if
 * it runs, and waits until it listens.
 *
 * @return false when it doesn't start or listen in time
 */
bool cluster_restart(struct process *process);

/**
 * Sets an upstream's state in the platform's VM list.
 *
 * @param state "live", "leaving" or "gone"; the text is not copied
 */
void cluster_set_state(struct cluster *cluster, unsigned int index,
		       const char *state);

/**
 * Runs auburnctl against the cluster's assigners and waits until it ends.
 *
 * @param arguments ended by NULL
 * @param output set to auburnctl's stdout, freed with g_free(), or left
 *        unchanged when it did not start; may be NULL
 * @return exit status of auburnctl; -1 when it did not start, was killed by a
 *         signal or did not exit in time
 */
int cluster_run_auburnctl(struct cluster *cluster, const char *const *arguments,
			  char **output);

/**
 * Takes a zone out of service, or back into service, with auburnctl, and waits
 * until the change is in force.
 *
 * @return false when auburnctl failed
 */
bool cluster_set_zone(struct cluster *cluster, const char *zone, bool out);

/**
 * Reads the owner map of a cell, the key space of one service, from the
 * platform's table.
 *
 * @param cell name of the service
 * @return the map, freed with slice_map_destroy(); NULL when there is none
 */
struct slice_map *cluster_owner_map(struct cluster *cluster, const char *cell);

/**
 * Sends a GET through a router.
 *
 * @param uri path and query
 * @return the answer; the caller frees it with http_answer_destroy()
 */
struct http_answer *cluster_get(struct cluster *cluster, unsigned int router,
				const char *uri);

/**
 * Repeats a GET through a router until its answer has status 200.
 *
 * @return false when that did not happen within timeout_us
 */
bool cluster_wait_answer(struct cluster *cluster, unsigned int router,
			 const char *uri, int64_t timeout_us);

/**
 * Finds the owner of a key by sending a GET for it.
 *
 * @param uri path with the key; only the key's owner answers the request
 * @return the owner's index among the upstreams; -1 when the answer's status
 *         isn't 200
 */
int cluster_owner(struct cluster *cluster, unsigned int router,
		  const char *uri);

/**
 * Reads the records that the upstreams have written so far.
 *
 * @return a new record, freed with execution_record_destroy()
 */
struct execution_record *cluster_load_record(struct cluster *cluster);

/**
 * Starts loadgen against all routers. Its events file is NAME.events in the
 * cluster's folder.
 *
 * @param arguments additional arguments, ended by NULL
 * @return the process, owned by the cluster; NULL when it did not start
 */
struct process *cluster_start_loadgen(struct cluster *cluster, const char *name,
				      const char *const *arguments);

#endif
