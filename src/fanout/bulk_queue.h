/**
 * Queue of large messages that are sent at the speed of the VM's link, so that
 * they neither overflow the socket's buffer nor delay the small messages
 * between them by much. Times are seconds on the clock of
 * the caller. Does no I/O.
 */
#ifndef FANOUT_BULK_QUEUE_H
#define FANOUT_BULK_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

struct bulk_queue;

/** Kinds of items, the one that goes first at first. */
enum bulk_kind {
	BULK_CONFIGURATION,
	BULK_CHANGES,
	BULK_COPIES,
	BULK_KINDS,
};

/**
 * Creates an empty queue.
 *
 * @param link_mbps speed of the link in Mbit/s, of which the queue takes a part
 * @param free_item frees an item that was not taken
 */
struct bulk_queue *bulk_queue_create(double link_mbps,
				     GDestroyNotify free_item);
/** Frees the queue and its items; NULL is allowed. */
void bulk_queue_destroy(struct bulk_queue *queue);

/** Appends an item behind the others of its kind. */
void bulk_queue_add(struct bulk_queue *queue, gpointer item,
		    enum bulk_kind kind);

/** Returns the seconds until the next item may be sent; less than 0: none is
 * queued. */
double bulk_queue_wait_s(const struct bulk_queue *queue, double now_s);

/** Takes the next item, which the caller frees; NULL if none may be sent now.
 */
gpointer bulk_queue_take(struct bulk_queue *queue, double now_s);

/** Notes how many bytes were sent for the item that was taken. */
void bulk_queue_sent(struct bulk_queue *queue, size_t bytes, double now_s);

/** Whether items of a kind are queued. */
bool bulk_queue_has(const struct bulk_queue *queue, enum bulk_kind kind);

#endif
