#include "entry/bulk_sender.h"

#include "entry/table_copy.h"

/* A part that waits to be sent. */
struct waiting_part {
	GByteArray *bytes;
	TableCopyPart header;
	unsigned int index;
	GArray *to;
};

struct bulk_sender {
	const struct loop *loop;
	struct datagrams *datagrams;
	/** Parts (struct waiting_part). */
	struct bulk_queue *queue;
	ev_timer timer;
};

static void free_part(gpointer data)
{
	struct waiting_part *part = data;

	g_byte_array_unref(part->bytes);
	g_array_unref(part->to);
	g_free(part);
}

/* Sends a part; returns the bytes that this VM sent. */
static size_t send_part(struct bulk_sender *sender, struct waiting_part *part)
{
	PeerMessage message = PEER_MESSAGE__INIT;

	table_copy_part(part->bytes, part->index, &part->header);
	message.kind_case = PEER_MESSAGE__KIND_TABLE_COPY;
	message.table_copy = &part->header;
	return datagrams_broadcast(sender->datagrams, part->to, FANOUT_SPARING,
				   &message);
}

/* Sends the parts that may be sent now, and sets the timer for the next. */
static void run(struct bulk_sender *sender)
{
	struct waiting_part *part;
	double wait_s;

	while ((part = bulk_queue_take(sender->queue,
				       loop_now(sender->loop)))) {
		bulk_queue_sent(sender->queue, send_part(sender, part),
				loop_now(sender->loop));
		free_part(part);
	}
	wait_s = bulk_queue_wait_s(sender->queue, loop_now(sender->loop));
	if (wait_s < 0)
		return;
	ev_timer_stop(sender->loop->ev, &sender->timer);
	ev_timer_set(&sender->timer, wait_s, 0);
	ev_timer_start(sender->loop->ev, &sender->timer);
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	run(timer->data);
}

struct bulk_sender *bulk_sender_create(const struct loop *loop,
				       struct datagrams *datagrams,
				       double link_mbps)
{
	struct bulk_sender *sender = g_new0(struct bulk_sender, 1);

	sender->loop = loop;
	sender->datagrams = datagrams;
	sender->queue = bulk_queue_create(link_mbps, free_part);
	ev_timer_init(&sender->timer, on_timer, 0, 0);
	sender->timer.data = sender;
	return sender;
}

void bulk_sender_destroy(struct bulk_sender *sender)
{
	if (!sender)
		return;
	ev_timer_stop(sender->loop->ev, &sender->timer);
	bulk_queue_destroy(sender->queue);
	g_free(sender);
}

void bulk_sender_send(struct bulk_sender *sender, GByteArray *bytes,
		      const TableCopyPart *header, const GArray *to,
		      enum bulk_kind kind)
{
	GArray *targets =
		g_array_new(FALSE, FALSE, sizeof(struct fanout_target));
	unsigned int i;

	g_array_append_vals(targets, to->data, to->len);
	for (i = 0; i < table_copy_part_count(bytes); i++) {
		struct waiting_part *part = g_new0(struct waiting_part, 1);

		part->bytes = g_byte_array_ref(bytes);
		part->header = *header;
		part->index = i;
		part->to = g_array_ref(targets);
		bulk_queue_add(sender->queue, part, kind);
	}
	g_array_unref(targets);
	run(sender);
}

bool bulk_sender_has(const struct bulk_sender *sender, enum bulk_kind kind)
{
	return bulk_queue_has(sender->queue, kind);
}
