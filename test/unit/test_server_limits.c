/*
 * Tests of the HTTP server at the limits of its budget, over sockets: what the
 * callers get, and that each byte taken from the budget is given back.
 */
#include <arpa/inet.h>
#include <poll.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "net/http_server.h"
#include "suite.h"

#define KB ((size_t)1024)
#define REQUESTS_MAX 16

static struct fixture {
	struct loop loop;
	struct http_server *server;
	struct caller_budget budget;
	struct http_request *requests[REQUESTS_MAX];
	unsigned int count;
	unsigned int gone;
} w;

static void on_request(void *ctx, struct http_request *request)
{
	(void)ctx;
	w.requests[w.count++] = request;
}

static void on_gone(void *ctx, struct http_request *request)
{
	(void)ctx;
	(void)request;
	w.gone++;
}

static const struct http_server_ops server_ops = { on_request, on_gone };

/* Starts a server with a budget of 1000 KB, of which 200 are the reserve. */
static void setup(unsigned int connections)
{
	static const struct http_limits limits = { .header_bytes = 16384,
						   .body_bytes = 1000 * KB,
						   .header_timeout_s = 60,
						   .idle_timeout_s = 60 };
	struct sockaddr_in address = { .sin_family = AF_INET };

	memset(&w, 0, sizeof(w));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	w.loop.ev = ev_loop_new(EVFLAG_AUTO);
	w.loop.clock = clock_system();
	w.budget.limit = 1000 * KB;
	w.budget.reserve = 200 * KB;
	w.budget.connections = connections;
	w.budget.body_timeout_s = 60;
	g_queue_init(&w.budget.holders);
	w.server =
		http_server_create(&w.loop, &address, &server_ops, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.server);
	http_server_set_budget(w.server, &w.budget);
	http_server_set_limits(w.server, &limits);
}

static void teardown(void)
{
	http_server_destroy(w.server);
	CU_ASSERT_EQUAL(w.budget.used, 0);
	CU_ASSERT_EQUAL(w.budget.holders.length, 0);
	ev_loop_destroy(w.loop.ev);
}

/* Runs the event loop for some milliseconds. */
static void run_loop(int ms)
{
	int i;

	for (i = 0; i < ms; i++) {
		ev_run(w.loop.ev, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static int connect_caller(void)
{
	struct sockaddr_in address = http_server_address(w.server);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	run_loop(5);
	return fd;
}

static void send_text(int fd, const char *text)
{
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
	run_loop(5);
}

/* Sends the head and a part of a body. */
static void send_body(int fd, size_t announced, size_t sent)
{
	char *head = g_strdup_printf(
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
		announced);
	char *part = g_strnfill(50 * KB, 'b');

	send_text(fd, head);
	for (; sent; sent -= MIN(sent, 50 * KB)) {
		part[MIN(sent, 50 * KB)] = '\0';
		send_text(fd, part);
	}
	g_free(part);
	g_free(head);
}

/* Sends a request without a body and waits until it arrived. */
static void send_get(int fd)
{
	unsigned int before = w.count;
	int i;

	send_text(fd, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	for (i = 0; i < 2000 && w.count == before; i++)
		run_loop(1);
	CU_ASSERT_EQUAL_FATAL(w.count, before + 1);
}

/* Whether a text was received, without waiting. */
static bool received(int fd, const char *text)
{
	char buf[4096];
	ssize_t n = recv(fd, buf, sizeof(buf) - 1, MSG_DONTWAIT | MSG_PEEK);

	buf[n > 0 ? n : 0] = '\0';
	return strstr(buf, text) != NULL;
}

static void answer(struct http_request *request, const char *body)
{
	struct http_answer a = { .status = 200, .body = str_from(body) };

	http_request_answer(request, &a);
	run_loop(5);
}

/* Guards against a body that stops short of its end and keeps others out, and
 * against a refusal that doesn't say that the request has not run. */
static void a_stalled_body_gives_way(void)
{
	int stalled, other;

	setup(0);
	stalled = connect_caller();
	other = connect_caller();
	send_body(stalled, 700 * KB, 699 * KB);
	/* While it makes progress, the other is refused, by its announcement.
	 */
	send_body(other, 300 * KB, 0);
	CU_ASSERT_TRUE(received(other, "HTTP/1.1 503 "));
	CU_ASSERT_TRUE(received(other, "Retry-After: "));
	CU_ASSERT_TRUE(received(other, "Connection: close"));
	CU_ASSERT_FALSE(received(stalled, "HTTP"));
	close(other);
	run_loop(600);
	other = connect_caller();
	send_body(other, 300 * KB, 300 * KB);
	CU_ASSERT_TRUE(received(stalled, "HTTP/1.1 503 "));
	CU_ASSERT_EQUAL_FATAL(w.count, 1);
	CU_ASSERT_EQUAL(w.requests[0]->body->len, 300 * KB);
	answer(w.requests[0], "done");
	CU_ASSERT_TRUE(received(other, "done"));
	CU_ASSERT_TRUE(w.budget.used < 20 * KB);
	CU_ASSERT_EQUAL(w.gone, 0);
	close(stalled);
	close(other);
	teardown();
}

/* Guards against a caller that can't send the rest of a refused body, or whose
 * connection is reset for it: it could lose the refusal. */
static void a_body_without_room_is_read_to_its_end(void)
{
	static const bool evicted[] = { false, true };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(evicted); i++) {
		size_t sent = evicted[i] ? 650 * KB : 0;
		struct pollfd state = { 0 };
		int holder, refused;

		setup(0);
		holder = connect_caller();
		refused = connect_caller();
		if (evicted[i])
			send_body(refused, 700 * KB, sent);
		else
			send_body(holder, 700 * KB, 650 * KB);
		run_loop(evicted[i] ? 600 : 0);
		if (evicted[i])
			send_body(holder, 300 * KB, 300 * KB);
		else
			send_body(refused, 700 * KB, 0);
		CU_ASSERT_TRUE(received(refused, "HTTP/1.1 503 "));
		for (; sent < 700 * KB; sent += KB) {
			char part[1024];

			memset(part, 'r', sizeof(part));
			CU_ASSERT_EQUAL(
				send(refused, part, sizeof(part), MSG_NOSIGNAL),
				(ssize_t)sizeof(part));
			run_loop(1);
		}
		http_server_tick(w.server);
		run_loop(1100);
		http_server_tick(w.server);
		/* Reports a reset; the refusal may still be there to read. */
		state.fd = refused;
		CU_ASSERT_EQUAL(poll(&state, 1, 0), 0);
		CU_ASSERT_TRUE(received(refused, "HTTP/1.1 503 "));
		CU_ASSERT_EQUAL(http_server_connections(w.server), 1);
		CU_ASSERT_EQUAL(w.count, evicted[i] ? 1 : 0);
		close(holder);
		close(refused);
		teardown();
	}
}

/* Guards against heads that are never finished and hold the reserve. */
static void stalled_heads_give_way(void)
{
	enum { HEADS = 100 };
	char *field = g_strnfill(14 * KB, 'f');
	int fds[HEADS], other, i, refused = 0;

	setup(0);
	for (i = 0; i < HEADS; i++) {
		fds[i] = connect_caller();
		send_text(fds[i], "GET / HTTP/1.1\r\nA: ");
		send_text(fds[i], field);
	}
	run_loop(600);
	other = connect_caller();
	send_text(other, "GET / HTTP/1.1\r\nHost: h\r\nA: ");
	send_text(other, field);
	send_text(other, "\r\n\r\n");
	CU_ASSERT_TRUE(w.budget.used <= w.budget.limit + HEADS * KB);
	CU_ASSERT_EQUAL_FATAL(w.count, 1);
	answer(w.requests[0], "done");
	CU_ASSERT_TRUE(received(other, "done"));
	for (i = 0; i < HEADS; i++) {
		refused += received(fds[i], "HTTP/1.1 503 ");
		close(fds[i]);
	}
	CU_ASSERT_TRUE(refused > 0);
	close(other);
	g_free(field);
	teardown();
}

/* Guards against unread answers that keep other answers out. */
static void unread_answers_give_way(void)
{
	char *large = g_strnfill(700 * KB, 'l');
	int unread, other, size = 4096;
	char *tail;

	setup(0);
	unread = connect_caller();
	setsockopt(unread, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	/* The socket buffers take the first answers. */
	while (w.budget.used < 600 * KB && w.count < REQUESTS_MAX - 1) {
		send_get(unread);
		answer(w.requests[w.count - 1], large);
	}
	CU_ASSERT_TRUE(w.budget.used >= 600 * KB);
	run_loop(600);
	other = connect_caller();
	send_get(other);
	tail = g_strnfill(300 * KB, 't');
	answer(w.requests[w.count - 1], tail);
	CU_ASSERT_TRUE(received(other, "HTTP/1.1 200 "));
	CU_ASSERT_EQUAL(w.budget.refusals[CALLER_CLOSED_MEMORY], 1);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 1);
	close(unread);
	close(other);
	g_free(tail);
	g_free(large);
	teardown();
}

static void connections_are_limited(void)
{
	int first, busy, third;

	setup(2);
	first = connect_caller();
	busy = connect_caller();
	send_get(busy);
	/* Neither is idle long enough. */
	third = connect_caller();
	CU_ASSERT_TRUE(received(third, "HTTP/1.1 503 "));
	CU_ASSERT_EQUAL(http_server_connections(w.server), 2);
	close(third);
	run_loop(600);
	third = connect_caller();
	send_get(third);
	CU_ASSERT_EQUAL(w.budget.refusals[CALLER_CLOSED_IDLE], 1);
	CU_ASSERT_EQUAL_FATAL(w.count, 2);
	answer(w.requests[0], "busy");
	answer(w.requests[1], "third");
	CU_ASSERT_TRUE(received(busy, "busy"));
	CU_ASSERT_TRUE(received(third, "third"));
	close(first);
	close(busy);
	close(third);
	teardown();
}

static void a_body_has_a_time_limit(void)
{
	int fd;

	setup(0);
	w.budget.body_timeout_s = 0.1;
	fd = connect_caller();
	send_body(fd, 10, 1);
	http_server_tick(w.server);
	run_loop(5);
	CU_ASSERT_FALSE(received(fd, "HTTP"));
	run_loop(150);
	http_server_tick(w.server);
	run_loop(5);
	CU_ASSERT_TRUE(received(fd, "HTTP/1.1 408 "));
	CU_ASSERT_EQUAL(w.count, 0);
	close(fd);
	teardown();
}

/* Guards against answers that are lost or mixed when each waits for the one
 * before to be sent. */
static void pipelined_answers_stay_whole(void)
{
	char *large = g_strnfill(150 * KB, 'l');
	size_t len = 0;
	char *buf = g_malloc(1000 * KB);
	int fd, i;

	setup(0);
	fd = connect_caller();
	for (i = 0; i < 4; i++)
		send_get(fd);
	CU_ASSERT_EQUAL_FATAL(w.count, 4);
	for (i = 3; i >= 0; i--) {
		large[0] = (char)('0' + i);
		answer(w.requests[i], large);
	}
	for (i = 0; i < 400 && len < 600 * KB; i++) {
		ssize_t n =
			recv(fd, buf + len, 1000 * KB - len - 1, MSG_DONTWAIT);

		len += n > 0 ? (size_t)n : 0;
		run_loop(1);
	}
	buf[len] = '\0';
	CU_ASSERT_TRUE(len > 600 * KB);
	for (i = 0; i < 4; i++) {
		char start[16];
		const char *at;

		g_snprintf(start, sizeof(start), "\r\n\r\n%dlll", i);
		at = strstr(buf, start);
		CU_ASSERT_PTR_NOT_NULL_FATAL(at);
		CU_ASSERT_EQUAL(strspn(at + 5, "l"), 150 * KB - 1);
	}
	close(fd);
	g_free(buf);
	g_free(large);
	teardown();
}

/* Guards against a loop that spins when no descriptor is left, and against
 * callers that are never accepted after that. */
static void accepting_waits_for_a_descriptor(void)
{
	struct rlimit before, low;
	int fds[3], i;

	setup(0);
	fds[0] = connect_caller();
	for (i = 1; i < 3; i++)
		fds[i] = socket(AF_INET, SOCK_STREAM, 0);
	getrlimit(RLIMIT_NOFILE, &before);
	low = before;
	low.rlim_cur = (rlim_t)fds[2] + 1;
	CU_ASSERT_EQUAL_FATAL(setrlimit(RLIMIT_NOFILE, &low), 0);
	for (i = 1; i < 3; i++) {
		struct sockaddr_in address = http_server_address(w.server);

		CU_ASSERT_EQUAL(connect(fds[i], (struct sockaddr *)&address,
					sizeof(address)),
				0);
	}
	run_loop(50);
	CU_ASSERT_EQUAL(w.budget.refusals[CALLER_NO_DESCRIPTOR], 1);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 1);
	CU_ASSERT_EQUAL(setrlimit(RLIMIT_NOFILE, &before), 0);
	http_server_tick(w.server);
	send_get(fds[1]);
	send_get(fds[2]);
	for (i = 0; i < 3; i++)
		close(fds[i]);
	teardown();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a stalled body gives way", a_stalled_body_gives_way },
		{ "a body without room is read to its end",
		  a_body_without_room_is_read_to_its_end },
		{ "stalled heads give way", stalled_heads_give_way },
		{ "unread answers give way", unread_answers_give_way },
		{ "connections are limited", connections_are_limited },
		{ "a body has a time limit", a_body_has_a_time_limit },
		{ "pipelined answers stay whole",
		  pipelined_answers_stay_whole },
		{ "accepting waits for a descriptor",
		  accepting_waits_for_a_descriptor },
		{ 0 },
	};

	return suite_run("server_limits", cases);
}
