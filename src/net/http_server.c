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

static struct http_request *request_create(struct http_conn *conn)
{
	struct http_request *request = g_new0(struct http_request, 1);

	request->conn = conn;
	request->method = g_string_new(NULL);
	request->target = g_string_new(NULL);
	request->headers = headers_create();
	request->body = g_string_new(NULL);
	return request;
}

void http_request_free(struct http_request *request)
{
	g_string_free(request->method, TRUE);
	g_string_free(request->target, TRUE);
	headers_destroy(request->headers);
	g_string_free(request->body, TRUE);
	if (request->answer)
		g_string_free(request->answer, TRUE);
	g_free(request);
}

static void conn_free(struct http_conn *conn)
{
	http_conn_close(conn);
	g_queue_unlink(&conn->server->conns, &conn->link);
	g_string_free(conn->field, TRUE);
	g_string_free(conn->value, TRUE);
	g_string_free(conn->out, TRUE);
	g_free(conn);
}

static bool request_is(const struct http_request *request, const char *method)
{
	return !strcmp(request->method->str, method);
}

/* Moves the answer to the first request to the bytes to send. */
static void queue_answer(struct http_conn *conn)
{
	struct http_request *request = g_queue_peek_head(&conn->requests);
	const GString *answer = request->answer;
	bool closes = http_conn_answer_closes(conn);
	GString *out = conn->out;
	size_t begun = 0;

	if (closes)
		conn->closing = true;
	if (conn->begun)
		begun = strlen(BEGINNING);
	conn->begun = false;
	conn->wait_until_s = MAX(conn->wait_until_s, request->wait_until_s);
	g_string_append_len(out, answer->str + begun,
			    (gssize)(request->answer_head - begun));
	if (closes)
		g_string_append(out, "Connection: close\r\n");
	else if (request->http10)
		g_string_append(out, "Connection: keep-alive\r\n");
	g_string_append(out, "\r\n");
	g_string_append_len(out, answer->str + request->answer_head,
			    (gssize)(answer->len - request->answer_head));
	g_queue_pop_head(&conn->requests);
	conn->server->requests--;
	http_request_free(request);
	conn->last_activity_s = loop_now(conn->server->loop);
}

/* Sends the answers at the head of the queue, in the order of the requests. */
static void conn_send_answers(struct http_conn *conn)
{
	const struct http_request *request;

	/* More requests may follow in the bytes that are being parsed. */
	if (conn->parsing)
		return;
	while ((request = g_queue_peek_head(&conn->requests)) &&
	       request->answer)
		queue_answer(conn);
	http_conn_flush(conn);
}

void http_request_answer(struct http_request *request,
			 const struct http_answer *answer)
{
	GString *out = g_string_sized_new(answer->body.len + 512);
	size_t i;

	request->data = NULL;
	g_string_append_printf(out, BEGINNING "%u %s\r\n", answer->status,
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
	request->answer_head = out->len;
	if (!request_is(request, "HEAD") && answer->body.len)
		g_string_append_len(out, answer->body.data,
				    (gssize)answer->body.len);
	request->answer = out;
	conn_send_answers(request->conn);
}

void http_request_abort(struct http_request *request)
{
	struct http_conn *conn = request->conn;

	request->data = NULL;
	request->answer = g_string_new(NULL);
	http_conn_close(conn);
}

void http_conn_reject(struct http_conn *conn, unsigned int status)
{
	struct http_request *request = conn->reading;
	struct http_answer answer = { .status = status };

	if (!request)
		request = request_create(conn);
	conn->reading = NULL;
	conn->closing = true;
	g_queue_push_tail(&conn->requests, request);
	conn->server->requests++;
	http_request_answer(request, &answer);
}

static int on_begin(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	conn->reading = request_create(conn);
	conn->head_bytes = 0;
	conn->head_started_s = loop_now(conn->server->loop);
	conn->in_value = false;
	g_string_truncate(conn->field, 0);
	g_string_truncate(conn->value, 0);
	return 0;
}

/* Counts bytes of the request's head or trailer.
 *
 * @return nonzero when it is too long */
static int count_head(struct http_conn *conn, size_t len)
{
	conn->head_bytes += len;
	return conn->head_bytes > conn->server->limits.header_bytes;
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
	if (!conn->field->len)
		conn->head_bytes += 4;
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
	g_string_assign(request->method,
			http_method_str((enum http_method)parser->method));
	request->http10 = parser->http_minor == 0;
	/* An Upgrade field must not end the parsing of HTTP. */
	parser->upgrade = 0;
	if (parser->flags & F_CONTENTLENGTH &&
	    parser->content_length > conn->server->limits.body_bytes) {
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
	if (conn->reading->body->len + len > limit)
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
	conn->reading = NULL;
	request->complete = true;
	request->received_s = loop_now(server->loop);
	/* Header and trailer may have a Connection field. */
	if (!http_should_keep_alive(parser))
		conn->closing = true;
	g_queue_push_tail(&conn->requests, request);
	server->requests++;
	server->ops->request(server->ctx, request);
	if (conn->closed || conn->closing)
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

	if (conn->head_bytes > limits->header_bytes ||
	    error == HPE_HEADER_OVERFLOW)
		return 431;
	return 400;
}

size_t http_conn_parse(struct http_conn *conn, const char *data, size_t len)
{
	enum http_errno error;
	size_t used;

	conn->parsing = true;
	used = http_parser_execute(&conn->parser, &parser_settings, data, len);
	conn->parsing = false;
	if (conn->closed)
		return used;
	error = HTTP_PARSER_ERRNO(&conn->parser);
	if (error != HPE_OK && conn->body_refused) {
		/* The refused request has ended, or can't be delimited. */
		conn->body_refused = false;
		if (conn->reading)
			http_conn_reject(conn, 413);
	} else if (conn->body_refused && conn->reading) {
		http_conn_reject(conn, 413);
	} else if (error != HPE_OK && !conn->closing) {
		http_conn_reject(conn, parse_error_status(conn));
	}
	return used;
}

bool http_conn_read(struct http_conn *conn)
{
	static char buf[READ_BYTES];
	ssize_t n;

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
		conn_send_answers(conn);
	return true;
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct http_conn *conn = io->data;

	(void)loop;
	if (events & EV_WRITE)
		http_conn_flush(conn);
	if (!conn->closed && events & EV_READ)
		(void)http_conn_read(conn);
	if (conn->closed)
		conn_free(conn);
}

static void accept_all(struct http_server *server)
{
	static const struct socket_loss loss = {
		.keepalive_s = KEEPALIVE_S,
		.probes = KEEPALIVE_PROBES,
	};
	int fd;

	while ((fd = socket_accept(server->fd)) >= 0) {
		struct http_conn *conn = g_new0(struct http_conn, 1);

		socket_detect_loss(fd, &loss);
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
	}
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

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits)
{
	server->limits = *limits;
}

void http_server_tick(struct http_server *server)
{
	double now = loop_now(server->loop);
	GList *link, *next;

	for (link = server->conns.head; link; link = next) {
		struct http_conn *conn = link->data;

		next = link->next;
		http_conn_tick(conn, now);
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
		http_conn_end_idle(conn);
		if (conn->closed)
			conn_free(conn);
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
