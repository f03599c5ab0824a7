/* Tests a router with malformed, oversized and hostile requests and answers. */
#include <stdio.h>
#include <string.h>

#include "cluster_rig.h"
#include "suite.h"

#define OK_SHORT                                                               \
	"HTTP/1.1 200 OK\r\nAuburn-Verdict: ran\r\n"                           \
	"Auburn-Boot: boot-1\r\nContent-Length: 5\r\n\r\n"                     \
	"hello"
#define HOST "Host: a\r\n"

static const struct stub_reply ok_short = { .bytes = OK_SHORT };

/* What a caller sends on a connection. */
struct input {
	const char *bytes;
	/* Length in bytes; 0: strlen(bytes). */
	size_t len;
};

/* Requests that the router answers with a 4xx or 505 status or by closing the
 * connection, and of which nothing may reach an upstream. */
static const struct input hostile[] = {
	{ "\r\n\r\n\r\n", 0 },
	{ "GET\r\n\r\n", 0 },
	{ "GET /reads/a\r\n\r\n", 0 },
	{ "GET reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET http://a/reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "OPTIONS * HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "CONNECT a:80 HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "TRACE /reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "get /reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "G@T /reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/a HTTP/9.9\r\n" HOST "\r\n", 0 },
	{ "GET /reads/a HTTP/1.1\r\n\r\n", 0 },
	{ "GET /reads/a HTTP/1.1\r\n" HOST HOST "\r\n", 0 },
	{ "GET /reads/%zz HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/%00 HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/../writes/a HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/%2e%2e/writes HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/\xff HTTP/1.1\r\n" HOST "\r\n", 0 },
	{ "GET /reads/a HTTP/1.1\r\n" HOST "X : y\r\n\r\n", 0 },
	{ "GET /reads/a HTTP/1.1\r\n" HOST "X Y: y\r\n\r\n", 0 },
	{ "GET /reads/a HTTP/1.1\r\n" HOST "X: \x01\r\n\r\n", 0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST "Content-Length: -1\r\n\r\n", 0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST "Content-Length: 1x\r\n\r\na", 0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Content-Length: 99999999999999999999\r\n\r\na",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\n\r\nGET /writes/smuggled HTTP/1.1\r\n" HOST "\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
	  "0\r\n\r\nGET /writes/smuggled HTTP/1.1\r\n" HOST "\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "0\r\n\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n",
	  0 },
	{ "POST /reads/a HTTP/1.1\r\n" HOST
	  "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
	  0 },
	{ "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 0 },
	{ "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 0 },
};

static void hostile_requests_reach_no_upstream(void)
{
	struct rig *rig = rig_start(NULL);
	size_t i;

	rig_set_reply(rig, &ok_short);
	for (i = 0; i < G_N_ELEMENTS(hostile); i++) {
		size_t len = hostile[i].len ? hostile[i].len
					    : strlen(hostile[i].bytes);
		char *text = rig_send_raw(rig, hostile[i].bytes, len);
		bool ok = !*text || !strncmp(text, "HTTP/1.1 4", 10) ||
			  !strncmp(text, "HTTP/1.0 4", 10) ||
			  !strncmp(text, "HTTP/1.1 505", 12) ||
			  !strncmp(text, "HTTP/1.0 505", 12);

		if (!ok || rig_run_count(rig))
			printf("# hostile request %zu was answered: %.60s\n", i,
			       text);
		CU_ASSERT(ok);
		CU_ASSERT_PTR_NULL(strstr(text, "hello"));
		CU_ASSERT_EQUAL(rig_run_count(rig), 0);
		CU_ASSERT(process_running(rig->router));
		g_free(text);
	}
	rig_stop(rig);
}

/* libmicrohttpd accepts and corrects some malformed requests. The router must
 * forward them in their corrected form only. */
static void tolerated_requests_are_normalized(void)
{
	static const struct input cases[] = {
		{ "GET  /reads/a HTTP/1.1\r\n" HOST "\r\n", 0 },
		{ "GET /reads/a HTTP/1.1\r\n" HOST ": y\r\n\r\n", 0 },
		{ "GET /reads/a HTTP/1.1\r\n" HOST "X: a\0b\r\n\r\n",
		  sizeof("GET /reads/a HTTP/1.1\r\n" HOST "X: a\0b\r\n\r\n") -
			  1 },
	};
	struct rig *rig = rig_start(NULL);
	size_t i;

	rig_use_upstreams(rig, 1);
	rig_set_reply(rig, &ok_short);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		size_t len =
			cases[i].len ? cases[i].len : strlen(cases[i].bytes);
		char *text = rig_send_raw(rig, cases[i].bytes, len);
		char *head;
		int u;

		for (u = 0; u < RIG_UPSTREAMS; u++) {
			head = stub_upstream_last_head(rig->upstreams[u]);
			CU_ASSERT(!*head ||
				  !strncmp(head, "GET /reads/a HTTP/1.1\r\n",
					   23));
			CU_ASSERT_PTR_NULL(strstr(head, "\r\n:"));
			CU_ASSERT_PTR_NULL(strstr(head, "X: a\r\nb"));
			g_free(head);
		}
		g_free(text);
	}
	CU_ASSERT(rig_run_count(rig) <= G_N_ELEMENTS(cases));
	rig_stop(rig);
}

static void oversized_requests_are_refused(void)
{
	static const size_t sizes[] = { 9000, 40000, 1000000, 5000000 };
	struct rig *rig = rig_start(NULL);
	size_t i;

	rig_set_reply(rig, &ok_short);
	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		char *fill = g_strnfill(sizes[i], 'x');
		char *line = g_strdup_printf(
			"GET /reads/%s HTTP/1.1\r\n" HOST "\r\n", fill);
		char *field = g_strdup_printf("GET /reads/a HTTP/1.1\r\n" HOST
					      "X: %s\r\nY: %s\r\nZ: %s\r\n"
					      "W: %s\r\n\r\n",
					      fill, fill, fill, fill);
		char *answer = rig_send_raw(rig, line, strlen(line));

		CU_ASSERT(!*answer || !strncmp(answer, "HTTP/1.1 4", 10) ||
			  !strncmp(answer, "HTTP/1.0 4", 10));
		g_free(answer);
		answer = rig_send_raw(rig, field, strlen(field));
		CU_ASSERT(!*answer || !strncmp(answer, "HTTP/1.1 4", 10) ||
			  !strncmp(answer, "HTTP/1.0 4", 10));
		g_free(answer);
		g_free(line);
		g_free(field);
		g_free(fill);
	}
	CU_ASSERT_EQUAL(rig_run_count(rig), 0);
	CU_ASSERT(process_running(rig->router));
	rig_stop(rig);
}

/* Two pipelined requests on one connection are both forwarded and answered. */
static void pipelined_requests_stay_apart(void)
{
	static const char two[] =
		"POST /writes/a HTTP/1.1\r\n" HOST
		"Content-Length: 3\r\n\r\nabc"
		"GET /reads/b HTTP/1.1\r\n" HOST "Connection: close\r\n\r\n";
	struct rig *rig = rig_start(NULL);
	const char *second;
	char *text;

	rig_set_reply(rig, &ok_short);
	text = rig_send_raw(rig, two, strlen(two));
	CU_ASSERT(!strncmp(text, "HTTP/1.1 200", 12));
	second = strstr(text + 1, "HTTP/1.1 200");
	CU_ASSERT_PTR_NOT_NULL(second);
	CU_ASSERT_EQUAL(rig_run_count(rig), 2);
	g_free(text);
	rig_stop(rig);
}

/* Forged or malformed headers of an upstream must not reach the caller. */
static void hostile_answers_are_contained(void)
{
	static const struct stub_reply replies[] = {
		{ .bytes = "HTTP/1.1 200 OK\r\nConnection: X-Hop\r\n"
			   "X-Hop: 1\r\nAuburn-Request-Id: forged\r\n"
			   "Content-Length: 5\r\n\r\nhello" },
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
			   "Content-Length: 6\r\n\r\nhello",
		  .close = true },
		{ .bytes = "HTTP/1.1 200 OK\r\nX\x01: a\r\n"
			   "Content-Length: 5\r\n\r\nhello",
		  .close = true },
		{ .bytes = "HTTP/1.1 999999 OK\r\n\r\n", .close = true },
		{ .bytes = "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
		  .close = true },
	};
	static const long statuses[] = { 200, 502, 502, 502, 502 };
	struct rig *rig = rig_start(NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(replies); i++) {
		char *uri = g_strdup_printf("/writes/%zu", i);
		struct http_answer *answer;

		rig_set_reply(rig, &replies[i]);
		answer = rig_send(rig, "POST", uri, "x");
		CU_ASSERT_EQUAL(answer->status, statuses[i]);
		CU_ASSERT_STRING_EQUAL(http_header(answer, "x-hop"), "");
		CU_ASSERT_PTR_NULL(strstr(
			http_header(answer, "auburn-request-id"), "forged"));
		if (answer->status != statuses[i])
			printf("# reply %zu: the caller got status %ld\n", i,
			       answer->status);
		http_answer_destroy(answer);
		g_free(uri);
	}
	CU_ASSERT(process_running(rig->router));
	rig_stop(rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "hostile requests reach no upstream",
		  hostile_requests_reach_no_upstream },
		{ "tolerated malformed requests are normalized",
		  tolerated_requests_are_normalized },
		{ "oversized requests are refused",
		  oversized_requests_are_refused },
		{ "pipelined requests stay apart",
		  pipelined_requests_stay_apart },
		{ "hostile answers are contained",
		  hostile_answers_are_contained },
		{ 0 },
	};

	return suite_run("router input", cases);
}
