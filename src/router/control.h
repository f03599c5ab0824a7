/**
 * The control thread. It keeps the links to assigners, receives settings, owner
 * maps and the VM list over these links, writes claims to the platform's table,
 * serves the operator address and runs the graceful shutdown.
 */
#ifndef ROUTER_CONTROL_H
#define ROUTER_CONTROL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/claim.h"
#include "router/mailbox.h"
#include "router/router.h"

/** A claim whose table operations the control thread has to carry out. */
struct claim_job {
	/** Set by control_run_claim(), as is control. */
	struct message message;
	struct control *control;
	/** The request's claim; borrowed. */
	struct claim *claim;
	/** true: record the request's outcome. false: acquire the claim. */
	bool closing;
	/** Receives the job when the claim needs no more operations. Its thread
	 * then calls done. */
	struct mailbox *mailbox;
	void (*done)(struct message *message);
};

/**
 * Creates the state of the control thread. The thread that calls control_run()
 * becomes the control thread.
 *
 * @param error AUBURN_ERROR_UNAVAILABLE when the operator address cannot be
 *        bound
 * @return NULL on error
 */
struct control *control_create(struct router *router, GError **error);

/** Frees the control state; NULL is allowed. Destroy the workers first. */
void control_destroy(struct control *control);

/** Returns the port that the operator address is bound to. */
uint16_t control_operator_port(const struct control *control);

/**
 * Runs the control loop until a graceful shutdown, which SIGTERM or SIGINT
 * begins, is complete.
 */
void control_run(struct control *control);

/*
 * The functions below may be called from any thread.
 */

/**
 * Carries out a claim's operations in the platform's table.
 *
 * @param job belongs to the control thread until job->done is called
 */
void control_run_claim(struct control *control, struct claim_job *job);

/**
 * Asks an upstream to cancel a request. The answer is ignored.
 *
 * @param upstream control address of the upstream
 */
void control_cancel_request(struct control *control,
			    const struct sockaddr_in *upstream,
			    const char *request_id);

/**
 * Reports to the assigners that an upstream refused a key that it does not own,
 * and asks them for the newest owner map: either this router's map or the
 * upstream's is out of date.
 *
 * @param epoch the map epoch that the upstream named in its refusal
 * @param upstream id of the upstream
 */
void control_report_stale_map(struct control *control, const char *service,
			      uint64_t epoch, const char *upstream);

/** Makes the control thread send the pending share requests and crash reports
 * now instead of at the next interval. */
void control_wake(struct control *control);

#endif
