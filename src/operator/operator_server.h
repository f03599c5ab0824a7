/**
 * The operator address: an HTTP server over tables of routes.
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

/** Most "*" in the path of a route. */
#define OPERATOR_ARG_LIMIT 4

struct operator_server;

/** One request that waits for its answer. */
struct operator_call;

struct operator_route {
	const char *method;
	/** Segments; "*" stands for any one: "/zones/<any>/out". */
	const char *path;
	/** Needs the bearer token. */
	bool guarded;
	/**
	 * Answers with operator_call_answer(), now or later, exactly once.
	 */
	void (*handle)(void *ctx, struct operator_call *call);
	/** One sentence for the help text. */
	const char *help;
};

/** A table of routes, ended by one with a NULL method, with its context. */
struct operator_mount {
	const struct operator_route *routes;
	void *ctx;
};

struct operator_config {
	struct sockaddr_in address;
	/** Bearer token; when empty, guarded routes refuse every request. */
	const char *token;
	/** Ended by a mount with NULL routes; kept by the caller. */
	const struct operator_mount *mounts;
};

/**
 * Starts to listen.
 *
 * @param config read only during the call, except for its mounts
 * @param error AUBURN_ERROR_UNAVAILABLE when the address can't be used
 * @return a new server, or NULL
 */
struct operator_server *
operator_server_create(const struct operator_config *config, GError **error);

/** Answers what still waits with 503, closes all connections and frees. */
void operator_server_destroy(struct operator_server *server);

/** The port that it listens on. */
uint16_t operator_server_port(const struct operator_server *server);

/** A descriptor that is readable when operator_server_run() has work. */
int operator_server_fd(const struct operator_server *server);

/**
 * Longest time until operator_server_run() is due.
 *
 * @return milliseconds, or -1 for no limit
 */
int operator_server_timeout_ms(const struct operator_server *server);

/** Serves what is due without waiting. */
void operator_server_run(struct operator_server *server);

/**
 * Waits for work and serves it; for an owner that waits for nothing else.
 *
 * @param limit_ms longest time to wait
 */
void operator_server_wait(struct operator_server *server, int limit_ms);

/**
 * Lists all routes with their help.
 *
 * @return the text; the caller frees it with g_free()
 */
char *operator_routes_help(const struct operator_mount *mounts);

/** What stood in the place of the route's "*", counted from 0. */
struct str operator_call_arg(const struct operator_call *call, size_t index);

/** A parameter of the query, empty when absent. */
struct str operator_call_query(const struct operator_call *call,
			       const char *name);

/** A header, empty when absent. */
struct str operator_call_header(const struct operator_call *call,
				const char *name);

/** The request's body; valid until the call is answered. */
struct str operator_call_body(const struct operator_call *call);

/**
 * Answers a call and ends it: it must not be used afterwards.
 *
 * @param status HTTP status
 * @param type content type
 * @param body copied
 */
void operator_call_answer(struct operator_call *call, unsigned int status,
			  const char *type, struct str body);

/** Answers with {"error": message}. */
void operator_call_fail(struct operator_call *call, unsigned int status,
			const char *message);

#endif
