#include "net/http_channel.h"

#include <errno.h>
#include <http_parser.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/out_buffer.h"
#include "net/response_head.h"
#include "net/status_line.h"
#include "wire/socket.h"

/* Maximum number of bytes received at a time. */
#define READ_BYTES ((size_t)64 << 10)
/* Most bytes that may precede the body of a response: its head, interim
 * responses and empty lines. */
#define HEAD_BYTES_MAX ((size_t)128 << 10)
/* A larger buffer is freed after the response instead of kept for the next. */
#define BODY_KEEP_BYTES ((size_t)64 << 10)

struct http_channel {
	struct loop *loop;
	/** The socket; -1 if it could not be opened. */
	int fd;
	ev_io io;
	/** The socket could not be opened for want of a local resource. */
	bool no_socket;
	/** Events that io watches: EV_READ, EV_WRITE. */
	int events;
	struct http_channel_options options;
	const struct http_channel_ops *ops;
	void *ctx;
	http_parser parser;
	/** The response that the parser is reading, and the check of its first
	 * line. */
	struct http_reply reply;
	struct status_line status_line;
	/** Name and value of the header field that the parser is reading. */
	GString *field;
	GString *value;
	/** The field's name is complete; the parser is reading the value. */
	bool in_value;
	/** Bytes to send. */
	struct out_buffer out;
	bool connected;
	/** A request is in flight. */
	bool busy;
	/** The response to the current request has no body, as for HEAD. */
	bool head_only;
	/** Bytes of the current request may have been sent. */
	bool sent;
	/** Bytes of the response to the current request were received. */
	bool reply_started;
	/** The head of the response was received; interim ones don't count. */
	bool head_complete;
	/** Bytes received before that. */
	size_t head_bytes;
	/** The response was ended for the size of its body. */
	bool too_large;
	/** Bytes taken from options.budget for the response. */
	size_t held;
	/** The parser has read a complete response. */
	bool reply_complete;
	/** The connection can't be used for another request. */
	bool not_reusable;
	/** Value of http_channel_has_surplus(). */
	bool surplus;
	/** The socket is closed: the connection ended or the channel was
	 * destroyed. */
	bool closed;
	/** Number of the channel's I/O handlers that are running. */
	int io_depth;
	/** The owner destroyed the channel; it is freed when no I/O handler
	 * runs. */
	bool destroyed;
	/** Values of the functions http_channel_...() of these names. */
	double last_byte_s;
	double idle_since_s;
	double server_idle_s;
};

/* Takes bytes of the response from the budget, if there is one; returns false
 * when it has none left. */
static bool hold_bytes(struct http_channel *channel, size_t len)
{
	struct byte_budget *budget = channel->options.budget;

	if (!budget)
		return true;
	if (!byte_budget_take(budget, channel->held, len))
		return false;
	channel->held += len;
	return true;
}

/* Gives the bytes of the response back to the budget. */
static void release_bytes(struct http_channel *channel)
{
	if (channel->options.budget)
		byte_budget_return(channel->options.budget, channel->held);
	channel->held = 0;
}

static void channel_free(struct http_channel *channel)
{
	release_bytes(channel);
	headers_destroy(channel->reply.headers);
	g_string_free(channel->reply.body, TRUE);
	g_string_free(channel->field, TRUE);
	g_string_free(channel->value, TRUE);
	out_buffer_clear(&channel->out);
	g_free(channel);
}

static void channel_close(struct http_channel *channel)
{
	if (channel->closed)
		return;
	channel->closed = true;
	if (channel->busy && channel->fd >= 0)
		socket_set_abortive(channel->fd);
	ev_io_stop(channel->loop->ev, &channel->io);
	if (channel->fd < 0)
		return;
	close(channel->fd);
	descriptors_closed(channel->loop->descriptors, channel->options.use);
}

void http_channel_destroy(struct http_channel *channel)
{
	if (!channel || channel->destroyed)
		return;
	channel_close(channel);
	channel->destroyed = true;
	if (!channel->io_depth)
		channel_free(channel);
}

static void begin_io(struct http_channel *channel)
{
	channel->io_depth++;
}

static void end_io(struct http_channel *channel)
{
	if (!--channel->io_depth && channel->destroyed)
		channel_free(channel);
}

/* Closes the connection and reports its end to the owner. */
static void channel_fail(struct http_channel *channel,
			 enum http_channel_end end)
{
	if (channel->closed)
		return;
	channel_close(channel);
	channel->ops->ended(channel->ctx, channel, end);
}

/* Sets the events, EV_READ and EV_WRITE, that the channel waits for. */
static void watch(struct http_channel *channel, int events)
{
	if (channel->closed || channel->events == events)
		return;
	channel->events = events;
	ev_io_stop(channel->loop->ev, &channel->io);
	ev_io_set(&channel->io, channel->fd, events);
	ev_io_start(channel->loop->ev, &channel->io);
}

static void begin_reply(struct http_channel *channel)
{
	headers_clear(channel->reply.headers);
	release_bytes(channel);
	if (channel->reply.body->allocated_len > BODY_KEEP_BYTES) {
		g_string_free(channel->reply.body, TRUE);
		channel->reply.body = g_string_new(NULL);
	}
	g_string_truncate(channel->reply.body, 0);
	channel->reply.status = 0;
	channel->in_value = false;
	g_string_truncate(channel->field, 0);
	g_string_truncate(channel->value, 0);
}

static int on_begin(http_parser *parser)
{
	begin_reply(parser->data);
	return 0;
}

/* Adds the header field that was read, if any.
 *
 * @return nonzero when the field is malformed */
static int end_field(struct http_channel *channel)
{
	bool ok = true;

	if (channel->in_value)
		ok = headers_add(channel->reply.headers,
				 (struct str){ channel->field->str,
					       channel->field->len },
				 (struct str){ channel->value->str,
					       channel->value->len });
	channel->in_value = false;
	g_string_truncate(channel->field, 0);
	g_string_truncate(channel->value, 0);
	return ok ? 0 : 1;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *channel = parser->data;

	/* Trailer fields are dropped: they must not pass for header fields. */
	if (parser->flags & F_TRAILING)
		return 0;
	if (channel->in_value && end_field(channel))
		return 1;
	g_string_append_len(channel->field, at, (gssize)len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *channel = parser->data;

	if (parser->flags & F_TRAILING)
		return 0;
	channel->in_value = true;
	g_string_append_len(channel->value, at, (gssize)len);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct http_channel *channel = parser->data;

	if (end_field(channel))
		return -1;
	channel->reply.status = parser->status_code;
	/* An Upgrade field must not end the parsing of HTTP. */
	parser->upgrade = 0;
	response_keep_alive(channel->reply.headers, &channel->server_idle_s);
	/* No request asks for another protocol. */
	if (channel->reply.status == 101)
		return -1;
	channel->head_complete = channel->reply.status / 100 != 1;
	/* 1 tells the parser that no body follows. */
	return response_ends_with_head(channel->reply.status,
				       channel->head_only);
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_channel *channel = parser->data;
	/* Declared bytes of the body, or of the chunk, that are still to come.
	 */
	uint64_t rest = parser->content_length == ULLONG_MAX
				? 0
				: parser->content_length;

	if (channel->reply.body->len + len + rest >
	    channel->options.body_bytes) {
		channel->too_large = true;
		return 1;
	}
	if (!hold_bytes(channel, len))
		return 1;
	g_string_append_len(channel->reply.body, at, (gssize)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_channel *channel = parser->data;

	if (channel->closed)
		return 0;
	/* Makes the parser return here, as further bytes are not part of this
	 * response. */
	http_parser_pause(parser, 1);
	/* Interim (1xx) responses are skipped. */
	if (channel->reply.status / 100 == 1)
		return 0;
	if (!http_should_keep_alive(parser))
		channel->not_reusable = true;
	channel->reply_complete = true;
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

/* Passes a complete response to the owner.
 *
 * @param leftover more bytes follow the response
 * @return false when the response belongs to an earlier request */
static bool deliver(struct http_channel *channel, bool leftover)
{
	channel->reply_complete = false;
	/* The server responded before the whole request was sent. */
	if (out_buffer_pending(&channel->out))
		channel->not_reusable = true;
	channel->reply_started = false;
	channel->busy = false;
	channel->surplus = leftover;
	if (leftover)
		channel->not_reusable = true;
	channel->idle_since_s = loop_now(channel->loop);
	if (channel->ops->reply(channel->ctx, channel, &channel->reply)) {
		if (!channel->busy)
			begin_reply(channel);
		return true;
	}
	/* The response to the current request is still to come. */
	channel->busy = true;
	return false;
}

/* Holds received bytes of a head that isn't complete; returns false when it is
 * too long. */
static bool hold_head(struct http_channel *channel, size_t len)
{
	return channel->head_complete ||
	       (channel->head_bytes <= HEAD_BYTES_MAX &&
		hold_bytes(channel, len));
}

/* Parses received bytes and delivers complete responses. */
static void parse(struct http_channel *channel, const char *data, size_t len)
{
	size_t used = 0;

	channel->reply_started = channel->reply_started || len > 0;
	if (!channel->head_complete)
		channel->head_bytes += len;
	while (!channel->closed) {
		enum http_errno error;

		if (!status_line_check(&channel->status_line, data + used,
				       len - used)) {
			channel_fail(channel, HTTP_CHANNEL_BROKEN);
			return;
		}
		used += http_parser_execute(&channel->parser, &parser_settings,
					    data + used, len - used);
		error = HTTP_PARSER_ERRNO(&channel->parser);
		if (error == HPE_PAUSED) {
			http_parser_pause(&channel->parser, 0);
			channel->status_line.checked = 0;
			error = HPE_OK;
			if (!channel->reply_complete && used < len)
				continue;
		}
		if (channel->reply_complete) {
			if (deliver(channel, used < len))
				return;
			if (channel->closed)
				return;
			/* The response belonged to an earlier request, and
			 * no other can follow on this connection. */
			if (channel->not_reusable && used >= len) {
				channel_fail(channel, HTTP_CHANNEL_BROKEN);
				return;
			}
			if (used >= len)
				return;
			/* The remaining bytes begin the next response. */
			channel->head_complete = false;
			channel->not_reusable = false;
			continue;
		}
		if (error != HPE_OK || !hold_head(channel, len))
			channel_fail(channel, HTTP_CHANNEL_BROKEN);
		return;
	}
}

/* Handles the end of the connection.
 *
 * @param clean the server closed it; false after an error */
static void on_closed(struct http_channel *channel, bool clean)
{
	if (channel->busy && channel->reply_started && clean) {
		/* The end of the connection completes a response without a
		 * length. */
		channel->not_reusable = true;
		http_parser_execute(&channel->parser, &parser_settings, NULL,
				    0);
		if (channel->reply_complete) {
			if (!deliver(channel, false) && !channel->closed)
				channel_fail(channel, HTTP_CHANNEL_BROKEN);
			return;
		}
	}
	if (!channel->busy)
		channel_fail(channel, HTTP_CHANNEL_NOT_CONNECTED);
	else if (!channel->sent)
		channel_fail(channel, HTTP_CHANNEL_UNSENT);
	else
		channel_fail(channel, channel->reply_started
					      ? HTTP_CHANNEL_BROKEN
					      : HTTP_CHANNEL_RESET);
}

static void channel_read(struct http_channel *channel)
{
	static char buf[READ_BYTES];
	ssize_t n = recv(channel->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_closed(channel, n == 0);
		return;
	}
	if (!channel->busy) {
		/* Bytes that answer no request make the connection unusable.
		 */
		channel->surplus = true;
		channel_fail(channel, HTTP_CHANNEL_NOT_CONNECTED);
		return;
	}
	channel->last_byte_s = loop_now(channel->loop);
	parse(channel, buf, (size_t)n);
}

/* Writes as much as the socket accepts without blocking.
 *
 * @return false when the connection is broken */
static bool write_out(struct http_channel *channel)
{
	while (out_buffer_pending(&channel->out)) {
		ssize_t n = out_buffer_write(&channel->out, channel->fd);

		if (n < 0)
			return n == SOCKET_AGAIN;
		channel->sent = true;
	}
	return true;
}

static void watch_output(struct http_channel *channel)
{
	watch(channel,
	      EV_READ | (out_buffer_pending(&channel->out) ? EV_WRITE : 0));
}

static void channel_flush(struct http_channel *channel)
{
	if (write_out(channel))
		watch_output(channel);
	else
		on_closed(channel, false);
}

static bool may_send(struct http_channel *channel)
{
	return !channel->busy || !channel->ops->may_send ||
	       channel->ops->may_send(channel->ctx, channel);
}

/* Handles the end of connecting, whether it succeeded or failed. */
static void end_connect(struct http_channel *channel)
{
	int error = 0;
	socklen_t len = sizeof(error);

	if (channel->no_socket) {
		channel_fail(channel, HTTP_CHANNEL_NO_SOCKET);
		return;
	}
	if (channel->fd < 0 ||
	    getsockopt(channel->fd, SOL_SOCKET, SO_ERROR, &error, &len) < 0)
		error = EIO;
	if (error) {
		channel_fail(channel, error == ECONNREFUSED
					      ? HTTP_CHANNEL_REFUSED
					      : HTTP_CHANNEL_NOT_CONNECTED);
		return;
	}
	if (!may_send(channel)) {
		channel_fail(channel, HTTP_CHANNEL_WITHDRAWN);
		return;
	}
	channel->connected = true;
	channel_flush(channel);
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_channel *channel = io->data;

	(void)loop;
	begin_io(channel);
	if (!channel->connected) {
		end_connect(channel);
	} else {
		if (events & EV_WRITE)
			channel_flush(channel);
		if (!channel->closed && events & EV_READ)
			channel_read(channel);
	}
	end_io(channel);
}

static void detect_loss(int fd, const struct http_channel_options *options)
{
	const struct socket_loss loss = {
		.user_timeout_ms = options->user_timeout_ms,
		.keepalive_s = options->keepalive_s,
		.probes = 1,
	};

	socket_detect_loss(fd, &loss);
}

struct http_channel *
http_channel_create(struct loop *loop, const struct sockaddr_in *address,
		    const struct http_channel_options *options,
		    const struct http_channel_ops *ops, void *ctx)
{
	struct http_channel *channel = g_new0(struct http_channel, 1);

	channel->loop = loop;
	channel->options = *options;
	channel->ops = ops;
	channel->ctx = ctx;
	channel->reply.headers = headers_create();
	channel->reply.body = g_string_new(NULL);
	channel->field = g_string_new(NULL);
	channel->value = g_string_new(NULL);
	out_buffer_init(&channel->out);
	channel->idle_since_s = loop_now(loop);
	http_parser_init(&channel->parser, HTTP_RESPONSE);
	channel->parser.data = channel;
	channel->fd = socket_connect(address);
	ev_io_init(&channel->io, on_io, channel->fd, EV_WRITE);
	channel->io.data = channel;
	channel->events = EV_WRITE;
	if (channel->fd >= 0) {
		descriptors_opened(loop->descriptors, options->use);
		detect_loss(channel->fd, options);
		ev_io_start(loop->ev, &channel->io);
	} else {
		channel->no_socket = socket_lacks_resource(errno);
		/* The owner learns of this failure from the event loop, as
		 * of all others. */
		ev_feed_event(loop->ev, &channel->io, EV_WRITE);
	}
	return channel;
}

void http_channel_send_body(struct http_channel *channel, struct str head,
			    struct caller_body *body, bool head_only)
{
	channel->busy = true;
	channel->sent = false;
	channel->reply_started = false;
	channel->head_complete = false;
	channel->head_bytes = 0;
	channel->status_line.checked = 0;
	channel->last_byte_s = 0;
	channel->head_only = head_only;
	out_buffer_append(&channel->out, head);
	if (body)
		out_buffer_set_body(&channel->out, body);
	if (!channel->connected)
		return;
	/* The event loop detects and reports a failure. */
	(void)write_out(channel);
	watch_output(channel);
}

void http_channel_send(struct http_channel *channel, struct str message,
		       bool head_only)
{
	http_channel_send_body(channel, message, NULL, head_only);
}

bool http_channel_connecting(const struct http_channel *channel)
{
	return !channel->connected && !channel->closed;
}

bool http_channel_reusable(const struct http_channel *channel)
{
	return channel->connected && !channel->closed && !channel->busy &&
	       !channel->not_reusable && !out_buffer_pending(&channel->out);
}

bool http_channel_has_surplus(const struct http_channel *channel)
{
	return channel->surplus;
}

bool http_channel_may_have_sent(const struct http_channel *channel)
{
	return channel->sent;
}

bool http_channel_reply_too_large(const struct http_channel *channel)
{
	return channel->too_large;
}

double http_channel_last_byte_s(const struct http_channel *channel)
{
	return channel->last_byte_s;
}

double http_channel_idle_since_s(const struct http_channel *channel)
{
	return channel->idle_since_s;
}

double http_channel_server_idle_s(const struct http_channel *channel)
{
	return channel->server_idle_s;
}
