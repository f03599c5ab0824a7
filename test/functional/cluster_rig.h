/**
 * Test rig: a router process between a stub assigner and stub upstreams. Tests
 * use it to control the exact bytes and the timing of what the router receives.
 *
 * Services: "reads" (idempotent, any upstream), "writes" (not idempotent),
 * "lots" (at most once per idempotency key), "keys" (idempotent, each key has
 * an owner).
 */
#ifndef CLUSTER_RIG_H
#define CLUSTER_RIG_H

#include "cluster_http.h"
#include "cluster_process.h"
#include "cluster_stub_assigner.h"
#include "cluster_stub_upstream.h"

/** Time within which the router must answer a request, in all services. */
#define RIG_DEADLINE_MS 1500
/** Time without progress after which the router gives up an attempt. */
#define RIG_STALL_MS 600
/** Maximum size of a request body, in bytes. */
#define RIG_BODY_LIMIT 8388608
/** Number of stub upstreams. Stub i serves all services; in the VM list it has
 * one entry per service, with the id "SERVICE-i". */
#define RIG_UPSTREAMS 2

/** A running rig. Tests may use its members; a test that stops an upstream sets
 * its pointer to NULL. */
struct rig {
	struct stub_assigner *assigner;
	struct stub_upstream *upstreams[RIG_UPSTREAMS];
	/** The platform stand-in, whose table holds the idempotency keys. */
	struct process *platform;
	struct process *router;
	/** Path of the folder of the log files. */
	char *folder;
};

/**
 * Starts the stubs, the platform and the router, and waits until the router is
 * ready. Aborts the test program on failure.
 *
 * @param arguments additional arguments of the router, ended by NULL; NULL:
 *        none
 * @return a new rig; rig_stop() frees it
 */
struct rig *rig_start(const char *const *arguments);

/** Ends the processes and stubs, and frees the rig. */
void rig_stop(struct rig *rig);

/** Returns the "IPv4:port" on which the router serves callers. */
const char *rig_caller_address(const struct rig *rig);

/** Publishes a VM list with the first count upstreams in each service. */
void rig_use_upstreams(struct rig *rig, unsigned int count);

/**
 * Publishes the services above and their profiles under a settings version.
 *
 * @param zones_out JSON list of the zones that get no new requests
 */
void rig_set_settings(struct rig *rig, uint64_t version, const char *zones_out);

/** Sets the reply of all upstreams; its bytes are not copied. */
void rig_set_reply(struct rig *rig, const struct stub_reply *reply);

/**
 * Sets the incarnation id of all upstreams, both in their answers to probes and
 * in the shares that the assigner grants.
 *
 * @param boot the id; the text is not copied
 */
void rig_set_incarnation(struct rig *rig, const char *boot);

/** Counts the requests that the upstreams have read to their end. */
unsigned int rig_run_count(const struct rig *rig);

/** Counts the bytes of request bodies that the upstreams received. */
uint64_t rig_body_bytes(const struct rig *rig);

/**
 * Sends one request through the router.
 *
 * @return the answer; the caller frees it with http_answer_destroy()
 */
struct http_answer *rig_send(const struct rig *rig, const char *method,
			     const char *uri, const char *body);

/**
 * Sends bytes to the router on a new connection, and reads until the router
 * closes it or sends nothing for 300 ms.
 *
 * @return the answer's bytes; freed with g_free()
 */
char *rig_send_raw(const struct rig *rig, const char *bytes, size_t len);

/** Same as rig_send_raw(), but stops reading after wait_ms of silence. */
char *rig_send_raw_wait(const struct rig *rig, const char *bytes, size_t len,
			int wait_ms);

/**
 * Returns whether an answer is a refusal with this status, verdict and reason;
 * prints the answer when it isn't.
 */
bool rig_is_refusal(const struct http_answer *answer, long status,
		    const char *verdict, const char *reason);

#endif
