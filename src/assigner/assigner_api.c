/*
 * Callbacks of the operator API: the settings, members, state of cells and VMs,
 * and the check that a change of the settings leaves enough upstreams.
 */
#include "assigner/assigner_impl.h"

#include "base/hash.h"
#include "membership/capacity.h"
#include "profile/settings.h"

/* Share of a service's active upstreams that must remain after a change. */
#define MIN_REMAINING_PERCENT 50
/* Weight of a new load report in the moving average of a VM's load, from 0 to
 * 1. */
#define LOAD_WEIGHT 0.05
/* keeps_capacity() ignores a VM whose last load report is older than this. */
#define LOAD_AGE_US (2 * US_PER_SECOND)

static void read_row(void *ctx, struct str key, table_done_fn done,
		     void *done_ctx)
{
	struct assigner *a = ctx;

	table_get(a->table, key, done, done_ctx);
}

static void write_row(void *ctx, struct str key, uint64_t if_version,
		      struct str value, table_done_fn done, void *done_ctx)
{
	struct assigner *a = ctx;

	table_put(a->table, key, if_version, value, done, done_ctx);
}

static struct str settings_json(void *ctx)
{
	struct assigner *a = ctx;

	return settings_replica_json(a->settings_replica);
}

static bool is_in_service(const struct settings *settings, const struct vm *vm,
			  enum vm_state state)
{
	return state != VM_LOST && state != VM_LEAVING && !vm->leaving &&
	       !settings_is_out(settings, str_from(vm->zone), str_from(vm->id));
}

/* Counts the upstreams of a service that take requests under the settings. */
static size_t count_upstreams(struct assigner *a,
			      const struct settings *settings,
			      struct str service)
{
	int64_t now_us = clock_now_us(a->clock);
	size_t i, active = 0, count = vm_table_count(a->vms);

	for (i = 0; i < count; i++) {
		enum vm_state state;
		const struct vm *vm = vm_table_at(a->vms, i, now_us, &state);

		active += str_equal(str_from(vm->service), service) &&
			  is_in_service(settings, vm, state);
	}
	return active;
}

void assigner_record_load(struct assigner *a, struct str vm,
			  const struct upstream_load *load)
{
	char *id = str_dup(vm);
	struct vm_load *known = g_hash_table_lookup(a->loads, id);
	double requests = (double)load->running + (double)load->queued;

	if (!known) {
		known = g_new0(struct vm_load, 1);
		known->requests = requests;
		g_hash_table_insert(a->loads, g_strdup(id), known);
	}
	known->slots = load->slots;
	known->requests += (requests - known->requests) * LOAD_WEIGHT;
	known->seen_us = clock_now_us(a->clock);
	g_free(id);
}

/* Tells whether the slots that remain after a change can carry the load. Checks
 * only the cells that this daemon coordinates, since it has no load reports of
 * other cells. */
static bool keeps_capacity(struct assigner *a, const struct settings *after,
			   char **why)
{
	int64_t now_us = clock_now_us(a->clock);
	size_t i, n = 0, count = vm_table_count(a->vms);
	struct capacity_vm *vms = g_new0(struct capacity_vm, count + 1);
	bool fits;

	for (i = 0; i < count; i++) {
		enum vm_state state;
		const struct vm *vm = vm_table_at(a->vms, i, now_us, &state);
		const struct vm_load *load =
			g_hash_table_lookup(a->loads, vm->id);

		if (!load || now_us - load->seen_us > LOAD_AGE_US)
			continue;
		vms[n++] = (struct capacity_vm){
			.id = vm->id,
			.service = vm->service,
			.zone = vm->zone,
			.slots = load->slots,
			.load = load->requests,
			.live = state == VM_LIVE,
		};
	}
	fits = capacity_fits(vms, n, after, why);
	g_free(vms);
	return fits;
}

/* Tells whether each service keeps MIN_REMAINING_PERCENT of its upstreams. That
 * is required also when fewer could carry the load. */
static bool keeps_enough_upstreams(struct assigner *a,
				   const struct settings *after, char **why)
{
	const struct settings *now =
		settings_replica_current(a->settings_replica);
	size_t i;

	for (i = 0; now && i < after->service_count; i++) {
		struct str service = str_from(after->services[i].name);
		size_t in_now = count_upstreams(a, now, service);
		size_t in_after = count_upstreams(a, after, service);

		if (in_after * 100 >= in_now * MIN_REMAINING_PERCENT)
			continue;
		*why = g_strdup_printf(
			"service %s would keep %zu of %zu upstreams, but must "
			"keep " G_STRINGIFY(MIN_REMAINING_PERCENT) "%%",
			after->services[i].name, in_after, in_now);
		return false;
	}
	return true;
}

static bool leaves_enough(void *ctx, const struct settings *after, char **why)
{
	return keeps_enough_upstreams(ctx, after, why) &&
	       keeps_capacity(ctx, after, why);
}

static bool in_contact(void *ctx)
{
	struct assigner *a = ctx;

	return peers_quorum_until(a->peers) > clock_now_us(a->clock);
}

static void visit_members(void *ctx,
			  void (*visit)(void *visit_ctx,
					const struct peer *peer),
			  void *visit_ctx)
{
	struct assigner *a = ctx;
	struct peer self = {
		.id = a->options->daemon,
		.role = PEER_ASSIGNER,
		.address = a->wire_address,
		.incarnation = a->incarnation,
		.settings_version =
			settings_replica_version(a->settings_replica),
		.linked = true,
	};

	visit(visit_ctx, &self);
	peers_each(a->peers, clock_now_us(a->clock), visit, visit_ctx);
}

static json_t *text_json(struct str text)
{
	return json_stringn(text.len ? text.data : "", text.len);
}

static json_t *vms_json(struct assigner *a)
{
	const struct settings *settings =
		settings_replica_current(a->settings_replica);
	json_t *list = json_array();
	size_t i, count = vm_table_count(a->vms);

	for (i = 0; i < count; i++) {
		enum vm_state state;
		const struct vm *vm =
			vm_table_at(a->vms, i, clock_now_us(a->clock), &state);
		bool out = settings &&
			   settings_is_out(settings, str_from(vm->zone),
					   str_from(vm->id));

		json_array_append_new(
			list, json_pack("{sssssssssb}", "id", vm->id, "service",
					vm->service, "zone", vm->zone, "state",
					vm_state_name(state), "out", (int)out));
	}
	return list;
}

static json_t *cell_json(struct cell *cell)
{
	struct coordinator_status s;

	coordinator_status(cell_coordinator(cell), &s);
	return json_pack(
		"{sosssosIsbsIsIsIsIsIsIsbss}", "cell",
		text_json(cell_name(cell)), "phase",
		coordinator_phase_name(s.phase), "coordinator",
		text_json(s.coordinator), "epoch", (json_int_t)s.epoch,
		"authority", (int)s.authority, "upstreams",
		(json_int_t)s.acceptors, "accepted", (json_int_t)s.accepted,
		"granted", (json_int_t)s.granted, "waiting",
		(json_int_t)s.waiting, "unowned", (json_int_t)s.unowned,
		"to_move", (json_int_t)s.to_move, "table_up", (int)s.table_up,
		"paused", s.paused ? s.paused : "");
}

static void add_status(void *ctx, json_t *out)
{
	struct assigner *a = ctx;
	json_t *cells = json_array();
	guint i;

	for (i = 0; i < a->cells->len; i++)
		json_array_append_new(cells, cell_json(a->cells->pdata[i]));
	json_object_set_new(out, "cells", cells);
	json_object_set_new(out, "vms", vms_json(a));
}

static bool explain_key(void *ctx, struct str service, struct str key,
			json_t *out)
{
	struct assigner *a = ctx;
	struct cell *cell = assigner_cell(a, service);
	struct coordinator_explanation e;
	char hash[17];

	if (!cell || !cell_is_keyed(cell))
		return false;
	if (!coordinator_explain(cell_coordinator(cell), hash_key(key), &e))
		return false;
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x", e.hash);
	json_object_set_new(out, "hash", json_string(hash));
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   e.slice.first);
	json_object_set_new(out, "slice_first", json_string(hash));
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   e.slice.last);
	json_object_set_new(out, "slice_last", json_string(hash));
	json_object_set_new(out, "epoch",
			    json_integer((json_int_t)e.slice.epoch));
	json_object_set_new(out, "owner", text_json(e.owner));
	json_object_set_new(out, "granted", json_boolean(e.granted));
	json_object_set_new(out, "waits_for", text_json(e.waits_for));
	json_object_set_new(out, "wait_us", json_integer(e.wait_us));
	json_object_set_new(out, "reason", json_string(e.reason));
	return true;
}

/* Records an operator's assertion that the upstreams of a service that are not
 * listed any more have ended; see coordinator_ignore_unlisted(). */
static bool force_cell(void *ctx, struct str service)
{
	struct cell *cell = assigner_cell(ctx, service);

	if (!cell)
		return false;
	coordinator_ignore_unlisted(cell_coordinator(cell));
	return true;
}

const struct api_ops assigner_api_ops = {
	.table_get = read_row,
	.table_put = write_row,
	.settings = settings_json,
	.fits = leaves_enough,
	.in_contact = in_contact,
	.members = visit_members,
	.status = add_status,
	.explain_key = explain_key,
	.force_cell = force_cell,
};
