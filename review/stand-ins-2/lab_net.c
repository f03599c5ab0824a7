/* Sockets and HTTP/1.1 messages. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lab_internal.h"

#define READ_BYTES 16384

int net_listen(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (fd < 0 || bind(fd, (struct sockaddr *)address, len) < 0 ||
	    listen(fd, 256) < 0 ||
	    getsockname(fd, (struct sockaddr *)address, &len) < 0)
		lab_cannot_run("no free loopback port");
	return fd;
}

void net_format(const struct sockaddr_in *address, char text[32])
{
	g_snprintf(text, 32, "127.0.0.1:%u", ntohs(address->sin_port));
}

int net_connect(const char *address)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(address, ':');
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (fd >= 0 && connect(fd, (struct sockaddr *)&to, sizeof(to)) < 0) {
		close(fd);
		return -1;
	}
	if (fd >= 0)
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

bool net_write(int fd, const GString *bytes)
{
	size_t sent = 0;

	while (sent < bytes->len) {
		ssize_t n = send(fd, bytes->str + sent, bytes->len - sent,
				 MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		sent += (size_t)n;
	}
	return true;
}

void stream_init(struct stream *stream, int fd)
{
	stream->fd = fd;
	stream->in = g_string_new(NULL);
}

void stream_close(struct stream *stream, bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (reset)
		(void)setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &linger,
				 sizeof(linger));
	if (stream->fd >= 0)
		close(stream->fd);
	stream->fd = -1;
	g_string_free(stream->in, TRUE);
	stream->in = NULL;
}

bool stream_is_closed(const struct stream *stream)
{
	char byte;
	struct pollfd pollfd = { .fd = stream->fd, .events = POLLIN };

	if (poll(&pollfd, 1, 0) <= 0)
		return false;
	return recv(stream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

/* Reads more bytes; false at the end of the connection. */
static bool read_more(struct stream *stream)
{
	char buf[READ_BYTES];
	ssize_t n = recv(stream->fd, buf, sizeof(buf), 0);

	if (n <= 0)
		return false;
	g_string_append_len(stream->in, buf, n);
	return true;
}

char *message_field(const struct message *message, const char *name)
{
	char **lines = g_strsplit(message->head->str, "\r\n", -1);
	size_t len = strlen(name);
	char *value = NULL;
	int i;

	for (i = 1; lines[0] && lines[i] && !value; i++)
		if (!g_ascii_strncasecmp(lines[i], name, len) &&
		    lines[i][len] == ':')
			value = g_strstrip(g_strdup(lines[i] + len + 1));
	g_strfreev(lines);
	return value ? value : g_strdup("");
}

bool message_read(struct stream *stream, struct message *message)
{
	const char *end;
	size_t head, body;
	char *length;

	while (!(end = strstr(stream->in->str, "\r\n\r\n")))
		if (!read_more(stream))
			return false;
	head = (size_t)(end - stream->in->str) + 4;
	message->head = g_string_new_len(stream->in->str, (gssize)head);
	message->status = 0;
	if (g_str_has_prefix(message->head->str, "HTTP/1.1 "))
		message->status = atoi(message->head->str + 9);
	length = message_field(message, "Content-Length");
	body = (size_t)g_ascii_strtoull(length, NULL, 10);
	g_free(length);
	message->body = NULL;
	while (stream->in->len < head + body)
		if (!read_more(stream)) {
			message_clear(message);
			return false;
		}
	message->body = g_string_new_len(stream->in->str + head, (gssize)body);
	g_string_erase(stream->in, 0, (gssize)(head + body));
	return true;
}

void message_clear(struct message *message)
{
	if (message->head)
		g_string_free(message->head, TRUE);
	if (message->body)
		g_string_free(message->body, TRUE);
	message->head = NULL;
	message->body = NULL;
}

/* A server, and one of its connections. */
struct server {
	int fd;
	serve_fn serve;
	void *ctx;
};

static gpointer run_connection(gpointer data)
{
	struct server *server = data;
	struct stream stream;

	stream_init(&stream, server->fd);
	server->serve(server->ctx, &stream);
	stream_close(&stream, false);
	g_free(server);
	return NULL;
}

static gpointer run_server(gpointer data)
{
	struct server *server = data;
	int fd, on = 1;

	while ((fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct server *connection = g_new(struct server, 1);

		*connection = *server;
		connection->fd = fd;
		(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		g_thread_unref(
			g_thread_new("connection", run_connection, connection));
	}
	return NULL;
}

void net_serve(struct sockaddr_in *address, serve_fn serve, void *ctx)
{
	struct server *server = g_new(struct server, 1);

	server->fd = net_listen(address);
	server->serve = serve;
	server->ctx = ctx;
	g_thread_unref(g_thread_new("server", run_server, server));
}
