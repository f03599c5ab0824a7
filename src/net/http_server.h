/**
 * HTTP/1.1 server on an event loop. Requests may be answered in any order; on
 * each connection the answers are sent in the order of the requests. Not
 * thread-safe: one thread uses a server with its connections and requests. Loop
 * times are those of loop_now().
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "http/headers.h"
#include "net/caller_body.h"
#include "net/caller_budget.h"
#include "net/loop.h"

struct http_server;
struct http_request;

/** Limits on the size and the duration of requests. */
struct http_limits {
	/** Maximum size of request target and header fields together; a larger
	 * head is answered with 431. */
	size_t header_bytes;
	/** Maximum size of a request body; a larger one is answered with 413.
	 */
	size_t body_bytes;
	/** Time to receive the head of a request; a slower caller is answered
	 * with 408. */
	double header_timeout_s;
	/** Time without traffic before a connection is closed, and time after
	 * which a caller that takes nothing of its answers is given up. */
	double idle_timeout_s;
};

/** Callbacks to the server's owner. */
struct http_server_ops {
	/** Receives a complete request, which the owner answers with
	 * http_request_answer() now or later. */
	void (*request)(void *ctx, struct http_request *request);
	/** The connection was closed, or is about to be, before the request was
	 * answered. The request is freed after this call. A caller that has
	 * only ended its sending direction gets its answer; that it has left is
	 * noticed by http_server_tick(). */
	void (*gone)(void *ctx, struct http_request *request);
};

/** A request, owned by the server. */
struct http_request {
	struct http_conn *conn;
	/** Method and request target as received. */
	GString *method;
	GString *target;
	/** End-to-end and hop-by-hop header fields as received. */
	struct headers *headers;
	/** The body, without chunked encoding; owned by shared_body. */
	GString *body;
	/** The body for others to keep a reference of. */
	struct caller_body *shared_body;
	/** Loop time at which the request was complete. */
	double received_s;
	/** Pointer for use by the server's owner; NULL after the answer. */
	void *data;
	/** Loop time until which the caller waits for the answer, set by the
	 * owner; 0 if unknown. The connection doesn't end before because the
	 * answer isn't taken. */
	double wait_until_s;

	/** This member and those below are private to the server. The response
	 * without the Connection field, behind unused bytes that make room for
	 * this field; NULL until the request is answered. */
	GString *answer;
	/** Number of bytes taken from the server's budget for the head, and for
	 * the answer. */
	size_t head_held;
	size_t answer_held;
	/** Position in it of the empty line behind the head. */
	size_t answer_head;
	/** The request was received completely. */
	bool complete;
	/** The caller uses HTTP/1.0. */
	bool http10;
};

/** The response to one request. */
struct http_answer {
	unsigned int status;
	/** End-to-end header fields, or NULL. */
	const struct headers *headers;
	struct str body;
};

/**
 * Creates a server with default limits and starts listening.
 *
 * @param ops must outlive the server
 * @param error set to AUBURN_ERROR_UNAVAILABLE on failure
 * @return the server, freed with http_server_destroy(); NULL on failure
 */
struct http_server *http_server_create(struct loop *loop,
				       const struct sockaddr_in *address,
				       const struct http_server_ops *ops,
				       void *ctx, GError **error);

/** Closes all connections and frees the server; calls gone() for requests
 * without an answer. Accepts NULL. */
void http_server_destroy(struct http_server *server);

/** Returns the address that the server listens on; valid until
 * http_server_close_idle() is called. */
struct sockaddr_in http_server_address(const struct http_server *server);

/** Changes the limits, for open connections as well. */
void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits);

/**
 * Limits what the server's connections hold, from before the first connection
 * on. Sets the budget's ops.
 *
 * @param budget must outlive the server and all references to bodies
 */
void http_server_set_budget(struct http_server *server,
			    struct caller_budget *budget);

/** Closes connections whose time limit has passed (struct http_limits) and
 * frees closed ones; to be called a few times a second. */
void http_server_tick(struct http_server *server);

/** Starts draining: from now on a connection is closed after an answer behind
 * which no other request of the connection is in progress. */
void http_server_drain(struct http_server *server);

/** Stops listening and closes connections without requests in progress. */
void http_server_close_idle(struct http_server *server);

/** Returns the number of open connections. */
unsigned int http_server_connections(const struct http_server *server);

/** Returns in how many iterations of the event loop connections were left
 * unread because the others took the time for it. */
uint64_t http_server_full_turns(const struct http_server *server);

/** Returns the size of each connection's buffers in the system, in bytes; 0:
 * the system's own. */
size_t http_server_buffer_bytes(const struct http_server *server);

/** Returns the number of complete requests whose answer is not being sent yet.
 */
unsigned int http_server_requests(const struct http_server *server);

/** Answers a request. The server frees the request once its answer is queued
 * for sending, after the answers to earlier requests of the connection;
 * possibly within this call. */
void http_request_answer(struct http_request *request,
			 const struct http_answer *answer);

/** Closes the connection of a request without answering it, and frees the
 * request. Calls gone() for the connection's other requests without an answer.
 */
void http_request_abort(struct http_request *request);

/** Returns the reason phrase of a status code; "Status" for an unknown one. */
const char *http_reason(unsigned int status);

#endif
