/*
 * Callers that nobody controls send more than the daemon's memory and
 * descriptors can hold. Guards against a process that grows until the machine
 * ends it, and against one that lives but serves nobody any more.
 */
#include <dirent.h>
#include <stdio.h>
#include <string.h>

#include "cluster_crowd.h"
#include "cluster_entry.h"
#include "cluster_stub_upstream.h"
#include "suite.h"

/* [vm] memory of the daemon, and the largest body, which has nearly the same
 * share of it as 64 MiB have of the smallest VM's 120 MB. */
#define MEMORY_MB 64
#define BODY_BYTES ((uint64_t)32 << 20)
/* [vm] descriptors of the daemon. */
#define DESCRIPTORS 256
/* Bounds on the peak of the resident set and on open descriptors. */
#define RESIDENT_KIB_MAX ((int64_t)MEMORY_MB * 1024)
#define OPEN_MAX DESCRIPTORS
/* Callers that send bodies; 16 of the largest are 8 times the memory. */
#define SENDERS 16
/* Callers that only connect, or send a part of a head. */
#define CONNECTIONS 420
/* Callers that don't read, requests of each, and bytes of each answer: together
 * 4 times the memory. */
#define LATE_READERS 64
#define LATE_REQUESTS 4
#define ANSWER_BYTES ((uint64_t)1 << 20)
/* Payload of each body in small chunks, and of a chunk. */
#define SMALL_CHUNKS_PAYLOAD ((uint64_t)12 << 20)
#define SMALL_CHUNK 16
/* What a caller sends of a body without end. */
#define ENDLESS_BYTES ((uint64_t)128 << 20)
/* The crowd's run ends when nothing moves for so long. */
#define STILL_MS 1000

#define POST_HEAD                                                              \
	"POST /upload/a HTTP/1.1\r\nHost: app.example\r\n"                     \
	"X-Deadline-Ms: 9000\r\n"
#define CHUNKED_HEAD POST_HEAD "Transfer-Encoding: chunked\r\n\r\n"

/* As standin-site's own configuration, but for the limits and the route for
 * uploads, which leads to an upstream of its own. */
static const char config[] =
	"{\"version\":\"r9\",\"routes\":{\"columns\":[\"name\",\"host\","
	"\"prefix\",\"kind\",\"timeout_s\",\"aim_s\",\"priority\",\"service\","
	"\"max_attempts\",\"split\"],\"rows\":["
	"[\"plain\",\"app.example\",\"/plain/\",\"safe\",9,0.5,1,\"plain\",2,"
	"null],"
	"[\"upload\",\"app.example\",\"/upload/\",\"upload\",10,0.5,1,"
	"\"other\",2,null],"
	"[\"keyed\",\"app.example\",\"/keyed/\",\"safe\",3,0.5,1,\"keyed\",2,"
	"null]]},\"services\":{\"columns\":[\"name\",\"health_path\","
	"\"max_conns\",\"cold_start_s\",\"cold_per_s\",\"sharded\","
	"\"warm_s\"],\"rows\":["
	"[\"plain\",\"/health\",130,3,5.2,null,null],"
	"[\"other\",\"/health\",130,3,5.2,null,null],"
	"[\"keyed\",\"/health\",130,3,5.2,true,3]]},"
	"\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":33554432,"
	"\"header_timeout_s\":3,\"idle_timeout_s\":15}}";

static struct entry_rig rig;
/* Highest number of descriptors that a case saw open. */
static unsigned int most_open;

/* Returns the peak of the daemon's resident set. */
static int64_t resident_peak_kib(void)
{
	char *path = g_strdup_printf("/proc/%d/status",
				     (int)process_pid(rig.entries[0].process));
	char *text = NULL;
	const char *at = NULL;
	int64_t kib = -1;

	if (g_file_get_contents(path, &text, NULL, NULL))
		at = strstr(text, "VmHWM:");
	if (at)
		kib = g_ascii_strtoll(at + strlen("VmHWM:"), NULL, 10);
	g_free(text);
	g_free(path);
	return kib;
}

/* Counts the daemon's open descriptors. */
static void count_open(void)
{
	char *path = g_strdup_printf("/proc/%d/fd",
				     (int)process_pid(rig.entries[0].process));
	DIR *dir = opendir(path);
	const struct dirent *entry;
	unsigned int count = 0;

	while (dir && (entry = readdir(dir)))
		count += entry->d_name[0] != '.';
	if (dir)
		closedir(dir);
	g_free(path);
	most_open = MAX(most_open, count);
}

/* Sends the largest allowed body and returns the status. */
static long send_largest(void)
{
	const char *headers[] = { "Host: app.example", "X-Deadline-Ms: 9000",
				  "X-Request-Id: largest", NULL };
	char *body = g_strnfill(BODY_BYTES, 'b');
	struct http_request request = {
		.address = rig.entries[0].callers,
		.uri = "/upload/largest",
		.headers = headers,
		.body = body,
	};
	long status = http_status(&request);

	g_free(body);
	return status;
}

static bool serves_largest(void *ctx)
{
	(void)ctx;
	return send_largest() == 200;
}

static bool serves_upload(void *ctx)
{
	char id[32];
	struct http_answer *answer = entry_send(&rig.entries[0], "/upload/a",
						NULL, 100, "small", id);
	long status = answer->status;

	(void)ctx;
	http_answer_destroy(answer);
	return status == 200;
}

static bool serves_ordinary(void *ctx)
{
	(void)ctx;
	return entry_status(&rig.entries[0], "/keyed/a", 100) == 200;
}

static void setup(void)
{
	static char vm_settings[64];

	most_open = 0;
	g_snprintf(vm_settings, sizeof(vm_settings),
		   "memory = %d\ndescriptors = %d\n", MEMORY_MB, DESCRIPTORS);
	rig.vm_settings = vm_settings;
	entry_rig_start(&rig, 1, 6);
	entry_rig_command(&rig, "/control/config", config);
	CU_ASSERT_TRUE_FATAL(
		process_wait_until(serves_upload, NULL, RIG_WAIT_US));
}

/* Checks the peak of the resident set. */
static void check_resident(const char *name)
{
	int64_t peak = resident_peak_kib();

	printf("# %s: resident peak %" G_GINT64_FORMAT " KiB of "
	       "%" G_GINT64_FORMAT "\n",
	       name, peak, RESIDENT_KIB_MAX);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
	/* Shadow memory and quarantine multiply the resident set. */
	printf("# %s: sanitizer build, bound on the resident set skipped\n",
	       name);
#else
	CU_ASSERT_TRUE(peak > 0 && peak <= RESIDENT_KIB_MAX);
#endif
}

static void check_bounds(const char *name, const struct crowd *crowd)
{
	printf("# %s: sent %" G_GUINT64_FORMAT " MB, %u descriptors of %d, "
	       "%u connections left open, 200: %u 408: %u 413: %u 503: %u\n",
	       name, crowd_sent_bytes(crowd) >> 20, most_open, OPEN_MAX,
	       crowd_open(crowd), crowd_status_count(crowd, 200),
	       crowd_status_count(crowd, 408), crowd_status_count(crowd, 413),
	       crowd_status_count(crowd, 503));
	CU_ASSERT_TRUE(process_running(rig.entries[0].process));
	CU_ASSERT_TRUE(most_open > 0 && most_open <= OPEN_MAX);
	check_resident(name);
}

/* Runs a crowd against a daemon, then checks the bounds, an ordinary request
 * beside the crowd's open connections, and the largest request after it. */
static void run_crowd(const char *name, unsigned int callers,
		      const struct crowd_message *message,
		      const struct crowd_message *eighth)
{
	struct crowd *crowd;

	crowd = crowd_create(rig.entries[0].callers, callers, message, eighth);
	crowd_run(crowd, STILL_MS);
	count_open();
	CU_ASSERT_TRUE(process_running(rig.entries[0].process));
	CU_ASSERT_TRUE(process_wait_until(serves_ordinary, NULL, RIG_WAIT_US));
	count_open();
	check_bounds(name, crowd);
	crowd_destroy(crowd);
	CU_ASSERT_TRUE(process_wait_until(serves_largest, NULL, RIG_WAIT_US));
	CU_ASSERT_TRUE(process_running(rig.entries[0].process));
}

/* Returns a chunk of a body; the caller frees it. */
static char *chunk_of(size_t payload, size_t *len)
{
	char *data = g_strnfill(payload, 'c');
	char *chunk = g_strdup_printf("%zx\r\n%s\r\n", payload, data);

	g_free(data);
	*len = strlen(chunk);
	return chunk;
}

/* Runs a crowd that sends bodies of a length, of which all but each eighth
 * caller may leave out the end. */
static void run_lengths(const char *name, bool short_of_end)
{
	char *head = g_strdup_printf(
		POST_HEAD "Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
		BODY_BYTES);
	char *block = g_strnfill(65536, 'b');
	struct crowd_message whole = {
		.head = head,
		.heads = 1,
		.block = block,
		.block_len = 65536,
		.block_bytes = BODY_BYTES,
	};
	struct crowd_message cut = whole;

	cut.block_bytes = BODY_BYTES - 100;
	setup();
	run_crowd(name, SENDERS, short_of_end ? &cut : &whole, &whole);
	entry_rig_stop(&rig);
	g_free(block);
	g_free(head);
}

static void whole_bodies(void)
{
	run_lengths("whole bodies", false);
}

static void bodies_cut_short(void)
{
	run_lengths("bodies cut short", true);
}

/* Runs a crowd that sends chunked bodies, of which all but each eighth caller
 * leave out the end. */
static void run_chunks(const char *name, size_t chunk, uint64_t payload)
{
	size_t len;
	char *block = chunk_of(chunk, &len);
	struct crowd_message whole = {
		.head = CHUNKED_HEAD,
		.heads = 1,
		.block = block,
		.block_len = len,
		.block_bytes = payload / chunk * len,
		.tail = "0\r\n\r\n",
	};
	struct crowd_message cut = whole;

	cut.tail = "0\r\n";
	setup();
	run_crowd(name, SENDERS, &cut, &whole);
	entry_rig_stop(&rig);
	g_free(block);
}

static void large_chunks(void)
{
	run_chunks("large chunks", 1 << 20, BODY_BYTES);
}

static void small_chunks(void)
{
	run_chunks("small chunks", SMALL_CHUNK, SMALL_CHUNKS_PAYLOAD);
}

static void announced_too_large(void)
{
	char *block = g_strnfill(65536, 'b');
	struct crowd_message message = {
		.head = POST_HEAD "Content-Length: 1099511627776\r\n\r\n",
		.heads = 1,
		.block = block,
		.block_len = 65536,
		.block_bytes = ENDLESS_BYTES,
	};

	setup();
	run_crowd("announced too large", SENDERS, &message, NULL);
	entry_rig_stop(&rig);
	g_free(block);
}

static void chunked_without_end(void)
{
	size_t len;
	char *block = chunk_of(65536, &len);
	struct crowd_message message = {
		.head = CHUNKED_HEAD,
		.heads = 1,
		.block = block,
		.block_len = len,
		.block_bytes = ENDLESS_BYTES,
	};

	setup();
	run_crowd("chunked without end", SENDERS, &message, NULL);
	entry_rig_stop(&rig);
	g_free(block);
}

static void silent_connections(void)
{
	struct crowd_message silent = { 0 };
	struct crowd_message part = { .head = POST_HEAD, .heads = 1 };

	setup();
	run_crowd("silent connections", CONNECTIONS, &silent, &part);
	entry_rig_stop(&rig);
}

static void late_readers(void)
{
	/* No X-Request-Id, since the stub doesn't echo it. */
	static const struct crowd_message message = {
		.head = "GET /plain/a HTTP/1.1\r\nHost: app.example\r\n"
			"X-Deadline-Ms: 9000\r\n\r\n",
		.heads = LATE_REQUESTS,
		.no_read = true,
	};
	static const struct stub_reply reply = {
		.bytes = "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
			 "Content-Length: 1048576\r\n\r\n",
		.zero_bytes = ANSWER_BYTES,
	};
	struct stub_upstream *stub = stub_upstream_start();

	setup();
	stub_upstream_set_reply(stub, &reply);
	entry_rig_command(&rig, "/control/list-at?id=0",
			  stub_upstream_address(stub));
	entry_rig_command(&rig, "/control/drain?id=1", NULL);
	g_usleep(G_USEC_PER_SEC);
	run_crowd("late readers", LATE_READERS, &message, NULL);
	printf("# late readers: %u requests ran\n",
	       stub_upstream_run_count(stub));
	CU_ASSERT_TRUE(stub_upstream_run_count(stub) > 0);
	entry_rig_stop(&rig);
	stub_upstream_stop(stub);
}

/* Guards against limits that also refuse a single caller, and against copies of
 * its body that exceed the memory. */
static void largest_in_calm(void)
{
	setup();
	CU_ASSERT_EQUAL(send_largest(), 200);
	check_resident("largest in calm");
	entry_rig_stop(&rig);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "many large bodies sent whole", whole_bodies },
		{ "many large bodies that stop short of their end",
		  bodies_cut_short },
		{ "many bodies in large chunks without their end",
		  large_chunks },
		{ "many bodies in small chunks without their end",
		  small_chunks },
		{ "bodies announced as far too large", announced_too_large },
		{ "chunked bodies without an end", chunked_without_end },
		{ "many connections that send no request", silent_connections },
		{ "many callers that don't read their answers", late_readers },
		{ "one request with the largest body in calm",
		  largest_in_calm },
		{ 0 },
	};

	return suite_run("entry_clients", cases);
}
