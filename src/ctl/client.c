#include "ctl/client.h"

#include <curl/curl.h>

#define STATUS_NOT_FOUND 404

struct client {
	CURL *curl;
	/* Daemons in the order in which they are tried, ended by NULL. */
	char **addresses;
	char *token;
	/* Time limit of one call to one daemon. */
	long timeout_ms;
	/* Set by client_skip_not_found(). */
	bool skips_not_found;
};

struct client *client_create(const char *addresses, const char *token,
			     int64_t timeout_ms)
{
	struct client *c = g_new0(struct client, 1);

	curl_global_init(CURL_GLOBAL_DEFAULT);
	c->curl = curl_easy_init();
	c->addresses = g_strsplit(addresses, ",", -1);
	c->token = g_strdup(token);
	c->timeout_ms = (long)timeout_ms;
	return c;
}

void client_destroy(struct client *c)
{
	curl_easy_cleanup(c->curl);
	curl_global_cleanup();
	g_strfreev(c->addresses);
	g_free(c->token);
	g_free(c);
}

void client_skip_not_found(struct client *c)
{
	c->skips_not_found = true;
}

/* libcurl callback: appends received data to the GString ctx. */
static size_t append_body(char *data, size_t size, size_t count, void *ctx)
{
	g_string_append_len(ctx, data, (gssize)(size * count));
	return size * count;
}

static struct curl_slist *add_header(struct curl_slist *list, const char *name,
				     const char *value)
{
	char *line = g_strdup_printf("%s: %s", name, value);

	list = curl_slist_append(list, line);
	g_free(line);
	return list;
}

static struct curl_slist *build_headers(const struct client *c,
					const struct client_call *call)
{
	char *bearer = g_strdup_printf("Bearer %s", c->token);
	struct curl_slist *list = NULL;

	list = add_header(list, "Authorization", bearer);
	list = curl_slist_append(list, "Expect:");
	list = curl_slist_append(list, "Content-Type: application/json");
	if (call->attempt)
		list = add_header(list, "Idempotency-Key", call->attempt);
	if (call->if_match)
		list = add_header(list, "If-Match", call->if_match);
	g_free(bearer);
	return list;
}

static void set_body(CURL *curl, const struct client_call *call)
{
	if (!strcmp(call->method, "GET"))
		return;
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)call->body.len);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS,
			 call->body.len ? call->body.data : "");
}

/* Returns whether a request that ended with this code may have been sent; it
 * was not when there was no connection. */
static bool may_have_been_sent(CURLcode code)
{
	return code != CURLE_COULDNT_CONNECT &&
	       code != CURLE_COULDNT_RESOLVE_HOST &&
	       code != CURLE_URL_MALFORMAT;
}

/* Sends a request to one daemon. @return false when it did not answer */
static bool send_to_daemon(struct client *c, const char *address,
			   const struct client_call *call,
			   struct client_answer *answer)
{
	struct curl_slist *headers = build_headers(c, call);
	char *url = g_strdup_printf("http://%s%s", address, call->path);
	CURLcode code;

	curl_easy_reset(c->curl);
	curl_easy_setopt(c->curl, CURLOPT_URL, url);
	curl_easy_setopt(c->curl, CURLOPT_CUSTOMREQUEST, call->method);
	curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, answer->body);
	curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, c->timeout_ms);
	curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
	curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
	set_body(c->curl, call);
	code = curl_easy_perform(c->curl);
	if (code == CURLE_OK)
		curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE,
				  &answer->status);
	else
		g_snprintf(answer->message, sizeof(answer->message), "%s: %s",
			   address, curl_easy_strerror(code));
	answer->sent = answer->sent || may_have_been_sent(code);
	curl_slist_free_all(headers);
	g_free(url);
	return code == CURLE_OK;
}

void client_send(struct client *c, const struct client_call *call,
		 struct client_answer *answer)
{
	char **address;

	*answer = (struct client_answer){ .body = g_string_new(NULL) };
	for (address = c->addresses; *address; address++) {
		g_string_truncate(answer->body, 0);
		if (send_to_daemon(c, *address, call, answer) &&
		    !(c->skips_not_found && answer->status == STATUS_NOT_FOUND))
			break;
	}
	if (answer->status)
		answer->message[0] = '\0';
}

void client_answer_clear(struct client_answer *answer)
{
	g_string_free(answer->body, TRUE);
}

char *client_escape(const char *text)
{
	return g_uri_escape_string(text, NULL, FALSE);
}
