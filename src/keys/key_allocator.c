#include "keys/key_allocator_impl.h"

#include <string.h>

#include "base/planted.h"

/* An upstream's clock may run slow by this factor; grants last longer then. */
#define CLOCK_FACTOR 1.02
/* Added to every wait for a grant's end. */
#define MARGIN_S 0.05
/* A grant is renewed after this part of its time. */
#define RENEW_PART 0.2
#define RENEW_MAX_S 1.0
/* After an order that failed, and after a save that failed. */
#define RETRY_S 0.15
/* Orders without an answer before an owner counts as lost. */
#define MISSES_MAX 2
/* What a move takes: running work ends, the map is saved, the grant is given.
 * For estimates only. */
#define MOVE_S 0.12
/* Tokens of releases are not saved; a new leader begins above them. */
#define FENCE_GAP 1000

struct key_allocator *key_allocator_create(const struct key_allocator_ops *ops,
					   void *ctx, const struct key_map *map,
					   double inherited_until_s)
{
	struct key_allocator *key_allocator = g_new0(struct key_allocator, 1);
	guint i;

	key_allocator->ops = ops;
	key_allocator->ctx = ctx;
	key_allocator->holdings =
		g_array_new(FALSE, TRUE, sizeof(struct holding));
	key_allocator->load = key_load_create();
	key_allocator->fence = map->fence + FENCE_GAP;
	key_allocator->next_order = 1;
	for (i = 0; i < map->spans->len; i++) {
		struct holding holding = {
			.span = g_array_index(map->spans, struct key_span, i),
		};

		if (holding.span.owner) {
			if (!planted(PLANTED_NO_INHERITED_WAIT))
				holding.held_until_s = inherited_until_s;
			/* Its owner may have restarted meanwhile. */
			holding.renew_token = true;
			holding.sent = true;
			holding.keeps_owner = true;
		}
		g_array_append_val(key_allocator->holdings, holding);
	}
	return key_allocator;
}

void key_allocator_destroy(struct key_allocator *key_allocator)
{
	guint i;

	if (!key_allocator)
		return;
	for (i = 0; i < key_allocator->holdings->len; i++)
		g_free(keeper_at(key_allocator, i)->handover);
	g_array_free(key_allocator->holdings, TRUE);
	key_load_destroy(key_allocator->load);
	g_free(key_allocator);
}

void key_allocator_count_request(struct key_allocator *key_allocator,
				 uint16_t key)
{
	key_load_add(key_allocator->load, key);
}

static uint32_t new_order(struct key_allocator *key_allocator)
{
	uint32_t id = key_allocator->next_order++;

	return id ? id : key_allocator->next_order++;
}

static void send_grant(struct key_allocator *key_allocator,
		       struct holding *holding, double hold_s)
{
	struct key_order order = {
		.id = new_order(key_allocator),
		.owner = holding->span.owner,
		.first = holding->span.first,
		.last = holding->span.last,
		.fence = holding->span.fence,
		.hold_s = hold_s,
		.handover = holding->handover,
		.fresh = !holding->granted && !holding->sent,
	};

	holding->order = order.id;
	holding->order_hold_s = hold_s;
	holding->sent = true;
	key_allocator->ops->grant(key_allocator->ctx, &order);
}

static void send_release(struct key_allocator *key_allocator,
			 struct holding *holding)
{
	/* The next token: a late grant under the old one is fenced off. */
	struct key_order order = {
		.id = new_order(key_allocator),
		.owner = holding->span.owner,
		.first = holding->span.first,
		.last = holding->span.last,
		.fence = ++key_allocator->fence,
	};

	holding->order = order.id;
	holding->order_hold_s = 0;
	key_allocator->ops->release(key_allocator->ctx, &order);
}

static double free_at(const struct holding *holding)
{
	return MAX(holding->held_until_s, holding->unanswered_until_s);
}

/* The next owner gets the span under a new token, once the map is saved. */
static void commit(struct key_allocator *key_allocator, struct holding *holding)
{
	holding->phase = PHASE_SAVING;
	holding->in_save = false;
	key_allocator->save_wanted = true;
}

/* The same owner gets it again under a new token. */
static void recommit(struct key_allocator *key_allocator,
		     struct holding *holding)
{
	holding->next_owner = holding->span.owner;
	holding->next_started_ms = holding->span.started_ms;
	holding->keeps_owner = true;
	commit(key_allocator, holding);
}

static void set_next(struct holding *holding, const struct key_candidate *to)
{
	holding->next_owner = to ? to->id : NULL;
	holding->next_started_ms = to ? to->started_ms : 0;
}

void key_allocator_move(struct key_allocator *key_allocator,
			struct holding *holding, const struct key_candidate *to,
			const char *reason)
{
	key_allocator->ops->note(key_allocator->ctx, &holding->span,
				 to ? to->id : "-", reason);
	set_next(holding, to);
	holding->keeps_owner = false;
	holding->phase = PHASE_RELEASING;
	holding->misses = 0;
	holding->next_order_s = 0;
	key_allocator->ops->changed(key_allocator->ctx);
}

/* Its owner can't be asked: its grants have to run out. */
static void give_up_owner(struct key_allocator *key_allocator,
			  struct holding *holding, const char *reason)
{
	key_allocator->ops->note(key_allocator->ctx, &holding->span, "-",
				 reason);
	holding->phase = PHASE_WAITING;
	holding->keeps_owner = false;
	set_next(holding, NULL);
	key_allocator->ops->changed(key_allocator->ctx);
}

static const struct key_candidate *find_candidate(const struct key_allocator *k,
						  const char *id)
{
	size_t i;

	for (i = 0; i < k->candidate_count; i++)
		if (k->candidates[i].id == id)
			return &k->candidates[i];
	return NULL;
}

/* The same upstream gets the span back, whichever life holds it: nobody else
 * can. @return false when it is not to be given keys */
static bool give_back(struct key_allocator *key_allocator,
		      struct holding *holding)
{
	const struct key_candidate *to =
		find_candidate(key_allocator, holding->span.owner);

	if (!to)
		return false;
	key_allocator->ops->note(key_allocator->ctx, &holding->span, to->id,
				 "restarted");
	set_next(holding, to);
	holding->keeps_owner = false;
	commit(key_allocator, holding);
	key_allocator->ops->changed(key_allocator->ctx);
	return true;
}

/* A life that has ended holds nothing; only a grant that is still on its way
 * could reach the next life. */
static void owner_ended(struct key_allocator *key_allocator,
			struct holding *holding, double now_s)
{
	holding->held_until_s = now_s;
	give_up_owner(key_allocator, holding, "owner_ended");
}

static void tick_held(struct key_allocator *key_allocator,
		      struct holding *holding, double now_s, double hold_s)
{
	const struct key_candidate *to;

	switch (key_allocator->ops->owner_state(key_allocator->ctx,
						holding->span.owner,
						holding->span.started_ms)) {
	case OWNER_ENDED:
		owner_ended(key_allocator, holding, now_s);
		return;
	case OWNER_RESTARTED:
		if (give_back(key_allocator, holding))
			return;
		/* fall through */
	case OWNER_UNREACHABLE:
	case OWNER_LEAVING:
		to = key_allocator_least_loaded(key_allocator);
		if (to && to->id != holding->span.owner) {
			key_allocator_move(key_allocator, holding, to,
					   "owner_leaves");
			return;
		}
		break;
	case OWNER_AVAILABLE:
		break;
	}
	if (holding->misses >= MISSES_MAX && now_s > free_at(holding)) {
		give_up_owner(key_allocator, holding, "owner_does_not_answer");
		return;
	}
	if (now_s < holding->next_order_s)
		return;
	if (holding->renew_token && !planted(PLANTED_TOKEN_KEPT))
		recommit(key_allocator, holding);
	else
		send_grant(key_allocator, holding, hold_s);
}

static void tick_releasing(struct key_allocator *key_allocator,
			   struct holding *holding, double now_s)
{
	if (key_allocator->ops->owner_state(
		    key_allocator->ctx, holding->span.owner,
		    holding->span.started_ms) == OWNER_ENDED)
		owner_ended(key_allocator, holding, now_s);
	else if (now_s > free_at(holding))
		commit(key_allocator, holding);
	else if (now_s >= holding->next_order_s)
		send_release(key_allocator, holding);
}

static void tick_waiting(struct key_allocator *key_allocator,
			 struct holding *holding, double now_s)
{
	const struct key_candidate *to;
	enum owner_state state = OWNER_UNREACHABLE;

	if (holding->span.owner)
		state = key_allocator->ops->owner_state(
			key_allocator->ctx, holding->span.owner,
			holding->span.started_ms);
	if (state == OWNER_RESTARTED && give_back(key_allocator, holding))
		return;
	if (state == OWNER_ENDED && holding->held_until_s > now_s)
		holding->held_until_s = now_s;
	if (now_s <= free_at(holding))
		return;
	to = key_allocator_least_loaded(key_allocator);
	if (!to)
		return;
	set_next(holding, to);
	commit(key_allocator, holding);
}

static void tick_one(struct key_allocator *key_allocator,
		     struct holding *holding, double now_s, double hold_s)
{
	if (holding->order)
		return;
	if (holding->phase == PHASE_HELD && !holding->span.owner)
		holding->phase = PHASE_WAITING;
	switch (holding->phase) {
	case PHASE_HELD:
		tick_held(key_allocator, holding, now_s, hold_s);
		break;
	case PHASE_RELEASING:
		tick_releasing(key_allocator, holding, now_s);
		break;
	case PHASE_WAITING:
		tick_waiting(key_allocator, holding, now_s);
		break;
	case PHASE_SAVING:
		break;
	}
}

/* The map to save: as committed, with the next owners of what is free. */
static void save(struct key_allocator *key_allocator)
{
	struct key_map *map = key_map_create();
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < key_allocator->holdings->len; i++) {
		struct holding *holding = keeper_at(key_allocator, i);
		struct key_span span = holding->span;

		if (holding->phase == PHASE_SAVING) {
			holding->in_save = true;
			span.owner = holding->next_owner;
			span.started_ms = holding->next_started_ms;
			span.fence = ++key_allocator->fence;
			holding->span.fence = span.fence;
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = key_allocator->fence;
	key_allocator->saving = true;
	key_allocator->save_wanted = false;
	key_allocator->ops->save(key_allocator->ctx, map);
	key_map_destroy(map);
}

/* The first map: every candidate gets a part in proportion to its weight. */
static void divide(struct key_allocator *key_allocator)
{
	struct holding all = *keeper_at(key_allocator, 0);
	double total = 0, sum = 0;
	uint32_t first = 0;
	size_t i;

	for (i = 0; i < key_allocator->candidate_count; i++)
		total += key_allocator->candidates[i].weight;
	g_array_set_size(key_allocator->holdings, 0);
	for (i = 0; i < key_allocator->candidate_count; i++) {
		struct holding part = all;
		uint32_t end;

		sum += key_allocator->candidates[i].weight;
		end = i + 1 == key_allocator->candidate_count
			      ? KEY_LAST + 1
			      : (uint32_t)(sum / total * (KEY_LAST + 1));
		if (end <= first)
			continue;
		part.span.first = (uint16_t)first;
		part.span.last = (uint16_t)(end - 1);
		set_next(&part, &key_allocator->candidates[i]);
		part.phase = PHASE_SAVING;
		g_array_append_val(key_allocator->holdings, part);
		first = end;
	}
	key_allocator->save_wanted = true;
}

static bool is_undivided(struct key_allocator *key_allocator)
{
	const struct holding *holding = keeper_at(key_allocator, 0);

	return key_allocator->holdings->len == 1 && !holding->span.owner &&
	       holding->phase != PHASE_SAVING;
}

void key_allocator_tick(struct key_allocator *key_allocator, double now_s,
			double hold_s, const struct key_candidate *candidates,
			size_t count)
{
	guint i;

	key_allocator->candidates = candidates;
	key_allocator->candidate_count = count;
	key_load_decay(key_allocator->load, now_s);
	if (is_undivided(key_allocator) && count)
		divide(key_allocator);
	for (i = 0; i < key_allocator->holdings->len; i++)
		tick_one(key_allocator, keeper_at(key_allocator, i), now_s,
			 hold_s);
	key_allocator_balance(key_allocator, now_s);
	if (key_allocator->save_wanted && !key_allocator->saving &&
	    now_s >= key_allocator->save_at_s)
		save(key_allocator);
	key_allocator->candidates = NULL;
	key_allocator->candidate_count = 0;
}

bool key_allocator_has_work(const struct key_allocator *key_allocator)
{
	return key_allocator->save_wanted && !key_allocator->saving;
}

void key_allocator_renew_all(struct key_allocator *key_allocator, double now_s,
			     double hold_s)
{
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++) {
		struct holding *holding = keeper_at(key_allocator, i);

		if (holding->phase != PHASE_HELD || !holding->span.owner ||
		    holding->renew_token)
			continue;
		holding->next_order_s = now_s;
		if (!holding->order)
			send_grant(key_allocator, holding, hold_s);
	}
}

static struct holding *find_order(struct key_allocator *key_allocator,
				  uint32_t order)
{
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++)
		if (keeper_at(key_allocator, i)->order == order)
			return keeper_at(key_allocator, i);
	return NULL;
}

static void extend(double *until, double at)
{
	if (at > *until)
		*until = at;
}

static void granted(struct key_allocator *key_allocator,
		    struct holding *holding, enum order_result result,
		    double now_s)
{
	double hold_s = holding->order_hold_s;
	double end = now_s + hold_s * CLOCK_FACTOR + MARGIN_S;

	switch (result) {
	case ORDER_DONE:
		extend(&holding->held_until_s, end);
		holding->misses = 0;
		holding->next_order_s =
			now_s + MIN(hold_s * RENEW_PART, RENEW_MAX_S);
		g_clear_pointer(&holding->handover, g_free);
		holding->keeps_owner = false;
		if (!holding->granted) {
			holding->granted = true;
			key_allocator->ops->changed(key_allocator->ctx);
		}
		break;
	case ORDER_FENCED:
		key_allocator->ops->note(key_allocator->ctx, &holding->span,
					 holding->span.owner, "fenced");
		recommit(key_allocator, holding);
		break;
	case ORDER_UNKNOWN:
		if (!planted(PLANTED_FORGET_UNANSWERED))
			extend(&holding->unanswered_until_s, end);
		holding->misses++;
		holding->next_order_s = now_s + RETRY_S;
		break;
	case ORDER_NOT_SENT:
		if (!holding->granted)
			holding->sent = false;
		holding->misses++;
		/* A new token is not waited for. */
		holding->next_order_s =
			now_s + (holding->renew_token ? 0 : RETRY_S);
		break;
	}
}

static void released(struct key_allocator *key_allocator,
		     struct holding *holding, enum order_result result,
		     const char *handover, double now_s)
{
	if (result == ORDER_DONE) {
		g_free(holding->handover);
		holding->handover = g_strdup(handover);
		holding->held_until_s = now_s;
		holding->unanswered_until_s = now_s;
		commit(key_allocator, holding);
		return;
	}
	holding->misses++;
	holding->next_order_s = now_s + RETRY_S;
	if (holding->misses >= MISSES_MAX)
		give_up_owner(key_allocator, holding, "no_answer_to_release");
}

void key_allocator_order_done(struct key_allocator *key_allocator,
			      uint32_t order, enum order_result result,
			      const char *handover, double now_s)
{
	struct holding *holding = find_order(key_allocator, order);

	if (!holding)
		return;
	holding->order = 0;
	if (holding->phase == PHASE_HELD)
		granted(key_allocator, holding, result, now_s);
	else if (holding->phase == PHASE_RELEASING)
		released(key_allocator, holding, result, handover, now_s);
}

void key_allocator_save_done(struct key_allocator *key_allocator, bool ok,
			     uint64_t version, double now_s)
{
	guint i;

	(void)version;
	key_allocator->saving = false;
	if (!ok) {
		key_allocator->save_wanted = true;
		key_allocator->save_at_s = now_s + RETRY_S;
		return;
	}
	for (i = 0; i < key_allocator->holdings->len; i++) {
		struct holding *holding = keeper_at(key_allocator, i);

		if (holding->phase != PHASE_SAVING || !holding->in_save)
			continue;
		holding->phase = PHASE_HELD;
		holding->span.owner = holding->next_owner;
		holding->span.started_ms = holding->next_started_ms;
		holding->in_save = false;
		holding->granted = false;
		holding->sent = false;
		holding->renew_token = false;
		holding->misses = 0;
		holding->next_order_s = 0;
	}
}

void key_allocator_owner_disconnected(struct key_allocator *key_allocator,
				      const char *id)
{
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++)
		if (keeper_at(key_allocator, i)->span.owner == id &&
		    keeper_at(key_allocator, i)->sent)
			keeper_at(key_allocator, i)->renew_token = true;
}

void key_allocator_owner_reconnecting(struct key_allocator *key_allocator,
				      const char *id)
{
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++)
		if (keeper_at(key_allocator, i)->span.owner == id &&
		    keeper_at(key_allocator, i)->granted)
			keeper_at(key_allocator, i)->renew_token = true;
}

static bool is_served(const struct holding *holding)
{
	return holding->keeps_owner ||
	       (holding->phase == PHASE_HELD && holding->granted);
}

static double expected_wait_s(const struct holding *holding, double now_s)
{
	if (holding->phase == PHASE_WAITING && free_at(holding) > now_s)
		return free_at(holding) - now_s + MOVE_S;
	return MOVE_S;
}

void key_allocator_served_map(const struct key_allocator *key_allocator,
			      struct key_map *map, double now_s)
{
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < key_allocator->holdings->len; i++) {
		const struct holding *holding = &g_array_index(
			key_allocator->holdings, struct holding, i);
		struct key_span span = holding->span;

		if (!is_served(holding)) {
			span.owner = NULL;
			span.wait_s = expected_wait_s(holding, now_s);
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = key_allocator->fence;
}

unsigned int
key_allocator_unserved_spans(const struct key_allocator *key_allocator)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < key_allocator->holdings->len; i++) {
		const struct holding *holding = &g_array_index(
			key_allocator->holdings, struct holding, i);

		count += !is_served(holding);
	}
	return count;
}
