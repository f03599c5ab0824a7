#include "entry/orders.h"

/* Timeout of a release, in seconds. Upstreams answer a release once requests in
 * progress for the released keys have ended. */
#define RELEASE_TIMEOUT_S 1.2
/* HTTP statuses of answers to orders: the order was carried out; the upstream
 * rejects it because it knows a higher fencing token. */
#define STATUS_OK 200
#define STATUS_FENCED 409
/* TCP user timeout: a connection whose sent bytes stay unacknowledged for this
 * long is closed. */
#define USER_TIMEOUT_MS 500
/* Seconds without traffic before a TCP keep-alive probe, and between probes. */
#define KEEPALIVE_S 1
/* Most releases that are sent to an upstream at the same time, each over a
 * connection of its own. */
#define RELEASES_AT_ONCE 8
/* Largest body of an answer to a grant, in bytes. */
#define ANSWER_BYTES_MAX ((size_t)64 << 10)

struct orders {
	struct loop *loop;
	struct links *links;
	const struct protocol *protocol;
	const struct orders_ops *ops;
	void *ctx;
	/** Grant queue of each upstream: struct upstream to struct grant_queue.
	 */
	GHashTable *grant_queues;
	/** Releases (struct order) that were sent and aren't answered yet. */
	GQueue releases;
	/** Releases (struct order) that aren't sent yet, oldest first. */
	GQueue waiting_releases;
};

/* A grant or release that is queued or sent. */
struct order {
	struct orders *orders;
	struct upstream *upstream;
	uint32_t id;
	/** The fencing token was never sent: any incarnation of the upstream
	 * may get the grant, so a new connection may be opened for it. */
	bool fresh;
	/** Number of the grant queue's connection at the time at which the
	 * order was queued. */
	unsigned int connection_number;
	/** The HTTP request that carries the order. */
	GString *message;
	/** Connection of a release; NULL for a grant. */
	struct link *link;
	/** Fires when the order has timed out. */
	ev_timer timer;
	order_done_fn done;
	void *ctx;
	/** List node of a release in orders->releases or
	 * orders->waiting_releases. */
	GList node;
};

/* Pending grants of one upstream and the connection that carries them. */
struct grant_queue {
	struct orders *orders;
	struct upstream *upstream;
	struct http_channel *channel;
	/** Counts the connections opened so far; numbers the current one. */
	unsigned int connection_number;
	/** A grant was answered on the current connection: the next answer may
	 * be a copy of that one. */
	bool answered;
	/** The grant that was sent and isn't answered yet, or NULL. */
	struct order *current;
	/** Grants (struct order) that aren't sent yet. */
	GQueue pending;
};

static void order_free(struct order *order)
{
	ev_timer_stop(order->orders->loop->ev, &order->timer);
	upstream_unref(order->upstream);
	g_string_free(order->message, TRUE);
	g_free(order);
}

/* Frees an order and reports its result. */
static void order_end(struct order *order, enum order_result result,
		      const char *handover)
{
	order_done_fn done = order->done;
	void *ctx = order->ctx;
	uint32_t id = order->id;

	order_free(order);
	done(ctx, id, result, handover);
}

static struct order *order_create(struct orders *orders,
				  struct upstream *upstream,
				  const struct key_order *from,
				  order_done_fn done, void *ctx)
{
	struct order *order = g_new0(struct order, 1);

	order->orders = orders;
	order->upstream = upstream_ref(upstream);
	order->id = from->id;
	order->fresh = from->fresh;
	order->done = done;
	order->ctx = ctx;
	order->node.data = order;
	return order;
}

static enum order_result status_to_result(unsigned int status)
{
	if (status == STATUS_OK)
		return ORDER_DONE;
	if (status == STATUS_FENCED)
		return ORDER_FENCED;
	/* With a 4xx answer the order had no effect, for example because
	 * another upstream runs at the address. */
	return status / 100 == 4 ? ORDER_NOT_SENT : ORDER_UNKNOWN;
}

static void start_timer(struct order *order,
			void (*fn)(struct ev_loop *, ev_timer *, int),
			double after_s)
{
	struct ev_loop *ev = order->orders->loop->ev;

	ev_timer_init(&order->timer, fn, after_s, 0);
	order->timer.data = order;
	ev_now_update(ev);
	ev_timer_start(ev, &order->timer);
}

/* --- grants --- */

static void grant_queue_send_next(struct grant_queue *queue);

static void grant_queue_close(struct grant_queue *queue)
{
	http_channel_destroy(queue->channel);
	queue->channel = NULL;
}

/* Closes the grant connection after it broke or a grant timed out, ends the
 * current grant with a result, and sends the next grant.
 *
 * @param doubted answers on the connection may have been those to earlier
 *        grants */
static void grant_queue_disconnected(struct grant_queue *queue,
				     enum order_result result, bool doubted)
{
	struct orders *orders = queue->orders;
	struct order *order = queue->current;

	queue->current = NULL;
	grant_queue_close(queue);
	if (doubted && queue->answered)
		orders->ops->doubted(orders->ctx, queue->upstream->entry.id);
	orders->ops->disconnected(orders->ctx, queue->upstream->entry.id);
	if (order)
		order_end(order, result, NULL);
	grant_queue_send_next(queue);
}

/* Whether an answer on a connection that carried earlier grants can't be
 * believed: it says that the grant has no effect, or another answer follows. */
static bool is_doubtful(const struct grant_queue *queue,
			enum order_result result)
{
	return queue->answered &&
	       (result == ORDER_FENCED || result == ORDER_NOT_SENT ||
		http_channel_has_surplus(queue->channel));
}

static bool on_granted(void *ctx, struct http_channel *channel,
		       const struct http_reply *reply)
{
	struct grant_queue *queue = ctx;
	struct order *order = queue->current;
	enum order_result result = status_to_result(reply->status);

	(void)channel;
	if (is_doubtful(queue, result)) {
		grant_queue_disconnected(queue, ORDER_UNKNOWN, true);
		return true;
	}
	queue->answered = true;
	queue->current = NULL;
	if (order)
		order_end(order, result, NULL);
	grant_queue_send_next(queue);
	return true;
}

static void on_grant_ended(void *ctx, struct http_channel *channel,
			   enum http_channel_end end)
{
	grant_queue_disconnected(ctx,
				 end == HTTP_CHANNEL_RESET ||
						 end == HTTP_CHANNEL_BROKEN
					 ? ORDER_UNKNOWN
					 : ORDER_NOT_SENT,
				 http_channel_has_surplus(channel));
}

static bool may_send_grant(void *ctx, struct http_channel *channel)
{
	const struct orders *orders = ((struct grant_queue *)ctx)->orders;

	(void)channel;
	return orders->ops->may_send_orders(orders->ctx);
}

static const struct http_channel_ops channel_ops = {
	.reply = on_granted,
	.ended = on_grant_ended,
	.may_send = may_send_grant,
};

static void on_grant_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct order *order = timer->data;
	struct grant_queue *queue = g_hash_table_lookup(
		order->orders->grant_queues, order->upstream);

	(void)loop;
	(void)events;
	grant_queue_disconnected(queue,
				 http_channel_may_have_sent(queue->channel)
					 ? ORDER_UNKNOWN
					 : ORDER_NOT_SENT,
				 true);
}

/* Opens a new grant connection, in place of the current one. */
static void grant_queue_open(struct grant_queue *queue)
{
	static const struct http_channel_options options = {
		.user_timeout_ms = USER_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.body_bytes = ANSWER_BYTES_MAX,
	};
	struct orders *orders = queue->orders;

	grant_queue_close(queue);
	queue->answered = false;
	queue->connection_number++;
	orders->ops->reconnecting(orders->ctx, queue->upstream->entry.id);
	queue->channel = http_channel_create(orders->loop,
					     &queue->upstream->entry.address,
					     &options, &channel_ops, queue);
}

static bool grant_queue_connected(const struct grant_queue *queue)
{
	return queue->channel && http_channel_reusable(queue->channel);
}

/* Whether a grant may be sent now. Opens a connection if needed, but only for a
 * grant with a new fencing token: other grants must reach the incarnation of
 * the upstream that has the keys, which is certain only on the connection that
 * was open when they were queued. */
static bool grant_queue_admits(struct grant_queue *queue,
			       const struct order *order)
{
	struct orders *orders = queue->orders;

	if (!orders->ops->may_send_orders(orders->ctx))
		return false;
	if (grant_queue_connected(queue) &&
	    (order->fresh ||
	     order->connection_number == queue->connection_number))
		return true;
	if (!order->fresh) {
		orders->ops->disconnected(orders->ctx,
					  queue->upstream->entry.id);
		return false;
	}
	grant_queue_open(queue);
	return true;
}

static void grant_queue_send_next(struct grant_queue *queue)
{
	struct order *order;

	while (!queue->current && (order = g_queue_pop_head(&queue->pending))) {
		if (!grant_queue_admits(queue, order)) {
			order_end(order, ORDER_NOT_SENT, NULL);
			continue;
		}
		queue->current = order;
		start_timer(order, on_grant_timeout, GRANT_TIMEOUT_S);
		http_channel_send(queue->channel,
				  (struct str){ order->message->str,
						order->message->len },
				  false);
	}
}

static void grant_queue_free(gpointer data)
{
	struct grant_queue *queue = data;
	struct order *order;

	grant_queue_close(queue);
	if (queue->current)
		order_free(queue->current);
	while ((order = g_queue_pop_head(&queue->pending)))
		order_free(order);
	upstream_unref(queue->upstream);
	g_free(queue);
}

static struct grant_queue *ensure_grant_queue(struct orders *orders,
					      struct upstream *upstream)
{
	struct grant_queue *queue =
		g_hash_table_lookup(orders->grant_queues, upstream);

	if (queue)
		return queue;
	queue = g_new0(struct grant_queue, 1);
	queue->orders = orders;
	queue->upstream = upstream_ref(upstream);
	g_queue_init(&queue->pending);
	g_hash_table_insert(orders->grant_queues, upstream, queue);
	return queue;
}

/* Returns the part of an order that is sent to the upstream. */
static struct key_grant key_grant_of(const struct key_order *order)
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
		  const struct key_order *from, order_done_fn done, void *ctx)
{
	struct key_grant grant = key_grant_of(from);
	struct grant_queue *queue = ensure_grant_queue(orders, upstream);
	struct order *order = order_create(orders, upstream, from, done, ctx);

	order->connection_number = queue->connection_number;
	order->message = orders->protocol->grant(&upstream->entry, &grant);
	g_queue_push_tail(&queue->pending, order);
	grant_queue_send_next(queue);
}

/* --- releases --- */

static void releases_send(struct orders *orders);

static void release_end(struct order *order, enum order_result result,
			const char *handover)
{
	struct orders *orders = order->orders;

	g_queue_unlink(&orders->releases, &order->node);
	order_end(order, result, handover);
	releases_send(orders);
}

static bool on_released(void *user, const struct http_reply *reply)
{
	struct order *order = user;
	char *handover = order->orders->protocol->handover(reply->headers);

	release_end(order, status_to_result(reply->status), handover);
	g_free(handover);
	return true;
}

static void on_release_ended(void *user, enum http_channel_end end)
{
	release_end(user,
		    end == HTTP_CHANNEL_RESET || end == HTTP_CHANNEL_BROKEN
			    ? ORDER_UNKNOWN
			    : ORDER_NOT_SENT,
		    NULL);
}

static bool may_send_release(void *user)
{
	const struct orders *orders = ((struct order *)user)->orders;

	return orders->ops->may_send_orders(orders->ctx);
}

static const struct link_ops release_ops = {
	.reply = on_released,
	.ended = on_release_ended,
	.may_send = may_send_release,
};

static void on_release_timeout(struct ev_loop *loop, ev_timer *timer,
			       int events)
{
	struct order *order = timer->data;

	(void)loop;
	(void)events;
	link_close(order->link);
	release_end(order, ORDER_UNKNOWN, NULL);
}

/* Sends a release over a new connection, which is closed after the answer. */
static void release_send(struct order *order)
{
	struct orders *orders = order->orders;
	struct link_request request = {
		.message = { order->message->str, order->message->len },
		.new_connection = true,
	};

	g_queue_push_tail_link(&orders->releases, &order->node);
	start_timer(order, on_release_timeout, RELEASE_TIMEOUT_S);
	order->link = links_send(orders->links, order->upstream, &request,
				 &release_ops, order);
	link_retire(order->link);
}

/* Returns the number of releases that were sent to an upstream and aren't
 * answered yet. */
static unsigned int releases_in_flight(const struct orders *orders,
				       const struct upstream *upstream)
{
	unsigned int count = 0;
	GList *node;

	for (node = orders->releases.head; node; node = node->next)
		count += ((struct order *)node->data)->upstream == upstream;
	return count;
}

/* Sends the waiting releases for which there is room at their upstreams. */
static void releases_send(struct orders *orders)
{
	GList *node, *next;

	for (node = orders->waiting_releases.head; node; node = next) {
		struct order *order = node->data;

		next = node->next;
		if (releases_in_flight(orders, order->upstream) >=
		    RELEASES_AT_ONCE)
			continue;
		g_queue_unlink(&orders->waiting_releases, node);
		if (orders->ops->may_send_orders(orders->ctx))
			release_send(order);
		else
			order_end(order, ORDER_NOT_SENT, NULL);
	}
}

void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct key_order *from, order_done_fn done, void *ctx)
{
	struct key_grant grant = key_grant_of(from);
	struct order *order = order_create(orders, upstream, from, done, ctx);

	order->message = orders->protocol->release(&upstream->entry, &grant);
	g_queue_push_tail_link(&orders->waiting_releases, &order->node);
	releases_send(orders);
}

/* --- create and destroy --- */

struct orders *orders_create(struct loop *loop, struct links *links,
			     const struct protocol *protocol,
			     const struct orders_ops *ops, void *ctx)
{
	struct orders *orders = g_new0(struct orders, 1);

	orders->loop = loop;
	orders->links = links;
	orders->protocol = protocol;
	orders->ops = ops;
	orders->ctx = ctx;
	orders->grant_queues =
		g_hash_table_new_full(NULL, NULL, NULL, grant_queue_free);
	g_queue_init(&orders->releases);
	g_queue_init(&orders->waiting_releases);
	return orders;
}

void orders_cancel(struct orders *orders)
{
	GList *node;

	g_hash_table_remove_all(orders->grant_queues);
	while ((node = orders->releases.head)) {
		struct order *order = node->data;

		g_queue_unlink(&orders->releases, node);
		link_close(order->link);
		order_free(order);
	}
	while ((node = orders->waiting_releases.head)) {
		g_queue_unlink(&orders->waiting_releases, node);
		order_free(node->data);
	}
}

void orders_destroy(struct orders *orders)
{
	if (!orders)
		return;
	orders_cancel(orders);
	g_hash_table_destroy(orders->grant_queues);
	g_free(orders);
}
