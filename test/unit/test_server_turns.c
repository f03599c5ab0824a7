/*
 * Tests of how long one iteration of the event loop reads from callers, over
 * sockets; the clock moves with each request.
 */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "manual_clock.h"
#include "net/http_server.h"
#include "suite.h"

#define CALLERS 60
/* Time that a request takes, in seconds, and most requests that one iteration
 * may handle by that: 20 ms, and what one more read brings. */
#define REQUEST_S 0.001
#define TURN_REQUESTS 21
#define GET "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

static struct fixture {
	struct loop loop;
	struct manual_clock clock;
	struct http_server *server;
	int fds[CALLERS];
	/** Number of requests, and of those on the connection of each. */
	unsigned int count;
	GHashTable *by_conn;
} w;

static void on_request(void *ctx, struct http_request *request)
{
	struct http_answer answer = { .status = 200 };
	gpointer conn = request->conn;
	guint before = GPOINTER_TO_UINT(g_hash_table_lookup(w.by_conn, conn));

	(void)ctx;
	w.count++;
	g_hash_table_insert(w.by_conn, conn, GUINT_TO_POINTER(before + 1));
	manual_clock_advance(&w.clock, REQUEST_S);
	http_request_answer(request, &answer);
}

static void on_gone(void *ctx, struct http_request *request)
{
	(void)ctx;
	(void)request;
}

static const struct http_server_ops server_ops = { on_request, on_gone };

static void run_once(void)
{
	ev_run(w.loop.ev, EVRUN_NOWAIT);
}

static void setup(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int i;

	memset(&w, 0, sizeof(w));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	manual_clock_init(&w.clock);
	w.loop.ev = ev_loop_new(EVFLAG_AUTO);
	w.loop.clock = &w.clock.clock;
	w.by_conn = g_hash_table_new(NULL, NULL);
	w.server =
		http_server_create(&w.loop, &address, &server_ops, NULL, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(w.server);
	address = http_server_address(w.server);
	for (i = 0; i < CALLERS; i++) {
		w.fds[i] = socket(AF_INET, SOCK_STREAM, 0);
		CU_ASSERT_EQUAL_FATAL(connect(w.fds[i],
					      (struct sockaddr *)&address,
					      sizeof(address)),
				      0);
	}
	while (http_server_connections(w.server) < CALLERS)
		run_once();
}

static void teardown(void)
{
	int i;

	for (i = 0; i < CALLERS; i++)
		close(w.fds[i]);
	http_server_destroy(w.server);
	g_hash_table_destroy(w.by_conn);
	ev_loop_destroy(w.loop.ev);
}

static void send_get(int fd)
{
	CU_ASSERT_EQUAL(send(fd, GET, strlen(GET), MSG_NOSIGNAL),
			(ssize_t)strlen(GET));
}

/* Guards against store calls, timers and messages of other VMs that wait until
 * all callers are read. */
static void an_iteration_reads_for_a_limited_time(void)
{
	unsigned int iterations;
	int i;

	setup();
	for (i = 0; i < CALLERS; i++)
		send_get(w.fds[i]);
	for (iterations = 0; iterations < 10 && w.count < CALLERS;
	     iterations++) {
		unsigned int before = w.count;

		run_once();
		CU_ASSERT_TRUE(w.count - before <= TURN_REQUESTS);
	}
	CU_ASSERT_EQUAL(w.count, CALLERS);
	CU_ASSERT_EQUAL(g_hash_table_size(w.by_conn), CALLERS);
	teardown();
}

/* Guards against callers that always have more to read and keep others out. */
static void callers_are_read_in_turn(void)
{
	GHashTableIter iter;
	gpointer value;
	unsigned int round;
	int i;

	setup();
	for (round = 0; round < 20; round++) {
		for (i = 0; i < CALLERS; i++)
			send_get(w.fds[i]);
		run_once();
	}
	/* 20 iterations handle 400 requests, 6 or 7 of each caller. */
	CU_ASSERT_EQUAL(g_hash_table_size(w.by_conn), CALLERS);
	g_hash_table_iter_init(&iter, w.by_conn);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		CU_ASSERT_TRUE(GPOINTER_TO_UINT(value) >= 2);
	teardown();
}

/* Guards against a connection that is read after it was closed. */
static void a_waiting_connection_can_end(void)
{
	int i;

	setup();
	for (i = 0; i < CALLERS; i++)
		send_get(w.fds[i]);
	run_once();
	for (i = 0; i < CALLERS; i += 2) {
		struct linger reset = { .l_onoff = 1 };

		setsockopt(w.fds[i], SOL_SOCKET, SO_LINGER, &reset,
			   sizeof(reset));
		close(w.fds[i]);
		w.fds[i] = -1;
	}
	for (i = 0; i < 20; i++)
		run_once();
	CU_ASSERT_EQUAL(http_server_connections(w.server), CALLERS / 2);
	CU_ASSERT_TRUE(w.count >= CALLERS / 2);
	teardown();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an iteration reads for a limited time",
		  an_iteration_reads_for_a_limited_time },
		{ "callers are read in turn", callers_are_read_in_turn },
		{ "a waiting connection can end",
		  a_waiting_connection_can_end },
		{ 0 },
	};

	return suite_run("server_turns", cases);
}
