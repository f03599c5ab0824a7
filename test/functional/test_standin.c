/* Tests the stand-ins, the execution records and loadgen, on which the other
 * tests rely. */
#include <glib/gstdio.h>
#include <inttypes.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "cluster_http.h"
#include "cluster_process.h"
#include "cluster_record.h"
#include "suite.h"

/* Longest wait for a process to listen or to end, and for a grant to expire. */
#define LIMIT_US (20 * US_PER_SECOND)
/* URI of a row of the platform's table. */
#define ROW_URI "/table/cell/tallies"

/* Folder of logs and record files. */
static char *folder;

/* Starts a program; more holds additional arguments, ended by NULL, or is NULL.
 */
static struct process *start(const char *name, const char *program,
			     const char *const *more)
{
	GPtrArray *args = g_ptr_array_new_with_free_func(g_free);
	struct process *process;

	g_ptr_array_add(args, g_strdup_printf("%s/%s", PROGRAM_DIR, program));
	for (; more && *more; more++)
		g_ptr_array_add(args, g_strdup(*more));
	g_ptr_array_add(args, NULL);
	process = process_start(name, folder, (const char *const *)args->pdata,
				NULL);
	g_ptr_array_unref(args);
	CU_ASSERT_PTR_NOT_NULL_FATAL(process);
	return process;
}

static struct process *start_listening(const char *name, const char *program,
				       const char *const *more)
{
	struct process *process = start(name, program, more);

	CU_ASSERT_TRUE_FATAL(process_wait_listening(process, LIMIT_US, NULL));
	return process;
}

static struct http_answer *send_to(const char *address, const char *uri,
				   const char *body, const char *header)
{
	const char *headers[] = { header, NULL };
	struct http_request request = {
		.address = address, .uri = uri, .body = body, .headers = headers
	};

	return http_send(&request);
}

/* Returns the status of a GET, or of a POST when there is a body; 0 when the
 * answer wasn't whole. */
static long status_of(const char *address, const char *uri, const char *body)
{
	struct http_answer *answer = send_to(address, uri, body, NULL);
	long status = answer->whole ? answer->status : 0;

	http_answer_destroy(answer);
	return status;
}

/* Writes ROW_URI under a condition, a header line. Returns the status; 0 when
 * the answer wasn't whole. */
static long put_row(const char *address, const char *value,
		    const char *condition)
{
	const char *headers[] = { condition, NULL };
	struct http_request request = { .address = address,
					.uri = ROW_URI,
					.method = "PUT",
					.headers = headers,
					.body = value };

	return http_status(&request);
}

static void platform_compares_and_sets(void)
{
	static const struct {
		const char *value, *condition;
		long status;
	} writes[] = {
		{ "a", "If-Match: \"1\"", 412 },
		{ "a", "If-None-Match: *", 200 },
		{ "b", "If-None-Match: *", 412 },
		{ "b", "If-Match: \"2\"", 412 },
		{ "b", "If-Match: \"1\"", 200 },
		{ "c", "If-Match: \"1\"", 412 },
		{ "c", "If-Match: 2", 400 },
	};
	struct process *platform =
		start_listening("platform", "standin-platform", NULL);
	const char *address = process_address(platform, "http");
	struct http_answer *answer;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(writes); i++)
		CU_ASSERT_EQUAL(
			put_row(address, writes[i].value, writes[i].condition),
			writes[i].status);
	answer = send_to(address, ROW_URI, NULL, NULL);
	CU_ASSERT_STRING_EQUAL(answer->body->str, "b");
	CU_ASSERT_STRING_EQUAL(http_header(answer, "ETag"), "\"2\"");
	http_answer_destroy(answer);
	process_destroy(platform);
}

static void platform_loses_answers_of_applied_writes(void)
{
	struct process *platform =
		start_listening("platform", "standin-platform", NULL);
	const char *address = process_address(platform, "http");
	struct http_answer *answer;

	CU_ASSERT_EQUAL(status_of(address, "/switch", "{\"lose_next\":1}"),
			200);
	CU_ASSERT_EQUAL(put_row(address, "lost", "If-None-Match: *"), 0);
	answer = send_to(address, ROW_URI, NULL, NULL);
	CU_ASSERT_STRING_EQUAL(answer->body->str, "lost");
	http_answer_destroy(answer);
	CU_ASSERT_EQUAL(status_of(address, "/switch", "{\"outage\":true}"),
			200);
	CU_ASSERT_EQUAL(status_of(address, ROW_URI, NULL), 503);
	CU_ASSERT_EQUAL(status_of(address, "/switch", "{\"outage\":false}"),
			200);
	CU_ASSERT_EQUAL(status_of(address, ROW_URI, NULL), 200);
	CU_ASSERT_EQUAL(status_of(address, "/switch", "{\"no\":1}"), 400);
	process_destroy(platform);
}

/* Sends a prepare or grant call to an upstream's control address; consumes
 * value. Returns the answer, freed with json_decref(). */
static json_t *send_order(const char *control, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	struct http_answer *answer =
		send_to(control, "/control/order", text, NULL);
	json_t *reply = json_loads(answer->body->str, 0, NULL);

	http_answer_destroy(answer);
	free(text);
	json_decref(value);
	CU_ASSERT_PTR_NOT_NULL_FATAL(reply);
	return reply;
}

/* Returns whether the upstream accepted a prepare or grant call. */
static bool accepted(json_t *reply)
{
	return json_is_true(json_object_get(reply, "accepted"));
}

/* Builds a grant of all hashes for duration_us, counted from the upstream's
 * clock reading in its reply to an earlier call. */
static json_t *grant_after(const json_t *reply, int epoch, int duration_us)
{
	return json_pack("{s:s,s:s,s:[i,i],s:i,s:O,s:O,s:i,s:[[s,s]]}", "kind",
			 "grant", "cell", "tallies", "ballot", 1, 7, "epoch",
			 epoch, "boot", json_object_get(reply, "boot"),
			 "anchor_us", json_object_get(reply, "clock_us"),
			 "duration_us", duration_us, "slices",
			 "0000000000000000", "ffffffffffffffff");
}

/* Returns the status of a request for a key under an epoch; 0 when the answer
 * wasn't whole. */
static long keyed_status(const char *data, int epoch)
{
	char line[64];
	const char *headers[] = { "Auburn-Key-Hash: 0000000000000001", line,
				  NULL };
	struct http_request request = { .address = data,
					.uri = "/tallies/k",
					.headers = headers };

	snprintf(line, sizeof(line), "Auburn-Epoch: %d", epoch);
	return http_status(&request);
}

/* Argument of is_refused(): "IPv4:port" for requests. */
struct probed_upstream {
	const char *data;
};

/* Returns whether the upstream refuses a key that it doesn't own. */
static bool is_refused(void *ctx)
{
	return keyed_status(((struct probed_upstream *)ctx)->data, 1) == 421;
}

static void upstream_serves_only_under_a_grant(void)
{
	struct process *upstream =
		start_listening("upstream", "standin-upstream", NULL);
	const char *data = process_address(upstream, "data");
	const char *control = process_address(upstream, "control");
	struct probed_upstream probed_upstream = { data };
	json_t *prepared, *reply;

	prepared =
		send_order(control, json_pack("{s:s,s:s,s:[i,i],s:i}", "kind",
					      "prepare", "cell", "tallies",
					      "ballot", 1, 7, "epoch", 1));
	CU_ASSERT_TRUE(accepted(prepared));
	CU_ASSERT_EQUAL(keyed_status(data, 1), 421);
	reply = send_order(control, grant_after(prepared, 1, 2000000));
	CU_ASSERT_TRUE(accepted(reply));
	json_decref(reply);
	CU_ASSERT_EQUAL(keyed_status(data, 1), 200);
	CU_ASSERT_EQUAL(keyed_status(data, 2), 421);
	CU_ASSERT_TRUE(
		process_wait_until(is_refused, &probed_upstream, LIMIT_US));
	/* The clock reading is too old by now for a grant of 1 us. */
	reply = send_order(control, grant_after(prepared, 1, 1));
	CU_ASSERT_FALSE(accepted(reply));
	json_decref(reply);
	json_decref(prepared);
	process_destroy(upstream);
}

static void upstream_refuses_with_a_reason(void)
{
	static const struct {
		const char *uri, *body, *reason;
	} cases[] = {
		{ "/switch", "{\"shed\":true}", "upstream-shed" },
		{ "/switch", "{\"shed\":false,\"cold\":true}",
		  "upstream-cold" },
		{ "/control/drain", "{}", "shutting-down" },
	};
	static const char *const arguments[] = { "--cold-ms=60000",
						 "--cold-limit=0", NULL };
	struct process *upstream =
		start_listening("upstream", "standin-upstream", arguments);
	const char *data = process_address(upstream, "data");
	const char *control = process_address(upstream, "control");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http_answer *answer;

		CU_ASSERT_EQUAL(status_of(control, cases[i].uri, cases[i].body),
				200);
		/* The upstream starts cold, so in the first case it may refuse
		 * as cold instead of shed: the reason isn't checked. */
		answer = send_to(data, "/lots/a", NULL, NULL);
		CU_ASSERT_EQUAL(answer->status, 503);
		CU_ASSERT_STRING_EQUAL(http_header(answer, "Auburn-Verdict"),
				       "not-run");
		if (i > 0)
			CU_ASSERT_STRING_EQUAL(
				http_header(answer, "Auburn-Reason"),
				cases[i].reason);
		http_answer_destroy(answer);
	}
	process_destroy(upstream);
}

static void upstream_fails_on_order(void)
{
	struct process *upstream =
		start_listening("upstream", "standin-upstream", NULL);
	const char *data = process_address(upstream, "data");
	const char *control = process_address(upstream, "control");
	int status;

	status_of(control, "/switch", "{\"truncate\":1}");
	CU_ASSERT_EQUAL(status_of(data, "/lots/a?bytes=100000", NULL), 0);
	status_of(control, "/switch", "{\"truncate\":1}");
	CU_ASSERT_EQUAL(status_of(data, "/lots/a?bytes=100000&chunked=1", NULL),
			0);
	CU_ASSERT_EQUAL(status_of(data, "/lots/a?bytes=100000&chunked=1", NULL),
			200);
	status_of(control, "/switch", "{\"reset_after_run\":1}");
	CU_ASSERT_EQUAL(status_of(data, "/lots/a", "x"), 0);
	CU_ASSERT_EQUAL(status_of(data, "/lots/a", "x"), 200);
	CU_ASSERT_EQUAL(status_of(data, "/lots/crash-now", NULL), 0);
	CU_ASSERT_TRUE(process_wait_end(upstream, LIMIT_US, &status));
	CU_ASSERT_TRUE(WIFSIGNALED(status));
	process_destroy(upstream);
}

static void record_survives_a_kill(void)
{
	char *path = g_build_filename(folder, "kept.tsv", NULL);
	char *argument = g_strdup_printf("--record=%s", path);
	const char *const arguments[] = { argument, NULL };
	struct process *upstream =
		start_listening("upstream", "standin-upstream", arguments);
	const char *data = process_address(upstream, "data");
	struct execution_record *record = execution_record_create();
	const char *twice;
	int i;

	for (i = 0; i < 2; i++)
		http_answer_destroy(
			send_to(data, "/lots/a", "x", "Idempotency-Key: w1"));
	http_answer_destroy(
		send_to(data, "/lots/a", "x", "Idempotency-Key: w2"));
	process_kill(upstream);
	CU_ASSERT_TRUE(execution_record_add_file(record, path, 0));
	CU_ASSERT_EQUAL(execution_record_runs(record)->len, 3);
	CU_ASSERT_EQUAL(execution_record_count_by_key(record, "w1"), 2);
	CU_ASSERT_EQUAL(execution_record_count_duplicates(record, &twice), 1);
	CU_ASSERT_STRING_EQUAL(twice, "w1");
	execution_record_destroy(record);
	process_destroy(upstream);
	g_free(argument);
	g_free(path);
}

/* Counts the ownership overlaps of two upstreams with these record files. */
static unsigned int overlaps_of(const char *a, const char *b)
{
	struct execution_record *record = execution_record_create();
	char *path = g_build_filename(folder, "lines.tsv", NULL);
	struct ownership_period first, second;
	unsigned int count;

	g_file_set_contents(path, a, -1, NULL);
	execution_record_add_file(record, path, 0);
	g_file_set_contents(path, b, -1, NULL);
	execution_record_add_file(record, path, 1);
	count = execution_record_count_overlaps(record, &first, &second);
	execution_record_destroy(record);
	g_free(path);
	return count;
}

/* The two ranges that all hashes are divided into. */
#define LOW "0000000000000000-0fffffffffffffff"
#define HIGH "1000000000000000-ffffffffffffffff"

static void two_owners_at_once_are_counted(void)
{
	static const struct {
		/* Record files of two upstreams. */
		const char *a, *b;
		unsigned int overlaps;
	} cases[] = {
		{ "grant\t10\t20\t1\t" LOW "\n", "grant\t20\t30\t2\t" LOW "\n",
		  0 },
		{ "grant\t10\t20\t1\t" LOW "\n", "grant\t19\t30\t2\t" LOW "\n",
		  1 },
		{ "grant\t10\t20\t1\t" LOW "\n", "grant\t19\t30\t2\t" HIGH "\n",
		  0 },
		/* Renewed in time, then after the grant had expired. */
		{ "grant\t10\t20\t1\t" LOW "\ngrant\t15\t25\t1\t=\n",
		  "grant\t22\t30\t2\t" LOW "\n", 1 },
		{ "grant\t10\t20\t1\t" LOW "\ngrant\t40\t50\t1\t=\n",
		  "grant\t22\t30\t2\t" LOW "\n", 0 },
		/* Revoked, then ended by a restart of the upstream. */
		{ "grant\t10\t20\t1\t" LOW "\ngrant\t15\t15\t2\t=\n",
		  "grant\t16\t30\t2\t" LOW "\n", 0 },
		{ "grant\t10\t20\t1\t" LOW "\nstart\t15\n",
		  "grant\t16\t30\t2\t" LOW "\n", 0 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++)
		CU_ASSERT_EQUAL(overlaps_of(cases[i].a, cases[i].b),
				cases[i].overlaps);
}

/* Runs loadgen against one upstream, without a router. Returns its report,
 * freed with json_decref(). */
static json_t *load_report(const char *data, const char *control)
{
	char *targets = g_strdup_printf("--targets=%s", data);
	char *upstreams = g_strdup_printf("--upstreams=%s", control);
	const char *const arguments[] = {
		targets,
		upstreams,
		"--json",
		"--rate=200",
		"--seconds=1",
		"--resend-percent=100",
		"--mix=tallies=5,lots=1:post:once:body=100",
		NULL
	};
	struct process *load = start("loadgen", "loadgen", arguments);
	json_t *report;

	report = json_loadfd(process_stdout(load), 0, NULL);
	CU_ASSERT_TRUE(process_wait_end(load, LIMIT_US, NULL));
	process_destroy(load);
	CU_ASSERT_PTR_NOT_NULL_FATAL(report);
	g_free(targets);
	g_free(upstreams);
	return report;
}

static int64_t number_in(const json_t *object, const char *name)
{
	return json_integer_value(json_object_get(object, name));
}

static void loadgen_sees_each_fault(void)
{
	/* Faults of the upstream, and the member of loadgen's report that
	 * counts them. */
	static const struct {
		const char *fault, *member;
		int64_t count;
	} cases[] = {
		{ "{\"garble\":2}", "wrong", 2 },
		{ "{\"shorten\":3}", "partial", 3 },
		{ "{\"truncate\":4}", "broken", 4 },
	};
	static const char *const arguments[] = { "--slots=100", NULL };
	struct process *upstream =
		start_listening("upstream", "standin-upstream", arguments);
	const char *control = process_address(upstream, "control");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		json_t *report;

		status_of(control, "/switch", cases[i].fault);
		report =
			load_report(process_address(upstream, "data"), control);
		CU_ASSERT_EQUAL(number_in(report, cases[i].member),
				cases[i].count);
		CU_ASSERT_TRUE(number_in(report, "answered") > 100);
		/* Each idempotency key is sent twice; no router stops this. */
		CU_ASSERT_TRUE(number_in(report, "duplicates") > 5);
		json_decref(report);
	}
	process_destroy(upstream);
}

static void command(const char *address, const char *uri, const char *body)
{
	CU_ASSERT_EQUAL(status_of(address, uri, body), 200);
}

static void site_repeats_the_last_write_of_a_row(void)
{
	static const struct {
		const char *name;
		/* How far the store goes back the second time. */
		const char *again;
	} cases[] = {
		{ "which a second return loses", "/control/return?id=500" },
		{ "which a second return keeps", "/control/return?id=100" },
	};
	struct process *site;
	struct http_answer *rows;
	const char *address;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		site = start_listening("site", "standin-site", NULL);
		address = process_address(site, "store");
		command(address, "/control/entry?id=row", "one");
		g_usleep(600 * G_TIME_SPAN_MILLISECOND);
		command(address, "/control/entry?id=row", "two");
		g_usleep(300 * G_TIME_SPAN_MILLISECOND);
		command(address, "/control/return?id=600", NULL);
		command(address, "/control/entry?id=row", "three");
		g_usleep(300 * G_TIME_SPAN_MILLISECOND);
		command(address, cases[i].again, NULL);
		g_usleep(2500 * G_TIME_SPAN_MILLISECOND);
		rows = send_to(address, "/rows?table=servers", NULL, NULL);
		/* Base64 of "three". */
		CU_ASSERT_PTR_NOT_NULL(strstr(rows->body->str, "dGhyZWU="));
		http_answer_destroy(rows);
		process_destroy(site);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "platform compares and sets", platform_compares_and_sets },
		{ "platform loses answers of applied writes",
		  platform_loses_answers_of_applied_writes },
		{ "upstream serves only under a grant",
		  upstream_serves_only_under_a_grant },
		{ "upstream refuses with a reason",
		  upstream_refuses_with_a_reason },
		{ "upstream fails on order", upstream_fails_on_order },
		{ "record survives a kill", record_survives_a_kill },
		{ "two owners at once are counted",
		  two_owners_at_once_are_counted },
		{ "loadgen sees each fault", loadgen_sees_each_fault },
		{ "the site repeats the last write of a row",
		  site_repeats_the_last_write_of_a_row },
		{ 0 },
	};
	int status;

	signal(SIGPIPE, SIG_IGN);
	folder = g_dir_make_tmp("auburn-XXXXXX", NULL);
	status = suite_run("standin", cases);
	process_remove_folder(folder);
	g_free(folder);
	return status;
}
