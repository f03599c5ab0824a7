#define _GNU_SOURCE
#include "net.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

double now_s(void)
{
	static double first_s;
	struct timespec now;
	double s;

	clock_gettime(CLOCK_MONOTONIC, &now);
	s = (double)now.tv_sec + (double)now.tv_nsec / 1e9;
	if (first_s <= 0)
		first_s = s;
	return s - first_s;
}

long long unix_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void sleep_s(double seconds)
{
	struct timespec t = { (time_t)seconds, 0 };

	t.tv_nsec = (long)((seconds - (double)t.tv_sec) * 1e9);
	nanosleep(&t, NULL);
}

void record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	flockfile(stdout);
	printf("%8.3f ", now_s());
	vprintf(format, args);
	putchar('\n');
	funlockfile(stdout);
	va_end(args);
}

void fail(const char *what)
{
	record("can't run: %s", what);
	fflush(stdout);
	_exit(2);
}

void parse_address(const char *text, struct sockaddr_in *address)
{
	char host[32];
	const char *colon = strchr(text, ':');

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (!colon || (size_t)(colon - text) >= sizeof(host))
		fail("an address is not IPv4:port");
	memcpy(host, text, (size_t)(colon - text));
	host[colon - text] = '\0';
	address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, host, &address->sin_addr) != 1)
		fail("an address is not IPv4:port");
}

bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

const char *field(const char *head, const char *name, char *buf, size_t size)
{
	size_t len = strlen(name);
	const char *line = strstr(head, "\r\n");

	buf[0] = '\0';
	for (; line && line[2]; line = strstr(line + 2, "\r\n")) {
		const char *at = line + 2;

		if (strncasecmp(at, name, len) != 0 || at[len] != ':')
			continue;
		at += len + 1;
		at += strspn(at, " ");
		snprintf(buf, size, "%.*s", (int)strcspn(at, "\r"), at);
		return buf;
	}
	return buf;
}

/* Takes one message with a Content-Length, or without a body, from the bytes
 * that were received; false if it isn't complete. */
static bool take_message(char *in, size_t *len, struct message *message)
{
	char *end;
	char text[24];
	size_t head, body;

	in[*len] = '\0';
	end = strstr(in, "\r\n\r\n");
	if (!end)
		return false;
	head = (size_t)(end - in) + 4;
	memcpy(message->head, in, head);
	message->head[head] = '\0';
	body = strtoul(
		field(message->head, "Content-Length", text, sizeof(text)),
		NULL, 10);
	if (head + body >= MESSAGE_BYTES || *len < head + body)
		return false;
	memcpy(message->body, in + head, body);
	message->body[body] = '\0';
	*len -= head + body;
	memmove(in, in + head + body, *len);
	return true;
}

bool read_message(int fd, char *in, size_t *len, struct message *message)
{
	while (!take_message(in, len, message)) {
		ssize_t n;

		if (*len + 1 >= MESSAGE_BYTES)
			return false;
		n = recv(fd, in + *len, MESSAGE_BYTES - 1 - *len, 0);
		if (n <= 0)
			return false;
		*len += (size_t)n;
	}
	return true;
}

int connect_to(const struct sockaddr_in *address)
{
	struct timeval timeout = { RECEIVE_TIMEOUT_S, 0 };
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)address, sizeof(*address)) <
	    0) {
		close(fd);
		return -1;
	}
	return fd;
}

void control(const struct sockaddr_in *store, const char *call,
	     const char *body)
{
	char out[MESSAGE_BYTES], in[MESSAGE_BYTES];
	size_t len = 0;
	struct message answer;
	int fd = connect_to(store);

	if (fd < 0)
		fail("the store's stand-in doesn't answer");
	snprintf(out, sizeof(out),
		 "POST /control/%s HTTP/1.1\r\nHost: store\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 call, strlen(body), body);
	if (!send_all(fd, out, strlen(out)) ||
	    !read_message(fd, in, &len, &answer))
		fail("the store's stand-in doesn't answer");
	close(fd);
}

int listen_on(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)address, len) < 0 ||
	    listen(fd, 128) < 0 ||
	    getsockname(fd, (struct sockaddr *)address, &len) < 0)
		fail("a target can't listen");
	return fd;
}

void start_thread(void *(*fn)(void *), void *arg)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, arg))
		fail("a thread can't be started");
	pthread_detach(thread);
}
