/**
 * A caller's connection to the HTTP server, and the rule for its end. Internal
 * to http_server.c and the files http_conn_*.c.
 *
 * How a connection ends:
 *
 * - Every request that was read completely is answered. Answers leave in the
 *   order of the requests.
 * - Answers are moved to the bytes to send one at a time, the next one when all
 *   of the last is written. Which answer closes the connection is decided then:
 *   the last one, with no request behind it, once the connection accepts no
 *   further request or the server drains.
 * - What follows the closing answer is not read, and so never passed on or
 *   dropped. Only the rest of a request that was refused while its body arrived
 *   is read and discarded, up to the end of this request.
 * - A connection without requests is ended only after what has arrived was
 *   read, and without a closing answer.
 * - The sending direction is shut down when everything is sent. The socket is
 *   closed when the caller has ended its direction too, or LINGER_S after it
 *   has acknowledged everything. If it then holds bytes that weren't read, the
 *   system resets the connection: the caller can tell that a request behind the
 *   last answer wasn't read.
 *
 * - A caller that ends its sending direction gets the answers to its requests.
 *   Whether it has left is found out by sending it BEGINNING, with which every
 *   answer begins: the system of a caller that has left resets the connection.
 * - A caller that doesn't take its answers is waited for until the time for
 *   which it waits (http_request.wait_until_s). After that the connection ends
 *   when its machine has acknowledged nothing for LOST_MS, or when nothing was
 *   taken for the idle timeout.
 *
 * - A connection whose answers give way to others in the budget of the server,
 *   or whose answer has no room in it, is closed at once: its bytes are needed.
 *   A request that gives way while it arrives is refused by the rule above.
 *   docs/design/client-limits.md
 *
 * The rule is the same for a planned stop, the time limits, a request that is
 * refused because of its bytes, and a caller that asks for the end.
 */
#ifndef NET_HTTP_CONN_H
#define NET_HTTP_CONN_H

#include <http_parser.h>

#include "net/http_server.h"

/** A caller's connection. */
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
	/** Number of bytes of the current request's target and header fields,
	 * or of its trailer fields, received so far. */
	size_t head_bytes;
	/** The request that is being received, or NULL. */
	struct http_request *reading;
	/** Complete requests in the order of arrival: struct http_request. */
	GQueue requests;
	/** Bytes to send, and how many of them are sent or not to be sent. */
	GString *out;
	size_t out_sent;
	/** Loop time when data was last received or an answer was queued. */
	double last_activity_s;
	/** Loop time at which the first byte of the current request arrived. */
	double head_started_s;
	/** Received bytes are being parsed; answers wait until the end. */
	bool parsing;
	/** The connection accepts no further request. */
	bool closing;
	/** The current request is refused because of its body, the rest of
	 * which is to be read and discarded. */
	bool body_refused;
	/** Bytes have arrived that are not to be read. */
	bool unread;
	/** The caller has ended its sending direction. */
	bool input_ended;
	/** BEGINNING, of the answer to the first request, is sent. */
	bool begun;
	/** The caller's system had acknowledged everything when this was last
	 * checked, and nothing was sent since. */
	bool acknowledged;
	/** Latest time until which the caller waits for an answer. */
	double wait_until_s;
	/** Number of bytes that the caller had not taken when this was last
	 * checked, and the loop time since which it hasn't changed. */
	size_t untaken;
	double untaken_since_s;
	/** The sending direction is shut down. */
	bool half_closed;
	/** Loop time at which a half-closed connection is closed; 0 until the
	 * caller has acknowledged everything. */
	double linger_until_s;
	/** Account in the server's budget, and what of it is for out. */
	struct caller_holder holder;
	size_t out_held;
	/** Bytes taken from the budget for a larger receive buffer than that of
	 * other connections; 0: it has none. */
	size_t wide_held;
	/** The budget has no room for the request that is being received. */
	bool no_room;
	/** What the connection held was freed. on_io() refuses the request that
	 * was being received or, if answers were lost, closes the connection.
	 * Until then nothing is read, sent or watched. */
	bool evicted;
	bool answers_lost;
	/** Loop time at which the head of the current request was complete. */
	double body_started_s;
	/** Element of http_server.waiting while in_queue is set. */
	GList turn_link;
	bool in_queue;
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
	/** Receive buffer of each connection, and limit on what it hasn't sent,
	 * in bytes; 0: the system's. */
	size_t buffer_bytes;
	/** Accepting is paused until the next tick: no descriptor is left. */
	bool accept_paused;
	/** Open connections: struct http_conn. */
	GQueue conns;
	/** Readable connections that wait for the next iteration of the event
	 * loop, in the order in which they are read then: struct http_conn. */
	GQueue waiting;
	/** Reads them; active while there are any. */
	ev_check next_turn;
	/** Iteration of the event loop in which connections were last read, and
	 * the loop time until which they are in this iteration. */
	unsigned int iteration;
	double turn_ends_s;
	/** Value of http_server_full_turns(), and the iteration that it counted
	 * last. */
	uint64_t full_turns;
	unsigned int counted_iteration;
	/** Value of http_server_requests(). */
	unsigned int requests;
	/** http_server_drain() was called. */
	bool draining;
};

/** The beginning of every answer. */
#define BEGINNING "HTTP/1.1 "
/** Retry-After of a request that is refused for lack of memory, in seconds:
 * holders that make no progress are evicted within half of that. */
#define REFUSED_RETRY_S "1"

/* --- http_server.c --- */

/** Returns an empty request of a connection. */
struct http_request *http_request_create(struct http_conn *conn);

/** Frees a request. */
void http_request_free(struct http_request *request);

/** Closes and frees a connection. */
void http_conn_free(struct http_conn *conn);

/**
 * Reads what has arrived, passes complete requests on, and sends what can be
 * sent. May close the connection.
 *
 * @return whether bytes were read
 */
bool http_conn_read(struct http_conn *conn);

/** Parses bytes that have arrived.
 *
 * @return the number of bytes that the parser took */
size_t http_conn_parse(struct http_conn *conn, const char *data, size_t len);

/* --- http_conn_window.c --- */

/** Adapts the buffers of all connections to their number. */
void http_server_size_windows(struct http_server *server);

/** Enlarges the receive buffer of a connection that receives a large body, if
 * the budget isn't under pressure. */
void http_conn_widen(struct http_conn *conn);

/** Ends http_conn_widen(): the body is complete or refused. */
void http_conn_narrow(struct http_conn *conn);

/* --- http_conn_turn.c --- */

/** Prepares the queue of connections that wait to be read. */
void http_server_init_turns(struct http_server *server);

/**
 * Reads from a connection, or has it read in the next iteration of the event
 * loop if this one has read for long enough. May close the connection.
 */
void http_conn_read_in_turn(struct http_conn *conn);

/** Removes a connection from the queue, if it is in it. */
void http_conn_leave_queue(struct http_conn *conn);

/* --- http_conn_answer.c --- */

/** Moves the answer to the first request, if there is one and no bytes wait, to
 * the bytes to send. */
void http_conn_next_answer(struct http_conn *conn);

/** Answers an invalid or late request with an error status, which closes the
 * connection. */
void http_conn_reject(struct http_conn *conn, unsigned int status);

/* --- http_conn_end.c --- */

/** Closes the socket. Frees all requests; calls gone() for complete ones
 * without an answer. Does nothing if the socket is closed. */
void http_conn_close(struct http_conn *conn);

/** Returns whether the answer to the first request, which is about to be sent,
 * closes the connection. */
bool http_conn_answer_closes(const struct http_conn *conn);

/** Writes as many answers as the socket accepts, in the order of the requests.
 * Shuts down the sending direction of a connection that accepts no further
 * request once everything is sent. */
void http_conn_flush(struct http_conn *conn);

/** Handles the end of the caller's sending direction, or of the connection. */
void http_conn_on_input_end(struct http_conn *conn);

/** Handles readability of a connection that accepts no further request: notices
 * its end, and reads the rest of a refused request only. */
void http_conn_read_closing(struct http_conn *conn);

/** Ends a connection without requests in progress, after it has read what has
 * arrived. */
void http_conn_end_idle(struct http_conn *conn);

/** Applies the time limits to a connection. */
void http_conn_tick(struct http_conn *conn, double now);

/* --- http_conn_limits.c --- */

/** Returns what a server's connections count as in the account of descriptors.
 */
enum descriptor_use
http_server_descriptor_use(const struct http_server *server);

/** Takes bytes from the server's budget.
 *
 * @param answer the bytes are those of an answer
 * @return false when there is no room */
bool http_conn_hold(struct http_conn *conn, size_t len, bool answer);

/** Takes bytes for the head of the request that is being received.
 *
 * @return false when there is no room: the request must be refused */
bool http_conn_hold_head(struct http_conn *conn, size_t len);

/** As http_conn_hold_head(), for bytes of the body. */
bool http_conn_hold_body(struct http_conn *conn, size_t len);

/** Returns whether a body of this size has room; takes none. If not, the
 * request must be refused. */
bool http_conn_body_fits(struct http_conn *conn, size_t len);

/** Gives bytes back to the budget and zeroes their count. */
void http_conn_return(struct http_conn *conn, size_t *held);

/** Empties a text buffer, and frees it if it has grown. */
void http_conn_shrink(GString **text);

/** Frees the bytes to send. */
void http_conn_drop_out(struct http_conn *conn);

/** Drops the request's reference to its body. */
void http_request_free_body(struct http_request *request);

/** Drops an answer of len bytes for which there is no room. The connection is
 * closed from the event loop, since the answer's owner may still use the
 * request. */
void http_conn_drop_answer(struct http_request *request, size_t len);

/** Opens the connection's account in the budget. */
void http_conn_join_budget(struct http_conn *conn);

/** Returns all bytes of the connection and closes its account. */
void http_conn_leave_budget(struct http_conn *conn);

/** Tells the budget what the connection holds bytes for. */
void http_conn_update_state(struct http_conn *conn);

/** Ends what the connection held when it was evicted. */
void http_conn_end_eviction(struct http_conn *conn);

/** Makes room for a connection that was accepted. If there is none, refuses and
 * closes it.
 *
 * @return false when the socket was closed */
bool http_server_admit(struct http_server *server, int fd);

/** Pauses accepting, after it failed with the given errno, if no descriptor is
 * left: the socket stays readable, and the event loop would call without end.
 */
void http_server_check_accept(struct http_server *server, int error);

#endif
