/*
 * Messages between VMs: what is put into them, and what is taken from them.
 */
#include <string.h>

#include "base/address.h"
#include "base/hash.h"
#include "base/log.h"
#include "entry/cluster_impl.h"
#include "entry/row_messages.h"

void cluster_note_progress(struct cluster *cluster, uint64_t operator_rows,
			   uint64_t upstream_rows)
{
	struct progress *known = &cluster->progress;

	known->operator_rows = MAX(known->operator_rows, operator_rows);
	known->upstream_rows = MAX(known->upstream_rows, upstream_rows);
}

static void take_progress(struct cluster *cluster, const Progress *progress)
{
	if (progress)
		cluster_note_progress(cluster, progress->operator_rows,
				      progress->upstream_rows);
}

/* --- what the leader does --- */

void cluster_hear_vm(struct cluster *cluster, const char *name,
		     const struct sockaddr_in *address)
{
	struct vm *vm = g_hash_table_lookup(cluster->vms, name);

	if (!vm) {
		vm = g_new0(struct vm, 1);
		vm->name = g_strdup(name);
		g_hash_table_insert(cluster->vms, vm->name, vm);
		log_info("cluster", "VM %s is heard", name);
		cluster->vms_changed = true;
	}
	vm->address = *address;
	vm->heard_s = cluster_now(cluster);
}

struct beat_parts {
	GPtrArray *vms;
	GPtrArray *maps;
	GPtrArray *crashes;
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

static void free_crash(gpointer data)
{
	g_free(data);
}

static struct told_map *ensure_told(struct cluster *cluster,
				    const char *service)
{
	struct told_map *told =
		g_hash_table_lookup(cluster->told_maps, service);

	if (told)
		return told;
	told = told_map_create();
	g_hash_table_insert(cluster->told_maps, g_strdup(service), told);
	return told;
}

/* @return all owners of a service or those that changed; NULL: none did */
static KeyMap *map_message(struct cluster *cluster,
			   const struct key_leader *leader, bool whole)
{
	const char *service = key_leader_service(leader)->name;
	struct told_map *told = ensure_told(cluster, service);
	struct key_map *map = key_map_create();
	struct key_map *changes = key_map_create();
	KeyMap *message = NULL;

	key_leader_copy_served_map(leader, map);
	map->version = cluster->map_base + cluster->map_number;
	if (whole) {
		told_map_whole(told, map);
		message = key_map_message(map, service, "");
	} else {
		told_map_changes(told, map, changes);
		if (changes->spans->len) {
			message = key_map_message(changes, service, "");
			message->partial = true;
		}
	}
	key_map_destroy(map);
	key_map_destroy(changes);
	return message;
}

static GPtrArray *crash_messages(struct cluster *cluster)
{
	GPtrArray *messages = g_ptr_array_new_with_free_func(free_crash);
	guint i;

	for (i = 0; i < cluster->crashes->len; i++) {
		struct crash *crash =
			&g_array_index(cluster->crashes, struct crash, i);
		Crash *message;

		if (cluster_now(cluster) > crash->at_s + CRASH_TOLD_S)
			continue;
		message = g_new0(Crash, 1);
		crash__init(message);
		message->request = crash->request;
		message->upstream = (char *)crash->upstream;
		g_ptr_array_add(messages, message);
	}
	return messages;
}

static void take_own_maps(struct cluster *cluster, const LeaderBeat *beat);

/* Changes are told as they come, and all at times, in case that was lost. */
static bool whole_due(const struct cluster *cluster)
{
	double again =
		MAX(BEAT_S, roster_vms(cluster->options.roster) * WHOLE_VM_S);

	return cluster->vms_changed ||
	       cluster_now(cluster) >=
		       cluster->whole_sent_s + again - BEAT_S / 4;
}

/* In an order that every leader would choose, and that mixes the zones. */
static gint compare_vms(gconstpointer a, gconstpointer b)
{
	const VmInfo *x = *(VmInfo *const *)a, *y = *(VmInfo *const *)b;
	uint64_t hash_x = hash_key(str_from(x->name));
	uint64_t hash_y = hash_key(str_from(y->name));

	return hash_x < hash_y ? -1 : hash_x > hash_y;
}

static void list_vms(const struct cluster *cluster, GPtrArray *messages)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm *vm = value;

		g_ptr_array_add(messages, vm_info(vm->name, &vm->address));
	}
	g_ptr_array_sort(messages, compare_vms);
}

static void fill_beat(struct cluster *cluster, struct beat_parts *parts,
		      LeaderBeat *beat)
{
	bool whole = whole_due(cluster);
	GHashTableIter iter;
	gpointer value;

	progress__init(&parts->progress);
	address_format(&cluster->options.settings->peers, parts->address);
	parts->vms = g_ptr_array_new_with_free_func(free_vm_info);
	parts->maps = g_ptr_array_new_with_free_func(free_map_message);
	parts->crashes = crash_messages(cluster);
	g_hash_table_iter_init(&iter, cluster->leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		KeyMap *map = map_message(cluster, value, whole);

		if (map)
			g_ptr_array_add(parts->maps, map);
	}
	if (whole) {
		list_vms(cluster, parts->vms);
		cluster->whole_sent_s = cluster_now(cluster);
		cluster->vms_changed = false;
	}
	parts->progress.operator_rows = cluster->progress.operator_rows;
	parts->progress.upstream_rows = cluster->progress.upstream_rows;
	beat->progress = &parts->progress;
	beat->vm = cluster->options.settings->vm;
	beat->lease = lease_version(cluster->lease);
	beat->vms = (VmInfo **)parts->vms->pdata;
	beat->n_vms = parts->vms->len;
	beat->address = parts->address;
	beat->maps = (KeyMap **)parts->maps->pdata;
	beat->n_maps = parts->maps->len;
	beat->crashes = (Crash **)parts->crashes->pdata;
	beat->n_crashes = parts->crashes->len;
	beat->operator_changes =
		row_message_create(cluster->options.operator_rows);
	beat->upstream_changes =
		row_message_create(cluster->options.upstream_rows);
	beat->watchers = WATCHERS;
}

static void send_to_vms(struct cluster *cluster, PeerMessage *message)
{
	GArray *to = g_array_new(FALSE, FALSE, sizeof(struct sockaddr_in));
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm *vm = value;

		if (strcmp(vm->name, cluster->options.settings->vm) != 0)
			g_array_append_val(to, vm->address);
	}
	datagrams_spread(cluster->datagrams, to, message);
	g_array_free(to, TRUE);
}

void cluster_send_beat(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	struct beat_parts parts;

	fill_beat(cluster, &parts, &beat);
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	send_to_vms(cluster, &message);
	take_own_maps(cluster, &beat);
	cluster->beat_sent_s = cluster_now(cluster);
	row_message_free(beat.operator_changes);
	row_message_free(beat.upstream_changes);
	g_ptr_array_free(parts.vms, TRUE);
	g_ptr_array_free(parts.maps, TRUE);
	g_ptr_array_free(parts.crashes, TRUE);
}

static void count_keys(struct cluster *cluster, const char *service,
		       const uint8_t *bytes, size_t len)
{
	struct key_leader *leader =
		g_hash_table_lookup(cluster->leaders, service);
	size_t i;

	for (i = 0; leader && i + 1 < len; i += 2) {
		uint16_t key;

		memcpy(&key, bytes + i, sizeof(key));
		key_leader_count_request(leader, GUINT16_FROM_LE(key));
	}
}

void cluster_tell_crash(struct cluster *cluster, uint64_t request,
			const char *upstream)
{
	struct crash crash = {
		.request = request,
		.upstream = g_intern_string(upstream),
		.at_s = cluster_now(cluster),
	};
	guint i;

	for (i = 0; i < cluster->crashes->len; i++) {
		struct crash *known =
			&g_array_index(cluster->crashes, struct crash, i);

		if (known->request == request &&
		    known->upstream == crash.upstream)
			return;
	}
	if (cluster->crashes->len >= CRASHES_MAX)
		g_array_remove_index(cluster->crashes, 0);
	g_array_append_val(cluster->crashes, crash);
}

static void on_report(void *ctx, const VmReport *report)
{
	struct cluster *cluster = ctx;
	size_t i;

	if (!cluster->leading || !report->vm)
		return;
	if (report->stopping) {
		load_share_forget(cluster->loads, report->vm->name);
		g_hash_table_remove(cluster->vms, report->vm->name);
		cluster->vms_changed = true;
	} else {
		struct sockaddr_in address;

		if (address_parse(str_from(report->vm->address), &address))
			cluster_hear_vm(cluster, report->vm->name, &address);
	}
	take_progress(cluster, report->progress);
	for (i = 0; i < report->n_loads; i++)
		count_keys(cluster, report->loads[i]->service,
			   report->loads[i]->keys.data,
			   report->loads[i]->keys.len);
	for (i = 0; i < report->n_crashes; i++) {
		cluster_tell_crash(cluster, report->crashes[i]->request,
				   report->crashes[i]->upstream);
		cluster->options.crashed(cluster->options.ctx,
					 report->crashes[i]->request,
					 report->crashes[i]->upstream);
	}
}

/* --- what every VM does --- */

static bool take_map(struct cluster *cluster, const KeyMap *message)
{
	struct service *service =
		roster_service(cluster->options.roster, message->service);

	if (!service || !key_map_take(service->keys, message))
		return false;
	service->keys_told_s = cluster_now(cluster);
	return true;
}

static void take_maps(struct cluster *cluster, const LeaderBeat *beat)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < beat->n_maps; i++) {
		if (beat->maps[i]->version < cluster->told)
			continue;
		changed = take_map(cluster, beat->maps[i]) || changed;
		cluster->told = beat->maps[i]->version;
	}
	if (changed)
		cluster->options.keys_changed(cluster->options.ctx);
}

static void take_vms(struct cluster *cluster, const LeaderBeat *beat)
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
		/* Whoever leads next has to reach them at once. */
		cluster_hear_vm(cluster, names[i], &address);
	}
	roster_set_vms(cluster->options.roster, (unsigned int)beat->n_vms,
		       names);
	counter_set(cluster->vms_alive, beat->n_vms);
	g_free(names);
}

static void take_rows(struct cluster *cluster, const LeaderBeat *beat)
{
	const char *vm = cluster->options.settings->vm;
	enum follower_duty duty;
	bool watches = false;
	size_t i;

	for (i = 0; i < beat->n_vms && i < beat->watchers; i++)
		watches = watches || !strcmp(beat->vms[i]->name, vm);
	if (beat->n_vms) {
		duty = watches ? FOLLOWER_WATCHES : FOLLOWER_LISTENS;
		follower_set_duty(cluster->options.operator_rows, duty);
		follower_set_duty(cluster->options.upstream_rows, duty);
	}
	row_message_take(cluster->options.operator_rows,
			 beat->operator_changes);
	row_message_take(cluster->options.upstream_rows,
			 beat->upstream_changes);
}

static void take_own_maps(struct cluster *cluster, const LeaderBeat *beat)
{
	cluster->beat_heard_s = cluster_now(cluster);
	take_maps(cluster, beat);
	take_vms(cluster, beat);
}

static void on_beat(void *ctx, const LeaderBeat *beat)
{
	struct cluster *cluster = ctx;
	size_t i;

	if (beat->lease < lease_version(cluster->lease))
		return;
	lease_seen(cluster->lease, beat->lease);
	cluster->beat_heard_s = cluster_now(cluster);
	/* The datagram itself may come from another VM. */
	cluster->leader_known =
		address_parse(str_from(beat->address), &cluster->leader);
	take_progress(cluster, beat->progress);
	take_rows(cluster, beat);
	take_maps(cluster, beat);
	take_vms(cluster, beat);
	for (i = 0; i < beat->n_crashes; i++)
		cluster->options.crashed(cluster->options.ctx,
					 beat->crashes[i]->request,
					 beat->crashes[i]->upstream);
}

static void on_vm_loads(void *ctx, const VmLoads *loads)
{
	struct cluster *cluster = ctx;

	if (cluster->leading)
		load_share_take(cluster->loads, loads->vm, loads->upstreams,
				loads->n_upstreams);
}

static void on_leader_loads(void *ctx, const LeaderLoads *loads)
{
	struct cluster *cluster = ctx;

	if (loads->lease < lease_version(cluster->lease))
		return;
	load_share_apply(cluster->loads, loads);
	cluster->options.keys_changed(cluster->options.ctx);
}

void cluster_send_loads(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmLoads out = VM_LOADS__INIT;
	GPtrArray *own = load_share_own(cluster->loads);

	out.vm = cluster->options.settings->vm;
	out.upstreams = (UpstreamLoad **)own->pdata;
	out.n_upstreams = own->len;
	message.kind_case = PEER_MESSAGE__KIND_VM_LOADS;
	message.vm_loads = &out;
	if (cluster->leading)
		on_vm_loads(cluster, &out);
	else if (cluster->leader_known)
		datagrams_send(cluster->datagrams, &cluster->leader, &message);
	g_ptr_array_free(own, TRUE);
}

void cluster_tell_loads(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	double now = cluster_now(cluster);
	double pause = roster_vms(cluster->options.roster) * OUTCOMES_VM_S;
	bool outcomes = now >= cluster->outcomes_sent_s + pause;
	LeaderLoads *out = load_share_totals(cluster->loads, outcomes);

	if (outcomes)
		cluster->outcomes_sent_s = now;
	out->lease = lease_version(cluster->lease);
	message.kind_case = PEER_MESSAGE__KIND_LEADER_LOADS;
	message.leader_loads = out;
	send_to_vms(cluster, &message);
	on_leader_loads(cluster, out);
	leader_loads_free(out);
}

const struct datagram_ops *cluster_datagram_ops(void)
{
	static const struct datagram_ops ops = {
		.vm_loads = on_vm_loads,
		.leader_loads = on_leader_loads,
		.beat = on_beat,
		.report = on_report,
	};

	return &ops;
}

static void add_load(struct service *service, void *ctx)
{
	GPtrArray *loads = ctx;
	KeyLoad *load;

	if (!service->requested_keys->len)
		return;
	load = g_new0(KeyLoad, 1);
	key_load__init(load);
	load->service = service->name;
	load->keys.len = service->requested_keys->len * sizeof(uint16_t);
	/* Little-endian on the wire, as on all machines that this runs on. */
	load->keys.data = (uint8_t *)service->requested_keys->data;
	g_ptr_array_add(loads, load);
}

static void clear_load(struct service *service, void *ctx)
{
	(void)ctx;
	g_array_set_size(service->requested_keys, 0);
}

void cluster_send_report(struct cluster *cluster, bool stopping)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	VmReport out = VM_REPORT__INIT;
	Progress progress = PROGRESS__INIT;
	GPtrArray *loads = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *crashes = crash_messages(cluster);

	roster_each_service(cluster->options.roster, add_load, loads);
	out.vm = vm_info(cluster->options.settings->vm,
			 &cluster->options.settings->peers);
	out.loads = (KeyLoad **)loads->pdata;
	out.n_loads = loads->len;
	out.crashes = (Crash **)crashes->pdata;
	out.n_crashes = crashes->len;
	out.stopping = stopping;
	progress.operator_rows = cluster->progress.operator_rows;
	progress.upstream_rows = cluster->progress.upstream_rows;
	out.progress = &progress;
	message.kind_case = PEER_MESSAGE__KIND_REPORT;
	message.report = &out;
	if (cluster->leading)
		on_report(cluster, &out);
	else if (cluster->leader_known)
		datagrams_send(cluster->datagrams, &cluster->leader, &message);
	roster_each_service(cluster->options.roster, clear_load, NULL);
	free_vm_info(out.vm);
	g_ptr_array_free(loads, TRUE);
	g_ptr_array_free(crashes, TRUE);
	cluster->report_sent_s = cluster_now(cluster);
}
