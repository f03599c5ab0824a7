#include "http/exchange.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/address.h"
#include "http/exchange_internal.h"

/* Position of the status code in a line such as "HTTP/1.1 200 OK". */
#define STATUS_OFFSET 9
#define STATUS_DIGITS 3
/* Lowest status code of a final response; lower ones are interim responses. */
#define STATUS_FINAL 200
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304
/* Size of libcurl's receive buffer. While an answer is paused, libcurl holds up
 * to this many bytes of it. */
#define RECEIVE_BYTES (64L << 10)
/* Maximum number of probes for one request. More than one is needed when
 * libcurl doesn't choose the connection of the probe for the request. */
#define PROBES_MAX 3
#define BOOT_HEADER STR("auburn-boot")

static void update_progress_time(struct exchange *exchange)
{
	exchange->progress_us = clock_now_us(exchange->pool->clock);
}

static void set_address(struct sockaddr_in *end, const char *ip, int port)
{
	memset(end, 0, sizeof(*end));
	end->sin_family = AF_INET;
	end->sin_port = htons((uint16_t)port);
	inet_pton(AF_INET, ip, &end->sin_addr);
}

/* libcurl calls this once it has chosen a connection, before it sends any byte
 * of the request. */
static int on_sending(void *ctx, char *address, char *local, int port,
		      int local_port)
{
	struct exchange *exchange = ctx;
	struct connection_ends ends;

	update_progress_time(exchange);
	if (exchange->probing)
		return CURL_PREREQFUNC_OK;
	/* libcurl is about to resend the request on another connection. */
	if (exchange->sent)
		return CURL_PREREQFUNC_ABORT;
	if (exchange->progress_us >= exchange->send_before_us) {
		exchange->expired = true;
		return CURL_PREREQFUNC_ABORT;
	}
	set_address(&ends.local, local, local_port);
	set_address(&ends.remote, address, port);
	if (*exchange->boot &&
	    !verified_conns_match(exchange->pool->verified_conns, &ends,
				  str_from(exchange->boot))) {
		exchange->unverified = true;
		return CURL_PREREQFUNC_ABORT;
	}
	exchange->sent = true;
	return CURL_PREREQFUNC_OK;
}

/* libcurl callback that copies bytes of the request body into buf. */
static size_t on_upload(char *buf, size_t size, size_t count, void *ctx)
{
	struct exchange *exchange = ctx;
	struct str bytes = body_peek(exchange->upload);
	size_t n = MIN(bytes.len, size * count);

	if (!n && !body_ended(exchange->upload)) {
		exchange->upload_paused = true;
		return CURL_READFUNC_PAUSE;
	}
	if (n)
		memcpy(buf, bytes.data, n);
	body_consume(exchange->upload, n);
	update_progress_time(exchange);
	exchange->pool->ops->progressed(exchange->pool->ctx, exchange);
	return n;
}

/* libcurl callback that restarts reading the request body at its first byte. */
static int on_rewind(void *ctx, curl_off_t offset, int origin)
{
	struct exchange *exchange = ctx;

	if (offset || origin != SEEK_SET || !body_rewind(exchange->upload))
		return CURL_SEEKFUNC_CANTSEEK;
	return CURL_SEEKFUNC_OK;
}

/* Returns whether the answer can have a body. */
static bool has_body(const struct exchange *exchange)
{
	return strcmp(exchange->method, "HEAD") != 0 &&
	       exchange->status != STATUS_NO_CONTENT &&
	       exchange->status != STATUS_NOT_MODIFIED;
}

/* Returns whether the length of the answer's body is known. A body that ends
 * when the connection closes is rejected: its truncation could not be detected.
 */
static bool head_is_usable(struct exchange *exchange)
{
	if (!headers_body_length(exchange->headers, &exchange->length, NULL))
		return false;
	if (exchange->length != HEADERS_LENGTH_UNTIL_CLOSE)
		return true;
	exchange->length = 0;
	return !has_body(exchange);
}

static void end_head(struct exchange *exchange)
{
	if (exchange->status < STATUS_FINAL)
		return;
	if (!head_is_usable(exchange))
		exchange->unusable = true;
	exchange->head_done = true;
	if (!exchange->probing)
		exchange->pool->ops->progressed(exchange->pool->ctx, exchange);
}

/* Returns the code of a status line, or 0 if the line is malformed. */
static unsigned int parse_status(struct str line)
{
	unsigned int status = 0;
	size_t i;

	for (i = 0; i < STATUS_DIGITS; i++) {
		int digit = line.len > STATUS_OFFSET + i
				    ? g_ascii_digit_value(
					      line.data[STATUS_OFFSET + i])
				    : -1;

		if (digit < 0)
			return 0;
		status = status * 10 + (unsigned int)digit;
	}
	return status;
}

/* libcurl callback for the status line and each header line of an answer. */
static size_t on_header_line(char *data, size_t size, size_t count, void *ctx)
{
	struct exchange *exchange = ctx;
	struct str line = { data, size * count };

	update_progress_time(exchange);
	/* Trailer fields are not passed on. */
	if (exchange->head_done)
		return size * count;
	while (line.len && (line.data[line.len - 1] == '\n' ||
			    line.data[line.len - 1] == '\r'))
		line.len--;
	if (!line.len) {
		end_head(exchange);
	} else if (str_has_prefix(line, STR("HTTP/"))) {
		headers_clear(exchange->headers);
		exchange->status = parse_status(line);
	} else if (!headers_add_line(exchange->headers, line)) {
		exchange->unusable = true;
	}
	/* libcurl aborts the transfer when fewer bytes than it passed are
	 * returned. */
	return exchange->unusable ? 0 : size * count;
}

/* libcurl callback for bytes of the answer's body. */
static size_t on_data(char *data, size_t size, size_t count, void *ctx)
{
	struct exchange *exchange = ctx;
	struct str bytes = { data, size * count };

	update_progress_time(exchange);
	if (exchange->discarding || exchange->probing)
		return bytes.len;
	if (body_room(exchange->body) < bytes.len) {
		exchange->body_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	body_append(exchange->body, bytes);
	exchange->pool->ops->progressed(exchange->pool->ctx, exchange);
	return bytes.len;
}

static void add_header_line(struct exchange *exchange, struct str name,
			    struct str value)
{
	char *line;

	if (headers_name_equal(name, STR("content-length")) ||
	    headers_name_equal(name, STR("expect")))
		return;
	/* libcurl sends an empty field only if written with a semicolon. */
	if (value.len)
		line = g_strdup_printf("%.*s: %.*s", STR_ARG(name),
				       STR_ARG(value));
	else
		line = g_strdup_printf("%.*s;", STR_ARG(name));
	exchange->lines = curl_slist_append(exchange->lines, line);
	g_free(line);
}

static void add_header_lines(struct exchange *exchange,
			     const struct headers *headers)
{
	size_t i;

	for (i = 0; i < headers_count(headers); i++) {
		const struct header *field = headers_at(headers, i);

		add_header_line(exchange, field->name, field->value);
	}
}

static void add_host(struct exchange *exchange)
{
	char address[ADDRESS_TEXT_SIZE];
	char *line = g_strconcat(
		"Host: ", address_format(&exchange->address, address), NULL);

	exchange->lines = curl_slist_append(exchange->lines, line);
	g_free(line);
}

static void set_header_lines(struct exchange *exchange,
			     const struct exchange_request *request)
{
	add_header_lines(exchange, request->headers);
	add_header_lines(exchange, request->added_headers);
	exchange->lines = curl_slist_append(exchange->lines, "Expect:");
	if (!headers_find(request->headers, STR("accept")))
		exchange->lines = curl_slist_append(exchange->lines, "Accept:");
	if (!headers_find(request->headers, STR("host")))
		add_host(exchange);
}

/* Returns whether a request with this method states Content-Length even without
 * a body (RFC 9110, 8.6). */
static bool wants_length(const char *method)
{
	return !strcmp(method, "POST") || !strcmp(method, "PUT") ||
	       !strcmp(method, "PATCH");
}

static void set_method(struct exchange *exchange)
{
	CURL *easy = exchange->easy;
	bool upload = exchange->upload_length || wants_length(exchange->method);

	/* The order matters: these options override each other. */
	curl_easy_setopt(easy, CURLOPT_NOBODY, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
	curl_easy_setopt(easy, CURLOPT_UPLOAD, upload ? 1L : 0L);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)exchange->upload_length);
	if (!upload && !strcmp(exchange->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, exchange->method);
}

static void set_callbacks(struct exchange *exchange)
{
	CURL *easy = exchange->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, exchange);
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BYTES);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_sending);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
	curl_easy_setopt(easy, CURLOPT_READDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, on_rewind);
	curl_easy_setopt(easy, CURLOPT_SEEKDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header_line);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange);
}

/*
 * libcurl reuses connections by host name, so a request that must not share a
 * connection uses a unique host name, which is mapped to the upstream's
 * address.
 */
static void set_url_and_address(struct exchange *exchange)
{
	struct exchange_pool *pool = exchange->pool;
	char address[ADDRESS_TEXT_SIZE];
	char url[EXCHANGE_URL_SIZE];
	char mapping[EXCHANGE_URL_SIZE];

	address_format(&exchange->address, address);
	g_snprintf(url, sizeof(url), "http://%s/", address);
	if (exchange->own_connection) {
		g_snprintf(url, sizeof(url),
			   "http://fresh-%" G_GUINT64_FORMAT ".invalid/",
			   ++pool->own_connection_count);
		g_snprintf(mapping, sizeof(mapping), "::%s", address);
		exchange->connect_to = curl_slist_append(NULL, mapping);
	}
	curl_easy_setopt(exchange->easy, CURLOPT_URL, url);
	curl_easy_setopt(exchange->easy, CURLOPT_CONNECT_TO,
			 exchange->connect_to);
}

static void start_request(struct exchange *exchange)
{
	CURL *easy = exchange->easy;
	/* After a probe, the request uses the connection that the probe opened.
	 */
	bool new_connection = exchange->own_connection && !*exchange->boot;

	exchange->probing = false;
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, exchange->lines);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 0L);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, exchange->target);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, (long)new_connection);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
			 (long)exchange->own_connection);
	set_method(exchange);
	curl_multi_add_handle(exchange->pool->multi, easy);
}

/*
 * Sends "HEAD /" on a new connection to learn which incarnation answers. The
 * connection stays open for the request.
 */
static void start_probe(struct exchange *exchange)
{
	CURL *easy = exchange->easy;

	exchange->probing = true;
	exchange->probes++;
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, NULL);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, "/");
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 0L);
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 0L);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, NULL);
	curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 (long)(exchange->pool->connect_us / US_PER_MS));
	curl_multi_add_handle(exchange->pool->multi, easy);
}

/* Returns whether a probe must open a connection first: the request is for a
 * certain incarnation, and there is no open connection that it may use and on
 * which that incarnation answered. */
static bool needs_probe(const struct exchange *exchange)
{
	return *exchange->boot &&
	       (exchange->own_connection ||
		!verified_conns_any(exchange->pool->verified_conns,
				    &exchange->address,
				    str_from(exchange->boot)));
}

struct exchange *exchange_start(struct exchange_pool *pool,
				const struct exchange_request *request,
				void *data)
{
	struct exchange *exchange = g_new0(struct exchange, 1);

	exchange->pool = pool;
	exchange->data = data;
	exchange->easy = exchange_pool_get_handle(pool);
	exchange->method = str_dup(request->method);
	exchange->target = str_dup(request->target);
	exchange->boot = str_dup(request->boot);
	exchange->address = request->address;
	exchange->upload_length = request->upload_length;
	exchange->send_before_us = request->send_before_us;
	exchange->own_connection = request->own_connection;
	exchange->headers = headers_create();
	exchange->upload = body_ref(request->upload);
	exchange->body = body_create(EXCHANGE_BODY_BYTES, 0);
	set_callbacks(exchange);
	set_url_and_address(exchange);
	set_header_lines(exchange, request);
	update_progress_time(exchange);
	if (needs_probe(exchange))
		start_probe(exchange);
	else
		start_request(exchange);
	return exchange;
}

void exchange_destroy(struct exchange *exchange)
{
	if (!exchange)
		return;
	curl_multi_remove_handle(exchange->pool->multi, exchange->easy);
	curl_easy_setopt(exchange->easy, CURLOPT_HTTPHEADER, NULL);
	curl_easy_setopt(exchange->easy, CURLOPT_CONNECT_TO, NULL);
	exchange_pool_put_handle(exchange->pool, exchange->easy);
	curl_slist_free_all(exchange->lines);
	curl_slist_free_all(exchange->connect_to);
	headers_destroy(exchange->headers);
	body_unref(exchange->upload);
	body_unref(exchange->body);
	g_free(exchange->method);
	g_free(exchange->target);
	g_free(exchange->boot);
	g_free(exchange);
}

static void end_with(struct exchange *exchange, enum exchange_end end)
{
	exchange->end = end;
	exchange->pool->ops->ended(exchange->pool->ctx, exchange);
}

/* Records that an incarnation answered on the exchange's connection. */
static void record_verified_conn(struct exchange *exchange, struct str boot)
{
	curl_socket_t fd = CURL_SOCKET_BAD;

	curl_easy_getinfo(exchange->easy, CURLINFO_ACTIVESOCKET, &fd);
	if (fd != CURL_SOCKET_BAD)
		verified_conns_add(exchange->pool->verified_conns, fd, boot);
}

/* Starts the request if the wanted incarnation answered the probe; otherwise
 * ends the exchange. */
static void finish_probe(struct exchange *exchange, CURLcode code)
{
	const struct header *field =
		headers_find(exchange->headers, BOOT_HEADER);
	struct str boot = field ? field->value : STR("");

	if (code != CURLE_OK || !exchange->head_done) {
		end_with(exchange, EXCHANGE_NOT_CONNECTED);
		return;
	}
	record_verified_conn(exchange, boot);
	if (!str_equal(boot, str_from(exchange->boot))) {
		end_with(exchange, EXCHANGE_OTHER_INCARNATION);
		return;
	}
	headers_clear(exchange->headers);
	exchange->status = 0;
	exchange->length = 0;
	exchange->head_done = false;
	curl_multi_remove_handle(exchange->pool->multi, exchange->easy);
	start_request(exchange);
}

static enum exchange_end classify_end(const struct exchange *exchange,
				      CURLcode code)
{
	if (code == CURLE_OK && exchange->head_done)
		return EXCHANGE_COMPLETE;
	if (exchange->expired)
		return EXCHANGE_EXPIRED;
	if (!exchange->sent)
		return EXCHANGE_NOT_CONNECTED;
	if (exchange->status >= STATUS_FINAL)
		return EXCHANGE_TRUNCATED;
	return EXCHANGE_RESET;
}

void exchange_finish(struct exchange *exchange, CURLcode code)
{
	enum exchange_end end;

	if (exchange->probing) {
		finish_probe(exchange, code);
		return;
	}
	if (exchange->unverified && exchange->probes < PROBES_MAX) {
		exchange->unverified = false;
		curl_multi_remove_handle(exchange->pool->multi, exchange->easy);
		start_probe(exchange);
		return;
	}
	end = classify_end(exchange, code);
	if (end == EXCHANGE_COMPLETE)
		body_end(exchange->body);
	end_with(exchange, end);
}

void *exchange_data(const struct exchange *exchange)
{
	return exchange->data;
}

enum exchange_end exchange_end(const struct exchange *exchange)
{
	return exchange->end;
}

bool exchange_sent(const struct exchange *exchange)
{
	return exchange->sent;
}

unsigned int exchange_status(const struct exchange *exchange)
{
	return exchange->head_done && !exchange->unusable ? exchange->status
							  : 0;
}

struct headers *exchange_headers(const struct exchange *exchange)
{
	return exchange->headers;
}

int64_t exchange_body_length(const struct exchange *exchange)
{
	return exchange->length;
}

struct body *exchange_body(const struct exchange *exchange)
{
	return exchange->body;
}

int64_t exchange_progress_us(const struct exchange *exchange)
{
	return exchange->progress_us;
}

bool exchange_paused(const struct exchange *exchange)
{
	return exchange->body_paused;
}

bool exchange_waits_for_upload(const struct exchange *exchange)
{
	return exchange->upload_paused && !body_ended(exchange->upload) &&
	       !body_peek(exchange->upload).len;
}

static bool body_has_room(const struct exchange *exchange)
{
	return exchange->discarding ||
	       body_room(exchange->body) >= EXCHANGE_BODY_BYTES / 2;
}

void exchange_resume(struct exchange *exchange)
{
	bool upload =
		exchange->upload_paused && !exchange_waits_for_upload(exchange);
	bool body = exchange->body_paused && body_has_room(exchange);

	if (exchange->end != EXCHANGE_RUNNING || (!upload && !body))
		return;
	exchange->body_paused = false;
	exchange->upload_paused = false;
	update_progress_time(exchange);
	/* libcurl may call on_data() from within this call, which can pause
	 * the exchange again. */
	curl_easy_pause(exchange->easy, CURLPAUSE_CONT);
}

void exchange_discard_body(struct exchange *exchange)
{
	exchange->discarding = true;
	exchange_resume(exchange);
}
