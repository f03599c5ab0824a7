/**
 * Callers' side of the entry daemon: HTTP/1.1 requests from an event loop.
 * Answers go out in the order of the requests, whatever the order in which
 * they are given. One thread owns a server and everything in it.
 */
#ifndef NET_HTTP_SERVER_H
#define NET_HTTP_SERVER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "http/headers.h"
#include "net/loop.h"

struct http_server;
struct http_request;

/** What a caller may send, and how long it may take. */
struct http_limits {
	size_t header_bytes;
	size_t body_bytes;
	double header_timeout_s;
	double idle_timeout_s;
};

struct http_server_ops {
	/** A whole request came; an answer follows now or later. */
	void (*request)(void *ctx, struct http_request *request);
	/** The caller is gone; the request is freed after this call. */
	void (*gone)(void *ctx, struct http_request *request);
};

struct http_request {
	struct http_conn *conn;
	/** Method and request target as they came. */
	GString *method;
	GString *target;
	/** End-to-end and other fields as they came. */
	struct headers *headers;
	/** The body without its framing. */
	GString *body;
	/** Loop time at which the request was complete. */
	double received_s;
	/** The owner's own pointer; NULL after the answer. */
	void *data;

	/** The server's own. */
	GString *answer;
	bool complete;
	bool close;
	bool http10;
};

/** An answer to one request. */
struct http_answer {
	unsigned int status;
	/** End-to-end fields, or NULL. */
	const struct headers *headers;
	struct str body;
};

/**
 * Starts listening.
 *
 * @param ops lives as long as the server
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return the server, or NULL; freed with http_server_destroy()
 */
struct http_server *http_server_create(struct loop *loop,
				       const struct sockaddr_in *address,
				       const struct http_server_ops *ops,
				       void *ctx, GError **error);

/** Closes every connection and frees. */
void http_server_destroy(struct http_server *server);

/** The address that it listens on. */
struct sockaddr_in http_server_address(const struct http_server *server);

/** Changes the limits, also for connections that are open. */
void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits);

/** Enforces time limits; to be called a few times a second. */
void http_server_tick(struct http_server *server);

/** From now on each answer asks its caller to close the connection. */
void http_server_drain(struct http_server *server);

/** Stops listening and closes connections without a request. */
void http_server_close_idle(struct http_server *server);

/** Connections open. */
unsigned int http_server_connections(const struct http_server *server);

/** Requests received and not answered in full. */
unsigned int http_server_requests(const struct http_server *server);

/** Gives the answer; the request is freed once it went out. */
void http_request_answer(struct http_request *request,
			 const struct http_answer *answer);

/** Closes the caller's connection without an answer to this request. */
void http_request_abort(struct http_request *request);

/** Status line text of a status. */
const char *http_reason(unsigned int status);

#endif
