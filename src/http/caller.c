#include <errno.h>
#include <jansson.h>
#include <string.h>
#include <sys/socket.h>

#include "base/error.h"
#include "http/caller_internal.h"

/* Answers that are complete and have a body of up to this size are passed to
 * MHD as one buffer. */
#define WHOLE_ANSWER_BYTES ((size_t)64 << 10)
/* Size of the blocks in which MHD reads the body of any other answer. */
#define ANSWER_BLOCK_BYTES ((size_t)32 << 10)
/* Maximum length of a request method. */
#define METHOD_MAX_BYTES 16
/* Number of random 32-bit words in a request id. */
#define ID_WORDS 4

static struct connection *connection_of(const struct caller *caller)
{
	return MHD_get_connection_info(caller->mhd,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static void make_id(struct caller *caller)
{
	int i;

	for (i = 0; i < ID_WORDS; i++)
		g_snprintf(caller->id + (ptrdiff_t)i * 8, 9, "%08x",
			   g_rand_int(caller->server->random));
}

struct caller *caller_create(struct caller_server *server,
			     struct MHD_Connection *mhd, const char *target)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->server = server;
	caller->mhd = mhd;
	caller->target = g_strdup(target);
	caller->headers = headers_create();
	caller->link.data = caller;
	make_id(caller);
	g_queue_push_tail_link(&server->callers, &caller->link);
	connection_of(caller)->busy = true;
	return caller;
}

void caller_free(struct caller *caller)
{
	struct connection *connection = connection_of(caller);

	if (connection)
		connection->busy = false;
	g_queue_unlink(&caller->server->callers, &caller->link);
	if (caller->response)
		MHD_destroy_response(caller->response);
	headers_destroy(caller->headers);
	body_unref(caller->upload);
	body_unref(caller->answer);
	g_free(caller->target);
	g_free(caller->method);
	g_free(caller);
}

static void suspend_connection(struct caller *caller)
{
	caller->suspended = true;
	MHD_suspend_connection(caller->mhd);
}

void caller_resume(struct caller *caller)
{
	if (!caller->suspended)
		return;
	caller->suspended = false;
	caller->server->resumed = true;
	MHD_resume_connection(caller->mhd);
}

/* Header fields copied from MHD. */
struct header_copy {
	struct headers *headers;
	/* Number of Host fields. */
	unsigned int host_fields;
	/* A field was not copied, since it is malformed. */
	bool malformed;
};

static enum MHD_Result add_request_header(void *cls, enum MHD_ValueKind kind,
					  const char *name, size_t name_len,
					  const char *value, size_t value_len)
{
	struct header_copy *copy = cls;
	struct str n = { name, name_len };

	(void)kind;
	if (!headers_add(copy->headers, n,
			 (struct str){ value ? value : "", value_len }))
		copy->malformed = true;
	if (headers_name_equal(n, STR("host")))
		copy->host_fields++;
	return MHD_YES;
}

static bool method_allowed(const char *method)
{
	size_t i;

	for (i = 0; method[i]; i++)
		if (!g_ascii_isupper(method[i]) || i >= METHOD_MAX_BYTES)
			return false;
	/* These methods address the proxy itself, not the upstream. */
	return i && strcmp(method, "CONNECT") != 0 &&
	       strcmp(method, "TRACE") != 0;
}

/* Copies method and header fields.
 *
 * @return false when the head is malformed or the body's length is ambiguous */
static bool read_head(struct caller *caller, const char *method,
		      const char *version)
{
	struct header_copy copy = { .headers = caller->headers };
	bool http11 = !strcmp(version, "HTTP/1.1");

	caller->method = g_strdup(method);
	MHD_get_connection_values_n(caller->mhd, MHD_HEADER_KIND,
				    add_request_header, &copy);
	if (copy.malformed || copy.host_fields > 1 ||
	    (http11 && !copy.host_fields) ||
	    (!http11 && strcmp(version, "HTTP/1.0") != 0) ||
	    !method_allowed(method) ||
	    !headers_body_length(caller->headers, &caller->upload_length, NULL))
		return false;
	/* A request without a length field has no body. */
	if (caller->upload_length == HEADERS_LENGTH_UNTIL_CLOSE)
		caller->upload_length = 0;
	headers_strip(caller->headers);
	return true;
}

static enum MHD_Result queue_response(struct caller *caller)
{
	enum MHD_Result result = MHD_queue_response(caller->mhd, caller->status,
						    caller->response);

	MHD_destroy_response(caller->response);
	caller->response = NULL;
	caller->stage = CALLER_ANSWERING;
	return result;
}

/*
 * Returns whether to read and discard the body before sending the refusal.
 * Closing while the caller still sends would reset the connection and lose the
 * refusal. A caller that waits for "100 Continue" sends no body yet, so it is
 * refused at once.
 */
static bool discards_short_upload(struct caller *caller)
{
	return caller->discarding && caller->upload_length > 0 &&
	       (uint64_t)caller->upload_length <= caller->discard_left &&
	       !MHD_lookup_connection_value(caller->mhd, MHD_HEADER_KIND,
					    "Expect");
}

static enum MHD_Result begin_request(struct caller *caller, const char *method,
				     const char *version)
{
	struct caller_server *server = caller->server;

	caller->stage = CALLER_UPLOADING;
	caller->upload = body_create(CALLER_UPLOAD_BYTES, CALLER_KEEP_BYTES);
	if (read_head(caller, method, version)) {
		server->ops->began(server->ctx, caller);
	} else {
		server->ops->began(server->ctx, caller);
		caller_refuse(caller, (struct verdict){ VERDICT_NOT_RUN,
							REASON_BAD_REQUEST });
	}
	/* MHD closes the connection after an answer that precedes the body. */
	if (caller->response && !discards_short_upload(caller))
		return queue_response(caller);
	return MHD_YES;
}

/* Discards bytes of the request body; closes the connection if there are more
 * than may be discarded. */
static enum MHD_Result discard(struct caller *caller, size_t *size)
{
	if (*size > caller->discard_left)
		return MHD_NO;
	caller->discard_left -= *size;
	*size = 0;
	return MHD_YES;
}

static enum MHD_Result receive_upload(struct caller *caller, const char *data,
				      size_t *size)
{
	struct caller_server *server = caller->server;
	size_t appended;

	if (caller->discarding)
		return discard(caller, size);
	appended = body_append(caller->upload, (struct str){ data, *size });
	caller->uploaded += appended;
	*size -= appended;
	/* After the resume MHD passes the remaining bytes again. */
	if (*size)
		suspend_connection(caller);
	server->ops->uploaded(server->ctx, caller);
	return MHD_YES;
}

static void end_upload(struct caller *caller)
{
	struct caller_server *server = caller->server;

	caller->stage = CALLER_WAITING;
	body_end(caller->upload);
	server->ops->uploaded(server->ctx, caller);
}

enum MHD_Result caller_handle(struct caller *caller, const char *method,
			      const char *version, const char *data,
			      size_t *size)
{
	if (caller->aborted)
		return MHD_NO;
	if (caller->stage == CALLER_LINE)
		return begin_request(caller, method, version);
	if (*size)
		return receive_upload(caller, data, size);
	if (caller->stage == CALLER_UPLOADING)
		end_upload(caller);
	if (caller->response)
		return queue_response(caller);
	if (caller->stage == CALLER_WAITING)
		suspend_connection(caller);
	return MHD_YES;
}

void *caller_data(const struct caller *caller)
{
	return caller->data;
}

void caller_set_data(struct caller *caller, void *data)
{
	caller->data = data;
}

struct str caller_method(const struct caller *caller)
{
	return str_from(caller->method);
}

struct str caller_target(const struct caller *caller)
{
	return str_from(caller->target);
}

const struct headers *caller_headers(const struct caller *caller)
{
	return caller->headers;
}

int64_t caller_upload_length(const struct caller *caller)
{
	return caller->upload_length;
}

struct body *caller_upload(const struct caller *caller)
{
	return caller->upload;
}

uint64_t caller_uploaded_bytes(const struct caller *caller)
{
	return caller->uploaded;
}

const char *caller_id(const struct caller *caller)
{
	return caller->id;
}

bool caller_answer_begun(const struct caller *caller)
{
	return caller->stage == CALLER_ANSWERING;
}

bool caller_answered(const struct caller *caller)
{
	return caller->stage == CALLER_ANSWERING || caller->response;
}

void caller_resume_upload(struct caller *caller)
{
	if (caller->stage == CALLER_UPLOADING)
		caller_resume(caller);
}

void caller_discard_upload(struct caller *caller, uint64_t limit)
{
	if (caller->stage != CALLER_UPLOADING || caller->discarding)
		return;
	caller->discarding = true;
	caller->discard_left = limit;
	caller_resume(caller);
}

/* Content reader of MHD: copies bytes of the answer's body into buf. */
static ssize_t read_answer(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct caller *caller = cls;
	struct caller_server *server = caller->server;
	struct str bytes = body_peek(caller->answer);
	size_t count = MIN(bytes.len, max);

	(void)pos;
	if (caller->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!count && body_ended(caller->answer))
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!count) {
		suspend_connection(caller);
		return 0;
	}
	memcpy(buf, bytes.data, count);
	body_consume(caller->answer, count);
	server->ops->drained(server->ctx, caller);
	return (ssize_t)count;
}

static void add_field(struct MHD_Response *response, struct str name,
		      struct str value)
{
	char *n, *v;

	/* MHD sets Content-Length itself and rejects empty values. */
	if (!value.len || headers_name_equal(name, STR("content-length")))
		return;
	n = str_dup(name);
	v = str_dup(value);
	MHD_add_response_header(response, n, v);
	g_free(n);
	g_free(v);
}

static struct MHD_Response *make_response(struct caller *caller, int64_t length,
					  struct body *body)
{
	struct str bytes = body_peek(body);
	bool head = !strcmp(caller->method, "HEAD");
	bool whole = body_ended(body) && bytes.len <= WHOLE_ANSWER_BYTES;

	if (whole && !head &&
	    (length < 0 || (uint64_t)length == (uint64_t)bytes.len))
		return MHD_create_response_from_buffer(
			bytes.len, (void *)bytes.data, MHD_RESPMEM_MUST_COPY);
	return MHD_create_response_from_callback(
		length >= 0 ? (uint64_t)length : MHD_SIZE_UNKNOWN,
		ANSWER_BLOCK_BYTES, read_answer, caller, NULL);
}

static void set_response(struct caller *caller, unsigned int status,
			 struct MHD_Response *response)
{
	caller->status = status;
	caller->response = response;
	MHD_add_response_header(response, "Auburn-Request-Id", caller->id);
	if (caller->server->keepalive_disabled)
		MHD_add_response_header(response, "Connection", "close");
	caller_resume(caller);
}

void caller_answer(struct caller *caller, unsigned int status,
		   const struct headers *headers, int64_t length,
		   struct body *body)
{
	struct MHD_Response *response;
	size_t i;

	if (caller_answered(caller))
		return;
	caller->answer = body_ref(body);
	response = make_response(caller, length, body);
	for (i = 0; i < headers_count(headers); i++) {
		const struct header *field = headers_at(headers, i);

		add_field(response, field->name, field->value);
	}
	set_response(caller, status, response);
}

void caller_resume_answer(struct caller *caller)
{
	if (caller->stage == CALLER_ANSWERING && caller->answer &&
	    (body_peek(caller->answer).len || body_ended(caller->answer)))
		caller_resume(caller);
}

void caller_abort(struct caller *caller)
{
	caller->aborted = true;
	/*
	 * MHD calls the handlers that check this flag only when the connection
	 * is resumed or its socket is ready. The shutdown makes it ready.
	 */
	if (!caller->suspended)
		shutdown(connection_of(caller)->fd, SHUT_RDWR);
	caller_resume(caller);
}

void caller_refuse(struct caller *caller, struct verdict verdict)
{
	const char *kind = verdict_kind_name(verdict.kind);
	const char *reason = verdict_reason_name(verdict.reason);
	struct MHD_Response *response;
	json_t *object;
	char *text;

	if (caller->stage == CALLER_ANSWERING)
		return;
	/* MHD has not seen this answer, so it can still be replaced. */
	if (caller->response)
		MHD_destroy_response(caller->response);
	object = json_pack("{ssssss}", "verdict", kind, "reason", reason,
			   "request_id", caller->id);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	response = MHD_create_response_from_buffer(strlen(text), text,
						   MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, "Content-Type", "application/json");
	MHD_add_response_header(response, "Auburn-Verdict", kind);
	MHD_add_response_header(response, "Auburn-Reason", reason);
	/* It is unknown where a malformed request ends and the next begins. */
	if (verdict.reason == REASON_BAD_REQUEST)
		MHD_add_response_header(response, "Connection", "close");
	set_response(caller, verdict_status(verdict), response);
}

bool caller_disconnected(const struct caller *caller)
{
	char byte;
	ssize_t n = recv(connection_of(caller)->fd, &byte, 1,
			 MSG_PEEK | MSG_DONTWAIT);

	return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}
