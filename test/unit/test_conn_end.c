/*
 * Tests of how callers' connections end (src/net/http_conn.h). They guard
 * against requests that were read and get no answer, and against requests that
 * were dropped although their callers must take them for read: in a planned
 * stop, at the time limits and behind a refused request.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "manual_clock.h"
#include "net/http_server.h"
#include "suite.h"
#include "wire/socket.h"

#define REQUESTS_MAX 24
#define BODY_BYTES 1000
#define LONG_BYTES ((size_t)16 << 20)
#define HEADER_TIMEOUT_S 3
#define IDLE_TIMEOUT_S 15
/* Longer than a connection stays open after its last answer. */
#define LINGER_S 1.1

struct fixture {
	struct loop loop;
	struct manual_clock clock;
	struct http_server *server;
	/** Requests received, in the order of arrival. */
	struct http_request *requests[REQUESTS_MAX];
	unsigned int count;
	/** Number of requests reported as gone. */
	unsigned int gone;
	/** Requests are answered within the callback. */
	bool answers_at_once;
	/** The caller's socket, and all that it received. */
	int fd;
	GString *in;
};

static void answer(struct http_request *request)
{
	struct http_answer out = {
		.status = 200,
		.body = { request->target->str, request->target->len },
	};

	http_request_answer(request, &out);
}

static void on_request(void *ctx, struct http_request *request)
{
	struct fixture *w = ctx;

	if (w->count < REQUESTS_MAX)
		w->requests[w->count] = request;
	w->count++;
	if (w->answers_at_once)
		answer(request);
}

static void on_gone(void *ctx, struct http_request *request)
{
	(void)request;
	((struct fixture *)ctx)->gone++;
}

static const struct http_server_ops server_ops = { on_request, on_gone };

/* Handles what has arrived, for 20 ms. */
static void run_loop(struct fixture *w)
{
	int i;

	for (i = 0; i < 20; i++) {
		ev_run(w->loop.ev, EVRUN_NOWAIT);
		g_usleep(1000);
	}
}

static void setup(struct fixture *w)
{
	static const struct http_limits limits = {
		.header_bytes = 4096,
		.body_bytes = BODY_BYTES,
		.header_timeout_s = HEADER_TIMEOUT_S,
		.idle_timeout_s = IDLE_TIMEOUT_S,
	};
	struct sockaddr_in address = { .sin_family = AF_INET };

	memset(w, 0, sizeof(*w));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	manual_clock_init(&w->clock);
	w->loop.ev = ev_loop_new(EVFLAG_AUTO);
	w->loop.clock = &w->clock.clock;
	w->in = g_string_new(NULL);
	w->server =
		http_server_create(&w->loop, &address, &server_ops, w, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w->server);
	http_server_set_limits(w->server, &limits);
	address = http_server_address(w->server);
	w->fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL_FATAL(
		connect(w->fd, (struct sockaddr *)&address, sizeof(address)),
		0);
	run_loop(w);
}

static void teardown(struct fixture *w)
{
	close(w->fd);
	http_server_destroy(w->server);
	ev_loop_destroy(w->loop.ev);
	g_string_free(w->in, TRUE);
}

static void send_text(struct fixture *w, const char *text)
{
	CU_ASSERT_EQUAL(send(w->fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
}

static void send_get(struct fixture *w, const char *target)
{
	char *text =
		g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n\r\n", target);

	send_text(w, text);
	g_free(text);
	run_loop(w);
}

/* Adds what has arrived to w->in; returns false when the server has ended its
 * direction or reset the connection. */
static bool receive(struct fixture *w)
{
	char buf[65536];
	ssize_t n;

	run_loop(w);
	while ((n = recv(w->fd, buf, sizeof(buf), MSG_DONTWAIT)) > 0)
		g_string_append_len(w->in, buf, n);
	return n < 0 && errno == EAGAIN;
}

static unsigned int count_text(const struct fixture *w, const char *text)
{
	const char *at = w->in->str;
	unsigned int count = 0;

	while ((at = strstr(at, text))) {
		at += strlen(text);
		count++;
	}
	return count;
}

static bool was_reset(struct fixture *w)
{
	struct pollfd state = { .fd = w->fd };

	return poll(&state, 1, 0) > 0 && state.revents & POLLERR;
}

/* Waits until the server's socket holds what was sent. */
static void wait_for_arrival(const struct fixture *w)
{
	gint64 end_us = g_get_monotonic_time() + G_USEC_PER_SEC;

	while (socket_unacknowledged(w->fd) && g_get_monotonic_time() < end_us)
		g_usleep(1000);
}

/* Lets time pass, in which a suspended server handles nothing, and applies the
 * time limits. */
static void pass_time(struct fixture *w, double span_s)
{
	manual_clock_advance(&w->clock, span_s);
	http_server_tick(w->server);
	run_loop(w);
}

/* review/3: an answer that waits for an earlier one isn't the last one if more
 * requests arrive meanwhile. */
static void the_answer_that_closes_is_chosen_when_it_is_sent(void)
{
	struct fixture w;

	setup(&w);
	send_get(&w, "/1");
	send_get(&w, "/2");
	http_server_drain(w.server);
	answer(w.requests[1]);
	send_get(&w, "/3");
	CU_ASSERT_EQUAL_FATAL(w.count, 3);
	answer(w.requests[0]);
	CU_ASSERT_TRUE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 0);
	CU_ASSERT_EQUAL(w.gone, 0);
	if (!w.gone)
		answer(w.requests[2]);
	CU_ASSERT_FALSE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "200 OK"), 3);
	CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 1);
	teardown(&w);
}

/* Requests that arrive together and are answered at once: the first answer must
 * not end the connection before the others were parsed. */
static void requests_that_were_read_together_are_all_answered(void)
{
	struct fixture w;

	setup(&w);
	w.answers_at_once = true;
	http_server_drain(w.server);
	send_text(&w, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
		      "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
		      "GET /3 HTTP/1.1\r\nHo");
	CU_ASSERT_TRUE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "200 OK"), 2);
	send_text(&w, "st: h\r\n\r\n");
	CU_ASSERT_FALSE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "200 OK"), 3);
	CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 1);
	teardown(&w);
}

/* review/4: a request that arrives on a connection that is being closed is not
 * read, and a reset tells its caller so. */
static void a_request_on_an_ended_connection_is_reset(void)
{
	static const char *const ends[] = { "stop", "idle", "answer" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ends); i++) {
		struct fixture w;

		setup(&w);
		w.answers_at_once = true;
		if (!strcmp(ends[i], "stop"))
			http_server_close_idle(w.server);
		else if (!strcmp(ends[i], "idle"))
			pass_time(&w, (IDLE_TIMEOUT_S + 1));
		else
			send_text(&w, "GET /0 HTTP/1.1\r\nHost: h\r\n"
				      "Connection: close\r\n\r\n");
		CU_ASSERT_FALSE(receive(&w));
		send_get(&w, "/1");
		CU_ASSERT_FALSE(was_reset(&w));
		pass_time(&w, 0.01);
		pass_time(&w, LINGER_S);
		CU_ASSERT_EQUAL(w.count, strcmp(ends[i], "answer") ? 0 : 1);
		CU_ASSERT_TRUE(was_reset(&w));
		CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
		teardown(&w);
	}
}

/* Guards against connections that stay open after their callers have closed
 * them. */
static void an_ended_connection_is_freed_when_its_caller_closes_it(void)
{
	struct fixture w;

	setup(&w);
	http_server_close_idle(w.server);
	CU_ASSERT_FALSE(receive(&w));
	shutdown(w.fd, SHUT_WR);
	run_loop(&w);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
	teardown(&w);
}

/* A VM that was suspended finds both the request and that the time limit has
 * passed. */
static void what_arrived_before_a_time_limit_is_read(void)
{
	struct fixture w;

	setup(&w);
	w.answers_at_once = true;
	send_text(&w, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
	wait_for_arrival(&w);
	pass_time(&w, (IDLE_TIMEOUT_S + 1));
	CU_ASSERT_TRUE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "200 OK"), 1);
	send_text(&w, "GET /2 HTTP/1.1\r\nHost:");
	run_loop(&w);
	send_text(&w, " h\r\n\r\n");
	wait_for_arrival(&w);
	pass_time(&w, (HEADER_TIMEOUT_S + 1));
	CU_ASSERT_TRUE(receive(&w));
	CU_ASSERT_EQUAL(count_text(&w, "200 OK"), 2);
	CU_ASSERT_EQUAL(count_text(&w, "408"), 0);
	teardown(&w);
}

/* 408 states that the request hasn't run; a closed connection doesn't. */
static void a_request_that_stops_arriving_gets_408(void)
{
	static const struct {
		const char *text;
		double after_s;
	} rows[] = {
		{ "GET /1 HTTP/1.1\r\nHost:", HEADER_TIMEOUT_S + 1 },
		{ "POST /1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
		  IDLE_TIMEOUT_S + 1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture w;

		setup(&w);
		send_text(&w, rows[i].text);
		run_loop(&w);
		pass_time(&w, rows[i].after_s);
		CU_ASSERT_FALSE(receive(&w));
		CU_ASSERT_EQUAL(count_text(&w, "HTTP/1.1 408"), 1);
		CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 1);
		CU_ASSERT_EQUAL(w.count, 0);
		teardown(&w);
	}
}

/* The rest of a refused request is discarded, so that its caller can send it
 * and read the answer; what follows is not read. */
static void a_refused_body_is_read_to_its_end(void)
{
	static const char *const heads[] = {
		"POST /1 HTTP/1.1\r\nContent-Length: 3000\r\n\r\n",
		"POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n",
	};
	static const char *const tails[] = { "", "\r\n0\r\nSum: 1\r\n\r\n" };
	char *part = g_strnfill(BODY_BYTES, 'x');
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(heads); i++) {
		struct fixture w;

		setup(&w);
		w.answers_at_once = true;
		send_text(&w, heads[i]);
		for (j = 0; j < 3; j++) {
			run_loop(&w);
			send_text(&w, part);
		}
		send_text(&w, tails[i]);
		CU_ASSERT_FALSE(receive(&w));
		CU_ASSERT_EQUAL(count_text(&w, "HTTP/1.1 413"), 1);
		CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 1);
		pass_time(&w, 0.01);
		CU_ASSERT_FALSE(was_reset(&w));
		send_get(&w, "/2");
		pass_time(&w, LINGER_S);
		CU_ASSERT_EQUAL(w.count, 0);
		CU_ASSERT_TRUE(was_reset(&w));
		CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
		teardown(&w);
	}
	g_free(part);
}

/* A caller may end its sending direction when it has sent its requests. */
static void a_caller_that_half_closes_gets_its_answers(void)
{
	struct fixture w;

	setup(&w);
	send_get(&w, "/1");
	send_get(&w, "/2");
	shutdown(w.fd, SHUT_WR);
	run_loop(&w);
	pass_time(&w, 1);
	CU_ASSERT_EQUAL(w.gone, 0);
	if (!w.gone)
		answer(w.requests[1]);
	CU_ASSERT_TRUE(receive(&w));
	if (!w.gone)
		answer(w.requests[0]);
	CU_ASSERT_FALSE(receive(&w));
	CU_ASSERT_TRUE(g_str_has_prefix(w.in->str, "HTTP/1.1 200 OK\r\n"));
	CU_ASSERT_EQUAL(count_text(&w, "HTTP/1.1"), 2);
	CU_ASSERT_EQUAL(count_text(&w, "Connection: close"), 1);
	CU_ASSERT_TRUE(g_str_has_suffix(w.in->str, "\r\n\r\n/2"));
	pass_time(&w, 1);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
	teardown(&w);
}

/* Guards against requests that occupy upstreams although their callers have
 * left, also when the server doesn't read from their connections. */
static void a_caller_that_leaves_is_noticed(void)
{
	static const unsigned int counts[] = { 1, 2, 16, 18 };
	size_t i;
	unsigned int j;

	for (i = 0; i < G_N_ELEMENTS(counts); i++) {
		struct fixture w;
		unsigned int read;

		setup(&w);
		for (j = 0; j < counts[i]; j++)
			send_get(&w, "/1");
		read = w.count;
		CU_ASSERT_EQUAL(read, MIN(counts[i], 16));
		close(w.fd);
		w.fd = -1;
		run_loop(&w);
		pass_time(&w, 0.25);
		pass_time(&w, 0.25);
		CU_ASSERT_EQUAL(w.gone, read);
		CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
		teardown(&w);
	}
}

/* Answers with more bytes than the sockets' buffers hold, and lets the server
 * fill them. */
static void send_long_answer(struct fixture *w, double wait_s)
{
	struct http_answer out = { .status = 200 };
	GString *body = g_string_new(NULL);

	g_string_set_size(body, LONG_BYTES);
	memset(body->str, 'x', body->len);
	out.body = (struct str){ body->str, body->len };
	send_get(w, "/long");
	CU_ASSERT_EQUAL_FATAL(w->count, 1);
	w->requests[0]->wait_until_s = loop_now(&w->loop) + wait_s;
	http_request_answer(w->requests[0], &out);
	run_loop(w);
	g_string_free(body, TRUE);
}

/* review/7: the system's user timeout ended connections whose callers didn't
 * read for two seconds, which a closed receive window shows. */
static void a_caller_that_reads_late_gets_its_answer(void)
{
	struct fixture w;
	int i;

	setup(&w);
	send_long_answer(&w, 3);
	g_usleep(2700000);
	pass_time(&w, 2.7);
	for (i = 0; i < 200 && w.in->len < LONG_BYTES; i++)
		(void)receive(&w);
	CU_ASSERT_TRUE(w.in->len > LONG_BYTES);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 1);
	teardown(&w);
}

/* Waits until the caller's system takes no more bytes, which can be a fraction
 * of a second after the last were sent. */
static void wait_until_nothing_is_taken(struct fixture *w)
{
	unsigned int unchanged = 0;
	int taken = -1;

	while (unchanged < 25) {
		int now_taken = 0;

		CU_ASSERT_EQUAL_FATAL(ioctl(w->fd, FIONREAD, &now_taken), 0);
		unchanged = now_taken == taken ? unchanged + 1 : 0;
		taken = now_taken;
		run_loop(w);
	}
}

/* Guards against connections of live callers that never read: they end, but
 * not before the time for which the caller waits. */
static void a_caller_that_never_reads_is_given_up(void)
{
	struct fixture w;

	setup(&w);
	send_long_answer(&w, 4 * IDLE_TIMEOUT_S);
	wait_until_nothing_is_taken(&w);
	pass_time(&w, 1);
	pass_time(&w, 2 * IDLE_TIMEOUT_S);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 1);
	pass_time(&w, 2 * IDLE_TIMEOUT_S);
	CU_ASSERT_EQUAL(http_server_connections(w.server), 0);
	teardown(&w);
}

/* Makes the caller's socket drop all that arrives, as if its machine were gone.
 */
static void drop_packets(const struct fixture *w)
{
	struct sock_filter drop = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { .len = 1, .filter = &drop };

	CU_ASSERT_EQUAL_FATAL(setsockopt(w->fd, SOL_SOCKET, SO_ATTACH_FILTER,
					 &program, sizeof(program)),
			      0);
}

/* Guards against connections that stay open for callers whose machine is gone:
 * with a short answer, which waits in the system, and with a closed receive
 * window. A machine that may come back in time is waited for. */
static void a_caller_whose_machine_is_gone_is_given_up(void)
{
	static const struct {
		bool full;
		double wait_s;
		unsigned int left;
	} rows[] = { { false, 0, 0 }, { true, 0, 0 }, { false, 10, 1 } };
	size_t i;
	int j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture w;

		setup(&w);
		if (rows[i].full) {
			send_long_answer(&w, rows[i].wait_s);
			drop_packets(&w);
		} else {
			send_get(&w, "/1");
			CU_ASSERT_EQUAL_FATAL(w.count, 1);
			w.requests[0]->wait_until_s =
				loop_now(&w.loop) + rows[i].wait_s;
			drop_packets(&w);
			answer(w.requests[0]);
		}
		/* The system's timers need real time, up to 8 s. */
		for (j = 0; j < 80 && http_server_connections(w.server); j++) {
			g_usleep(80000);
			pass_time(&w, 0.01);
			if (rows[i].left && j >= 30)
				break;
		}
		CU_ASSERT_EQUAL(http_server_connections(w.server),
				rows[i].left);
		teardown(&w);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "the answer that closes is chosen when it is sent",
		  the_answer_that_closes_is_chosen_when_it_is_sent },
		{ "requests that were read together are all answered",
		  requests_that_were_read_together_are_all_answered },
		{ "a request on an ended connection is reset",
		  a_request_on_an_ended_connection_is_reset },
		{ "an ended connection is freed when its caller closes it",
		  an_ended_connection_is_freed_when_its_caller_closes_it },
		{ "what arrived before a time limit is read",
		  what_arrived_before_a_time_limit_is_read },
		{ "a request that stops arriving gets 408",
		  a_request_that_stops_arriving_gets_408 },
		{ "a refused body is read to its end",
		  a_refused_body_is_read_to_its_end },
		{ "a caller that half closes gets its answers",
		  a_caller_that_half_closes_gets_its_answers },
		{ "a caller that leaves is noticed",
		  a_caller_that_leaves_is_noticed },
		{ "a caller that reads late gets its answer",
		  a_caller_that_reads_late_gets_its_answer },
		{ "a caller that never reads is given up",
		  a_caller_that_never_reads_is_given_up },
		{ "a caller whose machine is gone is given up",
		  a_caller_whose_machine_is_gone_is_given_up },
		{ 0 },
	};

	signal(SIGPIPE, SIG_IGN);
	return suite_run("conn_end", cases);
}
