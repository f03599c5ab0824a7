#include "common_http.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/error.h"

#define LISTEN_BACKLOG 512
/* Largest request body, in bytes; a larger one closes the connection. */
#define BODY_LIMIT ((size_t)16 * 1024 * 1024)
/* Time between two checks for requests in flight. */
#define IDLE_CHECK_US 5000

struct standin_server {
	struct MHD_Daemon *daemon;
	char *address;
	standin_handler handler;
	void *ctx;
	/* Number of connections accepted so far. */
	_Atomic uint64_t accepted;
	/* Numbers of open connections and of requests in flight. */
	_Atomic unsigned int connections;
	_Atomic unsigned int requests;
};

/* State of a request from its request line to the end of the response. */
struct request {
	/* Path and query as the client sent them. */
	char *uri;
	/* The body received so far; NULL until the head is complete. */
	GString *body;
};

/* Returns a socket that listens on addr, or -1 on error; sets addr to the bound
 * address, whose port is the one taken for port 0. */
static int bind_and_listen(struct sockaddr_in *addr)
{
	socklen_t len = sizeof(*addr);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)addr, sizeof(*addr)) ||
	    listen(fd, LISTEN_BACKLOG) ||
	    getsockname(fd, (struct sockaddr *)addr, &len)) {
		close(fd);
		return -1;
	}
	return fd;
}

int standin_listen(const char *listen, char **address, GError **error)
{
	struct sockaddr_in addr;
	char text[ADDRESS_TEXT_SIZE];
	int fd = -1;

	if (address_parse(str_from(listen), &addr))
		fd = bind_and_listen(&addr);
	if (fd < 0) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "cannot bind a listening socket to %s", listen);
		return -1;
	}
	*address = g_strdup(address_format(&addr, text));
	return fd;
}

/* Called when a request line has arrived. Returns the request's state, which
 * the server passes to on_access() and on_completed(). */
static void *on_uri(void *ctx, const char *uri, struct MHD_Connection *conn)
{
	struct standin_server *server = ctx;
	struct request *request = g_new0(struct request, 1);

	(void)conn;
	server->requests++;
	request->uri = g_strdup(uri);
	return request;
}

/* Returns the number that on_connection() gave to a connection. */
static uint64_t connection_number(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? (uint64_t)(uintptr_t)info->socket_context : 0;
}

static enum MHD_Result call_handler(struct standin_server *server,
				    struct MHD_Connection *conn,
				    const char *path, const char *method,
				    const struct request *request)
{
	struct standin_call call = { .conn = conn,
				     .method = method,
				     .path = path,
				     .uri = request->uri,
				     .conn_number = connection_number(conn),
				     .body = request->body->str,
				     .body_len = request->body->len };

	return server->handler(server->ctx, &call);
}

/* Collects a request's body and passes the complete request to the handler.
 * Called with no data after the request's head, then with each part of its
 * body, then once more with no data at the end. */
static enum MHD_Result on_access(void *ctx, struct MHD_Connection *conn,
				 const char *path, const char *method,
				 const char *version, const char *data,
				 size_t *size, void **state)
{
	struct request *request = *state;

	(void)version;
	if (!request->body) {
		request->body = g_string_new(NULL);
		return MHD_YES;
	}
	if (*size) {
		if (request->body->len + *size > BODY_LIMIT)
			return MHD_NO;
		g_string_append_len(request->body, data, (gssize)*size);
		*size = 0;
		return MHD_YES;
	}
	return call_handler(ctx, conn, path, method, request);
}

/* Called when a request's response is sent or its connection is closed. */
static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode code)
{
	struct standin_server *server = ctx;
	struct request *request = *state;

	(void)conn;
	(void)code;
	if (!request)
		return;
	if (request->body)
		g_string_free(request->body, TRUE);
	g_free(request->uri);
	g_free(request);
	*state = NULL;
	server->requests--;
}

/* Called when a connection is accepted, which numbers it, and when it ends. */
static void on_connection(void *ctx, struct MHD_Connection *conn,
			  void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct standin_server *server = ctx;

	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		server->connections++;
		*context = (void *)(uintptr_t)++server->accepted;
	} else {
		server->connections--;
	}
}

struct standin_server *standin_server_create(const char *listen,
					     unsigned int connection_limit,
					     standin_handler handler, void *ctx,
					     GError **error)
{
	struct standin_server *server = g_new0(struct standin_server, 1);
	int fd = standin_listen(listen, &server->address, error);

	if (fd < 0) {
		g_free(server);
		return NULL;
	}
	server->handler = handler;
	server->ctx = ctx;
	server->daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD |
			MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC,
		0, NULL, NULL, on_access, server, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, connection_limit,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)LISTEN_BACKLOG,
		MHD_OPTION_URI_LOG_CALLBACK, on_uri, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_END);
	if (!server->daemon) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "cannot start the HTTP server on %s", listen);
		close(fd);
		g_free(server->address);
		g_free(server);
		return NULL;
	}
	return server;
}

const char *standin_server_address(const struct standin_server *server)
{
	return server->address;
}

uint64_t standin_server_accepted(const struct standin_server *server)
{
	return server->accepted;
}

unsigned int standin_server_connections(const struct standin_server *server)
{
	return server->connections;
}

void standin_server_wait_idle(struct standin_server *server, int64_t timeout_us)
{
	int64_t waited;

	for (waited = 0; server->requests && waited < timeout_us;
	     waited += IDLE_CHECK_US)
		g_usleep(IDLE_CHECK_US);
}

void standin_server_destroy(struct standin_server *server)
{
	MHD_stop_daemon(server->daemon);
	g_free(server->address);
	g_free(server);
}

enum MHD_Result standin_reply(struct MHD_Connection *conn, unsigned int status,
			      const char *type, const void *body, size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	result = MHD_queue_response(conn, status, response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result standin_reply_json(struct MHD_Connection *conn,
				   unsigned int status, json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT) : NULL;
	enum MHD_Result result;

	json_decref(value);
	if (!text)
		return MHD_NO;
	result = standin_reply(conn, status, "application/json", text,
			       strlen(text));
	free(text);
	return result;
}

json_t *standin_call_json(const struct standin_call *call)
{
	json_t *value = json_loadb(call->body, call->body_len, 0, NULL);

	if (value && !json_is_object(value)) {
		json_decref(value);
		return NULL;
	}
	return value;
}

const char *standin_header(const struct standin_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->conn, MHD_HEADER_KIND, name);
}

int64_t standin_query_int(struct MHD_Connection *conn, const char *name,
			  int64_t fallback)
{
	const char *text =
		MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return text && *text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

static void fill_stop_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
}

void standin_signals_block(void)
{
	sigset_t set;

	fill_stop_signals(&set);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
}

void standin_signals_wait(void)
{
	sigset_t set;
	int signal_number;

	fill_stop_signals(&set);
	sigwait(&set, &signal_number);
}
