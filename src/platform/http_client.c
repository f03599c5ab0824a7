#include "platform/http_client.h"

#include <curl/curl.h>
#include <glib.h>

#include "base/clock.h"

/* Maximum size of a reply's body; a longer one ends the call with an error. */
#define BODY_MAX_BYTES (32u << 20)
/* Maximum number of descriptors for http_client_wait(). */
#define EXTRA_FDS_MAX 8u
/* Maximum number of open connections to one server; further calls wait. */
#define CONNECTIONS_PER_HOST 4L

/* A call in flight. */
struct transfer {
	struct http_client *client;
	CURL *easy;
	/* Header lines of the request. */
	struct curl_slist *headers;
	/* Body of the reply. */
	GByteArray *reply_body;
	/* Body of the request; libcurl does not copy it. */
	GByteArray *request_body;
	/* Value of the reply's ETag header as a number; 0 without one. */
	uint64_t etag;
	http_done_fn done;
	void *ctx;
};

struct http_client {
	CURLM *multi;
	/* Set of struct transfer *: the calls in flight. */
	GHashTable *transfers;
	/* Number of ended calls, and of the bytes that they sent and received.
	 */
	uint64_t calls, sent, received;
	/* http_client_abort_all() was called. */
	bool aborted;
};

struct http_client *http_client_create(void)
{
	struct http_client *client = g_new0(struct http_client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->multi = curl_multi_init();
	curl_multi_setopt(client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  CONNECTIONS_PER_HOST);
	client->transfers = g_hash_table_new(NULL, NULL);
	return client;
}

static void transfer_destroy(struct transfer *transfer)
{
	curl_multi_remove_handle(transfer->client->multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	g_byte_array_free(transfer->reply_body, TRUE);
	g_byte_array_free(transfer->request_body, TRUE);
	g_free(transfer);
}

void http_client_destroy(struct http_client *client)
{
	GHashTableIter iter;
	gpointer transfer;

	if (!client)
		return;
	g_hash_table_iter_init(&iter, client->transfers);
	while (g_hash_table_iter_next(&iter, &transfer, NULL))
		transfer_destroy(transfer);
	g_hash_table_destroy(client->transfers);
	curl_multi_cleanup(client->multi);
	g_free(client);
}

void http_client_abort_all(struct http_client *client)
{
	const struct http_answer unknown_outcome = {
		.result = HTTP_OUTCOME_UNKNOWN
	};
	GHashTableIter iter;
	gpointer transfer;

	client->aborted = true;
	g_hash_table_iter_init(&iter, client->transfers);
	while (g_hash_table_iter_next(&iter, &transfer, NULL)) {
		struct transfer *t = transfer;

		g_hash_table_iter_remove(&iter);
		t->done(t->ctx, &unknown_outcome);
		transfer_destroy(t);
	}
}

/* libcurl callback for body data. Returning 0 ends the call with an error. */
static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct transfer *transfer = ctx;
	size_t len = size * count;

	if (transfer->reply_body->len + len > BODY_MAX_BYTES)
		return 0;
	g_byte_array_append(transfer->reply_body, (const guint8 *)data,
			    (guint)len);
	return len;
}

/* libcurl callback for one header line; reads the ETag. */
static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	static const char name[] = "etag:";
	struct transfer *transfer = ctx;
	size_t len = size * count;
	char *line;

	if (len < sizeof(name) ||
	    g_ascii_strncasecmp(data, name, sizeof(name) - 1) != 0)
		return len;
	line = g_strndup(data + sizeof(name) - 1, len - sizeof(name) + 1);
	g_strdelimit(line, "\"", ' ');
	transfer->etag = g_ascii_strtoull(g_strstrip(line), NULL, 10);
	g_free(line);
	return len;
}

static void set_body(struct transfer *transfer, const struct http_call *call)
{
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	if (!call->body.len && strcmp(call->method, "POST") != 0 &&
	    strcmp(call->method, "PUT") != 0)
		return;
	g_byte_array_append(transfer->request_body,
			    (const guint8 *)call->body.data,
			    (guint)call->body.len);
	curl_easy_setopt(easy, CURLOPT_POST, 1L);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)transfer->request_body->len);
	curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
			 transfer->request_body->len
				 ? (const char *)transfer->request_body->data
				 : "");
}

static void set_headers(struct transfer *transfer, const struct http_call *call)
{
	const char *const *line;

	/* Stops libcurl from waiting for "100 Continue" before the body. */
	transfer->headers = curl_slist_append(NULL, "Expect:");
	for (line = call->headers; line && *line; line++)
		transfer->headers = curl_slist_append(transfer->headers, *line);
	curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void set_options(struct transfer *transfer, const struct http_call *call)
{
	CURL *easy = transfer->easy;

	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(call->timeout_us / US_PER_MS));
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 (long)call->own_connection);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 (long)call->own_connection);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
}

void http_client_start(struct http_client *client, const struct http_call *call,
		       http_done_fn done, void *ctx)
{
	const struct http_answer not_sent = { .result = HTTP_NOT_SENT };
	struct transfer *transfer;

	if (client->aborted) {
		done(ctx, &not_sent);
		return;
	}
	transfer = g_new0(struct transfer, 1);
	transfer->client = client;
	transfer->easy = curl_easy_init();
	transfer->reply_body = g_byte_array_new();
	transfer->request_body = g_byte_array_new();
	transfer->done = done;
	transfer->ctx = ctx;
	set_options(transfer, call);
	set_body(transfer, call);
	set_headers(transfer, call);
	g_hash_table_add(client->transfers, transfer);
	curl_multi_add_handle(client->multi, transfer->easy);
}

void http_client_wait(struct http_client *client, const int *extra_fds,
		      unsigned int count, int64_t timeout_us)
{
	struct curl_waitfd fds[EXTRA_FDS_MAX] = { 0 };
	unsigned int i;

	count = MIN(count, EXTRA_FDS_MAX);
	for (i = 0; i < count; i++) {
		fds[i].fd = extra_fds[i];
		fds[i].events = CURL_WAIT_POLLIN;
	}
	curl_multi_poll(client->multi, fds, count,
			(int)(timeout_us / US_PER_MS), NULL);
}

/* Returns whether a call failed before any byte was sent. */
static bool never_sent(CURLcode code)
{
	return code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT ||
	       code == CURLE_UNSUPPORTED_PROTOCOL;
}

/* Counts an ended call and runs its callback. */
static void finish(struct http_client *client, struct transfer *transfer,
		   CURLcode code)
{
	struct http_answer answer = { .result = HTTP_ANSWERED };
	curl_off_t uploaded = 0, downloaded = 0;
	long status = 0, request_size = 0, header_size = 0;

	curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_size);
	curl_easy_getinfo(transfer->easy, CURLINFO_HEADER_SIZE, &header_size);
	curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	curl_easy_getinfo(transfer->easy, CURLINFO_SIZE_DOWNLOAD_T,
			  &downloaded);
	client->calls++;
	client->sent += (uint64_t)(request_size + uploaded);
	client->received += (uint64_t)(header_size + downloaded);
	if (code != CURLE_OK)
		answer.result =
			never_sent(code) ? HTTP_NOT_SENT : HTTP_OUTCOME_UNKNOWN;
	answer.status = (unsigned int)status;
	answer.etag = transfer->etag;
	answer.body = (struct str){ (const char *)transfer->reply_body->data,
				    transfer->reply_body->len };
	transfer->done(transfer->ctx, &answer);
}

void http_client_run(struct http_client *client)
{
	CURLMsg *message;
	int running, queued;

	curl_multi_perform(client->multi, &running);
	while ((message = curl_multi_info_read(client->multi, &queued))) {
		struct transfer *transfer;
		CURLcode code;

		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&transfer);
		g_hash_table_remove(client->transfers, transfer);
		finish(client, transfer, code);
		transfer_destroy(transfer);
	}
}

void http_client_counts(const struct http_client *client, uint64_t *calls,
			uint64_t *sent, uint64_t *received)
{
	*calls = client->calls;
	*sent = client->sent;
	*received = client->received;
}
