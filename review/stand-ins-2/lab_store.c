/* The platform's store: rows in tables, transactions and the change feed. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "lab_internal.h"

struct row {
	char *table;
	char *key;
	/** Base64. */
	char *value;
	json_int_t version;
	bool removed;
};

static GMutex mutex;
static GCond changed;
/** All rows (struct row), in the order of their last changes. */
static GPtrArray *rows;
static json_int_t version;
static char address_text[32];

static struct row *find_row(const char *table, const char *key)
{
	guint i;

	for (i = 0; i < rows->len; i++) {
		struct row *row = rows->pdata[i];

		if (!strcmp(row->table, table) && !strcmp(row->key, key))
			return row;
	}
	return NULL;
}

/* Changes a row under the present version; value NULL removes it. */
static void set_row(const char *table, const char *key, const char *value)
{
	struct row *row = find_row(table, key);

	if (row) {
		g_ptr_array_remove(rows, row);
		g_free(row->value);
	} else {
		row = g_new0(struct row, 1);
		row->table = g_strdup(table);
		row->key = g_strdup(key);
	}
	row->value = g_strdup(value);
	row->removed = !value;
	row->version = version;
	g_ptr_array_add(rows, row);
}

static void change_row(const char *table, const char *key, const char *value)
{
	g_mutex_lock(&mutex);
	version++;
	set_row(table, key, value);
	g_cond_broadcast(&changed);
	g_mutex_unlock(&mutex);
}

void store_put(const char *table, const char *key, const char *json)
{
	char *value = g_base64_encode((const guchar *)json, strlen(json));

	change_row(table, key, value);
	g_free(value);
}

void store_remove(const char *table, const char *key)
{
	change_row(table, key, NULL);
}

static json_t *row_json(const struct row *row)
{
	json_t *out = json_pack("{sssssssI}", "table", row->table, "part", "",
				"key", row->key, "ver", row->version);

	if (row->removed)
		json_object_set_new(out, "removed", json_true());
	else
		json_object_set_new(out, "value", json_string(row->value));
	return out;
}

/* Returns a table's rows that changed after a version. */
static json_t *rows_json(const char *table, json_int_t after, bool removed)
{
	json_t *out = json_array();
	guint i;

	for (i = 0; i < rows->len; i++) {
		const struct row *row = rows->pdata[i];

		if (!strcmp(row->table, table) && row->version > after &&
		    (removed || !row->removed))
			json_array_append_new(out, row_json(row));
	}
	return out;
}

static json_t *result_json(json_t *list)
{
	return json_pack("{sosIsfsb}", "rows", list, "ver", version, "now_s",
			 lab_now() + 1000, "has_more", 0);
}

static const char *text_of(json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static json_int_t present_version(json_t *id)
{
	const struct row *row =
		find_row(text_of(id, "table"), text_of(id, "key"));

	return row && !row->removed ? row->version : 0;
}

static json_t *transact(const char *body, int *status)
{
	json_t *root = json_loads(body, 0, NULL);
	json_t *expect = json_object_get(root, "expect");
	json_t *puts = json_object_get(root, "puts");
	json_t *list = json_array();
	bool met = true;
	size_t i;

	for (i = 0; i < json_array_size(expect); i++) {
		json_t *item = json_array_get(expect, i);
		const struct row *row =
			find_row(text_of(item, "table"), text_of(item, "key"));

		if (present_version(item) !=
		    json_integer_value(json_object_get(item, "ver")))
			met = false;
		if (row && !row->removed)
			json_array_append_new(list, row_json(row));
	}
	*status = met ? 200 : 412;
	if (met) {
		json_array_clear(list);
		version++;
		for (i = 0; i < json_array_size(puts); i++) {
			json_t *item = json_array_get(puts, i);

			set_row(text_of(item, "table"), text_of(item, "key"),
				text_of(item, "value"));
		}
		g_cond_broadcast(&changed);
	}
	json_decref(root);
	return result_json(list);
}

/* Returns the value of a query parameter, to be freed. */
static char *query(const char *target, const char *name)
{
	char *mark = g_strdup_printf("%s=", name);
	const char *at = strstr(target, mark);
	size_t len = at ? strcspn(at + strlen(mark), "& ") : 0;
	char *value = g_strndup(at ? at + strlen(mark) : "", len);

	g_free(mark);
	return value;
}

static json_t *follow(const char *target)
{
	char *table = query(target, "table");
	char *after = query(target, "after");
	char *wait = query(target, "wait_ms");
	gint64 until =
		g_get_monotonic_time() + g_ascii_strtoll(wait, NULL, 10) * 1000;
	json_t *list = NULL;

	for (;;) {
		list = rows_json(table, g_ascii_strtoll(after, NULL, 10), true);
		if (json_array_size(list) ||
		    !g_cond_wait_until(&changed, &mutex, until))
			break;
		json_decref(list);
	}
	g_free(table);
	g_free(after);
	g_free(wait);
	return result_json(list);
}

static json_t *handle(const struct message *request, int *status)
{
	const char *start = request->head->str;
	json_t *out;
	char *table;

	*status = 200;
	if (g_str_has_prefix(start, "POST /rows-tx"))
		return transact(request->body->str, status);
	if (g_str_has_prefix(start, "GET /rows-feed"))
		return follow(start);
	table = query(start, "table");
	out = result_json(rows_json(table, 0, false));
	g_free(table);
	return out;
}

static void serve(void *ctx, struct stream *stream)
{
	struct message request;
	bool open = true;

	(void)ctx;
	while (open && message_read(stream, &request)) {
		GString *out = g_string_new(NULL);
		json_t *root;
		char *text;
		int status;

		g_mutex_lock(&mutex);
		root = handle(&request, &status);
		g_mutex_unlock(&mutex);
		text = json_dumps(root, JSON_COMPACT);
		g_string_printf(out,
				"HTTP/1.1 %d %s\r\n"
				"Content-Type: application/json\r\n"
				"Content-Length: %zu\r\n\r\n%s",
				status, status == 200 ? "OK" : "Conflict",
				strlen(text), text);
		open = net_write(stream->fd, out);
		free(text);
		json_decref(root);
		g_string_free(out, TRUE);
		message_clear(&request);
	}
}

void store_start(void)
{
	struct sockaddr_in address;

	rows = g_ptr_array_new();
	net_serve(&address, serve, NULL);
	net_format(&address, address_text);
}

const char *store_address(void)
{
	return address_text;
}
