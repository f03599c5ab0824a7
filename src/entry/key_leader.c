#include "entry/key_leader.h"

#include <math.h>
#include <string.h>

#include "base/log.h"

#define SAVE_TIMEOUT_S 0.8
/* A first list that did not grow for so long is whole: upstreams write their
 * entries once a second or so. */
#define LIST_STANDS_S 1.2
/* Results of one moment lead to one save. */
#define SOON_S 0.003
/* A cold upstream bears this part of its usual work. */
#define COLD_WEIGHT 0.1
/* Bounds of what a measured slowness does to an upstream's part. */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 4.0
/* A request that an owner refuses or fails costs its caller so many times the
 * usual work. */
#define FAILURE_COST 4.0
/* Upstreams that were removed can be asked to release keys for so long. */
#define REMEMBER_MAX 4096

struct key_leader {
	struct key_leader_options options;
	struct service *service;
	struct key_allocator *key_allocator;
	/** Every upstream met, by id: also those that were removed. */
	GHashTable *upstreams;
	uint64_t row_version;
	uint32_t attempt;
	/** Tells this leader's writes from those of others. */
	uint32_t nonce;
	bool writing;
	/** Upstreams listed, and since when their number stands. */
	guint listed;
	double listed_s;
	/** Goes on without waiting for the next tick. */
	ev_timer soon;
	/** For how long keys are given, as last said. */
	double hold_s;
	bool destroyed;
};

static double now_of(const struct key_leader *leader)
{
	return loop_now(leader->options.loop);
}

static struct upstream *find_upstream(const struct key_leader *leader,
				      const char *id)
{
	struct upstream *upstream = roster_upstream(leader->options.roster, id);

	return upstream ? upstream : g_hash_table_lookup(leader->upstreams, id);
}

static bool same_address(const struct upstream *a, const struct upstream *b)
{
	return a->entry.address.sin_port == b->entry.address.sin_port &&
	       a->entry.address.sin_addr.s_addr ==
		       b->entry.address.sin_addr.s_addr;
}

struct address_search {
	const struct upstream *of;
	bool taken;
};

static void look_for_address(struct upstream *upstream, void *ctx)
{
	struct address_search *search = ctx;

	if (upstream != search->of && same_address(upstream, search->of) &&
	    upstream->entry.started_ms > search->of->entry.started_ms)
		search->taken = true;
}

static enum owner_state removed_state(const struct key_leader *leader,
				      const char *id)
{
	struct address_search search = {
		.of = g_hash_table_lookup(leader->upstreams, id),
	};

	if (!search.of)
		return OWNER_UNREACHABLE;
	roster_each_upstream((struct roster *)leader->options.roster,
			     look_for_address, &search);
	return search.taken ? OWNER_ENDED : OWNER_UNREACHABLE;
}

static enum owner_state owner_state(void *ctx, const char *id,
				    int64_t started_ms)
{
	const struct key_leader *leader = ctx;
	const struct upstream *upstream =
		roster_upstream(leader->options.roster, id);

	if (!upstream)
		return removed_state(leader, id);
	if (!upstream_takes_work(leader->options.roster, upstream))
		return OWNER_LEAVING;
	if (upstream->entry.started_ms != started_ms)
		return OWNER_RESTARTED;
	return OWNER_AVAILABLE;
}

static void tick_soon(struct key_leader *leader)
{
	if (ev_is_active(&leader->soon))
		return;
	ev_timer_set(&leader->soon, SOON_S, 0);
	ev_timer_start(leader->options.loop->ev, &leader->soon);
}

static void on_soon(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	key_leader_tick(timer->data, 0);
}

static void on_ordered(void *ctx, uint32_t order, enum order_result result,
		       const char *handover)
{
	struct key_leader *leader = ctx;

	key_allocator_order_done(leader->key_allocator, order, result, handover,
				 now_of(leader));
	if (key_allocator_has_work(leader->key_allocator))
		tick_soon(leader);
}

static void give(void *ctx, const struct key_order *order)
{
	struct key_leader *leader = ctx;
	struct upstream *upstream = find_upstream(leader, order->owner);

	if (!upstream || !leader->options.may_order(leader->options.ctx)) {
		on_ordered(leader, order->id, ORDER_NOT_SENT, NULL);
		return;
	}
	orders_grant(leader->options.orders, upstream, order, on_ordered,
		     leader);
}

static void take_back(void *ctx, const struct key_order *order)
{
	struct key_leader *leader = ctx;
	struct upstream *upstream = find_upstream(leader, order->owner);

	if (!upstream || !leader->options.may_order(leader->options.ctx)) {
		on_ordered(leader, order->id, ORDER_NOT_SENT, NULL);
		return;
	}
	orders_release(leader->options.orders, upstream, order, on_ordered,
		       leader);
}

static void note(void *ctx, const struct key_span *span, const char *to,
		 const char *reason)
{
	struct key_leader *leader = ctx;

	event_log_write(leader->options.log, "info", "keys",
			"event=move service=%s first=%u last=%u from=%s to=%s "
			"fence=%" PRIu64 " reason=%s row=%" PRIu64,
			leader->service->name, span->first, span->last,
			span->owner ? span->owner : "-", to, span->fence,
			reason, leader->row_version);
}

static void changed(void *ctx)
{
	struct key_leader *leader = ctx;

	tick_soon(leader);
	leader->options.changed(leader->options.ctx);
}

static char *attempt_name(const struct key_leader *leader)
{
	return g_strdup_printf("%08x-%u", leader->nonce, leader->attempt);
}

/* Whether a row is the last write of this leader. */
static bool is_own(const struct key_leader *leader, const struct store_row *row)
{
	struct key_map *map = key_map_create();
	char *name = attempt_name(leader);
	char *attempt = NULL;
	bool own =
		key_map_unpack(map,
			       (struct str){ row->value->str, row->value->len },
			       &attempt) &&
		!strcmp(attempt, name);

	g_free(attempt);
	g_free(name);
	key_map_destroy(map);
	return own;
}

static const struct store_row *find_row(const struct key_leader *leader,
					const struct store_result *result)
{
	size_t i;

	for (i = 0; i < result->row_count; i++)
		if (!strcmp(result->rows[i].key, leader->service->name))
			return &result->rows[i];
	return NULL;
}

static void leader_free(struct key_leader *leader)
{
	key_allocator_destroy(leader->key_allocator);
	g_hash_table_destroy(leader->upstreams);
	g_free(leader);
}

static void on_saved(void *ctx, const struct store_result *result)
{
	struct key_leader *leader = ctx;
	const struct store_row *row = find_row(leader, result);
	bool ok = result->status == STORE_OK;

	leader->writing = false;
	if (leader->destroyed) {
		leader_free(leader);
		return;
	}
	if (ok) {
		leader->row_version = result->version;
	} else if (result->status == STORE_CONFLICT) {
		/* An own write whose answer was lost, or a write of an earlier
		 * leader that came late: it can't have given keys by it. */
		ok = row && is_own(leader, row);
		leader->row_version = row ? row->version : 0;
	}
	if (!ok)
		log_warn("keys", "the map of %s was not saved: status %d",
			 leader->service->name, result->status);
	key_allocator_save_done(leader->key_allocator, ok, leader->row_version,
				now_of(leader));
	if (ok)
		tick_soon(leader);
}

static void save(void *ctx, const struct key_map *map)
{
	struct key_leader *leader = ctx;
	struct store_write write = {
		.table = KEY_TABLE,
		.key = leader->service->name,
		.expect = leader->row_version,
	};
	GString *value;
	char *name;

	leader->attempt++;
	name = attempt_name(leader);
	value = key_map_pack(map, leader->service->name, name);
	g_free(name);
	write.value = (struct str){ value->str, value->len };
	leader->writing = true;
	leader->options.store.ops->write(leader->options.store.impl, &write,
					 SAVE_TIMEOUT_S, on_saved, leader);
	g_string_free(value, TRUE);
}

static const struct key_allocator_ops key_allocator_ops = {
	.owner_state = owner_state,
	.grant = give,
	.release = take_back,
	.save = save,
	.changed = changed,
	.note = note,
};

static void unref_upstream(gpointer data)
{
	upstream_unref(data);
}

struct key_leader *key_leader_create(const struct key_leader_options *options,
				     struct service *service,
				     const struct store_row *row,
				     double inherited_until_s)
{
	struct key_leader *leader = g_new0(struct key_leader, 1);
	struct key_map *map = key_map_create();

	leader->options = *options;
	leader->service = service;
	leader->nonce = g_random_int();
	ev_timer_init(&leader->soon, on_soon, SOON_S, 0);
	leader->soon.data = leader;
	leader->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, unref_upstream);
	if (row) {
		leader->row_version = row->version;
		if (!key_map_unpack(
			    map,
			    (struct str){ row->value->str, row->value->len },
			    NULL))
			log_error("keys", "the map of %s can't be read",
				  service->name);
	}
	leader->key_allocator = key_allocator_create(&key_allocator_ops, leader,
						     map, inherited_until_s);
	key_map_destroy(map);
	return leader;
}

void key_leader_destroy(struct key_leader *leader)
{
	if (!leader)
		return;
	ev_timer_stop(leader->options.loop->ev, &leader->soon);
	leader->destroyed = true;
	if (!leader->writing)
		leader_free(leader);
}

static double weight_of(const struct upstream *upstream, double now)
{
	double slowness =
		fmin(fmax(upstream->load.slowness, SLOWNESS_MIN), SLOWNESS_MAX);
	double weight = upstream->load.slots / slowness /
			(1 + FAILURE_COST * upstream->load.failures);

	return now < upstream->cold_until_s ? weight * COLD_WEIGHT : weight;
}

static void remember(struct key_leader *leader, struct upstream *upstream)
{
	if (g_hash_table_lookup(leader->upstreams, upstream->entry.id) ==
	    upstream)
		return;
	if (g_hash_table_size(leader->upstreams) > REMEMBER_MAX)
		g_hash_table_remove_all(leader->upstreams);
	g_hash_table_insert(leader->upstreams, g_strdup(upstream->entry.id),
			    upstream_ref(upstream));
}

static GArray *list_candidates(struct key_leader *leader)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct key_candidate));
	double now = now_of(leader);
	guint i;

	for (i = 0; i < leader->service->upstreams->len; i++) {
		struct upstream *u = leader->service->upstreams->pdata[i];
		struct key_candidate candidate = {
			.id = g_intern_string(u->entry.id),
			.started_ms = u->entry.started_ms,
			.weight = weight_of(u, now),
		};

		remember(leader, u);
		if (upstream_takes_work(leader->options.roster, u) &&
		    load_usable(&u->load, now))
			g_array_append_val(list, candidate);
	}
	return list;
}

/* Whether the first list of upstreams is still growing: keys that nobody holds
 * are dealt out once. */
static bool is_filling(struct key_leader *leader)
{
	double now = now_of(leader);

	if (leader->row_version)
		return false;
	if (leader->listed != leader->service->upstreams->len) {
		leader->listed = leader->service->upstreams->len;
		leader->listed_s = now;
	}
	return now < leader->listed_s + LIST_STANDS_S;
}

void key_leader_tick(struct key_leader *leader, double hold_s)
{
	GArray *list;

	if (hold_s <= 0)
		hold_s = leader->hold_s;
	leader->hold_s = hold_s;
	if (!leader->options.may_order(leader->options.ctx))
		return;
	if (is_filling(leader))
		return;
	list = list_candidates(leader);
	key_allocator_tick(leader->key_allocator, now_of(leader), hold_s,
			   (struct key_candidate *)(void *)list->data,
			   list->len);
	g_array_free(list, TRUE);
}

void key_leader_renew_all(struct key_leader *leader, double hold_s)
{
	key_allocator_renew_all(leader->key_allocator, now_of(leader), hold_s);
}

void key_leader_owner_broken(struct key_leader *leader, const char *id)
{
	key_allocator_owner_disconnected(leader->key_allocator,
					 g_intern_string(id));
}

void key_leader_owner_reconnects(struct key_leader *leader, const char *id)
{
	key_allocator_owner_reconnecting(leader->key_allocator,
					 g_intern_string(id));
}

void key_leader_count(struct key_leader *leader, uint16_t key)
{
	key_allocator_count_request(leader->key_allocator, key);
}

void key_leader_served_map(const struct key_leader *leader, struct key_map *map)
{
	key_allocator_served_map(leader->key_allocator, map, now_of(leader));
}

struct service *key_leader_service(const struct key_leader *leader)
{
	return leader->service;
}
