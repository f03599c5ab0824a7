#include "platform/table.h"

#include <jansson.h>

#define STATUS_OK 200u
#define STATUS_NO_CONTENT 204u
#define STATUS_NOT_FOUND 404u
#define STATUS_PRECONDITION_FAILED 412u

struct table {
	struct http_client *http;
	/* "http://IPv4:port" of the platform. */
	char *base_url;
	int64_t timeout_us;
};

/* One call in flight; one of its three callbacks is set. */
struct pending {
	/* The call may change rows: without a reply its outcome is unknown. */
	bool write;
	/* Number of operations of a batch. */
	size_t count;
	/* Callback for table_get() and table_put(), for table_batch(), and for
	 * the other calls. */
	table_done_fn done;
	table_batch_fn batch_done;
	table_text_fn text_done;
	void *ctx;
};

struct table *table_create(struct http_client *http, const char *address,
			   int64_t timeout_us)
{
	struct table *table = g_new0(struct table, 1);

	table->http = http;
	table->base_url = g_strdup_printf("http://%s", address);
	table->timeout_us = timeout_us;
	return table;
}

void table_destroy(struct table *table)
{
	if (!table)
		return;
	g_free(table->base_url);
	g_free(table);
}

/* Returns the status of a call that got no reply, or one with an error status.
 */
static enum table_status failure_status(const struct http_answer *answer,
					bool write)
{
	if (!write || answer->result == HTTP_NOT_SENT)
		return TABLE_UNAVAILABLE;
	/* The write may have taken effect before the failure. */
	return TABLE_UNKNOWN;
}

static enum table_status answer_status(const struct http_answer *answer,
				       bool write)
{
	if (answer->result != HTTP_ANSWERED)
		return failure_status(answer, write);
	switch (answer->status) {
	case STATUS_OK:
	case STATUS_NO_CONTENT:
		return TABLE_OK;
	case STATUS_NOT_FOUND:
		return TABLE_ABSENT;
	case STATUS_PRECONDITION_FAILED:
		return TABLE_CONFLICT;
	default:
		return failure_status(answer, write);
	}
}

static void on_row(void *ctx, const struct http_answer *answer)
{
	struct pending *pending = ctx;
	struct table_result result = {
		.status = answer_status(answer, pending->write),
		.version = answer->etag,
		.value = answer->body,
	};

	pending->done(pending->ctx, &result);
	g_free(pending);
}

/* Starts a call.
 *
 * @param url freed by this function
 * @param condition header line with the condition of a write, or NULL for none
 * @param pending freed by done */
static void start_call(struct table *table, const char *method, char *url,
		       struct str body, const char *condition,
		       struct pending *pending, http_done_fn done)
{
	const char *headers[] = { condition, NULL };
	struct http_call call = {
		.method = method,
		.url = url,
		.body = body,
		.headers = headers,
		.timeout_us = table->timeout_us,
		.own_connection = pending->write,
	};

	http_client_start(table->http, &call, done, pending);
	g_free(url);
}

static char *row_url(const struct table *table, struct str key)
{
	return g_strdup_printf("%s/table/%.*s", table->base_url, STR_ARG(key));
}

void table_get(struct table *table, struct str key, table_done_fn done,
	       void *ctx)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->done = done;
	pending->ctx = ctx;
	start_call(table, "GET", row_url(table, key), STR(""), NULL, pending,
		   on_row);
}

void table_put(struct table *table, struct str key, uint64_t if_version,
	       struct str value, table_done_fn done, void *ctx)
{
	struct pending *pending = g_new0(struct pending, 1);
	char condition[64] = "If-None-Match: *";

	if (if_version != TABLE_IF_ABSENT)
		g_snprintf(condition, sizeof(condition),
			   "If-Match: \"%" G_GUINT64_FORMAT "\"", if_version);
	pending->write = true;
	pending->done = done;
	pending->ctx = ctx;
	start_call(table, "PUT", row_url(table, key), value,
		   if_version == TABLE_ANY_VERSION ? NULL : condition, pending,
		   on_row);
}

static json_t *encode_op(const struct table_op *op)
{
	static const char *const names[] = {
		[TABLE_OP_GET] = "get",
		[TABLE_OP_PUT] = "put",
		[TABLE_OP_DELETE] = "delete",
	};
	json_t *json = json_pack("{ss}", "op", names[op->kind]);

	json_object_set_new(json, "key",
			    json_stringn(op->key.data, op->key.len));
	if (op->kind != TABLE_OP_GET && op->if_version != TABLE_ANY_VERSION)
		json_object_set_new(json, "if_version",
				    json_integer((json_int_t)op->if_version));
	if (op->kind == TABLE_OP_PUT)
		json_object_set_new(
			json, "value",
			json_stringn(op->value.data, op->value.len));
	return json;
}

/* Returns the status with a name.
 *
 * @param write the batch may change rows */
static enum table_status parse_op_status(const char *name, bool write)
{
	if (!g_strcmp0(name, "ok"))
		return TABLE_OK;
	if (!g_strcmp0(name, "conflict"))
		return TABLE_CONFLICT;
	if (!g_strcmp0(name, "absent"))
		return TABLE_ABSENT;
	return write ? TABLE_UNKNOWN : TABLE_UNAVAILABLE;
}

/* Decodes the results of a batch. An operation whose result is missing or has
 * an unknown status counts as failed. */
static void decode_results(json_t *rows, bool write,
			   struct table_result *results, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		json_t *row = json_array_get(rows, i);
		json_t *value = json_object_get(row, "value");

		results[i].status = parse_op_status(
			json_string_value(json_object_get(row, "status")),
			write);
		results[i].version = (uint64_t)json_integer_value(
			json_object_get(row, "version"));
		results[i].value = (struct str){ json_string_value(value),
						 json_string_length(value) };
	}
}

static void on_batch(void *ctx, const struct http_answer *answer)
{
	struct pending *pending = ctx;
	struct table_result *results =
		g_new0(struct table_result, pending->count);
	enum table_status status = answer_status(answer, pending->write);
	json_t *root = NULL;
	size_t i;

	if (status == TABLE_OK)
		root = json_loadb(answer->body.data, answer->body.len, 0, NULL);
	else
		for (i = 0; i < pending->count; i++)
			results[i].status = status;
	if (status == TABLE_OK)
		decode_results(json_object_get(root, "results"), pending->write,
			       results, pending->count);
	pending->batch_done(pending->ctx, results, pending->count);
	json_decref(root);
	g_free(results);
	g_free(pending);
}

void table_batch(struct table *table, const struct table_op *ops, size_t count,
		 table_batch_fn done, void *ctx)
{
	struct pending *pending = g_new0(struct pending, 1);
	json_t *list = json_array();
	json_t *root = json_pack("{so}", "ops", list);
	char *body;
	size_t i;

	for (i = 0; i < count; i++) {
		json_array_append_new(list, encode_op(&ops[i]));
		pending->write |= ops[i].kind != TABLE_OP_GET;
	}
	body = json_dumps(root, JSON_COMPACT);
	pending->count = count;
	pending->batch_done = done;
	pending->ctx = ctx;
	start_call(table, "POST", g_strconcat(table->base_url, "/batch", NULL),
		   str_from(body), NULL, pending, on_batch);
	free(body);
	json_decref(root);
}

static void on_text(void *ctx, const struct http_answer *answer)
{
	struct pending *pending = ctx;
	enum table_status status = answer_status(answer, false);

	pending->text_done(pending->ctx, status,
			   status == TABLE_OK ? answer->body : STR(""));
	g_free(pending);
}

static void start_text(struct table *table, char *url, table_text_fn done,
		       void *ctx)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->text_done = done;
	pending->ctx = ctx;
	start_call(table, "GET", url, STR(""), NULL, pending, on_text);
}

void table_list(struct table *table, struct str prefix, table_text_fn done,
		void *ctx)
{
	start_text(table,
		   g_strdup_printf("%s/table?prefix=%.*s", table->base_url,
				   STR_ARG(prefix)),
		   done, ctx);
}

void table_vms(struct table *table, table_text_fn done, void *ctx)
{
	start_text(table, g_strconcat(table->base_url, "/vms", NULL), done,
		   ctx);
}
