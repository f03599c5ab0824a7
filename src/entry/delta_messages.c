#include "entry/delta_messages.h"

/* Builds the message of one row, which refers to the row's key and value. */
static ChangedRow *row_message(const struct store_row *from)
{
	ChangedRow *row = g_new(ChangedRow, 1);

	changed_row__init(row);
	row->key = from->key;
	row->version = from->version;
	row->removed = from->removed;
	row->value.data = (uint8_t *)from->value->str;
	row->value.len = from->value->len;
	return row;
}

TableChanges *delta_message_from(const struct table_delta *changes)
{
	TableChanges *message = g_new(TableChanges, 1);
	size_t i;

	table_changes__init(message);
	message->after = changes->after;
	message->upto = changes->upto;
	message->n_rows = changes->count;
	message->rows = g_new(ChangedRow *, changes->count);
	for (i = 0; i < changes->count; i++)
		message->rows[i] = row_message(&changes->rows[i]);
	return message;
}

TableChanges *delta_message_create(struct table_watch *table_watch)
{
	struct table_delta changes = table_watch_recent_delta(table_watch);

	return delta_message_from(&changes);
}

void delta_message_free(TableChanges *message)
{
	size_t i;

	if (!message)
		return;
	for (i = 0; i < message->n_rows; i++)
		g_free(message->rows[i]);
	g_free(message->rows);
	g_free(message);
}

/* Passes the rows of a message to a function of the watch. */
static void apply_message(struct table_watch *table_watch,
			  const TableChanges *message,
			  void (*apply)(struct table_watch *table_watch,
					const struct table_delta *changes))
{
	struct table_delta changes = { 0 };
	struct store_row *rows;
	size_t i;

	rows = g_new0(struct store_row, message->n_rows);
	for (i = 0; i < message->n_rows; i++) {
		const ChangedRow *from = message->rows[i];

		rows[i].key = from->key;
		rows[i].version = from->version;
		rows[i].removed = from->removed;
		rows[i].value = g_string_new_len((const char *)from->value.data,
						 (gssize)from->value.len);
	}
	changes.after = message->after;
	changes.upto = message->upto;
	changes.rows = rows;
	changes.count = message->n_rows;
	apply(table_watch, &changes);
	for (i = 0; i < message->n_rows; i++)
		g_string_free(rows[i].value, TRUE);
	g_free(rows);
}

void delta_message_apply(struct table_watch *table_watch,
			 const TableChanges *message)
{
	if (message)
		apply_message(table_watch, message, table_watch_apply_delta);
}

void copy_message_apply(struct table_watch *table_watch,
			const TableChanges *message)
{
	apply_message(table_watch, message, table_watch_apply_copy);
}
