/* The site's upstreams: they execute requests, hold key grants, drain and
 * restart. The paths /grant and /release change the grants; a request for any
 * other path is executed by waiting, if admitted. Parts of the path choose how:
 *   work-ms-N    the execution takes N milliseconds
 *   long         the response body is long, see work_body()
 *   lose-answer  the connection is closed without a response
 *   crash        the upstream's process ends, and starts again after CRASH_S
 * A request whose path begins with /once/ must run at most once. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "site.h"

/* Number of request slots that an upstream reports. It executes up to twice as
 * many requests at once and rejects further ones. */
#define SLOTS 3
/* Keys are the numbers below this one. */
#define KEYS 65536
/* Duration of an execution unless the path sets another. */
#define DEFAULT_WORK_S 0.005
/* Time until an upstream that crashed starts again. */
#define CRASH_S 2.5
/* Time in which entry daemons have to stop sending to an upstream that said
 * that it leaves, or that asked for a pause. */
#define LEAVING_S 2.0
#define PAUSE_SETTLE_S 0.5
/* An upstream that named a limit, in requests per second, counts as over it
 * from LIMIT_SETTLE_S later on, when within LIMIT_WINDOW_S it gets more than
 * LIMIT_FACTOR times what the limit allows, and LIMIT_SLACK requests. */
#define LIMIT_SETTLE_S 3.0
#define LIMIT_WINDOW_S 4.0
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5
/* How often a long response body repeats the request id; the soak test expects
 * the same number. */
#define LONG_BODY_IDS 400

/* An upstream with its HTTP server and the grants that it holds. */
struct upstream {
	struct site *site;
	/** Number of upstreams started before this one. */
	unsigned int index;
	/** Key of the upstream's entry in the table "servers"; the same after a
	 * restart. */
	char id[16];
	const char *service;
	const char *zone;
	/** Requests need a grant of their key. */
	bool keyed;
	bool draining;
	/** The address on which the upstream listens. */
	struct sockaddr_in address;
	/** The address in the upstream's entry in the store. */
	char published_address[ADDRESS_TEXT_SIZE];
	struct http_server *server;
	/** Wall clock time of the last start, published as the incarnation. */
	gint64 started_ms;
	/** Loop time at which each key's grant expires; 0: not granted. */
	double held_until_s[KEYS];
	/** Highest fencing token seen for each key. */
	guint64 fence[KEYS];
	/** Number of requests in execution. */
	unsigned int running;
	/** Requests per second that the upstream says it takes; negative: it
	 * doesn't say. */
	double limit_per_s;
	/** Since when it says so, and arrivals of requests (double) since. */
	double limited_since_s;
	GArray *arrivals;
	/** It says that it leaves, and since when; 0: it didn't say so yet. */
	bool says_leaving;
	double leaving_said_s;
	/** Retry-After of the next answer; NULL: none. */
	char *pause;
	/** The pause that it asked for last. */
	double paused_from_s, paused_until_s;
	/** Ends the crashing upstream's server, and later starts it again. */
	ev_timer crash_timer;
};

/* The execution of a request: a wait for timer, after which the request is
 * answered. */
struct work {
	struct upstream *upstream;
	struct http_request *request;
	ev_timer timer;
};

/* Writes the upstream's entry to the store's table "servers". */
static void publish_entry(struct upstream *upstream)
{
	const char *address = upstream->published_address;
	json_t *entry;
	char *text;

	entry = json_pack("{sssssssssisssfsisI}", "service", upstream->service,
			  "address", address, "zone", upstream->zone, "version",
			  "v1", "slots", SLOTS, "state",
			  upstream->draining ? "draining" : "ready",
			  "cold_left_s", 0.0, "seq", 1, "born",
			  (json_int_t)upstream->started_ms);
	text = json_dumps(entry, JSON_COMPACT);
	site_put_row(upstream->site, "servers", upstream->id, text);
	site_event(upstream->site, "entry %u %d", upstream->index,
		   upstream->draining);
	free(text);
	json_decref(entry);
}

/* Copies a request header's value to buf, or "" when the header is missing or
 * its value doesn't fit into size bytes. Returns buf. */
static const char *copy_header(const struct http_request *request,
			       struct str name, char *buf, size_t size)
{
	const struct header *h = headers_find(request->headers, name);

	buf[0] = '\0';
	if (h && h->value.len < size) {
		memcpy(buf, h->value.data, h->value.len);
		buf[h->value.len] = '\0';
	}
	return buf;
}

/* Sends a response with the upstream's load. extra is an additional header
 * line, or NULL; a response 200 without one is that of an executed request and
 * gets a signature header. */
static void answer(struct upstream *upstream, struct http_request *request,
		   unsigned int status, const char *extra, const char *body)
{
	struct headers *headers = headers_create();
	struct http_answer out = { .status = status,
				   .headers = headers,
				   .body = str_from(body) };
	char id[64], load[32];

	copy_header(request, STR("x-request-id"), id, sizeof(id));
	if (*id)
		headers_add(headers, STR("X-Request-Id"), str_from(id));
	if (status == 200 && !extra)
		headers_add(headers, STR("X-Server-Signature"),
			    STR("a signature"));
	if (extra)
		headers_add_line(headers, str_from(extra));
	if (status == 421)
		headers_add(headers, STR("X-Instance-Id"),
			    str_from(upstream->id));
	/* Running requests, waiting requests, slots, work factor in percent. */
	g_snprintf(load, sizeof(load), "%u,0,%d,100", upstream->running, SLOTS);
	headers_add(headers, STR("X-Server-Load"), str_from(load));
	if (upstream->limit_per_s >= 0) {
		char limit[32];

		g_snprintf(limit, sizeof(limit), "%.1f", upstream->limit_per_s);
		headers_add(headers, STR("Server-Limit"), str_from(limit));
	}
	if (upstream->says_leaving) {
		headers_add(headers, STR("Server-Leaving"), STR("1"));
		if (!upstream->leaving_said_s)
			upstream->leaving_said_s =
				loop_now(&upstream->site->loop);
	}
	http_request_answer(request, &out);
	headers_destroy(headers);
}

/* Counts a violation if another upstream of the service still holds one of the
 * keys that this upstream is being granted, from and to included. */
static void check_single_owner(const struct upstream *upstream, json_int_t from,
			       json_int_t to)
{
	struct site *site = upstream->site;
	double now = loop_now(&site->loop);
	guint i;
	json_int_t k;

	for (i = 0; i < site->upstreams->len; i++) {
		const struct upstream *other = site->upstreams->pdata[i];

		if (other == upstream ||
		    strcmp(other->service, upstream->service) != 0)
			continue;
		for (k = from; k <= to; k++) {
			if (other->held_until_s[k] <= now)
				continue;
			site->double_owners++;
			fprintf(stderr,
				"upstream %s is granted key %d, which upstream "
				"%s still holds\n",
				upstream->id, (int)k, other->id);
			return;
		}
	}
}

/* Handles {"from", "to", "fence", "hold_s"}: grants the keys "from" to "to"
 * for "hold_s" seconds, or releases them. A grant whose fencing token is lower
 * than one seen for any of its keys is rejected with 409. */
static void handle_grant_order(struct upstream *upstream,
			       struct http_request *request, bool grant)
{
	json_t *root = json_loads(request->body->str, 0, NULL);
	json_int_t from = json_integer_value(json_object_get(root, "from"));
	json_int_t to = json_integer_value(json_object_get(root, "to"));
	guint64 fence =
		(guint64)json_integer_value(json_object_get(root, "fence"));
	double hold_s = json_number_value(json_object_get(root, "hold_s"));
	json_int_t k;

	for (k = from; grant && k <= to; k++)
		if (fence < upstream->fence[k]) {
			answer(upstream, request, 409, NULL, "");
			json_decref(root);
			return;
		}
	if (grant)
		check_single_owner(upstream, from, to);
	for (k = from; k <= to; k++) {
		upstream->fence[k] = MAX(upstream->fence[k], fence);
		upstream->held_until_s[k] =
			grant ? loop_now(&upstream->site->loop) + hold_s : 0;
	}
	if (grant)
		site_event(upstream->site,
			   "grant %u %d %d %" G_GUINT64_FORMAT " %.0f",
			   upstream->index, (int)from, (int)to, fence,
			   hold_s * G_USEC_PER_SEC);
	else
		site_event(upstream->site, "release %u %d %d", upstream->index,
			   (int)from, (int)to);
	json_decref(root);
	answer(upstream, request, 200,
	       grant ? "X-Granted: 1" : "X-Handover: h1", "");
}

/* Returns the response body: the upstream's id and, for a path that contains
 * "long", the request id LONG_BODY_IDS times, so that clients detect a
 * truncated body or the body of another response. The caller frees it. */
static char *work_body(const struct work *work)
{
	GString *body = g_string_new(work->upstream->id);
	char id[64];
	int i;

	copy_header(work->request, STR("x-request-id"), id, sizeof(id));
	for (i = 0;
	     strstr(work->request->target->str, "long") && i < LONG_BODY_IDS;
	     i++)
		g_string_append_printf(body, " %s", id);
	return g_string_free(body, FALSE);
}

static void on_work_done(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct work *work = timer->data;

	char *body;

	(void)loop;
	(void)events;
	work->upstream->running--;
	body = work_body(work);
	answer(work->upstream, work->request, 200, NULL, body);
	g_free(body);
	g_free(work);
}

/* Counts the arrival of a request, and a violation if too many arrived. */
static void check_limit(struct upstream *upstream)
{
	double now = loop_now(&upstream->site->loop);
	double allowed = LIMIT_FACTOR * upstream->limit_per_s * LIMIT_WINDOW_S +
			 LIMIT_SLACK;

	if (upstream->limit_per_s < 0 ||
	    now < upstream->limited_since_s + LIMIT_SETTLE_S)
		return;
	g_array_append_val(upstream->arrivals, now);
	while (g_array_index(upstream->arrivals, double, 0) <
	       now - LIMIT_WINDOW_S)
		g_array_remove_index(upstream->arrivals, 0);
	if (upstream->arrivals->len > allowed)
		upstream->site->over_limit++;
}

/* Counts the arrival of a request that the upstream does not want any more. */
static void check_signals(struct upstream *upstream)
{
	double now = loop_now(&upstream->site->loop);

	if (upstream->leaving_said_s &&
	    now > upstream->leaving_said_s + LEAVING_S)
		upstream->site->after_leaving++;
	if (now > upstream->paused_from_s + PAUSE_SETTLE_S &&
	    now < upstream->paused_until_s)
		upstream->site->while_paused++;
}

void site_upstream_say_leaving(struct site *site, unsigned int index)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	upstream->says_leaving = true;
}

void site_upstream_pause(struct site *site, unsigned int index,
			 const char *text)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	g_free(upstream->pause);
	upstream->pause = g_strdup(text);
}

/* Refuses a request and asks for a pause. */
static void begin_pause(struct upstream *upstream, struct http_request *request)
{
	struct headers *headers = headers_create();
	struct http_answer out = { .status = 503, .headers = headers };
	double now = loop_now(&upstream->site->loop);
	char id[64];

	copy_header(request, STR("x-request-id"), id, sizeof(id));
	headers_add(headers, STR("X-Request-Id"), str_from(id));
	headers_add(headers, STR("X-Not-Executed"), STR("1"));
	headers_add(headers, STR("Retry-After"), str_from(upstream->pause));
	upstream->paused_from_s = now;
	upstream->paused_until_s = now + g_ascii_strtod(upstream->pause, NULL);
	g_clear_pointer(&upstream->pause, g_free);
	http_request_answer(request, &out);
	headers_destroy(headers);
}

void site_upstream_limit(struct site *site, unsigned int index, double per_s)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	upstream->limit_per_s = per_s;
	upstream->limited_since_s = loop_now(&site->loop);
	g_array_set_size(upstream->arrivals, 0);
}

static void on_crash_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct upstream *upstream = timer->data;

	(void)events;
	if (!upstream->server) {
		site_upstream_restart(upstream->site, upstream->index);
		return;
	}
	site_event(upstream->site, "end %u", upstream->index);
	http_server_destroy(upstream->server);
	upstream->server = NULL;
	ev_timer_set(timer, CRASH_S, 0);
	ev_timer_start(loop, timer);
}

/* Ends the upstream's process as soon as its server isn't running a handler. */
static void crash(struct upstream *upstream)
{
	if (!upstream->server || ev_is_active(&upstream->crash_timer))
		return;
	upstream->site->crashes++;
	ev_timer_init(&upstream->crash_timer, on_crash_timer, 0, 0);
	upstream->crash_timer.data = upstream;
	ev_timer_start(upstream->site->loop.ev, &upstream->crash_timer);
}

/* Records the fields about a request's customer. */
static void record_customer(const struct site *site,
			    const struct http_request *request, const char *id)
{
	const struct header *customer =
		headers_find(request->headers, STR("x-tenant"));
	const struct header *authorization =
		headers_find(request->headers, STR("authorization"));
	struct str none = STR("-");
	struct str name = customer ? customer->value : none;
	struct str key = authorization ? authorization->value : none;

	g_hash_table_replace(site->customers, g_strdup(id),
			     g_strdup_printf("customer=%.*s authorization=%.*s",
					     STR_ARG(name), STR_ARG(key)));
}

/* Executes a request: counts the execution of its id, and answers it after the
 * time that its path sets. */
static void start_work(struct upstream *upstream, struct http_request *request,
		       const char *id)
{
	struct site *site = upstream->site;
	struct work *work = g_new0(struct work, 1);
	const char *ms = strstr(request->target->str, "work-ms-");
	double work_s =
		ms ? g_ascii_strtod(ms + strlen("work-ms-"), NULL) / 1000
		   : DEFAULT_WORK_S;
	guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(site->runs, id));

	record_customer(site, request, id);
	if (!strcmp(request->method->str, "POST") &&
	    !headers_find(request->headers, STR("content-length")))
		site->bodies_missing++;
	if (runs && g_str_has_prefix(request->target->str, "/once/"))
		site->repeats++;
	g_hash_table_insert(site->runs, g_strdup(id),
			    GUINT_TO_POINTER(runs + 1));
	if (strstr(request->target->str, "crash")) {
		crash(upstream);
		g_free(work);
		return;
	}
	if (strstr(request->target->str, "lose-answer")) {
		http_request_abort(request);
		g_free(work);
		return;
	}
	upstream->running++;
	work->upstream = upstream;
	work->request = request;
	request->data = work;
	ev_timer_init(&work->timer, on_work_done, work_s, 0);
	work->timer.data = work;
	ev_timer_start(site->loop.ev, &work->timer);
}

static bool has_path(const struct http_request *request, const char *path)
{
	return !strcmp(request->target->str, path);
}

/* Returns whether a request names another upstream, or a key for which this
 * upstream holds no grant. */
static bool is_misdirected(const struct upstream *upstream,
			   const struct http_request *request,
			   const char *expect, int key)
{
	if (*expect && strcmp(expect, upstream->id) != 0)
		return true;
	return upstream->keyed && !has_path(request, "/grant") &&
	       !has_path(request, "/release") &&
	       upstream->held_until_s[key] < loop_now(&upstream->site->loop);
}

static void on_request(void *ctx, struct http_request *request)
{
	struct upstream *upstream = ctx;
	char expect[32], key[16], id[64];

	copy_header(request, STR("x-expect-instance"), expect, sizeof(expect));
	copy_header(request, STR("x-shard-key"), key, sizeof(key));
	copy_header(request, STR("x-request-id"), id, sizeof(id));
	if (*id) {
		check_limit(upstream);
		check_signals(upstream);
	}
	if (*id && !is_misdirected(upstream, request, expect, atoi(key) % KEYS))
		site_event(upstream->site, "arrive %u %s %s %d %d",
			   upstream->index, upstream->service, id,
			   atoi(key) % KEYS, upstream->running < 2 * SLOTS);
	if (is_misdirected(upstream, request, expect, atoi(key) % KEYS))
		answer(upstream, request, 421, "X-Not-Executed: 1", "");
	else if (has_path(request, "/grant"))
		handle_grant_order(upstream, request, true);
	else if (has_path(request, "/release"))
		handle_grant_order(upstream, request, false);
	else if (upstream->pause)
		begin_pause(upstream, request);
	else if (upstream->running >= 2 * SLOTS)
		answer(upstream, request, 503, "X-Not-Executed: 1", "");
	else
		start_work(upstream, request, id);
}

/* Ends the execution of a request whose connection was closed. */
static void on_request_closed(void *ctx, struct http_request *request)
{
	struct upstream *upstream = ctx;
	struct work *work = request->data;

	if (!work)
		return;
	ev_timer_stop(upstream->site->loop.ev, &work->timer);
	upstream->running--;
	g_free(work);
}

static const struct http_server_ops ops = { on_request, on_request_closed };

/* Starts listening, on a free port the first time and then on the same one, and
 * publishes the upstream. */
static void start_server(struct upstream *upstream)
{
	GError *error = NULL;

	upstream->server =
		http_server_create(&upstream->site->loop, &upstream->address,
				   &ops, upstream, &error);
	if (!upstream->server)
		g_error("cannot start an upstream: %s", error->message);
	upstream->address = http_server_address(upstream->server);
	upstream->started_ms = g_get_real_time() / 1000;
	if (!*upstream->published_address)
		address_format(&upstream->address, upstream->published_address);
	publish_entry(upstream);
}

void site_upstream_publish_address(struct site *site, unsigned int index,
				   const char *address)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	g_strlcpy(upstream->published_address, address,
		  sizeof(upstream->published_address));
	publish_entry(upstream);
}

void site_upstream_address(struct site *site, unsigned int index, char *text)
{
	const struct upstream *upstream = site->upstreams->pdata[index];

	address_format(&upstream->address, text);
}

/* Starts an upstream, at the address of another or at a free one. */
static void create_upstream(struct site *site, const char *service,
			    const char *zone, bool keyed,
			    const struct upstream *predecessor)
{
	struct upstream *upstream = g_new0(struct upstream, 1);

	upstream->site = site;
	upstream->index = site->upstreams->len;
	g_snprintf(upstream->id, sizeof(upstream->id), "t-%u", upstream->index);
	upstream->service = service;
	upstream->zone = zone;
	upstream->keyed = keyed;
	upstream->limit_per_s = -1;
	upstream->arrivals = g_array_new(FALSE, FALSE, sizeof(double));
	upstream->address.sin_family = AF_INET;
	upstream->address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (predecessor) {
		upstream->address = predecessor->address;
		g_strlcpy(upstream->published_address,
			  predecessor->published_address,
			  sizeof(upstream->published_address));
	}
	g_ptr_array_add(site->upstreams, upstream);
	start_server(upstream);
}

void site_upstream_create(struct site *site, const char *service,
			  const char *zone, bool keyed)
{
	create_upstream(site, service, zone, keyed, NULL);
}

void site_upstream_replace(struct site *site, unsigned int index,
			   const char *service, bool keyed)
{
	const struct upstream *predecessor = site->upstreams->pdata[index];

	create_upstream(site, service, predecessor->zone, keyed, predecessor);
}

void site_upstream_crash(struct site *site, unsigned int index)
{
	crash(site->upstreams->pdata[index]);
}

void site_upstream_end(struct site *site, unsigned int index)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	site_event(site, "end %u", index);
	http_server_destroy(upstream->server);
	upstream->server = NULL;
	memset(upstream->held_until_s, 0, sizeof(upstream->held_until_s));
	site_upstream_lapse(site, index);
}

void site_upstream_drain(struct site *site, unsigned int index, bool draining)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	upstream->draining = draining;
	publish_entry(upstream);
}

void site_upstream_lapse(struct site *site, unsigned int index)
{
	const struct upstream *upstream = site->upstreams->pdata[index];

	site_remove_row(site, "servers", upstream->id);
	site_event(site, "entry %u 1", index);
}

void site_upstream_restart(struct site *site, unsigned int index)
{
	struct upstream *upstream = site->upstreams->pdata[index];

	ev_timer_stop(site->loop.ev, &upstream->crash_timer);
	if (upstream->server)
		http_server_destroy(upstream->server);
	memset(upstream->held_until_s, 0, sizeof(upstream->held_until_s));
	memset(upstream->fence, 0, sizeof(upstream->fence));
	/* The signals were those of the earlier incarnation. */
	upstream->says_leaving = false;
	upstream->leaving_said_s = 0;
	upstream->paused_until_s = 0;
	site_event(site, "start %u", index);
	start_server(upstream);
}

unsigned int site_run_count(struct site *site, const char *id)
{
	return GPOINTER_TO_UINT(g_hash_table_lookup(site->runs, id));
}
