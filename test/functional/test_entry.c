/*
 * Runs auburn-entry processes between HTTP callers and standin-site, a fake
 * platform with store and upstreams. Covers routing, retries, limits, keys,
 * draining, configuration changes, an outage of the store, and shutdown.
 */
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/address.h"
#include "cluster_entry.h"
#include "suite.h"

/* Number of auburn-entry processes. */
#define ENTRIES 2
/* Shutdown grace period in the settings, unless a test sets another. */
#define GRACE_S 6

static struct entry_rig rig;
/* The rig's entry daemons. */
static struct entry *const entries = rig.entries;

static int open_connection(const char *text)
{
	struct sockaddr_in address;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	CU_ASSERT_TRUE_FATAL(address_parse(str_from(text), &address));
	CU_ASSERT_EQUAL_FATAL(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	CU_ASSERT_EQUAL(send(fd, text, strlen(text), MSG_NOSIGNAL),
			(ssize_t)strlen(text));
}

static void setup_with_grace(double grace_s)
{
	entry_rig_start(&rig, ENTRIES, grace_s);
}

static void setup(void)
{
	setup_with_grace(GRACE_S);
}

static void teardown(void)
{
	entry_rig_stop(&rig);
}

static void requests_are_routed(void)
{
	static const struct {
		const char *uri;
		long status;
	} rows[] = {
		{ "/plain/a", 200 },   { "/plain/a?b=c", 200 },
		{ "/once/a", 200 },    { "/keyed/a", 200 },
		{ "/plainer/a", 404 }, { "/", 404 },
	};
	size_t i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		CU_ASSERT_EQUAL(
			entry_status(&entries[i % ENTRIES], rows[i].uri, 7),
			rows[i].status);
	teardown();
}

static void an_answer_is_passed_on_unchanged(void)
{
	char id[32];
	struct http_answer *answer;

	setup();
	answer = entry_send(&entries[0], "/plain/a", "POST", 0, "a body", id);
	CU_ASSERT_EQUAL(answer->status, 200);
	CU_ASSERT_STRING_EQUAL(http_header(answer, "x-request-id"), id);
	CU_ASSERT_STRING_EQUAL(http_header(answer, "x-server-signature"),
			       "a signature");
	CU_ASSERT_TRUE(g_str_has_prefix(answer->body->str, "t-"));
	http_answer_destroy(answer);
	teardown();
}

static void a_request_with_a_lost_answer_is_retried_only_if_idempotent(void)
{
	char id[32];
	struct http_answer *answer;

	setup();
	answer = entry_send(&entries[0], "/once/lose-answer", "POST", 0, "x",
			    id);
	/* The request may have run, so 503 would be a false promise. */
	CU_ASSERT_EQUAL(answer->status, 502);
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, id), 1);
	http_answer_destroy(answer);
	answer = entry_send(&entries[0], "/plain/lose-answer", NULL, 0, NULL,
			    id);
	CU_ASSERT_EQUAL(answer->status, 502);
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, id), 2);
	http_answer_destroy(answer);
	teardown();
}

static void an_empty_body_is_declared_in_every_attempt(void)
{
	char answer[256] = "";
	GString *state;
	int fd;

	setup();
	fd = open_connection(entries[0].callers);
	send_text(fd, "POST /plain/lose-answer HTTP/1.1\r\n"
		      "Host: app.example\r\nX-Request-Id: empty\r\n"
		      "X-Deadline-Ms: 3000\r\n"
		      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	CU_ASSERT_TRUE(recv(fd, answer, sizeof(answer) - 1, 0) > 0);
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, "empty"), 2);
	state = entry_rig_query(&rig, "/control/state", NULL);
	CU_ASSERT_PTR_NOT_NULL(strstr(state->str, "\"bodies_missing\":0"));
	g_string_free(state, TRUE);
	close(fd);
	teardown();
}

static void requests_over_the_size_limits_are_refused(void)
{
	char *body = g_strnfill(200000, 'b');
	char *filler = g_strnfill(5000, 'u');
	char *uri = g_strdup_printf("/plain/%s", filler);
	char id[32];
	struct http_answer *answer;

	setup();
	answer = entry_send(&entries[0], "/plain/a", "POST", 0, body, id);
	CU_ASSERT_EQUAL(answer->status, 413);
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, id), 0);
	http_answer_destroy(answer);
	answer = entry_send(&entries[0], uri, NULL, 0, NULL, id);
	CU_ASSERT_EQUAL(answer->status, 431);
	http_answer_destroy(answer);
	CU_ASSERT_EQUAL(entry_status(&entries[0], "/plain/a", 0), 200);
	g_free(uri);
	g_free(filler);
	g_free(body);
	teardown();
}

/* Returns whether upstream 1 answered a request, not the draining upstream 0.
 */
static bool answered_by_other_upstream(void *ctx)
{
	char id[32];
	struct http_answer *answer =
		entry_send(ctx, "/plain/a", NULL, 0, NULL, id);
	bool other = !strcmp(answer->body->str, "t-1");

	http_answer_destroy(answer);
	return other;
}

static void a_draining_upstream_gets_no_new_requests(void)
{
	int i;

	setup();
	entry_rig_command(&rig, "/control/drain?id=0", NULL);
	CU_ASSERT_TRUE_FATAL(process_wait_until(answered_by_other_upstream,
						&entries[0], RIG_WAIT_US));
	for (i = 0; i < 20; i++)
		CU_ASSERT_TRUE(answered_by_other_upstream(&entries[0]));
	teardown();
}

/* Entries that another writer left among those of the upstreams. */
static void odd_entries_do_not_stop_the_daemons(void)
{
	char *nested = g_strnfill(45000, '[');
	char *inner =
		g_strconcat("{\"service\":\"plain\",\"zone\":", nested, NULL);
	char *text = g_strnfill(45000, 'x');
	char *large = g_strconcat("{\"service\":\"", text, "\"}", NULL);
	const char *const values[] = {
		nested,
		inner,
		large,
		"{\"service\":1e999}",
		"{\"service\":\"plain\",\"slots\":99999999999999999999999}",
		"{\"service\":\"plain\",\"zone\":\"z1\",\"address\":"
		"\"127.0.0.1:70000\",\"slots\":3,\"state\":\"ready\"}",
		"{\"service\":\"plain\",\"zone\":\"z1\",\"address\":"
		"\"127.0.0.1:0\",\"slots\":4294967299,\"state\":\"ready\"}",
		"\\u0000",
		"",
	};
	unsigned int i;

	setup();
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		char *uri = g_strdup_printf("/control/entry?id=odd-%u", i);

		entry_rig_command(&rig, uri, values[i]);
		g_free(uri);
	}
	/* The daemons still follow the list, also one that starts now. */
	process_kill(entries[1].process);
	CU_ASSERT_TRUE(process_restart(entries[1].process, NULL));
	entry_rig_command(&rig, "/control/drain?id=0", NULL);
	for (i = 0; i < ENTRIES; i++) {
		CU_ASSERT_TRUE(process_wait_until(entry_is_ready, &entries[i],
						  RIG_WAIT_US));
		CU_ASSERT_TRUE(process_wait_until(answered_by_other_upstream,
						  &entries[i], RIG_WAIT_US));
		CU_ASSERT_TRUE(process_wait_until(entry_serves_keys,
						  &entries[i], RIG_WAIT_US));
		CU_ASSERT_TRUE(process_running(entries[i].process));
	}
	teardown();
	g_free(nested);
	g_free(inner);
	g_free(text);
	g_free(large);
}

static void keys_of_a_draining_upstream_are_moved(void)
{
	int i;

	setup();
	/* No request may fail while the keys are moved. */
	entry_rig_command(&rig, "/control/drain?id=2", NULL);
	for (i = 0; i < 40; i++)
		CU_ASSERT_EQUAL(entry_status(&entries[i % ENTRIES], "/keyed/a",
					     i * 1600),
				200);
	teardown();
}

static void keys_are_served_after_their_owner_restarts(void)
{
	setup();
	entry_rig_command(&rig, "/control/restart?id=2", NULL);
	CU_ASSERT_TRUE(process_wait_until(entry_serves_keys, &entries[0],
					  RIG_WAIT_US));
	CU_ASSERT_TRUE(process_wait_until(entry_serves_keys, &entries[1],
					  RIG_WAIT_US));
	teardown();
}

static void keys_are_served_after_any_vm_is_lost(void)
{
	setup();
	process_kill(entries[0].process);
	g_usleep(3UL * G_USEC_PER_SEC);
	CU_ASSERT_TRUE(process_wait_until(entry_serves_keys, &entries[1],
					  RIG_WAIT_US));
	teardown();
}

static void requests_are_served_during_an_outage_of_the_store(void)
{
	int i;

	setup();
	/* id=1 starts the outage of the store, id=0 ends it. */
	entry_rig_command(&rig, "/control/down?id=1", NULL);
	for (i = 0; i < 16; i++) {
		CU_ASSERT_EQUAL(entry_status(&entries[i % ENTRIES], "/keyed/a",
					     i * 4000),
				200);
		CU_ASSERT_EQUAL(
			entry_status(&entries[i % ENTRIES], "/plain/a", 0),
			200);
		g_usleep(G_USEC_PER_SEC / 4);
	}
	entry_rig_command(&rig, "/control/down?id=0", NULL);
	CU_ASSERT_TRUE(process_wait_until(entry_serves_keys, &entries[0],
					  RIG_WAIT_US));
	teardown();
}

/* A configuration with one route, which has the given path prefix, and a limit
 * of the size of bodies. */
#define CONFIG(version, prefix, body_bytes)                                    \
	"{\"version\":\"" version "\",\"routes\":{\"columns\":[\"name\","      \
	"\"host\",\"prefix\",\"kind\",\"service\"],\"rows\":[[\"plain\","      \
	"\"app.example\",\"" prefix "\",\"safe\",\"plain\"]]},"                \
	"\"services\":{\"columns\":[\"name\",\"max_conns\"],\"rows\":"         \
	"[[\"plain\",130]]},\"limits\":{\"max_header_bytes\":4096,"            \
	"\"max_body_bytes\":" body_bytes ",\"header_timeout_s\":3,"            \
	"\"idle_timeout_s\":15}}"

static bool serves_new_route(void *ctx)
{
	return entry_status(ctx, "/new/a", 0) == 200;
}

static void an_older_configuration_never_replaces_a_newer_one(void)
{
	struct http_answer *answer;
	char id[32];
	unsigned int i;

	setup();
	entry_rig_command(&rig, "/control/config",
			  CONFIG("r5", "/new/", "1000"));
	for (i = 0; i < ENTRIES; i++)
		CU_ASSERT_TRUE_FATAL(process_wait_until(
			serves_new_route, &entries[i], RIG_WAIT_US));
	entry_rig_command(&rig, "/control/config",
			  CONFIG("r4", "/plain/", "10"));
	/* Later, or the daemons would only see the last change. */
	g_usleep(G_USEC_PER_SEC);
	/* Newer, but malformed. */
	entry_rig_command(&rig, "/control/config",
			  "{\"version\":\"r6\",\"routes\":7}");
	g_usleep(G_USEC_PER_SEC);
	for (i = 0; i < ENTRIES; i++) {
		CU_ASSERT_EQUAL(entry_status(&entries[i], "/new/a", 0), 200);
		CU_ASSERT_EQUAL(entry_status(&entries[i], "/plain/a", 0), 404);
		/* Its limits don't come into force either. */
		answer = entry_send(&entries[i], "/new/a", "POST", 0,
				    "a body of twenty bytes", id);
		CU_ASSERT_EQUAL(answer->status, 200);
		http_answer_destroy(answer);
	}
	teardown();
}

static void a_shutdown_waits_for_requests_in_progress(void)
{
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 3000",
				  "X-Request-Id: slow", NULL };
	struct http_request request = {
		.address = entries[0].callers,
		.uri = "/plain/work-ms-1500",
		.headers = headers,
	};
	struct http_request ready = { .address = entries[0].ready,
				      .uri = "/ready" };
	struct http_answer *answer;
	struct http_task *task;
	int status = -1;

	setup();
	task = http_start(&request);
	g_usleep(G_USEC_PER_SEC / 2);
	process_terminate(entries[0].process);
	g_usleep(G_USEC_PER_SEC / 5);
	CU_ASSERT_EQUAL(http_status(&ready), 503);
	answer = http_join(task);
	CU_ASSERT_EQUAL(answer->status, 200);
	CU_ASSERT_TRUE(answer->whole);
	http_answer_destroy(answer);
	CU_ASSERT_TRUE(
		process_wait_end(entries[0].process, RIG_WAIT_US, &status));
	CU_ASSERT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	teardown();
}

/* A request that starts before the shutdown, but is complete only when the
 * process may exit before the request's deadline, is refused so that the caller
 * can try another VM. */
static void a_late_request_is_refused_during_shutdown(void)
{
	char answer[256] = "";
	int fd;

	setup();
	fd = open_connection(entries[0].callers);
	process_terminate(entries[0].process);
	g_usleep(G_USEC_PER_SEC);
	send_text(fd, "GET /plain/a HTTP/1.1\r\n");
	g_usleep(19UL * G_USEC_PER_SEC / 10);
	send_text(fd, "Host: app.example\r\nX-Request-Id: late\r\n"
		      "X-Deadline-Ms: 3000\r\n\r\n");
	CU_ASSERT_TRUE(recv(fd, answer, sizeof(answer) - 1, 0) > 0);
	CU_ASSERT_TRUE(g_str_has_prefix(answer, "HTTP/1.1 503 "));
	CU_ASSERT_EQUAL(entry_rig_runs(&rig, "late"), 0);
	close(fd);
	teardown();
}

/* Requests that are still queued when the shutdown leaves no time for them are
 * refused with 503, which promises that they did not run. Those in flight at
 * the end may have run and get another status. */
static void a_shutdown_answers_every_request(void)
{
	enum { REQUESTS = 40 };
	static char ids[REQUESTS][32], lines[REQUESTS][64];
	const char *headers[REQUESTS][4];
	struct http_request requests[REQUESTS];
	struct http_task *tasks[REQUESTS];
	unsigned int refused = 0;
	int i;

	setup_with_grace(3.6);
	process_terminate(entries[0].process);
	g_usleep(G_USEC_PER_SEC);
	for (i = 0; i < REQUESTS; i++) {
		g_snprintf(ids[i], sizeof(ids[i]), "wait%03d", i);
		g_snprintf(lines[i], sizeof(lines[i]), "X-Request-Id: %s",
			   ids[i]);
		headers[i][0] = "Host: app.example";
		headers[i][1] = "X-Deadline-Ms: 3000";
		headers[i][2] = lines[i];
		headers[i][3] = NULL;
		requests[i] = (struct http_request){
			.address = entries[0].callers,
			.uri = "/plain/work-ms-2400",
			.headers = headers[i],
		};
		tasks[i] = http_start(&requests[i]);
	}
	for (i = 0; i < REQUESTS; i++) {
		struct http_answer *answer = http_join(tasks[i]);

		refused += answer->status == 503;
		CU_ASSERT_TRUE(answer->whole);
		CU_ASSERT_EQUAL(answer->status == 503,
				!entry_rig_runs(&rig, ids[i]));
		http_answer_destroy(answer);
	}
	CU_ASSERT_TRUE(refused > 0);
	teardown();
}

static void invalid_settings_are_reported_with_file_and_key(void)
{
	static const char text[] = "[vm]\nname = a\nzone = z\n[listen]\n"
				   "callers = here\n";
	char *path = g_build_filename(g_get_tmp_dir(), "auburn-bad.conf", NULL);
	char program[] = PROGRAM_DIR "/auburn-entry";
	char *argv[] = { program, "--check-settings", "--settings", path,
			 NULL };
	char *err = NULL;
	int status = 0;

	g_file_set_contents(path, text, -1, NULL);
	CU_ASSERT_TRUE_FATAL(g_spawn_sync(NULL, argv, NULL, 0, NULL, NULL, NULL,
					  &err, &status, NULL));
	CU_ASSERT_NOT_EQUAL(status, 0);
	CU_ASSERT_PTR_NOT_NULL(strstr(err, path));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "[listen] callers"));
	CU_ASSERT_PTR_NOT_NULL(strstr(err, "IPv4:port"));
	g_unlink(path);
	g_free(path);
	g_free(err);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "requests are routed", requests_are_routed },
		{ "an answer is passed on unchanged",
		  an_answer_is_passed_on_unchanged },
		{ "a request with a lost answer is retried only if idempotent",
		  a_request_with_a_lost_answer_is_retried_only_if_idempotent },
		{ "an empty body is declared in every attempt",
		  an_empty_body_is_declared_in_every_attempt },
		{ "requests over the size limits are refused",
		  requests_over_the_size_limits_are_refused },
		{ "a draining upstream gets no new requests",
		  a_draining_upstream_gets_no_new_requests },
		{ "odd entries do not stop the daemons",
		  odd_entries_do_not_stop_the_daemons },
		{ "keys of a draining upstream are moved",
		  keys_of_a_draining_upstream_are_moved },
		{ "keys are served after their owner restarts",
		  keys_are_served_after_their_owner_restarts },
		{ "keys are served after any VM is lost",
		  keys_are_served_after_any_vm_is_lost },
		{ "requests are served during an outage of the store",
		  requests_are_served_during_an_outage_of_the_store },
		{ "an older configuration never replaces a newer one",
		  an_older_configuration_never_replaces_a_newer_one },
		{ "a shutdown waits for requests in progress",
		  a_shutdown_waits_for_requests_in_progress },
		{ "a late request is refused during shutdown",
		  a_late_request_is_refused_during_shutdown },
		{ "a shutdown answers every request",
		  a_shutdown_answers_every_request },
		{ "invalid settings are reported with file and key",
		  invalid_settings_are_reported_with_file_and_key },
		{ 0 },
	};

	return suite_run("entry", cases);
}
