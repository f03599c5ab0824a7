#include "cluster_stub_upstream.h"

#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"

/* Poll timeout; bounds the time until a thread notices that the stub stops. */
#define POLL_MS 20
/* Size of the buffer for reading. */
#define READ_BYTES 16384
/* Size of the buffer from which zero bytes are sent. */
#define ZERO_BYTES 65536
/* Microseconds per millisecond. */
#define MS_IN_US 1000
/* First bytes of a router's probe request. */
#define PROBE "HEAD / "
#define PROBE_ANSWER "HTTP/1.1 204 No Content\r\nAuburn-Boot: %s\r\n\r\n"
#define CONTROL_ANSWER                                                         \
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}"

struct stub_upstream {
	int listen_fd;
	char address[ADDRESS_TEXT_SIZE];
	/* Accepts connections. */
	pthread_t accept_thread;
	/* Tells all threads to end. */
	atomic_bool stop;
	/* Requests read to their end, connections accepted, connections that
	 * the client closed early, and control calls that cancel a request. */
	atomic_uint runs, connections, disconnects, cancels;
	/* Bytes of all request bodies. */
	_Atomic uint64_t body_bytes;
	/* lock guards reply, head and boot. */
	pthread_mutex_t lock;
	struct stub_reply reply;
	/* Request line and headers of the latest request. */
	char *head;
	/* Incarnation id in answers to probes. */
	const char *boot;
	/* pthread_t, one per connection; joined when the stub stops. */
	GArray *connection_threads;
};

/* A client's connection, served by a thread of its own. */
struct connection {
	struct stub_upstream *stub;
	int fd;
	/* Bytes received and not yet consumed. */
	GString *in;
};

/* Waits for bytes and appends them to c->in. Returns false when the client has
 * closed the connection, on an error and when the stub is being stopped. */
static bool read_more(struct connection *c)
{
	char buf[READ_BYTES];
	ssize_t n;

	for (;;) {
		struct pollfd fd = { .fd = c->fd, .events = POLLIN };

		if (c->stub->stop)
			return false;
		if (poll(&fd, 1, POLL_MS) == 1)
			break;
	}
	n = read(c->fd, buf, sizeof(buf));
	if (n <= 0)
		return false;
	g_string_append_len(c->in, buf, n);
	return true;
}

/* Reads until the input contains mark and sets end to the offset after mark.
 * Returns false when the connection ends before. */
static bool read_until(struct connection *c, const char *mark, size_t *end)
{
	for (;;) {
		const char *found = strstr(c->in->str, mark);

		if (found) {
			*end = (size_t)(found - c->in->str) + strlen(mark);
			return true;
		}
		if (!read_more(c))
			return false;
	}
}

/* Reads and drops count bytes. Returns false when the connection ends before.
 */
static bool discard_bytes(struct connection *c, uint64_t count)
{
	while (count) {
		uint64_t n = MIN(count, c->in->len);

		g_string_erase(c->in, 0, (gssize)n);
		count -= n;
		if (count && !read_more(c))
			return false;
	}
	return true;
}

/* Discards a chunked body and adds its length to total. Returns false when the
 * connection ends before the last chunk. */
static bool discard_chunks(struct connection *c, uint64_t *total)
{
	for (;;) {
		size_t end;
		uint64_t size;

		if (!read_until(c, "\r\n", &end))
			return false;
		size = strtoull(c->in->str, NULL, 16);
		g_string_erase(c->in, 0, (gssize)end);
		*total += size;
		/* CRLF follows the data of each chunk. */
		if (!discard_bytes(c, size + 2))
			return false;
		if (!size)
			return true;
	}
}

/* Finds the text that follows name in a request's head. name is in lower case
 * and starts with the CRLF before the header. Returns a pointer into head, or
 * NULL. */
static const char *header_value(const char *head, const char *name)
{
	char *lower = g_ascii_strdown(head, -1);
	const char *found = strstr(lower, name);
	const char *value =
		found ? head + (found - lower) + strlen(name) : NULL;

	g_free(lower);
	return value;
}

/* Discards a request body and counts its bytes. Returns false when the body did
 * not arrive to its end. */
static bool discard_body(struct connection *c, const char *head)
{
	const char *length = header_value(head, "\r\ncontent-length: ");
	uint64_t total = 0;
	bool whole = true;

	if (header_value(head, "\r\ntransfer-encoding: chunked")) {
		whole = discard_chunks(c, &total);
	} else if (length) {
		total = strtoull(length, NULL, 10);
		whole = discard_bytes(c, total);
	}
	c->stub->body_bytes += total;
	return whole;
}

/* Returns false on an error and when the stub is being stopped. */
static bool write_all(struct connection *c, const char *bytes, size_t len)
{
	while (len) {
		struct pollfd fd = { .fd = c->fd, .events = POLLOUT };
		ssize_t n;

		if (c->stub->stop)
			return false;
		if (poll(&fd, 1, POLL_MS) != 1)
			continue;
		n = send(c->fd, bytes, len, MSG_NOSIGNAL | MSG_DONTWAIT);
		if (n < 0 && errno != EAGAIN)
			return false;
		bytes += MAX(n, 0);
		len -= (size_t)MAX(n, 0);
	}
	return true;
}

static bool write_zeroes(struct connection *c, uint64_t count)
{
	static const char zeroes[ZERO_BYTES];

	while (count) {
		size_t n = MIN(count, sizeof(zeroes));

		if (!write_all(c, zeroes, n))
			return false;
		count -= n;
	}
	return true;
}

/* Waits ms milliseconds. Returns false when the client closes the connection
 * meanwhile, which is counted, and when the stub is being stopped. */
static bool wait_ms(struct connection *c, int64_t ms)
{
	gint64 end = g_get_monotonic_time() + ms * MS_IN_US;

	while (g_get_monotonic_time() < end && !c->stub->stop) {
		struct pollfd fd = { .fd = c->fd, .events = POLLRDHUP };

		if (poll(&fd, 1, 1) == 1) {
			c->stub->disconnects++;
			return false;
		}
	}
	return !c->stub->stop;
}

/* Sends the reply that the test has set. Returns whether the connection stays
 * open for more requests. */
static bool send_reply(struct connection *c)
{
	struct stub_reply reply;

	pthread_mutex_lock(&c->stub->lock);
	reply = c->stub->reply;
	pthread_mutex_unlock(&c->stub->lock);
	if (reply.delay_ms && !wait_ms(c, reply.delay_ms))
		return false;
	if (reply.bytes && !write_all(c, reply.bytes, strlen(reply.bytes))) {
		c->stub->disconnects++;
		return false;
	}
	if (!write_zeroes(c, reply.zero_bytes)) {
		c->stub->disconnects++;
		return false;
	}
	if (reply.hang)
		return wait_ms(c, INT32_MAX);
	return !reply.close;
}

/* Answers a router's probe with the incarnation id. Returns whether the answer
 * was sent. */
static bool answer_probe(struct connection *c)
{
	char *text;
	bool ok;

	pthread_mutex_lock(&c->stub->lock);
	text = g_strdup_printf(PROBE_ANSWER, c->stub->boot);
	pthread_mutex_unlock(&c->stub->lock);
	ok = write_all(c, text, strlen(text));
	g_free(text);
	return ok;
}

/* Reads and answers one request. Returns whether the connection stays open. */
static bool serve_request(struct connection *c)
{
	size_t end;
	char *head;
	bool whole;

	if (!read_until(c, "\r\n\r\n", &end))
		return false;
	head = g_strndup(c->in->str, end);
	g_string_erase(c->in, 0, (gssize)end);
	whole = discard_body(c, head);
	if (strstr(head, " /control/")) {
		c->stub->cancels += strstr(head, "/control/cancel") ? 1 : 0;
		g_free(head);
		write_all(c, CONTROL_ANSWER, strlen(CONTROL_ANSWER));
		return false;
	}
	if (g_str_has_prefix(head, PROBE)) {
		g_free(head);
		return answer_probe(c);
	}
	pthread_mutex_lock(&c->stub->lock);
	g_free(c->stub->head);
	c->stub->head = head;
	pthread_mutex_unlock(&c->stub->lock);
	if (!whole)
		return false;
	c->stub->runs++;
	return send_reply(c);
}

/* Thread of a connection: serves requests until it closes. Frees the
 * connection. */
static void *serve_connection(void *data)
{
	struct connection *c = data;

	while (serve_request(c))
		;
	close(c->fd);
	g_string_free(c->in, TRUE);
	g_free(c);
	return NULL;
}

/* Thread: accepts connections until the stub stops. */
static void *accept_all(void *data)
{
	struct stub_upstream *stub = data;

	while (!stub->stop) {
		struct pollfd fd = { .fd = stub->listen_fd, .events = POLLIN };
		struct connection *c;
		pthread_t thread;

		if (poll(&fd, 1, POLL_MS) != 1)
			continue;
		c = g_new0(struct connection, 1);
		c->stub = stub;
		c->fd = accept(stub->listen_fd, NULL, NULL);
		c->in = g_string_new(NULL);
		stub->connections++;
		pthread_create(&thread, NULL, serve_connection, c);
		g_array_append_val(stub->connection_threads, thread);
	}
	return NULL;
}

struct stub_upstream *stub_upstream_start(void)
{
	struct stub_upstream *stub = g_new0(struct stub_upstream, 1);
	struct sockaddr_in addr;
	socklen_t size = sizeof(addr);

	pthread_mutex_init(&stub->lock, NULL);
	stub->boot = "boot-1";
	stub->connection_threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
	address_parse(STR("127.0.0.1:0"), &addr);
	stub->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(stub->listen_fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(stub->listen_fd, SOMAXCONN) ||
	    getsockname(stub->listen_fd, (struct sockaddr *)&addr, &size))
		g_error("the stub upstream can't listen on a loopback port");
	address_format(&addr, stub->address);
	pthread_create(&stub->accept_thread, NULL, accept_all, stub);
	return stub;
}

void stub_upstream_stop(struct stub_upstream *stub)
{
	guint i;

	if (!stub)
		return;
	stub->stop = true;
	pthread_join(stub->accept_thread, NULL);
	for (i = 0; i < stub->connection_threads->len; i++)
		pthread_join(
			g_array_index(stub->connection_threads, pthread_t, i),
			NULL);
	g_array_free(stub->connection_threads, TRUE);
	close(stub->listen_fd);
	pthread_mutex_destroy(&stub->lock);
	g_free(stub->head);
	g_free(stub);
}

const char *stub_upstream_address(const struct stub_upstream *stub)
{
	return stub->address;
}

void stub_upstream_set_reply(struct stub_upstream *stub,
			     const struct stub_reply *new_reply)
{
	pthread_mutex_lock(&stub->lock);
	stub->reply = *new_reply;
	pthread_mutex_unlock(&stub->lock);
}

void stub_upstream_set_incarnation(struct stub_upstream *stub, const char *boot)
{
	pthread_mutex_lock(&stub->lock);
	stub->boot = boot;
	pthread_mutex_unlock(&stub->lock);
}

unsigned int stub_upstream_run_count(const struct stub_upstream *stub)
{
	return stub->runs;
}

unsigned int stub_upstream_connection_count(const struct stub_upstream *stub)
{
	return stub->connections;
}

unsigned int stub_upstream_disconnect_count(const struct stub_upstream *stub)
{
	return stub->disconnects;
}

unsigned int stub_upstream_cancel_count(const struct stub_upstream *stub)
{
	return stub->cancels;
}

uint64_t stub_upstream_body_bytes(const struct stub_upstream *stub)
{
	return stub->body_bytes;
}

char *stub_upstream_last_head(struct stub_upstream *stub)
{
	char *head;

	pthread_mutex_lock(&stub->lock);
	head = g_strdup(stub->head ? stub->head : "");
	pthread_mutex_unlock(&stub->lock);
	return head;
}
