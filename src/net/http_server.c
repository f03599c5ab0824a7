#include "net/http_server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_conn.h"
#include "wire/socket.h"

/* Maximum number of bytes received at a time. */
#define READ_BYTES ((size_t)64 << 10)

/* Detects callers whose machine is gone while nothing is sent to them. Poor
 * links lose single probes. */
#define KEEPALIVE_S 5
#define KEEPALIVE_PROBES 3
/* What a request and a header field take besides their bytes: estimates from
 * the sizes of the structures, rounded up for the allocator. */
#define REQUEST_BYTES ((size_t)4096)
#define FIELD_BYTES ((size_t)64)
/* What a byte of a head takes: twice in the blocks of its storage, whose sizes
 * are powers of two, and once in the message to an upstream. */
#define HEAD_FACTOR 3

/* Limits until http_server_set_limits() is called. */
static const struct http_limits default_limits = {
	.header_bytes = 16384,
	.body_bytes = (size_t)64 << 20,
	.header_timeout_s = 10,
	.idle_timeout_s = 60,
};

struct http_request *http_request_create(struct http_conn *conn)
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

void http_request_free(struct http_request *request)
{
	g_string_free(request->method, TRUE);
	g_string_free(request->target, TRUE);
	headers_destroy(request->headers);
	http_request_free_body(request);
	caller_body_unref(request->shared_body);
	http_conn_return(request->conn, &request->head_held);
	http_conn_return(request->conn, &request->answer_held);
	if (request->answer)
		g_string_free(request->answer, TRUE);
	g_free(request);
}

void http_conn_free(struct http_conn *conn)
{
	http_conn_close(conn);
	http_conn_leave_queue(conn);
	http_conn_leave_budget(conn);
	g_queue_unlink(&conn->server->conns, &conn->link);
	g_string_free(conn->field, TRUE);
	g_string_free(conn->value, TRUE);
	g_string_free(conn->out, TRUE);
	g_free(conn);
}

static int on_begin(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	conn->reading = http_request_create(conn);
	conn->head_bytes = 0;
	conn->head_started_s = loop_now(conn->server->loop);
	conn->in_value = false;
	g_string_truncate(conn->field, 0);
	g_string_truncate(conn->value, 0);
	http_conn_update_state(conn);
	return http_conn_hold_head(conn, REQUEST_BYTES) ? 0 : 1;
}

/* Counts bytes of the request's head or trailer, which isn't kept.
 *
 * @return nonzero when it is too long or has no room */
static int count_head(struct http_conn *conn, size_t len)
{
	conn->head_bytes += len;
	if (conn->head_bytes > conn->server->limits.header_bytes)
		return 1;
	if (conn->parser.flags & F_TRAILING)
		return 0;
	return http_conn_hold_head(conn, HEAD_FACTOR * len) ? 0 : 1;
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

	/* Trailer fields are dropped: they must not pass for header fields. */
	if (parser->flags & F_TRAILING)
		return count_head(conn, len);
	if (conn->in_value && end_field(conn))
		return 1;
	/* Four more bytes for ": " and the end of the line. */
	if (!conn->field->len) {
		conn->head_bytes += 4;
		if (!http_conn_hold_head(conn, FIELD_BYTES + 4))
			return 1;
	}
	g_string_append_len(conn->field, at, (gssize)len);
	return count_head(conn, len);
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;

	if (parser->flags & F_TRAILING)
		return count_head(conn, len);
	conn->in_value = true;
	g_string_append_len(conn->value, at, (gssize)len);
	return count_head(conn, len);
}

static int on_head(http_parser *parser)
{
	struct http_conn *conn = parser->data;
	struct http_request *request = conn->reading;
	const struct header *expect;

	if (end_field(conn))
		return -1;
	http_conn_shrink(&conn->field);
	http_conn_shrink(&conn->value);
	conn->body_started_s = loop_now(conn->server->loop);
	g_string_assign(request->method,
			http_method_str((enum http_method)parser->method));
	request->http10 = parser->http_minor == 0;
	/* An Upgrade field must not end the parsing of HTTP. */
	parser->upgrade = 0;
	if (parser->flags & F_CONTENTLENGTH &&
	    (parser->content_length > conn->server->limits.body_bytes ||
	     !http_conn_body_fits(conn, (size_t)parser->content_length))) {
		conn->body_refused = true;
		return 0;
	}
	expect = headers_find(request->headers, STR("expect"));
	if (expect && !conn->requests.length && !conn->out->len)
		g_string_append(conn->out, "HTTP/1.1 100 Continue\r\n\r\n");
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_conn *conn = parser->data;
	size_t limit = conn->server->limits.body_bytes;

	if (conn->body_refused)
		return 0;
	if (conn->reading->body->len + len > limit ||
	    !http_conn_hold_body(conn, len))
		conn->body_refused = true;
	else
		g_string_append_len(conn->reading->body, at, (gssize)len);
	return 0;
}

static int on_chunk(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	/* The trailer follows the last chunk, and has the same limit as the
	 * head. */
	if (parser->flags & F_TRAILING)
		conn->head_bytes = 0;
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct http_conn *conn = parser->data;
	struct http_server *server = conn->server;
	struct http_request *request = conn->reading;

	if (conn->body_refused) {
		/* Nothing behind this request is read. */
		http_parser_pause(parser, 1);
		return 0;
	}
	http_conn_narrow(conn);
	conn->reading = NULL;
	request->complete = true;
	request->received_s = loop_now(server->loop);
	/* Header and trailer may have a Connection field. */
	if (!http_should_keep_alive(parser))
		conn->closing = true;
	g_queue_push_tail(&conn->requests, request);
	server->requests++;
	http_conn_update_state(conn);
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
	.on_chunk_header = on_chunk,
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
	return 400;
}

/* Returns the status that answers a request whose body is refused. */
static unsigned int body_status(const struct http_conn *conn)
{
	return conn->no_room ? 503 : 413;
}

size_t http_conn_parse(struct http_conn *conn, const char *data, size_t len)
{
	enum http_errno error;
	size_t used;

	conn->parsing = true;
	used = http_parser_execute(&conn->parser, &parser_settings, data, len);
	conn->parsing = false;
	if (conn->closed || conn->evicted)
		return used;
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (error != HPE_OK && conn->body_refused) {
		/* The refused request has ended, or can't be delimited. */
		conn->body_refused = false;
		if (conn->reading)
			http_conn_reject(conn, body_status(conn));
	} else if (conn->body_refused && conn->reading) {
		http_conn_reject(conn, body_status(conn));
	} else if (error != HPE_OK && !conn->closing) {
		http_conn_reject(conn, parse_error_status(conn));
	}
	return used;
}

bool http_conn_read(struct http_conn *conn)
{
	static char buf[READ_BYTES];
	ssize_t n;

	if (conn->evicted)
		return false;
	if (conn->closing) {
		http_conn_read_closing(conn);
		return false;
	}
	n = socket_read(conn->fd, buf, sizeof(buf));
	if (n == SOCKET_AGAIN)
		return false;
	if (n <= 0) {
		http_conn_on_input_end(conn);
		return false;
	}
	conn->last_activity_s = loop_now(conn->server->loop);
	(void)http_conn_parse(conn, buf, (size_t)n);
	if (!conn->closed)
		http_conn_flush(conn);
	return true;
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_conn *conn = io->data;

	(void)loop;
	if (conn->evicted && !conn->closed)
		http_conn_end_eviction(conn);
	if (!conn->closed && events & EV_WRITE)
		http_conn_flush(conn);
	if (!conn->closed && events & EV_READ)
		http_conn_read_in_turn(conn);
	if (conn->closed)
		http_conn_free(conn);
}

static void conn_open(struct http_server *server, int fd)
{
	static const struct socket_loss loss = {
		.keepalive_s = KEEPALIVE_S,
		.probes = KEEPALIVE_PROBES,
	};
	struct http_conn *conn = g_new0(struct http_conn, 1);

	socket_detect_loss(fd, &loss);
	descriptors_opened(server->loop->descriptors,
			   http_server_descriptor_use(server));
	conn->server = server;
	conn->fd = fd;
	conn->field = g_string_new(NULL);
	conn->value = g_string_new(NULL);
	conn->out = g_string_new(NULL);
	conn->last_activity_s = loop_now(server->loop);
	conn->acknowledged = true;
	conn->link.data = conn;
	g_queue_init(&conn->requests);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	ev_io_init(&conn->io, on_io, fd, EV_READ);
	conn->io.data = conn;
	conn->events = EV_READ;
	ev_io_start(server->loop->ev, &conn->io);
	g_queue_push_tail_link(&server->conns, &conn->link);
	http_conn_join_budget(conn);
	http_server_size_windows(server);
}

static void accept_all(struct http_server *server)
{
	int fd;

	while ((fd = socket_accept(server->fd)) >= 0)
		if (http_server_admit(server, fd))
			conn_open(server, fd);
	http_server_check_accept(server, errno);
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
	http_server_init_turns(server);
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
		http_conn_free(link->data);
	}
	g_free(server);
}

struct sockaddr_in http_server_address(const struct http_server *server)
{
	struct sockaddr_in address = { 0 };

	socket_address(server->fd, &address);
	return address;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits)
{
	server->limits = *limits;
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
		http_conn_tick(conn, now);
		if (conn->closed)
			http_conn_free(conn);
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
		http_conn_end_idle(conn);
		if (conn->closed)
			http_conn_free(conn);
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
