#include "entry/change_push.h"

#include <string.h>
#include <zlib.h>

#include "entry/delta_messages.h"
#include "entry/table_copy.h"

/* Time, in seconds, from sending changes to sending them again. */
#define REPEAT_S 0.35
/* Time, in seconds, that a VM waits for large changes after a heartbeat that
 * omits them. The leader repeats that heartbeat while it sends them. */
#define PUSH_WAIT_S 0.5

/* One table. */
struct pushed {
	struct table_watch *watch;
	/** Parts of the changes that this VM receives. */
	struct table_copy_parts *parts;
	/** Changes up to this version were sent. */
	uint64_t upto;
	/** Changes up to this version were sent a second time. */
	uint64_t repeated_upto;
	/** When changes were last sent for the first time. */
	double sent_s;
};

struct change_push {
	struct change_push_options options;
	struct pushed tables[COPIED_TABLES];
};

struct change_push *
change_push_create(const struct change_push_options *options)
{
	struct change_push *push = g_new0(struct change_push, 1);
	size_t i;

	push->options = *options;
	for (i = 0; i < COPIED_TABLES; i++) {
		push->tables[i].watch = options->watches[i];
		push->tables[i].parts = table_copy_parts_create();
	}
	return push;
}

void change_push_destroy(struct change_push *push)
{
	size_t i;

	if (!push)
		return;
	for (i = 0; i < COPIED_TABLES; i++)
		table_copy_parts_destroy(push->tables[i].parts);
	g_free(push);
}

TableChanges *change_push_message(struct change_push *push,
				  enum copied_table table)
{
	TableChanges *message = delta_message_create(push->tables[table].watch);

	if (table_changes__get_packed_size(message) <= HEARTBEAT_CHANGES_MAX)
		return message;
	delta_message_free(message);
	return NULL;
}

/* Returns the last change of each row after a version. The caller frees the
 * rows array, whose contents the watch owns. */
static struct table_delta last_changes(const struct table_delta *changes,
				       uint64_t after)
{
	GHashTable *later = g_hash_table_new(g_str_hash, g_str_equal);
	struct store_row *rows = g_new0(struct store_row, changes->count);
	struct table_delta out = {
		.after = MAX(changes->after, after),
		.upto = changes->upto,
	};
	size_t next = changes->count;
	size_t i;

	/* From the last row on, so that the result is in version order. */
	for (i = changes->count; i-- > 0;)
		if (changes->rows[i].version > out.after &&
		    g_hash_table_add(later, changes->rows[i].key))
			rows[--next] = changes->rows[i];
	g_hash_table_destroy(later);
	out.count = changes->count - next;
	memmove(rows, rows + next, out.count * sizeof(*rows));
	out.rows = rows;
	return out;
}

/* Sends the changes of a table after a version. */
static void send_changes(struct change_push *push, enum copied_table table,
			 const struct table_delta *recent, uint64_t after,
			 uint64_t term, const GArray *to)
{
	struct table_delta changes = last_changes(recent, after);
	GByteArray *bytes = table_copy_encode(&changes);
	TableCopyPart header = TABLE_COPY_PART__INIT;

	event_log_write(push->options.log, bytes ? "info" : "warning", "copies",
			"event=%s table=%u after=%" PRIu64 " version=%" PRIu64
			" rows=%zu bytes=%u vms=%u",
			bytes ? "pushed" : "too_large", table,
			store_version_own(changes.after),
			store_version_own(changes.upto), changes.count,
			bytes ? bytes->len : 0, to->len);
	if (bytes) {
		header.term = term;
		header.table = table;
		header.upto = changes.upto;
		header.is_changes = true;
		header.check = (uint32_t)crc32(0, bytes->data, bytes->len);
		bulk_sender_send(push->options.sender, bytes, &header, to,
				 table == COPIED_OPERATOR_ROWS
					 ? BULK_CONFIGURATION
					 : BULK_CHANGES);
		g_byte_array_unref(bytes);
	}
	g_free((void *)changes.rows);
}

static void send_table(struct change_push *push, enum copied_table table,
		       uint64_t term, const GArray *to)
{
	struct pushed *pushed = &push->tables[table];
	double now = loop_now(push->options.loop);
	TableChanges *small = change_push_message(push, table);
	struct table_delta recent;

	if (small) {
		delta_message_free(small);
		return;
	}
	recent = table_watch_recent_delta(pushed->watch);
	if (recent.upto > pushed->upto) {
		send_changes(push, table, &recent, pushed->upto, term, to);
		pushed->upto = recent.upto;
		pushed->sent_s = now;
	} else if (recent.upto > pushed->repeated_upto &&
		   now >= pushed->sent_s + REPEAT_S) {
		send_changes(push, table, &recent, 0, term, to);
		pushed->repeated_upto = recent.upto;
	}
}

void change_push_send(struct change_push *push, uint64_t term, const GArray *to)
{
	send_table(push, COPIED_OPERATOR_ROWS, term, to);
	send_table(push, COPIED_UPSTREAM_ROWS, term, to);
}

void change_push_apply(struct change_push *push, const TableCopyPart *part)
{
	struct pushed *pushed;
	TableChanges *changes;

	if (part->table >= COPIED_TABLES)
		return;
	pushed = &push->tables[part->table];
	changes = table_copy_parts_add(pushed->parts, part);
	if (!changes)
		return;
	delta_message_apply(pushed->watch, changes);
	table_changes__free_unpacked(changes, NULL);
}

void change_push_observe(struct change_push *push, enum copied_table table,
			 const TableChanges *changes)
{
	struct table_watch *watch = push->tables[table].watch;

	if (changes)
		delta_message_apply(watch, changes);
	else
		table_watch_expect_changes(watch, PUSH_WAIT_S);
}
