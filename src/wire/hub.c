#include "wire/hub.h"

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/error.h"
#include "wire/socket.h"

/* Maximum number of events handled by one hub_run(). */
#define EVENTS_PER_RUN 64
/* Number of counters for sent messages. Message kinds from KINDS_MAX - 1 up
 * share the last counter. */
#define KINDS_MAX 16
/* Minimum time between two attempts to connect to a peer. */
#define REOPEN_DELAY_US (200 * US_PER_MS)

/* An address that the hub reconnects to until it is removed. */
struct peer {
	struct sockaddr_in addr;
	/* The link to the peer, or NULL. */
	struct link *link;
	/* Earliest time of the next attempt to connect, by the hub's clock. */
	int64_t next_try_us;
};

/* The hub's state of one link. */
struct hub_link {
	struct link *link;
	/* This side opened the link. */
	bool outgoing;
	/* The opened callback was called for the link. */
	bool announced;
	/* The link failed or is to be closed; hub_run() closes it before it
	 * returns. */
	bool broken;
	/* The link's socket is polled for writing, not only for reading. */
	bool polls_write;
};

struct hub {
	const struct clock *clock;
	const struct hub_ops *ops;
	/* The owner's pointer, passed to ops. */
	void *ctx;
	/* Epoll descriptor for the listening socket and the links. */
	int epoll;
	/* The listening socket; -1 before hub_listen(). */
	int listener;
	/* struct link * -> struct hub_link *; the table owns the values. */
	GHashTable *entries;
	/* Elements: struct peer *; owned by the array. */
	GPtrArray *peers;
	/* Sent messages by kind_index(). */
	struct hub_count sent[KINDS_MAX];
};

struct hub *hub_create(const struct clock *clock, const struct hub_ops *ops,
		       void *ctx)
{
	struct hub *hub = g_new0(struct hub, 1);

	hub->clock = clock;
	hub->ops = ops;
	hub->ctx = ctx;
	hub->epoll = epoll_create1(EPOLL_CLOEXEC);
	hub->listener = -1;
	hub->entries = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	hub->peers = g_ptr_array_new_with_free_func(g_free);
	return hub;
}

/* Polls a socket for reading and, if write is set, for writing.
 *
 * @param data returned with the socket's events
 * @param op EPOLL_CTL_ADD or EPOLL_CTL_MOD */
static void epoll_watch(struct hub *hub, int fd, void *data, bool write, int op)
{
	struct epoll_event event = {
		.events = EPOLLIN | (write ? (uint32_t)EPOLLOUT : 0),
		.data.ptr = data,
	};

	epoll_ctl(hub->epoll, op, fd, &event);
}

static struct hub_link *add_link(struct hub *hub, struct link *link,
				 bool outgoing)
{
	struct hub_link *entry = g_new0(struct hub_link, 1);

	entry->link = link;
	entry->outgoing = outgoing;
	entry->polls_write = outgoing;
	g_hash_table_insert(hub->entries, link, entry);
	epoll_watch(hub, link_fd(link), entry, outgoing, EPOLL_CTL_ADD);
	return entry;
}

bool hub_listen(struct hub *hub, const struct sockaddr_in *addr,
		struct sockaddr_in *bound, GError **error)
{
	hub->listener = socket_listen(addr, error);
	if (hub->listener < 0)
		return false;
	epoll_watch(hub, hub->listener, hub, false, EPOLL_CTL_ADD);
	return socket_address(hub->listener, bound);
}

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

static struct peer *find_peer(struct hub *hub, const struct sockaddr_in *addr)
{
	guint i;

	for (i = 0; i < hub->peers->len; i++) {
		struct peer *peer = hub->peers->pdata[i];

		if (same_address(&peer->addr, addr))
			return peer;
	}
	return NULL;
}

void hub_add_peer(struct hub *hub, const struct sockaddr_in *addr)
{
	struct peer *peer;

	if (find_peer(hub, addr))
		return;
	peer = g_new0(struct peer, 1);
	peer->addr = *addr;
	g_ptr_array_add(hub->peers, peer);
}

static void mark_broken(struct hub *hub, struct link *link)
{
	struct hub_link *entry = g_hash_table_lookup(hub->entries, link);

	if (entry)
		entry->broken = true;
}

void hub_remove_peer(struct hub *hub, const struct sockaddr_in *addr)
{
	struct peer *peer = find_peer(hub, addr);

	if (!peer)
		return;
	if (peer->link)
		mark_broken(hub, peer->link);
	g_ptr_array_remove_fast(hub->peers, peer);
}

int hub_fd(const struct hub *hub)
{
	return hub->epoll;
}

static void connect_due_peers(struct hub *hub)
{
	int64_t now_us = clock_now_us(hub->clock);
	guint i;

	for (i = 0; i < hub->peers->len; i++) {
		struct peer *peer = hub->peers->pdata[i];

		if (peer->link || now_us < peer->next_try_us)
			continue;
		peer->next_try_us = now_us + REOPEN_DELAY_US;
		peer->link = link_connect(&peer->addr);
		if (peer->link)
			add_link(hub, peer->link, true);
	}
}

static void accept_pending(struct hub *hub)
{
	static const struct socket_loss loss = {
		.user_timeout_ms = SOCKET_USER_TIMEOUT_MS,
	};
	int fd;

	while ((fd = socket_accept(hub->listener)) >= 0) {
		struct hub_link *entry;

		socket_detect_loss(fd, &loss);
		entry = add_link(hub, link_accepted(fd), false);
		entry->announced = true;
		hub->ops->opened(hub->ctx, entry->link, false);
	}
}

static void on_message(void *ctx, struct link *link, const Envelope *message)
{
	struct hub *hub = ctx;

	hub->ops->message(hub->ctx, link, message);
}

static void update_write_interest(struct hub *hub, struct hub_link *entry)
{
	bool wants = link_wants_write(entry->link);

	if (wants == entry->polls_write)
		return;
	entry->polls_write = wants;
	epoll_watch(hub, link_fd(entry->link), entry, wants, EPOLL_CTL_MOD);
}

static void run_link(struct hub *hub, struct hub_link *entry, uint32_t events)
{
	if (events & (EPOLLERR | EPOLLHUP)) {
		entry->broken = true;
		return;
	}
	/* An outgoing link becomes writable once it is connected. */
	if (!entry->announced && (events & EPOLLOUT)) {
		entry->announced = true;
		hub->ops->opened(hub->ctx, entry->link, entry->outgoing);
	}
	if (!link_run(entry->link, on_message, hub))
		entry->broken = true;
	else
		update_write_interest(hub, entry);
}

/* Clears the reference of a peer to a link that is being closed, so that the
 * peer is reconnected. */
static void detach_link(struct hub *hub, const struct link *link)
{
	guint i;

	for (i = 0; i < hub->peers->len; i++) {
		struct peer *peer = hub->peers->pdata[i];

		if (peer->link == link)
			peer->link = NULL;
	}
}

/* Closes and frees every link that is marked as broken. */
static void close_broken(struct hub *hub)
{
	GHashTableIter iter;
	gpointer link, value;
	GPtrArray *broken = g_ptr_array_new();
	guint i;

	g_hash_table_iter_init(&iter, hub->entries);
	while (g_hash_table_iter_next(&iter, &link, &value))
		if (((struct hub_link *)value)->broken)
			g_ptr_array_add(broken, link);
	for (i = 0; i < broken->len; i++) {
		struct hub_link *entry =
			g_hash_table_lookup(hub->entries, broken->pdata[i]);

		detach_link(hub, entry->link);
		if (entry->announced)
			hub->ops->closed(hub->ctx, entry->link);
		link = entry->link;
		g_hash_table_remove(hub->entries, link);
		link_destroy(link);
	}
	g_ptr_array_free(broken, TRUE);
}

void hub_destroy(struct hub *hub)
{
	GHashTableIter iter;
	gpointer entry;

	if (!hub)
		return;
	g_hash_table_iter_init(&iter, hub->entries);
	while (g_hash_table_iter_next(&iter, NULL, &entry))
		((struct hub_link *)entry)->broken = true;
	close_broken(hub);
	g_hash_table_destroy(hub->entries);
	g_ptr_array_free(hub->peers, TRUE);
	if (hub->listener >= 0)
		close(hub->listener);
	close(hub->epoll);
	g_free(hub);
}

void hub_run(struct hub *hub)
{
	struct epoll_event events[EVENTS_PER_RUN];
	int i, n;

	connect_due_peers(hub);
	n = epoll_wait(hub->epoll, events, EVENTS_PER_RUN, 0);
	for (i = 0; i < n; i++) {
		if (events[i].data.ptr == hub)
			accept_pending(hub);
		else
			run_link(hub, events[i].data.ptr, events[i].events);
	}
	close_broken(hub);
}

/* Returns the index of a message kind's counter in hub.sent. */
static size_t kind_index(Envelope__BodyCase kind)
{
	return MIN((size_t)kind, KINDS_MAX - 1);
}

static void count_sent(struct hub *hub, const Envelope *message)
{
	struct hub_count *count = &hub->sent[kind_index(message->body_case)];

	count->messages++;
	count->bytes += envelope__get_packed_size(message);
}

struct hub_count hub_sent(const struct hub *hub, Envelope__BodyCase kind)
{
	return hub->sent[kind_index(kind)];
}

void hub_send(struct hub *hub, struct link *link, const Envelope *message)
{
	struct hub_link *entry = g_hash_table_lookup(hub->entries, link);

	if (!entry || entry->broken)
		return;
	count_sent(hub, message);
	if (!link_send(link, message))
		entry->broken = true;
	else
		update_write_interest(hub, entry);
}

bool hub_is_outgoing(const struct hub *hub, const struct link *link)
{
	const struct hub_link *entry = g_hash_table_lookup(hub->entries, link);

	return entry && entry->outgoing;
}

void hub_foreach(struct hub *hub, void (*visit)(void *ctx, struct link *link),
		 void *ctx)
{
	GHashTableIter iter;
	gpointer link, value;

	g_hash_table_iter_init(&iter, hub->entries);
	while (g_hash_table_iter_next(&iter, &link, &value)) {
		const struct hub_link *entry = value;

		if (entry->announced && !entry->broken)
			visit(ctx, link);
	}
}
