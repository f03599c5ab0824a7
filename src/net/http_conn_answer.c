#include "net/http_conn.h"

#include <string.h>

/* Size of an answer's head that is assumed for its account. */
#define ANSWER_HEAD_BYTES ((size_t)512)
/* The Connection fields that the server sends. The head of an answer is moved
 * to make room for one; its body, which may be large, stays. */
#define KEEP_ALIVE "Connection: keep-alive\r\n"
#define CLOSE "Connection: close\r\n"
#define FIELD_ROOM (sizeof(KEEP_ALIVE) - 1)

struct status_text {
	unsigned int status;
	const char *text;
};

static const struct status_text status_texts[] = {
	{ 200, "OK" },
	{ 400, "Bad Request" },
	{ 404, "Not Found" },
	{ 408, "Request Timeout" },
	{ 413, "Content Too Large" },
	{ 421, "Misdirected Request" },
	{ 429, "Too Many Requests" },
	{ 431, "Request Header Fields Too Large" },
	{ 500, "Internal Server Error" },
	{ 502, "Bad Gateway" },
	{ 503, "Service Unavailable" },
	{ 504, "Gateway Timeout" },
};

const char *http_reason(unsigned int status)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(status_texts); i++)
		if (status_texts[i].status == status)
			return status_texts[i].text;
	return "Status";
}

static bool request_is(const struct http_request *request, const char *method)
{
	return !strcmp(request->method->str, method);
}

/* Writes the Connection field, if any, in front of the empty line behind the
 * answer's head.
 *
 * @return position at which the answer begins */
static size_t insert_field(const struct http_request *request, struct str field)
{
	char *text = request->answer->str;
	size_t begin = FIELD_ROOM - field.len;

	memmove(text + begin, text + FIELD_ROOM,
		request->answer_head - FIELD_ROOM);
	if (field.len)
		memcpy(text + request->answer_head - field.len, field.data,
		       field.len);
	return begin;
}

void http_conn_next_answer(struct http_conn *conn)
{
	struct http_request *request = g_queue_peek_head(&conn->requests);
	GString *written = conn->out;
	struct str field = { 0 };

	if (!request || !request->answer || written->len)
		return;
	if (http_conn_answer_closes(conn)) {
		conn->closing = true;
		field = STR(CLOSE);
	} else if (request->http10) {
		field = STR(KEEP_ALIVE);
	}
	/* The text moves without a copy. */
	conn->out_sent = insert_field(request, field);
	if (conn->begun)
		conn->out_sent += strlen(BEGINNING);
	conn->begun = false;
	conn->out = request->answer;
	conn->out_held = request->answer_held;
	request->answer = written;
	request->answer_held = 0;
	g_queue_pop_head(&conn->requests);
	conn->server->requests--;
	http_request_free(request);
	conn->last_activity_s = loop_now(conn->server->loop);
}

/* Whether an answer's body is part of its request's body. */
static bool is_echo(const struct http_request *request,
		    const struct http_answer *answer)
{
	return answer->body.len && answer->body.data >= request->body->str &&
	       answer->body.data <= request->body->str + request->body->len;
}

/* Returns the text of an answer as http_request.answer describes it. */
static GString *write_answer(struct http_request *request,
			     const struct http_answer *answer)
{
	GString *out = g_string_sized_new(answer->body.len + ANSWER_HEAD_BYTES);
	size_t i;

	g_string_set_size(out, FIELD_ROOM);
	memset(out->str, ' ', FIELD_ROOM);
	g_string_append_printf(out, BEGINNING "%u %s\r\n", answer->status,
			       http_reason(answer->status));
	for (i = 0; answer->headers && i < headers_count(answer->headers);
	     i++) {
		const struct header *h = headers_at(answer->headers, i);

		g_string_append_printf(out, "%.*s: %.*s\r\n", STR_ARG(h->name),
				       STR_ARG(h->value));
	}
	if (answer->status != 204 && answer->status != 304)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       answer->body.len);
	request->answer_head = out->len;
	g_string_append(out, "\r\n");
	if (!request_is(request, "HEAD") && answer->body.len)
		g_string_append_len(out, answer->body.data,
				    (gssize)answer->body.len);
	return out;
}

void http_request_answer(struct http_request *request,
			 const struct http_answer *answer)
{
	struct http_conn *conn = request->conn;
	size_t held = answer->body.len + ANSWER_HEAD_BYTES;

	request->data = NULL;
	if (!is_echo(request, answer))
		http_request_free_body(request);
	if (!http_conn_hold(conn, held, true)) {
		http_conn_drop_answer(request, held);
		return;
	}
	request->answer_held = held;
	request->answer = write_answer(request, answer);
	http_request_free_body(request);
	conn->wait_until_s = MAX(conn->wait_until_s, request->wait_until_s);
	http_conn_update_state(conn);
	http_conn_flush(conn);
}

void http_request_abort(struct http_request *request)
{
	struct http_conn *conn = request->conn;

	request->data = NULL;
	request->answer = g_string_new(NULL);
	http_conn_close(conn);
}

void http_conn_reject(struct http_conn *conn, unsigned int status)
{
	struct http_request *request = conn->reading;
	struct headers *headers = headers_create();
	struct http_answer answer = { .status = status, .headers = headers };

	if (status == 503)
		headers_add(headers, STR("Retry-After"), STR(REFUSED_RETRY_S));
	if (!request)
		request = http_request_create(conn);
	http_conn_narrow(conn);
	conn->reading = NULL;
	conn->closing = true;
	g_queue_push_tail(&conn->requests, request);
	conn->server->requests++;
	http_request_answer(request, &answer);
	headers_destroy(headers);
}
