#include "cluster_http.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"

/* Time limit of a transfer whose request sets none. */
#define DEFAULT_TIMEOUT_MS 10000

/* Argument of on_body(): the answer to fill, and whether to drop its body. */
struct receiver {
	struct http_answer *answer;
	bool discard;
};

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct receiver *receiver = ctx;
	size_t len = size * count;

	receiver->answer->body_len += len;
	if (!receiver->discard)
		g_string_append_len(receiver->answer->body, data, (gssize)len);
	return len;
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct http_answer *answer = ctx;
	size_t len = size * count;
	const char *colon = memchr(data, ':', len);
	char *name, *value;

	if (!colon)
		return len;
	name = g_ascii_strdown(data, colon - data);
	value = g_strndup(colon + 1, len - (size_t)(colon + 1 - data));
	g_hash_table_replace(answer->headers, name, g_strstrip(value));
	return len;
}

static struct curl_slist *header_list(const struct http_request *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	const char *const *p;

	for (p = request->headers; p && *p; p++)
		list = curl_slist_append(list, *p);
	return list;
}

static void set_content(CURL *easy, const struct http_request *request)
{
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
				 (curl_off_t)strlen(request->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
	if (request->method)
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
	if (request->method && !strcmp(request->method, "HEAD"))
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
}

static void set_options(CURL *easy, const struct http_request *request)
{
	char *url =
		g_strdup_printf("http://%s%s", request->address, request->uri);

	curl_easy_setopt(easy, CURLOPT_URL, url);
	g_free(url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 request->timeout_ms ? (long)request->timeout_ms
					     : (long)DEFAULT_TIMEOUT_MS);
	if (request->bytes_per_second) {
		curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE,
				 (curl_off_t)request->bytes_per_second);
		curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, 16384L);
	}
	set_content(easy, request);
}

struct http_answer *http_send(const struct http_request *request)
{
	struct http_answer *answer = g_new0(struct http_answer, 1);
	struct receiver receiver = { answer, request->discard };
	struct curl_slist *headers = header_list(request);
	int64_t start_us = clock_now_us(clock_system());
	CURL *easy = curl_easy_init();
	CURLcode code;

	answer->body = g_string_new(NULL);
	answer->headers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	set_options(easy, request);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &receiver);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, answer);
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	answer->whole = code == CURLE_OK;
	answer->failure =
		g_strdup(answer->whole ? "" : curl_easy_strerror(code));
	answer->took_us = clock_now_us(clock_system()) - start_us;
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	return answer;
}

void http_answer_destroy(struct http_answer *answer)
{
	if (!answer)
		return;
	g_string_free(answer->body, TRUE);
	g_hash_table_unref(answer->headers);
	g_free(answer->failure);
	g_free(answer);
}

const char *http_header(const struct http_answer *answer, const char *name)
{
	char *lower = g_ascii_strdown(name, -1);
	const char *value = g_hash_table_lookup(answer->headers, lower);

	g_free(lower);
	return value ? value : "";
}

long http_status(const struct http_request *request)
{
	struct http_answer *answer = http_send(request);
	long status = answer->whole ? answer->status : 0;

	http_answer_destroy(answer);
	return status;
}

struct http_task {
	pthread_t thread;
	struct http_request request;
	struct http_answer *answer;
};

static void *run_task(void *ctx)
{
	struct http_task *task = ctx;

	task->answer = http_send(&task->request);
	return NULL;
}

struct http_task *http_start(const struct http_request *request)
{
	struct http_task *task = g_new0(struct http_task, 1);

	task->request = *request;
	if (pthread_create(&task->thread, NULL, run_task, task))
		abort();
	return task;
}

struct http_answer *http_join(struct http_task *task)
{
	struct http_answer *answer;

	pthread_join(task->thread, NULL);
	answer = task->answer;
	g_free(task);
	return answer;
}
