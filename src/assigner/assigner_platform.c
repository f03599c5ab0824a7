/*
 * Reads the settings and the VM list from the platform, exchanges settings
 * with other daemons, and updates the cells when either changes.
 */
#include "assigner/assigner_impl.h"

#include "base/log.h"
#include "membership/vm_codec.h"
#include "profile/publish.h"
#include "profile/settings.h"

static void on_settings_row(void *ctx, const struct table_result *result)
{
	struct assigner *a = ctx;

	settings_replica_on_table_read(a->settings_replica, result->status,
				       result->value, clock_now_us(a->clock));
}

static void read_table(void *ctx)
{
	struct assigner *a = ctx;

	table_get(a->table, STR(PUBLISH_KEY), on_settings_row, a);
}

static void send_to(struct assigner *a, struct str daemon,
		    const Envelope *message)
{
	struct link *link = peers_link(a->peers, daemon);

	if (link)
		hub_send(a->hub, link, message);
}

static void pull_settings(void *ctx, struct str daemon)
{
	struct assigner *a = ctx;
	Pull pull = PULL__INIT;
	Envelope message = ENVELOPE__INIT;

	pull.settings = true;
	message.body_case = ENVELOPE__BODY_PULL;
	message.pull = &pull;
	send_to(a, daemon, &message);
}

static void send_settings(void *ctx, struct str daemon, uint64_t version,
			  struct str body)
{
	struct assigner *a = ctx;
	Settings settings = SETTINGS__INIT;
	Envelope message = ENVELOPE__INIT;

	settings.version = version;
	settings.body.data = (uint8_t *)body.data;
	settings.body.len = body.len;
	message.body_case = ENVELOPE__BODY_SETTINGS;
	message.settings = &settings;
	send_to(a, daemon, &message);
}

static void in_force(void *ctx, const struct settings *settings)
{
	struct assigner *a = ctx;

	a->settings_changes++;
	log_info("settings", "version %" G_GUINT64_FORMAT " is in force",
		 settings->version);
	assigner_update_cells(a);
}

const struct settings_replica_ops assigner_settings_replica_ops = {
	.read_table = read_table,
	.pull = pull_settings,
	.send = send_settings,
	.in_force = in_force,
};

/* Logs the skipped entries when they differ from those of the previous read, so
 * that a lasting fault is not logged at each read. NULL: none was skipped. */
static void warn_skipped(struct assigner *a, const char *skipped)
{
	if (!g_strcmp0(a->vms_skipped, skipped))
		return;
	if (skipped)
		log_warn("vms",
			 "skipped malformed entries of the platform's VM list: "
			 "%s",
			 skipped);
	g_free(a->vms_skipped);
	a->vms_skipped = g_strdup(skipped);
}

/* Logs the first failed read of the VM list, and the first successful one after
 * it. */
static void log_vms_reachability(struct assigner *a, bool reachable)
{
	if (a->vms_unreachable == !reachable)
		return;
	a->vms_unreachable = !reachable;
	if (reachable)
		log_info("vms", "the platform's VM list is read again");
	else
		log_warn("vms", "the platform's VM list can't be read; the "
				"last list stays in use");
}

static void on_vms(void *ctx, enum table_status status, struct str body)
{
	struct assigner *a = ctx;
	struct vm_list list = { 0 };
	GError *error = NULL;

	a->vms_reading = false;
	log_vms_reachability(a, status == TABLE_OK);
	if (status != TABLE_OK)
		return;
	if (!vm_list_parse(body, &list, &error)) {
		log_warn(
			"vms",
			"platform's VM list can't be parsed and is ignored: %s",
			error->message);
		g_error_free(error);
		return;
	}
	warn_skipped(a, list.skipped);
	vm_table_apply_list(a->vms, list.vms, list.count,
			    clock_now_us(a->clock));
	vm_list_clear(&list);
}

void assigner_read_vms(struct assigner *a, int64_t now_us)
{
	if (a->vms_reading || now_us < a->vms_due_us)
		return;
	a->vms_reading = true;
	a->vms_due_us = now_us + a->options->vms_poll_ms * US_PER_MS;
	table_vms(a->table, on_vms, a);
}

static void update_members(struct assigner *a, struct cell *cell,
			   const struct settings *settings)
{
	int64_t now_us = clock_now_us(a->clock);
	size_t i, n = 0, count = vm_table_count(a->vms);
	struct cell_member *members = g_new0(struct cell_member, count + 1);

	for (i = 0; i < count; i++) {
		const struct vm *vm = vm_table_at(a->vms, i, now_us, NULL);

		if (!str_equal(str_from(vm->service), cell_name(cell)))
			continue;
		members[n].vm = vm;
		members[n].out = settings_is_out(settings, str_from(vm->zone),
						 str_from(vm->id));
		n++;
	}
	cell_set_members(cell, members, n);
	g_free(members);
}

/* Removes the cells of services that were removed from the settings or became
 * keyed or unkeyed. */
static void remove_stale_cells(struct assigner *a,
			       const struct settings *settings)
{
	guint i = 0;

	while (i < a->cells->len) {
		struct cell *cell = a->cells->pdata[i];
		const struct service *service =
			settings_service(settings, cell_name(cell));

		if (service && service->keyed == cell_is_keyed(cell))
			i++;
		else
			g_ptr_array_remove_index(a->cells, i);
	}
}

void assigner_update_cells(struct assigner *a)
{
	const struct settings *settings =
		settings_replica_current(a->settings_replica);
	size_t i;

	if (!settings)
		return;
	remove_stale_cells(a, settings);
	for (i = 0; i < settings->service_count; i++) {
		const struct service *service = &settings->services[i];
		struct cell *cell = assigner_cell(a, str_from(service->name));

		if (!cell) {
			cell = cell_create(&a->cell_env,
					   str_from(service->name),
					   service->keyed);
			g_ptr_array_add(a->cells, cell);
		}
		update_members(a, cell, settings);
	}
}
