/**
 * The HTTP side of both stand-ins: one thread a connection, so that a handler
 * may sleep, and whole request bodies up to a limit.
 */
#ifndef COMMON_HTTP_H
#define COMMON_HTTP_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdint.h>

/** One request whose body was read. */
struct standin_call {
	struct MHD_Connection *conn;
	const char *method;
	/** Percent-decoded. */
	const char *path;
	/** Path and query as they were sent. */
	const char *uri;
	/** The connection's place in the order of all connections, from 1. */
	uint64_t conn_number;
	/** The body, ended by a NUL that is not counted. */
	const char *body;
	size_t body_len;
};

/**
 * Answers one request. It runs on the connection's own thread.
 *
 * @return the result of a standin_reply_*() call, or MHD_NO to close the
 *         connection with no answer
 */
typedef enum MHD_Result (*standin_handler)(void *ctx,
					   const struct standin_call *call);

struct standin_server;

/**
 * Listens and serves.
 *
 * @param listen "IPv4:port"; port 0 takes a free one
 * @param connection_limit connections above it are closed at once
 * @param handler called for each request
 * @param ctx handed to the handler
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return a new server, or NULL
 */
struct standin_server *standin_server_create(const char *listen,
					     unsigned int connection_limit,
					     standin_handler handler, void *ctx,
					     GError **error);

/** The number of connections made so far. */
uint64_t standin_server_accepted(const struct standin_server *server);

/** The number of connections open now. */
unsigned int standin_server_connections(const struct standin_server *server);

/** Waits until no request is being answered, or the time has passed. */
void standin_server_wait_idle(struct standin_server *server,
			      int64_t timeout_us);

/**
 * Where a server listens, as "IPv4:port".
 *
 * @return the address; it belongs to the server
 */
const char *standin_server_address(const struct standin_server *server);

/** Closes all connections, waits for handlers and frees the server. */
void standin_server_destroy(struct standin_server *server);

/**
 * Opens a listening socket.
 *
 * @param listen "IPv4:port"; port 0 takes a free one
 * @param address set to "IPv4:port" as bound; the caller frees it
 * @param error AUBURN_ERROR_UNAVAILABLE
 * @return the descriptor, or -1
 */
int standin_listen(const char *listen, char **address, GError **error);

/** The connections a server takes when nothing says otherwise. */
#define STANDIN_CONNECTIONS 4096

/** Answers with bytes, which are copied. */
enum MHD_Result standin_reply(struct MHD_Connection *conn, unsigned int status,
			      const char *type, const void *body, size_t len);

/** A request's header, or NULL. */
const char *standin_header(const struct standin_call *call, const char *name);

/** Answers with JSON; takes over the reference to the value. */
enum MHD_Result standin_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *value);

/**
 * Reads a request's body as a JSON object.
 *
 * @return a new reference, or NULL when it is none
 */
json_t *standin_call_json(const struct standin_call *call);

/** A query argument's whole number, or the fallback when there is none. */
int64_t standin_query_int(struct MHD_Connection *conn, const char *name,
			  int64_t fallback);

/** Blocks until SIGTERM or SIGINT; call standin_signals_block() first. */
void standin_signals_wait(void);

/** Blocks SIGTERM and SIGINT for this and all later threads. */
void standin_signals_block(void);

#endif
