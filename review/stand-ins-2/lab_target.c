/*
 * Targets: they hold keys, run requests and check who else holds a key.
 * The path chooses the work: .../ms-N takes N milliseconds.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "lab_internal.h"

#define HEARTBEAT_S 0.87
/* Intervals of silence after which an entry is removed. */
#define SILENT_HEARTBEATS 3
#define DEFAULT_WORK_S 0.005
/* Body of an answer to a path with /big/, in bytes: those of the sites'
 * downloads have up to 540,000. */
#define BIG_BYTES 400000
/* Step in which running work looks at its connection. */
#define STEP_S 0.002
/* A key that two targets hold for longer breaks the rule. */
#define BOTH_HOLD_S 0.5

struct target {
	char *id;
	char *service;
	char *zone;
	bool keyed;
	struct sockaddr_in address;
	char address_text[32];
	gint64 born;
	unsigned int seq;
	/** Since when it is partitioned from the store; 0: it isn't. */
	double cut_s;
	bool entry_removed;
	unsigned int running;
	/** Requests at work by key. */
	unsigned int at_work[LAB_KEYS];
	/** Until when each key is held; a release ends it. */
	double held_until_s[LAB_KEYS];
	/** Until when it would be held without a release. */
	double granted_until_s[LAB_KEYS];
	guint64 fence[LAB_KEYS];
	/** Another target holds the key too since then; 0: none does. */
	double both_since_s[LAB_KEYS];
	bool both_recorded;
};

/** What is known of a request by its id. */
struct trace {
	struct target *target;
	unsigned int runs;
};

static GMutex mutex;
static GCond released;
static GPtrArray *targets;
static GHashTable *traces;

static struct trace *trace_of(const char *id)
{
	struct trace *trace;

	if (!traces)
		traces = g_hash_table_new(g_str_hash, g_str_equal);
	trace = g_hash_table_lookup(traces, id);
	if (!trace) {
		trace = g_new0(struct trace, 1);
		g_hash_table_insert(traces, g_strdup(id), trace);
	}
	return trace;
}

/* --- entry in the store --- */

static void publish(struct target *t)
{
	json_t *entry = json_pack("{sssssssssisssfsisI}", "service", t->service,
				  "address", t->address_text, "zone", t->zone,
				  "version", "v1", "slots", LAB_SLOTS, "state",
				  "ready", "cold_left_s", 0.0, "seq",
				  (int)++t->seq, "born", (json_int_t)t->born);
	char *text = json_dumps(entry, JSON_COMPACT);

	store_put("servers", t->id, text);
	free(text);
	json_decref(entry);
}

/* One heartbeat, or the removal of the entry of a silent target. */
static void beat(struct target *t)
{
	if (!t->cut_s) {
		publish(t);
	} else if (!t->entry_removed &&
		   lab_now() > t->cut_s + SILENT_HEARTBEATS * HEARTBEAT_S) {
		t->entry_removed = true;
		store_remove("servers", t->id);
		lab_record("the store removed the entry of %s", t->id);
	}
}

static gpointer run_heartbeats(gpointer data)
{
	struct target *t = data;

	for (;;) {
		g_mutex_lock(&mutex);
		beat(t);
		g_mutex_unlock(&mutex);
		lab_sleep(HEARTBEAT_S);
	}
	return NULL;
}

/* --- keys --- */

/* Checks a grant against what the other targets of the service hold and run. */
static void check_grant(const struct target *t, int from, int to)
{
	double now = lab_now();
	guint i;
	int k;

	for (i = 0; i < targets->len; i++) {
		const struct target *other = targets->pdata[i];

		if (other == t || strcmp(other->service, t->service) != 0)
			continue;
		for (k = from; k <= to; k++)
			if (other->at_work[k] &&
			    now < other->granted_until_s[k]) {
				lab_broken("OWNER: %s is given key %d, on "
					   "which %s is still at work; its "
					   "hold would run for %.3f s more",
					   t->id, k, other->id,
					   other->granted_until_s[k] - now);
				break;
			}
		for (k = from; k <= to; k++)
			if (now < other->held_until_s[k]) {
				lab_record("%s is given key %d, which %s "
					   "holds for %.3f s more",
					   t->id, k, other->id,
					   other->held_until_s[k] - now);
				break;
			}
	}
}

/* Checks how long two targets have both held a key. */
static void check_pair(struct target *a, const struct target *b, int key)
{
	double now = lab_now();

	if (now >= a->held_until_s[key] || now >= b->held_until_s[key]) {
		a->both_since_s[key] = 0;
		return;
	}
	if (a->both_since_s[key] == 0)
		a->both_since_s[key] = now;
	if (a->both_recorded || now - a->both_since_s[key] <= BOTH_HOLD_S)
		return;
	a->both_recorded = true;
	lab_broken("OWNER: %s and %s have both held key %d since %.3f", a->id,
		   b->id, key, a->both_since_s[key]);
}

static void check_both(void)
{
	guint i, j;
	int k;

	for (i = 0; i < targets->len; i++)
		for (j = i + 1; j < targets->len; j++) {
			struct target *a = targets->pdata[i];
			const struct target *b = targets->pdata[j];

			if (!a->keyed || strcmp(a->service, b->service) != 0)
				continue;
			for (k = 0; k < LAB_KEYS; k++)
				check_pair(a, b, k);
		}
}

static gpointer run_checks(gpointer data)
{
	(void)data;
	for (;;) {
		g_mutex_lock(&mutex);
		check_both();
		g_mutex_unlock(&mutex);
		lab_sleep(0.05);
	}
	return NULL;
}

struct order {
	int from, to;
	guint64 fence;
	double hold_s;
};

static struct order read_order(const struct message *request)
{
	json_t *root = json_loads(request->body->str, 0, NULL);
	struct order order = {
		.from = (int)json_integer_value(json_object_get(root, "from")),
		.to = (int)json_integer_value(json_object_get(root, "to")),
		.fence = (guint64)json_integer_value(
			json_object_get(root, "fence")),
		.hold_s = json_number_value(json_object_get(root, "hold_s")),
	};

	json_decref(root);
	return order;
}

/* Returns the status. */
static int grant(struct target *t, const struct order *order)
{
	double now = lab_now();
	bool fresh = false;
	int k;

	for (k = order->from; k <= order->to; k++)
		if (order->fence < t->fence[k])
			return 409;
	for (k = order->from; k <= order->to; k++)
		fresh = fresh || t->held_until_s[k] < now;
	if (fresh)
		lab_record(
			"%s is granted keys %d to %d, fence %" G_GUINT64_FORMAT
			", for %.1f s",
			t->id, order->from, order->to, order->fence,
			order->hold_s);
	if (fresh)
		check_grant(t, order->from, order->to);
	for (k = order->from; k <= order->to; k++) {
		t->fence[k] = order->fence;
		t->held_until_s[k] = now + order->hold_s;
		t->granted_until_s[k] = now + order->hold_s;
	}
	return 200;
}

static bool works_on(const struct target *t, const struct order *order)
{
	int k;

	for (k = order->from; k <= order->to; k++)
		if (t->at_work[k])
			return true;
	return false;
}

static void release(struct target *t, const struct order *order)
{
	int k;

	lab_record("%s gets a release of keys %d to %d", t->id, order->from,
		   order->to);
	for (k = order->from; k <= order->to; k++) {
		t->fence[k] = MAX(t->fence[k], order->fence);
		t->held_until_s[k] = 0;
	}
	while (works_on(t, order))
		g_cond_wait(&released, &mutex);
	lab_record("%s answers the release of keys %d to %d", t->id,
		   order->from, order->to);
}

/* --- requests --- */

static GString *answer(const struct target *t, int status, const char *id,
		       const char *extra, const char *body)
{
	GString *out = g_string_new(NULL);

	g_string_printf(out,
			"HTTP/1.1 %d Status\r\nKeep-Alive: timeout=10\r\n"
			"X-Server-Load: %u,0,%d,100\r\n%s",
			status, t->running, LAB_SLOTS, extra);
	if (*id)
		g_string_append_printf(out, "X-Request-Id: %s\r\n", id);
	g_string_append_printf(out, "Content-Length: %zu\r\n\r\n%s",
			       strlen(body), body);
	return out;
}

static GString *misdirected(const struct target *t, const char *id)
{
	char *extra = g_strdup_printf(
		"X-Not-Executed: 1\r\nX-Instance-Id: %s\r\n", t->id);
	GString *out = answer(t, 421, id, extra, "");

	g_free(extra);
	return out;
}

/* Works for the time that the path sets; false if the connection was closed
 * meanwhile. */
static bool work(const struct message *request, const struct stream *stream)
{
	const char *ms = strstr(request->head->str, "/ms-");
	double until = lab_now() + (ms ? g_ascii_strtod(ms + 4, NULL) / 1000
				       : DEFAULT_WORK_S);

	while (lab_now() < until) {
		g_mutex_unlock(&mutex);
		lab_sleep(STEP_S);
		g_mutex_lock(&mutex);
		if (stream_is_closed(stream))
			return false;
	}
	return true;
}

static GString *run(struct target *t, const struct message *request,
		    const char *id, int key, const struct stream *stream)
{
	struct trace *trace = trace_of(id);
	GString *out = NULL;
	char *body;

	trace->runs++;
	t->running++;
	t->at_work[key]++;
	lab_record("%s begins request %s", t->id, id);
	if (work(request, stream)) {
		lab_record("%s ends request %s", t->id, id);
		body = strstr(request->head->str, "/big/")
			       ? g_strnfill(BIG_BYTES, 'x')
			       : g_strdup(t->id);
		out = answer(t, 200, id, "X-Server-Signature: sig\r\n", body);
		g_free(body);
	} else {
		lab_record("%s drops request %s: its connection was closed",
			   t->id, id);
	}
	t->at_work[key]--;
	t->running--;
	g_cond_broadcast(&released);
	return out;
}

/* Returns the answer; NULL to close the connection. */
static GString *handle(struct target *t, const struct message *request,
		       const struct stream *stream)
{
	char *expect = message_field(request, "X-Expect-Instance");
	char *id = message_field(request, "X-Request-Id");
	char *key_text = message_field(request, "X-Shard-Key");
	int key = atoi(key_text) % LAB_KEYS;
	const char *start = request->head->str;
	struct trace *trace = trace_of(id);
	struct order order;
	GString *out = NULL;

	if (*id)
		trace->target = t;
	if (*expect && strcmp(expect, t->id) != 0) {
		out = misdirected(t, id);
	} else if (g_str_has_prefix(start, "POST /grant ")) {
		order = read_order(request);
		out = answer(t, grant(t, &order), id, "", "");
	} else if (g_str_has_prefix(start, "POST /release ")) {
		order = read_order(request);
		release(t, &order);
		out = answer(t, 200, id, "X-Handover: 5c0e7a21d94b36f8\r\n",
			     "");
	} else if (!*id) {
		out = answer(t, 400, id, "X-Not-Executed: 1\r\n", "");
	} else if (t->keyed && lab_now() >= t->held_until_s[key]) {
		lab_record("%s doesn't hold key %d of request %s", t->id, key,
			   id);
		out = misdirected(t, id);
	} else {
		out = run(t, request, id, key, stream);
	}
	g_free(expect);
	g_free(id);
	g_free(key_text);
	return out;
}

static void serve(void *ctx, struct stream *stream)
{
	struct target *t = ctx;
	struct message request;
	bool open = true;

	while (open && message_read(stream, &request)) {
		GString *out;

		g_mutex_lock(&mutex);
		out = handle(t, &request, stream);
		g_mutex_unlock(&mutex);
		open = out && net_write(stream->fd, out);
		if (out)
			g_string_free(out, TRUE);
		message_clear(&request);
	}
}

/* --- interface --- */

struct target *target_start(const char *id, const char *service,
			    const char *zone, bool keyed)
{
	struct target *t = g_new0(struct target, 1);

	t->id = g_strdup(id);
	t->service = g_strdup(service);
	t->zone = g_strdup(zone);
	t->keyed = keyed;
	t->born = g_get_real_time() / 1000;
	g_mutex_lock(&mutex);
	if (!targets) {
		targets = g_ptr_array_new();
		g_thread_unref(g_thread_new("checks", run_checks, NULL));
	}
	g_ptr_array_add(targets, t);
	g_mutex_unlock(&mutex);
	net_serve(&t->address, serve, t);
	net_format(&t->address, t->address_text);
	g_thread_unref(g_thread_new("heartbeats", run_heartbeats, t));
	return t;
}

const char *target_id(const struct target *target)
{
	return target->id;
}

const char *target_address(const struct target *target)
{
	return target->address_text;
}

gint64 target_born(const struct target *target)
{
	return target->born;
}

void target_cut(struct target *target)
{
	g_mutex_lock(&mutex);
	target->cut_s = lab_now();
	lab_record("%s is partitioned from the store", target->id);
	g_mutex_unlock(&mutex);
}

struct target *target_of_request(const char *id)
{
	struct target *target;

	g_mutex_lock(&mutex);
	target = trace_of(id)->target;
	g_mutex_unlock(&mutex);
	return target;
}

unsigned int runs_of_request(const char *id)
{
	unsigned int runs;

	g_mutex_lock(&mutex);
	runs = trace_of(id)->runs;
	g_mutex_unlock(&mutex);
	return runs;
}
