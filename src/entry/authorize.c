#include "entry/authorize.h"

#include "entry/forward_impl.h"

static const struct refusal refusals[] = {
	[CUSTOMER_UNKNOWN_KEY] = { 401, 0, "unknown_key" },
	[CUSTOMER_OUT_OF_CONTACT] = { 503, OUT_OF_CONTACT_RETRY_S,
				      "out_of_contact" },
};

/* Identifies the customer of a request with these header fields. */
static const struct refusal *identify(struct forward *forward,
				      const struct headers *headers,
				      bool is_public,
				      struct customer **customer)
{
	struct request_facts facts;
	enum customer_verdict verdict;

	forward->options.protocol->read_request(headers, &facts);
	verdict = customers_identify(forward->options.customers, facts.api_key,
				     is_public, forward_now(forward), customer);
	return verdict == CUSTOMER_ACCEPTED ? NULL : &refusals[verdict];
}

const struct refusal *authorize_arrival(struct forward *forward,
					const struct http_request *request,
					const struct route *route,
					struct customer **customer)
{
	return identify(forward, request->headers, route && route->is_public,
			customer);
}

const struct refusal *authorize_send(struct proxy_request *req)
{
	struct forward *forward = req->forward;
	const struct config *config = roster_config(forward->options.roster);
	const struct http_request *caller = req->caller;

	if (!customers_required(forward->options.customers)) {
		req->customer = NULL;
		return NULL;
	}
	if (req->config_version != config->version) {
		const struct route *route = config_route(
			config, forward_host(caller), forward_path(caller));

		req->config_version = config->version;
		req->is_public = route && route->is_public;
	}
	return identify(forward, caller->headers, req->is_public,
			&req->customer);
}

bool authorize_refuses_over_quota(struct proxy_request *req, bool queued)
{
	const struct forward *forward = req->forward;
	const struct customers *customers = forward->options.customers;
	double now = forward_now(forward);
	double random = g_rand_double(forward->random);
	double retry_after_s = 0;

	if (!req->customer || req->sends)
		return false;
	if (queued ? customers_still_admit(customers, req->customer, random,
					   now, &retry_after_s)
		   : customers_admit(customers, req->customer, random, now,
				     &retry_after_s))
		return false;
	proxy_request_refuse(req, TOO_MANY_REQUESTS, retry_after_s,
			     "over_quota");
	return true;
}
