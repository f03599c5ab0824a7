#include "entry/orders.h"

/* A release is answered when the work that runs has ended. */
#define RELEASE_S 1.2
#define STATUS_OK 200
#define STATUS_FENCED 409

struct orders {
	order_broken_fn broken;
	void *broken_ctx;
	struct loop *loop;
	struct links *links;
	const struct protocol *protocol;
	/** Of struct order. */
	GQueue all;
};

struct order {
	struct orders *orders;
	struct upstream *upstream;
	uint32_t id;
	bool release;
	struct link *link;
	ev_timer timer;
	order_done_fn done;
	void *ctx;
	GList node;
};

struct orders *orders_create(struct loop *loop, struct links *links,
			     const struct protocol *protocol,
			     order_broken_fn broken, void *ctx)
{
	struct orders *orders = g_new0(struct orders, 1);

	orders->broken = broken;
	orders->broken_ctx = ctx;
	orders->loop = loop;
	orders->links = links;
	orders->protocol = protocol;
	g_queue_init(&orders->all);
	return orders;
}

static void order_free(struct order *order)
{
	ev_timer_stop(order->orders->loop->ev, &order->timer);
	g_queue_unlink(&order->orders->all, &order->node);
	upstream_unref(order->upstream);
	g_free(order);
}

void orders_cancel(struct orders *orders, void *ctx)
{
	GList *node, *next;

	for (node = orders->all.head; node; node = next) {
		struct order *order = node->data;

		next = node->next;
		if (ctx && order->ctx != ctx)
			continue;
		link_drop(order->link);
		order_free(order);
	}
}

void orders_destroy(struct orders *orders)
{
	if (!orders)
		return;
	orders_cancel(orders, NULL);
	g_free(orders);
}

static void order_end(struct order *order, enum order_result result,
		      const char *handover)
{
	order_done_fn done = order->done;
	void *ctx = order->ctx;
	uint32_t id = order->id;

	order_free(order);
	done(ctx, id, result, handover);
}

static enum order_result result_of(unsigned int status)
{
	if (status == STATUS_OK)
		return ORDER_DONE;
	if (status == STATUS_FENCED)
		return ORDER_FENCED;
	/* Refused by what answers there: it may be another upstream. */
	return status / 100 == 4 ? ORDER_NOT_SENT : ORDER_UNKNOWN;
}

static bool on_reply(void *user, const struct http_reply *reply)
{
	struct order *order = user;
	char *handover = NULL;

	if (order->release)
		handover = order->orders->protocol->handover(reply->headers);
	order_end(order, result_of(reply->status), handover);
	g_free(handover);
	return true;
}

/* The next connection may reach another life of the upstream. */
static void tell_broken(struct order *order)
{
	order->orders->broken(order->orders->broken_ctx,
			      order->upstream->entry.id);
}

static void on_ended(void *user, enum http_client_end end)
{
	tell_broken(user);
	order_end(user,
		  end == HTTP_CLIENT_RESET || end == HTTP_CLIENT_BROKEN
			  ? ORDER_UNKNOWN
			  : ORDER_NOT_SENT,
		  NULL);
}

static const struct link_ops link_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

void orders_idle_broken(struct orders *orders, const struct upstream *upstream)
{
	orders->broken(orders->broken_ctx, upstream->entry.id);
}

static void on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct order *order = timer->data;
	enum order_result result =
		link_sent(order->link) ? ORDER_UNKNOWN : ORDER_NOT_SENT;

	(void)loop;
	(void)events;
	link_drop(order->link);
	tell_broken(order);
	order_end(order, result, NULL);
}

static void send_order(struct orders *orders, struct upstream *upstream,
		       struct order *order, GString *message, double timeout_s)
{
	struct link_request request = {
		.message = { message->str, message->len },
		/* Whether it arrived is worth a fresh connection. */
		.careful = true,
		.control = true,
	};

	order->orders = orders;
	order->upstream = upstream_ref(upstream);
	order->node.data = order;
	g_queue_push_tail_link(&orders->all, &order->node);
	ev_timer_init(&order->timer, on_timeout, timeout_s, 0);
	order->timer.data = order;
	ev_now_update(orders->loop->ev);
	ev_timer_start(orders->loop->ev, &order->timer);
	order->link =
		links_send(orders->links, upstream, &request, &link_ops, order);
	g_string_free(message, TRUE);
}

static struct order *order_create(const struct keeper_order *from,
				  order_done_fn done, void *ctx)
{
	struct order *order = g_new0(struct order, 1);

	order->id = from->id;
	order->done = done;
	order->ctx = ctx;
	return order;
}

static struct key_grant key_grant_of(const struct keeper_order *order)
{
	return (struct key_grant){
		.first = order->first,
		.last = order->last,
		.fence = order->fence,
		.hold_s = order->hold_s,
		.handover = order->handover,
	};
}

void orders_grant(struct orders *orders, struct upstream *upstream,
		  const struct keeper_order *order, order_done_fn done,
		  void *ctx)
{
	struct key_grant grant = key_grant_of(order);

	send_order(orders, upstream, order_create(order, done, ctx),
		   orders->protocol->grant(&upstream->entry, &grant), ORDER_S);
}

void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct keeper_order *order, order_done_fn done,
		    void *ctx)
{
	struct key_grant grant = key_grant_of(order);
	struct order *out = order_create(order, done, ctx);

	out->release = true;
	send_order(orders, upstream, out,
		   orders->protocol->release(&upstream->entry, &grant),
		   RELEASE_S);
}
