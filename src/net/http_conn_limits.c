#include "net/http_conn.h"

#include <stddef.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/socket.h"

/* What a connection takes besides its bytes: an estimate from the sizes of the
 * structures, rounded up for the allocator. */
#define CONN_BYTES ((size_t)1024)
/* Text buffers of an idle connection that are larger than this are freed. */
#define KEEP_BYTES ((size_t)1024)

static double conn_now(const struct http_conn *conn)
{
	return loop_now(conn->server->loop);
}

bool http_conn_hold(struct http_conn *conn, size_t len, bool answer)
{
	struct caller_budget *budget = conn->server->budget;

	return !budget || caller_budget_take(budget, &conn->holder, len, answer,
					     conn_now(conn));
}

void http_conn_return(struct http_conn *conn, size_t *held)
{
	if (conn->server->budget)
		caller_budget_return(conn->server->budget, &conn->holder,
				     *held);
	*held = 0;
}

void http_conn_shrink(GString **text)
{
	g_string_truncate(*text, 0);
	if ((*text)->allocated_len <= KEEP_BYTES)
		return;
	g_string_free(*text, TRUE);
	*text = g_string_new(NULL);
}

void http_conn_drop_out(struct http_conn *conn)
{
	http_conn_shrink(&conn->out);
	conn->out_sent = 0;
	http_conn_return(conn, &conn->out_held);
}

void http_request_free_body(struct http_request *request)
{
	if (request->conn->server->budget)
		caller_budget_detach(&request->conn->holder,
				     request->shared_body->held);
	caller_body_unref(request->shared_body);
	request->shared_body = caller_body_create(NULL);
	request->body = request->shared_body->bytes;
}

void http_conn_join_budget(struct http_conn *conn)
{
	struct caller_budget *budget = conn->server->budget;

	if (!budget)
		return;
	caller_budget_join(budget, &conn->holder, conn_now(conn));
	/* The number of connections is limited, so these bytes may exceed the
	 * budget when nothing can be evicted for them. */
	if (!http_conn_hold(conn, CONN_BYTES, false))
		caller_budget_add(budget, &conn->holder, CONN_BYTES);
}

void http_conn_leave_budget(struct http_conn *conn)
{
	size_t rest = conn->holder.held;

	if (!conn->server->budget)
		return;
	http_conn_return(conn, &rest);
	caller_budget_leave(conn->server->budget, &conn->holder);
}

void http_conn_update_state(struct http_conn *conn)
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

/* Counts and reports that the request being received has no room. */
static void refuse_for_memory(struct http_conn *conn)
{
	conn->no_room = true;
	caller_budget_refuse(conn->server->budget, CALLER_REFUSED_MEMORY,
			     conn->holder.held);
}

bool http_conn_hold_head(struct http_conn *conn, size_t len)
{
	if (!http_conn_hold(conn, len, false)) {
		refuse_for_memory(conn);
		return false;
	}
	conn->reading->head_held += len;
	return true;
}

bool http_conn_hold_body(struct http_conn *conn, size_t len)
{
	if (!http_conn_hold(conn, len, false)) {
		refuse_for_memory(conn);
		return false;
	}
	conn->reading->shared_body->held += len;
	caller_budget_progress(&conn->holder, len, conn_now(conn));
	http_conn_widen(conn);
	return true;
}

bool http_conn_body_fits(struct http_conn *conn, size_t len)
{
	struct caller_budget *budget = conn->server->budget;

	if (!budget ||
	    caller_budget_has_room(budget, &conn->holder, len, conn_now(conn)))
		return true;
	refuse_for_memory(conn);
	return false;
}

void http_conn_drop_answer(struct http_request *request, size_t len)
{
	struct http_conn *conn = request->conn;

	request->answer = g_string_new(NULL);
	conn->evicted = true;
	conn->answers_lost = true;
	caller_budget_refuse(conn->server->budget, CALLER_CLOSED_MEMORY,
			     conn->holder.held + len);
	ev_feed_event(conn->server->loop->ev, &conn->io, EV_CUSTOM);
}

/* Frees what was received of a request, except the method. */
static void free_content(struct http_conn *conn, struct http_request *request)
{
	http_request_free_body(request);
	headers_destroy(request->headers);
	request->headers = headers_create();
	http_conn_shrink(&request->target);
	http_conn_shrink(&conn->field);
	http_conn_shrink(&conn->value);
	http_conn_return(conn, &request->head_held);
}

/* Frees the answers that the caller hasn't taken. */
static void free_answers(struct http_conn *conn)
{
	GList *link;

	conn->answers_lost = true;
	http_conn_drop_out(conn);
	for (link = conn->requests.head; link; link = link->next) {
		struct http_request *request = link->data;

		if (!request->answer)
			continue;
		g_string_free(request->answer, TRUE);
		request->answer = g_string_new(NULL);
		http_conn_return(conn, &request->answer_held);
	}
}

static struct http_conn *conn_of(const struct caller_holder *holder)
{
	return (struct http_conn *)((char *)holder -
				    offsetof(struct http_conn, holder));
}

/* Frees what a connection holds, for the budget. Its requests are only told
 * from the event loop, since this is called from within others' handlers. */
static void evict(struct caller_holder *holder)
{
	struct http_conn *conn = conn_of(holder);

	conn->evicted = true;
	http_conn_narrow(conn);
	if (conn->reading)
		free_content(conn, conn->reading);
	if (holder->state == CALLER_SENDING)
		free_answers(conn);
	ev_feed_event(conn->server->loop->ev, &conn->io, EV_CUSTOM);
}

void http_conn_end_eviction(struct http_conn *conn)
{
	conn->evicted = false;
	if (conn->answers_lost) {
		http_conn_close(conn);
	} else if (!conn->closing) {
		/* The method is set once the head is complete. */
		conn->body_refused =
			conn->reading && conn->reading->method->len;
		http_conn_reject(conn, 503);
	} else {
		http_conn_flush(conn);
	}
}

/* Returns whether a request that was read completely isn't answered. */
static bool has_unanswered(const struct http_conn *conn)
{
	const GList *link;

	for (link = conn->requests.head; link; link = link->next)
		if (!((const struct http_request *)link->data)->answer)
			return true;
	return false;
}

/* Whether a connection can be closed for the budget: no request on it is in
 * progress, and of an idle one nothing was received that is not read yet. */
static bool may_close(const struct caller_holder *holder)
{
	const struct http_conn *conn = conn_of(holder);
	char byte;

	if (conn->closed || conn->closing || conn->evicted)
		return false;
	if (holder->state == CALLER_SENDING)
		return !conn->reading && !has_unanswered(conn);
	if (holder->state == CALLER_RECEIVING)
		return !conn->requests.length;
	return !conn->requests.length && !conn->reading && !conn->out->len &&
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
	http_conn_free(conn);
	return true;
}

enum descriptor_use http_server_descriptor_use(const struct http_server *server)
{
	return server->budget ? server->budget->use : DESCRIPTOR_SYSTEM;
}

bool http_server_admit(struct http_server *server, int fd)
{
	const struct caller_budget *budget = server->budget;

	if (!budget || !budget->connections ||
	    (server->conns.length < budget->connections &&
	     descriptors_have_room(server->loop->descriptors, budget->use)) ||
	    close_one(server))
		return true;
	caller_budget_refuse(server->budget, CALLER_REFUSED_CONNECTIONS, 0);
	send_refusal(fd);
	close(fd);
	return false;
}

void http_server_check_accept(struct http_server *server, int error)
{
	if (!socket_lacks_resource(error))
		return;
	if (server->budget) {
		caller_budget_refuse(server->budget, CALLER_NO_DESCRIPTOR, 0);
		(void)close_one(server);
	}
	ev_io_stop(server->loop->ev, &server->accept);
	server->accept_paused = true;
}

void http_server_set_budget(struct http_server *server,
			    struct caller_budget *budget)
{
	static const struct caller_budget_ops ops = {
		.evict = evict,
		.may_close = may_close,
	};

	budget->ops = &ops;
	server->budget = budget;
	http_server_size_windows(server);
}
