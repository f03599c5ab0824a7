/*
 * Limits the bytes that callers have sent and the server hasn't read, which the
 * system holds: a server that doesn't read from a connection for a while, or
 * never again, gets them all the same, up to the socket's receive buffer.
 */
#include "net/http_conn.h"
#include "wire/socket.h"

/* Bounds on a connection's receive buffer, in bytes. */
#define NARROW_MIN ((size_t)8 << 10)
#define NARROW_MAX ((size_t)64 << 10)
/* A body of more than BODY_MIN bytes gets a receive buffer of WIDE_BYTES while
 * the budget isn't under pressure. */
#define BODY_MIN ((size_t)64 << 10)
#define WIDE_BYTES ((size_t)256 << 10)

/* Returns the receive buffer of each connection for their number: a power of
 * two, so that it seldom changes. */
static size_t receive_bytes_for(const struct http_server *server)
{
	size_t share = server->budget->unread / MAX(server->conns.length, 1);
	size_t bytes = NARROW_MAX;

	while (bytes > NARROW_MIN && bytes > share)
		bytes /= 2;
	return bytes;
}

/* Whether a buffer of these bytes is the right one for the present number of
 * connections, or was for a slightly larger one. */
static bool still_suits(const struct http_server *server, size_t bytes)
{
	size_t suitable = receive_bytes_for(server);

	return bytes == suitable || bytes * 2 == suitable;
}

void http_server_size_windows(struct http_server *server)
{
	size_t before = server->receive_bytes;
	GList *link;

	if (!server->budget || !server->budget->unread ||
	    still_suits(server, before))
		return;
	server->receive_bytes = receive_bytes_for(server);
	if (server->fd >= 0)
		socket_set_receive_buffer(server->fd, server->receive_bytes);
	for (link = server->conns.head; link; link = link->next) {
		const struct http_conn *conn = link->data;

		if (!conn->wide_held && !conn->closed)
			socket_set_receive_buffer(conn->fd,
						  server->receive_bytes);
	}
}

void http_conn_widen(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	if (conn->wide_held || !server->receive_bytes ||
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
	socket_set_receive_buffer(conn->fd, conn->server->receive_bytes);
}
