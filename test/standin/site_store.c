/* The external store: versioned rows, conditional transactions and a change
 * feed with long polling.
 *
 * Requests of daemons:
 *   /rows-tx                                  transaction, see transact()
 *   /rows-feed?table=T&after=VERSION&wait_ms=N
 *                                             rows of T changed since VERSION
 *   any other path with ?table=T              all rows of T
 * Requests of tests: /control/VERB?id=ID, see handle_control(). */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "site.h"

/* Interval at which watches are checked for the end of their wait. */
#define WATCH_CHECK_S 0.02
#define MS_PER_S 1000.0

/* A row of a table. Removed rows are kept, for the change feed. */
struct row {
	char *key;
	/** Value in Base64; NULL when the row was removed. */
	char *value;
	/** The store's version after the row's last change. */
	guint64 version;
	bool removed;
};

/* A feed request that is answered when its table has a change or its wait is
 * over. */
struct watch {
	struct http_request *request;
	char *table;
	/** Only changes with a higher version are reported. */
	guint64 after;
	/** Loop time at which the request is answered even without a change. */
	double until_s;
};

/* An answer of the store that is sent later. */
struct late_answer {
	struct http_request *request;
	unsigned int status;
	json_t *body;
	/** Era that it shows. */
	guint64 era;
	/** Loop time at which it is sent. */
	double due_s;
};

static void row_free(gpointer data)
{
	struct row *row = data;

	g_free(row->key);
	g_free(row->value);
	g_free(row);
}

/* Returns a table's rows by key; creates the table if it does not exist. */
static GHashTable *table_of(struct site *site, const char *name)
{
	GHashTable *table = g_hash_table_lookup(site->tables, name);

	if (table)
		return table;
	table = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, row_free);
	g_hash_table_insert(site->tables, g_strdup(name), table);
	return table;
}

/* Responds with a JSON value; takes over the reference to root.
 *
 * @param number the era that the response shows */
static void answer_json(guint64 number, struct http_request *request,
			unsigned int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	char *era = g_strdup_printf("%" G_GUINT64_FORMAT, number);
	struct headers *headers = headers_create();
	struct http_answer answer = { .status = status,
				      .headers = headers,
				      .body = str_from(text) };

	headers_add(headers, STR("Store-Era"), str_from(era));
	http_request_answer(request, &answer);
	headers_destroy(headers);
	g_free(era);
	free(text);
	json_decref(root);
}

/* Answers a daemon, site->answer_delay_s later; takes over the reference to
 * root. */
static void answer_daemon(struct site *site, struct http_request *request,
			  unsigned int status, json_t *root)
{
	struct late_answer *answer;

	if (site->answer_delay_s <= 0) {
		answer_json(site->era, request, status, root);
		return;
	}
	answer = g_new0(struct late_answer, 1);
	answer->request = request;
	answer->status = status;
	answer->body = root;
	answer->era = site->era;
	answer->due_s = loop_now(&site->loop) + site->answer_delay_s;
	g_queue_push_tail(&site->late_answers, answer);
}

/* Sends the late answers that are due. */
static void send_late_answers(struct site *site)
{
	double now = loop_now(&site->loop);
	struct late_answer *answer;

	while ((answer = g_queue_peek_head(&site->late_answers)) &&
	       answer->due_s <= now) {
		g_queue_pop_head(&site->late_answers);
		answer_json(answer->era, answer->request, answer->status,
			    answer->body);
		g_free(answer);
	}
}

/* Drops the late answer to a request whose connection was closed. */
static void drop_late_answer(struct site *site,
			     const struct http_request *request)
{
	GList *node;

	for (node = site->late_answers.head; node; node = node->next) {
		struct late_answer *answer = node->data;

		if (answer->request != request)
			continue;
		json_decref(answer->body);
		g_free(answer);
		g_queue_delete_link(&site->late_answers, node);
		return;
	}
}

/* Returns a row as the protocol writes it, a new reference. */
static json_t *row_json(const char *table, const struct row *row)
{
	json_t *out = json_pack("{sssssssI}", "table", table, "part", "", "key",
				row->key, "ver", (json_int_t)row->version);

	if (row->removed)
		json_object_set_new(out, "removed", json_true());
	else
		json_object_set_new(out, "value", json_string(row->value));
	return out;
}

static int compare_rows(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(struct row *const *)a;
	const struct row *y = *(struct row *const *)b;

	return x->version < y->version ? -1 : x->version > y->version;
}

/* Returns a JSON array of the rows of a table that changed after a version, in
 * version order. Removed rows are left out unless removed is true. */
static json_t *rows_json(struct site *site, const char *name, guint64 after,
			 bool removed)
{
	GPtrArray *rows = g_ptr_array_new();
	json_t *out = json_array();
	GHashTableIter iter;
	gpointer value;
	guint i;

	g_hash_table_iter_init(&iter, table_of(site, name));
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct row *row = value;

		if (row->version > after && (removed || !row->removed))
			g_ptr_array_add(rows, row);
	}
	g_ptr_array_sort(rows, compare_rows);
	for (i = 0; i < rows->len; i++)
		json_array_append_new(out, row_json(name, rows->pdata[i]));
	g_ptr_array_free(rows, TRUE);
	return out;
}

/* Returns the body of a response with rows, to which it takes over the
 * reference. */
static json_t *result_json(struct site *site, json_t *rows)
{
	return json_pack("{sosIsfsb}", "rows", rows, "ver",
			 (json_int_t)site->version, "now_s",
			 loop_now(&site->loop), "has_more", 0);
}

static void watch_free(struct watch *watch)
{
	g_free(watch->table);
	g_free(watch);
}

/* Answers the watches whose table has changed or whose wait is over. */
static void answer_watches(struct site *site)
{
	GList *node, *next;

	for (node = site->watches.head; node; node = next) {
		struct watch *watch = node->data;
		json_t *rows =
			rows_json(site, watch->table, watch->after, true);

		next = node->next;
		if (!json_array_size(rows) &&
		    loop_now(&site->loop) < watch->until_s) {
			json_decref(rows);
			continue;
		}
		g_queue_delete_link(&site->watches, node);
		answer_daemon(site, watch->request, 200,
			      result_json(site, rows));
		watch_free(watch);
	}
}

/* Drops all feed requests that wait, without an answer, as if their
 * connections had gone silent. */
static void drop_watches(struct site *site)
{
	struct watch *watch;

	while ((watch = g_queue_pop_head(&site->watches)))
		watch_free(watch);
}

void site_store_load(struct site *site, const char *table, const char *key,
		     const char *value)
{
	GHashTable *rows = table_of(site, table);
	struct row *row = g_new0(struct row, 1);

	row->key = g_strdup(key);
	row->value = g_strdup(value);
	row->removed = !value;
	row->version = site->version;
	g_hash_table_replace(rows, row->key, row);
}

void site_write_row(struct site *site, const char *table, const char *key,
		    const char *value)
{
	site->version++;
	site_store_load(site, table, key, value);
	site_history_note(site, table, key, value);
	answer_watches(site);
}

void site_store_clear(struct site *site)
{
	struct watch *watch;
	GHashTableIter iter;
	gpointer rows;

	g_hash_table_iter_init(&iter, site->tables);
	while (g_hash_table_iter_next(&iter, NULL, &rows))
		g_hash_table_remove_all(rows);
	while ((watch = g_queue_pop_head(&site->watches))) {
		answer_json(site->era, watch->request, 503, json_object());
		watch_free(watch);
	}
	site->version = 0;
}

void site_put_row(struct site *site, const char *table, const char *key,
		  const char *json)
{
	char *value = g_base64_encode((const guchar *)json, strlen(json));

	site_write_row(site, table, key, value);
	g_free(value);
}

void site_remove_row(struct site *site, const char *table, const char *key)
{
	site_write_row(site, table, key, NULL);
}

/* Returns the decoded value of a query parameter, or "" when it is missing; the
 * caller frees it. */
static char *query_value(const char *target, const char *name)
{
	const char *query = strchr(target, '?');
	char **parts = g_strsplit(query ? query + 1 : "", "&", -1);
	char *value = NULL;
	size_t i, len = strlen(name);

	for (i = 0; parts[i] && !value; i++)
		if (!strncmp(parts[i], name, len) && parts[i][len] == '=')
			value = g_uri_unescape_string(parts[i] + len + 1, NULL);
	g_strfreev(parts);
	return value ? value : g_strdup("");
}

/* Returns whether a row has the version that a transaction expects; version 0
 * expects that the row does not exist. */
static bool row_version_matches(struct site *site, json_t *expect)
{
	const char *table = json_string_value(json_object_get(expect, "table"));
	const char *key = json_string_value(json_object_get(expect, "key"));
	struct row *row = g_hash_table_lookup(table_of(site, table), key);
	guint64 version = row && !row->removed ? row->version : 0;

	return version ==
	       (guint64)json_integer_value(json_object_get(expect, "ver"));
}

/* Handles {"expect": [{"table", "key", "ver"}], "puts": [{"table", "key",
 * "value"}]}: writes all rows of "puts" if each row of "expect" has its
 * version. Otherwise writes none and responds with 412 and all rows of the
 * table of the first row that differs. */
static void transact(struct site *site, struct http_request *request)
{
	json_t *root = json_loads(request->body->str, 0, NULL);
	json_t *expect = json_object_get(root, "expect");
	json_t *puts = json_object_get(root, "puts");
	size_t i;

	for (i = 0; i < json_array_size(expect); i++) {
		json_t *condition = json_array_get(expect, i);

		if (row_version_matches(site, condition))
			continue;
		answer_daemon(
			site, request, 412,
			result_json(site,
				    rows_json(site,
					      json_string_value(json_object_get(
						      condition, "table")),
					      0, false)));
		json_decref(root);
		return;
	}
	for (i = 0; i < json_array_size(puts); i++) {
		json_t *put = json_array_get(puts, i);

		site_write_row(
			site, json_string_value(json_object_get(put, "table")),
			json_string_value(json_object_get(put, "key")),
			json_string_value(json_object_get(put, "value")));
	}
	json_decref(root);
	answer_daemon(site, request, 200, result_json(site, json_array()));
}

/* Handles a feed request: answers it now if its table has changed, or keeps it
 * until then. */
static void start_watch(struct site *site, struct http_request *request)
{
	struct watch *watch = g_new0(struct watch, 1);
	char *after = query_value(request->target->str, "after");
	char *wait_ms = query_value(request->target->str, "wait_ms");

	if (g_ascii_strtoull(after, NULL, 10) > site->version) {
		answer_daemon(site, request, 410, json_object());
		g_free(after);
		g_free(wait_ms);
		g_free(watch);
		return;
	}
	watch->request = request;
	watch->table = query_value(request->target->str, "table");
	watch->after = g_ascii_strtoull(after, NULL, 10);
	watch->until_s =
		loop_now(&site->loop) + g_ascii_strtod(wait_ms, NULL) / 1000;
	g_free(after);
	g_free(wait_ms);
	g_queue_push_tail(&site->watches, watch);
	answer_watches(site);
}

/* Handles a call of a test, /control/VERB?id=ID, and responds with the
 * counters. ID is the index of an upstream, except for these verbs:
 *   runs          ID is a request id, whose executions are counted, and whose
 *                 fields about the customer are shown
 *   config        no ID; the body is the configuration to write
 *   down          the store is down unless ID is 0
 *   return        the store is back as it was ID milliseconds ago, in a new
 *                 era
 *   slow          the store answers ID milliseconds late
 *   lose-feeds    feed requests that wait are never answered
 *   more          ID more upstreams of the service "plain" start
 *   entry         ID is the key of a row of upstreams, the body its value
 *   lapse         the upstream's entry disappears, as if the upstream were
 *                 partitioned from the store; it runs on
 *   crash         the upstream's process ends, and starts again later
 *   end           the upstream ends for good
 *   replace       an upstream of the service in the body starts at the address
 *                 of this one, which has ended
 *   leaving       the upstream says in its answers that it leaves
 *   pause         it refuses one request; the body is its Retry-After
 * The body of list-at is the address to publish for the upstream, that of limit
 * the requests per second that it names as its limit, or -1. An unknown
 * verb has no effect. */
static void handle_control(struct site *site, struct http_request *request)
{
	char *id = query_value(request->target->str, "id");
	unsigned int index = (unsigned int)g_ascii_strtoull(id, NULL, 10);
	const char *verb = request->target->str + strlen("/control/");
	char address[ADDRESS_TEXT_SIZE] = "";
	const char *customer = NULL;
	unsigned int runs = 0;

	if (g_str_has_prefix(verb, "runs")) {
		runs = site_run_count(site, id);
		customer = g_hash_table_lookup(site->customers, id);
	} else if (g_str_has_prefix(verb, "drain"))
		site_upstream_drain(site, index, true);
	else if (g_str_has_prefix(verb, "undrain"))
		site_upstream_drain(site, index, false);
	else if (g_str_has_prefix(verb, "restart"))
		site_upstream_restart(site, index);
	else if (g_str_has_prefix(verb, "down")) {
		site->store_down = index != 0;
		site_event(site, "store %d", site->store_down);
	} else if (g_str_has_prefix(verb, "return")) {
		site_restore(site, index / MS_PER_S);
		site->store_down = false;
	} else if (g_str_has_prefix(verb, "slow"))
		site->answer_delay_s = index / MS_PER_S;
	else if (g_str_has_prefix(verb, "lose-feeds"))
		drop_watches(site);
	else if (g_str_has_prefix(verb, "entry"))
		site_put_row(site, "servers", id, request->body->str);
	else if (g_str_has_prefix(verb, "more"))
		for (; index > 0; index--)
			site_upstream_create(site, "plain", "z1", false);
	else if (g_str_has_prefix(verb, "limit"))
		site_upstream_limit(site, index,
				    g_ascii_strtod(request->body->str, NULL));
	else if (g_str_has_prefix(verb, "lapse"))
		site_upstream_lapse(site, index);
	else if (g_str_has_prefix(verb, "leaving"))
		site_upstream_say_leaving(site, index);
	else if (g_str_has_prefix(verb, "pause"))
		site_upstream_pause(site, index, request->body->str);
	else if (g_str_has_prefix(verb, "crash"))
		site_upstream_crash(site, index);
	else if (g_str_has_prefix(verb, "end"))
		site_upstream_end(site, index);
	else if (g_str_has_prefix(verb, "replace"))
		site_upstream_replace(site, index,
				      g_intern_string(request->body->str),
				      !strcmp(request->body->str, "keyed"));
	else if (g_str_has_prefix(verb, "list-at"))
		site_upstream_publish_address(site, index, request->body->str);
	else if (g_str_has_prefix(verb, "address"))
		site_upstream_address(site, index, address);
	else if (g_str_has_prefix(verb, "config"))
		site_put_row(site, "op", "config", request->body->str);
	g_free(id);
	answer_json(site->era, request, 200,
		    json_pack("{sisisisisisisisissss}", "runs", (int)runs,
			      "crashes", (int)site->crashes, "over_limit",
			      (int)site->over_limit, "after_leaving",
			      (int)site->after_leaving, "while_paused",
			      (int)site->while_paused, "bodies_missing",
			      (int)site->bodies_missing, "double_owners",
			      (int)site->double_owners, "repeats",
			      (int)site->repeats, "address", address,
			      "customer", customer ? customer : ""));
}

static void on_request(void *ctx, struct http_request *request)
{
	struct site *site = ctx;
	const char *target = request->target->str;

	if (g_str_has_prefix(target, "/control/")) {
		handle_control(site, request);
	} else if (site->store_down) {
		answer_json(site->era, request, 503, json_object());
	} else if (g_str_has_prefix(target, "/rows-tx")) {
		transact(site, request);
	} else if (g_str_has_prefix(target, "/rows-feed")) {
		start_watch(site, request);
	} else {
		char *table = query_value(target, "table");

		answer_daemon(
			site, request, 200,
			result_json(site, rows_json(site, table, 0, false)));
		g_free(table);
	}
}

/* Drops the watch of a feed request whose connection was closed. */
static void on_request_closed(void *ctx, struct http_request *request)
{
	struct site *site = ctx;
	GList *node;

	drop_late_answer(site, request);
	for (node = site->watches.head; node; node = node->next) {
		struct watch *watch = node->data;

		if (watch->request != request)
			continue;
		g_queue_delete_link(&site->watches, node);
		watch_free(watch);
		return;
	}
}

static void on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	site_restore_tick(timer->data);
	answer_watches(timer->data);
	send_late_answers(timer->data);
}

struct http_server *site_store_create(struct site *site)
{
	static const struct http_server_ops ops = { on_request,
						    on_request_closed };
	static ev_timer watch_timer;
	struct sockaddr_in address = { .sin_family = AF_INET };
	GError *error = NULL;
	struct http_server *server;

	site->tables = g_hash_table_new(g_str_hash, g_str_equal);
	site->era = 1;
	site->history = site_history_create();
	g_queue_init(&site->watches);
	g_queue_init(&site->late_answers);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server = http_server_create(&site->loop, &address, &ops, site, &error);
	if (!server)
		g_error("cannot start the store: %s", error->message);
	ev_timer_init(&watch_timer, on_timer, WATCH_CHECK_S, WATCH_CHECK_S);
	watch_timer.data = site;
	ev_timer_start(site->loop.ev, &watch_timer);
	return server;
}
