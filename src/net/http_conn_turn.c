/*
 * Limits how long one iteration of the event loop reads from callers. Calls to
 * the store, messages of other VMs, timers and answers of upstreams, which the
 * same loop handles, would otherwise wait until every caller was read, each of
 * which may have sent hundreds of requests.
 */
#include "net/http_conn.h"

/* Time, in seconds, for which an iteration of the event loop reads from
 * callers. */
#define TURN_S 0.02

/* Begins a turn if the event loop is in a new iteration; returns whether time
 * is left in this one. */
static bool has_time(struct http_server *server)
{
	unsigned int iteration = ev_iteration(server->loop->ev);
	double now = loop_now(server->loop);

	if (iteration != server->iteration) {
		server->iteration = iteration;
		server->turn_ends_s = now + TURN_S;
	}
	return now < server->turn_ends_s;
}

static void enter_queue(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	if (server->counted_iteration != server->iteration)
		server->full_turns++;
	server->counted_iteration = server->iteration;
	conn->in_queue = true;
	conn->turn_link.data = conn;
	g_queue_push_tail_link(&server->waiting, &conn->turn_link);
	ev_check_start(server->loop->ev, &server->next_turn);
}

void http_conn_leave_queue(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	if (!conn->in_queue)
		return;
	conn->in_queue = false;
	g_queue_unlink(&server->waiting, &conn->turn_link);
	if (!server->waiting.length)
		ev_check_stop(server->loop->ev, &server->next_turn);
}

/* Reads from the connections that have waited since the last iteration. */
static void on_next_turn(struct ev_loop *loop, ev_check *watcher, int events)
{
	struct http_server *server = watcher->data;

	(void)loop;
	(void)events;
	while (server->waiting.length && has_time(server)) {
		struct http_conn *conn = server->waiting.head->data;

		http_conn_leave_queue(conn);
		if (conn->events & EV_READ)
			(void)http_conn_read(conn);
		if (conn->closed)
			http_conn_free(conn);
	}
}

void http_server_init_turns(struct http_server *server)
{
	g_queue_init(&server->waiting);
	ev_check_init(&server->next_turn, on_next_turn);
	/* Before the connections that are readable in this iteration. */
	ev_set_priority(&server->next_turn, EV_MAXPRI);
	server->next_turn.data = server;
}

uint64_t http_server_full_turns(const struct http_server *server)
{
	return server->full_turns;
}

void http_conn_read_in_turn(struct http_conn *conn)
{
	if (conn->in_queue)
		return;
	if (has_time(conn->server))
		(void)http_conn_read(conn);
	else
		enter_queue(conn);
}
