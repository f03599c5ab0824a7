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

struct keeper *key_allocator_create(const struct key_allocator_ops *ops,
				    void *ctx, const struct key_map *map,
				    double inherited_until_s)
{
	struct keeper *keeper = g_new0(struct keeper, 1);
	guint i;

	keeper->ops = ops;
	keeper->ctx = ctx;
	keeper->holdings = g_array_new(FALSE, TRUE, sizeof(struct holding));
	keeper->load = key_load_create();
	keeper->fence = map->fence + FENCE_GAP;
	keeper->next_order = 1;
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
		g_array_append_val(keeper->holdings, holding);
	}
	return keeper;
}

void key_allocator_destroy(struct keeper *keeper)
{
	guint i;

	if (!keeper)
		return;
	for (i = 0; i < keeper->holdings->len; i++)
		g_free(keeper_at(keeper, i)->handover);
	g_array_free(keeper->holdings, TRUE);
	key_load_destroy(keeper->load);
	g_free(keeper);
}

void key_allocator_count_request(struct keeper *keeper, uint16_t key)
{
	key_load_add(keeper->load, key);
}

static uint32_t new_order(struct keeper *keeper)
{
	uint32_t id = keeper->next_order++;

	return id ? id : keeper->next_order++;
}

static void send_grant(struct keeper *keeper, struct holding *holding,
		       double hold_s)
{
	struct key_order order = {
		.id = new_order(keeper),
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
	keeper->ops->grant(keeper->ctx, &order);
}

static void send_release(struct keeper *keeper, struct holding *holding)
{
	/* The next token: a late grant under the old one is fenced off. */
	struct key_order order = {
		.id = new_order(keeper),
		.owner = holding->span.owner,
		.first = holding->span.first,
		.last = holding->span.last,
		.fence = ++keeper->fence,
	};

	holding->order = order.id;
	holding->order_hold_s = 0;
	keeper->ops->release(keeper->ctx, &order);
}

static double free_at(const struct holding *holding)
{
	return MAX(holding->held_until_s, holding->unanswered_until_s);
}

/* The next owner gets the span under a new token, once the map is saved. */
static void commit(struct keeper *keeper, struct holding *holding)
{
	holding->phase = PHASE_SAVING;
	holding->in_save = false;
	keeper->save_wanted = true;
}

/* The same owner gets it again under a new token. */
static void recommit(struct keeper *keeper, struct holding *holding)
{
	holding->next_owner = holding->span.owner;
	holding->next_started_ms = holding->span.started_ms;
	holding->keeps_owner = true;
	commit(keeper, holding);
}

static void set_next(struct holding *holding, const struct key_candidate *to)
{
	holding->next_owner = to ? to->id : NULL;
	holding->next_started_ms = to ? to->started_ms : 0;
}

void key_allocator_move(struct keeper *keeper, struct holding *holding,
			const struct key_candidate *to, const char *reason)
{
	keeper->ops->note(keeper->ctx, &holding->span, to ? to->id : "-",
			  reason);
	set_next(holding, to);
	holding->keeps_owner = false;
	holding->phase = PHASE_RELEASING;
	holding->misses = 0;
	holding->next_order_s = 0;
	keeper->ops->changed(keeper->ctx);
}

/* Its owner can't be asked: its grants have to run out. */
static void give_up_owner(struct keeper *keeper, struct holding *holding,
			  const char *reason)
{
	keeper->ops->note(keeper->ctx, &holding->span, "-", reason);
	holding->phase = PHASE_WAITING;
	holding->keeps_owner = false;
	set_next(holding, NULL);
	keeper->ops->changed(keeper->ctx);
}

static const struct key_candidate *find_candidate(const struct keeper *k,
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
static bool give_back(struct keeper *keeper, struct holding *holding)
{
	const struct key_candidate *to =
		find_candidate(keeper, holding->span.owner);

	if (!to)
		return false;
	keeper->ops->note(keeper->ctx, &holding->span, to->id, "restarted");
	set_next(holding, to);
	holding->keeps_owner = false;
	commit(keeper, holding);
	keeper->ops->changed(keeper->ctx);
	return true;
}

/* A life that has ended holds nothing; only a grant that is still on its way
 * could reach the next life. */
static void owner_ended(struct keeper *keeper, struct holding *holding,
			double now_s)
{
	holding->held_until_s = now_s;
	give_up_owner(keeper, holding, "owner_ended");
}

static void tick_held(struct keeper *keeper, struct holding *holding,
		      double now_s, double hold_s)
{
	const struct key_candidate *to;

	switch (keeper->ops->owner_state(keeper->ctx, holding->span.owner,
					 holding->span.started_ms)) {
	case OWNER_ENDED:
		owner_ended(keeper, holding, now_s);
		return;
	case OWNER_RESTARTED:
		if (give_back(keeper, holding))
			return;
		/* fall through */
	case OWNER_UNREACHABLE:
	case OWNER_LEAVING:
		to = key_allocator_least_loaded(keeper);
		if (to && to->id != holding->span.owner) {
			key_allocator_move(keeper, holding, to, "owner_leaves");
			return;
		}
		break;
	case OWNER_AVAILABLE:
		break;
	}
	if (holding->misses >= MISSES_MAX && now_s > free_at(holding)) {
		give_up_owner(keeper, holding, "owner_does_not_answer");
		return;
	}
	if (now_s < holding->next_order_s)
		return;
	if (holding->renew_token && !planted(PLANTED_TOKEN_KEPT))
		recommit(keeper, holding);
	else
		send_grant(keeper, holding, hold_s);
}

static void tick_releasing(struct keeper *keeper, struct holding *holding,
			   double now_s)
{
	if (keeper->ops->owner_state(keeper->ctx, holding->span.owner,
				     holding->span.started_ms) == OWNER_ENDED)
		owner_ended(keeper, holding, now_s);
	else if (now_s > free_at(holding))
		commit(keeper, holding);
	else if (now_s >= holding->next_order_s)
		send_release(keeper, holding);
}

static void tick_waiting(struct keeper *keeper, struct holding *holding,
			 double now_s)
{
	const struct key_candidate *to;
	enum owner_state state = OWNER_UNREACHABLE;

	if (holding->span.owner)
		state = keeper->ops->owner_state(keeper->ctx,
						 holding->span.owner,
						 holding->span.started_ms);
	if (state == OWNER_RESTARTED && give_back(keeper, holding))
		return;
	if (state == OWNER_ENDED && holding->held_until_s > now_s)
		holding->held_until_s = now_s;
	if (now_s <= free_at(holding))
		return;
	to = key_allocator_least_loaded(keeper);
	if (!to)
		return;
	set_next(holding, to);
	commit(keeper, holding);
}

static void tick_one(struct keeper *keeper, struct holding *holding,
		     double now_s, double hold_s)
{
	if (holding->order)
		return;
	if (holding->phase == PHASE_HELD && !holding->span.owner)
		holding->phase = PHASE_WAITING;
	switch (holding->phase) {
	case PHASE_HELD:
		tick_held(keeper, holding, now_s, hold_s);
		break;
	case PHASE_RELEASING:
		tick_releasing(keeper, holding, now_s);
		break;
	case PHASE_WAITING:
		tick_waiting(keeper, holding, now_s);
		break;
	case PHASE_SAVING:
		break;
	}
}

/* The map to save: as committed, with the next owners of what is free. */
static void save(struct keeper *keeper)
{
	struct key_map *map = key_map_create();
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < keeper->holdings->len; i++) {
		struct holding *holding = keeper_at(keeper, i);
		struct key_span span = holding->span;

		if (holding->phase == PHASE_SAVING) {
			holding->in_save = true;
			span.owner = holding->next_owner;
			span.started_ms = holding->next_started_ms;
			span.fence = ++keeper->fence;
			holding->span.fence = span.fence;
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = keeper->fence;
	keeper->saving = true;
	keeper->save_wanted = false;
	keeper->ops->save(keeper->ctx, map);
	key_map_destroy(map);
}

/* The first map: every candidate gets a part in proportion to its weight. */
static void divide(struct keeper *keeper)
{
	struct holding all = *keeper_at(keeper, 0);
	double total = 0, sum = 0;
	uint32_t first = 0;
	size_t i;

	for (i = 0; i < keeper->candidate_count; i++)
		total += keeper->candidates[i].weight;
	g_array_set_size(keeper->holdings, 0);
	for (i = 0; i < keeper->candidate_count; i++) {
		struct holding part = all;
		uint32_t end;

		sum += keeper->candidates[i].weight;
		end = i + 1 == keeper->candidate_count
			      ? KEY_LAST + 1
			      : (uint32_t)(sum / total * (KEY_LAST + 1));
		if (end <= first)
			continue;
		part.span.first = (uint16_t)first;
		part.span.last = (uint16_t)(end - 1);
		set_next(&part, &keeper->candidates[i]);
		part.phase = PHASE_SAVING;
		g_array_append_val(keeper->holdings, part);
		first = end;
	}
	keeper->save_wanted = true;
}

static bool is_undivided(struct keeper *keeper)
{
	const struct holding *holding = keeper_at(keeper, 0);

	return keeper->holdings->len == 1 && !holding->span.owner &&
	       holding->phase != PHASE_SAVING;
}

void key_allocator_tick(struct keeper *keeper, double now_s, double hold_s,
			const struct key_candidate *candidates, size_t count)
{
	guint i;

	keeper->candidates = candidates;
	keeper->candidate_count = count;
	key_load_decay(keeper->load, now_s);
	if (is_undivided(keeper) && count)
		divide(keeper);
	for (i = 0; i < keeper->holdings->len; i++)
		tick_one(keeper, keeper_at(keeper, i), now_s, hold_s);
	key_allocator_balance(keeper, now_s);
	if (keeper->save_wanted && !keeper->saving &&
	    now_s >= keeper->save_at_s)
		save(keeper);
	keeper->candidates = NULL;
	keeper->candidate_count = 0;
}

bool key_allocator_has_work(const struct keeper *keeper)
{
	return keeper->save_wanted && !keeper->saving;
}

void key_allocator_renew_all(struct keeper *keeper, double now_s, double hold_s)
{
	guint i;

	for (i = 0; i < keeper->holdings->len; i++) {
		struct holding *holding = keeper_at(keeper, i);

		if (holding->phase != PHASE_HELD || !holding->span.owner ||
		    holding->renew_token)
			continue;
		holding->next_order_s = now_s;
		if (!holding->order)
			send_grant(keeper, holding, hold_s);
	}
}

static struct holding *find_order(struct keeper *keeper, uint32_t order)
{
	guint i;

	for (i = 0; i < keeper->holdings->len; i++)
		if (keeper_at(keeper, i)->order == order)
			return keeper_at(keeper, i);
	return NULL;
}

static void extend(double *until, double at)
{
	if (at > *until)
		*until = at;
}

static void granted(struct keeper *keeper, struct holding *holding,
		    enum order_result result, double now_s)
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
			keeper->ops->changed(keeper->ctx);
		}
		break;
	case ORDER_FENCED:
		keeper->ops->note(keeper->ctx, &holding->span,
				  holding->span.owner, "fenced");
		recommit(keeper, holding);
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

static void released(struct keeper *keeper, struct holding *holding,
		     enum order_result result, const char *handover,
		     double now_s)
{
	if (result == ORDER_DONE) {
		g_free(holding->handover);
		holding->handover = g_strdup(handover);
		holding->held_until_s = now_s;
		holding->unanswered_until_s = now_s;
		commit(keeper, holding);
		return;
	}
	holding->misses++;
	holding->next_order_s = now_s + RETRY_S;
	if (holding->misses >= MISSES_MAX)
		give_up_owner(keeper, holding, "no_answer_to_release");
}

void key_allocator_order_done(struct keeper *keeper, uint32_t order,
			      enum order_result result, const char *handover,
			      double now_s)
{
	struct holding *holding = find_order(keeper, order);

	if (!holding)
		return;
	holding->order = 0;
	if (holding->phase == PHASE_HELD)
		granted(keeper, holding, result, now_s);
	else if (holding->phase == PHASE_RELEASING)
		released(keeper, holding, result, handover, now_s);
}

void key_allocator_save_done(struct keeper *keeper, bool ok, uint64_t version,
			     double now_s)
{
	guint i;

	(void)version;
	keeper->saving = false;
	if (!ok) {
		keeper->save_wanted = true;
		keeper->save_at_s = now_s + RETRY_S;
		return;
	}
	for (i = 0; i < keeper->holdings->len; i++) {
		struct holding *holding = keeper_at(keeper, i);

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

void key_allocator_owner_disconnected(struct keeper *keeper, const char *id)
{
	guint i;

	for (i = 0; i < keeper->holdings->len; i++)
		if (keeper_at(keeper, i)->span.owner == id &&
		    keeper_at(keeper, i)->sent)
			keeper_at(keeper, i)->renew_token = true;
}

void key_allocator_owner_reconnecting(struct keeper *keeper, const char *id)
{
	guint i;

	for (i = 0; i < keeper->holdings->len; i++)
		if (keeper_at(keeper, i)->span.owner == id &&
		    keeper_at(keeper, i)->granted)
			keeper_at(keeper, i)->renew_token = true;
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

void key_allocator_served_map(const struct keeper *keeper, struct key_map *map,
			      double now_s)
{
	guint i;

	g_array_set_size(map->spans, 0);
	for (i = 0; i < keeper->holdings->len; i++) {
		const struct holding *holding =
			&g_array_index(keeper->holdings, struct holding, i);
		struct key_span span = holding->span;

		if (!is_served(holding)) {
			span.owner = NULL;
			span.wait_s = expected_wait_s(holding, now_s);
		}
		g_array_append_val(map->spans, span);
	}
	map->fence = keeper->fence;
}

unsigned int key_allocator_unserved_spans(const struct keeper *keeper)
{
	unsigned int count = 0;
	guint i;

	for (i = 0; i < keeper->holdings->len; i++) {
		const struct holding *holding =
			&g_array_index(keeper->holdings, struct holding, i);

		count += !is_served(holding);
	}
	return count;
}
