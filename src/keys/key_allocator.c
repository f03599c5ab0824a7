#include "keys/key_allocator_impl.h"

#include <string.h>

#include "base/planted.h"

/* The clocks of two VMs differ in speed by at most this factor. On an upstream
 * with a slow clock a grant lasts longer. */
#define CLOCK_FACTOR 1.02
/* Added to every wait for a grant to expire. */
#define MARGIN_S 0.05
/* A grant is renewed after the fraction RENEW_PART of its duration, but after
 * RENEW_MAX_S at the latest. */
#define RENEW_PART 0.2
#define RENEW_MAX_S 1.0
/* Delay before a failed order or a failed save is repeated. */
#define RETRY_S 0.15
/* Consecutive failed orders before an owner counts as lost. */
#define FAILED_ORDERS_MAX 2
/* Estimated duration of a move: the old owner finishes its work, the map is
 * saved, the new owner gets its grant. Only used to report expected waits. */
#define MOVE_S 0.12
/* The fencing tokens of releases are not saved. A new leader skips this many
 * tokens, so that it starts above those of the previous leader. */
#define FENCE_GAP 1000

/* Returns the state of an inherited key range. */
static struct span_state inherit_span(const struct key_inheritance *inherited,
				      const struct key_span *span)
{
	struct span_state state = { .span = *span };

	if (inherited->owners_unknown)
		state.span.owner = NULL;
	if ((inherited->owners_unknown || span->owner) &&
	    !injected(INJECTED_NO_WAIT_FOR_OLD_GRANTS))
		state.granted_until_s = inherited->until_s;
	if (state.span.owner) {
		/* The owner may have restarted meanwhile. */
		state.needs_new_fence = true;
		state.token_sent = true;
		state.same_owner = true;
	} else if (inherited->owners_unknown) {
		state.phase = PHASE_WAITING;
	}
	return state;
}

struct key_allocator *
key_allocator_create(const struct key_allocator_ops *ops, void *ctx,
		     const struct key_inheritance *inherited)
{
	struct key_allocator *allocator = g_new0(struct key_allocator, 1);
	const GArray *spans = inherited->map->spans;
	guint i;

	allocator->ops = ops;
	allocator->ctx = ctx;
	allocator->span_states =
		g_array_new(FALSE, TRUE, sizeof(struct span_state));
	allocator->load = key_load_create();
	allocator->fence =
		MAX(inherited->map->fence, inherited->fence_min) + FENCE_GAP;
	allocator->next_order = 1;
	if (inherited->owners_unknown &&
	    !injected(INJECTED_NO_WAIT_FOR_OLD_GRANTS))
		allocator->owners_unknown_until_s = inherited->until_s;
	for (i = 0; i < spans->len; i++) {
		struct span_state state = inherit_span(
			inherited, &g_array_index(spans, struct key_span, i));

		g_array_append_val(allocator->span_states, state);
	}
	return allocator;
}

void key_allocator_destroy(struct key_allocator *allocator)
{
	guint i;

	if (!allocator)
		return;
	for (i = 0; i < allocator->span_states->len; i++)
		g_free(span_state_at(allocator, i)->handover);
	g_array_free(allocator->span_states, TRUE);
	key_load_destroy(allocator->load);
	g_free(allocator);
}

void key_allocator_count_request(struct key_allocator *allocator, uint16_t key)
{
	key_load_add(allocator->load, key);
}

double key_allocator_requests_per_s(const struct key_allocator *allocator)
{
	return key_load_per_s(allocator->load);
}

/* Returns a new order id, skipping 0, which stands for no order. */
static uint32_t new_order(struct key_allocator *allocator)
{
	uint32_t id = allocator->next_order++;

	return id ? id : allocator->next_order++;
}

static void send_grant(struct key_allocator *allocator,
		       struct span_state *state, double hold_s)
{
	struct key_order order = {
		.id = new_order(allocator),
		.owner = state->span.owner,
		.first = state->span.first,
		.last = state->span.last,
		.fence = state->span.fence,
		.hold_s = hold_s,
		.handover = state->handover,
		.fresh = !state->granted && !state->token_sent,
	};

	state->order = order.id;
	state->order_hold_s = hold_s;
	state->grant_hold_s = hold_s;
	state->token_sent = true;
	allocator->ops->grant(allocator->ctx, &order);
}

static void send_release(struct key_allocator *allocator,
			 struct span_state *state)
{
	/* With a higher token the owner rejects late grants under the old
	 * token. */
	struct key_order order = {
		.id = new_order(allocator),
		.owner = state->span.owner,
		.first = state->span.first,
		.last = state->span.last,
		.fence = ++allocator->fence,
	};

	state->order = order.id;
	state->order_hold_s = 0;
	allocator->ops->release(allocator->ctx, &order);
}

/* Returns when all known grants of the key range have expired. */
static double grants_end_s(const struct span_state *state)
{
	return MAX(state->granted_until_s, state->unconfirmed_until_s);
}

/* Requests a save of the map with the next owner, which is granted the key
 * range under a new fencing token once the map is saved. */
static void request_save(struct key_allocator *allocator,
			 struct span_state *state)
{
	state->phase = PHASE_SAVING;
	state->in_save = false;
	allocator->save_wanted = true;
}

/* Grants the key range to its owner again, under a new fencing token. */
static void request_new_fence(struct key_allocator *allocator,
			      struct span_state *state)
{
	state->next_owner = state->span.owner;
	state->next_started_ms = state->span.started_ms;
	state->same_owner = true;
	request_save(allocator, state);
}

static void set_next_owner(struct span_state *state,
			   const struct key_candidate *to)
{
	state->next_owner = to ? to->id : NULL;
	state->next_started_ms = to ? to->started_ms : 0;
}

void key_allocator_move(struct key_allocator *allocator,
			struct span_state *state,
			const struct key_candidate *to, const char *reason)
{
	allocator->ops->note(allocator->ctx, &state->span, to ? to->id : "-",
			     reason);
	set_next_owner(state, to);
	state->same_owner = false;
	state->for_balance = false;
	state->phase = PHASE_RELEASING;
	state->failed_orders = 0;
	state->next_order_s = 0;
	allocator->ops->changed(allocator->ctx);
}

/* Makes a key range wait until its grants expire, without a next owner. */
static void wait_for_expiry(struct key_allocator *allocator,
			    struct span_state *state, const char *reason)
{
	allocator->ops->note(allocator->ctx, &state->span, "-", reason);
	state->phase = PHASE_WAITING;
	state->same_owner = false;
	set_next_owner(state, NULL);
	allocator->ops->changed(allocator->ctx);
}

static const struct key_candidate *
find_candidate(const struct key_allocator *allocator, const char *id)
{
	size_t i;

	for (i = 0; i < allocator->candidate_count; i++)
		if (allocator->candidates[i].id == id)
			return &allocator->candidates[i];
	return NULL;
}

/* Grants a key range to the new incarnation of its owner without waiting: no
 * other upstream can hold it.
 *
 * @return false when the upstream is not a candidate */
static bool regrant_to_restarted(struct key_allocator *allocator,
				 struct span_state *state)
{
	const struct key_candidate *to =
		find_candidate(allocator, state->span.owner);

	if (!to)
		return false;
	allocator->ops->note(allocator->ctx, &state->span, to->id, "restarted");
	set_next_owner(state, to);
	state->same_owner = false;
	request_save(allocator, state);
	allocator->ops->changed(allocator->ctx);
	return true;
}

/* Handles an owner whose process has ended. The owner holds no keys, but a
 * grant still in flight could reach another incarnation, so unanswered grants
 * must expire. */
static void owner_ended(struct key_allocator *allocator,
			struct span_state *state, double now_s)
{
	state->granted_until_s = now_s;
	wait_for_expiry(allocator, state, "owner_ended");
}

/* Issues what is due for a key range in PHASE_HELD: a grant, or a move away
 * from an owner that is leaving or lost. */
static void tick_held(struct key_allocator *allocator, struct span_state *state,
		      double now_s, double hold_s)
{
	const struct key_candidate *to;

	switch (allocator->ops->owner_state(allocator->ctx, state->span.owner,
					    state->span.started_ms)) {
	case OWNER_ENDED:
		owner_ended(allocator, state, now_s);
		return;
	case OWNER_RESTARTED:
		if (regrant_to_restarted(allocator, state))
			return;
		/* fall through */
	case OWNER_UNREACHABLE:
	case OWNER_LEAVING:
		to = key_allocator_choose_owner(allocator, state);
		if (to && to->id != state->span.owner) {
			key_allocator_move(allocator, state, to,
					   "owner_leaves");
			return;
		}
		break;
	case OWNER_AVAILABLE:
		break;
	}
	if (state->failed_orders >= FAILED_ORDERS_MAX &&
	    now_s > grants_end_s(state)) {
		wait_for_expiry(allocator, state, "owner_does_not_answer");
		return;
	}
	if (now_s < state->next_order_s)
		return;
	if (state->needs_new_fence && !injected(INJECTED_FENCING_TOKEN_REUSED))
		request_new_fence(allocator, state);
	else
		send_grant(allocator, state, hold_s);
}

/* As tick_held(), in PHASE_RELEASING: a release, or a save once the owner can't
 * hold the range any more. */
static void tick_releasing(struct key_allocator *allocator,
			   struct span_state *state, double now_s)
{
	if (allocator->ops->owner_state(allocator->ctx, state->span.owner,
					state->span.started_ms) == OWNER_ENDED)
		owner_ended(allocator, state, now_s);
	else if (now_s > grants_end_s(state))
		request_save(allocator, state);
	else if (now_s >= state->next_order_s)
		send_release(allocator, state);
}

/* As tick_held(), in PHASE_WAITING: chooses the next owner once no grant is
 * left. */
static void tick_waiting(struct key_allocator *allocator,
			 struct span_state *state, double now_s)
{
	const struct key_candidate *to;
	enum owner_state owner = OWNER_UNREACHABLE;

	if (state->span.owner)
		owner = allocator->ops->owner_state(allocator->ctx,
						    state->span.owner,
						    state->span.started_ms);
	if (owner == OWNER_RESTARTED && regrant_to_restarted(allocator, state))
		return;
	if (owner == OWNER_ENDED && state->granted_until_s > now_s)
		state->granted_until_s = now_s;
	if (now_s <= grants_end_s(state))
		return;
	to = key_allocator_choose_owner(allocator, state);
	if (!to)
		return;
	set_next_owner(state, to);
	request_save(allocator, state);
}

static void tick_one(struct key_allocator *allocator, struct span_state *state,
		     double now_s, double hold_s)
{
	if (state->order)
		return;
	if (state->phase == PHASE_HELD && !state->span.owner)
		state->phase = PHASE_WAITING;
	switch (state->phase) {
	case PHASE_HELD:
		tick_held(allocator, state, now_s, hold_s);
		break;
	case PHASE_RELEASING:
		tick_releasing(allocator, state, now_s);
		break;
	case PHASE_WAITING:
		tick_waiting(allocator, state, now_s);
		break;
	case PHASE_SAVING:
		break;
	}
}

/* Saves the map: the current owners, and the next owners in PHASE_SAVING. */
static void start_save(struct key_allocator *allocator)
{
	struct key_map *map = key_map_create();
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < allocator->span_states->len; i++) {
		struct span_state *state = span_state_at(allocator, i);
		struct key_span span = state->span;

		if (state->phase == PHASE_SAVING) {
			state->in_save = true;
			span.owner = state->next_owner;
			span.started_ms = state->next_started_ms;
			span.fence = ++allocator->fence;
			state->span.fence = span.fence;
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = allocator->fence;
	allocator->saving = true;
	allocator->save_wanted = false;
	allocator->ops->save(allocator->ctx, map);
	key_map_destroy(map);
}

/* Creates a service's first map: divides all keys between the candidates in
 * proportion to their weights. */
static void assign_initial_ranges(struct key_allocator *allocator)
{
	struct span_state all = *span_state_at(allocator, 0);
	double total = 0, sum = 0;
	uint32_t first = 0;
	size_t i;

	for (i = 0; i < allocator->candidate_count; i++)
		total += allocator->candidates[i].weight;
	g_array_set_size(allocator->span_states, 0);
	for (i = 0; i < allocator->candidate_count; i++) {
		struct span_state part = all;
		uint32_t end;

		sum += allocator->candidates[i].weight;
		end = i + 1 == allocator->candidate_count
			      ? KEY_LAST + 1
			      : (uint32_t)(sum / total * (KEY_LAST + 1));
		if (end <= first)
			continue;
		part.span.first = (uint16_t)first;
		part.span.last = (uint16_t)(end - 1);
		set_next_owner(&part, &allocator->candidates[i]);
		part.phase = PHASE_SAVING;
		g_array_append_val(allocator->span_states, part);
		first = end;
	}
	allocator->save_wanted = true;
}

/* Whether the service has no owners yet, and no upstream can hold keys. */
static bool is_unassigned(struct key_allocator *allocator, double now_s)
{
	const struct span_state *state = span_state_at(allocator, 0);

	return allocator->span_states->len == 1 && !state->span.owner &&
	       state->phase != PHASE_SAVING && now_s > grants_end_s(state);
}

void key_allocator_tick(struct key_allocator *allocator, double now_s,
			double hold_s, const struct key_candidate *candidates,
			size_t count)
{
	guint i;

	allocator->candidates = candidates;
	allocator->candidate_count = count;
	key_load_decay(allocator->load, now_s);
	if (is_unassigned(allocator, now_s) && count)
		assign_initial_ranges(allocator);
	for (i = 0; i < allocator->span_states->len; i++)
		tick_one(allocator, span_state_at(allocator, i), now_s, hold_s);
	key_allocator_balance(allocator, now_s);
	if (allocator->save_wanted && !allocator->saving &&
	    now_s >= allocator->save_at_s &&
	    now_s > allocator->owners_unknown_until_s)
		start_save(allocator);
	key_allocator_forget_loads(allocator);
	allocator->candidates = NULL;
	allocator->candidate_count = 0;
}

void key_allocator_save_again(struct key_allocator *allocator)
{
	allocator->save_wanted = true;
}

bool key_allocator_needs_save(const struct key_allocator *allocator)
{
	return allocator->save_wanted && !allocator->saving;
}

void key_allocator_renew_all(struct key_allocator *allocator, double now_s,
			     double hold_s)
{
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		struct span_state *state = span_state_at(allocator, i);

		if (state->phase != PHASE_HELD || !state->span.owner ||
		    state->needs_new_fence)
			continue;
		state->next_order_s = now_s;
		if (!state->order)
			send_grant(allocator, state, hold_s);
	}
}

/* Finds the key range that an order in progress is for, or NULL. */
static struct span_state *find_order(struct key_allocator *allocator,
				     uint32_t order)
{
	guint i;

	for (i = 0; i < allocator->span_states->len; i++)
		if (span_state_at(allocator, i)->order == order)
			return span_state_at(allocator, i);
	return NULL;
}

/* Moves an expiry time later, never earlier. */
static void extend_to(double *until, double at)
{
	if (at > *until)
		*until = at;
}

/* Returns when a grant that takes effect now has expired on any clock. */
static double grant_end_s(double now_s, double hold_s)
{
	return now_s + hold_s * CLOCK_FACTOR + MARGIN_S;
}

static void handle_grant_result(struct key_allocator *allocator,
				struct span_state *state,
				enum order_result result, double now_s)
{
	double hold_s = state->order_hold_s;
	double end = grant_end_s(now_s, hold_s);

	switch (result) {
	case ORDER_DONE:
		extend_to(&state->granted_until_s, end);
		state->failed_orders = 0;
		state->next_order_s =
			now_s + MIN(hold_s * RENEW_PART, RENEW_MAX_S);
		g_clear_pointer(&state->handover, g_free);
		state->same_owner = false;
		if (!state->granted) {
			state->granted = true;
			allocator->ops->changed(allocator->ctx);
		}
		break;
	case ORDER_FENCED:
		allocator->ops->note(allocator->ctx, &state->span,
				     state->span.owner, "fenced");
		request_new_fence(allocator, state);
		break;
	case ORDER_UNKNOWN:
		if (!injected(INJECTED_FORGET_UNANSWERED_GRANT))
			extend_to(&state->unconfirmed_until_s, end);
		state->failed_orders++;
		state->next_order_s = now_s + RETRY_S;
		break;
	case ORDER_NOT_SENT:
		if (!state->granted)
			state->token_sent = false;
		state->failed_orders++;
		/* A new fencing token can be requested at once. */
		state->next_order_s =
			now_s + (state->needs_new_fence ? 0 : RETRY_S);
		break;
	}
}

static void handle_release_result(struct key_allocator *allocator,
				  struct span_state *state,
				  enum order_result result,
				  const char *handover, double now_s)
{
	if (result == ORDER_DONE) {
		g_free(state->handover);
		state->handover = g_strdup(handover);
		state->granted_until_s = now_s;
		state->unconfirmed_until_s = now_s;
		request_save(allocator, state);
		return;
	}
	state->failed_orders++;
	state->next_order_s = now_s + RETRY_S;
	if (state->failed_orders >= FAILED_ORDERS_MAX)
		wait_for_expiry(allocator, state, "no_answer_to_release");
}

void key_allocator_order_done(struct key_allocator *allocator, uint32_t order,
			      enum order_result result, const char *handover,
			      double now_s)
{
	struct span_state *state = find_order(allocator, order);

	if (!state)
		return;
	state->order = 0;
	if (state->phase == PHASE_HELD)
		handle_grant_result(allocator, state, result, now_s);
	else if (state->phase == PHASE_RELEASING)
		handle_release_result(allocator, state, result, handover,
				      now_s);
}

void key_allocator_save_done(struct key_allocator *allocator, bool ok,
			     uint64_t version, double now_s)
{
	guint i;

	(void)version;
	allocator->saving = false;
	if (!ok) {
		allocator->save_wanted = true;
		allocator->save_at_s = now_s + RETRY_S;
		return;
	}
	for (i = 0; i < allocator->span_states->len; i++) {
		struct span_state *state = span_state_at(allocator, i);

		if (state->phase != PHASE_SAVING || !state->in_save)
			continue;
		state->phase = PHASE_HELD;
		state->span.owner = state->next_owner;
		state->span.started_ms = state->next_started_ms;
		state->in_save = false;
		state->granted = false;
		state->token_sent = false;
		state->needs_new_fence = false;
		state->failed_orders = 0;
		state->next_order_s = 0;
	}
}

void key_allocator_owner_disconnected(struct key_allocator *allocator,
				      const char *id)
{
	guint i;

	for (i = 0; i < allocator->span_states->len; i++)
		if (span_state_at(allocator, i)->span.owner == id &&
		    span_state_at(allocator, i)->token_sent)
			span_state_at(allocator, i)->needs_new_fence = true;
}

void key_allocator_owner_reconnecting(struct key_allocator *allocator,
				      const char *id)
{
	guint i;

	for (i = 0; i < allocator->span_states->len; i++)
		if (span_state_at(allocator, i)->span.owner == id &&
		    span_state_at(allocator, i)->granted)
			span_state_at(allocator, i)->needs_new_fence = true;
}

void key_allocator_owner_doubted(struct key_allocator *allocator,
				 const char *id, double now_s)
{
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		struct span_state *state = span_state_at(allocator, i);

		if (state->span.owner != id || !state->token_sent)
			continue;
		/* The owner has released its keys already. */
		if (state->phase == PHASE_SAVING && !state->same_owner)
			continue;
		extend_to(&state->unconfirmed_until_s,
			  grant_end_s(now_s, state->grant_hold_s));
	}
}

/* Returns whether requests for the key range may be sent to its owner. */
static bool is_served(const struct span_state *state)
{
	return state->same_owner ||
	       (state->phase == PHASE_HELD && state->granted);
}

/* Returns the expected time until a key range that is not served has an owner.
 */
static double expected_wait_s(const struct span_state *state, double now_s)
{
	if (state->phase == PHASE_WAITING && grants_end_s(state) > now_s)
		return grants_end_s(state) - now_s + MOVE_S;
	return MOVE_S;
}

void key_allocator_served_map(const struct key_allocator *allocator,
			      struct key_map *map, double now_s)
{
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = &g_array_index(
			allocator->span_states, struct span_state, i);
		struct key_span span = state->span;

		if (!is_served(state)) {
			span.owner = NULL;
			span.wait_s = expected_wait_s(state, now_s);
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = allocator->fence;
}

unsigned int key_allocator_unserved_spans(const struct key_allocator *allocator)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < allocator->span_states->len; i++) {
		const struct span_state *state = &g_array_index(
			allocator->span_states, struct span_state, i);

		count += !is_served(state);
	}
	return count;
}
