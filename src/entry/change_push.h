/**
 * Sends changes of the watched tables that are too large for a heartbeat to all
 * VMs, compressed and in parts, so that these need not read them from the store
 * one after the other. Changes are sent at once, and a second time after a
 * moment, by other relays.
 */
#ifndef ENTRY_CHANGE_PUSH_H
#define ENTRY_CHANGE_PUSH_H

#include "base/event_log.h"
#include "entry/bulk_sender.h"
#include "entry/copy_exchange.h"
#include "entry/table_watch.h"

/** Largest changes of a table, in bytes, that a heartbeat carries. It repeats
 * them for a second, a dozen times each to the VMs that relay it. */
#define HEARTBEAT_CHANGES_MAX 4096u

struct change_push;

/** What the pointers refer to must outlive the object. */
struct change_push_options {
	const struct loop *loop;
	struct bulk_sender *sender;
	struct event_log *log;
	struct table_watch *watches[COPIED_TABLES];
};

/** Creates the object.
 *
 * @param options copied */
struct change_push *
change_push_create(const struct change_push_options *options);
/** Frees the object; NULL is allowed. */
void change_push_destroy(struct change_push *push);

/**
 * Returns the message with a table's recent changes for a heartbeat.
 *
 * @return the message, freed with delta_message_free(); NULL if it is too large
 *         for a heartbeat, so that change_push_send() sends the changes
 */
TableChanges *change_push_message(struct change_push *push,
				  enum copied_table table);

/**
 * Sends the large changes that are new or due a second time; to be called when
 * a heartbeat or relay is sent.
 *
 * @param term version of the lease with which the last known leader began
 * @param to all live VMs but this one (struct fanout_target)
 */
void change_push_send(struct change_push *push, uint64_t term,
		      const GArray *to);

/** Handles a part of pushed changes. */
void change_push_apply(struct change_push *push, const TableCopyPart *part);

/** Handles the changes of a table in a heartbeat or relay. If there are none,
 * the large ones follow, and the watch waits for them. */
void change_push_observe(struct change_push *push, enum copied_table table,
			 const TableChanges *changes);

#endif
