/**
 * Authentication of callers' requests, when they arrive and before each time
 * that they are sent, because the configuration may have changed in between;
 * and the quotas of customers. Private to the forwarding module.
 */
#ifndef ENTRY_AUTHORIZE_H
#define ENTRY_AUTHORIZE_H

#include "entry/proxy_request.h"

/** Retry-After, in seconds, of a VM that may not know the newest configuration.
 * A VM that regains contact hears the leader within this time. */
#define OUT_OF_CONTACT_RETRY_S 0.3

/** Status, Retry-After (0: none) and reason in the log of a refusal. */
struct refusal {
	unsigned int status;
	double retry_after_s;
	const char *reason;
};

/**
 * Identifies the customer of a request that has just been received.
 *
 * @param route NULL if the request has none
 * @param customer set to the customer, or to NULL
 * @return the refusal, a static object; NULL if the request may be served
 */
const struct refusal *authorize_arrival(struct forward *forward,
					const struct http_request *request,
					const struct route *route,
					struct customer **customer);

/**
 * Identifies the customer of a request again, by the configuration in force,
 * before the request is sent.
 *
 * @return as for authorize_arrival()
 */
const struct refusal *authorize_send(struct proxy_request *req);

/**
 * Refuses a request that hasn't been sent yet if its customer's quota has no
 * room for it.
 *
 * @param queued the request was admitted before, and then queued
 * @return whether the request was refused and freed
 */
bool authorize_refuses_over_quota(struct proxy_request *req, bool queued);

#endif
