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
#define TICK_US 2000UL
#define BACKLOG 64

/* One direction of a connection. */
struct stream {
	int from, to;
	size_t len, sent;
	gint64 due_us;
	bool ended;
	char buf[BUFFER_BYTES];
};

struct pair {
	struct proxy *proxy;
	int client, server;
	struct stream requests, answers;
	bool dead;
};

struct proxy {
	struct sockaddr_in to;
	int listener;
	atomic_int mode;
	atomic_int delay_ms;
	atomic_bool reset;
};

/* Guards the list; pairs belong to the thread. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static GPtrArray *proxies;
static GPtrArray *pairs;

static void pair_free(gpointer data)
{
	struct pair *pair = data;

	close(pair->client);
	close(pair->server);
	g_free(pair);
}

static void abort_pair(struct pair *pair)
{
	struct linger linger = { .l_onoff = 1 };

	setsockopt(pair->client, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	setsockopt(pair->server, SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	pair->dead = true;
}

static void accept_one(struct proxy *proxy)
{
	int client = accept4(proxy->listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
	struct pair *pair;
	int server;

	if (client < 0)
		return;
	server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connect(server, (struct sockaddr *)&proxy->to, sizeof(proxy->to))) {
		close(server);
		close(client);
		return;
	}
	pair = g_new0(struct pair, 1);
	pair->proxy = proxy;
	pair->client = client;
	pair->server = server;
	pair->requests.from = pair->answers.to = client;
	pair->requests.to = pair->answers.from = server;
	g_ptr_array_add(pairs, pair);
}

/* What a side sent before it reset the connection is lost, as on a network
 * that holds it up. */
static bool is_broken(int fd)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };

	return poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLERR);
}

static void fill(struct pair *pair, struct stream *stream, gint64 now_us)
{
	ssize_t n;

	if (stream->len || stream->ended)
		return;
	n = recv(stream->from, stream->buf, BUFFER_BYTES, MSG_DONTWAIT);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		abort_pair(pair);
		return;
	}
	if (!n) {
		stream->ended = true;
		shutdown(stream->to, SHUT_WR);
		return;
	}
	stream->len = (size_t)n;
	stream->sent = 0;
	stream->due_us = now_us + atomic_load(&pair->proxy->delay_ms) *
					  G_GINT64_CONSTANT(1000);
}

static void flush(struct pair *pair, struct stream *stream, gint64 now_us)
{
	ssize_t n;

	if (!stream->len || now_us < stream->due_us)
		return;
	n = send(stream->to, stream->buf + stream->sent,
		 stream->len - stream->sent, MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		abort_pair(pair);
		return;
	}
	stream->sent += (size_t)n;
	if (stream->sent == stream->len)
		stream->len = 0;
}

static void pump(struct pair *pair, gint64 now_us)
{
	int mode = atomic_load(&pair->proxy->mode);

	if (mode == PROXY_SILENT)
		return;
	if (is_broken(pair->client) || is_broken(pair->server)) {
		abort_pair(pair);
		return;
	}
	if (mode != PROXY_CUT_REQUESTS) {
		fill(pair, &pair->requests, now_us);
		flush(pair, &pair->requests, now_us);
	}
	if (mode != PROXY_CUT_ANSWERS) {
		fill(pair, &pair->answers, now_us);
		flush(pair, &pair->answers, now_us);
	}
	if (pair->requests.ended && pair->answers.ended &&
	    !pair->requests.len && !pair->answers.len)
		pair->dead = true;
}

static void reset_pairs(const struct proxy *proxy)
{
	guint i;

	for (i = 0; i < pairs->len; i++) {
		struct pair *pair = pairs->pdata[i];

		if (pair->proxy == proxy)
			abort_pair(pair);
	}
}

static void serve_proxies(void)
{
	guint i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < proxies->len; i++) {
		struct proxy *proxy = proxies->pdata[i];

		if (atomic_load(&proxy->mode) != PROXY_SILENT)
			accept_one(proxy);
		if (atomic_exchange(&proxy->reset, false))
			reset_pairs(proxy);
	}
	pthread_mutex_unlock(&lock);
}

static gpointer run(gpointer data)
{
	(void)data;
	for (;;) {
		gint64 now_us = g_get_monotonic_time();
		guint i;

		serve_proxies();
		for (i = pairs->len; i > 0; i--) {
			struct pair *pair = pairs->pdata[i - 1];

			if (!pair->dead)
				pump(pair, now_us);
			if (pair->dead)
				g_ptr_array_remove_index_fast(pairs, i - 1);
		}
		g_usleep(TICK_US);
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
		g_error("proxy: %s", g_strerror(errno));
	pthread_mutex_lock(&lock);
	if (!proxies) {
		proxies = g_ptr_array_new();
		pairs = g_ptr_array_new_with_free_func(pair_free);
		g_thread_unref(g_thread_new("proxies", run, NULL));
	}
	g_ptr_array_add(proxies, proxy);
	pthread_mutex_unlock(&lock);
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
