/*
 * Owner maps that the cluster reads from the store: those of the previous
 * leader, and those of a leader that isn't heard.
 */
#include <string.h>

#include "base/log.h"
#include "entry/cluster_impl.h"
#include "store/store_calls.h"

/* Reasons of reads, as counted. */
#define INHERIT "inherit"
#define FALLBACK "fallback"

static void on_superseded(void *ctx)
{
	((struct cluster *)ctx)->maps_superseded = true;
}

/* Creates the key leader of a service that is keyed and has none.
 *
 * @param row the service's saved owner map, or NULL */
static void ensure_key_leader(struct cluster *cluster, struct service *service,
			      const struct store_row *row)
{
	struct key_leader_options options = {
		.loop = cluster->options.loop,
		.roster = cluster->options.roster,
		.store = cluster->options.store,
		.orders = cluster->orders,
		.log = cluster->options.log,
		.may_send_orders = cluster_may_send_orders,
		.lease_left_s = cluster_lease_left_s,
		.changed = cluster_keys_changed,
		.superseded = on_superseded,
		.ctx = cluster,
	};

	if (!service->configured || !service->config.keyed ||
	    g_hash_table_contains(cluster->key_leaders, service->name))
		return;
	g_hash_table_insert(cluster->key_leaders, service->name,
			    key_leader_create(&options, service, row,
					      cluster->inherited_until_s));
}

/* Creates the key leader of a keyed service that has none, such as a service
 * without a stored owner map. */
static void lead_service(struct service *service, void *ctx)
{
	ensure_key_leader(ctx, service, NULL);
}

/* Applies the row with the blocked requests among those of the owner maps. */
static void load_blocked_requests(struct cluster *cluster,
				  const struct store_result *result)
{
	size_t i;

	for (i = 0; i < result->row_count; i++)
		if (!strcmp(result->rows[i].key, BLOCKED_KEY))
			crash_exchange_load(cluster->crash_exchange,
					    &result->rows[i]);
}

/* Reads a page of the owner maps from the store.
 *
 * @param from the first key, or "" */
static void read_maps(struct cluster *cluster, const char *from,
		      store_done_fn done, const char *reason)
{
	store_calls_count(cluster->options.store.calls, KEY_TABLE, reason);
	cluster->options.store.ops->read(cluster->options.store.impl, KEY_TABLE,
					 from, done, cluster);
}

/* Reads the page that follows a result; returns false if it was the last. */
static bool read_more_maps(struct cluster *cluster,
			   const struct store_result *result,
			   store_done_fn done, const char *reason)
{
	char *from = store_result_next_key(result);

	if (!from)
		return false;
	read_maps(cluster, from, done, reason);
	g_free(from);
	return true;
}

/* Creates the key leaders of services with a stored owner map, after this VM
 * won the lease. */
static void on_inherited_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->inheriting = false;
	/* In between, another VM may have led and moved keys. */
	if (result->status != STORE_OK || !cluster->leading ||
	    cluster->inheriting_base != cluster->map_base)
		return;
	load_blocked_requests(cluster, result);
	for (i = 0; i < result->row_count; i++) {
		struct service *service = roster_service(
			cluster->options.roster, result->rows[i].key);

		if (service)
			ensure_key_leader(cluster, service, &result->rows[i]);
	}
	if (read_more_maps(cluster, result, on_inherited_maps, INHERIT)) {
		cluster->inheriting = true;
		return;
	}
	cluster->maps_read = true;
	event_log_write(cluster->options.log, "info", "keys",
			"event=leading maps=%zu version=%" PRIu64
			" lease_left_ms=%.0f inherited_ms=%.0f",
			result->row_count, store_version_own(result->version),
			cluster_lease_left_s(cluster) * 1000,
			(cluster->inherited_until_s - cluster_now(cluster)) *
				1000);
}

void cluster_forget_maps(struct cluster *cluster)
{
	orders_cancel(cluster->orders);
	g_hash_table_remove_all(cluster->key_leaders);
	g_hash_table_remove_all(cluster->published_maps);
	cluster->maps_read = false;
	cluster->maps_superseded = false;
	cluster->inherited_until_s =
		cluster_now(cluster) +
		cluster->options.settings->hold_max_s * CLOCK_DRIFT_FACTOR +
		GRANT_TRAVEL_S;
}

void cluster_inherit_maps(struct cluster *cluster)
{
	if (cluster->inheriting)
		return;
	cluster->inheriting = true;
	cluster->inheriting_base = cluster->map_base;
	read_maps(cluster, "", on_inherited_maps, INHERIT);
}

void cluster_lead_services(struct cluster *cluster)
{
	roster_each_service(cluster->options.roster, lead_service, cluster);
}

/* Applies a service's owner map from the store, unless the store restored it
 * from an older copy: the owners that the last heartbeat named are newer. */
static void apply_fallback_map(struct cluster *cluster,
			       const struct store_row *row)
{
	struct service *service =
		roster_service(cluster->options.roster, row->key);
	struct str value = { row->value->str, row->value->len };
	struct key_map *map;

	if (!service)
		return;
	map = key_map_create();
	if (!key_map_unpack(map, value, NULL))
		log_warn("keys",
			 "ignored the owner map of service %s in the store: it "
			 "can't be decoded",
			 service->name);
	else if (map->era >= store_version_era(row->version))
		key_map_copy(service->keys, map);
	key_map_destroy(map);
}

/* Applies the owner maps from the store, unless a heartbeat arrived lately. */
static void on_fallback_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->reading_fallback = false;
	if (result->status != STORE_OK || cluster->leading ||
	    cluster_now(cluster) < cluster->last_heartbeat_s + HEARTBEAT_LOST_S)
		return;
	event_log_write(cluster->options.log, "warning", "keys",
			"event=owners_from_store lease=%" PRIu64
			" version=%" PRIu64 " heartbeat_ms=%.0f",
			store_version_own(lease_version(cluster->lease)),
			store_version_own(result->version),
			(cluster_now(cluster) - cluster->last_heartbeat_s) *
				1000);
	load_blocked_requests(cluster, result);
	for (i = 0; i < result->row_count; i++)
		apply_fallback_map(cluster, &result->rows[i]);
	cluster->reading_fallback =
		read_more_maps(cluster, result, on_fallback_maps, FALLBACK);
	cluster->options.routing_changed(cluster->options.ctx);
}

/* Whether a VM renewed the lease without this VM hearing its heartbeats. Only
 * then may owners have changed, which that leader saves before. */
static bool has_unheard_leader(const struct cluster *cluster)
{
	uint64_t version = lease_version(cluster->lease);

	return version > cluster->heartbeat_lease &&
	       version > cluster->fallback_lease;
}

void cluster_read_fallback_maps(struct cluster *cluster)
{
	if (cluster->reading_fallback || !has_unheard_leader(cluster))
		return;
	cluster->reading_fallback = true;
	cluster->fallback_lease = lease_version(cluster->lease);
	read_maps(cluster, "", on_fallback_maps, FALLBACK);
}
