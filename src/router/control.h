/**
 * The control thread: links to assigners, settings, maps and VMs, claims in the
 * platform's table, the operator address, and graceful shutdown.
 */
#ifndef ROUTER_CONTROL_H
#define ROUTER_CONTROL_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/claim.h"
#include "router/mailbox.h"
#include "router/router.h"

/** A claim whose operations are to be carried out. */
struct claim_job {
	struct message message;
	struct control *control;
	struct claim *claim;
	/** It records the outcome; else it claims. */
	bool closing;
	/** Where done is called, once the claim wants nothing more. */
	struct mailbox *mailbox;
	void (*done)(struct message *message);
};

/**
 * Creates the control of a router. Its thread is the one that calls
 * control_run().
 *
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct control *control_create(struct router *router, GError **error);

/** Frees it; the workers must be gone. */
void control_destroy(struct control *control);

/** The port of the operator address. */
uint16_t control_operator_port(const struct control *control);

/** Runs until a graceful shutdown is complete. */
void control_run(struct control *control);

/*
 * From any thread.
 */

/** Carries out a claim's operations in the table. */
void control_claim(struct control *control, struct claim_job *job);

/** Tells an upstream to cancel a request. */
void control_cancel(struct control *control, const struct sockaddr_in *upstream,
		    const char *request_id);

/**
 * An upstream refused a key: map or upstream are behind.
 *
 * @param epoch the highest epoch it told
 */
void control_stale(struct control *control, const char *cell, uint64_t epoch,
		   const char *upstream);

/** Wakes the thread to ask for shares and to tell of deaths. */
void control_wake(struct control *control);

#endif
