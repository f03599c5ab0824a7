/*
 * Tests of the HTTP server and the HTTP client channel over sockets: order of
 * answers, callers that disconnect, and bytes that belong to no request. Also
 * tests the event log: a reader that stops reading must not block the threads
 * that write log lines, and dropped lines must be reported.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/event_log.h"
#include "net/http_channel.h"
#include "net/http_server.h"
#include "suite.h"

#define REQUESTS_MAX 8

struct fixture {
	struct loop loop;
	struct http_server *server;
	/** Requests received by the server, in the order of arrival. */
	struct http_request *requests[REQUESTS_MAX];
	/** Number of requests received, and of those reported as gone. */
	unsigned int count;
	unsigned int gone;
	/** Number of responses that the channel delivered, and of calls of its
	 * ended(). */
	unsigned int replies;
	unsigned int ends;
	/** How the channel's connection ended. */
	enum http_channel_end end;
	/** Body of the last response. */
	char body[64];
	/** If not NULL, a response with another Id field is taken as the
	 * response to an earlier request. */
	const char *wanted_id;
};

static void on_request(void *ctx, struct http_request *request)
{
	struct fixture *w = ctx;

	w->requests[w->count++] = request;
}

static void on_gone(void *ctx, struct http_request *request)
{
	(void)request;
	((struct fixture *)ctx)->gone++;
}

static const struct http_server_ops server_ops = { on_request, on_gone };

static void setup(struct fixture *w)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	memset(w, 0, sizeof(*w));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	w->loop.ev = ev_loop_new(EVFLAG_AUTO);
	w->loop.clock = clock_system();
	w->server =
		http_server_create(&w->loop, &address, &server_ops, w, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w->server);
}

static void teardown(struct fixture *w)
{
	http_server_destroy(w->server);
	ev_loop_destroy(w->loop.ev);
}

/* Runs the event loop for at least 20 ms, so that it handles pending events. */
static void run_loop(struct fixture *w)
{
	int i;

	for (i = 0; i < 20; i++) {
		ev_run(w->loop.ev, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static int connect_to(struct fixture *w)
{
	struct sockaddr_in address = http_server_address(w->server);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	CU_ASSERT_EQUAL(write(fd, text, strlen(text)), (ssize_t)strlen(text));
}

/* Reads received bytes without waiting; an empty string if there are none. */
static void receive_text(int fd, char *buf, size_t size)
{
	ssize_t n = recv(fd, buf, size - 1, MSG_DONTWAIT);

	buf[n > 0 ? n : 0] = '\0';
}

/* Answers a request with status 200. */
static void answer(struct http_request *request, const char *body)
{
	struct http_answer out = { .status = 200, .body = str_from(body) };

	http_request_answer(request, &out);
}

static void answers_go_out_in_the_order_of_requests(void)
{
	struct fixture w;
	char buf[1024];
	int fd;

	setup(&w);
	fd = connect_to(&w);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
		      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_loop(&w);
	CU_ASSERT_EQUAL_FATAL(w.count, 2);
	answer(w.requests[1], "second");
	run_loop(&w);
	receive_text(fd, buf, sizeof(buf));
	CU_ASSERT_STRING_EQUAL(buf, "");
	answer(w.requests[0], "first");
	run_loop(&w);
	receive_text(fd, buf, sizeof(buf));
	CU_ASSERT_PTR_NOT_NULL_FATAL(strstr(buf, "first"));
	CU_ASSERT_PTR_NOT_NULL(strstr(strstr(buf, "first"), "second"));
	close(fd);
	teardown(&w);
}

static void a_disconnected_caller_is_reported(void)
{
	struct fixture w;
	int fd;

	setup(&w);
	fd = connect_to(&w);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_loop(&w);
	CU_ASSERT_EQUAL(w.count, 1);
	close(fd);
	run_loop(&w);
	/* The server can't tell at once from one that has only ended its
	 * sending direction. */
	http_server_tick(w.server);
	CU_ASSERT_EQUAL(w.gone, 1);
	teardown(&w);
}

static void invalid_requests_are_rejected(void)
{
	static const struct {
		const char *text;
		const char *status;
	} rows[] = {
		{ "GARBAGE\r\n\r\n", "400" },
		{ "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
		  "Transfer-Encoding: chunked\r\n\r\n",
		  "400" },
		{ "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
		  "Content-Length: 2\r\n\r\n",
		  "400" },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct fixture w;
		char buf[512];
		int fd;

		setup(&w);
		fd = connect_to(&w);
		send_text(fd, rows[i].text);
		run_loop(&w);
		receive_text(fd, buf, sizeof(buf));
		CU_ASSERT_PTR_NOT_NULL(strstr(buf, rows[i].status));
		CU_ASSERT_EQUAL(w.count, 0);
		close(fd);
		teardown(&w);
	}
}

static void draining_closes_after_the_last_answer_only(void)
{
	struct fixture w;
	char buf[1024];
	int fd;

	setup(&w);
	fd = connect_to(&w);
	send_text(fd, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
		      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
	run_loop(&w);
	http_server_drain(w.server);
	answer(w.requests[0], "first");
	run_loop(&w);
	receive_text(fd, buf, sizeof(buf));
	CU_ASSERT_PTR_NULL(strstr(buf, "Connection: close"));
	answer(w.requests[1], "second");
	run_loop(&w);
	receive_text(fd, buf, sizeof(buf));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	close(fd);
	teardown(&w);
}

/* A process that gets little processor time may find, when it has to close idle
 * connections, that requests came on them, or connections with requests, that
 * it has not read yet. */
static void requests_that_came_before_the_close_are_read(void)
{
	static const char request[] = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
	struct fixture w;
	char buf[1024];
	int kept, fresh, idle;

	setup(&w);
	kept = connect_to(&w);
	idle = connect_to(&w);
	run_loop(&w);
	http_server_drain(w.server);
	send_text(kept, request);
	fresh = connect_to(&w);
	send_text(fresh, request);
	g_usleep(1000);
	http_server_close_idle(w.server);
	run_loop(&w);
	CU_ASSERT_EQUAL_FATAL(w.count, 2);
	answer(w.requests[0], "first");
	answer(w.requests[1], "second");
	run_loop(&w);
	receive_text(kept, buf, sizeof(buf));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "first"));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "Connection: close"));
	receive_text(fresh, buf, sizeof(buf));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "second"));
	/* The one without a request was closed. */
	CU_ASSERT_EQUAL(recv(idle, buf, sizeof(buf), MSG_DONTWAIT), 0);
	close(kept);
	close(fresh);
	close(idle);
	run_loop(&w);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
	teardown(&w);
}

/* --- the client channel, with the test as its server --- */

static bool on_reply(void *ctx, struct http_channel *channel,
		     const struct http_reply *reply)
{
	struct fixture *w = ctx;
	const struct header *id = headers_find(reply->headers, STR("id"));

	(void)channel;
	if (w->wanted_id && id && !str_equal(id->value, str_from(w->wanted_id)))
		return false;
	w->replies++;
	g_strlcpy(w->body, reply->body->str, sizeof(w->body));
	return true;
}

static void on_ended(void *ctx, struct http_channel *channel,
		     enum http_channel_end end)
{
	struct fixture *w = ctx;

	(void)channel;
	w->ends++;
	w->end = end;
}

static const struct http_channel_ops channel_ops = {
	.reply = on_reply,
	.ended = on_ended,
};

/* Sends a request on a new channel and answers it with the given bytes.
 *
 * @param close_after the server closes its sending direction afterwards
 * @param reusable set to whether the channel can be used again */
static void send_and_answer(struct fixture *w, const char *bytes,
			    bool close_after, bool *reusable)
{
	static const struct http_channel_options options = {
		.body_bytes = 1000,
	};
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct http_channel *channel;
	int fd;

	w->loop.ev = ev_loop_new(EVFLAG_AUTO);
	w->loop.clock = clock_system();
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(listener, (struct sockaddr *)&address, len),
			      0);
	listen(listener, 1);
	getsockname(listener, (struct sockaddr *)&address, &len);
	channel = http_channel_create(&w->loop, &address, &options,
				      &channel_ops, w);
	http_channel_send(channel, STR("GET / HTTP/1.1\r\n\r\n"), false);
	run_loop(w);
	fd = accept(listener, NULL, NULL);
	run_loop(w);
	{
		char buf[256];

		receive_text(fd, buf, sizeof(buf));
	}
	send_text(fd, bytes);
	if (close_after)
		shutdown(fd, SHUT_WR);
	run_loop(w);
	*reusable = http_channel_reusable(channel);
	http_channel_destroy(channel);
	close(fd);
	close(listener);
	ev_loop_destroy(w->loop.ev);
}

static void only_complete_responses_are_delivered(void)
{
	static const struct {
		const char *bytes;
		bool close_after;
		unsigned int replies;
		const char *body;
		bool reusable;
	} rows[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false, 1,
		  "ab", true },
		/* The response is truncated. */
		{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", true, 0, "",
		  false },
		/* The end of the connection completes a response without a
		 * length. */
		{ "HTTP/1.1 200 OK\r\n\r\nabc", true, 1, "abc", false },
		/* Bytes after the response belong to no request. */
		{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 "
		  "200 OK\r\nContent-Length: 1\r\n\r\nx",
		  false, 1, "ab", false },
		/* The response to an earlier request arrives first. */
		{ "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 1\r\n\r\nx"
		  "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 2\r\n\r\nab",
		  false, 1, "ab", true },
		{ "nothing like an answer\r\n\r\n", false, 0, "", false },
		{ "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		  "Content-Length: 2\r\n\r\nab",
		  false, 1, "ab", false },
	};
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
		struct fixture w = { .wanted_id = "own" };
		bool reusable;

		send_and_answer(&w, rows[i].bytes, rows[i].close_after,
				&reusable);
		CU_ASSERT_EQUAL(w.replies, rows[i].replies);
		CU_ASSERT_STRING_EQUAL(w.body, rows[i].body);
		CU_ASSERT_EQUAL(reusable, rows[i].reusable);
		/* The channel reports its end unless the connection is still
		 * open. */
		CU_ASSERT_EQUAL(w.ends,
				rows[i].close_after || !rows[i].replies);
	}
}

/* --- the event log --- */

/* Guards against upstreams that send a head without end on many connections:
 * together they may hold what the budget allows. */
static void heads_without_end_count_against_the_budget(void)
{
	struct byte_budget budget = { .limit = (size_t)256 << 10 };
	const struct http_channel_options options = {
		.body_bytes = 1000,
		.budget = &budget,
	};
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct http_channel *channels[REQUESTS_MAX];
	int fds[REQUESTS_MAX];
	struct fixture w = { 0 };
	char *value = g_strnfill(60000, 'a');
	size_t i;

	w.loop.ev = ev_loop_new(EVFLAG_AUTO);
	w.loop.clock = clock_system();
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT_EQUAL_FATAL(bind(listener, (struct sockaddr *)&address, len),
			      0);
	listen(listener, REQUESTS_MAX);
	getsockname(listener, (struct sockaddr *)&address, &len);
	for (i = 0; i < REQUESTS_MAX; i++) {
		channels[i] = http_channel_create(&w.loop, &address, &options,
						  &channel_ops, &w);
		http_channel_send(channels[i], STR("GET / HTTP/1.1\r\n\r\n"),
				  false);
		run_loop(&w);
		fds[i] = accept(listener, NULL, NULL);
		send_text(fds[i], "HTTP/1.1 200 OK\r\nX-A: ");
		send_text(fds[i], value);
		run_loop(&w);
	}
	CU_ASSERT_TRUE(budget.peak <= budget.limit);
	CU_ASSERT_TRUE(w.ends > 0);
	CU_ASSERT_TRUE(w.ends < REQUESTS_MAX);
	CU_ASSERT_EQUAL(w.end, HTTP_CHANNEL_BROKEN);
	for (i = 0; i < REQUESTS_MAX; i++) {
		http_channel_destroy(channels[i]);
		close(fds[i]);
	}
	CU_ASSERT_EQUAL(budget.used, 0);
	close(listener);
	ev_loop_destroy(w.loop.ev);
	g_free(value);
}

static void a_blocked_log_reader_does_not_block_writers(void)
{
	struct event_log_options options = { .lines_per_s = 100000 };
	struct event_log *log;
	int ends[2];
	int i;

	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	options.fd = ends[1];
	log = event_log_create(&options);
	/* Far more lines than the pipe and the log's queue hold. */
	for (i = 0; i < 40000; i++) {
		event_log_write(log, "info", "test", "event=line number=%d", i);
		if (i % 100 == 0)
			event_log_flush(log);
	}
	CU_ASSERT_TRUE(event_log_dropped(log) > 0);
	/* Closing the read end lets the log's blocked writer thread end. */
	close(ends[0]);
	event_log_destroy(log);
	close(ends[1]);
}

static void log_lines_are_limited_and_drops_reported(void)
{
	struct event_log_options options = { .lines_per_s = 10 };
	struct event_log *log;
	char buf[8192] = "";
	unsigned int lines = 0;
	int ends[2];
	int i;

	CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
	options.fd = ends[1];
	log = event_log_create(&options);
	for (i = 0; i < 100; i++)
		event_log_write(log, "info", "test", "event=line");
	g_usleep(G_USEC_PER_SEC / 2);
	event_log_write(log, "info", "test", "event=last");
	event_log_destroy(log);
	CU_ASSERT_TRUE(read(ends[0], buf, sizeof(buf) - 1) > 0);
	for (i = 0; buf[i]; i++)
		lines += buf[i] == '\n';
	CU_ASSERT_TRUE(lines < 20);
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "event=left_out lines="));
	CU_ASSERT_PTR_NOT_NULL(strstr(buf, "event=last"));
	close(ends[0]);
	close(ends[1]);
}

/* Guards against a decision that is left out because lines of requests used up
 * the limit, or the queue, of that moment. */
static void lines_of_requests_leave_room_for_decisions(void)
{
	static const struct {
		unsigned int lines_per_s;
		unsigned int requests, decisions;
		/* Of the decisions. */
		unsigned int dropped_max;
	} rows[] = {
		{ 40, 1000, 10, 0 },
		{ 40, 0, 40, 0 },
		{ 40, 1000, 100, 91 },
		/* More than the pipe and the queue hold. */
		{ 100000, 40000, 1000, 0 },
	};
	size_t row;

	for (row = 0; row < G_N_ELEMENTS(rows); row++) {
		struct event_log_options options = {
			.lines_per_s = rows[row].lines_per_s,
			.bulk_part = "request",
		};
		struct event_log *log;
		uint64_t before;
		unsigned int i;
		int ends[2];

		CU_ASSERT_EQUAL_FATAL(pipe(ends), 0);
		options.fd = ends[1];
		log = event_log_create(&options);
		for (i = 0; i < rows[row].requests; i++)
			event_log_write(log, "info", "request",
					"event=refused number=%u", i);
		before = event_log_dropped(log);
		CU_ASSERT_EQUAL(before > 0, rows[row].requests > 0);
		for (i = 0; i < rows[row].decisions; i++)
			event_log_write(log, "info", "config",
					"event=in_force version=%u", i);
		CU_ASSERT_TRUE(event_log_dropped(log) - before <=
			       rows[row].dropped_max);
		close(ends[0]);
		event_log_destroy(log);
		close(ends[1]);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "answers go out in the order of requests",
		  answers_go_out_in_the_order_of_requests },
		{ "a disconnected caller is reported",
		  a_disconnected_caller_is_reported },
		{ "invalid requests are rejected",
		  invalid_requests_are_rejected },
		{ "draining closes after the last answer only",
		  draining_closes_after_the_last_answer_only },
		{ "requests that came before the close are read",
		  requests_that_came_before_the_close_are_read },
		{ "only complete responses are delivered",
		  only_complete_responses_are_delivered },
		{ "heads without end count against the budget",
		  heads_without_end_count_against_the_budget },
		{ "a blocked log reader does not block writers",
		  a_blocked_log_reader_does_not_block_writers },
		{ "log lines are limited and drops reported",
		  log_lines_are_limited_and_drops_reported },
		{ "lines of requests leave room for decisions",
		  lines_of_requests_leave_room_for_decisions },
		{ 0 },
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run("net", cases);
}
