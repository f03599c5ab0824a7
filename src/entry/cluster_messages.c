/*
 * Handles the messages between VMs, and sends reports and loads. Heartbeats are
 * sent by cluster_heartbeat.c.
 */
#include <string.h>

#include "base/address.h"
#include "base/log.h"
#include "entry/cluster_impl.h"

void cluster_update_row_versions(struct cluster *cluster,
				 uint64_t operator_rows, uint64_t upstream_rows)
{
	struct row_versions *known = &cluster->row_versions;

	known->operator_rows = MAX(known->operator_rows, operator_rows);
	known->upstream_rows = MAX(known->upstream_rows, upstream_rows);
}

/* Notes how long ago the store answered another VM; age_ms is as in the
 * message. */
static void apply_age(struct cluster *cluster, enum copied_table table,
		      uint32_t age_ms)
{
	double told_s = cluster_now(cluster) - age_ms / 1000.0;

	if (age_ms)
		cluster->told_s[table] = MAX(cluster->told_s[table], told_s);
}

static void apply_row_versions(struct cluster *cluster,
			       const Progress *progress)
{
	if (!progress)
		return;
	apply_age(cluster, COPIED_OPERATOR_ROWS, progress->operator_age_ms);
	apply_age(cluster, COPIED_UPSTREAM_ROWS, progress->upstream_age_ms);
	cluster_update_row_versions(cluster, progress->operator_rows,
				    progress->upstream_rows);
	cluster->row_versions_heard_s = cluster_now(cluster);
}

/* --- messages that the leader sends or handles --- */

void cluster_record_vm_alive(struct cluster *cluster, const char *name,
			     const struct sockaddr_in *address,
			     const char *zone)
{
	if (!live_vms_record(cluster->vms, name, address, zone,
			     cluster_now(cluster)))
		return;
	log_info("cluster", "VM %s is alive", name);
	quota_exchange_vm_known(cluster->quota_exchange, name);
	cluster->vms_changed = true;
}

/* Counts a VM's requests for keys of a service, if this VM leads the service.
 *
 * @param bytes the requested keys, two little-endian bytes each
 * @param len number of bytes */
static void count_keys(struct cluster *cluster, const char *service,
		       const uint8_t *bytes, size_t len)
{
	struct key_leader *leader =
		g_hash_table_lookup(cluster->key_leaders, service);
	size_t i;

	for (i = 0; leader && i + 1 < len; i += 2) {
		uint16_t key;

		memcpy(&key, bytes + i, sizeof(key));
		key_leader_count_request(leader, GUINT16_FROM_LE(key));
	}
}

/* Notes the upstreams that told another VM that they leave: their keys move. */
static void apply_leaving(struct cluster *cluster, const VmReport *report)
{
	size_t i;

	for (i = 0; i < report->n_leaving; i++) {
		struct upstream *upstream = roster_upstream(
			cluster->options.roster, report->leaving[i]->id);

		if (upstream && upstream->entry.started_ms ==
					report->leaving[i]->started_ms)
			roster_set_leaving(cluster->options.roster, upstream);
	}
}

/* Adds a VM to those (struct fanout_target) that want something. */
static void add_request(GArray *requests, const struct sockaddr_in *address,
			const char *zone)
{
	struct fanout_target target = { *address, g_intern_string(zone) };

	g_array_append_val(requests, target);
}

/* Handles the report of a VM. Unless this VM leads, only crashes in it matter.
 */
static void on_vm_report(void *ctx, const VmReport *report)
{
	struct cluster *cluster = ctx;

	crash_exchange_apply_report(cluster->crash_exchange, report);
	if (!cluster->leading || !report->vm)
		return;
	if (report->stopping) {
		load_exchange_remove_vm(cluster->load_exchange,
					report->vm->name);
		live_vms_remove(cluster->vms, report->vm->name);
		quota_exchange_vm_known(cluster->quota_exchange,
					report->vm->name);
		cluster->vms_changed = true;
	} else {
		struct sockaddr_in address;

		if (address_parse(str_from(report->vm->address), &address)) {
			cluster_record_vm_alive(cluster, report->vm->name,
						&address, report->vm->zone);
			copy_exchange_add_request(cluster->copy_exchange,
						  report, &address);
			if (report->wants_snapshot)
				add_request(cluster->snapshot_requests,
					    &address, report->vm->zone);
		}
	}
	if (strcmp(report->vm->name, cluster->options.settings->vm) != 0)
		apply_row_versions(cluster, report->progress);
	apply_leaving(cluster, report);
}

/* --- messages that every VM sends or handles --- */

/* Applies the owners of one service; returns false if the service is unknown or
 * the message invalid. */
static bool apply_map(struct cluster *cluster, const KeyMap *message)
{
	struct service *service =
		roster_service(cluster->options.roster, message->service);

	if (!service || !key_map_apply_message(service->keys, message))
		return false;
	service->keys_updated_s = cluster_now(cluster);
	return true;
}

/* Applies the owners in a heartbeat, except maps older than the newest applied
 * one. */
static void apply_maps(struct cluster *cluster, const LeaderBeat *beat)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < beat->n_maps; i++) {
		if (beat->maps[i]->version < cluster->newest_map_version)
			continue;
		changed = apply_map(cluster, beat->maps[i]) || changed;
		cluster->newest_map_version = beat->maps[i]->version;
	}
	if (changed)
		cluster->options.routing_changed(cluster->options.ctx);
}

/* Applies a heartbeat's list of live VMs; an empty list changes nothing. */
static void apply_vms(struct cluster *cluster, const LeaderBeat *beat)
{
	const char **names;
	size_t i;

	if (!beat->n_vms)
		return;
	names = g_new0(const char *, beat->n_vms + 1);
	for (i = 0; i < beat->n_vms; i++) {
		struct sockaddr_in address;

		names[i] = beat->vms[i]->name;
		if (cluster->leading ||
		    !address_parse(str_from(beat->vms[i]->address), &address))
			continue;
		/* Keep the addresses: if this VM leads next, it has to reach
		 * all VMs at once. */
		cluster_record_vm_alive(cluster, names[i], &address,
					beat->vms[i]->zone);
	}
	roster_set_vms(cluster->options.roster, (unsigned int)beat->n_vms,
		       names);
	customers_set_vms(cluster->options.customers,
			  (unsigned int)beat->n_vms);
	lease_set_vms(cluster->lease, (unsigned int)beat->n_vms);
	table_watch_set_vms(cluster->options.operator_rows,
			    (unsigned int)beat->n_vms);
	table_watch_set_vms(cluster->options.upstream_rows,
			    (unsigned int)beat->n_vms);
	counter_set(cluster->vms_alive, beat->n_vms);
	g_free(names);
}

/* Applies relayed row changes. The first VMs of the list (as many as
 * beat->watchers) poll the store as backups of the leader. */
static void apply_row_changes(struct cluster *cluster, const LeaderBeat *beat)
{
	const char *vm = cluster->options.settings->vm;
	enum table_watch_mode mode;
	bool watches = false;
	size_t i;

	for (i = 0; i < beat->n_vms && i < beat->watchers; i++)
		watches = watches || !strcmp(beat->vms[i]->name, vm);
	if (beat->n_vms) {
		cluster->is_backup = watches;
		mode = watches ? TABLE_WATCH_BACKUP : TABLE_WATCH_PASSIVE;
		cluster_set_watch_mode(cluster, mode);
	}
	change_push_observe(cluster->change_push, COPIED_OPERATOR_ROWS,
			    beat->operator_changes);
	change_push_observe(cluster->change_push, COPIED_UPSTREAM_ROWS,
			    beat->upstream_changes);
}

void cluster_apply_own_heartbeat(struct cluster *cluster,
				 const LeaderBeat *beat)
{
	cluster->last_heartbeat_s = cluster_now(cluster);
	apply_maps(cluster, beat);
	apply_vms(cluster, beat);
}

/* Handles a heartbeat; one of an earlier leader is ignored. */
static void on_heartbeat(void *ctx, const LeaderBeat *beat)
{
	struct cluster *cluster = ctx;

	if (cluster_is_outdated(cluster, beat->lease, beat->vm))
		return;
	if (beat->resigned) {
		event_log_write(cluster->options.log, "info", "lease",
				"event=resigned leader=%.64s row=%" PRIu64,
				beat->vm, store_version_own(beat->lease));
		lease_observe_release(cluster->lease, beat->lease);
		return;
	}
	cluster_note_heartbeat(cluster, beat);
	if (beat->lease > cluster->heartbeat_lease)
		crash_exchange_resend(cluster->crash_exchange);
	cluster->heartbeat_lease = beat->lease;
	lease_observe_version(cluster->lease, beat->lease);
	cluster->last_heartbeat_s = cluster_now(cluster);
	/* The datagram's source may be a VM that relayed it, so the leader's
	 * address is part of the message. */
	cluster->leader_address_known = address_parse(str_from(beat->address),
						      &cluster->leader_address);
	cluster->leader_zone = g_intern_string(beat->zone);
	apply_row_versions(cluster, beat->progress);
	copy_exchange_observe_heartbeat(cluster->copy_exchange, beat);
	apply_row_changes(cluster, beat);
	apply_maps(cluster, beat);
	apply_vms(cluster, beat);
	if (snapshot_observe(&cluster->heard_snapshot, beat->snapshot,
			     beat->n_vms > 0))
		cluster_report_soon(cluster);
	crash_exchange_apply_beat(cluster->crash_exchange, beat);
}

static void on_row_relay(void *ctx, const RowRelay *relay)
{
	struct cluster *cluster = ctx;

	cluster->last_waiting_relay_s = cluster_now(cluster);
	if (!relay->store_unreachable)
		cluster->last_relay_s = cluster_now(cluster);
	apply_row_versions(cluster, relay->progress);
	change_push_observe(cluster->change_push, COPIED_OPERATOR_ROWS,
			    relay->operator_changes);
	change_push_observe(cluster->change_push, COPIED_UPSTREAM_ROWS,
			    relay->upstream_changes);
}

uint64_t cluster_term(const struct cluster *cluster)
{
	return (cluster->leading ? cluster->map_base
				 : cluster->heard_snapshot.number) /
	       MAPS_PER_LEASE;
}

/* Handles a part of a table's copy; one of an earlier leader is ignored. */
static void on_table_copy(void *ctx, const TableCopyPart *part)
{
	struct cluster *cluster = ctx;

	/* Changes are right whoever sends them. */
	if (part->is_changes)
		change_push_apply(cluster->change_push, part);
	else if (!cluster->leading && part->term >= cluster_term(cluster))
		copy_exchange_apply(cluster->copy_exchange, part);
}

/* Sends the numbers of upstreams to the VMs that want them. */
static void send_load_index(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LoadIndex index = LOAD_INDEX__INIT;

	if (!cluster->index_requests->len)
		return;
	index.lease = lease_version(cluster->lease);
	load_exchange_fill_index(cluster->load_exchange, &index);
	message.kind_case = PEER_MESSAGE__KIND_LOAD_INDEX;
	message.load_index = &index;
	datagrams_broadcast(cluster->datagrams, cluster->index_requests,
			    FANOUT_ONCE, &message);
	g_array_set_size(cluster->index_requests, 0);
}

static void on_load_index(void *ctx, const LoadIndex *index)
{
	struct cluster *cluster = ctx;

	if (!cluster->leading &&
	    !cluster_is_outdated(cluster, index->lease, NULL))
		load_exchange_apply_index(cluster->load_exchange, index);
}

static void on_vm_loads(void *ctx, const VmLoads *loads)
{
	struct cluster *cluster = ctx;
	size_t i;
	const struct live_vm *vm;

	if (!cluster->leading)
		return;
	for (i = 0; i < loads->n_keys; i++)
		count_keys(cluster, loads->keys[i]->service,
			   loads->keys[i]->keys.data, loads->keys[i]->keys.len);
	live_vms_touch(cluster->vms, loads->vm, cluster_now(cluster));
	load_exchange_apply_vm_report(cluster->load_exchange, loads);
	vm = live_vms_find(cluster->vms, loads->vm);
	if (loads->wants_index && vm)
		add_request(cluster->index_requests, &vm->address, vm->zone);
	limit_exchange_apply_report(cluster->limit_exchange, loads);
	quota_exchange_apply_report(cluster->quota_exchange, loads);
}

static void on_leader_loads(void *ctx, const LeaderLoads *loads)
{
	struct cluster *cluster = ctx;

	if (cluster_is_outdated(cluster, loads->lease, NULL))
		return;
	load_exchange_apply_totals(cluster->load_exchange, loads);
	limit_exchange_apply_totals(cluster->limit_exchange, loads);
	quota_exchange_apply_totals(
		cluster->quota_exchange, loads,
		roster_load_interval_s(cluster->options.roster));
	cluster->options.routing_changed(cluster->options.ctx);
}

/* Appends a message with the keys of a service that were requested here. */
static void add_key_load(struct service *service, void *ctx)
{
	GPtrArray *loads = ctx;
	KeyLoad *load;

	if (!service->requested_keys->len)
		return;
	load = g_new0(KeyLoad, 1);
	key_load__init(load);
	load->service = service->name;
	load->keys.len = service->requested_keys->len * sizeof(uint16_t);
	/* The message holds little-endian numbers, and so do all supported
	 * platforms. */
	load->keys.data = (uint8_t *)service->requested_keys->data;
	g_ptr_array_add(loads, load);
}

static void clear_key_load(struct service *service, void *ctx)
{
	(void)ctx;
	g_array_set_size(service->requested_keys, 0);
}

void cluster_send_load_report(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmLoads out = VM_LOADS__INIT;
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);

	roster_each_service(cluster->options.roster, add_key_load, keys);
	out.keys = (KeyLoad **)keys->pdata;
	out.n_keys = keys->len;
	out.vm = cluster->options.settings->vm;
	load_exchange_fill_report(cluster->load_exchange, &out);
	limit_exchange_fill_report(cluster->limit_exchange, &out);
	quota_exchange_fill_report(cluster->quota_exchange, &out);
	message.kind_case = PEER_MESSAGE__KIND_VM_LOADS;
	message.vm_loads = &out;
	if (cluster->leading)
		on_vm_loads(cluster, &out);
	else if (cluster->leader_address_known)
		datagrams_send(cluster->datagrams, &cluster->leader_address,
			       cluster->leader_zone, &message);
	roster_each_service(cluster->options.roster, clear_key_load, NULL);
	g_ptr_array_free(keys, TRUE);
	load_exchange_release_report(&out);
	limit_exchange_release_report(&out);
	quota_exchange_release_report(&out);
}

void cluster_send_load_totals(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	double now = cluster_now(cluster);
	double interval_s =
		roster_vm_count(cluster->options.roster) * OUTCOMES_VM_S;
	bool outcomes = now >= cluster->outcomes_sent_s + interval_s;
	LeaderLoads *out =
		load_exchange_totals(cluster->load_exchange, outcomes);

	if (outcomes)
		cluster->outcomes_sent_s = now;
	out->lease = lease_version(cluster->lease);
	out->term = cluster_term(cluster);
	limit_exchange_fill_totals(cluster->limit_exchange, out);
	quota_exchange_fill_totals(cluster->quota_exchange,
				   live_vms_count(cluster->vms), out);
	message.kind_case = PEER_MESSAGE__KIND_LEADER_LOADS;
	message.leader_loads = out;
	cluster_broadcast(cluster, FANOUT_ONCE, &message);
	on_leader_loads(cluster, out);
	send_load_index(cluster);
	limit_exchange_release_totals(out);
	quota_exchange_release_totals(out);
	leader_loads_free(out);
}

const struct datagram_ops *cluster_datagram_ops(void)
{
	static const struct datagram_ops ops = {
		.vm_loads = on_vm_loads,
		.leader_loads = on_leader_loads,
		.heartbeat = on_heartbeat,
		.vm_report = on_vm_report,
		.row_relay = on_row_relay,
		.table_copy = on_table_copy,
		.load_index = on_load_index,
	};

	return &ops;
}

/* Appends a message if an upstream said that it leaves, and its entry doesn't
 * say so. */
static void add_leaving(struct upstream *upstream, void *ctx)
{
	GPtrArray *list = ctx;
	KeyOwner *owner;

	if (!upstream->said_leaving || upstream->entry.leaving)
		return;
	owner = g_new0(KeyOwner, 1);
	key_owner__init(owner);
	owner->id = upstream->entry.id;
	owner->started_ms = upstream->entry.started_ms;
	g_ptr_array_add(list, owner);
}

/* Whether this VM's report goes to all VMs, because no leader that it reaches
 * would tell them of a request that crashes upstreams. */
static bool tells_all_vms(const struct cluster *cluster)
{
	return cluster_now(cluster) >
		       cluster->last_heartbeat_s + RELAY_LOST_S &&
	       crash_exchange_has_reports(cluster->crash_exchange);
}

void cluster_send_vm_report(struct cluster *cluster, bool stopping)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmReport out = VM_REPORT__INIT;
	Progress progress = PROGRESS__INIT;
	GPtrArray *leaving = g_ptr_array_new_with_free_func(g_free);

	roster_each_upstream(cluster->options.roster, add_leaving, leaving);
	out.leaving = (KeyOwner **)leaving->pdata;
	out.n_leaving = leaving->len;
	out.vm = cluster_vm_info(cluster->options.settings->vm,
				 &cluster->options.settings->peers,
				 cluster->options.settings->zone);
	crash_exchange_fill_report(cluster->crash_exchange, &out);
	copy_exchange_fill_report(cluster->copy_exchange, &out);
	out.stopping = stopping;
	out.wants_snapshot = cluster->heard_snapshot.missed;
	cluster_fill_progress(cluster, &progress);
	out.progress = &progress;
	message.kind_case = PEER_MESSAGE__KIND_REPORT;
	message.report = &out;
	if (cluster->leading)
		on_vm_report(cluster, &out);
	else if (tells_all_vms(cluster))
		cluster_broadcast(cluster, FANOUT_ONCE, &message);
	else if (cluster->leader_address_known)
		datagrams_send(cluster->datagrams, &cluster->leader_address,
			       cluster->leader_zone, &message);
	cluster_free_vm_info(out.vm);
	g_ptr_array_free(leaving, TRUE);
	crash_exchange_release_report(&out);
	cluster->report_sent_s = cluster_now(cluster);
}
