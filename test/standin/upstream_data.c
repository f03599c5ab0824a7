#include <errno.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/types.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/verdict.h"
#include "pattern.h"
#include "upstream.h"

#define HEX_BASE 16
/* Size of the buffer for a 64-bit number as text. */
#define NUMBER_SIZE 24
/* Length of a response body without the query parameter "bytes". */
#define DEFAULT_BYTES 64
/* Response bodies up to this length are sent in one piece with the headers. */
#define ONE_PIECE_LIMIT ((uint64_t)16 * 1024)
/* Size of the parts in which longer bodies are generated and sent. */
#define BLOCK_SIZE ((size_t)64 * 1024)
/* Time between two checks whether a silent connection still is. */
#define SILENT_POLL_MS 100
/* Longest wait for a slot; requests without a deadline wait as long. */
#define SLOT_WAIT_MAX_US (600 * US_PER_SECOND)

/* A response body that is generated while it is sent. */
struct stream {
	struct upstream *upstream;
	/* The request that is answered. */
	struct standin_call call;
	/* Seed of the body's bytes, see pattern.h. */
	uint64_t seed;
	/* Offset in the body at which the connection is closed; UINT64_MAX: the
	 * body is sent to its end. */
	uint64_t truncate_at;
};

static bool connection_is_silent(struct upstream *upstream,
				 uint64_t conn_number)
{
	bool silent;

	pthread_mutex_lock(&upstream->lock);
	silent = conn_number <= upstream->faults.silent_up_to;
	pthread_mutex_unlock(&upstream->lock);
	return silent;
}

bool upstream_wait_while_silent(struct upstream *upstream,
				const struct standin_call *call)
{
	const union MHD_ConnectionInfo *info;
	struct pollfd fd = { .events = POLLRDHUP };

	if (!connection_is_silent(upstream, call->conn_number))
		return false;
	info = MHD_get_connection_info(call->conn,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	fd.fd = info->connect_fd;
	while (poll(&fd, 1, SILENT_POLL_MS) == 0 &&
	       connection_is_silent(upstream, call->conn_number))
		;
	return true;
}

static void add_number_header(struct MHD_Response *response, const char *name,
			      uint64_t number)
{
	char text[NUMBER_SIZE];

	snprintf(text, sizeof(text), "%" PRIu64, number);
	MHD_add_response_header(response, name, text);
}

/* Queues a response and drops the reference to it. */
static enum MHD_Result send_response(const struct standin_call *call,
				     unsigned int status,
				     struct MHD_Response *response)
{
	enum MHD_Result result =
		MHD_queue_response(call->conn, status, response);

	MHD_destroy_response(response);
	return result;
}

/* Responds that a request was not executed, and why. A refusal for a key that
 * the upstream doesn't own tells the router the upstream's epoch. */
static enum MHD_Result refuse(struct upstream *upstream,
			      const struct standin_call *call,
			      unsigned int status, enum verdict_reason reason)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		0, NULL, MHD_RESPMEM_PERSISTENT);

	MHD_add_response_header(response, "Auburn-Verdict",
				verdict_kind_name(VERDICT_NOT_RUN));
	MHD_add_response_header(response, "Auburn-Reason",
				verdict_reason_name(reason));
	MHD_add_response_header(response, "Auburn-Boot", upstream->boot);
	if (reason == REASON_NOT_OWNER)
		add_number_header(response, "Auburn-Epoch",
				  grants_epoch(upstream->grants));
	return send_response(call, status, response);
}

/* Responds to a request that got no slot; result is not SLOT_OK. */
static enum MHD_Result refuse_slot(struct upstream *upstream,
				   const struct standin_call *call,
				   enum slot_result result)
{
	static const enum verdict_reason reasons[] = {
		[SLOT_SHED] = REASON_UPSTREAM_SHED,
		[SLOT_COLD] = REASON_UPSTREAM_COLD,
		[SLOT_DRAINING] = REASON_SHUTTING_DOWN,
		[SLOT_DEADLINE] = REASON_DEADLINE_IN_QUEUE,
		[SLOT_CANCELLED] = REASON_CANCELLED,
	};

	return refuse(upstream, call, MHD_HTTP_SERVICE_UNAVAILABLE,
		      reasons[result]);
}

/* Returns the record entry of a request, with the headers that routers add to
 * it. The texts belong to the request; at_us is not set yet. */
static struct run read_routing_headers(const struct standin_call *call)
{
	const char *hash = standin_header(call, "Auburn-Key-Hash");
	const char *epoch = standin_header(call, "Auburn-Epoch");
	struct run run = {
		.keyed = hash != NULL,
		.request_id = standin_header(call, "Auburn-Request-Id"),
		.attempt = standin_header(call, "Auburn-Attempt"),
		.work_id = standin_header(call, "Idempotency-Key"),
		.load_id = standin_header(call, "Load-Id"),
		.method = call->method,
		.uri = call->uri,
	};

	if (hash)
		run.hash = g_ascii_strtoull(hash, NULL, HEX_BASE);
	if (epoch)
		run.epoch = g_ascii_strtoull(epoch, NULL, 10);
	return run;
}

/* Returns the hash of a request's key: the second segment of its path. */
static uint64_t hash_of_path(const char *path)
{
	const char *key = strchr(path + 1, '/');
	const char *end;

	if (!key)
		return hash_key(STR(""));
	key++;
	end = strchr(key, '/');
	return hash_key(
		(struct str){ key, end ? (size_t)(end - key) : strlen(key) });
}

/* Records a violation if a router sent another key hash than the path's. */
static void check_hash(struct upstream *upstream,
		       const struct standin_call *call, const struct run *run)
{
	if (run->keyed && run->hash != hash_of_path(call->path))
		record_violation(upstream->record, "wrong-key-hash");
}

/* Kills the process if a request contains the text that makes it crash. */
static void crash_if_requested(const struct upstream *upstream,
			       const struct standin_call *call)
{
	const char *text = upstream->crash_text;

	if (!*text)
		return;
	if (strstr(call->uri, text) ||
	    memmem(call->body, call->body_len, text, strlen(text)))
		kill(getpid(), SIGKILL);
}

/* Decrements the count of an injected fault unless it is 0.
 *
 * @return whether the fault applies to this response */
static bool consume_fault(struct upstream *upstream, int64_t *count)
{
	bool applies;

	pthread_mutex_lock(&upstream->lock);
	applies = *count > 0;
	if (applies)
		--*count;
	pthread_mutex_unlock(&upstream->lock);
	return applies;
}

/* Generates at most max bytes of a body from offset on; called by the HTTP
 * library for each part. Returns their number, or an error that makes the
 * library close the connection. */
static ssize_t read_stream(void *ctx, uint64_t offset, char *buf, size_t max)
{
	struct stream *stream = ctx;

	if (upstream_wait_while_silent(stream->upstream, &stream->call) ||
	    offset >= stream->truncate_at)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > stream->truncate_at - offset)
		max = (size_t)(stream->truncate_at - offset);
	pattern_fill(stream->seed, offset, buf, max);
	return (ssize_t)max;
}

/* Same as read_stream(), but for a chunked response: also tells the HTTP
 * library, which does not know the length, where the body ends. */
static ssize_t read_chunks(void *ctx, uint64_t offset, char *buf, size_t max)
{
	struct stream *stream = ctx;
	uint64_t bytes = (uint64_t)standin_query_int(stream->call.conn, "bytes",
						     DEFAULT_BYTES);

	if (offset >= bytes)
		return MHD_CONTENT_READER_END_OF_STREAM;
	return read_stream(ctx, offset, buf,
			   (size_t)MIN((uint64_t)max, bytes - offset));
}

/* Creates a response whose body is generated while it is sent. */
static struct MHD_Response *stream_response(struct upstream *upstream,
					    const struct standin_call *call,
					    uint64_t seed, uint64_t bytes,
					    bool cut_short)
{
	bool chunked = standin_query_int(call->conn, "chunked", 0) != 0;
	struct stream *stream = g_new0(struct stream, 1);

	stream->upstream = upstream;
	stream->call = *call;
	stream->seed = seed;
	stream->truncate_at = cut_short ? bytes / 2 : UINT64_MAX;
	return MHD_create_response_from_callback(
		chunked ? MHD_SIZE_UNKNOWN : bytes, BLOCK_SIZE,
		chunked ? read_chunks : read_stream, stream, g_free);
}

/* Creates a response whose body is generated at once. */
static struct MHD_Response *small_response(uint64_t seed, uint64_t bytes)
{
	char *body = g_malloc(bytes + 1);

	pattern_fill(seed, 0, body, bytes);
	return MHD_create_response_from_buffer_with_free_callback(bytes, body,
								  g_free);
}

static struct MHD_Response *make_response(struct upstream *upstream,
					  const struct standin_call *call,
					  uint64_t seed, uint64_t bytes,
					  bool cut_short)
{
	bool chunked = standin_query_int(call->conn, "chunked", 0) != 0;

	if (bytes <= ONE_PIECE_LIMIT && !cut_short && !chunked)
		return small_response(seed, bytes);
	return stream_response(upstream, call, seed, bytes, cut_short);
}

/* Responds to an executed request, as the query parameters and the injected
 * faults say. */
static enum MHD_Result answer(struct upstream *upstream,
			      const struct standin_call *call,
			      const struct run *run)
{
	uint64_t bytes =
		(uint64_t)standin_query_int(call->conn, "bytes", DEFAULT_BYTES);
	uint64_t seed =
		pattern_seed(str_from(run->load_id), str_from(call->uri));
	bool cut_short = consume_fault(upstream, &upstream->faults.truncate);
	struct MHD_Response *response;

	if (consume_fault(upstream, &upstream->faults.shorten))
		bytes /= 2;
	if (consume_fault(upstream, &upstream->faults.garble))
		seed++;
	response = make_response(upstream, call, seed, bytes, cut_short);
	MHD_add_response_header(response, "Auburn-Verdict",
				verdict_kind_name(VERDICT_RAN));
	MHD_add_response_header(response, "Auburn-Boot", upstream->boot);
	MHD_add_response_header(response, "Standin-Upstream", upstream->id);
	if (run->load_id)
		MHD_add_response_header(response, "Load-Id", run->load_id);
	add_number_header(response, "Standin-Body-Hash",
			  hash_key((struct str){ call->body, call->body_len }));
	return send_response(call,
			     (unsigned int)standin_query_int(
				     call->conn, "status", MHD_HTTP_OK),
			     response);
}

/* Executes a request that holds a slot, and responds. */
static enum MHD_Result run_in_slot(struct upstream *upstream,
				   const struct standin_call *call,
				   struct run *run, struct slot *slot)
{
	/* The grant may have expired while the request was queued. */
	if (run->keyed &&
	    !grants_allow(upstream->grants, run->hash, run->epoch))
		return refuse(upstream, call, MHD_HTTP_MISDIRECTED_REQUEST,
			      REASON_NOT_OWNER);
	run->at_us = clock_now_us(clock_system());
	record_run(upstream->record, run);
	crash_if_requested(upstream, call);
	slots_run(upstream->slots, slot,
		  standin_query_int(call->conn, "run_us", -1));
	if (upstream_wait_while_silent(upstream, call) ||
	    consume_fault(upstream, &upstream->faults.reset_after_run))
		return MHD_NO;
	return answer(upstream, call, run);
}

/* Returns the time after which a request may not start; monotonic clock. The
 * header gives the time that is left. */
static int64_t deadline_of(const struct standin_call *call)
{
	const char *text = standin_header(call, "Auburn-Deadline-Ms");
	int64_t left_us = SLOT_WAIT_MAX_US;

	if (text)
		left_us = g_ascii_strtoll(text, NULL, 10) * US_PER_MS;
	return clock_now_us(clock_system()) + MIN(left_us, SLOT_WAIT_MAX_US);
}

/* Returns whether a request only asks which incarnation answers, as routers do
 * on a new connection. */
static bool is_probe(const struct standin_call *call)
{
	return !strcmp(call->method, "HEAD") && !strcmp(call->path, "/");
}

/* Responds to a probe with the incarnation id, without taking a slot. */
static enum MHD_Result answer_probe(struct upstream *upstream,
				    const struct standin_call *call)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		0, NULL, MHD_RESPMEM_PERSISTENT);

	MHD_add_response_header(response, "Auburn-Boot", upstream->boot);
	return send_response(call, MHD_HTTP_NO_CONTENT, response);
}

enum MHD_Result upstream_data_handle(void *ctx, const struct standin_call *call)
{
	struct upstream *upstream = ctx;
	struct run run = read_routing_headers(call);
	enum slot_result result;
	enum MHD_Result sent;
	struct slot *slot;

	if (upstream_wait_while_silent(upstream, call))
		return MHD_NO;
	if (is_probe(call))
		return answer_probe(upstream, call);
	check_hash(upstream, call, &run);
	if (run.keyed && !grants_allow(upstream->grants, run.hash, run.epoch))
		return refuse(upstream, call, MHD_HTTP_MISDIRECTED_REQUEST,
			      REASON_NOT_OWNER);
	result = slots_acquire(upstream->slots,
			       run.request_id ? run.request_id : "",
			       deadline_of(call), &slot);
	if (result != SLOT_OK)
		return refuse_slot(upstream, call, result);
	sent = run_in_slot(upstream, call, &run, slot);
	slots_release(upstream->slots, slot);
	return sent;
}
