#include "proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BUFFER_BYTES 65536
/* Number of bytes that proxy_halve() lets through. */
#define HALF_BYTES 120
/* Pause between two rounds over all proxies and connections. */
#define ROUND_PAUSE_US 2000UL
/* Connections that may wait to be accepted by a proxy. */
#define BACKLOG 64

/* One direction of a proxied connection. */
struct stream {
	/* Descriptors to read from and to write to. */
	int from, to;
	/* Number of bytes in buf, and how many of them were sent. New bytes are
	 * received once all were sent. */
	size_t len, sent;
	/* Time before which buf is not sent; monotonic clock. */
	gint64 due_us;
	/* The peer of the socket from has closed its sending side. */
	bool ended;
	char buf[BUFFER_BYTES];
};

/* A client's connection and the connection to the server that the proxy opened
 * for it. */
struct connection {
	struct proxy *proxy;
	/* Sockets of the two connections. */
	int client, server;
	struct stream requests, answers;
	/* No bytes are forwarded any more, and the peers aren't told. */
	bool forgotten;
	/* So are the server's next bytes, but for the first ones. */
	bool halved;
	/* The connection is freed at the end of the round. */
	bool closed;
};

struct proxy {
	/* Address of the server. */
	struct sockaddr_in to;
	/* Listening socket. */
	int listener;
	/* An enum proxy_mode. */
	atomic_int mode;
	atomic_int delay_ms;
	/* Ask the proxy thread to reset the open connections, to forget
	 * them, or to end them halfway. */
	atomic_bool reset;
	atomic_bool forget;
	atomic_bool halve;
	/* A connection was ended halfway. */
	atomic_bool has_halved;
};

/* Guards the list of proxies. The list of connections needs no lock: only the
 * proxy thread uses it. */
static pthread_mutex_t proxies_lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *proxies;
static GPtrArray *connections;

static void connection_free(gpointer data)
{
	struct connection *connection = data;

	close(connection->client);
	close(connection->server);
	g_free(connection);
}

/* Marks a connection as closed. The linger time of 0 makes close() send a reset
 * to both peers. */
static void reset_connection(struct connection *connection)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(connection->client, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	setsockopt(connection->server, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	connection->closed = true;
}

/* Accepts a waiting connection, if any, and connects to the server for it. */
static void accept_connection(struct proxy *proxy)
{
	int client = accept4(proxy->listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct connection *connection;
	int server;

	if (client < 0)
		return;
	server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(server, (struct sockaddr *)&proxy->to, sizeof(proxy->to))) {
		close(server);
		close(client);
		return;
	}
	connection = g_new0(struct connection, 1);
	connection->proxy = proxy;
	connection->client = client;
	connection->server = server;
	connection->requests.from = connection->answers.to = client;
	connection->requests.to = connection->answers.from = server;
	g_ptr_array_add(connections, connection);
}

/* Returns whether a socket has an error, such as a reset by the peer. The proxy
 * checks it before each read, so that a reset drops the bytes that the peer
 * sent before it, as on a network that delays them. */
static bool has_socket_error(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLERR);
}

/* Receives bytes of one direction if its buffer is empty; passes on the end of
 * the data, and resets the connection on an error. */
static void receive_bytes(struct connection *connection, struct stream *stream,
			  gint64 now_us)
{
	ssize_t n;

	if (stream->len || stream->ended)
		return;
	n = recv(stream->from, stream->buf, BUFFER_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		reset_connection(connection);
		return;
	}
	if (!n) {
		stream->ended = true;
		shutdown(stream->to, SHUT_WR);
		return;
	}
	stream->len = (size_t)n;
	stream->sent = 0;
	stream->due_us = now_us + atomic_load(&connection->proxy->delay_ms) *
					  G_GINT64_CONSTANT(1000);
}

/* Sends received bytes of one direction once their delay is over; resets the
 * connection on an error. */
static void send_bytes(struct connection *connection, struct stream *stream,
		       gint64 now_us)
{
	ssize_t n;

	if (!stream->len || now_us < stream->due_us)
		return;
	n = send(stream->to, stream->buf + stream->sent,
		 stream->len - stream->sent, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		reset_connection(connection);
		return;
	}
	stream->sent += (size_t)n;
	if (stream->sent == stream->len)
		stream->len = 0;
}

/* Forwards the first of the server's bytes, and forgets the connection. */
static void end_halfway(struct connection *connection)
{
	struct stream *answers = &connection->answers;

	send(answers->to, answers->buf, MIN(answers->len / 2, HALF_BYTES),
	     MSG_DONTWAIT | MSG_NOSIGNAL);
	answers->len = 0;
	connection->forgotten = true;
	atomic_store(&connection->proxy->has_halved, true);
}

/* Forwards bytes of a connection as its proxy's mode allows. */
static void forward(struct connection *connection, gint64 now_us)
{
	int mode = atomic_load(&connection->proxy->mode);

	if (mode == PROXY_SILENT || connection->forgotten)
		return;
	if (has_socket_error(connection->client) ||
	    has_socket_error(connection->server)) {
		reset_connection(connection);
		return;
	}
	if (mode != PROXY_CUT_REQUESTS) {
		receive_bytes(connection, &connection->requests, now_us);
		send_bytes(connection, &connection->requests, now_us);
	}
	if (mode != PROXY_CUT_ANSWERS) {
		receive_bytes(connection, &connection->answers, now_us);
		if (connection->halved && connection->answers.len)
			end_halfway(connection);
		send_bytes(connection, &connection->answers, now_us);
	}
	if (connection->requests.ended && connection->answers.ended &&
	    !connection->requests.len && !connection->answers.len)
		connection->closed = true;
}

static void forget_connection(struct connection *connection)
{
	connection->forgotten = true;
}

static void halve_connection(struct connection *connection)
{
	connection->halved = true;
}

/* Calls a function for each open connection of a proxy. */
static void each_connection(const struct proxy *proxy,
			    void (*fn)(struct connection *connection))
{
	guint i;

	for (i = 0; i < connections->len; i++) {
		struct connection *connection = connections->pdata[i];

		if (connection->proxy == proxy)
			fn(connection);
	}
}

/* Accepts connections and carries out what was requested for the open ones. */
static void update_proxies(void)
{
	guint i;

	pthread_mutex_lock(&proxies_lock);
	for (i = 0; i < proxies->len; i++) {
		struct proxy *proxy = proxies->pdata[i];

		if (atomic_load(&proxy->mode) != PROXY_SILENT)
			accept_connection(proxy);
		if (atomic_exchange(&proxy->reset, false))
			each_connection(proxy, reset_connection);
		if (atomic_exchange(&proxy->forget, false))
			each_connection(proxy, forget_connection);
		if (atomic_exchange(&proxy->halve, false))
			each_connection(proxy, halve_connection);
	}
	pthread_mutex_unlock(&proxies_lock);
}

static gpointer run_proxies(gpointer data)
{
	(void)data;
	for (;;) {
		gint64 now_us = g_get_monotonic_time();
		guint i;

		update_proxies();
		for (i = connections->len; i > 0; i--) {
			struct connection *connection =
				connections->pdata[i - 1];

			if (!connection->closed)
				forward(connection, now_us);
			if (connection->closed)
				g_ptr_array_remove_index_fast(connections,
							      i - 1);
		}
		g_usleep(ROUND_PAUSE_US);
	}
	return NULL;
}

struct proxy *proxy_create(const struct sockaddr_in *to)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct proxy *proxy = g_new0(struct proxy, 1);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	proxy->to = *to;
	proxy->listener =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (bind(proxy->listener, (struct sockaddr *)&address,
		 sizeof(address)) ||
	    listen(proxy->listener, BACKLOG))
		g_error("cannot start a proxy: %s", g_strerror(errno));
	pthread_mutex_lock(&proxies_lock);
	if (!proxies) {
		proxies = g_ptr_array_new();
		connections = g_ptr_array_new_with_free_func(connection_free);
		g_thread_unref(g_thread_new("proxies", run_proxies, NULL));
	}
	g_ptr_array_add(proxies, proxy);
	pthread_mutex_unlock(&proxies_lock);
	return proxy;
}

struct sockaddr_in proxy_address(const struct proxy *proxy)
{
	struct sockaddr_in address;
	socklen_t len = sizeof(address);

	getsockname(proxy->listener, (struct sockaddr *)&address, &len);
	return address;
}

void proxy_set_mode(struct proxy *proxy, enum proxy_mode mode)
{
	atomic_store(&proxy->mode, mode);
}

void proxy_set_delay(struct proxy *proxy, int delay_ms)
{
	atomic_store(&proxy->delay_ms, delay_ms);
}

void proxy_reset(struct proxy *proxy)
{
	atomic_store(&proxy->reset, true);
}

void proxy_forget(struct proxy *proxy)
{
	atomic_store(&proxy->forget, true);
}

void proxy_halve(struct proxy *proxy)
{
	atomic_store(&proxy->halve, true);
}

bool proxy_take_halved(struct proxy *proxy)
{
	return atomic_exchange(&proxy->has_halved, false);
}
