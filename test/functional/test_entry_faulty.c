/*
 * An upstream sends bytes that are no answer, or the answer to another request.
 * A stub upstream of the test takes the place of one of standin-site's.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_entry.h"
#include "cluster_stub_upstream.h"
#include "suite.h"

/* Requests that get an endless answer at the same time. */
#define ENDLESS_REQUESTS 8
/* Number of bytes that never comes to its end in a test. */
#define ENDLESS_BYTES ((uint64_t)1 << 40)
/* Length of the repeated text before the end of a head that never comes. */
#define LONG_TEXT_BYTES ((size_t)4 << 20)
/* Most bytes of answers that a daemon may hold, with the memory limit of the
 * rig's settings, which is the default: a quarter of it. */
#define HELD_BYTES_MAX ((int64_t)64 << 20)

/* Time for the other upstream's draining to be known. */
#define DRAIN_US ((gulong)G_USEC_PER_SEC)

static struct entry_rig rig;
static struct stub_upstream *stub;

static bool uses_stub(void *ctx)
{
	unsigned int runs = stub_upstream_run_count(stub);

	(void)entry_status(ctx, "/plain/a", 0);
	return stub_upstream_run_count(stub) > runs;
}

/* Has the stub answer properly, and waits until it gets requests. */
static void wait_for_stub(void)
{
	static const struct stub_reply ok = {
		.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	};

	stub_upstream_set_reply(stub, &ok);
	CU_ASSERT_TRUE_FATAL(
		process_wait_until(uses_stub, &rig.entries[0], RIG_WAIT_US));
}

/* Starts one daemon, whose requests for the service "plain" go to the stub. */
static void setup(void)
{
	entry_rig_start(&rig, 1, 6);
	stub = stub_upstream_start();
	entry_rig_command(&rig, "/control/list-at?id=0",
			  stub_upstream_address(stub));
	entry_rig_command(&rig, "/control/drain?id=1", NULL);
	g_usleep(DRAIN_US);
}

static void teardown(void)
{
	entry_rig_stop(&rig);
	stub_upstream_stop(stub);
}

/* Returns a text that is repeated up to a length; the caller frees it. */
static char *repeat(const char *prefix, const char *text, size_t len)
{
	GString *out = g_string_new(prefix);

	while (out->len < len)
		g_string_append(out, text);
	return g_string_free(out, FALSE);
}

/* Returns the value of a metric of the daemon; -1 if there is none. */
static int64_t metric(const char *name)
{
	struct http_request request = { .address = rig.entries[0].metrics,
					.uri = "/metrics" };
	struct http_answer *answer = http_send(&request);
	char *line = g_strdup_printf("\n%s ", name);
	const char *at = strstr(answer->body->str, line);
	int64_t value = at ? g_ascii_strtoll(at + strlen(line), NULL, 10) : -1;

	g_free(line);
	http_answer_destroy(answer);
	return value;
}

/* Numbers of the stub at the start of a row. */
static struct {
	unsigned int runs, disconnects;
} before;

/* Returns whether the daemon has closed the connection of each request that the
 * stub got. */
static bool all_closed(void *ctx)
{
	(void)ctx;
	return stub_upstream_disconnect_count(stub) - before.disconnects >=
	       stub_upstream_run_count(stub) - before.runs;
}

/* Sends several requests at once, and lets the daemon end what it can. */
static void run_endless(const char *method, const char *uri)
{
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 1000",
				  "X-Request-Id: endless", NULL };
	struct http_request request = {
		.address = rig.entries[0].callers,
		.uri = uri,
		.method = method,
		.headers = headers,
		.body = "x",
	};
	struct http_task *tasks[ENDLESS_REQUESTS];
	int64_t memory_kib = 0;
	int i;

	before.runs = stub_upstream_run_count(stub);
	before.disconnects = stub_upstream_disconnect_count(stub);
	for (i = 0; i < ENDLESS_REQUESTS; i++)
		tasks[i] = http_start(&request);
	for (i = 0; i < 100; i++) {
		memory_kib = MAX(memory_kib,
				 process_memory_kib(rig.entries[0].process));
		g_usleep(G_USEC_PER_SEC / 100);
	}
	for (i = 0; i < ENDLESS_REQUESTS; i++) {
		struct http_answer *answer = http_join(tasks[i]);

		CU_ASSERT_NOT_EQUAL(answer->status / 100, 2);
		CU_ASSERT_TRUE(answer->whole);
		http_answer_destroy(answer);
	}
	CU_ASSERT_TRUE(stub_upstream_run_count(stub) > before.runs);
	CU_ASSERT_TRUE(process_wait_until(all_closed, NULL, RIG_WAIT_US));
	printf("# %s %s: %" G_GINT64_FORMAT " MB resident, %u of %u closed\n",
	       method, uri, memory_kib / 1024,
	       stub_upstream_disconnect_count(stub) - before.disconnects,
	       stub_upstream_run_count(stub) - before.runs);
}

static void an_endless_answer_is_ended(void)
{
	char *fields = repeat("HTTP/1.1 200 OK\r\n", "X-A: aaaaaaaaaa\r\n",
			      LONG_TEXT_BYTES);
	char *value = repeat("HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaaaa",
			     LONG_TEXT_BYTES);
	char *lines = repeat("", "\r\n", LONG_TEXT_BYTES);
	char *interim =
		repeat("", "HTTP/1.1 100 Continue\r\n\r\n", LONG_TEXT_BYTES);
	char *extension = repeat(
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;",
		"aaaaaaaaaa", LONG_TEXT_BYTES);
	const struct stub_reply rows[] = {
		/* In a body: with a length, in a chunk, up to the end of the
		 * connection; and one that just doesn't go on. */
		{ .bytes =
			  "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n"
			  "\r\n",
		  .zero_bytes = ENDLESS_BYTES },
		{ .bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
			   "chunked\r\n\r\n"
			   "10000000000\r\n",
		  .zero_bytes = ENDLESS_BYTES },
		{ .bytes = "HTTP/1.1 200 OK\r\n\r\n",
		  .zero_bytes = ENDLESS_BYTES },
		{ .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na",
		  .hang = true },
		/* In a head. */
		{ .bytes = fields, .hang = true },
		{ .bytes = value, .hang = true },
		{ .bytes = lines, .hang = true },
		{ .bytes = interim, .hang = true },
		{ .bytes = extension, .hang = true },
		{ .bytes = "", .zero_bytes = ENDLESS_BYTES },
	};
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		wait_for_stub();
		stub_upstream_set_reply(stub, &rows[i]);
		run_endless("GET", "/plain/a");
		wait_for_stub();
		stub_upstream_set_reply(stub, &rows[i]);
		run_endless("POST", "/once/a");
	}
	CU_ASSERT_TRUE(metric("auburn_answer_bytes_peak") >= 0);
	CU_ASSERT_TRUE(metric("auburn_answer_bytes_peak") <= HELD_BYTES_MAX);
	CU_ASSERT_EQUAL(metric("auburn_answer_bytes"), 0);
	CU_ASSERT_TRUE(process_running(rig.entries[0].process));
	teardown();
	g_free(fields);
	g_free(value);
	g_free(lines);
	g_free(interim);
	g_free(extension);
}

/* Length of a large error answer. */
#define ERROR_BYTES ((int64_t)8 << 20)

/* Whether the daemon holds an error answer. */
static bool holds_error_answer(void *ctx)
{
	(void)ctx;
	return metric("auburn_answer_bytes") >= ERROR_BYTES;
}

/* Guards against large error answers that are kept while their requests are
 * tried again, without a limit on their sum. */
static void a_kept_error_answer_counts_as_held(void)
{
	static const struct stub_reply error = {
		.bytes = "HTTP/1.1 500 Failed\r\n"
			 "Content-Length: 8388608\r\n\r\n",
		.zero_bytes = (uint64_t)ERROR_BYTES,
	};
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 3000",
				  "X-Request-Id: kept", NULL };
	struct http_request request = {
		.address = rig.entries[0].callers,
		.uri = "/plain/work-ms-2500",
		.headers = headers,
	};
	bool held = false;
	int i;

	setup();
	wait_for_stub();
	stub_upstream_set_reply(stub, &error);
	/* The upstream that takes longer is there again for the retry. */
	entry_rig_command(&rig, "/control/undrain?id=1", NULL);
	/* Some of the requests are sent to the other upstream first. */
	for (i = 0; i < 20 && !held; i++) {
		struct http_task *task = http_start(&request);

		held = process_wait_until(holds_error_answer, NULL,
					  G_USEC_PER_SEC);
		http_answer_destroy(http_join(task));
	}
	CU_ASSERT_TRUE(held);
	CU_ASSERT_EQUAL(metric("auburn_answer_bytes"), 0);
	teardown();
}

/* Fields of an answer to the request with the id "odd". */
#define ODD_FIELDS                                                             \
	"X-Request-Id: odd\r\nX-Server-Signature: s\r\n"                       \
	"Content-Length: 0\r\n\r\n"

/* Guards against bytes that are no HTTP response but reach the caller as one.
 * The request may have run, so the caller must not be told that it did not. */
static void bytes_that_are_no_answer_do_not_reach_the_caller(void)
{
	static const char *const rows[] = {
		"HTTP/1.1 000 Unknown\r\n" ODD_FIELDS,
		"HTTP/1.1 000 \r\nX-Not-Executed: 1\r\n" ODD_FIELDS,
		"HTTP/1.1 20 OK\r\n" ODD_FIELDS,
		"HTTP/1.1 999 Unknown\r\n" ODD_FIELDS,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	};
	static const char *const methods[] = { "GET", "POST" };
	static const char *const uris[] = { "/plain/a", "/once/a" };
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 1000",
				  "X-Request-Id: odd", NULL };
	size_t i, m;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct stub_reply reply = { .bytes = rows[i] };

		for (m = 0; m < G_N_ELEMENTS(methods); m++) {
			struct http_request request = {
				.address = rig.entries[0].callers,
				.uri = uris[m],
				.method = methods[m],
				.headers = headers,
				.body = "x",
			};
			unsigned int runs;
			struct http_answer *answer;

			wait_for_stub();
			stub_upstream_set_reply(stub, &reply);
			runs = stub_upstream_run_count(stub);
			answer = http_send(&request);
			CU_ASSERT_TRUE(stub_upstream_run_count(stub) > runs);
			CU_ASSERT_EQUAL(answer->status, 502);
			http_answer_destroy(answer);
		}
	}
	CU_ASSERT_TRUE(process_running(rig.entries[0].process));
	teardown();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an endless answer is ended", an_endless_answer_is_ended },
		{ "bytes that are no answer do not reach the caller",
		  bytes_that_are_no_answer_do_not_reach_the_caller },
		{ "a kept error answer counts as held",
		  a_kept_error_answer_counts_as_held },
		{ 0 },
	};

	return suite_run("entry_faulty", cases);
}
