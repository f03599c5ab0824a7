/* The rules that the fuzz target checks. */
#include "fuzz_request_parts/world.h"

/* Most upstreams that one request may crash. */
#define CRASHES_MAX 2

void oracle_executed(struct world *w, struct copy *copy)
{
	struct request *request = copy->request;
	struct call *call = request->call;

	request->executions++;
	call->executions++;
	if (call->kind == KIND_ONCE && call->executions > 1)
		world_violate(w, "once-work ran twice");
	if (call->kind == KIND_PLAIN && request->executions > 1)
		world_violate(w, "a request that isn't idempotent ran twice");
	if (request->replied && request->verdict.kind == VERDICT_NOT_RUN)
		world_violate(w, "ran after its caller was told not-run");
}

void oracle_received(struct world *w, const struct fake_upstream *u,
		     const struct copy *copy)
{
	uint32_t copies_present = u->running->len + u->waiting.length;

	if (upstream_is_cold(w, u) && u->cold_start &&
	    copies_present >= u->cold_limit)
		world_violate(w, "a cold upstream received too much");
	if (u->leaving &&
	    copy->sent_us > u->leaving_since_us + LEAVING_BOUND_US)
		world_violate(w, "a leaving upstream received new work");
}

void oracle_crashed(struct world *w, struct call *call)
{
	call->crashes++;
	if (call->crashes > CRASHES_MAX + call->hidden_crashes)
		world_violate(w, "one request crashed a third upstream");
}

void oracle_sent(struct world *w, const struct copy *copy)
{
	const struct connection *c = copy->connection;
	const struct fake_router *r = &w->routers[c->router];

	if (c->silent &&
	    c->silent_since_us < r->silence_detected_us[c->upstream])
		world_violate(w, "sent on a connection known to be suspect");
}

/* Returns whether the crashes under a call that crashed no upstream itself
 * justify its refusal: one was an injected fault, or its culprit had a crash
 * that routers may not have learned of; two had different culprits; or all
 * copies were sent before their router knew of an earlier crash. */
static bool refusal_is_justified(const struct call *call)
{
	const struct call *culprit = NULL;
	uint32_t i, sent_knowing = 0;

	for (i = 0; i < call->death_count; i++) {
		const struct death *death = &call->deaths[i];

		if (!death->culprit || death->culprit->hidden_crashes ||
		    (culprit && culprit != death->culprit))
			return true;
		culprit = death->culprit;
		sent_knowing += death->sent_knowing_crash;
	}
	return call->death_count >= CRASHES_MAX && !sent_knowing;
}

static void check_whole(struct world *w, const struct request *request)
{
	bool sent = false;
	uint32_t i;

	for (i = 0; i < ATTEMPT_MAX; i++) {
		if (!request->copies[i])
			continue;
		sent = true;
		if (request->copies[i]->bytes == BODY_BYTES)
			return;
	}
	if (sent)
		world_violate(w, "a truncated answer was passed as whole");
	else if (!request->call->executions)
		world_violate(w, "an outcome was told of what never ran");
}

void oracle_check_reply(struct world *w, struct request *request, bool whole)
{
	struct verdict verdict = request->verdict;

	w->finished++;
	if (whole)
		check_whole(w, request);
	if (verdict.kind == VERDICT_NOT_RUN && request->executions)
		world_violate(w, "told not-run after it ran");
	if (verdict.reason == REASON_POISONED &&
	    request->call->kind != KIND_MARKED &&
	    !refusal_is_justified(request->call))
		world_violate(w, "an innocent neighbour was blamed");
}

void oracle_end(struct world *w)
{
	uint32_t i;
	guint j;

	for (i = 0; i < ROUTERS; i++) {
		const struct fake_router *r = &w->routers[i];

		for (j = 0; r->up && j < r->requests->len; j++) {
			const struct request *request =
				g_ptr_array_index(r->requests, j);

			if (!request->replied)
				world_violate(w, "a request never ended");
		}
	}
}
