/*
 * Membership of this VM in the cluster: competes for the lease, runs the key
 * leaders while this VM leads, and times reports and heartbeats. The messages
 * are
 * in cluster_messages.c and cluster_heartbeat.c, and the owner maps of the
 * store in cluster_maps.c.
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

bool cluster_may_send_orders(void *ctx)
{
	struct cluster *cluster = ctx;

	return cluster->leading && !cluster->maps_superseded &&
	       lease_held(cluster->lease, GRANT_TIMEOUT_S);
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

void cluster_keys_changed(void *ctx)
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

/* Returns the first version of the owner maps of a leader that acquired the
 * lease by writing this version of its row. */
static uint64_t first_map_version(uint64_t lease)
{
	return store_version_era(lease) << KEY_MAP_ERA_SHIFT |
	       store_version_own(lease) * MAPS_PER_LEASE;
}

static void on_won(void *ctx)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "info", "lease",
			"event=won row=%" PRIu64 " before=%s heartbeat_ms=%.0f",
			store_version_own(lease_version(cluster->lease)),
			cluster->followed ? cluster->followed : "-",
			(cluster_now(cluster) - cluster->last_heartbeat_s) *
				1000);
	cluster->won_s = cluster_now(cluster);
	cluster->leading = true;
	cluster->heartbeat_sent_s = 0;
	/* Give VMs known to the previous leader time to report here. */
	live_vms_touch_all(cluster->vms, cluster_now(cluster));
	cluster->vms_changed = true;
	cluster->map_base = first_map_version(lease_version(cluster->lease));
	cluster->map_number = 0;
	cluster->snapshots.number = cluster->map_base;
	cluster->hold_s = HOLD_S;
	cluster_forget_maps(cluster);
	counter_set(cluster->leads, 1);
	crash_exchange_resend(cluster->crash_exchange);
	limit_exchange_begin(cluster->limit_exchange);
	g_array_set_size(cluster->index_requests, 0);
	g_array_set_size(cluster->snapshot_requests, 0);
	quota_exchange_begin(cluster->quota_exchange,
			     live_vms_count(cluster->vms));
	/* The heartbeat makes the other VMs stop competing for the lease. */
	cluster_keys_changed(cluster);
}

static void on_lost(void *ctx, const char *reason)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "warning", "lease",
			"event=lost reason=\"%s\" row=%" PRIu64 " held_ms=%.0f",
			reason,
			store_version_own(lease_version(cluster->lease)),
			(cluster_now(cluster) - cluster->won_s) * 1000);
	cluster->leading = false;
	orders_cancel(cluster->orders);
	g_hash_table_remove_all(cluster->key_leaders);
	counter_set(cluster->leads, 0);
}

bool cluster_hears_leader(const struct cluster *cluster)
{
	return cluster_now(cluster) < cluster->last_heartbeat_s + RELAY_LOST_S;
}

/* Once this VM knows the size of the fleet, decides when it reads the tables,
 * unless the leader sends them before. */
static void begin_reading(struct cluster *cluster)
{
	double wait_s = live_vms_start_wait_s(lease_row_vms(cluster->lease)) *
			g_random_double();

	if (cluster->reading_begun ||
	    cluster->options.settings->copy_wait_s > 0)
		return;
	cluster->reading_begun = true;
	table_watch_set_copy_wait(cluster->options.operator_rows, wait_s);
	table_watch_set_copy_wait(cluster->options.upstream_rows, wait_s);
}

static void on_leader_learned(void *ctx, const char *vm, const char *address)
{
	struct cluster *cluster = ctx;
	struct sockaddr_in leader;

	begin_reading(cluster);
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
	cluster->leader_zone = "";
	/* The leader may not know this VM: report at once. */
	if (!cluster_hears_leader(cluster))
		cluster_report_soon(cluster);
}

static void renew_all(gpointer key, gpointer value, gpointer data)
{
	struct cluster *cluster = data;

	(void)key;
	key_leader_renew_all(value, cluster->hold_s);
}

/* What is to be told to all key leaders of one upstream. */
struct owner_event {
	void (*tell)(struct key_leader *leader, const char *upstream);
	const char *upstream;
};

static void tell_key_leader(gpointer key, gpointer value, gpointer data)
{
	const struct owner_event *event = data;

	(void)key;
	event->tell(value, event->upstream);
}

static void on_owner_disconnected(void *ctx, const char *upstream)
{
	struct owner_event event = { key_leader_owner_disconnected, upstream };
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->key_leaders, tell_key_leader, &event);
}

static void on_owner_reconnecting(void *ctx, const char *upstream)
{
	struct owner_event event = { key_leader_owner_reconnecting, upstream };
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->key_leaders, tell_key_leader, &event);
}

static void on_owner_doubted(void *ctx, const char *upstream)
{
	struct owner_event event = { key_leader_owner_doubted, upstream };
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "warning", "keys",
			"event=answer_in_doubt upstream=%s", upstream);
	g_hash_table_foreach(cluster->key_leaders, tell_key_leader, &event);
}

static const struct orders_ops orders_ops = {
	.may_send_orders = cluster_may_send_orders,
	.disconnected = on_owner_disconnected,
	.reconnecting = on_owner_reconnecting,
	.doubted = on_owner_doubted,
};

/* The lease can't be renewed, and the store may be unreachable for long. While
 * this VM may still give orders, it extends all key grants to the maximum. */
static void on_renewal_failing(void *ctx)
{
	struct cluster *cluster = ctx;

	if (!cluster_may_send_orders(cluster))
		return;
	cluster->hold_s = cluster->options.settings->hold_max_s;
	event_log_write(cluster->options.log, "warning", "lease",
			"event=renewal_failed hold_s=%.1f row=%" PRIu64,
			cluster->hold_s,
			store_version_own(lease_version(cluster->lease)));
	g_hash_table_foreach(cluster->key_leaders, renew_all, cluster);
}

/* Tells all VMs at once that the lease is free. */
static void on_released(void *ctx)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "info", "lease",
			"event=released row=%" PRIu64 " vms=%u",
			store_version_own(lease_version(cluster->lease)),
			live_vms_count(cluster->vms));
	cluster_send_resignation(cluster);
}

/* Returns what other VMs do for this VM's table watches. */
static enum table_watch_peers peers_of(const struct cluster *cluster)
{
	double now = cluster_now(cluster);

	if (cluster->leading)
		return live_vms_count(cluster->vms) > 1
			       ? TABLE_WATCH_PEERS_RELAY
			       : TABLE_WATCH_NO_PEERS;
	if (cluster_hears_leader(cluster) ||
	    now < cluster->last_relay_s + RELAY_LOST_S)
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
	struct row_versions *known = &cluster->row_versions;
	enum table_watch_peers peers = peers_of(cluster);

	cluster_update_row_versions(cluster,
				    table_watch_row_version(operator_rows),
				    table_watch_row_version(upstream_rows));
	table_watch_set_peers(operator_rows, peers, known->operator_rows);
	table_watch_set_peers(upstream_rows, peers, known->upstream_rows);
	known->operator_rows = table_watch_peers_version(operator_rows);
	known->upstream_rows = table_watch_peers_version(upstream_rows);
	cluster_update_status(cluster, peers);
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
	.released = on_released,
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
	if (cluster->maps_changed) {
		cluster->map_number++;
		cluster_note_published(cluster);
	}
	cluster->maps_changed = false;
	if (lease_held(cluster->lease, 0))
		cluster_send_heartbeat(cluster);
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
				&cluster->options.settings->peers,
				cluster->options.settings->zone);
	live_vms_expire(cluster->vms, now, on_vm_timed_out, cluster);
	if (now >= cluster->heartbeat_sent_s + HEARTBEAT_S)
		cluster_send_heartbeat(cluster);
	copy_exchange_send(cluster->copy_exchange, cluster_term(cluster));
	cluster_set_watch_mode(cluster, TABLE_WATCH_LEADER);
	if (!cluster->options.roster_loaded(cluster->options.ctx))
		return;
	if (cluster->maps_superseded)
		cluster_forget_maps(cluster);
	if (!cluster->maps_read) {
		cluster_inherit_maps(cluster);
		return;
	}
	/* The lease is renewed again: end the extension of grants by
	 * on_renewal_failing(). */
	if (lease_held(cluster->lease, LEASE_S * 0.6))
		cluster->hold_s = HOLD_S;
	if (lease_held(cluster->lease, 0))
		crash_exchange_save(cluster->crash_exchange);
	cluster_lead_services(cluster);
	g_hash_table_foreach(cluster->key_leaders, tick_leader, cluster);
}

/* Returns the interval of this VM's reports to the leader. */
static double report_interval_s(const struct cluster *cluster)
{
	unsigned int vms = roster_vm_count(cluster->options.roster);

	if (!cluster_hears_leader(cluster) || cluster->heard_snapshot.missed ||
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

	watch_status_tick(cluster->options.status);
	/* In the first start no VM has the tables before one leads. */
	lease_set_ready(
		cluster->lease,
		cluster->options.settings->copy_wait_s > 0 ||
			cluster->options.roster_loaded(cluster->options.ctx));
	lease_set_knows_fleet(cluster->lease,
			      cluster->options.settings->copy_wait_s > 0 ||
				      cluster->leading ||
				      cluster->heard_snapshot.number > 0);
	lease_tick(cluster->lease);
	if (cluster->leading)
		run_leader(cluster);
	else if (now > cluster->last_heartbeat_s + HEARTBEAT_LOST_S)
		cluster_read_fallback_maps(cluster);
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
		/* A configuration goes before loads. */
		if (cluster->leading &&
		    !bulk_sender_has(cluster->bulk_sender, BULK_CONFIGURATION))
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
		.sender = cluster->bulk_sender,
		.log = cluster->options.log,
		.watches = {
			[COPIED_OPERATOR_ROWS] = cluster->options.operator_rows,
			[COPIED_UPSTREAM_ROWS] = cluster->options.upstream_rows,
		},
	};

	cluster->copy_exchange = copy_exchange_create(&options);
}

static void create_change_push(struct cluster *cluster)
{
	struct change_push_options options = {
		.loop = cluster->options.loop,
		.sender = cluster->bulk_sender,
		.log = cluster->options.log,
		.watches = {
			[COPIED_OPERATOR_ROWS] = cluster->options.operator_rows,
			[COPIED_UPSTREAM_ROWS] = cluster->options.upstream_rows,
		},
	};

	cluster->change_push = change_push_create(&options);
}

struct crash_exchange *cluster_crash_exchange(struct cluster *cluster)
{
	return cluster->crash_exchange;
}

static struct datagrams *open_datagrams(struct cluster *cluster, GError **error)
{
	struct datagrams_options options = {
		.loop = cluster->options.loop,
		.address = &cluster->options.settings->peers,
		.zone = cluster->options.settings->zone,
		.metrics = cluster->options.metrics,
		.ops = cluster_datagram_ops(),
		.ctx = cluster,
	};

	return datagrams_create(&options, error);
}

struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	char address[ADDRESS_TEXT_SIZE];

	cluster->options = *options;
	cluster->datagrams = open_datagrams(cluster, error);
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
	cluster->snapshot_requests =
		g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	cluster->index_requests =
		g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	cluster->limit_exchange =
		limit_exchange_create(options->loop, options->roster);
	cluster->quota_exchange =
		quota_exchange_create(options->loop, options->customers);
	create_crash_exchange(cluster);
	cluster->bulk_sender =
		bulk_sender_create(options->loop, cluster->datagrams,
				   options->settings->link_mbps);
	create_copy_exchange(cluster);
	create_change_push(cluster);
	cluster->hold_s = HOLD_S;
	cluster->leader_zone = "";
	cluster->last_heartbeat_s = cluster_now(cluster) - HEARTBEAT_LOST_S / 2;
	ev_timer_init(&cluster->publish_timer, on_publish_timer,
		      PUBLISH_DELAY_S, 0);
	cluster->publish_timer.data = cluster;
	cluster_create_metrics(cluster);
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
	bulk_sender_destroy(cluster->bulk_sender);
	change_push_destroy(cluster->change_push);
	datagrams_destroy(cluster->datagrams);
	load_exchange_destroy(cluster->load_exchange);
	g_array_free(cluster->index_requests, TRUE);
	g_array_free(cluster->snapshot_requests, TRUE);
	limit_exchange_destroy(cluster->limit_exchange);
	quota_exchange_destroy(cluster->quota_exchange);
	live_vms_destroy(cluster->vms);
	g_hash_table_destroy(cluster->published_maps);
	crash_exchange_destroy(cluster->crash_exchange);
	copy_exchange_destroy(cluster->copy_exchange);
	g_free(cluster);
}
