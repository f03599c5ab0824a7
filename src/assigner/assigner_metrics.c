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

/* Appends a metric of one cell. */
static void gauge(GString *out, const char *name, const char *cell,
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
	gauge(out, "authority", name, status.authority);
	gauge(out, "epoch", name, status.epoch);
	gauge(out, "slices_granted", name, status.granted);
	gauge(out, "slices_waiting", name, status.waiting);
	gauge(out, "slices_unowned", name, status.unowned);
	gauge(out, "slices_to_move", name, status.to_move);
	gauge(out, "table_up", name, status.table_up);
	gauge(out, "orders_total", name, orders);
	gauge(out, "replies_total", name, replies);
	g_free(name);
}

struct link_sum {
	uint64_t links, sent, received;
};

static void add_link(void *ctx, struct link *link)
{
	struct link_sum *sum = ctx;
	uint64_t sent, received;

	link_counts(link, &sent, &received);
	sum->links++;
	sum->sent += sent;
	sum->received += received;
}

/* Appends a metric without labels. */
static void plain(GString *out, const char *name, uint64_t value)
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
	struct link_sum sum = { 0 };
	uint64_t calls, sent, received;
	guint i;

	hub_foreach(a->hub, add_link, &sum);
	http_client_counts(a->http, &calls, &sent, &received);
	plain(out, "settings_version",
	      settings_replica_version(a->settings_replica));
	plain(out, "peers", peers_count(a->peers));
	plain(out, "vms", vm_table_count(a->vms));
	plain(out, "links", sum.links);
	plain(out, "link_sent_bytes", sum.sent);
	plain(out, "link_received_bytes", sum.received);
	plain(out, "http_calls_total", calls);
	plain(out, "http_sent_bytes_total", sent);
	plain(out, "http_received_bytes_total", received);
	sent_metrics(out, a->hub);
	for (i = 0; i < a->cells->len; i++)
		cell_metrics(out, a->cells->pdata[i]);
}

const struct common_ops assigner_common_ops = {
	.ready = ready,
	.metrics = metrics,
};
