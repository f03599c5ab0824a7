/**
 * Encodes table changes that the leader relays to other VMs, and applies them
 * on receipt.
 */
#ifndef ENTRY_DELTA_MESSAGES_H
#define ENTRY_DELTA_MESSAGES_H

#include "entry/table_watch.h"
#include "wire/entry.pb-c.h"

/**
 * Builds a message with changes. It refers to their rows, and must be freed
 * before them.
 *
 * @return the message; freed with delta_message_free()
 */
TableChanges *delta_message_from(const struct table_delta *changes);

/**
 * Builds a message with a table's recent changes. It refers to the watch's
 * rows, so it must be freed before the watch runs again.
 *
 * @return the message; freed with delta_message_free()
 */
TableChanges *delta_message_create(struct table_watch *table_watch);
/** Frees a message of delta_message_create(), but not the rows; NULL is
 * allowed. */
void delta_message_free(TableChanges *message);

/** Applies a copy of the whole table that the leader sent. */
void copy_message_apply(struct table_watch *table_watch,
			const TableChanges *message);

/**
 * Applies changes that the leader relayed.
 *
 * @param message NULL is allowed and has no effect
 */
void delta_message_apply(struct table_watch *table_watch,
			 const TableChanges *message);

#endif
