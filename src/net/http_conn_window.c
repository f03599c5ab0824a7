/*
 * Limits the bytes that the system holds for callers. A server that doesn't
 * read from a connection for a while, or never again, receives all the same, up
 * to the socket's receive buffer; and the system takes megabytes of answers
 * that a caller doesn't read.
 */
#include "net/http_conn.h"
#include "wire/socket.h"

/* Bounds on a connection's buffers, in bytes. */
#define NARROW_MIN ((size_t)8 << 10)
#define NARROW_MAX ((size_t)64 << 10)
/* A body of more than BODY_MIN bytes gets a receive buffer of WIDE_BYTES while
 * the budget isn't under pressure. */
#define BODY_MIN ((size_t)64 << 10)
#define WIDE_BYTES ((size_t)256 << 10)

/* Returns the size of each connection's buffers for their number: a power of
 * two, so that it seldom changes. */
static size_t buffer_bytes_for(const struct http_server *server)
{
	size_t share =
		server->budget->system_bytes / MAX(server->conns.length, 1);
	size_t bytes = NARROW_MAX;

	while (bytes > NARROW_MIN && bytes > share)
		bytes /= 2;
	return bytes;
}

static void set_buffers(int fd, size_t bytes)
{
	socket_set_receive_buffer(fd, bytes);
	socket_set_unsent_limit(fd, bytes);
}

void http_server_size_windows(struct http_server *server)
{
	size_t suitable;
	GList *link;

	if (!server->budget || !server->budget->system_bytes)
		return;
	suitable = buffer_bytes_for(server);
	/* Half of it was right for a slightly larger number. */
	if (server->buffer_bytes == suitable ||
	    server->buffer_bytes * 2 == suitable)
		return;
	server->buffer_bytes = suitable;
	if (server->fd >= 0)
		set_buffers(server->fd, server->buffer_bytes);
	for (link = server->conns.head; link; link = link->next) {
		const struct http_conn *conn = link->data;

		if (!conn->wide_held && !conn->closed)
			set_buffers(conn->fd, server->buffer_bytes);
	}
}

void http_conn_widen(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	if (conn->wide_held || !server->buffer_bytes ||
	    server->budget->is_pressed ||
	    conn->reading->shared_body->held < BODY_MIN)
		return;
	conn->wide_held = WIDE_BYTES;
	caller_budget_add(server->budget, &conn->holder, WIDE_BYTES);
	socket_set_receive_buffer(conn->fd, WIDE_BYTES);
}

void http_conn_narrow(struct http_conn *conn)
{
	if (!conn->wide_held)
		return;
	http_conn_return(conn, &conn->wide_held);
	socket_set_receive_buffer(conn->fd, conn->server->buffer_bytes);
}

size_t http_server_buffer_bytes(const struct http_server *server)
{
	return server->buffer_bytes;
}
