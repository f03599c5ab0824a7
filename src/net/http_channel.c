#include "net/http_channel.h"

#include <errno.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/socket.h"

#define READ_BYTES ((size_t)64 << 10)
#define KEEPALIVE_PROBES 1

struct http_channel {
	struct loop *loop;
	int fd;
	ev_io io;
	int events;
	struct http_channel_options options;
	const struct http_channel_ops *ops;
	void *ctx;
	http_parser parser;
	struct http_reply reply;
	GString *field;
	GString *value;
	bool in_value;
	GString *out;
	size_t out_sent;
	bool connected;
	bool busy;
	bool head_only;
	/** Bytes of the current request may have gone out. */
	bool sent;
	/** Bytes of an answer came. */
	bool answering;
	/** The owner took the answer. */
	bool taken;
	bool close;
	bool dead;
	/** Depth of calls into the owner; freed at zero. */
	int depth;
	bool destroyed;
	double heard_s;
	double idle_since_s;
	double keep_s;
};

static void client_free(struct http_channel *client)
{
	headers_destroy(client->reply.headers);
	g_string_free(client->reply.body, TRUE);
	g_string_free(client->field, TRUE);
	g_string_free(client->value, TRUE);
	g_string_free(client->out, TRUE);
	g_free(client);
}

/* Closing resets the connection: bytes that are still on their way, held up by
 * a partition, do not arrive after this side has given up on them. */
static void set_abortive(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	/* Without it the close is an ordinary one. */
	(void)setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void client_shut(struct http_channel *client)
{
	if (client->dead)
		return;
	client->dead = true;
	if (client->busy && client->fd >= 0)
		set_abortive(client->fd);
	ev_io_stop(client->loop->ev, &client->io);
	if (client->fd >= 0)
		close(client->fd);
}

void http_channel_destroy(struct http_channel *client)
{
	if (!client || client->destroyed)
		return;
	client_shut(client);
	client->destroyed = true;
	if (!client->depth)
		client_free(client);
}

static void enter(struct http_channel *client)
{
	client->depth++;
}

static void leave(struct http_channel *client)
{
	if (!--client->depth && client->destroyed)
		client_free(client);
}

static void client_fail(struct http_channel *client, enum http_channel_end end)
{
	if (client->dead)
		return;
	client_shut(client);
	client->ops->ended(client->ctx, client, end);
}

static void watch(struct http_channel *client, int events)
{
	if (client->dead || client->events == events)
		return;
	client->events = events;
	ev_io_stop(client->loop->ev, &client->io);
	ev_io_set(&client->io, client->fd, events);
	ev_io_start(client->loop->ev, &client->io);
}

static void begin_reply(struct http_channel *client)
{
	headers_clear(client->reply.headers);
	g_string_truncate(client->reply.body, 0);
	client->reply.status = 0;
	client->in_value = false;
	g_string_truncate(client->field, 0);
	g_string_truncate(client->value, 0);
}

static int on_begin(http_parser *parser)
{
	begin_reply(parser->data);
	return 0;
}

static int end_field(struct http_channel *client)
{
	bool ok = true;

	if (client->in_value)
		ok = headers_add(
			client->reply.headers,
			(struct str){ client->field->str, client->field->len },
			(struct str){ client->value->str, client->value->len });
	client->in_value = false;
	g_string_truncate(client->field, 0);
	g_string_truncate(client->value, 0);
	return ok ? 0 : 1;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *client = parser->data;

	if (client->in_value && end_field(client))
		return 1;
	g_string_append_len(client->field, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *client = parser->data;

	client->in_value = true;
	g_string_append_len(client->value, at, (gssize)len);
	return 0;
}

static void read_keep_alive(struct http_channel *client)
{
	const struct header *h =
		headers_find(client->reply.headers, STR("keep-alive"));
	char *text, *at;

	if (!h)
		return;
	text = str_dup(h->value);
	at = strstr(text, "timeout=");
	if (at)
		client->keep_s = strtod(at + strlen("timeout="), NULL);
	g_free(text);
}

static int on_head(http_parser *parser)
{
	struct http_channel *client = parser->data;

	if (end_field(client))
		return -1;
	client->reply.status = parser->status_code;
	parser->upgrade = 0;
	read_keep_alive(client);
	return client->head_only ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *client = parser->data;

	if (client->reply.body->len + len > client->options.body_bytes)
		return 1;
	g_string_append_len(client->reply.body, at, (gssize)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_channel *client = parser->data;

	if (client->reply.status / 100 == 1 || client->dead)
		return 0;
	if (!http_should_keep_alive(parser))
		client->close = true;
	/* Bytes after the answer belong to no request. */
	http_parser_pause(parser, 1);
	client->taken = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Hands a whole answer to the owner. @return false when it was not the owner's
 * or the client is gone */
static bool deliver(struct http_channel *client, bool leftover)
{
	client->taken = false;
	if (client->close || client->out->len)
		client->close = true;
	client->answering = false;
	client->busy = false;
	if (leftover)
		client->close = true;
	client->idle_since_s = loop_now(client->loop);
	if (client->ops->reply(client->ctx, client, &client->reply))
		return true;
	/* The answer of an earlier request: ours is still to come. */
	client->busy = true;
	return false;
}

static void parse(struct http_channel *client, const char *data, size_t len)
{
	size_t used = 0;

	client->answering = client->answering || len > 0;
	while (!client->dead) {
		size_t n =
			http_parser_execute(&client->parser, &parser_settings,
					    data + used, len - used);
		enum http_errno error = HTTP_PARSER_ERRNO(&client->parser);

		used += n;
		if (client->taken) {
			http_parser_pause(&client->parser, 0);
			if (deliver(client, used < len))
				return;
			if (client->dead)
				return;
			if (client->close && used >= len) {
				client_fail(client, HTTP_CHANNEL_BROKEN);
				return;
			}
			if (used >= len)
				return;
			client->close = false;
			continue;
		}
		if (error != HPE_OK)
			client_fail(client, HTTP_CHANNEL_BROKEN);
		return;
	}
}

static void on_closed(struct http_channel *client, bool clean)
{
	if (client->busy && client->answering && clean) {
		/* An answer without a length ends with its connection. */
		client->close = true;
		http_parser_execute(&client->parser, &parser_settings, NULL, 0);
		if (client->taken) {
			if (!deliver(client, false) && !client->dead)
				client_fail(client, HTTP_CHANNEL_BROKEN);
			return;
		}
	}
	if (!client->busy)
		client_fail(client, HTTP_CHANNEL_NOT_CONNECTED);
	else if (!client->sent)
		client_fail(client, HTTP_CHANNEL_UNSENT);
	else
		client_fail(client, client->answering ? HTTP_CHANNEL_BROKEN
						      : HTTP_CHANNEL_RESET);
}

static void client_read(struct http_channel *client)
{
	static char buf[READ_BYTES];
	ssize_t n = recv(client->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_closed(client, n == 0);
		return;
	}
	if (!client->busy) {
		/* Nothing was asked: such bytes belong to no request. */
		client_fail(client, HTTP_CHANNEL_NOT_CONNECTED);
		return;
	}
	client->heard_s = loop_now(client->loop);
	parse(client, buf, (size_t)n);
}

/* Writes as much as fits. @return false when the connection is broken */
static bool write_out(struct http_channel *client)
{
	while (client->out_sent < client->out->len) {
		ssize_t n = socket_write(client->fd,
					 client->out->str + client->out_sent,
					 client->out->len - client->out_sent);

		if (n < 0)
			return n == SOCKET_AGAIN;
		client->sent = true;
		client->out_sent += (size_t)n;
	}
	g_string_truncate(client->out, 0);
	client->out_sent = 0;
	return true;
}

static void watch_output(struct http_channel *client)
{
	watch(client, EV_READ | (client->out->len ? EV_WRITE : 0));
}

static void client_flush(struct http_channel *client)
{
	if (write_out(client))
		watch_output(client);
	else
		on_closed(client, false);
}

static void end_connect(struct http_channel *client)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (client->fd < 0 ||
	    getsockopt(client->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		error = EIO;
	if (error) {
		client_fail(client, error == ECONNREFUSED
					    ? HTTP_CHANNEL_REFUSED
					    : HTTP_CHANNEL_NOT_CONNECTED);
		return;
	}
	client->connected = true;
	client_flush(client);
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_channel *client = io->data;

	(void)loop;
	enter(client);
	if (!client->connected) {
		end_connect(client);
	} else {
		if (events & EV_WRITE)
			client_flush(client);
		if (!client->dead && events & EV_READ)
			client_read(client);
	}
	leave(client);
}

static void set_option(int fd, int level, int name, int value)
{
	/* A socket without it still works, only slower to notice a loss. */
	(void)setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_options(int fd, const struct http_channel_options *options)
{
	if (options->user_timeout_ms)
		set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   (int)options->user_timeout_ms);
	if (!options->keepalive_s)
		return;
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, (int)options->keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, (int)options->keepalive_s);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

struct http_channel *
http_channel_create(struct loop *loop, const struct sockaddr_in *address,
		    const struct http_channel_options *options,
		    const struct http_channel_ops *ops, void *ctx)
{
	struct http_channel *client = g_new0(struct http_channel, 1);

	client->loop = loop;
	client->options = *options;
	client->ops = ops;
	client->ctx = ctx;
	client->reply.headers = headers_create();
	client->reply.body = g_string_new(NULL);
	client->field = g_string_new(NULL);
	client->value = g_string_new(NULL);
	client->out = g_string_new(NULL);
	client->idle_since_s = loop_now(loop);
	http_parser_init(&client->parser, HTTP_RESPONSE);
	client->parser.data = client;
	client->fd = socket_connect(address);
	ev_io_init(&client->io, on_io, client->fd, EV_WRITE);
	client->io.data = client;
	client->events = EV_WRITE;
	if (client->fd >= 0) {
		set_options(client->fd, options);
		ev_io_start(loop->ev, &client->io);
	} else {
		/* Reported from the loop, as every other failure. */
		ev_feed_event(loop->ev, &client->io, EV_WRITE);
	}
	return client;
}

void http_channel_send(struct http_channel *client, struct str message,
		       bool head_only)
{
	client->busy = true;
	client->sent = false;
	client->answering = false;
	client->heard_s = 0;
	client->head_only = head_only;
	g_string_append_len(client->out, message.data, (gssize)message.len);
	if (!client->connected)
		return;
	/* A failure is reported from the loop, not from within the call. */
	(void)write_out(client);
	watch_output(client);
}

bool http_channel_reusable(const struct http_channel *client)
{
	return client->connected && !client->dead && !client->busy &&
	       !client->close && !client->out->len;
}

bool http_channel_may_have_sent(const struct http_channel *client)
{
	return client->sent;
}

double http_channel_last_byte_s(const struct http_channel *client)
{
	return client->heard_s;
}

double http_channel_idle_since(const struct http_channel *client)
{
	return client->idle_since_s;
}

double http_channel_server_idle_s(const struct http_channel *client)
{
	return client->keep_s;
}
