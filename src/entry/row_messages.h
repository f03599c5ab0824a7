/**
 * Changes of followed tables as they go from the leader to other VMs.
 */
#ifndef ENTRY_ROW_MESSAGES_H
#define ENTRY_ROW_MESSAGES_H

#include "entry/follower.h"
#include "wire/entry.pb-c.h"

/** The newest changes of a table. Freed with row_message_free(). */
TableChanges *row_message_create(struct follower *follower);
void row_message_free(TableChanges *message);

/** Takes changes that the leader passed on; NULL is allowed. */
void row_message_take(struct follower *follower, const TableChanges *message);

#endif
