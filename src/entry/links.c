#include "entry/links.h"

/* TCP user timeout: a connection whose sent bytes stay unacknowledged for this
 * long is closed. */
#define USER_TIMEOUT_MS 1000
/* Seconds without traffic before a TCP keep-alive probe, and between probes. */
#define KEEPALIVE_S 1
/* Largest answer body. Answers are buffered whole before they are sent on. */
#define ANSWER_BYTES_MAX ((size_t)96 << 20)
/* Assumed keep-alive time of upstreams that do not announce one. */
#define IDLE_DEFAULT_S 4.0
/* Share of the upstream's keep-alive time in which an idle connection is
 * reused: for most requests, and for those with avoid_stale set. */
#define IDLE_SHARE 0.75
#define IDLE_SHARE_AVOID_STALE 0.5
/* Shortest time between two checks whether an upstream accepts connections, in
 * seconds. Connections that break together need one check. */
#define CHECK_INTERVAL_S 0.05
/* Number of requests whose ids a connection remembers. A repeated answer comes
 * where the next one is expected, so the latest few are enough. */
#define IDS_KEPT 8
/* Time that a check may take to connect, in seconds. */
#define CHECK_TIMEOUT_S 1.0

struct links {
	struct loop *loop;
	const struct roster *roster;
	const struct links_ops *ops;
	void *ctx;
	/** Limits the answers that are being received. */
	struct byte_budget *budget;
	/** All connections (struct link). */
	GQueue all;
	/** Number of idle ones. */
	unsigned int idle_count;
};

struct link {
	struct links *links;
	struct upstream *upstream;
	struct http_channel *channel;
	const struct link_ops *ops;
	/** The request's context for the handlers; NULL while the link is idle.
	 */
	void *user;
	/** Number of requests that were sent. */
	unsigned int requests;
	/** The connection gets no further request. */
	bool retired;
	/** Hashes of the ids of the latest requests; 0: none. */
	uint64_t id_hashes[IDS_KEPT];
	/** List nodes in links->all and in the upstream's idle list. */
	GList node;
	GList idle_node;
};

struct links *links_create(struct loop *loop, const struct roster *roster,
			   struct byte_budget *budget,
			   const struct links_ops *ops, void *ctx)
{
	struct links *links = g_new0(struct links, 1);

	links->loop = loop;
	links->roster = roster;
	links->budget = budget;
	links->ops = ops;
	links->ctx = ctx;
	g_queue_init(&links->all);
	return links;
}

static void enter_idle(struct link *link)
{
	link->links->idle_count++;
	g_queue_push_head_link(&link->upstream->idle_links, &link->idle_node);
}

static void leave_idle(struct link *link)
{
	link->links->idle_count--;
	g_queue_unlink(&link->upstream->idle_links, &link->idle_node);
}

/* Closes and frees a connection, without calling a handler. An idle one must be
 * in its upstream's idle list. */
static void link_free(struct link *link)
{
	struct upstream *upstream = link->upstream;

	if (!link->user)
		leave_idle(link);
	upstream->connections--;
	g_queue_unlink(&link->links->all, &link->node);
	http_channel_destroy(link->channel);
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

/* Seconds for which a connection may be idle and still be reused. */
static double idle_limit(const struct link *link, bool avoid_stale)
{
	double server_idle_s = http_channel_server_idle_s(link->channel);

	if (server_idle_s <= 0)
		server_idle_s = IDLE_DEFAULT_S;
	return server_idle_s *
	       (avoid_stale ? IDLE_SHARE_AVOID_STALE : IDLE_SHARE);
}

static bool link_reusable(const struct link *link, bool avoid_stale)
{
	double idle_s = loop_now(link->links->loop) -
			http_channel_idle_since_s(link->channel);

	return http_channel_reusable(link->channel) &&
	       idle_s < idle_limit(link, avoid_stale);
}

/* Whether an idle connection is one of links_check() that is still being
 * opened, and has time left. */
static bool is_checking(const struct link *link)
{
	return http_channel_connecting(link->channel) &&
	       loop_now(link->links->loop) <
		       http_channel_idle_since_s(link->channel) +
			       CHECK_TIMEOUT_S;
}

/* Makes a connection idle after an answer, or frees it if it can't be reused.
 */
static void set_idle(struct link *link)
{
	link->user = NULL;
	if (link->upstream->removed || link->retired ||
	    !http_channel_reusable(link->channel)) {
		/* link_free() expects an idle connection in the list. */
		enter_idle(link);
		link_free(link);
		return;
	}
	enter_idle(link);
}

static bool on_reply(void *ctx, struct http_channel *channel,
		     const struct http_reply *reply)
{
	struct link *link = ctx;
	void *user = link->user;

	(void)channel;
	/* The handler may send another request, so the link stays out of the
	 * idle list until the handler returns. */
	if (!link->ops->reply(user, reply))
		return false;
	set_idle(link);
	return true;
}

static void on_ended(void *ctx, struct http_channel *channel,
		     enum http_channel_end end)
{
	struct link *link = ctx;
	struct links *links = link->links;
	struct upstream *upstream = upstream_ref(link->upstream);
	const struct link_ops *ops = link->ops;
	void *user = link->user;

	(void)channel;
	link_free(link);
	if (end == HTTP_CHANNEL_REFUSED)
		links->ops->refused(links->ctx, upstream);
	if (user)
		ops->ended(user, end);
	upstream_unref(upstream);
}

static bool may_send(void *ctx, struct http_channel *channel)
{
	const struct link *link = ctx;

	(void)channel;
	return link->ops->may_send(link->user);
}

static const struct http_channel_ops channel_ops = {
	.reply = on_reply,
	.ended = on_ended,
	.may_send = may_send,
};

static struct link *link_open(struct links *links, struct upstream *upstream)
{
	const struct http_channel_options options = {
		.user_timeout_ms = USER_TIMEOUT_MS,
		.keepalive_s = KEEPALIVE_S,
		.body_bytes = ANSWER_BYTES_MAX,
		.use = DESCRIPTOR_UPSTREAM,
		.budget = links->budget,
	};
	struct link *link = g_new0(struct link, 1);

	link->links = links;
	link->upstream = upstream_ref(upstream);
	link->node.data = link;
	link->idle_node.data = link;
	upstream->connections++;
	g_queue_push_tail_link(&links->all, &link->node);
	link->channel =
		http_channel_create(links->loop, &upstream->entry.address,
				    &options, &channel_ops, link);
	return link;
}

/* Whether a connection lately carried a request with an id. */
static bool carried_id(const struct link *link, uint64_t id_hash)
{
	unsigned int i;

	for (i = 0; id_hash && i < IDS_KEPT; i++)
		if (link->id_hashes[i] == id_hash)
			return true;
	return false;
}

/* Takes a connection that may be reused for a request from the upstream's idle
 * list; returns NULL if there is none. */
static struct link *pop_idle_link(struct upstream *upstream,
				  const struct link_request *request)
{
	GList *node;

	for (node = upstream->idle_links.head; node; node = node->next) {
		struct link *link = node->data;

		if (!link_reusable(link, request->avoid_stale) ||
		    carried_id(link, request->id_hash))
			continue;
		leave_idle(link);
		return link;
	}
	return NULL;
}

bool links_has_idle(const struct upstream *upstream, bool avoid_stale)
{
	const GList *node;

	for (node = upstream->idle_links.head; node; node = node->next)
		if (link_reusable(node->data, avoid_stale))
			return true;
	return false;
}

bool links_close_longest_idle(struct links *links)
{
	struct link *longest = NULL;
	double since_s = G_MAXDOUBLE;
	GList *node;

	for (node = links->idle_count ? links->all.head : NULL; node;
	     node = node->next) {
		struct link *link = node->data;

		if (link->user ||
		    http_channel_idle_since_s(link->channel) >= since_s)
			continue;
		longest = link;
		since_s = http_channel_idle_since_s(link->channel);
	}
	if (longest)
		link_free(longest);
	return longest != NULL;
}

/* Whether a connection can be opened, possibly in place of an idle one. */
static bool has_descriptor(const struct links *links)
{
	return links->idle_count ||
	       descriptors_have_room(links->loop->descriptors,
				     DESCRIPTOR_UPSTREAM);
}

/* Closes an idle connection if another one could not be opened otherwise. */
static void make_descriptor_room(struct links *links)
{
	if (!descriptors_have_room(links->loop->descriptors,
				   DESCRIPTOR_UPSTREAM))
		(void)links_close_longest_idle(links);
}

/* Closes the idle connections of an upstream that were not used for the longest
 * time, as long as there is no room for another connection. */
static void make_room(struct links *links, struct upstream *upstream)
{
	unsigned int limit = upstream_connection_limit(links->roster, upstream);
	GList *node, *prev;

	for (node = upstream->idle_links.tail;
	     node && upstream->connections >= limit; node = prev) {
		struct link *link = node->data;

		prev = node->prev;
		if (!is_checking(link))
			link_free(link);
	}
}

bool links_has_capacity(const struct links *links,
			const struct upstream *upstream)
{
	return upstream->idle_links.length ||
	       (upstream->connections <
			upstream_connection_limit(links->roster, upstream) &&
		has_descriptor(links));
}

struct link *links_send(struct links *links, struct upstream *upstream,
			const struct link_request *request,
			const struct link_ops *ops, void *user)
{
	struct link *link = NULL;

	if (!request->new_connection)
		link = pop_idle_link(upstream, request);
	if (!link) {
		make_room(links, upstream);
		make_descriptor_room(links);
		link = link_open(links, upstream);
	}
	link->id_hashes[link->requests++ % IDS_KEPT] = request->id_hash;
	link->ops = ops;
	link->user = user;
	http_channel_send_body(link->channel, request->message, request->body,
			       request->head_only);
	return link;
}

void links_check(struct links *links, struct upstream *upstream)
{
	double now = loop_now(links->loop);
	struct link *link;

	if (now < upstream->checked_s + CHECK_INTERVAL_S)
		return;
	upstream->checked_s = now;
	if (!has_descriptor(links))
		return;
	make_descriptor_room(links);
	link = link_open(links, upstream);
	links->idle_count++;
	g_queue_push_tail_link(&upstream->idle_links, &link->idle_node);
}

void link_close(struct link *link)
{
	link_free(link);
}

bool link_used_before(const struct link *link)
{
	return link->requests > 1;
}

void link_retire(struct link *link)
{
	link->retired = true;
}

bool link_may_have_sent(const struct link *link)
{
	return http_channel_may_have_sent(link->channel);
}

void links_close_idle(struct links *links, struct upstream *upstream)
{
	GList *node, *next;

	(void)links;
	for (node = upstream->idle_links.head; node; node = next) {
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
		if (!link->user && !link_reusable(link, false) &&
		    !is_checking(link))
			link_free(link);
	}
}
