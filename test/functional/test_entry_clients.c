/*
 * Callers that nobody controls send more than the daemon's memory and
 * descriptors can hold. Guards against a process that grows until the machine
 * ends it, and against one that lives but serves nobody any more.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_stub_upstream.h"
#include "limited_suite.h"

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

/* Runs a crowd in which each eighth caller may send another message. */
static void run_crowd(const char *name, unsigned int callers,
		      const struct crowd_message *message,
		      const struct crowd_message *eighth)
{
	struct limited_result result;

	limited_run_crowd(name,
			  crowd_create(limited_rig.entries[0].callers, callers,
				       message, eighth),
			  false, &result);
	limited_check_result(&result);
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
	char *head =
		g_strdup_printf(LIMITED_POST_HEAD
				"Content-Length: %" G_GUINT64_FORMAT "\r\n\r\n",
				LIMITED_BODY_BYTES);
	char *block = g_strnfill(65536, 'b');
	struct crowd_message whole = {
		.head = head,
		.heads = 1,
		.block = block,
		.block_len = 65536,
		.block_bytes = LIMITED_BODY_BYTES,
	};
	struct crowd_message cut = whole;

	cut.block_bytes = LIMITED_BODY_BYTES - 100;
	CU_ASSERT_TRUE_FATAL(limited_start(1));
	run_crowd(name, SENDERS, short_of_end ? &cut : &whole, &whole);
	limited_stop();
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
		.head = LIMITED_CHUNKED_HEAD,
		.heads = 1,
		.block = block,
		.block_len = len,
		.block_bytes = payload / chunk * len,
		.tail = "0\r\n\r\n",
	};
	struct crowd_message cut = whole;

	cut.tail = "0\r\n";
	CU_ASSERT_TRUE_FATAL(limited_start(1));
	run_crowd(name, SENDERS, &cut, &whole);
	limited_stop();
	g_free(block);
}

static void large_chunks(void)
{
	run_chunks("large chunks", 1 << 20, LIMITED_BODY_BYTES);
}

static void small_chunks(void)
{
	run_chunks("small chunks", SMALL_CHUNK, SMALL_CHUNKS_PAYLOAD);
}

static void announced_too_large(void)
{
	char *block = g_strnfill(65536, 'b');
	struct crowd_message message = {
		.head = LIMITED_POST_HEAD
		"Content-Length: 1099511627776\r\n\r\n",
		.heads = 1,
		.block = block,
		.block_len = 65536,
		.block_bytes = ENDLESS_BYTES,
	};

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	run_crowd("announced too large", SENDERS, &message, NULL);
	limited_stop();
	g_free(block);
}

static void chunked_without_end(void)
{
	size_t len;
	char *block = chunk_of(65536, &len);
	struct crowd_message message = {
		.head = LIMITED_CHUNKED_HEAD,
		.heads = 1,
		.block = block,
		.block_len = len,
		.block_bytes = ENDLESS_BYTES,
	};

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	run_crowd("chunked without end", SENDERS, &message, NULL);
	limited_stop();
	g_free(block);
}

static void silent_connections(void)
{
	struct crowd_message silent = { 0 };
	struct crowd_message part = { .head = LIMITED_POST_HEAD, .heads = 1 };

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	run_crowd("silent connections", CONNECTIONS, &silent, &part);
	limited_stop();
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

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	stub_upstream_set_reply(stub, &reply);
	entry_rig_command(&limited_rig, "/control/list-at?id=0",
			  stub_upstream_address(stub));
	entry_rig_command(&limited_rig, "/control/drain?id=1", NULL);
	g_usleep(G_USEC_PER_SEC);
	run_crowd("late readers", LATE_READERS, &message, NULL);
	printf("# late readers: %u requests ran\n",
	       stub_upstream_run_count(stub));
	CU_ASSERT_TRUE(stub_upstream_run_count(stub) > 0);
	limited_stop();
	stub_upstream_stop(stub);
}

/* Guards against limits that also refuse a single caller, and against copies of
 * its body that exceed the memory. */
static void largest_in_calm(void)
{
	CU_ASSERT_TRUE_FATAL(limited_start(1));
	CU_ASSERT_EQUAL(limited_send_largest(), 200);
	CU_ASSERT_TRUE(limited_is_resident_bounded("largest in calm", 0));
	limited_stop();
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
