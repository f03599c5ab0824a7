/**
 * Changes of followed tables as they go from the leader to other VMs.
 */
#ifndef ENTRY_DELTA_MESSAGES_H
#define ENTRY_DELTA_MESSAGES_H

#include "entry/table_watch.h"
#include "wire/entry.pb-c.h"

/** The newest changes of a table. Freed with delta_message_free(). */
TableChanges *delta_message_create(struct table_watch *table_watch);
void delta_message_free(TableChanges *message);

/** Takes changes that the leader passed on; NULL is allowed. */
void delta_message_apply(struct table_watch *table_watch,
			 const TableChanges *message);

#endif
