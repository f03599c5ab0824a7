#include "entry/key_leader.h"

#include <math.h>
#include <string.h>

#include "base/log.h"
#include "keys/key_capacity.h"
#include "store/store_calls.h"

/* Timeout of a write of the owner map to the store, in seconds. */
#define SAVE_TIMEOUT_S 0.8
/* A new service's upstream list is assumed to be complete when its length has
 * not changed for this long: upstreams write their entries about once a
 * second. */
#define LIST_STABLE_S 1.2
/* Delay, in seconds, of the early tick after an order's result, a save or a
 * change of the map. Results that arrive together cause one save. */
#define TICK_DELAY_S 0.003
/* Factor on the weight of an upstream that is still cold: it gets few keys. */
#define COLD_WEIGHT 0.1
/* Bounds of the slowness (struct load) by which an upstream's weight is
 * divided.
 */
#define SLOWNESS_MIN 0.5
#define SLOWNESS_MAX 4.0
/* Time constant, in seconds, of the smoothed demand for capacity. */
#define DEMAND_SMOOTH_S 1.0
/* Most upstreams remembered by id. Those that left the roster can be sent
 * releases until the table overflows and is cleared. */
#define KNOWN_UPSTREAMS_MAX 4096
/* First part of the ids of a leader's writes, with its nonce. */
#define WRITE_ID_PREFIX "%08x-"
/* Fencing tokens of an era of the store start at the era times 2 to the power
 * of this, above those of all earlier eras. JSON numbers hold them exactly. */
#define FENCE_ERA_SHIFT 32

struct key_leader {
	struct key_leader_options options;
	struct service *service;
	struct key_allocator *key_allocator;
	/** Upstreams seen so far (struct upstream) by id, including those that
	 * left the roster. */
	GHashTable *upstreams;
	/** Version of the service's row in the store as last written or read;
	 * 0: the service has no row. */
	uint64_t row_version;
	/** Era of the store in the saved owner map, and in the write of it that
	 * is in progress. */
	uint64_t saved_era;
	uint64_t writing_era;
	/** Number of the last write of the row, counted by this object. */
	uint32_t write_number;
	/** Random number; identifies this leader's writes together with
	 * write_number. */
	uint32_t nonce;
	/** A write is not answered yet. */
	bool writing;
	/** Number of the service's upstreams, and loop time at which it last
	 * changed; used until the first owner map is saved. */
	guint list_length;
	double list_changed_s;
	/** The service has had a row in the store. */
	bool had_row;
	/** Calls key_leader_tick() before its next regular call. */
	ev_timer early_tick;
	/** Seconds for which owners may hold granted keys, as in the last call
	 * of key_leader_tick(). */
	double hold_s;
	/** key_leader_destroy() was called during a write. */
	bool destroyed;
	/** Smoothed capacity in use, in slots of an upstream with the usual
	 * execution time, and when it was last updated. */
	double demand;
	double demand_s;
};

static double now_of(const struct key_leader *leader)
{
	return loop_now(leader->options.loop);
}

/* Finds an upstream of the service in the roster by id. An entry of another
 * service may have its id. */
static struct upstream *find_listed(const struct key_leader *leader,
				    const char *id)
{
	struct upstream *upstream = roster_upstream(leader->options.roster, id);

	return upstream && upstream->service == leader->service ? upstream
								: NULL;
}

/* Finds an upstream of the service by id, also one that left the roster;
 * returns NULL if it is unknown. */
static struct upstream *find_upstream(const struct key_leader *leader,
				      const char *id)
{
	struct upstream *upstream = find_listed(leader, id);

	return upstream ? upstream : g_hash_table_lookup(leader->upstreams, id);
}

static bool same_address(const struct upstream *a, const struct upstream *b)
{
	return a->entry.address.sin_port == b->entry.address.sin_port &&
	       a->entry.address.sin_addr.s_addr ==
		       b->entry.address.sin_addr.s_addr;
}

/* Search for a newer upstream at the address of an owner that left the roster.
 */
struct address_search {
	const struct roster *roster;
	const struct upstream *owner;
	bool replaced;
};

static void find_newer_at_address(struct upstream *upstream, void *ctx)
{
	struct address_search *search = ctx;

	if (upstream != search->owner &&
	    same_address(upstream, search->owner) &&
	    upstream->entry.started_ms > search->owner->entry.started_ms &&
	    !upstream_is_foreign(search->roster, upstream))
		search->replaced = true;
}

/* Returns the state of an owner that is not in the roster. If a newer upstream
 * runs at its address, the owner's process has ended and its keys are free. */
static enum owner_state removed_state(const struct key_leader *leader,
				      const char *id)
{
	struct address_search search = {
		.roster = leader->options.roster,
		.owner = g_hash_table_lookup(leader->upstreams, id),
	};

	if (!search.owner)
		return OWNER_UNREACHABLE;
	roster_each_upstream((struct roster *)leader->options.roster,
			     find_newer_at_address, &search);
	return search.replaced ? OWNER_ENDED : OWNER_UNREACHABLE;
}

/* Returns the state of an incarnation of an upstream as an owner of keys. */
static enum owner_state owner_state(void *ctx, const char *id,
				    int64_t started_ms)
{
	const struct key_leader *leader = ctx;
	const struct upstream *upstream = find_listed(leader, id);

	if (!upstream)
		return removed_state(leader, id);
	if (!upstream_takes_work(leader->options.roster, upstream))
		return OWNER_LEAVING;
	if (upstream->entry.started_ms != started_ms)
		return OWNER_RESTARTED;
	return OWNER_AVAILABLE;
}

/* Schedules an early tick, unless one is scheduled already. */
static void schedule_tick(struct key_leader *leader)
{
	if (ev_is_active(&leader->early_tick))
		return;
	ev_timer_set(&leader->early_tick, TICK_DELAY_S, 0);
	ev_timer_start(leader->options.loop->ev, &leader->early_tick);
}

static void on_early_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	key_leader_tick(timer->data, 0);
}

static void on_order_done(void *ctx, uint32_t order, enum order_result result,
			  const char *handover)
{
	struct key_leader *leader = ctx;

	key_allocator_order_done(leader->key_allocator, order, result, handover,
				 now_of(leader));
	if (key_allocator_needs_save(leader->key_allocator))
		schedule_tick(leader);
}

/* Logs the first grant under a fencing token, not its renewals. */
static void log_grant(const struct key_leader *leader,
		      const struct key_order *order)
{
	if (!order->fresh)
		return;
	event_log_write(
		leader->options.log, "info", "keys",
		"event=grant service=%s first=%u last=%u owner=%s "
		"fence=%" PRIu64 " handover=%d hold_ms=%.0f "
		"lease_left_ms=%.0f row=%" PRIu64,
		leader->service->name, order->first, order->last, order->owner,
		order->fence, order->handover != NULL, order->hold_s * 1000,
		leader->options.lease_left_s(leader->options.ctx) * 1000,
		store_version_own(leader->row_version));
}

static void send_grant(void *ctx, const struct key_order *order)
{
	struct key_leader *leader = ctx;
	struct upstream *upstream = find_upstream(leader, order->owner);

	if (!upstream ||
	    !leader->options.may_send_orders(leader->options.ctx)) {
		on_order_done(leader, order->id, ORDER_NOT_SENT, NULL);
		return;
	}
	log_grant(leader, order);
	orders_grant(leader->options.orders, upstream, order, on_order_done,
		     leader);
}

static void send_release(void *ctx, const struct key_order *order)
{
	struct key_leader *leader = ctx;
	struct upstream *upstream = find_upstream(leader, order->owner);

	if (!upstream ||
	    !leader->options.may_send_orders(leader->options.ctx)) {
		on_order_done(leader, order->id, ORDER_NOT_SENT, NULL);
		return;
	}
	orders_release(leader->options.orders, upstream, order, on_order_done,
		       leader);
}

static void log_move(void *ctx, const struct key_span *span, const char *to,
		     const char *reason)
{
	struct key_leader *leader = ctx;

	event_log_write(leader->options.log, "info", "keys",
			"event=move service=%s first=%u last=%u from=%s to=%s "
			"fence=%" PRIu64 " reason=%s row=%" PRIu64
			" map=%" PRIu64 " hold_ms=%.0f lease_left_ms=%.0f",
			leader->service->name, span->first, span->last,
			span->owner ? span->owner : "-", to, span->fence,
			reason, store_version_own(leader->row_version),
			key_map_shown_version(leader->service->keys->version),
			leader->hold_s * 1000,
			leader->options.lease_left_s(leader->options.ctx) *
				1000);
}

static void on_map_changed(void *ctx)
{
	struct key_leader *leader = ctx;

	schedule_tick(leader);
	leader->options.changed(leader->options.ctx);
}

/* Returns the id of the last write, which the row holds as KeyMap.attempt; the
 * caller frees it. */
static char *format_write_id(const struct key_leader *leader)
{
	return g_strdup_printf(WRITE_ID_PREFIX "%u", leader->nonce,
			       leader->write_number);
}

/* Who wrote a row. */
enum writer {
	/** This leader, by its last write. */
	LAST_WRITE,
	/** This leader, by an earlier write that was applied late. */
	EARLIER_WRITE,
	/** Another leader. */
	OTHER_LEADER,
	/** A leader that didn't know the present era: the store restored the
	 * row from an older copy. */
	EARLIER_ERA,
};

static enum writer writer_of(const struct key_leader *leader,
			     const struct store_row *row)
{
	char *prefix = g_strdup_printf(WRITE_ID_PREFIX, leader->nonce);
	char *name = format_write_id(leader);
	struct key_map *map = key_map_create();
	enum writer writer = OTHER_LEADER;
	char *attempt = NULL;

	if (key_map_unpack(map,
			   (struct str){ row->value->str, row->value->len },
			   &attempt) &&
	    g_str_has_prefix(attempt, prefix))
		writer = strcmp(attempt, name) ? EARLIER_WRITE : LAST_WRITE;
	else if (map->era < store_version_era(row->version))
		writer = EARLIER_ERA;
	g_free(attempt);
	key_map_destroy(map);
	g_free(name);
	g_free(prefix);
	return writer;
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

/* Handles a write whose condition did not hold; returns whether the row holds
 * the written map nevertheless, because an answer was lost. */
static bool handle_conflict(struct key_leader *leader,
			    const struct store_row *row, uint64_t store_version)
{
	enum writer writer;

	if (!row && store_version_era(store_version) >
			    store_version_era(leader->row_version)) {
		/* The store lost it. */
		leader->row_version = 0;
		return false;
	}
	writer = row ? writer_of(leader, row) : OTHER_LEADER;
	if (writer == OTHER_LEADER) {
		leader->options.superseded(leader->options.ctx);
		return false;
	}
	leader->row_version = row->version;
	return writer == LAST_WRITE;
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
	if (ok)
		leader->row_version = result->version;
	else if (result->status == STORE_CONFLICT)
		ok = handle_conflict(leader, row, result->version);
	if (ok)
		leader->saved_era = leader->writing_era;
	if (!ok)
		log_warn(
			"keys",
			"the owner map of service %s was not saved and will be "
			"saved again: store status %d",
			leader->service->name, result->status);
	key_allocator_save_done(leader->key_allocator, ok, leader->row_version,
				now_of(leader));
	if (ok)
		schedule_tick(leader);
}

/* Writes the owner map to the service's row, on condition that no other leader
 * has written the row meanwhile. */
static void save_map(void *ctx, const struct key_map *map)
{
	struct key_leader *leader = ctx;
	/* Refers to the spans of the map. */
	struct key_map saved = *map;
	struct store_write write = {
		.table = KEY_TABLE,
		.key = leader->service->name,
		.expect = leader->row_version,
	};
	GString *value;
	char *name;

	leader->write_number++;
	name = format_write_id(leader);
	saved.era = store_era_current(leader->options.store.era);
	leader->writing_era = saved.era;
	value = key_map_pack(&saved, leader->service->name, name);
	g_free(name);
	write.value = (struct str){ value->str, value->len };
	leader->writing = true;
	store_calls_count(leader->options.store.calls, write.table, "save");
	leader->options.store.ops->write(leader->options.store.impl, &write,
					 SAVE_TIMEOUT_S, on_saved, leader);
	g_string_free(value, TRUE);
}

static const struct key_allocator_ops key_allocator_ops = {
	.owner_state = owner_state,
	.grant = send_grant,
	.release = send_release,
	.save = save_map,
	.changed = on_map_changed,
	.note = log_move,
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
	uint64_t era = store_era_current(options->store.era);
	struct key_inheritance inherited = {
		.map = map,
		.until_s = inherited_until_s,
		.owners_unknown = era > STORE_FIRST_ERA_MAX,
		.fence_min = era << FENCE_ERA_SHIFT,
	};

	leader->options = *options;
	leader->service = service;
	leader->nonce = g_random_int();
	ev_timer_init(&leader->early_tick, on_early_tick, TICK_DELAY_S, 0);
	leader->early_tick.data = leader;
	leader->upstreams = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, unref_upstream);
	if (row) {
		leader->row_version = row->version;
		if (!key_map_unpack(
			    map,
			    (struct str){ row->value->str, row->value->len },
			    NULL))
			log_error("keys",
				  "the saved owner map of service %s can't be "
				  "decoded; starting without owners",
				  service->name);
	}
	if (row)
		inherited.owners_unknown =
			map->era < store_version_era(row->version);
	if (inherited.owners_unknown)
		event_log_write(options->log, "warning", "keys",
				"event=owners_unknown service=%s era=%" PRIu64
				" map_era=%" PRIu64 " row=%" PRIu64
				" wait_ms=%.0f",
				service->name, era, map->era,
				store_version_own(leader->row_version),
				(inherited_until_s - now_of(leader)) * 1000);
	leader->saved_era = map->era;
	leader->key_allocator =
		key_allocator_create(&key_allocator_ops, leader, &inherited);
	key_map_destroy(map);
	return leader;
}

void key_leader_destroy(struct key_leader *leader)
{
	if (!leader)
		return;
	ev_timer_stop(leader->options.loop->ev, &leader->early_tick);
	leader->destroyed = true;
	if (!leader->writing)
		leader_free(leader);
}

/* Returns what is known of an upstream as an owner of keys. */
static struct key_server server_of(const struct upstream *upstream, double now)
{
	struct key_server server = {
		.slots = upstream->load.slots,
		.slowness = fmin(fmax(upstream->load.slowness, SLOWNESS_MIN),
				 SLOWNESS_MAX),
		.failures = upstream->load.failures,
		.capacity_factor =
			now < upstream->cold_until_s ? COLD_WEIGHT : 1,
	};

	return server;
}

/* Returns the capacity of an upstream that is in use, in slots of one with the
 * usual execution time. */
static double capacity_in_use(const struct upstream *upstream,
			      const struct key_server *server, double now)
{
	return fmin(load_in_flight(&upstream->load, now), server->slots) /
	       server->slowness;
}

/* Updates the smoothed demand. */
static void smooth_demand(struct key_leader *leader, double demand)
{
	double now = now_of(leader);
	double part = 1 - exp(-(now - leader->demand_s) / DEMAND_SMOOTH_S);

	leader->demand += part * (demand - leader->demand);
	leader->demand_s = now;
}

static void remember_upstream(struct key_leader *leader,
			      struct upstream *upstream)
{
	if (g_hash_table_lookup(leader->upstreams, upstream->entry.id) ==
	    upstream)
		return;
	if (g_hash_table_size(leader->upstreams) > KNOWN_UPSTREAMS_MAX)
		g_hash_table_remove_all(leader->upstreams);
	g_hash_table_insert(leader->upstreams, g_strdup(upstream->entry.id),
			    upstream_ref(upstream));
}

/* Returns the upstreams that may be granted keys (struct key_candidate); the
 * caller frees the array. */
static GArray *list_candidates(struct key_leader *leader)
{
	GArray *list = g_array_new(FALSE, FALSE, sizeof(struct key_candidate));
	GArray *limits = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(struct key_server));
	double now = now_of(leader);
	double demand = 0;
	guint i;

	for (i = 0; i < leader->service->upstreams->len; i++) {
		struct upstream *u = leader->service->upstreams->pdata[i];
		struct key_candidate candidate = {
			.id = g_intern_string(u->entry.id),
			.started_ms = u->entry.started_ms,
		};
		struct key_server server = server_of(u, now);
		double limit = u->limit.limited ? u->limit.per_s : -1;

		remember_upstream(leader, u);
		if (!upstream_takes_work(leader->options.roster, u) ||
		    !load_usable(&u->load, now))
			continue;
		g_array_append_val(list, candidate);
		g_array_append_val(limits, limit);
		g_array_append_val(servers, server);
		demand += capacity_in_use(u, &server, now);
	}
	smooth_demand(leader, demand);
	key_capacity_set_weights(
		(struct key_candidate *)(void *)list->data,
		(const struct key_server *)(const void *)servers->data,
		list->len, leader->demand);
	key_capacity_apply_limits(
		(struct key_candidate *)(void *)list->data,
		(const double *)(const void *)limits->data, list->len,
		key_allocator_requests_per_s(leader->key_allocator));
	g_array_free(limits, TRUE);
	g_array_free(servers, TRUE);
	return list;
}

/* Whether a new service's list of upstreams is still growing. Granting keys now
 * would give them all to the first upstreams that registered. */
static bool is_list_growing(struct key_leader *leader)
{
	double now = now_of(leader);

	/* The store may lose the row later on. */
	if (leader->row_version)
		leader->had_row = true;
	if (leader->had_row)
		return false;
	if (leader->list_length != leader->service->upstreams->len) {
		leader->list_length = leader->service->upstreams->len;
		leader->list_changed_s = now;
	}
	return now < leader->list_changed_s + LIST_STABLE_S;
}

/* Has the owner map saved again if the store may have lost it. */
static void save_restored_map(struct key_leader *leader)
{
	uint64_t era = store_era_current(leader->options.store.era);

	if (leader->writing || !leader->row_version || leader->saved_era == era)
		return;
	leader->saved_era = era;
	key_allocator_save_again(leader->key_allocator);
}

void key_leader_tick(struct key_leader *leader, double hold_s)
{
	GArray *list;

	if (hold_s <= 0)
		hold_s = leader->hold_s;
	leader->hold_s = hold_s;
	if (!leader->options.may_send_orders(leader->options.ctx))
		return;
	if (is_list_growing(leader))
		return;
	save_restored_map(leader);
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

void key_leader_owner_disconnected(struct key_leader *leader, const char *id)
{
	key_allocator_owner_disconnected(leader->key_allocator,
					 g_intern_string(id));
}

void key_leader_owner_reconnecting(struct key_leader *leader, const char *id)
{
	key_allocator_owner_reconnecting(leader->key_allocator,
					 g_intern_string(id));
}

void key_leader_owner_doubted(struct key_leader *leader, const char *id)
{
	key_allocator_owner_doubted(leader->key_allocator, g_intern_string(id),
				    now_of(leader));
}

void key_leader_count_request(struct key_leader *leader, uint16_t key)
{
	key_allocator_count_request(leader->key_allocator, key);
}

void key_leader_copy_served_map(const struct key_leader *leader,
				struct key_map *map)
{
	key_allocator_served_map(leader->key_allocator, map, now_of(leader));
}

struct service *key_leader_service(const struct key_leader *leader)
{
	return leader->service;
}
