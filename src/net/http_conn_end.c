#include "net/http_conn.h"

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/socket.h"

/* The server doesn't read from a connection while this many of its requests are
 * in progress. The last read can bring in more. */
#define PIPELINE_MAX 16
/* How long a connection stays open, after the caller has acknowledged
 * everything, for the caller to end it. Closing it with unread bytes resets it,
 * and the caller could lose an answer that it hasn't taken from its system. */
#define LINGER_S 1.0
/* Time without an acknowledgement of sent bytes after which the machine of a
 * caller that doesn't wait any more counts as gone. */
#define LOST_MS 2000
/* Maximum number of bytes of a refused body that are discarded at a time. */
#define DISCARD_BYTES ((size_t)64 << 10)

/* Frees all requests; calls gone() for complete ones without an answer. */
static void free_requests(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_request *request;

	while ((request = g_queue_pop_head(&conn->requests))) {
		server->requests--;
		if (!request->answer)
			server->ops->gone(server->ctx, request);
		http_request_free(request);
	}
	if (conn->reading)
		http_request_free(conn->reading);
	conn->reading = NULL;
}

void http_conn_close(struct http_conn *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	ev_io_stop(conn->server->loop->ev, &conn->io);
	close(conn->fd);
	descriptors_closed(conn->server->loop->descriptors,
			   http_server_descriptor_use(conn->server));
	free_requests(conn);
	http_conn_drop_out(conn);
	conn->holder.state = CALLER_IDLE;
}

/* Sets the events, EV_READ and EV_WRITE, that the connection waits for. */
static void watch(struct http_conn *conn, int events)
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

/* Returns whether readability is of interest. */
static bool wants_read(const struct http_conn *conn)
{
	if (conn->closing)
		return !conn->unread && !conn->input_ended;
	return conn->requests.length < PIPELINE_MAX;
}

static bool has_requests(const struct http_conn *conn)
{
	return conn->requests.length || conn->reading;
}

/* Returns whether the first request is answered. */
static bool has_answer(struct http_conn *conn)
{
	const struct http_request *first = g_queue_peek_head(&conn->requests);

	return first && first->answer;
}

bool http_conn_answer_closes(const struct http_conn *conn)
{
	return conn->requests.length == 1 && !conn->reading &&
	       (conn->closing || conn->server->draining);
}

/* Shuts down the sending direction; nothing is read from now on but the rest of
 * a refused request. */
static void half_close(struct http_conn *conn)
{
	if (conn->half_closed)
		return;
	conn->closing = true;
	conn->half_closed = true;
	/* Without unread bytes the system goes on sending after the close. */
	if ((conn->input_ended && !conn->unread) ||
	    shutdown(conn->fd, SHUT_WR) < 0)
		http_conn_close(conn);
}

/* Writes as much as the socket accepts of the bytes to send, and frees them
 * when all are written.
 *
 * @return whether all are written */
static bool write_out(struct http_conn *conn)
{
	while (conn->out_sent < conn->out->len) {
		ssize_t n =
			socket_write(conn->fd, conn->out->str + conn->out_sent,
				     conn->out->len - conn->out_sent);

		if (n == SOCKET_AGAIN)
			return false;
		if (n < 0) {
			http_conn_close(conn);
			return false;
		}
		conn->out_sent += (size_t)n;
		conn->acknowledged = false;
		caller_budget_progress(&conn->holder, (size_t)n,
				       loop_now(conn->server->loop));
	}
	http_conn_drop_out(conn);
	conn->untaken = 0;
	return true;
}

void http_conn_flush(struct http_conn *conn)
{
	/* More requests may follow in the bytes that are being parsed. */
	if (conn->closed || conn->evicted || conn->parsing)
		return;
	do {
		http_conn_next_answer(conn);
	} while (write_out(conn) && has_answer(conn));
	if (conn->closed)
		return;
	if (!conn->out->len && conn->closing && !has_requests(conn))
		half_close(conn);
	if (conn->closed)
		return;
	watch(conn, (wants_read(conn) ? EV_READ : 0) |
			    (conn->out->len ? EV_WRITE : 0));
	http_conn_update_state(conn);
}

/* Sends the beginning of the next answer, unless an answer is being sent, so
 * that the system of a caller that has left resets the connection. */
static void probe(struct http_conn *conn)
{
	if (conn->begun || conn->out->len)
		return;
	conn->begun = true;
	g_string_append(conn->out, BEGINNING);
	http_conn_flush(conn);
}

void http_conn_on_input_end(struct http_conn *conn)
{
	conn->input_ended = true;
	conn->closing = true;
	if (conn->reading)
		http_request_free(conn->reading);
	conn->reading = NULL;
	if (socket_is_reset(conn->fd) || conn->half_closed ||
	    (!conn->requests.length && !conn->out->len))
		http_conn_close(conn);
	else if (conn->requests.length)
		probe(conn);
}

/* Notices that a caller has left whose connection isn't being read. */
static void check_caller(struct http_conn *conn)
{
	if (!conn->requests.length || conn->events & EV_READ)
		return;
	if (socket_is_reset(conn->fd))
		http_conn_close(conn);
	else if (socket_peer_ended(conn->fd))
		probe(conn);
}

/* Discards bytes of a refused request, which the parser delimits. */
static void discard(struct http_conn *conn, const char *data, size_t len)
{
	static char taken[DISCARD_BYTES];
	size_t used = http_conn_parse(conn, data, len);

	if (used)
		(void)socket_read(conn->fd, taken, used);
}

void http_conn_read_closing(struct http_conn *conn)
{
	static char buf[DISCARD_BYTES];
	ssize_t n = socket_peek(conn->fd, buf, sizeof(buf));

	if (n == SOCKET_AGAIN)
		return;
	if (n <= 0)
		http_conn_on_input_end(conn);
	else if (conn->body_refused)
		discard(conn, buf, (size_t)n);
	else
		conn->unread = true;
	if (!conn->closed)
		http_conn_flush(conn);
}

/* Returns whether the caller no longer takes what is sent to it. */
static bool is_stalled(struct http_conn *conn, double now)
{
	size_t untaken = conn->out->len - conn->out_sent +
			 socket_unacknowledged(conn->fd);

	if (untaken != conn->untaken) {
		conn->untaken = untaken;
		conn->untaken_since_s = now;
	}
	if (!untaken || now < conn->wait_until_s)
		return false;
	return now - conn->untaken_since_s >
		       conn->server->limits.idle_timeout_s ||
	       socket_peer_lost(conn->fd, LOST_MS);
}

/* Returns whether a half-closed connection is to be closed. */
static bool lingered(struct http_conn *conn, double now)
{
	if (socket_is_reset(conn->fd))
		return true;
	if (socket_unacknowledged(conn->fd))
		return is_stalled(conn, now);
	if (!conn->unread && socket_peer_ended(conn->fd))
		return true;
	if (!conn->linger_until_s)
		conn->linger_until_s = now + LINGER_S;
	return now > conn->linger_until_s;
}

static bool is_idle(const struct http_conn *conn)
{
	return !has_requests(conn) && !conn->out->len && !conn->closing;
}

void http_conn_end_idle(struct http_conn *conn)
{
	if (conn->closed || conn->closing || conn->evicted)
		return;
	/* The caller can't tell that what has arrived wasn't read yet. */
	if (http_conn_read(conn) || conn->closed || !is_idle(conn))
		return;
	half_close(conn);
	watch(conn, EV_READ);
}

/* Returns the status that refuses a request which takes too long to arrive; 0
 * if it doesn't. */
static unsigned int late_status(const struct http_conn *conn, double now)
{
	const struct http_limits *limits = &conn->server->limits;
	const struct caller_budget *budget = conn->server->budget;

	if (!conn->reading || conn->closing)
		return 0;
	/* The method is set once the head is complete. */
	if (!conn->reading->method->len &&
	    now - conn->head_started_s > limits->header_timeout_s)
		return 408;
	if (conn->reading->method->len && budget &&
	    budget->body_timeout_s > 0 &&
	    now - conn->body_started_s > budget->body_timeout_s)
		return 408;
	return now - conn->last_activity_s > limits->idle_timeout_s ? 408 : 0;
}

void http_conn_tick(struct http_conn *conn, double now)
{
	const struct http_limits *limits = &conn->server->limits;

	if (conn->closed || conn->evicted)
		return;
	if (conn->half_closed) {
		if (lingered(conn, now))
			http_conn_close(conn);
		return;
	}
	check_caller(conn);
	if (!conn->closed && !conn->acknowledged && is_stalled(conn, now))
		http_conn_close(conn);
	if (conn->closed)
		return;
	conn->acknowledged = !conn->untaken;
	if (late_status(conn, now)) {
		/* After a suspension of the VM the rest may have arrived. */
		(void)http_conn_read(conn);
		if (!conn->closed && late_status(conn, now))
			http_conn_reject(conn, late_status(conn, now));
	} else if (is_idle(conn) &&
		   now - conn->last_activity_s > limits->idle_timeout_s) {
		http_conn_end_idle(conn);
	}
}
