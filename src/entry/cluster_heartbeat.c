/*
 * Builds and sends the leader's heartbeats, and the relays of its backups.
 */
#include <string.h>

#include "base/address.h"
#include "base/hash.h"
#include "entry/cluster_impl.h"
#include "entry/delta_messages.h"

/* Parts of a heartbeat; the message refers to them until it has been sent. */
struct heartbeat_parts {
	GPtrArray *vms;
	GPtrArray *maps;
	Progress progress;
	char address[ADDRESS_TEXT_SIZE];
};

VmInfo *cluster_vm_info(const char *name, const struct sockaddr_in *address,
			const char *zone)
{
	VmInfo *info = g_new0(VmInfo, 1);

	vm_info__init(info);
	info->name = g_strdup(name);
	info->address = g_malloc(ADDRESS_TEXT_SIZE);
	address_format(address, info->address);
	info->zone = g_strdup(zone);
	return info;
}

void cluster_free_vm_info(VmInfo *info)
{
	g_free(info->name);
	g_free(info->address);
	g_free(info->zone);
	g_free(info);
}

static void free_vm_message(gpointer data)
{
	cluster_free_vm_info(data);
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

/* What a heartbeat holds of VMs and owners. */
enum content {
	/** What changed since the last snapshot. */
	CHANGES,
	/** Everything, for all VMs. */
	SNAPSHOT,
	/** Everything, for VMs that missed the last snapshot. */
	REPEATED_SNAPSHOT,
};

/* Builds the message with a service's owners.
 *
 * @return the message, owned by the caller, or NULL when nothing changed */
static KeyMap *map_message(struct cluster *cluster,
			   const struct key_leader *leader,
			   enum content content)
{
	const char *service = key_leader_service(leader)->name;
	struct published_map *published =
		ensure_published_map(cluster, service);
	struct key_map *map = key_map_create();
	struct key_map *changes = key_map_create();
	KeyMap *message = NULL;

	key_leader_copy_served_map(leader, map);
	map->version = cluster->map_base + cluster->map_number;
	if (content == SNAPSHOT)
		published_map_snapshot(published, map);
	if (content != CHANGES) {
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

/* Whether the next heartbeat must be a full snapshot. */
static bool needs_snapshot(const struct cluster *cluster)
{
	return cluster->vms_changed ||
	       snapshot_due(&cluster->snapshots,
			    roster_vm_count(cluster->options.roster),
			    HEARTBEAT_S, cluster_now(cluster));
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
	g_ptr_array_add(ctx, cluster_vm_info(vm->name, &vm->address, vm->zone));
}

static void append_vms(const struct cluster *cluster, GPtrArray *messages)
{
	live_vms_each(cluster->vms, append_vm, messages);
	g_ptr_array_sort(messages, compare_vms);
}

/* Notes the bytes of owners and VMs in a heartbeat, and names the last
 * snapshot. */
static void note_snapshot(struct cluster *cluster, enum content content,
			  LeaderBeat *beat)
{
	size_t bytes = 0;
	size_t i;

	for (i = 0; i < beat->n_maps; i++)
		bytes += key_map__get_packed_size(beat->maps[i]);
	for (i = 0; i < beat->n_vms; i++)
		bytes += vm_info__get_packed_size(beat->vms[i]);
	if (content == CHANGES)
		snapshot_changes_sent(&cluster->snapshots, bytes);
	else if (content == SNAPSHOT)
		snapshot_sent(&cluster->snapshots, bytes, cluster_now(cluster));
	beat->snapshot = cluster->snapshots.number;
}

static void fill_heartbeat(struct cluster *cluster,
			   struct heartbeat_parts *parts, enum content content,
			   LeaderBeat *beat)
{
	GHashTableIter iter;
	gpointer value;

	progress__init(&parts->progress);
	address_format(&cluster->options.settings->peers, parts->address);
	parts->vms = g_ptr_array_new_with_free_func(free_vm_message);
	parts->maps = g_ptr_array_new_with_free_func(free_map_message);
	g_hash_table_iter_init(&iter, cluster->key_leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		KeyMap *map = map_message(cluster, value, content);

		if (map)
			g_ptr_array_add(parts->maps, map);
	}
	if (content != CHANGES)
		append_vms(cluster, parts->vms);
	if (content == SNAPSHOT)
		cluster->vms_changed = false;
	cluster_fill_progress(cluster, &parts->progress);
	/* Reports name only rows that their senders have; the leader passes on
	 * the newest of them. */
	parts->progress.operator_rows = cluster->row_versions.operator_rows;
	parts->progress.upstream_rows = cluster->row_versions.upstream_rows;
	beat->progress = &parts->progress;
	beat->vm = cluster->options.settings->vm;
	beat->lease = lease_version(cluster->lease);
	beat->vms = (VmInfo **)parts->vms->pdata;
	beat->n_vms = parts->vms->len;
	beat->address = parts->address;
	beat->zone = cluster->options.settings->zone;
	beat->maps = (KeyMap **)parts->maps->pdata;
	beat->n_maps = parts->maps->len;
	note_snapshot(cluster, content, beat);
	crash_exchange_fill_beat(cluster->crash_exchange, beat);
	beat->operator_changes =
		change_push_message(cluster->change_push, COPIED_OPERATOR_ROWS);
	beat->upstream_changes =
		change_push_message(cluster->change_push, COPIED_UPSTREAM_ROWS);
	beat->watchers = BACKUP_WATCHERS;
}

/* Addresses of the VMs that a broadcast goes to. */
struct recipients {
	/** Name of the sender, which gets no copy. */
	const char *sender;
	/** Addresses and zones (struct fanout_target). */
	GArray *targets;
};

static void append_recipient(const struct live_vm *vm, void *ctx)
{
	struct recipients *to = ctx;
	struct fanout_target target = { vm->address, vm->zone };

	if (strcmp(vm->name, to->sender) != 0)
		g_array_append_val(to->targets, target);
}

/* Returns all live VMs but this one (struct fanout_target); the caller frees
 * the array. */
static GArray *all_other_vms(const struct cluster *cluster)
{
	struct recipients to = {
		.sender = cluster->options.settings->vm,
		.targets =
			g_array_new(FALSE, FALSE, sizeof(struct fanout_target)),
	};

	live_vms_each(cluster->vms, append_recipient, &to);
	return to.targets;
}

/* Sends the row changes that are too large for a heartbeat. */
static void push_changes(struct cluster *cluster)
{
	GArray *to = all_other_vms(cluster);

	change_push_send(cluster->change_push, cluster_term(cluster), to);
	g_array_free(to, TRUE);
}

void cluster_broadcast(struct cluster *cluster, enum fanout_way way,
		       PeerMessage *message)
{
	GArray *to = all_other_vms(cluster);

	datagrams_broadcast(cluster->datagrams, to, way, message);
	g_array_free(to, TRUE);
}

/* Whether a heartbeat carries changes of the operators' table, which are rare
 * and have to arrive in time. Each VM gets such a heartbeat by two relays. */
static bool carries_configuration(const LeaderBeat *beat)
{
	return beat->operator_changes && beat->operator_changes->n_rows;
}

/* Sends a heartbeat to all VMs, or a repeated snapshot to those that want it.
 */
static void send_beat(struct cluster *cluster, enum content content)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	struct heartbeat_parts parts;

	fill_heartbeat(cluster, &parts, content, &beat);
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	if (content == REPEATED_SNAPSHOT) {
		datagrams_broadcast(cluster->datagrams,
				    cluster->snapshot_requests, FANOUT_ONCE,
				    &message);
		g_array_set_size(cluster->snapshot_requests, 0);
	} else {
		cluster_broadcast(cluster,
				  carries_configuration(&beat) ? FANOUT_TWICE
							       : FANOUT_ONCE,
				  &message);
		cluster_apply_own_heartbeat(cluster, &beat);
		cluster->heartbeat_sent_s = cluster_now(cluster);
	}
	delta_message_free(beat.operator_changes);
	delta_message_free(beat.upstream_changes);
	g_ptr_array_free(parts.vms, TRUE);
	g_ptr_array_free(parts.maps, TRUE);
	crash_exchange_release_beat(&beat);
}

void cluster_send_heartbeat(struct cluster *cluster)
{
	/* The configuration goes before everything else. */
	push_changes(cluster);
	if (needs_snapshot(cluster)) {
		/* All VMs get it. */
		g_array_set_size(cluster->snapshot_requests, 0);
		send_beat(cluster, SNAPSHOT);
		return;
	}
	if (cluster->snapshot_requests->len)
		send_beat(cluster, REPEATED_SNAPSHOT);
	send_beat(cluster, CHANGES);
}

void cluster_send_resignation(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	char address[ADDRESS_TEXT_SIZE];

	beat.vm = cluster->options.settings->vm;
	beat.lease = lease_version(cluster->lease);
	beat.address =
		address_format(&cluster->options.settings->peers, address);
	beat.zone = cluster->options.settings->zone;
	beat.snapshot = cluster->snapshots.number;
	beat.resigned = true;
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	cluster_broadcast(cluster, FANOUT_TWICE, &message);
}

void cluster_send_row_relay(struct cluster *cluster)
{
	struct table_watch *operator_rows = cluster->options.operator_rows;
	struct table_watch *upstream_rows = cluster->options.upstream_rows;
	PeerMessage message = PEER_MESSAGE__INIT;
	RowRelay relay = ROW_RELAY__INIT;
	Progress progress = PROGRESS__INIT;

	cluster_fill_progress(cluster, &progress);
	relay.progress = &progress;
	relay.store_unreachable = table_watch_unreachable(operator_rows) ||
				  table_watch_unreachable(upstream_rows);
	relay.operator_changes =
		change_push_message(cluster->change_push, COPIED_OPERATOR_ROWS);
	relay.upstream_changes =
		change_push_message(cluster->change_push, COPIED_UPSTREAM_ROWS);
	message.kind_case = PEER_MESSAGE__KIND_ROW_RELAY;
	message.row_relay = &relay;
	cluster_broadcast(cluster, FANOUT_ONCE, &message);
	delta_message_free(relay.operator_changes);
	delta_message_free(relay.upstream_changes);
	push_changes(cluster);
	cluster->relay_sent_s = cluster_now(cluster);
}
