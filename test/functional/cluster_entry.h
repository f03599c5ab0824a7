/**
 * A small deployment for tests of the entry daemon: auburn-entry processes on
 * loopback addresses, and standin-site in place of the platform.
 */
#ifndef CLUSTER_ENTRY_H
#define CLUSTER_ENTRY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "cluster_http.h"
#include "cluster_process.h"

/** Most entry daemons of a rig. */
#define RIG_ENTRIES_MAX 8
/** Longest wait for a process or a condition. */
#define RIG_WAIT_US ((int64_t)20 * G_USEC_PER_SEC)

/** A configuration with a route of the keyed service, "/keyed/", and one that
 * has the given path prefix; both arguments are string literals. */
#define ENTRY_CONFIG(version, prefix)                                          \
	"{\"version\":\"" version "\",\"routes\":{\"columns\":[\"name\","      \
	"\"host\",\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\","   \
	"\"service\",\"max_attempts\",\"split\"],\"rows\":[[\"keyed\","        \
	"\"app.example\",\"/keyed/\",\"safe\",3,0.5,1,\"keyed\",2,null],"      \
	"[\"added\",\"app.example\",\"" prefix "\",\"safe\",3,0.5,1,"          \
	"\"plain\",2,null]]},\"services\":{\"columns\":[\"name\","             \
	"\"health_path\",\"max_conns\",\"cold_start_s\",\"cold_per_s\","       \
	"\"sharded\",\"warm_s\"],\"rows\":[[\"plain\",\"/health\",130,3,5.2,"  \
	"null,null],[\"keyed\",\"/health\",130,3,5.2,true,3]]},\"limits\":{"   \
	"\"max_header_bytes\":4096,\"max_body_bytes\":100000,"                 \
	"\"header_timeout_s\":3,\"idle_timeout_s\":15}}"

/** An auburn-entry process. */
struct entry {
	struct process *process;
	/** "IPv4:port" for callers, readiness checks, other daemons and
	 * metrics.
	 */
	char callers[32];
	char ready[32];
	char peers[32];
	char metrics[32];
	/** Path of the settings file. */
	char settings[256];
};

/** The deployment. */
struct entry_rig {
	/** Folder of settings and log files. */
	char *folder;
	/** Lines for the daemons' settings group [vm], set before the start;
	 * NULL: none. */
	const char *vm_settings;
	struct process *site;
	struct entry entries[RIG_ENTRIES_MAX];
	unsigned int entry_count;
};

/**
 * Starts standin-site and the entry daemons, and waits until each of these is
 * ready and serves keys.
 *
 * @param grace_s grace period of a shutdown, in seconds
 */
void entry_rig_start(struct entry_rig *rig, unsigned int entry_count,
		     double grace_s);

/** Kills all processes and removes their files. */
void entry_rig_stop(struct entry_rig *rig);

/**
 * Sends a request on a new connection; the caller frees the answer.
 *
 * @param key number of the key, 0 to 65535; sent with every request
 * @param id at least 32 bytes; set to the new request id
 */
struct http_answer *entry_send(const struct entry *entry, const char *uri,
			       const char *method, int key, const char *body,
			       char *id);

/** Returns the status of a GET; 0 when the answer wasn't whole. */
long entry_status(const struct entry *entry, const char *uri, int key);

/** Returns whether an entry daemon says that it is ready. */
bool entry_is_ready(void *entry);

/** Returns whether an entry daemon serves a low and a high key. */
bool entry_serves_keys(void *entry);

/** Whether a daemon (struct entry) serves a route with the prefix "/added/". */
bool entry_serves_added_route(void *entry);

/** Whether a daemon says that it leads. */
bool entry_leads(const struct entry *entry);

/** Calls the control API of standin-site and returns the body of the answer;
 * the caller frees it. In its URIs, upstreams 0 and 1 serve the service
 * "plain", 2 and 3 the service "keyed". */
GString *entry_rig_query(const struct entry_rig *rig, const char *uri,
			 const char *body);

/** Calls the control API of standin-site and drops the answer. */
void entry_rig_command(const struct entry_rig *rig, const char *uri,
		       const char *body);

/** Returns a number that standin-site reports under a name; -1 on an error. */
int entry_rig_count(const struct entry_rig *rig, const char *name);

/** Returns how often the upstreams of standin-site executed a request; -1 on an
 * error. */
int entry_rig_runs(const struct entry_rig *rig, const char *id);

#endif
