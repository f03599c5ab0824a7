/**
 * HTTP server of standin-platform and standin-upstream, and the handling of
 * signals that both programs share. Each connection has its own thread, so a
 * handler may sleep. A request's body is read whole before the handler runs;
 * the connection is closed when a body exceeds 16 MiB.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdint.h>

/** A received request with its whole body; valid while the handler runs. */
struct standin_call {
	struct MHD_Connection *conn;
	const char *method;
	/** The percent-decoded path without the query. */
	const char *path;
	/** Path and query as the client sent them. */
	const char *uri;
	/** Number of the connection in order of acceptance, from 1. */
	uint64_t conn_number;
	/** The body, followed by a NUL that body_len doesn't count. */
	const char *body;
	size_t body_len;
};

/**
 * Handles one request on its connection's own thread.
 *
 * @return the result of a standin_reply_*() call, or MHD_NO to close the
 *         connection without a response
 */
typedef enum MHD_Result (*standin_handler)(void *ctx,
					   const struct standin_call *call);

struct standin_server;

/**
 * Starts an HTTP server.
 *
 * @param listen "IPv4:port"; port 0 takes a free one
 * @param connection_limit most connections that may be open at a time; further
 *                         ones are closed on acceptance
 * @param handler called for each request
 * @param ctx passed to the handler
 * @param error set to AUBURN_ERROR_UNAVAILABLE
 * @return a new server, or NULL on error
 */
struct standin_server *standin_server_create(const char *listen,
					     unsigned int connection_limit,
					     standin_handler handler, void *ctx,
					     GError **error);

/** Returns the number of connections accepted so far. */
uint64_t standin_server_accepted(const struct standin_server *server);

/** Returns the number of open connections. */
unsigned int standin_server_connections(const struct standin_server *server);

/** Waits until no request is in flight, at most timeout_us. New requests are
 * accepted meanwhile. */
void standin_server_wait_idle(struct standin_server *server,
			      int64_t timeout_us);

/** Returns the listening address as "IPv4:port"; owned by the server. */
const char *standin_server_address(const struct standin_server *server);

/** Closes all connections, waits for running handlers, frees the server. */
void standin_server_destroy(struct standin_server *server);

/**
 * Opens a listening socket.
 *
 * @param listen "IPv4:port"; port 0 takes a free one
 * @param address set to the bound "IPv4:port"; the caller frees it
 * @param error set to AUBURN_ERROR_UNAVAILABLE
 * @return the descriptor, or -1 on error
 */
int standin_listen(const char *listen, char **address, GError **error);

/** Connection limit of servers that have no setting for it. */
#define STANDIN_CONNECTIONS 4096

/**
 * Queues a response to the request that conn is handling.
 *
 * @param type value of the Content-Type header
 * @param body copied
 * @return MHD_NO when the response could not be queued
 */
enum MHD_Result standin_reply(struct MHD_Connection *conn, unsigned int status,
			      const char *type, const void *body, size_t len);

/** Returns the value of a request header, valid while the handler runs; NULL
 * when the request has no such header. */
const char *standin_header(const struct standin_call *call, const char *name);

/** Queues a JSON response as standin_reply() does; takes over the reference to
 * value. */
enum MHD_Result standin_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *value);

/**
 * Parses a request's body as a JSON object.
 *
 * @return a new reference, or NULL when the body is not a JSON object
 */
json_t *standin_call_json(const struct standin_call *call);

/** Returns the decimal integer at the start of a query parameter, 0 when there
 * is none; fallback when the parameter is missing or empty. */
int64_t standin_query_int(struct MHD_Connection *conn, const char *name,
			  int64_t fallback);

/** Blocks until SIGTERM or SIGINT; call standin_signals_block() first. */
void standin_signals_wait(void);

/** Blocks SIGTERM and SIGINT in this thread and those that it starts, and makes
 * the process ignore SIGPIPE. */
void standin_signals_block(void);

#endif
