/*
 * Encodes, sends and handles the messages between VMs.
 */
#include <string.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/cluster_impl.h"
#include "entry/delta_messages.h"

void cluster_update_row_versions(struct cluster *cluster,
				 uint64_t operator_rows, uint64_t upstream_rows)
{
	struct row_versions *known = &cluster->row_versions;

	known->operator_rows = MAX(known->operator_rows, operator_rows);
	known->upstream_rows = MAX(known->upstream_rows, upstream_rows);
}

static void apply_row_versions(struct cluster *cluster,
			       const Progress *progress)
{
	if (!progress)
		return;
	cluster_update_row_versions(cluster, progress->operator_rows,
				    progress->upstream_rows);
	cluster->row_versions_heard_s = cluster_now(cluster);
}

/* --- messages that the leader sends or handles --- */

void cluster_record_vm_alive(struct cluster *cluster, const char *name,
			     const struct sockaddr_in *address)
{
	if (!live_vms_record(cluster->vms, name, address, cluster_now(cluster)))
		return;
	log_info("cluster", "VM %s is alive", name);
	quota_exchange_vm_known(cluster->quota_exchange, name);
	cluster->vms_changed = true;
}

/* Parts of a heartbeat; the message refers to them until it has been sent. */
struct heartbeat_parts {
	GPtrArray *vms;
	GPtrArray *maps;
	Progress progress;
	char address[ADDRESS_TEXT_SIZE];
};

static VmInfo *vm_info(const char *name, const struct sockaddr_in *address)
{
	VmInfo *info = g_new0(VmInfo, 1);

	vm_info__init(info);
	info->name = g_strdup(name);
	info->address = g_malloc(ADDRESS_TEXT_SIZE);
	address_format(address, info->address);
	return info;
}

static void free_vm_info(gpointer data)
{
	VmInfo *info = data;

	g_free(info->name);
	g_free(info->address);
	g_free(info);
}

static void free_map_message(gpointer data)
{
	key_map__free_unpacked(data, NULL);
}

static struct published_map *ensure_published_map(struct cluster *cluster,
						  const char *service)
{
	struct published_map *published =
		g_hash_table_lookup(cluster->published_maps, service);

	if (published)
		return published;
	published = published_map_create();
	g_hash_table_insert(cluster->published_maps, g_strdup(service),
			    published);
	return published;
}

/* Builds the message with a service's owners.
 *
 * @param snapshot whether to include all owners, or only changed ones
 * @return the message, owned by the caller, or NULL when nothing changed */
static KeyMap *map_message(struct cluster *cluster,
			   const struct key_leader *leader, bool snapshot)
{
	const char *service = key_leader_service(leader)->name;
	struct published_map *published =
		ensure_published_map(cluster, service);
	struct key_map *map = key_map_create();
	struct key_map *changes = key_map_create();
	KeyMap *message = NULL;

	key_leader_copy_served_map(leader, map);
	map->version = cluster->map_base + cluster->map_number;
	if (snapshot) {
		published_map_snapshot(published, map);
		message = key_map_to_message(map, service, "");
	} else {
		published_map_delta(published, map, changes);
		if (changes->spans->len) {
			message = key_map_to_message(changes, service, "");
			message->partial = true;
		}
	}
	key_map_destroy(map);
	key_map_destroy(changes);
	return message;
}

static void apply_own_heartbeat(struct cluster *cluster,
				const LeaderBeat *beat);

/* Whether the next heartbeat must be a full snapshot. Changes are sent when
 * they occur; periodic snapshots make up for lost datagrams. A snapshot may be
 * a quarter of a heartbeat interval early. */
static bool snapshot_due(const struct cluster *cluster)
{
	double interval_s =
		MAX(HEARTBEAT_S,
		    roster_vm_count(cluster->options.roster) * SNAPSHOT_VM_S);

	return cluster->vms_changed ||
	       cluster_now(cluster) >=
		       cluster->snapshot_sent_s + interval_s - HEARTBEAT_S / 4;
}

/* Orders VMs by a hash of their names: every leader gets the same order, and it
 * mixes the zones. */
static gint compare_vms(gconstpointer a, gconstpointer b)
{
	const VmInfo *x = *(VmInfo *const *)a, *y = *(VmInfo *const *)b;
	uint64_t hash_x = hash_key(str_from(x->name));
	uint64_t hash_y = hash_key(str_from(y->name));

	return hash_x < hash_y ? -1 : hash_x > hash_y;
}

static void append_vm(const struct live_vm *vm, void *ctx)
{
	g_ptr_array_add(ctx, vm_info(vm->name, &vm->address));
}

static void append_vms(const struct cluster *cluster, GPtrArray *messages)
{
	live_vms_each(cluster->vms, append_vm, messages);
	g_ptr_array_sort(messages, compare_vms);
}

static void fill_heartbeat(struct cluster *cluster,
			   struct heartbeat_parts *parts, LeaderBeat *beat)
{
	bool snapshot = snapshot_due(cluster);
	GHashTableIter iter;
	gpointer value;

	progress__init(&parts->progress);
	address_format(&cluster->options.settings->peers, parts->address);
	parts->vms = g_ptr_array_new_with_free_func(free_vm_info);
	parts->maps = g_ptr_array_new_with_free_func(free_map_message);
	g_hash_table_iter_init(&iter, cluster->key_leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		KeyMap *map = map_message(cluster, value, snapshot);

		if (map)
			g_ptr_array_add(parts->maps, map);
	}
	if (snapshot) {
		append_vms(cluster, parts->vms);
		cluster->snapshot_sent_s = cluster_now(cluster);
		cluster->vms_changed = false;
	}
	parts->progress.operator_rows = cluster->row_versions.operator_rows;
	parts->progress.upstream_rows = cluster->row_versions.upstream_rows;
	beat->progress = &parts->progress;
	beat->vm = cluster->options.settings->vm;
	beat->lease = lease_version(cluster->lease);
	beat->vms = (VmInfo **)parts->vms->pdata;
	beat->n_vms = parts->vms->len;
	beat->address = parts->address;
	beat->maps = (KeyMap **)parts->maps->pdata;
	beat->n_maps = parts->maps->len;
	crash_exchange_fill_beat(cluster->crash_exchange, beat);
	beat->operator_changes =
		delta_message_create(cluster->options.operator_rows);
	beat->upstream_changes =
		delta_message_create(cluster->options.upstream_rows);
	beat->watchers = BACKUP_WATCHERS;
}

/* Addresses of the VMs that a broadcast goes to. */
struct recipients {
	/** Name of the sender, which gets no copy. */
	const char *sender;
	/** Addresses (struct sockaddr_in). */
	GArray *addresses;
};

static void append_recipient(const struct live_vm *vm, void *ctx)
{
	struct recipients *to = ctx;

	if (strcmp(vm->name, to->sender) != 0)
		g_array_append_val(to->addresses, vm->address);
}

/* Sends a message to all live VMs but this one. */
static void broadcast(struct cluster *cluster, PeerMessage *message)
{
	struct recipients to = {
		.sender = cluster->options.settings->vm,
		.addresses =
			g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in)),
	};

	live_vms_each(cluster->vms, append_recipient, &to);
	datagrams_broadcast(cluster->datagrams, to.addresses, message);
	g_array_free(to.addresses, TRUE);
}

/* Removes the row changes from a heartbeat that would be too large for a
 * datagram. The VMs see from the row versions that they missed changes, and
 * read them from the store. */
static void omit_large_changes(LeaderBeat *beat)
{
	if (leader_beat__get_packed_size(beat) <= HEARTBEAT_BYTES_MAX)
		return;
	beat->operator_changes = NULL;
	beat->upstream_changes = NULL;
}

/* Does the same to a relay. */
static void omit_large_relay(RowRelay *relay)
{
	if (row_relay__get_packed_size(relay) <= HEARTBEAT_BYTES_MAX)
		return;
	relay->operator_changes = NULL;
	relay->upstream_changes = NULL;
}

void cluster_send_heartbeat(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	TableChanges *operator_changes, *upstream_changes;
	struct heartbeat_parts parts;

	fill_heartbeat(cluster, &parts, &beat);
	operator_changes = beat.operator_changes;
	upstream_changes = beat.upstream_changes;
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	omit_large_changes(&beat);
	broadcast(cluster, &message);
	apply_own_heartbeat(cluster, &beat);
	cluster->heartbeat_sent_s = cluster_now(cluster);
	delta_message_free(operator_changes);
	delta_message_free(upstream_changes);
	g_ptr_array_free(parts.vms, TRUE);
	g_ptr_array_free(parts.maps, TRUE);
	crash_exchange_release_beat(&beat);
}

void cluster_send_row_relay(struct cluster *cluster)
{
	struct table_watch *operator_rows = cluster->options.operator_rows;
	struct table_watch *upstream_rows = cluster->options.upstream_rows;
	PeerMessage message = PEER_MESSAGE__INIT;
	RowRelay relay = ROW_RELAY__INIT;
	TableChanges *operator_changes, *upstream_changes;
	Progress progress = PROGRESS__INIT;

	progress.operator_rows = cluster->row_versions.operator_rows;
	progress.upstream_rows = cluster->row_versions.upstream_rows;
	relay.progress = &progress;
	relay.store_unreachable = table_watch_unreachable(operator_rows) ||
				  table_watch_unreachable(upstream_rows);
	operator_changes = delta_message_create(operator_rows);
	upstream_changes = delta_message_create(upstream_rows);
	relay.operator_changes = operator_changes;
	relay.upstream_changes = upstream_changes;
	omit_large_relay(&relay);
	message.kind_case = PEER_MESSAGE__KIND_ROW_RELAY;
	message.row_relay = &relay;
	broadcast(cluster, &message);
	delta_message_free(operator_changes);
	delta_message_free(upstream_changes);
	cluster->relay_sent_s = cluster_now(cluster);
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

/* Handles the report of a VM. Unless this VM leads, only crashes in it matter.
 */
static void on_vm_report(void *ctx, const VmReport *report)
{
	struct cluster *cluster = ctx;
	size_t i;

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
						&address);
			copy_exchange_add_request(cluster->copy_exchange,
						  report, &address);
		}
	}
	if (strcmp(report->vm->name, cluster->options.settings->vm) != 0)
		apply_row_versions(cluster, report->progress);
	apply_leaving(cluster, report);
	for (i = 0; i < report->n_loads; i++)
		count_keys(cluster, report->loads[i]->service,
			   report->loads[i]->keys.data,
			   report->loads[i]->keys.len);
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
		cluster_record_vm_alive(cluster, names[i], &address);
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
	delta_message_apply(cluster->options.operator_rows,
			    beat->operator_changes);
	delta_message_apply(cluster->options.upstream_rows,
			    beat->upstream_changes);
}

/* Applies owners and VMs of a heartbeat on the leader itself, which knows the
 * other parts already. */
static void apply_own_heartbeat(struct cluster *cluster, const LeaderBeat *beat)
{
	cluster->last_heartbeat_s = cluster_now(cluster);
	apply_maps(cluster, beat);
	apply_vms(cluster, beat);
}

/* Handles a heartbeat; one of an earlier leader is ignored. */
static void on_heartbeat(void *ctx, const LeaderBeat *beat)
{
	struct cluster *cluster = ctx;

	if (beat->lease < lease_version(cluster->lease))
		return;
	if (beat->lease > cluster->heartbeat_lease)
		crash_exchange_resend(cluster->crash_exchange);
	cluster->heartbeat_lease = beat->lease;
	lease_observe_version(cluster->lease, beat->lease);
	cluster->last_heartbeat_s = cluster_now(cluster);
	/* The datagram's source may be a VM that relayed it, so the leader's
	 * address is part of the message. */
	cluster->leader_address_known = address_parse(str_from(beat->address),
						      &cluster->leader_address);
	apply_row_versions(cluster, beat->progress);
	copy_exchange_observe_heartbeat(cluster->copy_exchange, beat);
	apply_row_changes(cluster, beat);
	apply_maps(cluster, beat);
	apply_vms(cluster, beat);
	crash_exchange_apply_beat(cluster->crash_exchange, beat);
}

static void on_row_relay(void *ctx, const RowRelay *relay)
{
	struct cluster *cluster = ctx;

	cluster->last_waiting_relay_s = cluster_now(cluster);
	if (!relay->store_unreachable)
		cluster->last_relay_s = cluster_now(cluster);
	apply_row_versions(cluster, relay->progress);
	delta_message_apply(cluster->options.operator_rows,
			    relay->operator_changes);
	delta_message_apply(cluster->options.upstream_rows,
			    relay->upstream_changes);
}

/* Handles a part of a table's copy; one of an earlier leader is ignored. */
static void on_table_copy(void *ctx, const TableCopyPart *part)
{
	struct cluster *cluster = ctx;

	if (!cluster->leading && part->lease >= lease_version(cluster->lease))
		copy_exchange_apply(cluster->copy_exchange, part);
}

static void on_vm_loads(void *ctx, const VmLoads *loads)
{
	struct cluster *cluster = ctx;

	if (!cluster->leading)
		return;
	live_vms_touch(cluster->vms, loads->vm, cluster_now(cluster));
	load_exchange_apply_vm_report(cluster->load_exchange, loads->vm,
				      loads->upstreams, loads->n_upstreams);
	limit_exchange_apply_report(cluster->limit_exchange, loads);
	quota_exchange_apply_report(cluster->quota_exchange, loads);
}

static void on_leader_loads(void *ctx, const LeaderLoads *loads)
{
	struct cluster *cluster = ctx;

	if (loads->lease < lease_version(cluster->lease))
		return;
	load_exchange_apply_totals(cluster->load_exchange, loads);
	limit_exchange_apply_totals(cluster->limit_exchange, loads);
	quota_exchange_apply_totals(
		cluster->quota_exchange, loads,
		roster_load_interval_s(cluster->options.roster));
	cluster->options.routing_changed(cluster->options.ctx);
}

void cluster_send_load_report(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmLoads out = VM_LOADS__INIT;
	GPtrArray *own = load_exchange_local_report(cluster->load_exchange);

	out.vm = cluster->options.settings->vm;
	out.upstreams = (UpstreamLoad **)own->pdata;
	out.n_upstreams = own->len;
	limit_exchange_fill_report(cluster->limit_exchange, &out);
	quota_exchange_fill_report(cluster->quota_exchange, &out);
	message.kind_case = PEER_MESSAGE__KIND_VM_LOADS;
	message.vm_loads = &out;
	if (cluster->leading)
		on_vm_loads(cluster, &out);
	else if (cluster->leader_address_known)
		datagrams_send(cluster->datagrams, &cluster->leader_address,
			       &message);
	g_ptr_array_free(own, TRUE);
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
	limit_exchange_fill_totals(cluster->limit_exchange, out);
	quota_exchange_fill_totals(cluster->quota_exchange,
				   live_vms_count(cluster->vms), out);
	message.kind_case = PEER_MESSAGE__KIND_LEADER_LOADS;
	message.leader_loads = out;
	broadcast(cluster, &message);
	on_leader_loads(cluster, out);
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
	};

	return &ops;
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
	GPtrArray *loads = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *leaving = g_ptr_array_new_with_free_func(g_free);

	roster_each_service(cluster->options.roster, add_key_load, loads);
	roster_each_upstream(cluster->options.roster, add_leaving, leaving);
	out.leaving = (KeyOwner **)leaving->pdata;
	out.n_leaving = leaving->len;
	out.vm = vm_info(cluster->options.settings->vm,
			 &cluster->options.settings->peers);
	out.loads = (KeyLoad **)loads->pdata;
	out.n_loads = loads->len;
	crash_exchange_fill_report(cluster->crash_exchange, &out);
	copy_exchange_fill_report(cluster->copy_exchange, &out);
	out.stopping = stopping;
	progress.operator_rows = cluster->row_versions.operator_rows;
	progress.upstream_rows = cluster->row_versions.upstream_rows;
	out.progress = &progress;
	message.kind_case = PEER_MESSAGE__KIND_REPORT;
	message.report = &out;
	if (cluster->leading)
		on_vm_report(cluster, &out);
	else if (tells_all_vms(cluster))
		broadcast(cluster, &message);
	else if (cluster->leader_address_known)
		datagrams_send(cluster->datagrams, &cluster->leader_address,
			       &message);
	roster_each_service(cluster->options.roster, clear_key_load, NULL);
	free_vm_info(out.vm);
	g_ptr_array_free(loads, TRUE);
	g_ptr_array_free(leaving, TRUE);
	crash_exchange_release_report(&out);
	cluster->report_sent_s = cluster_now(cluster);
}
