#include "operator/operator_server.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>

#include "base/error.h"
#include "base/log.h"

#define PART "operator"
/* Most open connections. */
#define CONNECTION_LIMIT 64u
/* Time without activity after which a connection is closed. */
#define CONNECTION_TIMEOUT_S 30u
#define BEARER "Bearer "
#define JSON_TYPE "application/json"

struct operator_server {
	struct MHD_Daemon *daemon;
	const struct operator_mount *mounts;
	/* Bearer token that guarded routes require; when "", they refuse every
	 * call. */
	char *token;
	/* Suspended calls (struct operator_call) that wait for an answer. */
	GQueue *waiting;
};

struct operator_call {
	struct operator_server *server;
	struct MHD_Connection *connection;
	/* Route of the call, and the context of its table; NULL when no route
	 * matches. */
	const struct operator_route *route;
	void *ctx;
	/* Segments of path that matched "*"; they point into path. */
	struct str args[OPERATOR_ARG_LIMIT];
	char *path;
	GString *body;
	/* The answer; NULL until the call is answered. */
	struct MHD_Response *response;
	unsigned int status;
	/* The connection is suspended until the answer. */
	bool suspended;
	/* The handler was called, or the request was rejected. */
	bool handled;
	/* The body exceeds OPERATOR_BODY_LIMIT. */
	bool too_large;
};

/* Compares tokens in a time that doesn't depend on where the first difference
 * is, so that the token can't be guessed byte by byte. */
static bool token_equal(struct str received, struct str wanted)
{
	volatile unsigned int difference = received.len != wanted.len;
	/* With unequal lengths, the loop compares the wanted token with itself:
	 * the other one may be shorter. */
	const struct str compared = difference ? wanted : received;
	size_t i;

	for (i = 0; i < wanted.len; i++)
		difference |= (unsigned char)compared.data[i] ^
			      (unsigned char)wanted.data[i];
	return !difference;
}

/* Returns whether a call has the bearer token. */
static bool authorized(const struct operator_call *call)
{
	struct str header = operator_call_header(call, "Authorization");
	struct str wanted = str_from(call->server->token);
	struct str prefix = STR(BEARER);

	if (!wanted.len || !str_has_prefix(header, prefix))
		return false;
	header.data += prefix.len;
	header.len -= prefix.len;
	return token_equal(header, wanted);
}

/* Returns the next segment of a path and advances the path beyond it. */
static struct str next_segment(const char **path)
{
	const char *start = *path + (**path == '/');
	size_t len = strcspn(start, "/");

	*path = start + len;
	return (struct str){ start, len };
}

/* Matches a path with a route's pattern and sets args to the segments that "*"
 * matched. */
static bool path_matches(const char *pattern, const char *path,
			 struct str *args)
{
	size_t n = 0;

	while (*pattern && *path) {
		struct str want = next_segment(&pattern);
		struct str have = next_segment(&path);

		if (str_equal(want, STR("*")) && have.len)
			args[n++] = have;
		else if (!str_equal(want, have))
			return false;
	}
	return !*pattern && !*path;
}

/* Finds a call's route. Returns 0, or the HTTP status of the error. */
static unsigned int find_route(struct operator_call *call, const char *method)
{
	const struct operator_mount *mount;
	const struct operator_route *route;
	unsigned int status = MHD_HTTP_NOT_FOUND;

	for (mount = call->server->mounts; mount->routes; mount++) {
		for (route = mount->routes; route->method; route++) {
			if (!path_matches(route->path, call->path, call->args))
				continue;
			status = MHD_HTTP_METHOD_NOT_ALLOWED;
			if (strcmp(route->method, method) != 0)
				continue;
			call->route = route;
			call->ctx = mount->ctx;
			return 0;
		}
	}
	return status;
}

static void set_response(struct operator_call *call, unsigned int status,
			 const char *type, struct str body)
{
	call->status = status;
	call->response = MHD_create_response_from_buffer(
		body.len, (void *)(uintptr_t)body.data, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(call->response, MHD_HTTP_HEADER_CONTENT_TYPE,
				type);
	if (status == MHD_HTTP_UNAUTHORIZED)
		MHD_add_response_header(call->response,
					MHD_HTTP_HEADER_WWW_AUTHENTICATE,
					"Bearer");
}

void operator_call_answer(struct operator_call *call, unsigned int status,
			  const char *type, struct str body)
{
	set_response(call, status, type, body);
	if (!call->suspended)
		return;
	call->suspended = false;
	g_queue_remove(call->server->waiting, call);
	MHD_resume_connection(call->connection);
}

void operator_call_fail(struct operator_call *call, unsigned int status,
			const char *message)
{
	json_t *object = json_pack("{s:s}", "error", message);
	char *text = json_dumps(object, JSON_COMPACT);

	operator_call_answer(call, status, JSON_TYPE,
			     text ? str_from(text) : STR("{}"));
	free(text);
	json_decref(object);
}

struct str operator_call_arg(const struct operator_call *call, size_t index)
{
	return index < OPERATOR_ARG_LIMIT ? call->args[index]
					  : (struct str){ NULL, 0 };
}

struct str operator_call_query(const struct operator_call *call,
			       const char *name)
{
	return str_from(MHD_lookup_connection_value(
		call->connection, MHD_GET_ARGUMENT_KIND, name));
}

struct str operator_call_header(const struct operator_call *call,
				const char *name)
{
	return str_from(MHD_lookup_connection_value(call->connection,
						    MHD_HEADER_KIND, name));
}

struct str operator_call_body(const struct operator_call *call)
{
	return (struct str){ call->body->str, call->body->len };
}

/* Answers a call with an error instead of calling its handler. */
static void reject(struct operator_call *call, unsigned int status)
{
	const char *message = status == MHD_HTTP_NOT_FOUND ? "no such path"
			      : status == MHD_HTTP_UNAUTHORIZED
				      ? "a valid bearer token is needed"
			      : status == MHD_HTTP_CONTENT_TOO_LARGE
				      ? "the body is too large"
				      : "this path doesn't support the method";

	call->handled = true;
	operator_call_fail(call, status, message);
}

static struct operator_call *call_create(struct operator_server *server,
					 struct MHD_Connection *connection,
					 const char *url, const char *method)
{
	struct operator_call *call = g_new0(struct operator_call, 1);
	unsigned int status;

	call->server = server;
	call->connection = connection;
	call->path = g_strdup(url);
	call->body = g_string_new(NULL);
	status = find_route(call, method);
	if (!status && call->route->guarded && !authorized(call))
		status = MHD_HTTP_UNAUTHORIZED;
	if (status)
		reject(call, status);
	return call;
}

static void call_destroy(struct operator_call *call)
{
	if (call->response)
		MHD_destroy_response(call->response);
	g_string_free(call->body, TRUE);
	g_free(call->path);
	g_free(call);
}

static enum MHD_Result queue_response(struct operator_call *call)
{
	return MHD_queue_response(call->connection, call->status,
				  call->response);
}

static void append_body(struct operator_call *call, const char *data,
			size_t size)
{
	if (call->body->len + size > OPERATOR_BODY_LIMIT)
		call->too_large = true;
	else
		g_string_append_len(call->body, data, (gssize)size);
}

/*
 * Called by libmicrohttpd several times per request: after the headers, with
 * each part of the body, and at the end of the body. A call that its handler
 * doesn't answer at once is suspended until operator_call_answer().
 */
static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **state)
{
	struct operator_call *call = *state;

	(void)version;
	if (!call) {
		call = call_create(cls, connection, url, method);
		*state = call;
		return call->response ? queue_response(call) : MHD_YES;
	}
	if (*upload_size) {
		append_body(call, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	if (call->too_large && !call->handled)
		reject(call, MHD_HTTP_CONTENT_TOO_LARGE);
	if (!call->handled) {
		call->handled = true;
		call->route->handle(call->ctx, call);
	}
	if (call->response)
		return queue_response(call);
	call->suspended = true;
	g_queue_push_tail(call->server->waiting, call);
	MHD_suspend_connection(connection);
	return MHD_YES;
}

/* Called by libmicrohttpd when a request has ended, answered or not. */
static void on_completed(void *cls, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode why)
{
	(void)cls;
	(void)connection;
	(void)why;
	if (*state)
		call_destroy(*state);
	*state = NULL;
}

struct operator_server *
operator_server_create(const struct operator_config *config, GError **error)
{
	struct operator_server *server = g_new0(struct operator_server, 1);

	server->mounts = config->mounts;
	server->token = g_strdup(config->token ? config->token : "");
	server->waiting = g_queue_new();
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		on_request, server, MHD_OPTION_SOCK_ADDR, &config->address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_CONNECTION_LIMIT, CONNECTION_LIMIT,
		MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (server->daemon)
		return server;
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
		    "operator address: can't listen on port %u",
		    ntohs(config->address.sin_port));
	g_queue_free(server->waiting);
	g_free(server->token);
	g_free(server);
	return NULL;
}

void operator_server_destroy(struct operator_server *server)
{
	if (!server)
		return;
	while (!g_queue_is_empty(server->waiting))
		operator_call_fail(g_queue_peek_head(server->waiting),
				   MHD_HTTP_SERVICE_UNAVAILABLE,
				   "the daemon is shutting down");
	/* Connections that were resumed send their answer in the next run. */
	MHD_run(server->daemon);
	MHD_stop_daemon(server->daemon);
	g_queue_free(server->waiting);
	g_free(server->token);
	g_free(server);
}

static int daemon_fd(const struct operator_server *server,
		     enum MHD_DaemonInfoType type)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, type);

	if (!info)
		return -1;
	return type == MHD_DAEMON_INFO_LISTEN_FD ? info->listen_fd
						 : info->epoll_fd;
}

uint16_t operator_server_port(const struct operator_server *server)
{
	struct sockaddr_in addr = { 0 };
	socklen_t len = sizeof(addr);

	if (getsockname(daemon_fd(server, MHD_DAEMON_INFO_LISTEN_FD),
			(struct sockaddr *)&addr, &len))
		return 0;
	return ntohs(addr.sin_port);
}

int operator_server_fd(const struct operator_server *server)
{
	return daemon_fd(server, MHD_DAEMON_INFO_EPOLL_FD);
}

int operator_server_timeout_ms(const struct operator_server *server)
{
	MHD_UNSIGNED_LONG_LONG limit;

	if (MHD_get_timeout(server->daemon, &limit) != MHD_YES)
		return -1;
	return limit > G_MAXINT ? G_MAXINT : (int)limit;
}

void operator_server_run(struct operator_server *server)
{
	MHD_run(server->daemon);
}

void operator_server_wait(struct operator_server *server, int limit_ms)
{
	struct pollfd pfd = { .fd = operator_server_fd(server),
			      .events = POLLIN };
	int due = operator_server_timeout_ms(server);

	if (due >= 0 && due < limit_ms)
		limit_ms = due;
	if (poll(&pfd, 1, limit_ms) < 0)
		log_debug(PART, "poll of the operator descriptor failed");
	operator_server_run(server);
}

char *operator_routes_help(const struct operator_mount *mounts)
{
	GString *out = g_string_new(NULL);
	const struct operator_mount *mount;
	const struct operator_route *route;

	for (mount = mounts; mount->routes; mount++)
		for (route = mount->routes; route->method; route++)
			g_string_append_printf(
				out, "%-5s %-28s %-6s %s\n", route->method,
				route->path, route->guarded ? "token" : "open",
				route->help);
	return g_string_free(out, FALSE);
}
