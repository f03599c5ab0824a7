/**
 * Sends encoded copies and changes of tables to other VMs, in parts and at the
 * speed of this VM's link.
 */
#ifndef ENTRY_BULK_SENDER_H
#define ENTRY_BULK_SENDER_H

#include "entry/datagrams.h"
#include "fanout/bulk_queue.h"

struct bulk_sender;

/** Creates a sender; loop and datagrams must outlive it.
 *
 * @param link_mbps speed of this VM's link in Mbit/s */
struct bulk_sender *bulk_sender_create(const struct loop *loop,
				       struct datagrams *datagrams,
				       double link_mbps);
/** Frees the sender and what it has not sent; NULL is allowed. */
void bulk_sender_destroy(struct bulk_sender *sender);

/**
 * Sends an encoded table.
 *
 * @param bytes result of table_copy_encode(); a reference is taken
 * @param header what all parts have in common; copied
 * @param to recipients (struct fanout_target); copied
 * @param kind determines what goes first
 */
void bulk_sender_send(struct bulk_sender *sender, GByteArray *bytes,
		      const TableCopyPart *header, const GArray *to,
		      enum bulk_kind kind);

/** Whether parts of a kind wait to be sent. */
bool bulk_sender_has(const struct bulk_sender *sender, enum bulk_kind kind);

#endif
