#include "net/http_server.h"

#include <errno.h>
#include <http_parser.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/socket.h"

/* The server doesn't read from a connection while this many of its requests are
 * in progress. The last read can bring in more. */
#define PIPELINE_MAX 16
/* Maximum number of bytes received at a time. */
#define READ_BYTES ((size_t)64 << 10)
/* After the last answer, a connection's data is read and discarded for this
 * many seconds. Closing a connection with unread data would reset it, and the
 * caller could lose the answer. */
#define LINGER_S 1.0
/* What a connection, a request and a header field take besides their bytes:
 * estimates from the sizes of the structures, rounded up for the allocator. */
#define CONN_BYTES ((size_t)1024)
#define REQUEST_BYTES ((size_t)4096)
#define FIELD_BYTES ((size_t)64)
/* Size of an answer's head that is assumed for its account. */
#define ANSWER_HEAD_BYTES ((size_t)512)
/* Text buffers of an idle connection that are larger than this are freed. */
#define KEEP_BYTES ((size_t)1024)
/* Retry-After of a request that is refused for lack of memory, in seconds:
 * holders that make no progress are evicted within half of that. */
#define REFUSED_RETRY_S "1"

/* A caller's connection. */
struct http_conn {
	struct http_server *server;
	int fd;
	ev_io io;
	/** Events that io watches: EV_READ, EV_WRITE. */
	int events;
	http_parser parser;
	/** Name and value of the header field that the parser is reading. */
	GString *field;
	GString *value;
	/** The field's name is complete; the parser is reading the value. */
	bool in_value;
	/** Number of bytes of the current request's target and header fields
	 * received so far. */
	size_t head_bytes;
	/** The request that is being received, or NULL. */
	struct http_request *reading;
	/** Complete requests in the order of arrival: struct http_request. */
	GQueue requests;
	/** Bytes to send, and how many of them are sent. */
	GString *out;
	size_t out_sent;
	/** Loop time when data was last received or an answer was queued. */
	double last_activity_s;
	/** Loop time at which the first byte of the current request arrived. */
	double head_started_s;
	/** The connection accepts no further request. */
	bool closing;
	/** The sending direction is shut down. */
	bool half_closed;
	/** Loop time at which a half-closed connection is closed. */
	double linger_until_s;
	/** Account in the server's budget, and what of it is for out. */
	struct caller_holder holder;
	size_t out_held;
	/** The budget has no room for the request that is being received. */
	bool no_room;
	/** What the connection held was freed. on_io() refuses the request that
	 * was being received or, if answers were lost, closes the connection.
	 */
	bool evicted;
	bool answers_lost;
	/** Loop time at which the head of the current request was complete. */
	double body_started_s;
	/** The socket is closed; the connection is freed by on_io() or by
	 * http_server_tick(). */
	bool closed;
	/** Element of http_server.conns. */
	GList link;
};

struct http_server {
	struct loop *loop;
	/** The listening socket; -1 after http_server_close_idle(). */
	int fd;
	/** Watcher for connections to accept. */
	ev_io accept;
	const struct http_server_ops *ops;
	void *ctx;
	struct http_limits limits;
	/** Limits what the connections hold; NULL: no limit. */
	struct caller_budget *budget;
	/** Accepting is paused until the next tick: no descriptor is left. */
	bool accept_paused;
	/** Open connections: struct http_conn. */
	GQueue conns;
	/** Value of http_server_requests(). */
	unsigned int requests;
	/** http_server_drain() was called. */
	bool draining;
};

/* Limits until http_server_set_limits() is called. */
static const struct http_limits default_limits = {
	.header_bytes = 16384,
	.body_bytes = (size_t)64 << 20,
	.header_timeout_s = 10,
	.idle_timeout_s = 60,
};

struct status_text {
	unsigned int status;
	const char *text;
};

static const struct status_text status_texts[] = {
	{ 200, "OK" },
	{ 400, "Bad Request" },
	{ 404, "Not Found" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 421, "Misdirected Request" },
	{ 429, "Too Many Requests" },
	{ 431, "Request Header Fields Too Large" },
	{ 500, "Internal Server Error" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
};

const char *http_reason(unsigned int status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(status_texts); i++)
		if (status_texts[i].status == status)
			return status_texts[i].text;
	return "Status";
}

static double conn_now(const struct http_conn *conn)
{
	return loop_now(conn->server->loop);
}

/* Takes bytes from the server's budget; returns false when there is no room. */
static bool conn_hold(struct http_conn *conn, size_t len, bool answer)
{
	struct caller_budget *budget = conn->server->budget;

	return !budget || caller_budget_take(budget, &conn->holder, len, answer,
					     conn_now(conn));
}

/* Gives bytes back and zeroes their count. */
static void conn_return(struct http_conn *conn, size_t *held)
{
	if (conn->server->budget)
		caller_budget_return(conn->server->budget, &conn->holder,
				     *held);
	*held = 0;
}

/* Frees a text buffer that has grown. */
static void shrink(GString **text)
{
	g_string_truncate(*text, 0);
	if ((*text)->allocated_len <= KEEP_BYTES)
		return;
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

/* Drops the request's reference to its body. */
static void request_free_body(struct http_request *request)
{
	if (request->conn->server->budget)
		caller_budget_detach(&request->conn->holder,
				     request->shared_body->held);
	caller_body_unref(request->shared_body);
	request->shared_body = caller_body_create(NULL);
	request->body = request->shared_body->bytes;
}

static struct http_request *request_create(struct http_conn *conn)
{
	struct http_request *request = g_new0(struct http_request, 1);

	request->conn = conn;
	request->method = g_string_new(NULL);
	request->target = g_string_new(NULL);
	request->headers = headers_create();
	request->shared_body = caller_body_create(conn->server->budget);
	request->body = request->shared_body->bytes;
	return request;
}

static void request_free(struct http_request *request)
{
	g_string_free(request->method, TRUE);
	g_string_free(request->target, TRUE);
	headers_destroy(request->headers);
	request_free_body(request);
	caller_body_unref(request->shared_body);
	conn_return(request->conn, &request->head_held);
	conn_return(request->conn, &request->answer_held);
	if (request->answer)
		g_string_free(request->answer, TRUE);
	g_free(request);
}

/* Frees all requests; calls gone() for complete ones without an answer. */
static void conn_free_requests(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_request *request;

	while ((request = g_queue_pop_head(&conn->requests))) {
		server->requests--;
		if (!request->answer)
			server->ops->gone(server->ctx, request);
		request_free(request);
	}
	if (conn->reading)
		request_free(conn->reading);
	conn->reading = NULL;
}

static void conn_close(struct http_conn *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	ev_io_stop(conn->server->loop->ev, &conn->io);
	close(conn->fd);
	conn_free_requests(conn);
	conn->out_sent = 0;
	shrink(&conn->out);
	conn_return(conn, &conn->out_held);
	conn->holder.state = CALLER_IDLE;
}

static void conn_free(struct http_conn *conn)
{
	conn_close(conn);
	conn_return(conn, &conn->out_held);
	if (conn->server->budget) {
		size_t rest = conn->holder.held;

		conn_return(conn, &rest);
		caller_budget_leave(conn->server->budget, &conn->holder);
	}
	g_queue_unlink(&conn->server->conns, &conn->link);
	g_string_free(conn->field, TRUE);
	g_string_free(conn->value, TRUE);
	g_string_free(conn->out, TRUE);
	g_free(conn);
}

/* Sets the events, EV_READ and EV_WRITE, that the connection waits for. */
static void conn_watch(struct http_conn *conn, int events)
{
	/* Stopping the watcher would also drop the event of an eviction. */
	if (conn->closed || conn->evicted || conn->events == events)
		return;
	conn->events = events;
	ev_io_stop(conn->server->loop->ev, &conn->io);
	if (!events)
		return;
	ev_io_set(&conn->io, conn->fd, events);
	ev_io_start(conn->server->loop->ev, &conn->io);
}

static bool conn_accepts_requests(const struct http_conn *conn)
{
	return conn->requests.length < PIPELINE_MAX;
}

/* Shuts down the sending direction; received data is discarded from now on. */
static void conn_half_close(struct http_conn *conn)
{
	if (conn->half_closed)
		return;
	conn->half_closed = true;
	conn->linger_until_s = loop_now(conn->server->loop) + LINGER_S;
	if (shutdown(conn->fd, SHUT_WR) < 0)
		conn_close(conn);
}

/* Tells the budget what the connection holds bytes for. */
static void conn_update_state(struct http_conn *conn)
{
	const struct http_request *first = g_queue_peek_head(&conn->requests);
	enum caller_state state = CALLER_IDLE;

	if (conn->out->len || (first && first->answer))
		state = CALLER_SENDING;
	else if (conn->reading)
		state = CALLER_RECEIVING;
	else if (first)
		state = CALLER_RUNNING;
	caller_budget_set_state(&conn->holder, state, conn_now(conn));
}

/* Frees what was received of a request, except the method. */
static void request_free_content(struct http_conn *conn,
				 struct http_request *request)
{
	request_free_body(request);
	headers_destroy(request->headers);
	request->headers = headers_create();
	shrink(&request->target);
	shrink(&conn->field);
	shrink(&conn->value);
	conn_return(conn, &request->head_held);
}

static struct http_conn *conn_of(const struct caller_holder *holder)
{
	return (struct http_conn *)((char *)holder -
				    offsetof(struct http_conn, holder));
}

/* Frees what a connection holds, for the budget. Its requests are only told
 * from the event loop, since this is called from within others' handlers. */
static void conn_evict(struct caller_holder *holder)
{
	struct http_conn *conn = conn_of(holder);
	GList *link;

	conn->evicted = true;
	if (conn->reading)
		request_free_content(conn, conn->reading);
	if (holder->state == CALLER_SENDING) {
		conn->answers_lost = true;
		conn->out_sent = 0;
		shrink(&conn->out);
		conn_return(conn, &conn->out_held);
		for (link = conn->requests.head; link; link = link->next) {
			struct http_request *request = link->data;

			if (!request->answer)
				continue;
			g_string_free(request->answer, TRUE);
			request->answer = g_string_new(NULL);
			conn_return(conn, &request->answer_held);
		}
	}
	ev_feed_event(conn->server->loop->ev, &conn->io, EV_CUSTOM);
}

/* Writes as much as the socket accepts. Half-closes a connection that accepts
 * no further request once everything is sent. */
static void conn_flush(struct http_conn *conn)
{
	if (conn->evicted)
		return;
	while (conn->out_sent < conn->out->len) {
		ssize_t n =
			socket_write(conn->fd, conn->out->str + conn->out_sent,
				     conn->out->len - conn->out_sent);

		if (n == SOCKET_AGAIN)
			break;
		if (n < 0) {
			conn_close(conn);
			return;
		}
		conn->out_sent += (size_t)n;
		caller_budget_progress(&conn->holder, (size_t)n,
				       conn_now(conn));
	}
	if (conn->out_sent == conn->out->len) {
		shrink(&conn->out);
		conn->out_sent = 0;
		conn_return(conn, &conn->out_held);
		if (conn->closing && !conn->requests.length && !conn->reading)
			conn_half_close(conn);
	}
	conn_watch(conn, (conn_accepts_requests(conn) ? EV_READ : 0) |
				 (conn->out->len ? EV_WRITE : 0));
}

/* Sends the answers at the head of the queue, in the order of the requests. */
static void conn_send_answers(struct http_conn *conn)
{
	struct http_request *request;

	conn_flush(conn);
	while (!conn->closed && !conn->evicted && !conn->out->len &&
	       (request = g_queue_peek_head(&conn->requests)) &&
	       request->answer) {
		GString *sent = conn->out;
		bool close_after = request->close_after_answer;

		/* The answer moves without a copy; the next one waits until it
		 * is sent. */
		conn->out = request->answer;
		conn->out_held = request->answer_held;
		request->answer = sent;
		request->answer_held = 0;
		g_queue_pop_head(&conn->requests);
		conn->server->requests--;
		request_free(request);
		conn->last_activity_s = loop_now(conn->server->loop);
		if (close_after) {
			conn->closing = true;
			conn_free_requests(conn);
		}
		conn_flush(conn);
	}
	conn_update_state(conn);
}

static bool request_is(const struct http_request *request, const char *method)
{
	return !strcmp(request->method->str, method);
}

/* Returns whether no other request of the connection is in progress behind this
 * one.
 * Closing the connection after its answer would lose such requests. */
static bool is_last_request(const struct http_request *request)
{
	return !request->conn->reading &&
	       g_queue_peek_tail(&request->conn->requests) == request;
}

/* Drops an answer for which there is no memory; the connection is closed from
 * the event loop, since the answer's owner may still use the request. */
static void drop_answer(struct http_request *request, size_t len)
{
	struct http_conn *conn = request->conn;

	request->answer = g_string_new(NULL);
	conn->evicted = true;
	conn->answers_lost = true;
	caller_budget_refuse(conn->server->budget, CALLER_CLOSED_MEMORY,
			     conn->holder.held + len);
	ev_feed_event(conn->server->loop->ev, &conn->io, EV_CUSTOM);
}

/* Whether an answer's body is part of its request's body. */
static bool is_echo(const struct http_request *request,
		    const struct http_answer *answer)
{
	return answer->body.len && answer->body.data >= request->body->str &&
	       answer->body.data <= request->body->str + request->body->len;
}

void http_request_answer(struct http_request *request,
			 const struct http_answer *answer)
{
	struct http_conn *conn = request->conn;
	size_t held = answer->body.len + ANSWER_HEAD_BYTES;
	GString *out;
	size_t i;

	request->data = NULL;
	if (!is_echo(request, answer))
		request_free_body(request);
	if (!conn_hold(conn, held, true)) {
		drop_answer(request, held);
		return;
	}
	request->answer_held = held;
	out = g_string_sized_new(held);
	if (conn->server->draining && is_last_request(request))
		request->close_after_answer = true;
	g_string_append_printf(out, "HTTP/1.1 %u %s\r\n", answer->status,
			       http_reason(answer->status));
	for (i = 0; answer->headers && i < headers_count(answer->headers);
	     i++) {
		const struct header *h = headers_at(answer->headers, i);

		g_string_append_printf(out, "%.*s: %.*s\r\n", STR_ARG(h->name),
				       STR_ARG(h->value));
	}
	if (answer->status != 204 && answer->status != 304)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       answer->body.len);
	if (request->close_after_answer)
		g_string_append(out, "Connection: close\r\n");
	else if (request->http10)
		g_string_append(out, "Connection: keep-alive\r\n");
	g_string_append(out, "\r\n");
	if (!request_is(request, "HEAD") && answer->body.len)
		g_string_append_len(out, answer->body.data,
				    (gssize)answer->body.len);
	request->answer = out;
	request_free_body(request);
	conn_send_answers(conn);
}

void http_request_abort(struct http_request *request)
{
	struct http_conn *conn = request->conn;

	request->data = NULL;
	request->answer = g_string_new(NULL);
	conn_close(conn);
}

/* Answers an invalid or late request with an error status and closes the
 * connection. */
static void conn_reject(struct http_conn *conn, unsigned int status)
{
	struct http_request *request = conn->reading;
	struct headers *headers = headers_create();
	struct http_answer answer = { .status = status, .headers = headers };

	if (status == 503)
		headers_add(headers, STR("Retry-After"), STR(REFUSED_RETRY_S));
	if (!request)
		request = request_create(conn);
	conn->reading = NULL;
	conn->closing = true;
	request->close_after_answer = true;
	g_queue_push_tail(&conn->requests, request);
	conn->server->requests++;
	http_request_answer(request, &answer);
	headers_destroy(headers);
}

/* Counts and reports that the request being received has no room. */
static void refuse_for_memory(struct http_conn *conn)
{
	conn->no_room = true;
	caller_budget_refuse(conn->server->budget, CALLER_REFUSED_MEMORY,
			     conn->holder.held);
}

/* Takes bytes for the head of the request that is being received.
 *
 * @return false when there is no room */
static bool hold_head(struct http_conn *conn, size_t len)
{
	if (!conn_hold(conn, len, false)) {
		refuse_for_memory(conn);
		return false;
	}
	conn->reading->head_held += len;
	return true;
}

static int on_begin(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	conn->reading = request_create(conn);
	conn->head_bytes = 0;
	conn->head_started_s = loop_now(conn->server->loop);
	conn->in_value = false;
	conn_update_state(conn);
	return hold_head(conn, REQUEST_BYTES) ? 0 : 1;
}

/* Counts bytes of the request's head.
 *
 * @return nonzero when the head is too long */
static int count_head(struct http_conn *conn, size_t len)
{
	conn->head_bytes += len;
	return conn->head_bytes > conn->server->limits.header_bytes ||
	       !hold_head(conn, len);
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;

	g_string_append_len(conn->reading->target, at, (gssize)len);
	return count_head(conn, len);
}

/* Adds the header field that was read, if any.
 *
 * @return nonzero when the field is malformed */
static int end_field(struct http_conn *conn)
{
	bool ok = true;

	if (conn->in_value)
		ok = headers_add(
			conn->reading->headers,
			(struct str){ conn->field->str, conn->field->len },
			(struct str){ conn->value->str, conn->value->len });
	conn->in_value = false;
	g_string_truncate(conn->field, 0);
	g_string_truncate(conn->value, 0);
	return ok ? 0 : 1;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;

	if (conn->in_value && end_field(conn))
		return 1;
	if (!conn->field->len && !hold_head(conn, FIELD_BYTES))
		return 1;
	g_string_append_len(conn->field, at, (gssize)len);
	return count_head(conn, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;

	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	/* Four more bytes for ": " and the end of the line. */
	return count_head(conn, len + 4);
}

static int on_head(http_parser *parser)
{
	struct http_conn *conn = parser->data;
	struct http_request *request = conn->reading;
	const struct header *expect;

	if (end_field(conn))
		return -1;
	shrink(&conn->field);
	shrink(&conn->value);
	conn->body_started_s = conn_now(conn);
	g_string_assign(request->method,
			http_method_str((enum http_method)parser->method));
	request->close_after_answer = !http_should_keep_alive(parser);
	request->http10 = parser->http_minor == 0;
	/* An Upgrade field must not end the parsing of HTTP. */
	parser->upgrade = 0;
	if (parser->flags & F_CONTENTLENGTH &&
	    parser->content_length > conn->server->limits.body_bytes)
		return -1;
	if (parser->flags & F_CONTENTLENGTH && conn->server->budget &&
	    !caller_budget_has_room(conn->server->budget, &conn->holder,
				    (size_t)parser->content_length,
				    conn_now(conn))) {
		refuse_for_memory(conn);
		return -1;
	}
	expect = headers_find(request->headers, STR("expect"));
	if (expect && !conn->requests.length && !conn->out->len)
		g_string_append(conn->out, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;
	GString *body = conn->reading->body;

	if (body->len + len > conn->server->limits.body_bytes)
		return 1;
	if (!conn_hold(conn, len, false)) {
		refuse_for_memory(conn);
		return 1;
	}
	conn->reading->shared_body->held += len;
	caller_budget_progress(&conn->holder, len, conn_now(conn));
	g_string_append_len(body, at, (gssize)len);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_conn *conn = parser->data;
	struct http_server *server = conn->server;
	struct http_request *request = conn->reading;

	conn->reading = NULL;
	request->complete = true;
	request->received_s = loop_now(server->loop);
	if (request->close_after_answer)
		conn->closing = true;
	g_queue_push_tail(&conn->requests, request);
	server->requests++;
	conn_update_state(conn);
	server->ops->request(server->ctx, request);
	if (conn->closed || conn->closing || conn->evicted)
		http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

/* Returns the status that answers a request on which the parser failed. */
static unsigned int parse_error_status(const struct http_conn *conn)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);
	const struct http_limits *limits = &conn->server->limits;

	if (conn->no_room)
		return 503;
	if (conn->head_bytes > limits->header_bytes ||
	    error == HPE_HEADER_OVERFLOW)
		return 431;
	if (error == HPE_CB_body ||
	    (error == HPE_CB_headers_complete &&
	     conn->parser.content_length > limits->body_bytes &&
	     conn->parser.flags & F_CONTENTLENGTH))
		return 413;
	return 400;
}

static void conn_parse(struct http_conn *conn, const char *data, size_t len)
{
	if (conn->closing || conn->evicted)
		return;
	conn->last_activity_s = loop_now(conn->server->loop);
	http_parser_execute(&conn->parser, &parser_settings, data, len);
	if (conn->closed || conn->closing || conn->evicted)
		return;
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		conn_reject(conn, parse_error_status(conn));
}

static void conn_read(struct http_conn *conn)
{
	static char buf[READ_BYTES];
	ssize_t n = socket_read(conn->fd, buf, sizeof(buf));

	if (n == SOCKET_AGAIN)
		return;
	if (n <= 0) {
		conn_close(conn);
		return;
	}
	conn_parse(conn, buf, (size_t)n);
	if (!conn->closed)
		conn_send_answers(conn);
}

/* Ends what the connection held when it was evicted. */
static void conn_end_eviction(struct http_conn *conn)
{
	conn->evicted = false;
	if (conn->answers_lost)
		conn_close(conn);
	else if (!conn->closing)
		conn_reject(conn, 503);
	else
		conn_send_answers(conn);
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_conn *conn = io->data;

	(void)loop;
	if (conn->evicted && !conn->closed)
		conn_end_eviction(conn);
	if (!conn->closed && events & EV_WRITE)
		conn_send_answers(conn);
	if (!conn->closed && events & EV_READ)
		conn_read(conn);
	if (conn->closed)
		conn_free(conn);
}

static void conn_open(struct http_server *server, int fd)
{
	struct http_conn *conn = g_new0(struct http_conn, 1);

	conn->server = server;
	conn->fd = fd;
	conn->field = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	conn->out = g_string_new(NULL);
	conn->last_activity_s = loop_now(server->loop);
	conn->link.data = conn;
	g_queue_init(&conn->requests);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	ev_io_init(&conn->io, on_io, fd, EV_READ);
	conn->io.data = conn;
	conn->events = EV_READ;
	ev_io_start(server->loop->ev, &conn->io);
	g_queue_push_tail_link(&server->conns, &conn->link);
	if (!server->budget)
		return;
	caller_budget_join(server->budget, &conn->holder, conn_now(conn));
	/* The number of connections is limited, so these bytes may exceed the
	 * budget when nothing can be evicted for them. */
	if (!conn_hold(conn, CONN_BYTES, false))
		caller_budget_add(server->budget, &conn->holder, CONN_BYTES);
}

/* Whether a connection has no request and no bytes to send. */
static bool conn_idle(const struct http_conn *conn)
{
	return !conn->requests.length && !conn->reading && !conn->out->len &&
	       !conn->half_closed;
}

/* Whether a connection can be closed for the budget: no request on it is in
 * progress, and of an idle one nothing was received that is not read yet. */
static bool conn_may_close(const struct caller_holder *holder)
{
	struct http_conn *conn = conn_of(holder);
	const struct http_request *last = g_queue_peek_tail(&conn->requests);
	char byte;

	if (conn->closed || conn->closing || conn->evicted)
		return false;
	if (holder->state == CALLER_SENDING)
		return !conn->reading && (!last || last->answer);
	if (holder->state == CALLER_RECEIVING)
		return !last;
	return conn_idle(conn) &&
	       recv(conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
}

/* Sends a refusal on a connection on which nothing is in progress, which is to
 * be closed next. */
static void send_refusal(int fd)
{
	static const char text[] = "HTTP/1.1 503 Service Unavailable\r\n"
				   "Retry-After: " REFUSED_RETRY_S "\r\n"
				   "Content-Length: 0\r\n"
				   "Connection: close\r\n\r\n";

	/* A caller whose connection breaks first learns nothing, either way. */
	(void)socket_write(fd, text, sizeof(text) - 1);
}

/* Closes a connection to make room for another; returns whether there was one
 * to close. */
static bool close_one(struct http_server *server)
{
	static const enum caller_refusal refusals[] = {
		[CALLER_IDLE] = CALLER_CLOSED_IDLE,
		[CALLER_RECEIVING] = CALLER_REFUSED_CONNECTIONS,
		[CALLER_SENDING] = CALLER_CLOSED_UNREAD,
	};
	struct caller_holder *holder = caller_budget_choose_connection(
		server->budget, loop_now(server->loop));
	struct http_conn *conn;

	if (!holder)
		return false;
	conn = conn_of(holder);
	caller_budget_refuse(server->budget, refusals[holder->state],
			     holder->held);
	if (holder->state == CALLER_RECEIVING)
		send_refusal(conn->fd);
	conn_free(conn);
	return true;
}

/* Pauses accepting when no descriptor is left: the socket stays readable, and
 * the event loop would call without end. */
static void pause_accepting(struct http_server *server)
{
	if (server->budget) {
		caller_budget_refuse(server->budget, CALLER_NO_DESCRIPTOR, 0);
		(void)close_one(server);
	}
	ev_io_stop(server->loop->ev, &server->accept);
	server->accept_paused = true;
}

static void accept_all(struct http_server *server)
{
	const struct caller_budget *budget = server->budget;
	int fd;

	while ((fd = socket_accept(server->fd)) >= 0) {
		if (budget && budget->connections &&
		    server->conns.length >= budget->connections &&
		    !close_one(server)) {
			caller_budget_refuse(server->budget,
					     CALLER_REFUSED_CONNECTIONS, 0);
			send_refusal(fd);
			close(fd);
		} else {
			conn_open(server, fd);
		}
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
	    errno == ENOMEM)
		pause_accepting(server);
}

static void on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	accept_all(io->data);
}

struct http_server *http_server_create(struct loop *loop,
				       const struct sockaddr_in *address,
				       const struct http_server_ops *ops,
				       void *ctx, GError **error)
{
	struct http_server *server;
	int fd = socket_listen(address, error);

	if (fd < 0)
		return NULL;
	server = g_new0(struct http_server, 1);
	server->loop = loop;
	server->fd = fd;
	server->ops = ops;
	server->ctx = ctx;
	server->limits = default_limits;
	g_queue_init(&server->conns);
	ev_io_init(&server->accept, on_accept, fd, EV_READ);
	server->accept.data = server;
	ev_io_start(loop->ev, &server->accept);
	return server;
}

static void stop_listening(struct http_server *server)
{
	if (server->fd < 0)
		return;
	ev_io_stop(server->loop->ev, &server->accept);
	close(server->fd);
	server->fd = -1;
}

void http_server_destroy(struct http_server *server)
{
	GList *link, *next;

	if (!server)
		return;
	stop_listening(server);
	for (link = server->conns.head; link; link = next) {
		next = link->next;
		conn_free(link->data);
	}
	g_free(server);
}

struct sockaddr_in http_server_address(const struct http_server *server)
{
	struct sockaddr_in address = { 0 };

	socket_address(server->fd, &address);
	return address;
}

void http_server_set_budget(struct http_server *server,
			    struct caller_budget *budget)
{
	static const struct caller_budget_ops ops = {
		.evict = conn_evict,
		.may_close = conn_may_close,
	};

	budget->ops = &ops;
	server->budget = budget;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits)
{
	server->limits = *limits;
}

/* Whether the head or the body of the request that is being received took
 * longer than allowed. */
static bool reading_timed_out(const struct http_conn *conn, double now)
{
	const struct caller_budget *budget = conn->server->budget;

	/* The method is set once the head is complete. */
	if (!conn->reading->method->len)
		return now - conn->head_started_s >
		       conn->server->limits.header_timeout_s;
	return budget && budget->body_timeout_s > 0 &&
	       now - conn->body_started_s > budget->body_timeout_s;
}

/* Closes the connection if one of its time limits has passed. */
static void conn_tick(struct http_conn *conn, double now)
{
	const struct http_limits *limits = &conn->server->limits;

	if (conn->closed)
		return;
	if (conn->half_closed) {
		if (now > conn->linger_until_s)
			conn_close(conn);
		return;
	}
	if (conn->reading) {
		if (reading_timed_out(conn, now))
			conn_reject(conn, 408);
		else if (now - conn->last_activity_s > limits->idle_timeout_s)
			conn_close(conn);
		return;
	}
	if (!conn->requests.length && !conn->out->len &&
	    now - conn->last_activity_s > limits->idle_timeout_s)
		conn_close(conn);
}

void http_server_tick(struct http_server *server)
{
	double now = loop_now(server->loop);
	GList *link, *next;

	if (server->accept_paused && server->fd >= 0)
		ev_io_start(server->loop->ev, &server->accept);
	server->accept_paused = false;
	for (link = server->conns.head; link; link = next) {
		struct http_conn *conn = link->data;

		next = link->next;
		conn_tick(conn, now);
		if (conn->closed)
			conn_free(conn);
	}
}

void http_server_drain(struct http_server *server)
{
	server->draining = true;
}

void http_server_close_idle(struct http_server *server)
{
	GList *link, *next;

	/* Connections and requests that arrived but were not read are not idle:
	 * their callers can't tell that nothing was read. */
	if (server->fd >= 0)
		accept_all(server);
	stop_listening(server);
	for (link = server->conns.head; link; link = next) {
		struct http_conn *conn = link->data;

		next = link->next;
		if (!conn->closed && !conn->closing && !conn->half_closed)
			conn_read(conn);
		if (conn->closed) {
			conn_free(conn);
		} else if (conn_idle(conn)) {
			conn->closing = true;
			conn_half_close(conn);
		}
	}
}

unsigned int http_server_connections(const struct http_server *server)
{
	return server->conns.length;
}

unsigned int http_server_requests(const struct http_server *server)
{
	return server->requests;
}
