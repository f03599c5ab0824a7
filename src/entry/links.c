#include "entry/links.h"

/* A sent request that is not acknowledged for so long met a dead link. */
#define USER_TIMEOUT_MS 1000
#define KEEPALIVE_S 1
/* Largest answer that is held; answers are held whole before they go out. */
#define ANSWER_BYTES ((size_t)96 << 20)
/* Where an upstream does not say how long it keeps a connection. */
#define IDLE_DEFAULT_S 4.0
/* Parts of the kept time in which a connection is used again. */
#define IDLE_PART 0.75
#define IDLE_PART_CAREFUL 0.5

struct links {
	struct loop *loop;
	const struct roster *roster;
	/** Every link. */
	GQueue all;
};

struct link {
	struct links *links;
	struct upstream *upstream;
	struct http_channel *client;
	const struct link_ops *ops;
	/** NULL while it is idle. */
	void *user;
	GList node;
	GList idle_node;
};

struct links *links_create(struct loop *loop, const struct roster *roster)
{
	struct links *links = g_new0(struct links, 1);

	links->loop = loop;
	links->roster = roster;
	g_queue_init(&links->all);
	return links;
}

static void link_free(struct link *link)
{
	struct upstream *upstream = link->upstream;

	if (!link->user)
		g_queue_unlink(&upstream->idle, &link->idle_node);
	upstream->connections--;
	g_queue_unlink(&link->links->all, &link->node);
	http_channel_destroy(link->client);
	upstream_unref(upstream);
	g_free(link);
}

void links_destroy(struct links *links)
{
	GList *node, *next;

	if (!links)
		return;
	for (node = links->all.head; node; node = next) {
		next = node->next;
		link_free(node->data);
	}
	g_free(links);
}

static double idle_limit(const struct link *link, bool careful)
{
	double keep = http_channel_server_idle_s(link->client);

	if (keep <= 0)
		keep = IDLE_DEFAULT_S;
	return keep * (careful ? IDLE_PART_CAREFUL : IDLE_PART);
}

static bool link_fit(const struct link *link, bool careful)
{
	double idle_s = loop_now(link->links->loop) -
			http_channel_idle_since(link->client);

	return http_channel_reusable(link->client) &&
	       idle_s < idle_limit(link, careful);
}

static void set_idle(struct link *link)
{
	link->user = NULL;
	if (link->upstream->gone || !http_channel_reusable(link->client)) {
		/* It is in the idle list of no one yet. */
		g_queue_push_head_link(&link->upstream->idle, &link->idle_node);
		link_free(link);
		return;
	}
	g_queue_push_head_link(&link->upstream->idle, &link->idle_node);
}

static bool on_reply(void *ctx, struct http_channel *client,
		     const struct http_reply *reply)
{
	struct link *link = ctx;
	void *user = link->user;

	(void)client;
	/* The owner may send again: it sees the link busy until it returns. */
	if (!link->ops->reply(user, reply))
		return false;
	set_idle(link);
	return true;
}

static void on_ended(void *ctx, struct http_channel *client,
		     enum http_channel_end end)
{
	struct link *link = ctx;
	const struct link_ops *ops = link->ops;
	void *user = link->user;

	(void)client;
	link_free(link);
	if (user)
		ops->ended(user, end);
}

static const struct http_channel_ops client_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

static struct link *link_open(struct links *links, struct upstream *upstream)
{
	static const struct http_channel_options options = {
		.user_timeout_ms = USER_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.body_bytes = ANSWER_BYTES,
	};
	struct link *link = g_new0(struct link, 1);

	link->links = links;
	link->upstream = upstream_ref(upstream);
	link->node.data = link;
	link->idle_node.data = link;
	upstream->connections++;
	g_queue_push_tail_link(&links->all, &link->node);
	link->client =
		http_channel_create(links->loop, &upstream->entry.address,
				    &options, &client_ops, link);
	return link;
}

static struct link *take_idle(struct upstream *upstream,
			      const struct link_request *request)
{
	GList *node;

	for (node = upstream->idle.head; node; node = node->next) {
		struct link *link = node->data;

		if (!link_fit(link, request->careful))
			continue;
		g_queue_unlink(&upstream->idle, &link->idle_node);
		return link;
	}
	return NULL;
}

bool links_available(const struct links *links, const struct upstream *upstream)
{
	return upstream->idle.length ||
	       upstream->connections <
		       upstream_connection_limit(links->roster, upstream);
}

struct link *links_send(struct links *links, struct upstream *upstream,
			const struct link_request *request,
			const struct link_ops *ops, void *user)
{
	struct link *link = take_idle(upstream, request);

	if (!link)
		link = link_open(links, upstream);
	link->ops = ops;
	link->user = user;
	http_channel_send(link->client, request->message, request->head_only);
	return link;
}

void link_drop(struct link *link)
{
	link_free(link);
}

bool link_sent(const struct link *link)
{
	return http_channel_may_have_sent(link->client);
}

void links_close_idle(struct links *links, struct upstream *upstream)
{
	GList *node, *next;

	(void)links;
	for (node = upstream->idle.head; node; node = next) {
		next = node->next;
		link_free(node->data);
	}
}

void links_tick(struct links *links)
{
	GList *node, *next;

	for (node = links->all.head; node; node = next) {
		struct link *link = node->data;

		next = node->next;
		if (!link->user && !link_fit(link, false))
			link_free(link);
	}
}
