/*
 * Membership of this VM in the cluster: competes for the lease, runs the key
 * leaders while this VM leads, and times reports and heartbeats. The messages
 * are in cluster_messages.c.
 */
#include "entry/cluster_impl.h"

#include <string.h>

#include "base/address.h"
#include "base/log.h"
#include "store/store_calls.h"

double cluster_now(const struct cluster *cluster)
{
	return loop_now(cluster->options.loop);
}

static void free_key_leader(gpointer data)
{
	key_leader_destroy(data);
}

static void free_published_map(gpointer data)
{
	published_map_destroy(data);
}

static bool may_send_orders(void *ctx)
{
	struct cluster *cluster = ctx;

	return cluster->leading && lease_held(cluster->lease, GRANT_TIMEOUT_S);
}

/* Sends a heartbeat after a short delay, unless one is scheduled already. */
static void schedule_publication(struct cluster *cluster)
{
	if (!ev_is_active(&cluster->publish_timer)) {
		unsigned int vms = roster_vm_count(cluster->options.roster);

		ev_timer_set(&cluster->publish_timer,
			     MAX(PUBLISH_DELAY_S, vms * PUBLISH_VM_S), 0);
		ev_timer_start(cluster->options.loop->ev,
			       &cluster->publish_timer);
	}
}

static void keys_changed(void *ctx)
{
	struct cluster *cluster = ctx;

	cluster->maps_changed = true;
	schedule_publication(cluster);
}

void cluster_send_row_changes(struct cluster *cluster)
{
	if (cluster->leading)
		schedule_publication(cluster);
	else
		cluster->relay_sent_s = 0;
}

static void on_won(void *ctx)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "info", "lease",
			"event=won row=%" PRIu64,
			lease_version(cluster->lease));
	cluster->leading = true;
	cluster->heartbeat_sent_s = 0;
	/* Give VMs known to the previous leader time to report here. */
	live_vms_touch_all(cluster->vms, cluster_now(cluster));
	cluster->maps_read = false;
	cluster->vms_changed = true;
	g_hash_table_remove_all(cluster->published_maps);
	cluster->map_base = lease_version(cluster->lease) * MAPS_PER_LEASE;
	cluster->map_number = 0;
	cluster->hold_s = HOLD_S;
	cluster->inherited_until_s =
		cluster_now(cluster) +
		cluster->options.settings->hold_max_s * CLOCK_DRIFT_FACTOR +
		GRANT_TRAVEL_S;
	counter_set(cluster->leads, 1);
	crash_exchange_resend(cluster->crash_exchange);
	limit_exchange_begin(cluster->limit_exchange);
	quota_exchange_begin(cluster->quota_exchange,
			     live_vms_count(cluster->vms));
	/* The heartbeat makes the other VMs stop competing for the lease. */
	keys_changed(cluster);
}

static void on_lost(void *ctx, const char *reason)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "warning", "lease",
			"event=lost reason=\"%s\" row=%" PRIu64, reason,
			lease_version(cluster->lease));
	cluster->leading = false;
	orders_cancel(cluster->orders);
	g_hash_table_remove_all(cluster->key_leaders);
	counter_set(cluster->leads, 0);
}

/* Whether the leader's heartbeats arrive. */
static bool hears_leader(const struct cluster *cluster)
{
	return cluster_now(cluster) < cluster->last_heartbeat_s + RELAY_LOST_S;
}

static void on_leader_learned(void *ctx, const char *vm, const char *address)
{
	struct cluster *cluster = ctx;
	struct sockaddr_in leader;

	if (!address_parse(str_from(address), &leader)) {
		log_warn(
			"lease",
			"ignored the address of leader %s in the lease row: it "
			"is not IPv4:port",
			vm);
		return;
	}
	cluster->leader_address = leader;
	cluster->leader_address_known = true;
	/* The leader may not know this VM: report at once. */
	if (!hears_leader(cluster))
		cluster_report_soon(cluster);
}

static void renew_all(gpointer key, gpointer value, gpointer data)
{
	struct cluster *cluster = data;

	(void)key;
	key_leader_renew_all(value, cluster->hold_s);
}

static void notify_owner_disconnected(gpointer key, gpointer value,
				      gpointer upstream)
{
	(void)key;
	key_leader_owner_disconnected(value, upstream);
}

static void on_owner_disconnected(void *ctx, const char *upstream)
{
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->key_leaders, notify_owner_disconnected,
			     (char *)upstream);
}

static void notify_owner_reconnecting(gpointer key, gpointer value,
				      gpointer upstream)
{
	(void)key;
	key_leader_owner_reconnecting(value, upstream);
}

static void on_owner_reconnecting(void *ctx, const char *upstream)
{
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->key_leaders, notify_owner_reconnecting,
			     (char *)upstream);
}

static const struct orders_ops orders_ops = {
	.may_send_orders = may_send_orders,
	.disconnected = on_owner_disconnected,
	.reconnecting = on_owner_reconnecting,
};

/* The lease can't be renewed, and the store may be unreachable for long. While
 * this VM may still give orders, it extends all key grants to the maximum. */
static void on_renewal_failing(void *ctx)
{
	struct cluster *cluster = ctx;

	if (!may_send_orders(cluster))
		return;
	cluster->hold_s = cluster->options.settings->hold_max_s;
	event_log_write(cluster->options.log, "warning", "lease",
			"event=renewal_failed hold_s=%.1f row=%" PRIu64,
			cluster->hold_s, lease_version(cluster->lease));
	g_hash_table_foreach(cluster->key_leaders, renew_all, cluster);
}

/* Returns what other VMs do for this VM's table watches. */
static enum table_watch_peers peers_of(const struct cluster *cluster)
{
	double now = cluster_now(cluster);

	if (cluster->leading)
		return live_vms_count(cluster->vms) > 1
			       ? TABLE_WATCH_PEERS_RELAY
			       : TABLE_WATCH_NO_PEERS;
	if (hears_leader(cluster) || now < cluster->last_relay_s + RELAY_LOST_S)
		return TABLE_WATCH_PEERS_RELAY;
	return now < cluster->last_waiting_relay_s + RELAY_LOST_S
		       ? TABLE_WATCH_PEERS_WAIT
		       : TABLE_WATCH_NO_PEERS;
}

/* Exchanges row versions with the table watches, so that they notice changes
 * that this VM missed. */
static void exchange_row_versions(struct cluster *cluster)
{
	struct table_watch *operator_rows = cluster->options.operator_rows;
	struct table_watch *upstream_rows = cluster->options.upstream_rows;
	enum table_watch_peers peers = peers_of(cluster);
	struct config_contact *contact =
		customers_contact(cluster->options.customers);

	cluster_update_row_versions(cluster,
				    table_watch_row_version(operator_rows),
				    table_watch_row_version(upstream_rows));
	config_contact_tick(contact, cluster_now(cluster));
	if (table_watch_row_version(operator_rows) >=
	    cluster->row_versions.operator_rows)
		config_contact_peer_heard(contact,
					  cluster->row_versions_heard_s);
	table_watch_set_peers(operator_rows, peers,
			      cluster->row_versions.operator_rows);
	table_watch_set_peers(upstream_rows, peers,
			      cluster->row_versions.upstream_rows);
}

void cluster_set_watch_mode(struct cluster *cluster, enum table_watch_mode mode)
{
	table_watch_set_mode(cluster->options.operator_rows, mode);
	table_watch_set_mode(cluster->options.upstream_rows, mode);
}

static const struct lease_ops lease_ops = {
	.won = on_won,
	.lost = on_lost,
	.learned = on_leader_learned,
	.renewal_failing = on_renewal_failing,
};

/* Drops the requests in flight that a VM reported. */
static void on_vm_timed_out(void *ctx, const struct live_vm *vm)
{
	struct cluster *cluster = ctx;

	log_info("cluster", "VM %s timed out: no recent report", vm->name);
	load_exchange_remove_vm(cluster->load_exchange, vm->name);
	quota_exchange_vm_lost(cluster->quota_exchange, vm->name);
	cluster->vms_changed = true;
}

static void on_publish_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cluster *cluster = timer->data;

	(void)loop;
	(void)events;
	if (cluster->maps_changed)
		cluster->map_number++;
	cluster->maps_changed = false;
	if (lease_held(cluster->lease, 0))
		cluster_send_heartbeat(cluster);
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
		.may_send_orders = may_send_orders,
		.changed = keys_changed,
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

/* Creates the key leaders of services with a stored owner map, after this VM
 * won the lease. */
static void on_inherited_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->reading_maps = false;
	if (result->status != STORE_OK || !cluster->leading)
		return;
	load_blocked_requests(cluster, result);
	for (i = 0; i < result->row_count; i++) {
		struct service *service = roster_service(
			cluster->options.roster, result->rows[i].key);

		if (service)
			ensure_key_leader(cluster, service, &result->rows[i]);
	}
	cluster->maps_read = true;
	event_log_write(cluster->options.log, "info", "keys",
			"event=leading maps=%zu version=%" PRIu64,
			result->row_count, result->version);
}

/* Reads the owner maps of all services from the store, unless a read is in
 * progress already. */
static void read_maps(struct cluster *cluster, store_done_fn done,
		      const char *reason)
{
	if (cluster->reading_maps)
		return;
	cluster->reading_maps = true;
	store_calls_count(cluster->options.store.calls, KEY_TABLE, reason);
	cluster->options.store.ops->read(cluster->options.store.impl, KEY_TABLE,
					 "", done, cluster);
}

static void tick_leader(gpointer key, gpointer value, gpointer data)
{
	struct cluster *cluster = data;

	(void)key;
	key_leader_tick(value, cluster->hold_s);
}

/* Does the leader's work of one tick. */
static void run_leader(struct cluster *cluster)
{
	double now = cluster_now(cluster);

	cluster_record_vm_alive(cluster, cluster->options.settings->vm,
				&cluster->options.settings->peers);
	live_vms_expire(cluster->vms, now, on_vm_timed_out, cluster);
	if (now >= cluster->heartbeat_sent_s + HEARTBEAT_S)
		cluster_send_heartbeat(cluster);
	copy_exchange_send(cluster->copy_exchange,
			   lease_version(cluster->lease));
	cluster_set_watch_mode(cluster, TABLE_WATCH_LEADER);
	if (!cluster->options.roster_loaded(cluster->options.ctx))
		return;
	if (!cluster->maps_read) {
		read_maps(cluster, on_inherited_maps, "inherit");
		return;
	}
	/* The lease is renewed again: end the extension of grants by
	 * on_renewal_failing(). */
	if (lease_held(cluster->lease, LEASE_S * 0.6))
		cluster->hold_s = HOLD_S;
	if (lease_held(cluster->lease, 0))
		crash_exchange_save(cluster->crash_exchange);
	roster_each_service(cluster->options.roster, lead_service, cluster);
	g_hash_table_foreach(cluster->key_leaders, tick_leader, cluster);
}

/* Applies the owner maps from the store, unless a heartbeat arrived lately. */
static void on_fallback_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->reading_maps = false;
	if (result->status != STORE_OK ||
	    cluster_now(cluster) < cluster->last_heartbeat_s + HEARTBEAT_LOST_S)
		return;
	load_blocked_requests(cluster, result);
	for (i = 0; i < result->row_count; i++) {
		struct service *service = roster_service(
			cluster->options.roster, result->rows[i].key);
		const GString *value = result->rows[i].value;

		if (service &&
		    !key_map_unpack(service->keys,
				    (struct str){ value->str, value->len },
				    NULL))
			log_warn("keys",
				 "ignored the owner map of service %s in the "
				 "store: it can't be decoded",
				 service->name);
	}
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

/* Returns the interval of this VM's reports to the leader. */
static double report_interval_s(const struct cluster *cluster)
{
	unsigned int vms = roster_vm_count(cluster->options.roster);

	if (!hears_leader(cluster) ||
	    copy_exchange_waits(cluster->copy_exchange))
		return live_vms_unheard_report_interval_s(vms);
	return live_vms_report_interval_s(vms);
}

/* Relays changes of the tables while the leader isn't heard: the other VMs rely
 * on this one. */
static void relay_for_leader(struct cluster *cluster)
{
	cluster_set_watch_mode(cluster, TABLE_WATCH_RELAY);
	if (cluster_now(cluster) >= cluster->relay_sent_s + HEARTBEAT_S)
		cluster_send_row_relay(cluster);
}

void cluster_tick(struct cluster *cluster)
{
	double now = cluster_now(cluster);

	lease_tick(cluster->lease);
	if (cluster->leading)
		run_leader(cluster);
	else if (now > cluster->last_heartbeat_s + HEARTBEAT_LOST_S &&
		 has_unheard_leader(cluster)) {
		cluster->fallback_lease = lease_version(cluster->lease);
		read_maps(cluster, on_fallback_maps, "fallback");
	}
	exchange_row_versions(cluster);
	if (cluster->is_backup && !cluster->leading &&
	    now > cluster->last_heartbeat_s + LATE_HEARTBEAT_S)
		relay_for_leader(cluster);
	/* Sending up to half a tick early makes up for ticks that come late. */
	if (now >= cluster->loads_sent_s +
			   roster_load_interval_s(cluster->options.roster) -
			   LOAD_TIMER_SLACK_S) {
		cluster->loads_sent_s = now;
		cluster_send_load_report(cluster);
		if (cluster->leading)
			cluster_send_load_totals(cluster);
	}
	if (now >= cluster->report_sent_s + report_interval_s(cluster))
		cluster_send_vm_report(cluster, false);
}

void cluster_report_soon(struct cluster *cluster)
{
	cluster->report_sent_s = 0;
}

void cluster_stop(struct cluster *cluster)
{
	lease_stop(cluster->lease);
	cluster_send_vm_report(cluster, true);
}

/* Sends the next heartbeat or report early. */
static void on_crashes_changed(void *ctx)
{
	struct cluster *cluster = ctx;

	if (cluster->leading)
		schedule_publication(cluster);
	else
		cluster_report_soon(cluster);
}

static void create_crash_exchange(struct cluster *cluster)
{
	struct crash_exchange_options options = {
		.loop = cluster->options.loop,
		.store = cluster->options.store,
		.crashes = cluster->options.crashes,
		.changed = on_crashes_changed,
		.ctx = cluster,
	};

	cluster->crash_exchange = crash_exchange_create(&options);
}

static void create_copy_exchange(struct cluster *cluster)
{
	struct copy_exchange_options options = {
		.loop = cluster->options.loop,
		.datagrams = cluster->datagrams,
		.log = cluster->options.log,
		.watches = {
			[COPIED_OPERATOR_ROWS] = cluster->options.operator_rows,
			[COPIED_UPSTREAM_ROWS] = cluster->options.upstream_rows,
		},
	};

	cluster->copy_exchange = copy_exchange_create(&options);
}

struct crash_exchange *cluster_crash_exchange(struct cluster *cluster)
{
	return cluster->crash_exchange;
}

struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	char address[ADDRESS_TEXT_SIZE];

	cluster->options = *options;
	cluster->datagrams =
		datagrams_create(options->loop, &options->settings->peers,
				 cluster_datagram_ops(), cluster, error);
	if (!cluster->datagrams) {
		g_free(cluster);
		return NULL;
	}
	address_format(&options->settings->peers, address);
	cluster->lease =
		lease_create(options->loop, &options->store, &lease_ops,
			     cluster, options->settings->vm, address);
	lease_set_acquire_delay(
		cluster->lease,
		MIN(ACQUIRE_DELAY_MAX_S,
		    ACQUIRE_DELAY_MBIT / options->settings->link_mbps));
	if (options->settings->copy_wait_s > 0)
		lease_begin(cluster->lease);
	cluster->orders =
		orders_create(options->loop, options->links, options->protocol,
			      &orders_ops, cluster);
	cluster->vms = live_vms_create();
	cluster->key_leaders = g_hash_table_new_full(g_str_hash, g_str_equal,
						     NULL, free_key_leader);
	cluster->published_maps = g_hash_table_new_full(
		g_str_hash, g_str_equal, g_free, free_published_map);
	cluster->load_exchange =
		load_exchange_create(options->loop, options->roster);
	cluster->limit_exchange =
		limit_exchange_create(options->loop, options->roster);
	cluster->quota_exchange =
		quota_exchange_create(options->loop, options->customers);
	create_crash_exchange(cluster);
	create_copy_exchange(cluster);
	cluster->hold_s = HOLD_S;
	cluster->last_heartbeat_s = cluster_now(cluster) - HEARTBEAT_LOST_S / 2;
	ev_timer_init(&cluster->publish_timer, on_publish_timer,
		      PUBLISH_DELAY_S, 0);
	cluster->publish_timer.data = cluster;
	cluster->leads = metrics_gauge(options->metrics, "auburn_leads", "",
				       "1 while this VM leads.");
	cluster->vms_alive = metrics_gauge(options->metrics, "auburn_vms", "",
					   "VMs of the system that are alive.");
	return cluster;
}

void cluster_destroy(struct cluster *cluster)
{
	if (!cluster)
		return;
	ev_timer_stop(cluster->options.loop->ev, &cluster->publish_timer);
	orders_destroy(cluster->orders);
	g_hash_table_destroy(cluster->key_leaders);
	lease_destroy(cluster->lease);
	datagrams_destroy(cluster->datagrams);
	load_exchange_destroy(cluster->load_exchange);
	limit_exchange_destroy(cluster->limit_exchange);
	quota_exchange_destroy(cluster->quota_exchange);
	live_vms_destroy(cluster->vms);
	g_hash_table_destroy(cluster->published_maps);
	crash_exchange_destroy(cluster->crash_exchange);
	copy_exchange_destroy(cluster->copy_exchange);
	g_free(cluster);
}
