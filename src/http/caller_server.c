#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "http/caller_internal.h"

/* Maximum number of connections that wait to be accepted. */
#define LISTEN_BACKLOG 1024

static int fail_listen(const struct sockaddr_in *addr, int fd, GError **error)
{
	char text[ADDRESS_TEXT_SIZE];

	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
		    "can't listen on %s: %s", address_format(addr, text),
		    g_strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/* Returns a listening socket, or -1 with error set. Every worker thread binds a
 * socket to the same address; the kernel distributes connections among them. */
static int listen_on(const struct sockaddr_in *addr, GError **error)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) ||
	    listen(fd, LISTEN_BACKLOG))
		return fail_listen(addr, fd, error);
	return fd;
}

/* Called by MHD for a request line; returns the request to pass to the other
 * handlers. */
static void *on_request_line(void *cls, const char *uri,
			     struct MHD_Connection *mhd)
{
	return caller_create(cls, mhd, uri);
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *mhd,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **request)
{
	(void)cls;
	(void)mhd;
	(void)url;
	return caller_handle(*request, method, version, data, size);
}

/* Called by MHD when a request is over, also when its connection broke. */
static void on_completed(void *cls, struct MHD_Connection *mhd, void **request,
			 enum MHD_RequestTerminationCode code)
{
	struct caller_server *server = cls;
	struct caller *caller = *request;

	(void)mhd;
	if (!caller)
		return;
	*request = NULL;
	if (caller->stage != CALLER_LINE)
		server->ops->ended(server->ctx, caller,
				   code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
	caller_free(caller);
}

/* Called by MHD when a connection was opened or closed. */
static void on_connection(void *cls, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct caller_server *server = cls;
	struct connection *connection = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (connection)
			g_queue_unlink(&server->connections, &connection->link);
		g_free(connection);
		*context = NULL;
		return;
	}
	connection = g_new0(struct connection, 1);
	connection->link.data = connection;
	connection->fd =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
			->connect_fd;
	g_queue_push_tail_link(&server->connections, &connection->link);
	*context = connection;
}

/* Keeps MHD from percent-decoding the target, which is forwarded as received.
 */
static size_t keep_percent_encoding(void *cls, struct MHD_Connection *mhd,
				    char *text)
{
	(void)cls;
	(void)mhd;
	return strlen(text);
}

static void G_GNUC_PRINTF(2, 0)
	on_log(void *cls, const char *format, va_list args)
{
	char text[256];

	(void)cls;
	g_vsnprintf(text, sizeof(text), format, args);
	log_debug("http", "%s", g_strchomp(text));
}

static struct MHD_Daemon *
start_daemon(struct caller_server *server,
	     const struct caller_server_options *options, int fd)
{
	return MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0,
		NULL, NULL, on_request, server, MHD_OPTION_EXTERNAL_LOGGER,
		on_log, NULL, MHD_OPTION_LISTEN_SOCKET, fd,
		MHD_OPTION_CONNECTION_LIMIT, options->connections,
		MHD_OPTION_CONNECTION_TIMEOUT, options->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, CALLER_HEAD_BYTES,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
		on_request_line, server, MHD_OPTION_UNESCAPE_CALLBACK,
		keep_percent_encoding, NULL, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, server, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection, server, MHD_OPTION_END);
}

struct caller_server *
caller_server_create(const struct caller_server_options *options,
		     const struct caller_ops *ops, void *ctx, GError **error)
{
	struct caller_server *server;
	socklen_t size;
	int fd = listen_on(&options->address, error);

	if (fd < 0)
		return NULL;
	server = g_new0(struct caller_server, 1);
	size = sizeof(server->address);
	getsockname(fd, (struct sockaddr *)&server->address, &size);
	server->ops = ops;
	server->ctx = ctx;
	server->random = g_rand_new();
	server->daemon = start_daemon(server, options, fd);
	if (!server->daemon) {
		g_set_error_literal(error, AUBURN_ERROR,
				    AUBURN_ERROR_UNAVAILABLE,
				    "can't start the HTTP server: "
				    "MHD_start_daemon() failed");
		close(fd);
		g_rand_free(server->random);
		g_free(server);
		return NULL;
	}
	server->epoll_fd =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD)
			->epoll_fd;
	return server;
}

void caller_server_destroy(struct caller_server *server)
{
	GList *link;

	if (!server)
		return;
	/* MHD must not be stopped while a connection is suspended. */
	for (link = server->callers.head; link; link = link->next)
		caller_abort(link->data);
	MHD_run(server->daemon);
	MHD_stop_daemon(server->daemon);
	g_rand_free(server->random);
	g_free(server);
}

struct sockaddr_in caller_server_address(const struct caller_server *server)
{
	return server->address;
}

int caller_server_fd(const struct caller_server *server)
{
	return server->epoll_fd;
}

int64_t caller_server_wait_us(const struct caller_server *server)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (server->resumed)
		return 0;
	if (MHD_get_timeout(server->daemon, &ms) != MHD_YES)
		return -1;
	return (int64_t)ms * US_PER_MS;
}

void caller_server_run(struct caller_server *server)
{
	server->resumed = false;
	MHD_run(server->daemon);
}

void caller_server_disable_keepalive(struct caller_server *server)
{
	server->keepalive_disabled = true;
}

void caller_server_quiesce(struct caller_server *server)
{
	MHD_socket fd;
	GList *link;

	server->keepalive_disabled = true;
	/* Accepts the connections in the listen backlog: closing the socket
	 * would reset them. */
	MHD_run(server->daemon);
	fd = MHD_quiesce_daemon(server->daemon);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	for (link = server->connections.head; link; link = link->next) {
		struct connection *connection = link->data;

		/* MHD reads end-of-file and closes the idle connection. */
		if (!connection->busy)
			shutdown(connection->fd, SHUT_RD);
	}
}

unsigned int caller_server_connections(const struct caller_server *server)
{
	return server->connections.length;
}
