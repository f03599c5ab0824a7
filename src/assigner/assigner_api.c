/*
 * What operators ask of this assigner, answered from its parts.
 */
#include "assigner/assigner_impl.h"

#include "base/hash.h"
#include "profile/settings.h"

/* Upstreams that must stay, in percent of those that take work. */
#define FIT_REST_PERCENT 50

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

	return spread_json(a->spread);
}

static bool is_in(const struct settings *settings, const struct vm *vm,
		  enum vm_state state)
{
	return state != VM_LOST && state != VM_LEAVING && !vm->leaving &&
	       !settings_zone_is_out(settings, str_from(vm->zone)) &&
	       !settings_vm_is_out(settings, str_from(vm->id));
}

/* Upstreams of a service, and how many of them take work under settings. */
static void count_upstreams(struct assigner *a, const struct settings *settings,
			    struct str service, size_t *all, size_t *in)
{
	size_t i, count = vm_table_count(a->vms);

	*all = 0;
	*in = 0;
	for (i = 0; i < count; i++) {
		enum vm_state state;
		const struct vm *vm =
			vm_table_at(a->vms, i, clock_now_us(a->clock), &state);

		if (!str_equal(str_from(vm->service), service))
			continue;
		(*all)++;
		if (is_in(settings, vm, state))
			(*in)++;
	}
}

/*
 * The rest must keep at least half of each service's upstreams that take work
 * now: load reports mislead, so they are not asked.
 */
static bool fits(void *ctx, const struct settings *after, char **why)
{
	struct assigner *a = ctx;
	const struct settings *now = spread_current(a->spread);
	size_t i;

	for (i = 0; now && i < after->service_count; i++) {
		struct str service = str_from(after->services[i].name);
		size_t all, in_now, in_after;

		count_upstreams(a, now, service, &all, &in_now);
		count_upstreams(a, after, service, &all, &in_after);
		if (!all || in_after * 100 >= in_now * FIT_REST_PERCENT)
			continue;
		*why = g_strdup_printf("service %s would keep %zu of %zu "
				       "upstreams",
				       after->services[i].name, in_after,
				       in_now);
		return false;
	}
	return true;
}

static bool in_contact(void *ctx)
{
	struct assigner *a = ctx;

	return peers_reach_until(a->peers) > clock_now_us(a->clock);
}

static void members(void *ctx,
		    void (*visit)(void *visit_ctx, const struct peer *peer),
		    void *visit_ctx)
{
	struct assigner *a = ctx;
	struct peer self = {
		.id = a->options->daemon,
		.role = PEER_ASSIGNER,
		.address = a->wire_address,
		.incarnation = a->incarnation,
		.settings_version = spread_version(a->spread),
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
	const struct settings *settings = spread_current(a->spread);
	json_t *list = json_array();
	size_t i, count = vm_table_count(a->vms);

	for (i = 0; i < count; i++) {
		enum vm_state state;
		const struct vm *vm =
			vm_table_at(a->vms, i, clock_now_us(a->clock), &state);
		bool out =
			settings &&
			(settings_zone_is_out(settings, str_from(vm->zone)) ||
			 settings_vm_is_out(settings, str_from(vm->id)));

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

static void status(void *ctx, json_t *out)
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

	if (!cell || !cell_keyed(cell))
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

static bool force_cell(void *ctx, struct str service)
{
	struct cell *cell = assigner_cell(ctx, service);

	if (!cell)
		return false;
	coordinator_force(cell_coordinator(cell));
	return true;
}

const struct api_ops assigner_api_ops = {
	.table_get = read_row,
	.table_put = write_row,
	.settings = settings_json,
	.fits = fits,
	.in_contact = in_contact,
	.members = members,
	.status = status,
	.explain_key = explain_key,
	.force_cell = force_cell,
};
