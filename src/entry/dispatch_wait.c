/*
 * Estimates how long a request waits until an upstream can take it, and from
 * that the Retry-After of a refused one.
 */
#include "entry/forward_impl.h"

/* Shortest Retry-After of a refused request, in seconds. */
#define RETRY_MIN_S 0.02
/* Retry-After, in seconds, of a request for a key whose owner gets more than
 * the limit that it names: by then keys have usually moved to other owners. */
#define LIMIT_WAIT_S 0.5

/* Compares two requests: negative if a is more urgent than b, positive if a is
 * less urgent, 0 if both are as urgent. */
int dispatch_compare_urgency(const struct proxy_request *a,
			     const struct proxy_request *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->give_up_s != b->give_up_s)
		return a->give_up_s < b->give_up_s ? -1 : 1;
	return 0;
}

/* Returns the number of queued requests that are at least as urgent as a
 * request. */
static unsigned int queued_before(const struct proxy_request *req)
{
	unsigned int count = 0;
	GList *at;

	for (at = req->service->queue.head; at; at = at->next)
		if (dispatch_compare_urgency(at->data, req) <= 0)
			count++;
	return count;
}

/* Returns the number of an upstream's slots that it keeps busy within the limit
 * that it names. */
static double slots_within_limit(const struct proxy_request *req,
				 const struct upstream *upstream)
{
	double slots = upstream->load.slots;

	if (!upstream->limit.limited)
		return slots;
	return MIN(slots, upstream->limit.per_s * req->stats->mean_s);
}

/* Returns the sum of the slots of upstreams that take requests and aren't
 * ejected. */
static double usable_slots(const struct proxy_request *req)
{
	const struct roster *roster = req->forward->options.roster;
	double now = forward_now(req->forward);
	double slots = 0;
	guint i;

	for (i = 0; i < req->service->upstreams->len; i++) {
		const struct upstream *u = req->service->upstreams->pdata[i];

		if (upstream_takes_work(roster, u) &&
		    !upstream_paused(roster, u) &&
		    now >= u->load.ejected_until_s)
			slots += slots_within_limit(req, u);
	}
	return slots;
}

/* Returns the owner of the request's key; NULL if there is none or it isn't in
 * the roster. */
static struct upstream *owner_of(const struct proxy_request *req)
{
	const struct key_span *span =
		key_map_find(req->service->keys, req->key);

	return span->owner ? roster_upstream(req->forward->options.roster,
					     span->owner)
			   : NULL;
}

/* Returns the expected response time, in seconds, of one more request at the
 * key's owner, including the time in the owner's queue. */
double dispatch_owner_expected_s(const struct proxy_request *req)
{
	const struct upstream *owner = owner_of(req);
	double now = forward_now(req->forward);

	/* Refusals and failures count only where there is a choice. */
	return owner ? load_response_s(&owner->load, req->stats->mean_s, now)
		     : req->stats->mean_s;
}

/* Returns the time, in seconds, until the first upstream that takes requests
 * doesn't want a pause any more; 0 if there is one already. */
static double shortest_pause_s(const struct proxy_request *req)
{
	const struct roster *roster = req->forward->options.roster;
	double now = forward_now(req->forward);
	double shortest = G_MAXDOUBLE;
	guint i;

	for (i = 0; i < req->service->upstreams->len; i++) {
		const struct upstream *u = req->service->upstreams->pdata[i];

		if (upstream_takes_work(roster, u))
			shortest =
				MIN(shortest, MAX(u->paused_until_s - now, 0));
	}
	return shortest < G_MAXDOUBLE ? shortest : 0;
}

/* Returns the rest, in seconds, of the pauses that the upstreams which may run
 * the request asked for. */
double dispatch_pause_left_s(const struct proxy_request *req)
{
	const struct upstream *owner;

	if (req->key < 0)
		return shortest_pause_s(req);
	owner = owner_of(req);
	return owner ? MAX(owner->paused_until_s - forward_now(req->forward), 0)
		     : 0;
}

/* Returns the expected time, in seconds, until a request that is queued now is
 * sent. Assumes that every other VM has as many requests queued as this one. */
double dispatch_expected_wait_s(const struct proxy_request *req)
{
	double pause_s = dispatch_pause_left_s(req);
	double ahead = (queued_before(req) + 1.0) *
		       roster_vm_count(req->forward->options.roster);
	double slots = usable_slots(req);

	return MAX(pause_s,
		   ahead * req->stats->mean_s / (slots > 1 ? slots : 1));
}

/* Returns the expected time, in seconds, until the key's owner can take the
 * request. */
double dispatch_owner_wait_s(const struct proxy_request *req)
{
	const struct key_span *span =
		key_map_find(req->service->keys, req->key);
	const struct upstream *owner = owner_of(req);
	double now = forward_now(req->forward);
	double refused_s = refused_grants_wait_s(req->service->refused_grants,
						 span->fence, now);

	if (!span->owner)
		return MAX(req->service->keys_updated_s + span->wait_s - now,
			   0);
	if (!owner || owner->entry.started_ms != span->started_ms)
		return OWNER_WAIT_S;
	if (!load_usable(&owner->load, now))
		return MAX(owner->load.ejected_until_s - now, 0);
	if (refused_s > 0)
		return refused_s;
	if (upstream_limit_exceeded(&owner->limit, now))
		return LIMIT_WAIT_S;
	return MAX(MAX(dispatch_owner_expected_s(req) - req->stats->mean_s, 0),
		   dispatch_pause_left_s(req));
}

double dispatch_retry_after_s(const struct proxy_request *req)
{
	double wait = req->key >= 0 ? dispatch_owner_wait_s(req)
				    : dispatch_expected_wait_s(req);

	/* The upstream refuses a part of what it gets, whatever its load: the
	 * next try may be accepted at any time. */
	if (req->shed_with_room)
		return RETRY_MIN_S;
	return wait > RETRY_MIN_S ? wait : RETRY_MIN_S;
}
