/*
 * Readiness and Prometheus metrics of the assigner.
 */
#include "assigner/assigner_impl.h"

static bool ready(void *ctx, const char **why)
{
	struct assigner *a = ctx;

	if (a->leaving) {
		*why = "stopping";
		return false;
	}
	return settings_replica_ready(a->settings_replica,
				      clock_now_us(a->clock), why);
}

/* Appends a metric auburn_assigner_NAME, labelled with the cell's name. */
static void add_cell_metric(GString *out, const char *name, const char *cell,
			    uint64_t value)
{
	g_string_append_printf(out,
			       "auburn_assigner_%s{cell=\"%s\"} "
			       "%" G_GUINT64_FORMAT "\n",
			       name, cell, value);
}

static void cell_metrics(GString *out, struct cell *cell)
{
	struct coordinator_status status;
	uint64_t orders, replies;
	char *name = str_dup(cell_name(cell));

	coordinator_status(cell_coordinator(cell), &status);
	cell_counts(cell, &orders, &replies);
	add_cell_metric(out, "authority", name, status.authority);
	add_cell_metric(out, "epoch", name, status.epoch);
	add_cell_metric(out, "slices_granted", name, status.granted);
	add_cell_metric(out, "slices_waiting", name, status.waiting);
	add_cell_metric(out, "slices_unowned", name, status.unowned);
	add_cell_metric(out, "slices_to_move", name, status.to_move);
	add_cell_metric(out, "table_up", name, status.table_up);
	add_cell_metric(out, "orders_total", name, orders);
	add_cell_metric(out, "replies_total", name, replies);
	g_free(name);
}

/* Number of open links, and the bytes that they have carried so far. */
struct link_totals {
	uint64_t links, sent, received;
};

static void add_link(void *ctx, struct link *link)
{
	struct link_totals *sum = ctx;
	uint64_t sent, received;

	link_counts(link, &sent, &received);
	sum->links++;
	sum->sent += sent;
	sum->received += received;
}

/* Appends a metric auburn_assigner_NAME without labels. */
static void add_metric(GString *out, const char *name, uint64_t value)
{
	g_string_append_printf(
		out, "auburn_assigner_%s %" G_GUINT64_FORMAT "\n", name, value);
}

static void sent_metrics(GString *out, const struct hub *hub)
{
	static const struct {
		Envelope__BodyCase kind;
		const char *name;
	} kinds[] = {
		{ ENVELOPE__BODY_HELLO, "hello" },
		{ ENVELOPE__BODY_HEARTBEAT, "heartbeat" },
		{ ENVELOPE__BODY_CELL_BEAT, "cell_beat" },
		{ ENVELOPE__BODY_PULL, "pull" },
		{ ENVELOPE__BODY_SETTINGS, "settings" },
		{ ENVELOPE__BODY_CELL, "cell" },
		{ ENVELOPE__BODY_VMS, "vms" },
		{ ENVELOPE__BODY_LOAD, "load" },
		{ ENVELOPE__BODY_SHARE_REQUEST, "share_request" },
		{ ENVELOPE__BODY_SHARE, "share" },
		{ ENVELOPE__BODY_POISON, "poison" },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		struct hub_count sent = hub_sent(hub, kinds[i].kind);

		g_string_append_printf(
			out,
			"auburn_assigner_sent_messages_total{kind=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n"
			"auburn_assigner_sent_bytes_total{kind=\"%s\"} "
			"%" G_GUINT64_FORMAT "\n",
			kinds[i].name, sent.messages, kinds[i].name,
			sent.bytes);
	}
}

static void metrics(void *ctx, GString *out)
{
	struct assigner *a = ctx;
	struct link_totals sum = { 0 };
	uint64_t calls, sent, received;
	guint i;

	hub_foreach(a->hub, add_link, &sum);
	http_client_counts(a->http, &calls, &sent, &received);
	add_metric(out, "settings_version",
		   settings_replica_version(a->settings_replica));
	add_metric(out, "peers", peers_count(a->peers));
	add_metric(out, "vms", vm_table_count(a->vms));
	add_metric(out, "links", sum.links);
	add_metric(out, "link_sent_bytes", sum.sent);
	add_metric(out, "link_received_bytes", sum.received);
	add_metric(out, "http_calls_total", calls);
	add_metric(out, "http_sent_bytes_total", sent);
	add_metric(out, "http_received_bytes_total", received);
	sent_metrics(out, a->hub);
	for (i = 0; i < a->cells->len; i++)
		cell_metrics(out, a->cells->pdata[i]);
}

const struct common_ops assigner_common_ops = {
	.ready = ready,
	.metrics = metrics,
};
