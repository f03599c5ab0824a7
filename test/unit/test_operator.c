/*
 * The operator server and the routes of every daemon, by requests over
 * loopback.
 */
#include <arpa/inet.h>
#include <curl/curl.h>

#include "operator/common_routes.h"
#include "operator/operator_server.h"
#include "suite.h"

#define TOKEN "correct-horse"
/* Most turns for one request; the server waits up to 1 ms in each. */
#define TURN_LIMIT 5000

/* State shared by the handlers and the test cases. */
struct fixture {
	struct operator_server *server;
	/* Call of /later that is not yet answered, or NULL. */
	struct operator_call *waiting;
	/* Answer of /ready. */
	bool ready;
};

static bool is_ready(void *ctx, const char **why)
{
	const struct fixture *f = ctx;

	*why = "no settings";
	return f->ready;
}

static void metrics(void *ctx, GString *out)
{
	(void)ctx;
	g_string_append(out, "requests_total 3\n");
}

static void on_echo(void *ctx, struct operator_call *call)
{
	(void)ctx;
	operator_call_answer(call, 200, "text/plain",
			     operator_call_arg(call, 0));
}

static void on_body(void *ctx, struct operator_call *call)
{
	(void)ctx;
	operator_call_answer(call, 200, "text/plain", operator_call_body(call));
}

static void on_later(void *ctx, struct operator_call *call)
{
	struct fixture *f = ctx;

	f->waiting = call;
}

static const struct operator_route routes[] = {
	{ "GET", "/echo/*", true, on_echo, "the segment" },
	{ "PUT", "/body", true, on_body, "the body" },
	{ "GET", "/later", true, on_later, "an answer later" },
	{ 0 },
};

static size_t append_answer(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

/* Prepares a request. The caller frees the handle, then the headers. */
static CURL *prepare_request(const struct fixture *f, const char *method,
			     const char *path, const char *token,
			     const char *body, GString *answer,
			     struct curl_slist **headers)
{
	CURL *curl = curl_easy_init();
	char *url = g_strdup_printf("http://127.0.0.1:%u%s",
				    operator_server_port(f->server), path);
	char *header = g_strdup_printf("Authorization: Bearer %s", token);

	*headers = curl_slist_append(NULL, header);
	*headers = curl_slist_append(*headers, "Expect:");
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, method);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, *headers);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_answer);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, answer);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	if (body) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(body));
		curl_easy_setopt(curl, CURLOPT_COPYPOSTFIELDS, body);
	}
	g_free(header);
	g_free(url);
	return curl;
}

/* Runs a request to its end. Client and server take turns on one thread. A call
 * of /later is answered after a few turns: the server has suspended it by then.
 */
static void run_request(struct fixture *f, CURL *curl)
{
	CURLM *multi = curl_multi_init();
	int running = 1, turn;

	curl_multi_add_handle(multi, curl);
	for (turn = 0; running && turn < TURN_LIMIT; turn++) {
		curl_multi_perform(multi, &running);
		operator_server_wait(f->server, 1);
		if (f->waiting && turn > 5) {
			operator_call_answer(f->waiting, 200, "text/plain",
					     STR("late"));
			f->waiting = NULL;
		}
	}
	CU_ASSERT_FALSE(running);
	curl_multi_remove_handle(multi, curl);
	curl_multi_cleanup(multi);
}

/* Sends a request and appends the body of the answer. Returns the HTTP
 * status. */
static long send_request(struct fixture *f, const char *method,
			 const char *path, const char *token, const char *body,
			 GString *answer)
{
	struct curl_slist *headers;
	CURL *curl =
		prepare_request(f, method, path, token, body, answer, &headers);
	long status = 0;

	run_request(f, curl);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_cleanup(curl);
	curl_slist_free_all(headers);
	return status;
}

static void each_call_is_routed_and_guarded(void)
{
	static const struct {
		const char *method, *path, *token, *body;
		long status;
		const char *answer;
	} cases[] = {
		{ "GET", "/health", "", NULL, 200, "ok" },
		{ "GET", "/ready", "", NULL, 503, "no settings" },
		{ "GET", "/metrics", "", NULL, 200, "requests_total 3" },
		{ "GET", "/", "", NULL, 200, "/echo/*" },
		{ "GET", "/echo/x", TOKEN, NULL, 200, "x" },
		{ "GET", "/echo/x", "", NULL, 401, "token" },
		{ "GET", "/echo/x", "correct-horsf", NULL, 401, "token" },
		{ "GET", "/echo/x", "correct", NULL, 401, "token" },
		{ "GET", "/echo/x", TOKEN TOKEN, NULL, 401, "token" },
		{ "GET", "/echo/", TOKEN, NULL, 404, "no such path" },
		{ "GET", "/echo/x/y", TOKEN, NULL, 404, "no such path" },
		{ "PUT", "/echo/x", TOKEN, "b", 405, "support the method" },
		{ "PUT", "/body", TOKEN, "content", 200, "content" },
		{ "PUT", "/body", "bad", "content", 401, "token" },
		{ "GET", "/later", TOKEN, NULL, 200, "late" },
	};
	struct fixture f = { 0 };
	static const struct common_ops ops = { is_ready, metrics };
	struct common_routes common = { .ops = &ops, .ctx = &f };
	struct operator_mount mounts[] = { { common_routes, &common },
					   { routes, &f },
					   { 0 } };
	struct operator_config config = { .token = TOKEN, .mounts = mounts };
	size_t i;

	common.mounts = mounts;
	config.address.sin_family = AF_INET;
	config.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f.server = operator_server_create(&config, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f.server);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		GString *answer = g_string_new(NULL);
		long status =
			send_request(&f, cases[i].method, cases[i].path,
				     cases[i].token, cases[i].body, answer);

		CU_ASSERT_EQUAL(status, cases[i].status);
		CU_ASSERT_PTR_NOT_NULL(strstr(answer->str, cases[i].answer));
		g_string_free(answer, TRUE);
	}
	operator_server_destroy(f.server);
}

static void a_server_without_a_token_refuses_guarded_calls(void)
{
	struct fixture f = { 0 };
	struct operator_mount mounts[] = { { routes, &f }, { 0 } };
	struct operator_config config = { .token = "", .mounts = mounts };
	GString *answer = g_string_new(NULL);

	config.address.sin_family = AF_INET;
	config.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f.server = operator_server_create(&config, NULL);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f.server);
	CU_ASSERT_EQUAL(send_request(&f, "GET", "/echo/x", "", NULL, answer),
			401);
	operator_server_destroy(f.server);
	g_string_free(answer, TRUE);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "each call is routed and guarded",
		  each_call_is_routed_and_guarded },
		{ "a server without a token refuses guarded calls",
		  a_server_without_a_token_refuses_guarded_calls },
		{ 0 },
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	return suite_run("operator", cases);
}
