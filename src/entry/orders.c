#include "entry/orders.h"

/* A release is answered when the work that runs has ended. */
#define RELEASE_S 1.2
#define STATUS_OK 200
#define STATUS_FENCED 409
/* A grant that is not acknowledged for so long met a dead connection. */
#define USER_TIMEOUT_MS 500
#define KEEPALIVE_S 1
#define ANSWER_BYTES ((size_t)64 << 10)

struct orders {
	struct loop *loop;
	struct links *links;
	const struct protocol *protocol;
	const struct orders_ops *ops;
	void *ctx;
	/** struct lane by upstream. */
	GHashTable *lanes;
	/** Releases in progress. */
	GQueue releases;
};

struct order {
	struct orders *orders;
	struct upstream *upstream;
	uint32_t id;
	bool fresh;
	/** The lane's connection when it was given. */
	unsigned int connection;
	GString *message;
	/** Of a release. */
	struct link *link;
	ev_timer timer;
	order_done_fn done;
	void *ctx;
	GList node;
};

/* The grants of one upstream and the connection for them. */
struct lane {
	struct orders *orders;
	struct upstream *upstream;
	struct http_channel *channel;
	/** Number of the connection. */
	unsigned int connection;
	struct order *current;
	GQueue pending;
};

static void order_free(struct order *order)
{
	ev_timer_stop(order->orders->loop->ev, &order->timer);
	upstream_unref(order->upstream);
	g_string_free(order->message, TRUE);
	g_free(order);
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

static enum order_result result_of(unsigned int status)
{
	if (status == STATUS_OK)
		return ORDER_DONE;
	if (status == STATUS_FENCED)
		return ORDER_FENCED;
	/* Refused by what answers there: it may be another upstream. */
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

static void lane_next(struct lane *lane);

static void lane_close(struct lane *lane)
{
	http_channel_destroy(lane->channel);
	lane->channel = NULL;
}

/* The current grant ended with its connection. */
static void lane_broken(struct lane *lane, enum order_result result)
{
	struct orders *orders = lane->orders;
	struct order *order = lane->current;

	lane->current = NULL;
	lane_close(lane);
	orders->ops->broken(orders->ctx, lane->upstream->entry.id);
	if (order)
		order_end(order, result, NULL);
	lane_next(lane);
}

static bool on_granted(void *ctx, struct http_channel *channel,
		       const struct http_reply *reply)
{
	struct lane *lane = ctx;
	struct order *order = lane->current;

	(void)channel;
	lane->current = NULL;
	if (order)
		order_end(order, result_of(reply->status), NULL);
	lane_next(lane);
	return true;
}

static void on_grant_ended(void *ctx, struct http_channel *channel,
			   enum http_channel_end end)
{
	(void)channel;
	lane_broken(ctx, end == HTTP_CHANNEL_RESET || end == HTTP_CHANNEL_BROKEN
				 ? ORDER_UNKNOWN
				 : ORDER_NOT_SENT);
}

static const struct http_channel_ops channel_ops = {
	.reply = on_granted,
	.ended = on_grant_ended,
};

static void on_grant_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct order *order = timer->data;
	struct lane *lane =
		g_hash_table_lookup(order->orders->lanes, order->upstream);

	(void)loop;
	(void)events;
	lane_broken(lane, http_channel_may_have_sent(lane->channel)
				  ? ORDER_UNKNOWN
				  : ORDER_NOT_SENT);
}

static void lane_open(struct lane *lane)
{
	static const struct http_channel_options options = {
		.user_timeout_ms = USER_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.body_bytes = ANSWER_BYTES,
	};
	struct orders *orders = lane->orders;

	lane_close(lane);
	lane->connection++;
	orders->ops->reconnects(orders->ctx, lane->upstream->entry.id);
	lane->channel = http_channel_create(orders->loop,
					    &lane->upstream->entry.address,
					    &options, &channel_ops, lane);
}

static bool lane_stands(const struct lane *lane)
{
	return lane->channel && http_channel_reusable(lane->channel);
}

/* Whether a grant may go out now; opens a connection for one that may reach
 * any life. */
static bool lane_admits(struct lane *lane, const struct order *order)
{
	struct orders *orders = lane->orders;

	if (!orders->ops->may_order(orders->ctx))
		return false;
	if (lane_stands(lane) &&
	    (order->fresh || order->connection == lane->connection))
		return true;
	if (!order->fresh) {
		orders->ops->broken(orders->ctx, lane->upstream->entry.id);
		return false;
	}
	lane_open(lane);
	return true;
}

static void lane_next(struct lane *lane)
{
	struct order *order;

	while (!lane->current && (order = g_queue_pop_head(&lane->pending))) {
		if (!lane_admits(lane, order)) {
			order_end(order, ORDER_NOT_SENT, NULL);
			continue;
		}
		lane->current = order;
		start_timer(order, on_grant_timeout, ORDER_S);
		http_channel_send(lane->channel,
				  (struct str){ order->message->str,
						order->message->len },
				  false);
	}
}

static void lane_free(gpointer data)
{
	struct lane *lane = data;
	struct order *order;

	lane_close(lane);
	if (lane->current)
		order_free(lane->current);
	while ((order = g_queue_pop_head(&lane->pending)))
		order_free(order);
	upstream_unref(lane->upstream);
	g_free(lane);
}

static struct lane *ensure_lane(struct orders *orders,
				struct upstream *upstream)
{
	struct lane *lane = g_hash_table_lookup(orders->lanes, upstream);

	if (lane)
		return lane;
	lane = g_new0(struct lane, 1);
	lane->orders = orders;
	lane->upstream = upstream_ref(upstream);
	g_queue_init(&lane->pending);
	g_hash_table_insert(orders->lanes, upstream, lane);
	return lane;
}

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
	struct lane *lane = ensure_lane(orders, upstream);
	struct order *order = order_create(orders, upstream, from, done, ctx);

	order->connection = lane->connection;
	order->message = orders->protocol->grant(&upstream->entry, &grant);
	g_queue_push_tail(&lane->pending, order);
	lane_next(lane);
}

/* --- releases --- */

static void release_end(struct order *order, enum order_result result,
			const char *handover)
{
	g_queue_unlink(&order->orders->releases, &order->node);
	order_end(order, result, handover);
}

static bool on_released(void *user, const struct http_reply *reply)
{
	struct order *order = user;
	char *handover = order->orders->protocol->handover(reply->headers);

	release_end(order, result_of(reply->status), handover);
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

static const struct link_ops release_ops = {
	.reply = on_released,
	.ended = on_release_ended,
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

void orders_release(struct orders *orders, struct upstream *upstream,
		    const struct key_order *from, order_done_fn done, void *ctx)
{
	struct key_grant grant = key_grant_of(from);
	struct order *order = order_create(orders, upstream, from, done, ctx);
	struct link_request request = { .avoid_stale = true };

	order->message = orders->protocol->release(&upstream->entry, &grant);
	request.message =
		(struct str){ order->message->str, order->message->len };
	g_queue_push_tail_link(&orders->releases, &order->node);
	start_timer(order, on_release_timeout, RELEASE_S);
	order->link = links_send(orders->links, upstream, &request,
				 &release_ops, order);
}

/* --- life --- */

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
	orders->lanes = g_hash_table_new_full(NULL, NULL, NULL, lane_free);
	g_queue_init(&orders->releases);
	return orders;
}

void orders_cancel(struct orders *orders)
{
	GList *node;

	g_hash_table_remove_all(orders->lanes);
	while ((node = orders->releases.head)) {
		struct order *order = node->data;

		g_queue_unlink(&orders->releases, node);
		link_close(order->link);
		order_free(order);
	}
}

void orders_destroy(struct orders *orders)
{
	if (!orders)
		return;
	orders_cancel(orders);
	g_hash_table_destroy(orders->lanes);
	g_free(orders);
}
