/* Upstreams: run requests, hold keys, drain, restart. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "site.h"

#define SLOTS 3
#define KEYS 65536
#define DEFAULT_WORK_S 0.005

struct target {
	struct site *site;
	unsigned int index;
	char id[16];
	const char *service;
	const char *zone;
	bool keyed;
	bool draining;
	struct sockaddr_in address;
	/** As its entry says. */
	char listed_at[ADDRESS_TEXT_SIZE];
	struct http_server *server;
	gint64 started_ms;
	double held_until_s[KEYS];
	guint64 fence[KEYS];
	unsigned int running;
};

struct work {
	struct target *target;
	struct http_request *request;
	ev_timer timer;
};

static void list(struct target *target)
{
	const char *address = target->listed_at;
	json_t *entry;
	char *text;

	entry = json_pack(
		"{sssssssssisssfsisI}", "service", target->service, "address",
		address, "zone", target->zone, "version", "v1", "slots", SLOTS,
		"state", target->draining ? "draining" : "ready", "cold_left_s",
		0.0, "seq", 1, "born", (json_int_t)target->started_ms);
	text = json_dumps(entry, JSON_COMPACT);
	site_put_row(target->site, "servers", target->id, text);
	free(text);
	json_decref(entry);
}

static const char *header(const struct http_request *request, struct str name,
			  char *buf, size_t size)
{
	const struct header *h = headers_find(request->headers, name);

	buf[0] = '\0';
	if (h && h->value.len < size) {
		memcpy(buf, h->value.data, h->value.len);
		buf[h->value.len] = '\0';
	}
	return buf;
}

static void answer(struct target *target, struct http_request *request,
		   unsigned int status, const char *extra, const char *body)
{
	struct headers *headers = headers_create();
	struct http_answer out = { .status = status,
				   .headers = headers,
				   .body = str_from(body) };
	char id[64], load[32];

	header(request, STR("x-request-id"), id, sizeof(id));
	if (*id)
		headers_add(headers, STR("X-Request-Id"), str_from(id));
	if (status == 200 && !extra)
		headers_add(headers, STR("X-Server-Signature"),
			    STR("a signature"));
	if (extra)
		headers_add_line(headers, str_from(extra));
	if (status == 421)
		headers_add(headers, STR("X-Instance-Id"),
			    str_from(target->id));
	g_snprintf(load, sizeof(load), "%u,0,%d,100", target->running, SLOTS);
	headers_add(headers, STR("X-Server-Load"), str_from(load));
	http_request_answer(request, &out);
	headers_destroy(headers);
}

/* Counts a grant of keys that another upstream holds. */
static void check_owners(const struct target *target, json_int_t from,
			 json_int_t to)
{
	struct site *site = target->site;
	double now = loop_now(&site->loop);
	guint i;
	json_int_t k;

	for (i = 0; i < site->targets->len; i++) {
		const struct target *other = site->targets->pdata[i];

		if (other == target || other->service != target->service)
			continue;
		for (k = from; k <= to; k++) {
			if (other->held_until_s[k] <= now)
				continue;
			site->double_owners++;
			fprintf(stderr, "%s gets %d, which %s holds\n",
				target->id, (int)k, other->id);
			return;
		}
	}
}

static void order(struct target *target, struct http_request *request,
		  bool grant)
{
	json_t *root = json_loads(request->body->str, 0, NULL);
	json_int_t from = json_integer_value(json_object_get(root, "from"));
	json_int_t to = json_integer_value(json_object_get(root, "to"));
	guint64 fence =
		(guint64)json_integer_value(json_object_get(root, "fence"));
	double hold = json_number_value(json_object_get(root, "hold_s"));
	json_int_t k;

	for (k = from; grant && k <= to; k++)
		if (fence < target->fence[k]) {
			answer(target, request, 409, NULL, "");
			json_decref(root);
			return;
		}
	if (grant)
		check_owners(target, from, to);
	for (k = from; k <= to; k++) {
		target->fence[k] = MAX(target->fence[k], fence);
		target->held_until_s[k] =
			grant ? loop_now(&target->site->loop) + hold : 0;
	}
	json_decref(root);
	answer(target, request, 200, grant ? "X-Granted: 1" : "X-Handover: h1",
	       "");
}

/* The upstream's id, and for a caller that asks for it the request's, over and
 * over, so that a part of it or another's answer is told apart. */
static char *work_body(const struct work *work)
{
	GString *body = g_string_new(work->target->id);
	char id[64];
	int i;

	header(work->request, STR("x-request-id"), id, sizeof(id));
	for (i = 0; strstr(work->request->target->str, "long") && i < 400; i++)
		g_string_append_printf(body, " %s", id);
	return g_string_free(body, FALSE);
}

static void on_done(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct work *work = timer->data;

	char *body;

	(void)loop;
	(void)events;
	work->target->running--;
	body = work_body(work);
	answer(work->target, work->request, 200, NULL, body);
	g_free(body);
	g_free(work);
}

static void run(struct target *target, struct http_request *request,
		const char *id)
{
	struct site *site = target->site;
	struct work *work = g_new0(struct work, 1);
	const char *ms = strstr(request->target->str, "work-ms-");
	double work_s =
		ms ? g_ascii_strtod(ms + 8, NULL) / 1000 : DEFAULT_WORK_S;
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(site->runs, id));

	if (!strcmp(request->method->str, "POST") &&
	    !headers_find(request->headers, STR("content-length")))
		site->bodies_missing++;
	if (runs && g_str_has_prefix(request->target->str, "/once/"))
		site->repeats++;
	g_hash_table_insert(site->runs, g_strdup(id),
			    GUINT_TO_POINTER(runs + 1));
	if (strstr(request->target->str, "lose-answer")) {
		http_request_abort(request);
		g_free(work);
		return;
	}
	target->running++;
	work->target = target;
	work->request = request;
	request->data = work;
	ev_timer_init(&work->timer, on_done, work_s, 0);
	work->timer.data = work;
	ev_timer_start(site->loop.ev, &work->timer);
}

static bool is_order(const struct http_request *request, const char *path)
{
	return !strcmp(request->target->str, path);
}

/* For another upstream, or for a key that is not held here. */
static bool is_misdirected(const struct target *target,
			   const struct http_request *request,
			   const char *expect, int key)
{
	if (*expect && strcmp(expect, target->id) != 0)
		return true;
	return target->keyed && !is_order(request, "/grant") &&
	       !is_order(request, "/release") &&
	       target->held_until_s[key] < loop_now(&target->site->loop);
}

static void on_request(void *ctx, struct http_request *request)
{
	struct target *target = ctx;
	char expect[32], key[16], id[64];

	header(request, STR("x-expect-instance"), expect, sizeof(expect));
	header(request, STR("x-shard-key"), key, sizeof(key));
	header(request, STR("x-request-id"), id, sizeof(id));
	if (is_misdirected(target, request, expect, atoi(key) % KEYS))
		answer(target, request, 421, "X-Not-Executed: 1", "");
	else if (is_order(request, "/grant"))
		order(target, request, true);
	else if (is_order(request, "/release"))
		order(target, request, false);
	else if (target->running >= 2 * SLOTS)
		answer(target, request, 503, "X-Not-Executed: 1", "");
	else
		run(target, request, id);
}

static void on_gone(void *ctx, struct http_request *request)
{
	struct target *target = ctx;
	struct work *work = request->data;

	if (!work)
		return;
	ev_timer_stop(target->site->loop.ev, &work->timer);
	target->running--;
	g_free(work);
}

static const struct http_server_ops ops = { on_request, on_gone };

static void start(struct target *target)
{
	GError *error = NULL;

	target->server = http_server_create(
		&target->site->loop, &target->address, &ops, target, &error);
	if (!target->server)
		g_error("target: %s", error->message);
	target->address = http_server_address(target->server);
	target->started_ms = g_get_real_time() / 1000;
	if (!*target->listed_at)
		address_format(&target->address, target->listed_at);
	list(target);
}

void site_upstream_publish_address(struct site *site, unsigned int index,
				   const char *address)
{
	struct target *target = site->targets->pdata[index];

	g_strlcpy(target->listed_at, address, sizeof(target->listed_at));
	list(target);
}

void site_upstream_address(struct site *site, unsigned int index, char *text)
{
	const struct target *target = site->targets->pdata[index];

	address_format(&target->address, text);
}

void site_upstream_create(struct site *site, const char *service,
			  const char *zone, bool keyed)
{
	struct target *target = g_new0(struct target, 1);

	target->site = site;
	target->index = site->targets->len;
	g_snprintf(target->id, sizeof(target->id), "t-%u", target->index);
	target->service = service;
	target->zone = zone;
	target->keyed = keyed;
	target->address.sin_family = AF_INET;
	target->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	g_ptr_array_add(site->targets, target);
	start(target);
}

void site_upstream_drain(struct site *site, unsigned int index, bool leaves)
{
	struct target *target = site->targets->pdata[index];

	target->draining = leaves;
	list(target);
}

void site_upstream_restart(struct site *site, unsigned int index)
{
	struct target *target = site->targets->pdata[index];

	http_server_destroy(target->server);
	memset(target->held_until_s, 0, sizeof(target->held_until_s));
	memset(target->fence, 0, sizeof(target->fence));
	start(target);
}

unsigned int site_run_count(struct site *site, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(site->runs, id));
}
