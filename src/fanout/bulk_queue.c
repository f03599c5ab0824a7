#include "fanout/bulk_queue.h"

/* Part of the link's speed that the queue takes. The rest is left to heartbeats
 * and requests. */
#define LINK_PART 0.8
#define BYTES_PER_MBIT 125000.0

struct bulk_queue {
	double bytes_per_s;
	GDestroyNotify free_item;
	/** The items of each kind. */
	GQueue items[BULK_KINDS];
	/** Time from which the link is free for the next item. */
	double free_s;
};

struct bulk_queue *bulk_queue_create(double link_mbps, GDestroyNotify free_item)
{
	struct bulk_queue *queue = g_new0(struct bulk_queue, 1);
	int kind;

	queue->bytes_per_s = link_mbps * BYTES_PER_MBIT * LINK_PART;
	queue->free_item = free_item;
	for (kind = 0; kind < BULK_KINDS; kind++)
		g_queue_init(&queue->items[kind]);
	return queue;
}

void bulk_queue_destroy(struct bulk_queue *queue)
{
	int kind;

	if (!queue)
		return;
	for (kind = 0; kind < BULK_KINDS; kind++)
		g_queue_clear_full(&queue->items[kind], queue->free_item);
	g_free(queue);
}

void bulk_queue_add(struct bulk_queue *queue, gpointer item,
		    enum bulk_kind kind)
{
	g_queue_push_tail(&queue->items[kind], item);
}

bool bulk_queue_has(const struct bulk_queue *queue, enum bulk_kind kind)
{
	return queue->items[kind].length > 0;
}

double bulk_queue_wait_s(const struct bulk_queue *queue, double now_s)
{
	int kind;

	for (kind = 0; kind < BULK_KINDS; kind++)
		if (bulk_queue_has(queue, kind))
			return MAX(queue->free_s - now_s, 0);
	return -1;
}

gpointer bulk_queue_take(struct bulk_queue *queue, double now_s)
{
	gpointer item = NULL;
	int kind;

	if (now_s < queue->free_s)
		return NULL;
	for (kind = 0; kind < BULK_KINDS && !item; kind++)
		item = g_queue_pop_head(&queue->items[kind]);
	return item;
}

void bulk_queue_sent(struct bulk_queue *queue, size_t bytes, double now_s)
{
	queue->free_s = now_s + (double)bytes / queue->bytes_per_s;
}
