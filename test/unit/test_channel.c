/*
 * Tests of what counts as a response on a client channel. Guards against bytes
 * of a faulty server that are passed on as a response, and against a response
 * whose end is misjudged, so that the next one on the connection is spoilt.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_channel.h"
#include "suite.h"

#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"

struct rig {
	struct loop loop;
	int listen_fd;
	struct sockaddr_in address;
	struct http_channel *channel;
	/** The server's end of the connection. */
	int fd;
	unsigned int replies, ends;
	/** Status of the last response, and how the connection ended. */
	unsigned int status;
	enum http_channel_end end;
};

static bool on_reply(void *ctx, struct http_channel *channel,
		     const struct http_reply *reply)
{
	struct rig *rig = ctx;

	(void)channel;
	rig->replies++;
	rig->status = reply->status;
	return true;
}

static void on_ended(void *ctx, struct http_channel *channel,
		     enum http_channel_end end)
{
	struct rig *rig = ctx;

	(void)channel;
	rig->ends++;
	rig->end = end;
}

static const struct http_channel_ops channel_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

static void setup(struct rig *rig)
{
	socklen_t len = sizeof(rig->address);

	memset(rig, 0, sizeof(*rig));
	rig->loop.ev = ev_loop_new(EVFLAG_AUTO);
	rig->loop.clock = clock_system();
	rig->address.sin_family = AF_INET;
	rig->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	rig->listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
		bind(rig->listen_fd, (struct sockaddr *)&rig->address, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(rig->listen_fd, 1), 0);
	getsockname(rig->listen_fd, (struct sockaddr *)&rig->address, &len);
}

static void teardown(struct rig *rig)
{
	close(rig->listen_fd);
	ev_loop_destroy(rig->loop.ev);
}

static void run_loop(struct rig *rig)
{
	int i;

	for (i = 0; i < 3; i++)
		ev_run(rig->loop.ev, EVRUN_NOWAIT);
}

static void send_request(struct rig *rig, bool head_only)
{
	char buf[64];

	http_channel_send(rig->channel, STR("GET / HTTP/1.1\r\n\r\n"),
			  head_only);
	run_loop(rig);
	if (rig->fd < 0)
		rig->fd = accept(rig->listen_fd, NULL, NULL);
	run_loop(rig);
	CU_ASSERT_TRUE(recv(rig->fd, buf, sizeof(buf), 0) > 0);
}

/* Sends bytes; the channel may have closed the connection already. */
static void send_bytes(struct rig *rig, const char *bytes, size_t len)
{
	if (len && send(rig->fd, bytes, len, MSG_NOSIGNAL) > 0)
		run_loop(rig);
}

static void open_channel(struct rig *rig)
{
	static const struct http_channel_options options = {
		.body_bytes = 1000,
	};

	rig->replies = 0;
	rig->ends = 0;
	rig->status = 0;
	rig->fd = -1;
	rig->channel = http_channel_create(&rig->loop, &rig->address, &options,
					   &channel_ops, rig);
}

static void close_channel(struct rig *rig)
{
	http_channel_destroy(rig->channel);
	close(rig->fd);
}

/* Guards against a response with a status that HTTP doesn't have, which callers
 * would get as that of their request, and against one that changes the
 * protocol, after which the bytes of another protocol would be parsed. */
static void bytes_that_are_no_response_are_not_delivered(void)
{
	static const struct {
		const char *bytes;
	} rows[] = {
		{ "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 000 Unknown\r\n\r\n" },
		{ "HTTP/1.1 0 Unknown\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 1 Unknown\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 099 Unknown\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 600 Unknown\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 999 Unknown\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 -20 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 2x0 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTP/11 200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "HTTQ/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
		{ "garbage" },
		/* Behind an interim response. */
		{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Unknown\r\n"
		  "Content-Length: 0\r\n\r\n" },
		/* No protocol but HTTP/1.1 was asked for. */
		{ "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n"
		  "Connection: Upgrade\r\n\r\n" OK },
		{ "HTTP/1.1 101 Switching Protocols\r\n\r\n" OK },
	};
	struct rig rig;
	size_t i;

	setup(&rig);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		size_t len = strlen(rows[i].bytes), at;

		/* Split before each byte; at 0 it comes whole. */
		for (at = 0; at < len; at++) {
			open_channel(&rig);
			send_request(&rig, false);
			send_bytes(&rig, rows[i].bytes, at);
			send_bytes(&rig, rows[i].bytes + at, len - at);
			CU_ASSERT_EQUAL(rig.replies, 0);
			CU_ASSERT_EQUAL(rig.ends, 1);
			CU_ASSERT_EQUAL(rig.end, HTTP_CHANNEL_BROKEN);
			close_channel(&rig);
		}
	}
	teardown(&rig);
}

/* Guards against bytes of one response that are taken for part of the next, or
 * the reverse, wherever the network splits them. */
static void a_response_leaves_the_next_one_whole(void)
{
	static const struct {
		const char *bytes;
		unsigned int status;
		bool head_only;
	} rows[] = {
		{ OK, 200, false },
		{ "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n"
		  "Content-Length: 2\r\n\r\nab",
		  200, false },
		{ "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", 200, false },
		{ "HTTP/1.1 299 Odd\r\nContent-Length: 0\r\n\r\n", 299, false },
		{ "HTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", 599, false },
		{ "HTTP/1.1 100 Continue\r\n\r\n" OK, 200, false },
		{ "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"
		  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK,
		  200, false },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n", 200, true },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200,
		  true },
		{ "HTTP/1.1 204 No Content\r\n\r\n", 204, false },
		{ "HTTP/1.1 304 Not Modified\r\n\r\n", 304, false },
		{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n",
		  304, false },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "2;a=b\r\nab\r\n0\r\nX-Trailer: 500\r\n\r\n",
		  200, false },
	};
	struct rig rig;
	size_t i;

	setup(&rig);
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		size_t len = strlen(rows[i].bytes), at;

		for (at = 0; at < len; at++) {
			open_channel(&rig);
			send_request(&rig, rows[i].head_only);
			send_bytes(&rig, rows[i].bytes, at);
			send_bytes(&rig, rows[i].bytes + at, len - at);
			CU_ASSERT_EQUAL(rig.replies, 1);
			CU_ASSERT_EQUAL(rig.status, rows[i].status);
			CU_ASSERT_EQUAL(rig.ends, 0);
			if (rig.replies == 1 && !rig.ends) {
				send_request(&rig, false);
				send_bytes(&rig, OK, strlen(OK));
				CU_ASSERT_EQUAL(rig.replies, 2);
				CU_ASSERT_EQUAL(rig.status, 200);
			}
			close_channel(&rig);
		}
	}
	teardown(&rig);
}

/* Guards against a server that is taken for unreachable because this process
 * has no descriptor left. */
static void a_missing_descriptor_says_nothing_about_the_server(void)
{
	struct rlimit before, low;
	struct rig rig;

	setup(&rig);
	getrlimit(RLIMIT_NOFILE, &before);
	low = before;
	low.rlim_cur = (rlim_t)rig.listen_fd + 1;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &low), 0);
	open_channel(&rig);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &before), 0);
	run_loop(&rig);
	CU_ASSERT_EQUAL(rig.ends, 1);
	CU_ASSERT_EQUAL(rig.end, HTTP_CHANNEL_NO_SOCKET);
	http_channel_destroy(rig.channel);
	teardown(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "bytes that are no response are not delivered",
		  bytes_that_are_no_response_are_not_delivered },
		{ "a response leaves the next one whole",
		  a_response_leaves_the_next_one_whole },
		{ "a missing descriptor says nothing about the server",
		  a_missing_descriptor_says_nothing_about_the_server },
		{ 0 },
	};

	return suite_run("channel", cases);
}
