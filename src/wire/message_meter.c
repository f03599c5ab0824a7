#include "wire/message_meter.h"

#include <glib.h>

/* Counters of one kind of message. */
struct kind_meter {
	struct counter *sent;
	struct counter *sent_bytes;
	struct counter *other_zone_bytes;
	struct counter *received;
	struct counter *received_bytes;
};

static const struct {
	PeerMessage__KindCase kind;
	const char *name;
} kinds[] = {
	{ PEER_MESSAGE__KIND__NOT_SET, "other" },
	{ PEER_MESSAGE__KIND_BEAT, "heartbeat" },
	{ PEER_MESSAGE__KIND_REPORT, "vm_report" },
	{ PEER_MESSAGE__KIND_VM_LOADS, "load_report" },
	{ PEER_MESSAGE__KIND_LEADER_LOADS, "load_totals" },
	{ PEER_MESSAGE__KIND_TABLE_COPY, "table_copy" },
	{ PEER_MESSAGE__KIND_ROW_RELAY, "row_relay" },
	{ PEER_MESSAGE__KIND_LOAD_INDEX, "load_index" },
};

struct message_meter {
	/** In the order of kinds. */
	struct kind_meter meters[G_N_ELEMENTS(kinds)];
};

static void create_counters(struct metrics *metrics, const char *kind,
			    struct kind_meter *meter)
{
	char *labels = g_strdup_printf("kind=\"%s\"", kind);

	meter->sent = metrics_counter(
		metrics, "auburn_peer_messages_sent_total", labels,
		"Datagrams sent to other VMs, relayed ones included.");
	meter->sent_bytes =
		metrics_counter(metrics, "auburn_peer_bytes_sent_total", labels,
				"Bytes of datagrams sent to other VMs.");
	meter->other_zone_bytes = metrics_counter(
		metrics, "auburn_peer_bytes_sent_other_zone_total", labels,
		"Bytes of datagrams sent to VMs of other or unknown zones.");
	meter->received =
		metrics_counter(metrics, "auburn_peer_messages_received_total",
				labels, "Datagrams received from other VMs.");
	meter->received_bytes = metrics_counter(
		metrics, "auburn_peer_bytes_received_total", labels,
		"Bytes of datagrams received from other VMs.");
	g_free(labels);
}

struct message_meter *message_meter_create(struct metrics *metrics)
{
	struct message_meter *meter = g_new0(struct message_meter, 1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++)
		create_counters(metrics, kinds[i].name, &meter->meters[i]);
	return meter;
}

void message_meter_destroy(struct message_meter *meter)
{
	g_free(meter);
}

static struct kind_meter *find_meter(struct message_meter *meter,
				     PeerMessage__KindCase kind)
{
	size_t i;

	for (i = 1; i < G_N_ELEMENTS(kinds); i++)
		if (kinds[i].kind == kind)
			return &meter->meters[i];
	return &meter->meters[0];
}

void message_meter_sent(struct message_meter *meter, PeerMessage__KindCase kind,
			size_t bytes, bool other_zone)
{
	struct kind_meter *of_kind = find_meter(meter, kind);

	counter_add(of_kind->sent, 1);
	counter_add(of_kind->sent_bytes, bytes);
	if (other_zone)
		counter_add(of_kind->other_zone_bytes, bytes);
}

void message_meter_received(struct message_meter *meter,
			    PeerMessage__KindCase kind, size_t bytes)
{
	struct kind_meter *of_kind = find_meter(meter, kind);

	counter_add(of_kind->received, 1);
	counter_add(of_kind->received_bytes, bytes);
}
