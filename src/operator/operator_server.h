/**
 * HTTP server on the operator address of a daemon, driven by route tables.
 *
 * Thread rule: one thread owns a server and makes every call to it. The server
 * has no thread of its own: its owner waits on operator_server_fd() among its
 * other descriptors, no longer than operator_server_timeout_ms(), and then
 * calls operator_server_run(), from which the handlers are called.
 */
#ifndef OPERATOR_OPERATOR_SERVER_H
#define OPERATOR_OPERATOR_SERVER_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"

/** Largest request body, in bytes. */
#define OPERATOR_BODY_LIMIT ((size_t)2 * 1024 * 1024)

/** Most "*" segments in the path of a route. */
#define OPERATOR_ARG_LIMIT 4

/** A listening server with its connections. */
struct operator_server;

/** One request until it is answered. */
struct operator_call;

/** One method and path, with its handler. */
struct operator_route {
	const char *method;
	/** Path pattern; a "*" segment matches any one segment. */
	const char *path;
	/** Requires the bearer token. */
	bool guarded;
	/**
	 * Handles a call. The handler answers it exactly once, at once or
	 * later, with operator_call_answer() or operator_call_fail().
	 */
	void (*handle)(void *ctx, struct operator_call *call);
	/** Short description for the list of routes. */
	const char *help;
};

/** A table of routes, ended by one with a NULL method, with its context. */
struct operator_mount {
	const struct operator_route *routes;
	void *ctx;
};

/** Settings of an operator server. */
struct operator_config {
	/** Address to listen on. */
	struct sockaddr_in address;
	/** Bearer token; when empty, guarded routes refuse every request. */
	const char *token;
	/** Ended by a mount with NULL routes; must outlive the server. */
	const struct operator_mount *mounts;
};

/**
 * Creates a server and starts to listen.
 *
 * @param config copied, except for its mounts
 * @param error AUBURN_ERROR_UNAVAILABLE when the address can't be used
 * @return a new server, or NULL
 */
struct operator_server *
operator_server_create(const struct operator_config *config, GError **error);

/** Answers all waiting calls with 503, closes the connections and frees the
 * server; NULL is allowed. */
void operator_server_destroy(struct operator_server *server);

/** Returns the port that the server listens on; 0 on an error. */
uint16_t operator_server_port(const struct operator_server *server);

/**
 * Returns a descriptor that is readable when operator_server_run() has work.
 *
 * @return the descriptor, owned by the server; -1 on an error
 */
int operator_server_fd(const struct operator_server *server);

/**
 * Returns the longest time until operator_server_run() must be called.
 *
 * @return milliseconds, or -1 for no limit
 */
int operator_server_timeout_ms(const struct operator_server *server);

/** Handles all pending I/O and timeouts without blocking. */
void operator_server_run(struct operator_server *server);

/**
 * Waits for work and handles it, for an owner without other descriptors.
 *
 * @param limit_ms longest time to wait
 */
void operator_server_wait(struct operator_server *server, int limit_ms);

/**
 * Formats the list of routes, one per line.
 *
 * @return the text; the caller frees it with g_free()
 */
char *operator_routes_help(const struct operator_mount *mounts);

/**
 * Returns a segment of the path that matched a "*" of the route.
 *
 * @param index of the "*", from 0
 * @return the segment, valid until the call is answered; empty when the route
 *         has no such "*"
 */
struct str operator_call_arg(const struct operator_call *call, size_t index);

/** Returns a query parameter, valid until the call is answered; empty when
 * absent. */
struct str operator_call_query(const struct operator_call *call,
			       const char *name);

/** Returns a request header, valid until the call is answered; empty when
 * absent. */
struct str operator_call_header(const struct operator_call *call,
				const char *name);

/** Returns the request's body, valid until the call is answered; at most
 * OPERATOR_BODY_LIMIT bytes. */
struct str operator_call_body(const struct operator_call *call);

/**
 * Answers a call, which must not be used afterwards.
 *
 * @param status HTTP status
 * @param type content type
 * @param body copied
 */
void operator_call_answer(struct operator_call *call, unsigned int status,
			  const char *type, struct str body);

/** Answers a call with the JSON object {"error": message}. */
void operator_call_fail(struct operator_call *call, unsigned int status,
			const char *message);

#endif
