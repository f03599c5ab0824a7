/**
 * One real router between a stub assigner and stub upstreams, for tests that
 * need exact bytes and exact moments.
 *
 * Services: "reads" (idempotent, any upstream), "writes" (not idempotent),
 * "lots" (once), "keys" (idempotent, keyed). Profiles have a deadline of
 * RIG_DEADLINE_MS and a stall limit of RIG_STALL_MS.
 */
#ifndef CLUSTER_RIG_H
#define CLUSTER_RIG_H

#include "cluster_http.h"
#include "cluster_process.h"
#include "cluster_stub_assigner.h"
#include "cluster_stub_upstream.h"

#define RIG_DEADLINE_MS 1500
#define RIG_STALL_MS 600
#define RIG_BODY_LIMIT 8388608
/** Stub upstreams; each runs every service, as "SERVICE-0" and so on. */
#define RIG_UPSTREAMS 2

struct rig {
	struct stub_assigner *assigner;
	struct stub_upstream *upstreams[RIG_UPSTREAMS];
	struct process *platform;
	struct process *router;
	char *folder;
};

/**
 * Starts all of it and waits until the router is ready.
 *
 * @param arguments more of the router's, ended by NULL; may be NULL
 */
struct rig *rig_start(const char *const *arguments);

/** Ends all of it. */
void rig_stop(struct rig *rig);

/** The router's address for callers. */
const char *rig_callers(const struct rig *rig);

/** Tells the VMs again, with all upstreams, or only the first so many. */
void rig_use_upstreams(struct rig *rig, unsigned int count);

/** Publishes settings of a version. @param zones_out JSON list */
void rig_settings(struct rig *rig, uint64_t version, const char *zones_out);

/** The same reply from all upstreams. */
void rig_reply(struct rig *rig, const struct stub_reply *reply);

/** A new incarnation of all upstreams; not copied. */
void rig_boot(struct rig *rig, const char *boot);

/** Requests that all upstreams ran. */
unsigned int rig_runs(const struct rig *rig);

/** Bytes of all bodies that they took in. */
uint64_t rig_bodies(const struct rig *rig);

/** Sends one request through the router. */
struct http_answer *rig_send(const struct rig *rig, const char *method,
			     const char *uri, const char *body);

/**
 * Sends bytes and reads until the router closes, or for a while.
 *
 * @return the answer's bytes; freed with g_free()
 */
char *rig_raw(const struct rig *rig, const char *bytes, size_t len);

/** The same, with the longest time to wait for bytes. */
char *rig_raw_wait(const struct rig *rig, const char *bytes, size_t len,
		   int wait_ms);

/** Whether an answer is a refusal with this verdict and reason. */
bool rig_refused(const struct http_answer *answer, long status,
		 const char *verdict, const char *reason);

#endif
