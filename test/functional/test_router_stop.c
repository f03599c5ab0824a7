/* Tests a router with slow callers and long transfers, and its graceful
 * shutdown. */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "base/clock.h"
#include "cluster_rig.h"
#include "suite.h"

/* Longest wait for the router to show an expected state or to end. */
#define LIMIT_US (20 * US_PER_SECOND)
#define OK_HEAD                                                                \
	"HTTP/1.1 200 OK\r\nAuburn-Verdict: ran\r\n"                           \
	"Auburn-Boot: boot-1\r\n"
/* Length of the answer that the tests download. */
#define FILE_BYTES 60000000
/* Bytes a second that a slow caller reads. */
#define FILE_RATE 40000000
/* Limit on the growth of the router's memory during a transfer. Sanitizers keep
 * freed memory for a while, which counts as used. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define MEMORY_LIMIT_KIB 45056
#else
#define MEMORY_LIMIT_KIB 16384
#endif

static const struct stub_reply big_file = {
	.bytes = OK_HEAD "Content-Length: 60000000\r\n\r\n",
	.zero_bytes = FILE_BYTES,
};

/* A download, which may run in a thread of its own. */
struct transfer {
	struct rig *rig;
	struct http_request request;
	struct http_answer *answer;
	pthread_t thread;
	atomic_bool ended;
};

/* Thread: sends the request and waits for the end of the answer. */
static void *transfer_run(void *data)
{
	struct transfer *transfer = data;

	transfer->answer = http_send(&transfer->request);
	transfer->ended = true;
	return NULL;
}

/* Prepares a download by a slow caller; transfer_run() carries it out. */
static struct transfer transfer_create(struct rig *rig, const char *uri)
{
	return (struct transfer){
		.rig = rig,
		.request = { .address = rig_caller_address(rig),
			     .uri = uri,
			     .bytes_per_second = FILE_RATE,
			     .timeout_ms = 60000,
			     .discard = true },
	};
}

static bool has_run(void *ctx)
{
	return rig_run_count(ctx) > 0;
}

/* The router must not buffer an answer that the caller reads slowly. */
static void a_slow_reader_costs_no_memory(void)
{
	struct rig *rig = rig_start(NULL);
	struct transfer transfer = transfer_create(rig, "/reads/file");
	int64_t before = process_memory_kib(rig->router);
	int64_t most = before;

	rig_set_reply(rig, &big_file);
	pthread_create(&transfer.thread, NULL, transfer_run, &transfer);
	CU_ASSERT(process_wait_until(has_run, rig, LIMIT_US));
	while (!transfer.ended) {
		most = MAX(most, process_memory_kib(rig->router));
		g_usleep(20000);
	}
	pthread_join(transfer.thread, NULL);
	CU_ASSERT(transfer.answer->whole);
	CU_ASSERT_EQUAL(transfer.answer->body_len, FILE_BYTES);
	CU_ASSERT(most - before < MEMORY_LIMIT_KIB);
	printf("# memory before %" G_GINT64_FORMAT " KiB, at most "
	       "%" G_GINT64_FORMAT " KiB\n",
	       before, most);
	http_answer_destroy(transfer.answer);
	rig_stop(rig);
}

/* The stall limit must not end an answer while the router reads nothing from
 * the upstream because the caller is slow. */
static void a_paused_reader_is_not_a_stalled_upstream(void)
{
	struct rig *rig = rig_start(NULL);
	struct transfer transfer = transfer_create(rig, "/reads/file");

	rig_set_reply(rig, &big_file);
	transfer.request.bytes_per_second = FILE_RATE / 2;
	transfer_run(&transfer);
	CU_ASSERT(transfer.answer->whole);
	http_answer_destroy(transfer.answer);
	rig_stop(rig);
}

/* Returns whether the router no longer reports that it is ready. */
static bool not_ready(void *ctx)
{
	const struct rig *rig = ctx;
	struct http_request request = {
		.address = process_address(rig->router, "operator"),
		.uri = "/ready",
	};

	return http_status(&request) != 200;
}

static bool refuses_connections(void *ctx)
{
	const struct rig *rig = ctx;
	struct http_request request = { .address = rig_caller_address(rig),
					.uri = "/reads/x" };

	return http_status(&request) == 0;
}

/* A graceful shutdown must not break a transfer, and must answer new
 * connections until --drain-ms is over. */
static void shutdown_cuts_nothing_off(void)
{
	static const struct stub_reply quick = {
		.bytes = OK_HEAD "Content-Length: 2\r\n\r\nok"
	};
	struct rig *rig = rig_start(NULL);
	struct transfer transfer = transfer_create(rig, "/reads/file");
	struct http_answer *answer;
	int status;

	rig_set_reply(rig, &big_file);
	pthread_create(&transfer.thread, NULL, transfer_run, &transfer);
	CU_ASSERT(process_wait_until(has_run, rig, LIMIT_US));
	rig_set_reply(rig, &quick);
	process_terminate(rig->router);
	CU_ASSERT(process_wait_until(not_ready, rig, LIMIT_US));
	/* New connections are still answered for --drain-ms. */
	answer = rig_send(rig, "GET", "/reads/late", NULL);
	CU_ASSERT_EQUAL(answer->status, 200);
	CU_ASSERT_STRING_EQUAL(http_header(answer, "connection"), "close");
	http_answer_destroy(answer);
	CU_ASSERT(process_wait_until(refuses_connections, rig, LIMIT_US));
	CU_ASSERT(process_running(rig->router));
	pthread_join(transfer.thread, NULL);
	if (!transfer.answer->whole)
		printf("# the download failed after %" PRId64 " us: %s\n",
		       transfer.answer->took_us, transfer.answer->failure);
	CU_ASSERT(transfer.answer->whole);
	CU_ASSERT_EQUAL(transfer.answer->body_len, FILE_BYTES);
	http_answer_destroy(transfer.answer);
	CU_ASSERT(process_wait_end(rig->router, LIMIT_US, &status));
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	rig_stop(rig);
}

static void an_idle_router_stops_soon(void)
{
	struct rig *rig = rig_start(NULL);
	gint64 begun = g_get_monotonic_time();
	int status;

	process_terminate(rig->router);
	CU_ASSERT(process_wait_end(rig->router, LIMIT_US, &status));
	CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 0);
	CU_ASSERT(g_get_monotonic_time() - begun < 5 * US_PER_SECOND);
	rig_stop(rig);
}

static void bad_options_are_refused(void)
{
	static const char *const cases[] = { "--workers=0", "--listen=x:1",
					     "--drain-ms=-1", "--zone" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		const char *program = PROGRAM_DIR "/auburn-router";
		const char *argv[] = { program, "--daemon=r", "--zone=z",
				       cases[i], NULL };
		struct process *process =
			process_start("router", g_get_tmp_dir(), argv, NULL);
		int status = 0;

		CU_ASSERT_PTR_NOT_NULL_FATAL(process);
		CU_ASSERT(process_wait_end(process, LIMIT_US, &status));
		CU_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 2);
		process_destroy(process);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a slow reader costs no memory",
		  a_slow_reader_costs_no_memory },
		{ "a paused reader is not a stalled upstream",
		  a_paused_reader_is_not_a_stalled_upstream },
		{ "shutdown cuts nothing off", shutdown_cuts_nothing_off },
		{ "an idle router stops soon", an_idle_router_stops_soon },
		{ "bad options are refused", bad_options_are_refused },
		{ 0 },
	};

	return suite_run("router stop", cases);
}
