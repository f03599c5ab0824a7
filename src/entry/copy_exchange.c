#include "entry/copy_exchange.h"

#include "entry/delta_messages.h"
#include "entry/table_copy.h"

/* Shortest time between two sendings of a table. Requests of this time share
 * one copy. */
#define SEND_INTERVAL_S 0.15

/* Time, in seconds, for which a VM that waits for copies goes on waiting after
 * a heartbeat of a leader that has not read the tables itself. */
#define COPY_WAIT_S 0.7

/* One table. */
struct copied {
	struct table_watch *watch;
	/** Parts of the copy that this VM receives. */
	struct table_copy_parts *parts;
	/** The VMs (struct fanout_target) that want a copy. */
	GArray *requests;
	/** Loop time at which copies were last sent. */
	double sent_s;
};

struct copy_exchange {
	struct copy_exchange_options options;
	struct copied tables[COPIED_TABLES];
	/** Numbers of the tables of which this VM wants a copy. */
	uint32_t wanted[COPIED_TABLES];
};

struct copy_exchange *
copy_exchange_create(const struct copy_exchange_options *options)
{
	struct copy_exchange *exchange = g_new0(struct copy_exchange, 1);
	size_t i;

	exchange->options = *options;
	for (i = 0; i < COPIED_TABLES; i++) {
		struct copied *table = &exchange->tables[i];

		table->watch = options->watches[i];
		table->parts = table_copy_parts_create();
		table->requests =
			g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	}
	return exchange;
}

void copy_exchange_destroy(struct copy_exchange *exchange)
{
	size_t i;

	if (!exchange)
		return;
	for (i = 0; i < COPIED_TABLES; i++) {
		table_copy_parts_destroy(exchange->tables[i].parts);
		g_array_free(exchange->tables[i].requests, TRUE);
	}
	g_free(exchange);
}

bool copy_exchange_waits(const struct copy_exchange *exchange)
{
	size_t i;

	for (i = 0; i < COPIED_TABLES; i++)
		if (table_watch_wants_copy(exchange->tables[i].watch))
			return true;
	return false;
}

void copy_exchange_fill_report(struct copy_exchange *exchange, VmReport *report)
{
	uint32_t i;

	report->wanted_copies = exchange->wanted;
	for (i = 0; i < COPIED_TABLES; i++)
		if (table_watch_wants_copy(exchange->tables[i].watch))
			report->wanted_copies[report->n_wanted_copies++] = i;
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

/* Adds a VM to a list that doesn't have it yet. */
static void add_target(GArray *list, const struct fanout_target *target)
{
	guint i;

	for (i = 0; i < list->len; i++)
		if (same_address(&g_array_index(list, struct fanout_target, i)
					  .address,
				 &target->address))
			return;
	g_array_append_val(list, *target);
}

void copy_exchange_add_request(struct copy_exchange *exchange,
			       const VmReport *report,
			       const struct sockaddr_in *address)
{
	struct fanout_target target = {
		.address = *address,
		.zone = g_intern_string(report->vm->zone),
	};
	size_t i;

	for (i = 0; i < report->n_wanted_copies; i++)
		if (report->wanted_copies[i] < COPIED_TABLES)
			add_target(exchange->tables[report->wanted_copies[i]]
					   .requests,
				   &target);
}

/* Sends a table to the VMs that want it, if this VM has read it. */
static void send_table(struct copy_exchange *exchange, uint32_t number,
		       uint64_t term)
{
	struct copied *table = &exchange->tables[number];
	TableCopyPart part = TABLE_COPY_PART__INIT;
	struct table_delta copy;
	GByteArray *bytes;

	if (!table_watch_copy(table->watch, &copy))
		return;
	table->sent_s = loop_now(exchange->options.loop);
	part.term = term;
	part.table = number;
	part.upto = copy.upto;
	bytes = table_copy_encode(&copy);
	event_log_write(exchange->options.log, bytes ? "info" : "warning",
			"copies",
			"event=%s table=%u version=%" PRIu64
			" rows=%zu bytes=%u vms=%u",
			bytes ? "sent" : "too_large", number,
			store_version_own(copy.upto), copy.count,
			bytes ? bytes->len : 0, table->requests->len);
	if (bytes) {
		bulk_sender_send(exchange->options.sender, bytes, &part,
				 table->requests, BULK_COPIES);
		g_byte_array_unref(bytes);
	}
	g_free((void *)copy.rows);
	g_array_set_size(table->requests, 0);
}

void copy_exchange_send(struct copy_exchange *exchange, uint64_t term)
{
	double now = loop_now(exchange->options.loop);
	uint32_t i;

	/* VMs that ask while copies are being sent share the next ones. */
	if (bulk_sender_has(exchange->options.sender, BULK_COPIES))
		return;
	for (i = 0; i < COPIED_TABLES; i++)
		if (exchange->tables[i].requests->len &&
		    now >= exchange->tables[i].sent_s + SEND_INTERVAL_S)
			send_table(exchange, i, term);
}

void copy_exchange_apply(struct copy_exchange *exchange,
			 const TableCopyPart *part)
{
	struct copied *table;
	TableChanges *copy;

	if (part->table >= COPIED_TABLES)
		return;
	table = &exchange->tables[part->table];
	if (!table_watch_wants_copy(table->watch))
		return;
	copy = table_copy_parts_add(table->parts, part);
	if (!copy)
		return;
	event_log_write(exchange->options.log, "info", "copies",
			"event=applied table=%u version=%" PRIu64 " rows=%zu",
			part->table, store_version_own(copy->upto),
			copy->n_rows);
	copy_message_apply(table->watch, copy);
	table_changes__free_unpacked(copy, NULL);
}

/* Waits longer for a copy when the leader has no version of the table yet. */
static void observe_version(struct copied *table, const TableChanges *changes)
{
	if (changes && !changes->upto)
		table_watch_extend_copy_wait(table->watch, COPY_WAIT_S);
}

void copy_exchange_observe_heartbeat(struct copy_exchange *exchange,
				     const LeaderBeat *beat)
{
	observe_version(&exchange->tables[COPIED_OPERATOR_ROWS],
			beat->operator_changes);
	observe_version(&exchange->tables[COPIED_UPSTREAM_ROWS],
			beat->upstream_changes);
}
