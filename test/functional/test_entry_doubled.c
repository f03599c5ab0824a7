/*
 * A faulty upstream writes an earlier refusal once more on a kept connection,
 * where the answer to the next request is due.
 */
#include <string.h>

#include "cluster_entry.h"
#include "cluster_stub_upstream.h"
#include "suite.h"

#define REFUSAL                                                                \
	"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"            \
	"Content-Length: 0\r\n"
#define SUCCESS                                                                \
	"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 2\r\n"

/* Time for the other upstream's draining to be known. */
#define DRAIN_US ((gulong)G_USEC_PER_SEC)

static struct entry_rig rig;
static struct stub_upstream *stub;

/* Sends a request with an id, or without one if it is NULL. */
static struct http_answer *send_with_id(const char *method, const char *uri,
					const char *id)
{
	char id_line[64];
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 1500",
				  "X-Shard-Key: 100", id_line, NULL };
	struct http_request request = {
		.address = rig.entries[0].callers,
		.uri = uri,
		.method = method,
		.headers = headers,
		.body = "x",
	};

	if (id)
		g_snprintf(id_line, sizeof(id_line), "X-Request-Id: %s", id);
	else
		headers[3] = NULL;
	return http_send(&request);
}

static void set_reply(const char *bytes)
{
	struct stub_reply reply = { .bytes = bytes };

	stub_upstream_set_reply(stub, &reply);
}

static bool uses_stub(void *ctx)
{
	unsigned int runs = stub_upstream_run_count(stub);

	(void)ctx;
	http_answer_destroy(send_with_id("GET", "/plain/a", "setup"));
	return stub_upstream_run_count(stub) > runs;
}

/* Starts one daemon, whose requests for the service "plain" go to the stub. */
static void setup(void)
{
	entry_rig_start(&rig, 1, 6);
	stub = stub_upstream_start();
	set_reply(SUCCESS "X-Request-Id: setup\r\n\r\nok");
	entry_rig_command(&rig, "/control/list-at?id=0",
			  stub_upstream_address(stub));
	entry_rig_command(&rig, "/control/drain?id=1", NULL);
	g_usleep(DRAIN_US);
	CU_ASSERT_TRUE_FATAL(process_wait_until(uses_stub, NULL, RIG_WAIT_US));
}

static void teardown(void)
{
	entry_rig_stop(&rig);
	stub_upstream_stop(stub);
}

/* A request on a connection that had another answer before. The stub counts it
 * as run. */
static void a_repeated_refusal_is_not_taken_for_that_of_a_later_request(void)
{
	static const struct {
		const char *method;
		const char *uri;
		const char *bytes;
		/* Status that the caller gets; 0: any that doesn't deny that
		 * the request ran. */
		long status;
	} rows[] = {
		/* The earlier refusal, then the answer. */
		{ "POST", "/once/a",
		  REFUSAL "X-Request-Id: earlier\r\n\r\n" SUCCESS
			  "X-Request-Id: later\r\n\r\nok",
		  200 },
		{ "GET", "/plain/a",
		  REFUSAL "X-Request-Id: earlier\r\n\r\n" SUCCESS
			  "X-Request-Id: later\r\n\r\nok",
		  200 },
		/* Without an id, nothing tells to which request it belongs. */
		{ "POST", "/once/a",
		  REFUSAL "\r\n" SUCCESS "X-Request-Id: later\r\n\r\nok", 0 },
		{ "POST", "/once/a", REFUSAL "\r\n", 0 },
		{ "GET", "/plain/a", REFUSAL "\r\n", 0 },
		/* Only the earlier refusal comes, while the request runs. */
		{ "POST", "/once/a", REFUSAL "X-Request-Id: earlier\r\n\r\n",
		  0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct http_answer *answer;
		unsigned int runs;

		setup();
		runs = stub_upstream_run_count(stub);
		set_reply(rows[i].bytes);
		answer = send_with_id(rows[i].method, rows[i].uri, "later");
		if (rows[i].status)
			CU_ASSERT_EQUAL(answer->status, rows[i].status);
		CU_ASSERT_NOT_EQUAL(answer->status, 503);
		if (!strcmp(rows[i].method, "POST")) {
			CU_ASSERT_EQUAL(stub_upstream_run_count(stub) - runs,
					1);
			CU_ASSERT_EQUAL(entry_rig_runs(&rig, "later"), 0);
		}
		http_answer_destroy(answer);
		teardown();
	}
}

/* A refusal that is the first answer on its connection can't be a repetition.
 */
static void a_refusal_without_id_on_a_new_connection_is_believed(void)
{
	struct stub_reply close = { .bytes = REFUSAL "\r\n", .close = true };
	struct http_answer *answer;

	setup();
	/* Ends the kept connection of the setup. */
	stub_upstream_set_reply(stub, &close);
	http_answer_destroy(send_with_id("GET", "/plain/a", "first"));
	answer = send_with_id("POST", "/once/a", "second");
	CU_ASSERT_EQUAL(answer->status, 503);
	http_answer_destroy(answer);
	teardown();
}

/* Guards against a request on a connection on which an earlier answer can't be
 * told from its own: it has no id, or that of an earlier request there. */
static void a_request_that_an_id_does_not_tell_apart_gets_a_new_connection(void)
{
	static const struct {
		const char *id, *answer;
		unsigned int new_connections;
	} rows[] = {
		{ "a", SUCCESS "X-Request-Id: a\r\n\r\nok", 0 },
		{ "b", SUCCESS "X-Request-Id: b\r\n\r\nok", 0 },
		{ "b", SUCCESS "X-Request-Id: b\r\n\r\nok", 1 },
		{ "a", SUCCESS "X-Request-Id: a\r\n\r\nok", 0 },
		{ NULL, SUCCESS "\r\nok", 1 },
		{ NULL, SUCCESS "\r\nok", 1 },
	};
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		unsigned int before = stub_upstream_connection_count(stub);
		struct http_answer *answer;

		set_reply(rows[i].answer);
		answer = send_with_id("GET", "/plain/a", rows[i].id);
		CU_ASSERT_EQUAL(answer->status, 200);
		CU_ASSERT_EQUAL(stub_upstream_connection_count(stub) - before,
				rows[i].new_connections);
		http_answer_destroy(answer);
	}
	teardown();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a repeated refusal is not taken for that of a later request",
		  a_repeated_refusal_is_not_taken_for_that_of_a_later_request },
		{ "a refusal without id on a new connection is believed",
		  a_refusal_without_id_on_a_new_connection_is_believed },
		{ "a request that an id does not tell apart gets a new "
		  "connection",
		  a_request_that_an_id_does_not_tell_apart_gets_a_new_connection },
		{ 0 },
	};

	return suite_run("entry_doubled", cases);
}
