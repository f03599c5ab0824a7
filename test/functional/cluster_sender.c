#include "cluster_sender.h"

#include <glib.h>

struct crowd_message sender_message(const struct sender *sender)
{
	GString *block = g_string_new(sender->prefix);
	struct crowd_message message = {
		.head = sender->head,
		.heads = sender->head != NULL,
		.tail = sender->tail,
		.piece_len = sender->piece_len,
		.no_read = sender->no_read,
	};
	char *filling = g_strnfill(sender->filling, 'x');
	char *field = g_strnfill(SENDER_FIELD_BYTES, 'f');
	unsigned int i;

	for (i = 0; i < sender->fields; i++)
		g_string_append_printf(block, "F%u: %s\r\n", i, field);
	g_free(field);
	g_string_append(block, filling);
	if (sender->suffix)
		g_string_append(block, sender->suffix);
	g_free(filling);
	message.block_len = MAX(block->len, 1);
	message.block_bytes = block->len * sender->repeats - sender->left_out;
	message.block = g_string_free(block, FALSE);
	return message;
}

void sender_free_message(struct crowd_message *message)
{
	g_free((char *)message->block);
}
