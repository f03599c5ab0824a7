#include "entry/cluster.h"

#include <string.h>

#include "base/address.h"
#include "base/log.h"
#include "entry/datagrams.h"
#include "entry/key_leader.h"
#include "entry/load_share.h"
#include "keys/lease.h"

/* For how long keys are given: an owner that falls silent leaves them unserved
 * for so long, and a new leader has to renew them within it. */
#define HOLD_S 3.0
/* What a grant may last longer by a slow clock, and time on its way. */
#define HOLD_FACTOR 1.02
#define GRANT_TRAVEL_S 0.6
/* Beats and reports. */
#define BEAT_S 0.25
#define REPORT_S 0.1
/* A VM that was not heard of for so long is not counted. */
#define VM_ALIVE_S 2.0
/* Without a beat for so long, owners are read from the store. */
#define BEAT_LOST_S 1.0
/* A change of owners is told after this, with others of the same moment. */
#define TELL_S 0.002
/* Numbers of maps within one lease. */
#define MAP_NUMBERS 1000000
/* Crashes that are told on, and for how long. */
#define CRASHES_MAX 64
#define CRASH_TOLD_S 3.0

struct vm {
	char *name;
	struct sockaddr_in address;
	double heard_s;
};

struct crash {
	uint64_t request;
	const char *upstream;
	double at_s;
};

struct cluster {
	struct cluster_options options;
	struct lease *lease;
	struct orders *orders;
	struct datagrams *datagrams;
	struct load_share *loads;
	/** struct vm by name; as the leader heard of them. */
	GHashTable *vms;
	/** struct key_leader by service; empty unless this VM leads. */
	GHashTable *leaders;
	bool leading;
	/** The maps of an earlier leader were read. */
	bool maps_read;
	bool reading_maps;
	/** Until when grants of earlier leaders may hold. */
	double inherited_until_s;
	/** For how long keys are given now. */
	double hold_s;
	uint64_t map_base;
	uint32_t map_number;
	/** Newest maps that were told, in the leader's numbers. */
	uint64_t told;
	struct sockaddr_in leader;
	bool leader_known;
	double beat_heard_s;
	double beat_sent_s;
	double report_sent_s;
	ev_timer tell_timer;
	GArray *crashes;
	/** The furthest that any VM has read. */
	struct progress progress;
	struct counter *leads;
	struct counter *vms_alive;
};

static double now_of(const struct cluster *cluster)
{
	return loop_now(cluster->options.loop);
}

static void free_vm(gpointer data)
{
	struct vm *vm = data;

	g_free(vm->name);
	g_free(vm);
}

static void free_leader(gpointer data)
{
	key_leader_destroy(data);
}

static bool may_order(void *ctx)
{
	struct cluster *cluster = ctx;

	return cluster->leading && lease_held(cluster->lease, ORDER_S);
}

static void keys_changed(void *ctx)
{
	struct cluster *cluster = ctx;

	if (!ev_is_active(&cluster->tell_timer)) {
		ev_timer_set(&cluster->tell_timer, TELL_S, 0);
		ev_timer_start(cluster->options.loop->ev, &cluster->tell_timer);
	}
}

static void hear_again(gpointer key, gpointer value, gpointer data)
{
	struct vm *vm = value;

	(void)key;
	vm->heard_s = now_of(data);
}

static void on_won(void *ctx)
{
	struct cluster *cluster = ctx;

	event_log_write(cluster->options.log, "info", "lease",
			"event=won row=%" PRIu64,
			lease_version(cluster->lease));
	cluster->leading = true;
	cluster->beat_sent_s = 0;
	/* Those that the last leader heard get time to report here. */
	g_hash_table_foreach(cluster->vms, hear_again, cluster);
	cluster->maps_read = false;
	cluster->map_base = lease_version(cluster->lease) * MAP_NUMBERS;
	cluster->map_number = 0;
	cluster->hold_s = HOLD_S;
	cluster->inherited_until_s =
		now_of(cluster) +
		cluster->options.settings->hold_max_s * HOLD_FACTOR +
		GRANT_TRAVEL_S;
	counter_set(cluster->leads, 1);
	/* The others stop trying. */
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
	g_hash_table_remove_all(cluster->leaders);
	counter_set(cluster->leads, 0);
}

static void on_learned(void *ctx, const char *vm, const char *address)
{
	struct cluster *cluster = ctx;
	struct sockaddr_in leader;

	if (!address_parse(str_from(address), &leader)) {
		log_warn("lease", "the address of %s can't be read", vm);
		return;
	}
	cluster->leader = leader;
	cluster->leader_known = true;
}

static void renew_all(gpointer key, gpointer value, gpointer data)
{
	struct cluster *cluster = data;

	(void)key;
	key_leader_renew_all(value, cluster->hold_s);
}

static void tell_leader(gpointer key, gpointer value, gpointer upstream)
{
	(void)key;
	key_leader_owner_broken(value, upstream);
}

static void on_owner_broken(void *ctx, const char *upstream)
{
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->leaders, tell_leader, (char *)upstream);
}

static void tell_reconnects(gpointer key, gpointer value, gpointer upstream)
{
	(void)key;
	key_leader_owner_reconnects(value, upstream);
}

static void on_owner_reconnects(void *ctx, const char *upstream)
{
	struct cluster *cluster = ctx;

	g_hash_table_foreach(cluster->leaders, tell_reconnects,
			     (char *)upstream);
}

static const struct orders_ops orders_ops = {
	.may_order = may_order,
	.broken = on_owner_broken,
	.reconnects = on_owner_reconnects,
};

/* The store may be away for long: keys are given for as long as is allowed
 * while this VM still may. */
static void on_troubled(void *ctx)
{
	struct cluster *cluster = ctx;

	if (!may_order(cluster))
		return;
	cluster->hold_s = cluster->options.settings->hold_max_s;
	event_log_write(cluster->options.log, "warning", "lease",
			"event=renewal_failed hold_s=%.1f row=%" PRIu64,
			cluster->hold_s, lease_version(cluster->lease));
	g_hash_table_foreach(cluster->leaders, renew_all, cluster);
}

static void note_progress(struct cluster *cluster, uint64_t operator_rows,
			  uint64_t upstream_rows)
{
	struct progress *known = &cluster->progress;

	known->operator_rows = MAX(known->operator_rows, operator_rows);
	known->upstream_rows = MAX(known->upstream_rows, upstream_rows);
}

static void take_progress(struct cluster *cluster, const Progress *progress)
{
	if (progress)
		note_progress(cluster, progress->operator_rows,
			      progress->upstream_rows);
}

/* Compares what this VM has read with what the others have. */
static void compare_progress(struct cluster *cluster)
{
	static const struct progress unknown;
	void *ctx = cluster->options.ctx;
	struct progress own = cluster->options.progress(ctx);
	bool heard = cluster->leading
			     ? g_hash_table_size(cluster->vms) > 1
			     : now_of(cluster) <
				       cluster->beat_heard_s + BEAT_LOST_S / 2;

	note_progress(cluster, own.operator_rows, own.upstream_rows);
	cluster->options.others_progress(ctx,
					 heard ? cluster->progress : unknown);
}

static const struct lease_ops lease_ops = {
	.won = on_won,
	.lost = on_lost,
	.learned = on_learned,
	.troubled = on_troubled,
};

/* --- what the leader does --- */

static void hear_vm(struct cluster *cluster, const char *name,
		    const struct sockaddr_in *address)
{
	struct vm *vm = g_hash_table_lookup(cluster->vms, name);

	if (!vm) {
		vm = g_new0(struct vm, 1);
		vm->name = g_strdup(name);
		g_hash_table_insert(cluster->vms, vm->name, vm);
		log_info("cluster", "VM %s is heard", name);
	}
	vm->address = *address;
	vm->heard_s = now_of(cluster);
}

static gboolean is_silent(gpointer key, gpointer value, gpointer data)
{
	const struct vm *vm = value;
	struct cluster *cluster = data;

	if (now_of(cluster) < vm->heard_s + VM_ALIVE_S)
		return FALSE;
	log_info("cluster", "VM %s is silent", (const char *)key);
	load_share_forget(cluster->loads, key);
	return TRUE;
}

struct beat_parts {
	GPtrArray *vms;
	GPtrArray *maps;
	GPtrArray *crashes;
	Progress progress;
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

static KeyMap *map_message(struct cluster *cluster,
			   const struct key_leader *leader)
{
	struct key_map *map = key_map_create();
	GString *packed;
	KeyMap *message;

	key_leader_served_map(leader, map);
	map->version = cluster->map_base + cluster->map_number;
	packed = key_map_pack(map, key_leader_service(leader)->name, "");
	message = key_map__unpack(NULL, packed->len,
				  (const uint8_t *)packed->str);
	g_string_free(packed, TRUE);
	key_map_destroy(map);
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

		if (now_of(cluster) > crash->at_s + CRASH_TOLD_S)
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

static void fill_beat(struct cluster *cluster, struct beat_parts *parts,
		      LeaderBeat *beat)
{
	GHashTableIter iter;
	gpointer value;

	progress__init(&parts->progress);
	parts->vms = g_ptr_array_new_with_free_func(free_vm_info);
	parts->maps = g_ptr_array_new_with_free_func(free_map_message);
	parts->crashes = crash_messages(cluster);
	g_hash_table_iter_init(&iter, cluster->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm *vm = value;

		g_ptr_array_add(parts->vms, vm_info(vm->name, &vm->address));
	}
	g_hash_table_iter_init(&iter, cluster->leaders);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(parts->maps, map_message(cluster, value));
	parts->progress.operator_rows = cluster->progress.operator_rows;
	parts->progress.upstream_rows = cluster->progress.upstream_rows;
	beat->progress = &parts->progress;
	beat->vm = cluster->options.settings->vm;
	beat->lease = lease_version(cluster->lease);
	beat->vms = (VmInfo **)parts->vms->pdata;
	beat->n_vms = parts->vms->len;
	beat->maps = (KeyMap **)parts->maps->pdata;
	beat->n_maps = parts->maps->len;
	beat->crashes = (Crash **)parts->crashes->pdata;
	beat->n_crashes = parts->crashes->len;
}

static void send_beat(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderBeat beat = LEADER_BEAT__INIT;
	struct beat_parts parts;
	GHashTableIter iter;
	gpointer value;

	fill_beat(cluster, &parts, &beat);
	message.kind_case = PEER_MESSAGE__KIND_BEAT;
	message.beat = &beat;
	g_hash_table_iter_init(&iter, cluster->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm *vm = value;

		if (strcmp(vm->name, cluster->options.settings->vm) != 0)
			datagrams_send(cluster->datagrams, &vm->address,
				       &message);
	}
	take_own_maps(cluster, &beat);
	cluster->beat_sent_s = now_of(cluster);
	g_ptr_array_free(parts.vms, TRUE);
	g_ptr_array_free(parts.maps, TRUE);
	g_ptr_array_free(parts.crashes, TRUE);
}

static void on_tell(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct cluster *cluster = timer->data;

	(void)loop;
	(void)events;
	cluster->map_number++;
	if (lease_held(cluster->lease, 0))
		send_beat(cluster);
}

static void ensure_leader(struct cluster *cluster, struct service *service,
			  const struct store_row *row)
{
	struct key_leader_options options = {
		.loop = cluster->options.loop,
		.roster = cluster->options.roster,
		.store = cluster->options.store,
		.orders = cluster->orders,
		.log = cluster->options.log,
		.may_order = may_order,
		.changed = keys_changed,
		.ctx = cluster,
	};

	if (!service->configured || !service->config.keyed ||
	    g_hash_table_contains(cluster->leaders, service->name))
		return;
	g_hash_table_insert(cluster->leaders, service->name,
			    key_leader_create(&options, service, row,
					      cluster->inherited_until_s));
}

static void lead_new_service(struct service *service, void *ctx)
{
	ensure_leader(ctx, service, NULL);
}

static void on_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->reading_maps = false;
	if (result->status != STORE_OK || !cluster->leading)
		return;
	for (i = 0; i < result->row_count; i++) {
		struct service *service = roster_service(
			cluster->options.roster, result->rows[i].key);

		if (service)
			ensure_leader(cluster, service, &result->rows[i]);
	}
	cluster->maps_read = true;
	event_log_write(cluster->options.log, "info", "keys",
			"event=leading maps=%zu version=%" PRIu64,
			result->row_count, result->version);
}

static void read_maps(struct cluster *cluster, store_done_fn done)
{
	if (cluster->reading_maps)
		return;
	cluster->reading_maps = true;
	cluster->options.store.ops->read(cluster->options.store.impl, KEY_TABLE,
					 "", done, cluster);
}

static void tick_leader(gpointer key, gpointer value, gpointer data)
{
	struct cluster *cluster = data;

	(void)key;
	key_leader_tick(value, cluster->hold_s);
}

static void lead(struct cluster *cluster)
{
	double now = now_of(cluster);

	hear_vm(cluster, cluster->options.settings->vm,
		&cluster->options.settings->peers);
	g_hash_table_foreach_remove(cluster->vms, is_silent, cluster);
	if (now >= cluster->beat_sent_s + BEAT_S)
		send_beat(cluster);
	if (!cluster->options.ready(cluster->options.ctx))
		return;
	if (!cluster->maps_read) {
		read_maps(cluster, on_maps);
		return;
	}
	/* Renewals work again. */
	if (lease_held(cluster->lease, LEASE_S * 0.6))
		cluster->hold_s = HOLD_S;
	roster_each_service(cluster->options.roster, lead_new_service, cluster);
	g_hash_table_foreach(cluster->leaders, tick_leader, cluster);
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
		key_leader_count(leader, GUINT16_FROM_LE(key));
	}
}

static void add_crash(struct cluster *cluster, uint64_t request,
		      const char *upstream)
{
	struct crash crash = {
		.request = request,
		.upstream = g_intern_string(upstream),
		.at_s = now_of(cluster),
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

static void on_report(void *ctx, const VmReport *report,
		      const struct sockaddr_in *from)
{
	struct cluster *cluster = ctx;
	size_t i;

	(void)from;
	if (!cluster->leading || !report->vm)
		return;
	if (report->stopping) {
		load_share_forget(cluster->loads, report->vm->name);
		g_hash_table_remove(cluster->vms, report->vm->name);
	} else {
		struct sockaddr_in address;

		if (address_parse(str_from(report->vm->address), &address))
			hear_vm(cluster, report->vm->name, &address);
	}
	take_progress(cluster, report->progress);
	for (i = 0; i < report->n_loads; i++)
		count_keys(cluster, report->loads[i]->service,
			   report->loads[i]->keys.data,
			   report->loads[i]->keys.len);
	for (i = 0; i < report->n_crashes; i++) {
		add_crash(cluster, report->crashes[i]->request,
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
	GString *packed = g_string_new(NULL);
	bool ok;

	g_string_set_size(packed, key_map__get_packed_size(message));
	key_map__pack(message, (uint8_t *)packed->str);
	ok = service &&
	     key_map_unpack(service->keys,
			    (struct str){ packed->str, packed->len }, NULL);
	if (ok)
		service->keys_told_s = now_of(cluster);
	g_string_free(packed, TRUE);
	return ok;
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
	const char **names = g_new0(const char *, beat->n_vms + 1);
	size_t i;

	for (i = 0; i < beat->n_vms; i++) {
		struct sockaddr_in address;

		names[i] = beat->vms[i]->name;
		/* Whoever leads next has to reach them at once. */
		if (!cluster->leading &&
		    address_parse(str_from(beat->vms[i]->address), &address))
			hear_vm(cluster, names[i], &address);
	}
	roster_set_vms(cluster->options.roster, (unsigned int)beat->n_vms,
		       names);
	counter_set(cluster->vms_alive, beat->n_vms);
	g_free(names);
}

static void take_own_maps(struct cluster *cluster, const LeaderBeat *beat)
{
	cluster->beat_heard_s = now_of(cluster);
	take_maps(cluster, beat);
	take_vms(cluster, beat);
}

static void on_beat(void *ctx, const LeaderBeat *beat,
		    const struct sockaddr_in *from)
{
	struct cluster *cluster = ctx;
	size_t i;

	if (beat->lease < lease_version(cluster->lease))
		return;
	lease_seen(cluster->lease, beat->lease);
	cluster->leader = *from;
	cluster->leader_known = true;
	cluster->beat_heard_s = now_of(cluster);
	take_progress(cluster, beat->progress);
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
	load_share_apply(cluster->loads, loads->upstreams, loads->n_upstreams);
	cluster->options.keys_changed(cluster->options.ctx);
}

static void send_loads(struct cluster *cluster)
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

static void send_to_vms(struct cluster *cluster, const PeerMessage *message)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cluster->vms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct vm *vm = value;

		if (strcmp(vm->name, cluster->options.settings->vm) != 0)
			datagrams_send(cluster->datagrams, &vm->address,
				       message);
	}
}

static void tell_loads(struct cluster *cluster)
{
	PeerMessage message = PEER_MESSAGE__INIT;
	LeaderLoads out = LEADER_LOADS__INIT;
	GPtrArray *totals = load_share_totals(cluster->loads);

	out.lease = lease_version(cluster->lease);
	out.upstreams = (UpstreamLoad **)totals->pdata;
	out.n_upstreams = totals->len;
	message.kind_case = PEER_MESSAGE__KIND_LEADER_LOADS;
	message.leader_loads = &out;
	send_to_vms(cluster, &message);
	on_leader_loads(cluster, &out);
	g_ptr_array_free(totals, TRUE);
}

static const struct datagram_ops datagram_ops = {
	.vm_loads = on_vm_loads,
	.leader_loads = on_leader_loads,
	.beat = on_beat,
	.report = on_report,
};

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

static void report(struct cluster *cluster, bool stopping)
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
		on_report(cluster, &out, &cluster->options.settings->peers);
	else if (cluster->leader_known)
		datagrams_send(cluster->datagrams, &cluster->leader, &message);
	roster_each_service(cluster->options.roster, clear_load, NULL);
	free_vm_info(out.vm);
	g_ptr_array_free(loads, TRUE);
	g_ptr_array_free(crashes, TRUE);
	cluster->report_sent_s = now_of(cluster);
}

/* Owners as they stand in the store, while the leader is out of reach. */
static void on_stored_maps(void *ctx, const struct store_result *result)
{
	struct cluster *cluster = ctx;
	size_t i;

	cluster->reading_maps = false;
	if (result->status != STORE_OK ||
	    now_of(cluster) < cluster->beat_heard_s + BEAT_LOST_S)
		return;
	for (i = 0; i < result->row_count; i++) {
		struct service *service = roster_service(
			cluster->options.roster, result->rows[i].key);
		const GString *value = result->rows[i].value;

		if (service &&
		    !key_map_unpack(service->keys,
				    (struct str){ value->str, value->len },
				    NULL))
			log_warn("keys", "the map of %s can't be read",
				 service->name);
	}
	cluster->options.keys_changed(cluster->options.ctx);
}

void cluster_tick(struct cluster *cluster)
{
	double now = now_of(cluster);

	lease_tick(cluster->lease);
	if (cluster->leading)
		lead(cluster);
	else if (now > cluster->beat_heard_s + BEAT_LOST_S) {
		cluster->beat_heard_s = now - BEAT_LOST_S / 2;
		read_maps(cluster, on_stored_maps);
	}
	compare_progress(cluster);
	send_loads(cluster);
	if (cluster->leading)
		tell_loads(cluster);
	if (now >= cluster->report_sent_s + REPORT_S)
		report(cluster, false);
}

void cluster_tell_crash(struct cluster *cluster, uint64_t request,
			const char *upstream)
{
	add_crash(cluster, request, upstream);
}

void cluster_stop(struct cluster *cluster)
{
	lease_stop(cluster->lease);
	report(cluster, true);
}

struct cluster *cluster_create(const struct cluster_options *options,
			       GError **error)
{
	struct cluster *cluster = g_new0(struct cluster, 1);
	char address[ADDRESS_TEXT_SIZE];

	cluster->options = *options;
	cluster->datagrams =
		datagrams_create(options->loop, &options->settings->peers,
				 &datagram_ops, cluster, error);
	if (!cluster->datagrams) {
		g_free(cluster);
		return NULL;
	}
	address_format(&options->settings->peers, address);
	cluster->lease =
		lease_create(options->loop, &options->store, &lease_ops,
			     cluster, options->settings->vm, address);
	cluster->orders =
		orders_create(options->loop, options->links, options->protocol,
			      &orders_ops, cluster);
	cluster->vms =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_vm);
	cluster->leaders = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_leader);
	cluster->loads = load_share_create(options->loop, options->roster);
	cluster->crashes = g_array_new(FALSE, FALSE, sizeof(struct crash));
	cluster->hold_s = HOLD_S;
	ev_timer_init(&cluster->tell_timer, on_tell, TELL_S, 0);
	cluster->tell_timer.data = cluster;
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
	ev_timer_stop(cluster->options.loop->ev, &cluster->tell_timer);
	orders_destroy(cluster->orders);
	g_hash_table_destroy(cluster->leaders);
	lease_destroy(cluster->lease);
	datagrams_destroy(cluster->datagrams);
	load_share_destroy(cluster->loads);
	g_hash_table_destroy(cluster->vms);
	g_array_free(cluster->crashes, TRUE);
	g_free(cluster);
}
