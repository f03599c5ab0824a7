#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/exchange_internal.h"

/* Maximum number of events handled by one exchange_pool_run(). */
#define EVENTS_MAX 64
/* Maximum number of unused easy handles that are kept for reuse. */
#define IDLE_HANDLES_MAX 256
/* Maximum number of connections in libcurl's cache, over all upstreams. */
#define CONNECTIONS_CACHED 1024L
/* TCP keep-alive: time without traffic before the first probe, and time between
 * probes. */
#define KEEPALIVE_IDLE_S 5L
#define KEEPALIVE_INTERVAL_S 2L
/* A connection ends when sent bytes stay unacknowledged for this long. */
#define USER_TIMEOUT_MS 10000

/* libcurl callback that registers the events that it waits for on a socket.
 *
 * @param registered not NULL when the socket is in the epoll set already */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
		     void *registered)
{
	struct exchange_pool *pool = ctx;
	struct epoll_event event = { .data.fd = fd };

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(pool->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	epoll_ctl(pool->epoll_fd, registered ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
		  fd, &event);
	curl_multi_assign(pool->multi, fd, pool);
	return 0;
}

/* libcurl callback that sets its timer.
 *
 * @param ms time from now until the timer is due; negative for no timer */
static int on_timer(CURLM *multi, long ms, void *ctx)
{
	struct exchange_pool *pool = ctx;

	(void)multi;
	if (ms < 0)
		pool->timer_due_us = -1;
	else
		pool->timer_due_us = clock_now_us(pool->clock) + ms * US_PER_MS;
	return 0;
}

/* libcurl callback for a new socket, before it connects. */
static int on_open(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	int ms = USER_TIMEOUT_MS;

	(void)ctx;
	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
	return CURL_SOCKOPT_OK;
}

/* libcurl callback that closes a socket. */
static int on_close(void *ctx, curl_socket_t fd)
{
	struct exchange_pool *pool = ctx;

	verified_conns_remove(pool->verified_conns, fd);
	return close(fd);
}

struct exchange_pool *
exchange_pool_create(const struct exchange_pool_options *options,
		     const struct clock *clock, const struct exchange_ops *ops,
		     void *ctx)
{
	struct exchange_pool *pool = g_new0(struct exchange_pool, 1);

	pool->clock = clock;
	pool->ops = ops;
	pool->ctx = ctx;
	pool->connect_us = options->connect_us;
	pool->idle_s = options->idle_s;
	pool->timer_due_us = -1;
	pool->idle_handles = g_ptr_array_new();
	pool->verified_conns = verified_conns_create();
	pool->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	pool->multi = curl_multi_init();
	curl_multi_setopt(pool->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(pool->multi, CURLMOPT_SOCKETDATA, pool);
	curl_multi_setopt(pool->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(pool->multi, CURLMOPT_TIMERDATA, pool);
	curl_multi_setopt(pool->multi, CURLMOPT_PIPELINING,
			  (long)CURLPIPE_NOTHING);
	curl_multi_setopt(pool->multi, CURLMOPT_MAXCONNECTS,
			  CONNECTIONS_CACHED);
	curl_multi_setopt(pool->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  options->max_host_connections);
	return pool;
}

void exchange_pool_destroy(struct exchange_pool *pool)
{
	guint i;

	if (!pool)
		return;
	for (i = 0; i < pool->idle_handles->len; i++)
		curl_easy_cleanup(g_ptr_array_index(pool->idle_handles, i));
	g_ptr_array_free(pool->idle_handles, TRUE);
	curl_multi_cleanup(pool->multi);
	verified_conns_destroy(pool->verified_conns);
	close(pool->epoll_fd);
	g_free(pool);
}

int exchange_pool_fd(const struct exchange_pool *pool)
{
	return pool->epoll_fd;
}

int64_t exchange_pool_wait_us(const struct exchange_pool *pool)
{
	if (pool->timer_due_us < 0)
		return -1;
	return MAX(pool->timer_due_us - clock_now_us(pool->clock), 0);
}

static void handle_finished_transfers(struct exchange_pool *pool)
{
	struct exchange *exchange;
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(pool->multi, &left))) {
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&exchange);
		exchange_finish(exchange, code);
	}
}

static void run_sockets(struct exchange_pool *pool)
{
	struct epoll_event events[EVENTS_MAX];
	int i, running;
	int n = epoll_wait(pool->epoll_fd, events, EVENTS_MAX, 0);

	for (i = 0; i < n; i++) {
		int what = 0;

		if (events[i].events & EPOLLIN)
			what |= CURL_CSELECT_IN;
		if (events[i].events & EPOLLOUT)
			what |= CURL_CSELECT_OUT;
		if (events[i].events & (EPOLLERR | EPOLLHUP))
			what |= CURL_CSELECT_ERR;
		curl_multi_socket_action(pool->multi, events[i].data.fd, what,
					 &running);
	}
}

void exchange_pool_run(struct exchange_pool *pool)
{
	int running;

	run_sockets(pool);
	if (pool->timer_due_us >= 0 &&
	    pool->timer_due_us <= clock_now_us(pool->clock)) {
		pool->timer_due_us = -1;
		curl_multi_socket_action(pool->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
	handle_finished_transfers(pool);
}

static CURL *new_handle(const struct exchange_pool *pool)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, pool->idle_s);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(pool->connect_us / US_PER_MS));
	curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_open);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, pool);
	return easy;
}

CURL *exchange_pool_get_handle(struct exchange_pool *pool)
{
	if (pool->idle_handles->len)
		return g_ptr_array_remove_index_fast(
			pool->idle_handles, pool->idle_handles->len - 1);
	return new_handle(pool);
}

void exchange_pool_put_handle(struct exchange_pool *pool, CURL *easy)
{
	if (pool->idle_handles->len < IDLE_HANDLES_MAX)
		g_ptr_array_add(pool->idle_handles, easy);
	else
		curl_easy_cleanup(easy);
}
