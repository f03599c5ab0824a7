/*
 * Tests of where HTTP messages end: requests of callers, answers of upstreams
 * and answers of the store, each split between any two bytes and also received
 * one byte at a time. They guard against a message that spoils the next one on
 * its connection, as a trailer field once did, and against a message whose
 * meaning depends on how it was split.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_channel.h"
#include "net/http_server.h"
#include "platform/table_store.h"
#include "suite.h"

/* Time for a message to be handled; reached only when a case fails. */
#define WAIT_US ((gint64)G_USEC_PER_SEC)
/* Value of a split that sends one byte at a time. */
#define EACH_BYTE SIZE_MAX
/* Longest wait for bytes that a loopback peer has sent. */
#define GUARD_S 0.02
#define HEADER_BYTES 400
/* A head near HEADER_BYTES, with this many bytes in one field's value. */
#define LONG_VALUE 330

struct fixture {
	struct loop loop;
	/** The messages that were received, as text. */
	GString *seen;
	/** Number of messages received. */
	unsigned int count;
	/** The channel's connection ended. */
	bool ended;
	/** A message was not received as expected. */
	bool failed;
};

static void setup(struct fixture *w)
{
	memset(w, 0, sizeof(*w));
	w->loop.ev = ev_loop_new(EVFLAG_AUTO);
	w->loop.clock = clock_system();
	w->seen = g_string_new(NULL);
}

static void teardown(struct fixture *w)
{
	ev_loop_destroy(w->loop.ev);
	g_string_free(w->seen, TRUE);
}

static int listen_on(struct sockaddr_in *address)
{
	socklen_t len = sizeof(*address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(fd, (struct sockaddr *)address, len), 0);
	CU_ASSERT_EQUAL_FATAL(listen(fd, 4), 0);
	getsockname(fd, (struct sockaddr *)address, &len);
	return fd;
}

static void on_guard(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
}

/* Waits for an event, for up to GUARD_S, and handles what has arrived. */
static void run_pending(struct fixture *w)
{
	ev_timer guard;

	ev_now_update(w->loop.ev);
	ev_timer_init(&guard, on_guard, GUARD_S, 0);
	ev_timer_start(w->loop.ev, &guard);
	ev_run(w->loop.ev, EVRUN_ONCE);
	ev_timer_stop(w->loop.ev, &guard);
	ev_run(w->loop.ev, EVRUN_NOWAIT);
}

/* Runs the loop until count messages were received or the channel ended. */
static void run_until(struct fixture *w, unsigned int count)
{
	gint64 end_us = g_get_monotonic_time() + WAIT_US;

	while (w->count < count && !w->ended && g_get_monotonic_time() < end_us)
		run_pending(w);
}

/* Sends bytes in two parts, or one by one, and has each part handled. */
static void send_split(struct fixture *w, int fd, const char *bytes, size_t at)
{
	size_t len = strlen(bytes), sent = 0;

	while (sent < len) {
		size_t end = at == EACH_BYTE ? sent + 1 : sent < at ? at : len;
		ssize_t n = send(fd, bytes + sent, end - sent, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		sent += (size_t)n;
		run_pending(w);
	}
}

static void add_fields(GString *out, const struct headers *headers)
{
	size_t i;

	for (i = 0; i < headers_count(headers); i++) {
		const struct header *h = headers_at(headers, i);

		if (!str_equal(h->name, STR("Long")))
			g_string_append_printf(out, " %.*s=%.*s",
					       STR_ARG(h->name),
					       STR_ARG(h->value));
	}
}

/* Checks what was received; reports a difference with the split that shows it.
 */
static void check_seen(struct fixture *w, const char *bytes, size_t at,
		       const char *expected)
{
	char *sent, *seen;

	CU_ASSERT_STRING_EQUAL(w->seen->str, expected);
	if (!strcmp(w->seen->str, expected))
		return;
	w->failed = true;
	sent = g_strescape(bytes, NULL);
	seen = g_strescape(w->seen->str, NULL);
	printf("# %s\n# split at %zd: got %s\n", sent, (ssize_t)at, seen);
	g_free(sent);
	g_free(seen);
}

/* Takes the request that a client has sent. */
static void take_request(struct fixture *w, int fd)
{
	struct pollfd state = { .fd = fd, .events = POLLIN };
	gint64 end_us = g_get_monotonic_time() + WAIT_US;
	char buf[512];

	while (!poll(&state, 1, 0) && g_get_monotonic_time() < end_us)
		run_pending(w);
	CU_ASSERT_TRUE(recv(fd, buf, sizeof(buf), MSG_DONTWAIT) > 0);
}

/* --- requests of callers --- */

static void on_request(void *ctx, struct http_request *request)
{
	struct http_answer ok = { .status = 200 };
	struct fixture *w = ctx;

	g_string_append_printf(w->seen, "%s %s", request->method->str,
			       request->target->str);
	add_fields(w->seen, request->headers);
	g_string_append_printf(w->seen, " [%s]\n", request->body->str);
	w->count++;
	http_request_answer(request, &ok);
}

static void on_gone(void *ctx, struct http_request *request)
{
	(void)ctx;
	(void)request;
}

struct request_row {
	const char *bytes;
	/** The requests that arrive, one a line. */
	const char *expected;
	unsigned int count;
};

#define CHUNKED "POST /a HTTP/1.1\r\nA: 1\r\nTransfer-Encoding: chunked\r\n"
#define CHUNKED_SEEN "POST /a A=1 Transfer-Encoding=chunked "
#define NEXT "GET /next HTTP/1.1\r\nHost: h\r\n\r\n"
#define NEXT_SEEN "GET /next Host=h []\n"

static const struct request_row request_rows[] = {
	{ "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nab" NEXT,
	  "POST /a Content-Length=2 [ab]\n" NEXT_SEEN, 2 },
	{ "HEAD /a HTTP/1.1\r\nEmpty:\r\nLast: x\r\n\r\n" NEXT,
	  "HEAD /a Empty= Last=x []\n" NEXT_SEEN, 2 },
	{ CHUNKED "\r\n2\r\nab\r\n0\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[ab]\n" NEXT_SEEN, 2 },
	/* Chunk extensions. */
	{ CHUNKED "\r\n2;x=y\r\nab\r\n1;z\r\nc\r\n0;end=\"1\"\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[abc]\n" NEXT_SEEN, 2 },
	/* Trailer fields aren't header fields, whatever their names. */
	{ CHUNKED "\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[ab]\n" NEXT_SEEN, 2 },
	{ CHUNKED "\r\n2\r\nab\r\n0\r\nA: 2\r\nSum: 1\r\nE:\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[ab]\n" NEXT_SEEN, 2 },
	{ CHUNKED "\r\n2;x\r\nab\r\n0;x\r\nContent-Length: 9\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[ab]\n" NEXT_SEEN, 2 },
	/* After a trailer field that closes the connection nothing is read. */
	{ CHUNKED "\r\n2\r\nab\r\n0\r\nConnection: close\r\n\r\n" NEXT,
	  CHUNKED_SEEN "[ab]\n", 1 },
	{ "GET /a HTTP/1.1\r\nConnection: close\r\n\r\n" NEXT,
	  "GET /a Connection=close []\n", 1 },
};

static void play_request(struct fixture *w, struct http_server *server,
			 const struct request_row *row, size_t at)
{
	struct sockaddr_in address = http_server_address(server);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	w->count = 0;
	g_string_truncate(w->seen, 0);
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	run_pending(w);
	send_split(w, fd, row->bytes, at);
	run_until(w, row->count);
	check_seen(w, row->bytes, at, row->expected);
	close(fd);
	run_pending(w);
}

/* Plays a row with each split, up to the first that fails. */
static void play_request_splits(struct fixture *w, struct http_server *server,
				const struct request_row *row)
{
	size_t at;

	w->failed = false;
	for (at = 1; at <= strlen(row->bytes) && !w->failed; at++)
		play_request(w, server, row, at);
	if (!w->failed)
		play_request(w, server, row, EACH_BYTE);
}

static const struct http_server_ops server_ops = { on_request, on_gone };

static struct http_server *start_server(struct fixture *w)
{
	const struct http_limits limits = {
		.header_bytes = HEADER_BYTES,
		.body_bytes = 1000,
		.header_timeout_s = 10,
		.idle_timeout_s = 10,
	};
	struct sockaddr_in address = { .sin_family = AF_INET };
	struct http_server *server;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server = http_server_create(&w->loop, &address, &server_ops, w, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(server);
	http_server_set_limits(server, &limits);
	return server;
}

static void requests_end_where_they_end(void)
{
	struct http_server *server;
	struct fixture w;
	size_t i;

	setup(&w);
	server = start_server(&w);
	for (i = 0; i < G_N_ELEMENTS(request_rows); i++) {
		play_request_splits(&w, server, &request_rows[i]);
	}
	http_server_destroy(server);
	teardown(&w);
}

/* Guards against a limit that counts the parts of a head or its trailer. */
static void the_limit_of_a_head_does_not_depend_on_splits(void)
{
	char *value = g_strnfill(LONG_VALUE, 'v');
	struct request_row row = { .count = 2 };
	struct http_server *server;
	struct fixture w;

	row.bytes = g_strdup_printf(CHUNKED "Long: %s\r\n\r\n2\r\nab\r\n0\r\n"
					    "Sum: %s\r\n\r\n" NEXT,
				    value, value);
	row.expected = CHUNKED_SEEN "[ab]\n" NEXT_SEEN;
	setup(&w);
	server = start_server(&w);
	play_request_splits(&w, server, &row);
	http_server_destroy(server);
	teardown(&w);
	g_free((char *)row.bytes);
	g_free(value);
}

/* --- answers of upstreams --- */

static bool on_reply(void *ctx, struct http_channel *channel,
		     const struct http_reply *reply)
{
	struct fixture *w = ctx;

	(void)channel;
	g_string_append_printf(w->seen, "%u", reply->status);
	add_fields(w->seen, reply->headers);
	g_string_append_printf(w->seen, " [%s]\n", reply->body->str);
	w->count++;
	return true;
}

static void on_ended(void *ctx, struct http_channel *channel,
		     enum http_channel_end end)
{
	struct fixture *w = ctx;

	(void)channel;
	(void)end;
	w->ended = true;
}

static const struct http_channel_ops channel_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

struct answer_row {
	const char *bytes;
	/** The answer that is delivered. */
	const char *expected;
	/** The request's method is HEAD. */
	bool head;
	/** The upstream closes the connection after the answer. */
	bool closes;
};

#define OK_CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nA: 1\r\n"
#define OK_CHUNKED_SEEN "200 Transfer-Encoding=chunked A=1 "

static const struct answer_row answer_rows[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	  "200 Content-Length=2 [ab]\n", false, false },
	{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nEmpty:\r\n\r\n",
	  "200 Content-Length=0 Empty= []\n", false, false },
	{ OK_CHUNKED "\r\n2\r\nab\r\n0\r\n\r\n", OK_CHUNKED_SEEN "[ab]\n",
	  false, false },
	/* Chunk extensions. */
	{ OK_CHUNKED "\r\n2;x=y\r\nab\r\n1;z\r\nc\r\n0;end=\"1\"\r\n\r\n",
	  OK_CHUNKED_SEEN "[abc]\n", false, false },
	/* Trailer fields aren't header fields, whatever their names. */
	{ OK_CHUNKED "\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n",
	  OK_CHUNKED_SEEN "[ab]\n", false, false },
	{ OK_CHUNKED "\r\n2\r\nab\r\n0\r\nA: 2\r\nSum: 1\r\nE:\r\n\r\n",
	  OK_CHUNKED_SEEN "[ab]\n", false, false },
	{ OK_CHUNKED "\r\n2\r\nab\r\n0\r\nContent-Length: 9\r\n\r\n",
	  OK_CHUNKED_SEEN "[ab]\n", false, false },
	/* Interim responses, with fields, also some that look like framing. */
	{ "HTTP/1.1 100 Continue\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
	  "200 Content-Length=2 [ab]\n", false, false },
	{ "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	  "HTTP/1.1 102 Processing\r\nContent-Length: 3\r\n\r\n" OK_CHUNKED
	  "\r\n2\r\nab\r\n0\r\nSum: 1\r\n\r\n",
	  OK_CHUNKED_SEEN "[ab]\n", false, false },
	/* Answers to HEAD state the length of a body that doesn't follow. */
	{ "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	  "200 Content-Length=5 []\n", true, false },
	{ OK_CHUNKED "\r\n", OK_CHUNKED_SEEN "[]\n", true, false },
	{ "HTTP/1.1 200 OK\r\nA: 1\r\n\r\n", "200 A=1 []\n", true, false },
	{ "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
	  "200 Content-Length=5 []\n", true, false },
	/* So do 304 and, against the rules, 204. */
	{ "HTTP/1.1 304 Not Modified\r\nA: 1\r\n\r\n", "304 A=1 []\n", false,
	  false },
	{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	  "304 Content-Length=5 []\n", false, false },
	{ "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n",
	  "304 Transfer-Encoding=chunked []\n", false, false },
	{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	  "304 Content-Length=5 []\n", true, false },
	{ "HTTP/1.1 204 No Content\r\nA: 1\r\n\r\n", "204 A=1 []\n", false,
	  false },
	{ "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
	  "204 Content-Length=5 []\n", false, false },
	/* The end of the connection ends the answer. */
	{ "HTTP/1.1 200 OK\r\nA: 1\r\n\r\nab", "200 A=1 [ab]\n", false, true },
	{ "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab",
	  "200 Connection=close Content-Length=2 [ab]\n", false, true },
};

/* Sends a request, answers it with the bytes and checks the answer. */
static void exchange(struct fixture *w, struct http_channel *channel, int fd,
		     const struct answer_row *row, size_t at)
{
	w->count = 0;
	g_string_truncate(w->seen, 0);
	http_channel_send(channel, STR("GET / HTTP/1.1\r\n\r\n"), row->head);
	take_request(w, fd);
	send_split(w, fd, row->bytes, at);
	if (row->closes)
		shutdown(fd, SHUT_WR);
	run_until(w, 1);
	check_seen(w, row->bytes, at, row->expected);
}

static void play_answer(struct fixture *w, int listener,
			const struct sockaddr_in *address,
			const struct answer_row *row, size_t at)
{
	static const struct http_channel_options options = {
		.body_bytes = 1000,
	};
	static const struct answer_row next = {
		"HTTP/1.1 201 Created\r\nContent-Length: 4\r\n\r\nnext",
		"201 Content-Length=4 [next]\n", false, false
	};
	struct http_channel *channel = http_channel_create(
		&w->loop, address, &options, &channel_ops, w);
	int fd = accept(listener, NULL, NULL);

	w->ended = false;
	run_pending(w);
	exchange(w, channel, fd, row, at);
	CU_ASSERT_EQUAL(http_channel_reusable(channel), !row->closes);
	if (!row->closes && http_channel_reusable(channel))
		exchange(w, channel, fd, &next, strlen(next.bytes));
	http_channel_destroy(channel);
	close(fd);
}

static void answers_end_where_they_end(void)
{
	struct sockaddr_in address;
	struct fixture w;
	size_t i, at;
	int listener;

	setup(&w);
	listener = listen_on(&address);
	for (i = 0; i < G_N_ELEMENTS(answer_rows); i++) {
		const struct answer_row *row = &answer_rows[i];

		w.failed = false;
		for (at = 1; at <= strlen(row->bytes) && !w.failed; at++)
			play_answer(&w, listener, &address, row, at);
		if (!w.failed)
			play_answer(&w, listener, &address, row, EACH_BYTE);
	}
	close(listener);
	teardown(&w);
}

/* --- answers of the store --- */

static void on_result(void *ctx, const struct store_result *result)
{
	struct fixture *w = ctx;

	g_string_append_printf(w->seen, "%s %zu %" G_GUINT64_FORMAT "\n",
			       result->status == STORE_OK ? "ok" : "failed",
			       result->row_count, result->version);
	w->count++;
}

#define ROWS "{\"ver\":7,\"rows\":[{\"key\":\"k\",\"value\":\"\",\"ver\":5}]}"
/* ROWS in two chunks. */
#define ROWS_CHUNKED                                                           \
	"9;x=y\r\n{\"ver\":7,\r\n28;z\r\n"                                     \
	"\"rows\":[{\"key\":\"k\",\"value\":\"\",\"ver\":5}]}\r\n"

/* Answers of the store; expected holds the status, the number of rows and the
 * version of the result. */
static const struct answer_row store_rows[] = {
	{ "HTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\n" ROWS, "ok 1 7\n",
	  false, false },
	{ OK_CHUNKED "\r\n" ROWS_CHUNKED "0\r\n\r\n", "ok 1 7\n", false,
	  false },
	{ OK_CHUNKED "\r\n" ROWS_CHUNKED "0;e\r\nA: 2\r\nSum: 1\r\n\r\n",
	  "ok 1 7\n", false, false },
	{ "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: 1\r\n"
	  "\r\nHTTP/1.1 200 OK\r\nContent-Length: 49\r\n\r\n" ROWS,
	  "ok 1 7\n", false, false },
	/* Such answers say nothing about the call. */
	{ "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
	  "failed 0 0\n", false, false },
	{ "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n",
	  "failed 0 0\n", false, false },
};

static const struct answer_row store_next = {
	"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n{\"ver\":8,\"rows\":[]}",
	"ok 0 8\n", false, false
};

/* Answers the call that the client has sent and checks its result. */
static void answer_call(struct fixture *w, int fd, const struct answer_row *row,
			size_t at)
{
	w->count = 0;
	g_string_truncate(w->seen, 0);
	take_request(w, fd);
	send_split(w, fd, row->bytes, at);
	run_until(w, 1);
	check_seen(w, row->bytes, at, row->expected);
}

static void play_store(struct fixture *w, int listener,
		       const struct sockaddr_in *address,
		       const struct answer_row *row, size_t at)
{
	struct table_store *client = table_store_create(&w->loop, address);
	struct store store = table_store_interface(client);
	int fd;

	store.ops->read(store.impl, "t", "", on_result, w);
	fd = accept(listener, NULL, NULL);
	answer_call(w, fd, row, at);
	/* The next call uses the same connection. */
	store.ops->read(store.impl, "t", "", on_result, w);
	answer_call(w, fd, &store_next, strlen(store_next.bytes));
	table_store_destroy(client);
	close(fd);
}

static void answers_of_the_store_end_where_they_end(void)
{
	struct sockaddr_in address;
	struct fixture w;
	size_t i, at;
	int listener;

	setup(&w);
	listener = listen_on(&address);
	for (i = 0; i < G_N_ELEMENTS(store_rows); i++) {
		const struct answer_row *row = &store_rows[i];

		w.failed = false;
		for (at = 1; at <= strlen(row->bytes) && !w.failed; at++)
			play_store(&w, listener, &address, row, at);
		if (!w.failed)
			play_store(&w, listener, &address, row, EACH_BYTE);
	}
	close(listener);
	teardown(&w);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "requests end where they end", requests_end_where_they_end },
		{ "the limit of a head does not depend on splits",
		  the_limit_of_a_head_does_not_depend_on_splits },
		{ "answers of upstreams end where they end",
		  answers_end_where_they_end },
		{ "answers of the store end where they end",
		  answers_of_the_store_end_where_they_end },
		{ 0 },
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run("message_bounds", cases);
}
