#include "platform.h"

#include <pthread.h>

#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "platform_faults.h"
#include "platform_rows.h"
#include "platform_vms.h"

/* Size of the buffer for an ETag: a quoted 64-bit number. */
#define ETAG_SIZE 32
#define BINARY "application/octet-stream"

struct platform {
	struct faults *faults;
	/* Guards the members below; faults has a lock of its own. */
	pthread_mutex_t lock;
	struct rows *table;
	struct rows *objects;
	struct vm_list *vms;
};

struct platform *platform_create(uint64_t seed)
{
	struct platform *platform = g_new0(struct platform, 1);

	platform->faults = faults_create(seed);
	pthread_mutex_init(&platform->lock, NULL);
	platform->table = rows_create();
	platform->objects = rows_create();
	platform->vms = vm_list_create();
	return platform;
}

void platform_destroy(struct platform *platform)
{
	faults_destroy(platform->faults);
	rows_destroy(platform->table);
	rows_destroy(platform->objects);
	vm_list_destroy(platform->vms);
	pthread_mutex_destroy(&platform->lock);
	g_free(platform);
}

static enum MHD_Result reply_text(const struct standin_call *call,
				  unsigned int status, const char *text)
{
	return standin_reply(call->conn, status, "text/plain", text,
			     strlen(text));
}

/* Responds with a row's value and its version as ETag. The body is empty when
 * value is NULL, and there is no ETag when version is 0. */
static enum MHD_Result reply_row(const struct standin_call *call,
				 unsigned int status, GBytes *value,
				 int64_t version)
{
	struct MHD_Response *response;
	enum MHD_Result result;
	char etag[ETAG_SIZE];
	gsize len = 0;
	const void *data = value ? g_bytes_get_data(value, &len) : "";

	response = MHD_create_response_from_buffer(len, (void *)data,
						   MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, BINARY);
	if (version > 0) {
		snprintf(etag, sizeof(etag), "\"%" G_GINT64_FORMAT "\"",
			 version);
		MHD_add_response_header(response, MHD_HTTP_HEADER_ETAG, etag);
	}
	result = MHD_queue_response(call->conn, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Responds to a write, or closes the connection without a response when the
 * injected faults say so. */
static enum MHD_Result reply_write(struct platform *platform,
				   const struct standin_call *call,
				   unsigned int status, GBytes *value,
				   int64_t version)
{
	if (faults_drop_response(platform->faults))
		return MHD_NO;
	return reply_row(call, status, value, version);
}

/* Parses If-Match and If-None-Match, and sets if_version to the condition for
 * rows_put(). Returns false when the headers are invalid. */
static bool read_condition(const struct standin_call *call, int64_t *if_version)
{
	const char *match = MHD_lookup_connection_value(
		call->conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_MATCH);
	const char *none = MHD_lookup_connection_value(
		call->conn, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_NONE_MATCH);
	char *end;

	*if_version = ROWS_ANY_VERSION;
	if (none) {
		*if_version = 0;
		return !strcmp(none, "*") && !match;
	}
	if (!match)
		return true;
	if (*match != '"')
		return false;
	*if_version = g_ascii_strtoll(match + 1, &end, 10);
	return *if_version > 0 && !strcmp(end, "\"");
}

/* Returns a new reference to a row's value and sets version to the row's. When
 * the row does not exist, returns NULL and sets version to 0. */
static GBytes *ref_row_value(const struct rows *table, const char *key,
			     int64_t *version)
{
	const struct row *row = rows_get(table, key);

	*version = row ? row->version : 0;
	return row ? g_bytes_ref(row->value) : NULL;
}

static enum MHD_Result get_row(struct platform *platform,
			       const struct standin_call *call,
			       const struct rows *table, const char *key)
{
	enum MHD_Result result;
	int64_t version;
	GBytes *value;

	faults_count_operations(platform->faults, 1, 0);
	pthread_mutex_lock(&platform->lock);
	value = ref_row_value(table, key, &version);
	pthread_mutex_unlock(&platform->lock);
	if (!value)
		return reply_text(call, MHD_HTTP_NOT_FOUND, "row not found\n");
	result = reply_row(call, MHD_HTTP_OK, value, version);
	g_bytes_unref(value);
	return result;
}

/* Handles PUT, or DELETE if deletes is true. Responds to a failed condition
 * with the row's current value and version. */
static enum MHD_Result write_row(struct platform *platform,
				 const struct standin_call *call,
				 struct rows *table, const char *key,
				 bool deletes)
{
	struct str body = { call->body, call->body_len };
	enum MHD_Result result;
	enum rows_status status;
	int64_t if_version, version = 0;
	GBytes *value = NULL;
	unsigned int code;

	if (!read_condition(call, &if_version))
		return reply_text(call, MHD_HTTP_BAD_REQUEST,
				  "invalid If-Match or If-None-Match\n");
	faults_count_operations(platform->faults, 0, 1);
	pthread_mutex_lock(&platform->lock);
	status = deletes ? rows_delete(table, key, if_version)
			 : rows_put(table, key, if_version, body, &version);
	if (status == ROWS_CONFLICT)
		value = ref_row_value(table, key, &version);
	pthread_mutex_unlock(&platform->lock);
	code = status == ROWS_CONFLICT ? MHD_HTTP_PRECONDITION_FAILED
	       : deletes	       ? MHD_HTTP_NO_CONTENT
				       : MHD_HTTP_OK;
	result = reply_write(platform, call, code, value, version);
	if (value)
		g_bytes_unref(value);
	return result;
}

static enum MHD_Result on_row(struct platform *platform,
			      const struct standin_call *call,
			      struct rows *table, const char *key)
{
	if (!rows_key_valid(key))
		return reply_text(call, MHD_HTTP_BAD_REQUEST, "invalid key\n");
	if (!strcmp(call->method, "GET"))
		return get_row(platform, call, table, key);
	if (!strcmp(call->method, "PUT"))
		return write_row(platform, call, table, key, false);
	if (!strcmp(call->method, "DELETE"))
		return write_row(platform, call, table, key, true);
	return reply_text(call, MHD_HTTP_METHOD_NOT_ALLOWED,
			  "method not allowed\n");
}

/* Appends a row to ctx, a JSON array. */
static void list_row(void *ctx, const char *key, const struct row *row)
{
	gsize len;
	const char *data = g_bytes_get_data(row->value, &len);
	json_t *value = json_stringn(data ? data : "", len);

	/* Rows whose value is not UTF-8 are left out: JSON can't hold it. */
	if (value)
		json_array_append_new(ctx, json_pack("{s:s,s:I,s:o}", "key",
						     key, "version",
						     (json_int_t)row->version,
						     "value", value));
}

static enum MHD_Result on_list(struct platform *platform,
			       const struct standin_call *call)
{
	const char *prefix = MHD_lookup_connection_value(
		call->conn, MHD_GET_ARGUMENT_KIND, "prefix");
	json_t *rows = json_array();

	faults_count_operations(platform->faults, 1, 0);
	pthread_mutex_lock(&platform->lock);
	rows_list(platform->table, prefix ? prefix : "", list_row, rows);
	pthread_mutex_unlock(&platform->lock);
	return standin_reply_json(call->conn, MHD_HTTP_OK,
				  json_pack("{s:o}", "rows", rows));
}

/* Returns the result of one operation of a batch, a new reference: the status,
 * and the version and value that the row has now, if it exists. */
static json_t *batch_result(struct platform *platform, const char *key,
			    enum rows_status status)
{
	static const char *const names[] = { "ok", "conflict", "absent" };
	json_t *result = json_pack("{s:s}", "status", names[status]);
	const struct row *row = rows_get(platform->table, key);
	const char *data;
	gsize len;

	if (!row)
		return result;
	json_object_set_new(result, "version", json_integer(row->version));
	data = g_bytes_get_data(row->value, &len);
	if (data && g_utf8_validate(data, (gssize)len, NULL))
		json_object_set_new(result, "value", json_stringn(data, len));
	return result;
}

/* Runs one operation of a batch; the caller holds the lock.
 *
 * @return the operation's result, a new reference, or NULL when the operation
 *         is malformed
 */
static json_t *run_op(struct platform *platform, const json_t *op)
{
	const char *kind = json_string_value(json_object_get(op, "op"));
	const char *key = json_string_value(json_object_get(op, "key"));
	const json_t *wanted = json_object_get(op, "if_version");
	const json_t *text = json_object_get(op, "value");
	int64_t if_version =
		wanted ? json_integer_value(wanted) : ROWS_ANY_VERSION;
	struct str value = { json_string_value(text),
			     json_string_length(text) };
	enum rows_status status;
	int64_t version;

	if (!kind || !key || !rows_key_valid(key))
		return NULL;
	if (!strcmp(kind, "get"))
		status = rows_get(platform->table, key) ? ROWS_OK : ROWS_ABSENT;
	else if (!strcmp(kind, "put") && json_is_string(text))
		status = rows_put(platform->table, key, if_version, value,
				  &version);
	else if (!strcmp(kind, "delete"))
		status = rows_delete(platform->table, key, if_version);
	else
		return NULL;
	faults_count_operations(platform->faults, !strcmp(kind, "get"),
				strcmp(kind, "get") != 0);
	return batch_result(platform, key, status);
}

/* Returns whether a batch has an operation that writes. */
static bool writes_any(const json_t *ops)
{
	size_t i;

	for (i = 0; i < json_array_size(ops); i++) {
		const json_t *op = json_array_get(ops, i);
		const char *kind = json_string_value(json_object_get(op, "op"));

		if (kind && strcmp(kind, "get") != 0)
			return true;
	}
	return false;
}

/* Runs the operations of a batch in order. A malformed operation ends the batch
 * with status 400; the operations before it stay applied. */
static enum MHD_Result on_batch(struct platform *platform,
				const struct standin_call *call)
{
	json_t *body = standin_call_json(call);
	json_t *ops = json_object_get(body, "ops");
	json_t *results = json_array();
	bool ok = json_is_array(ops), writes = writes_any(ops);
	size_t i;

	pthread_mutex_lock(&platform->lock);
	for (i = 0; ok && i < json_array_size(ops); i++) {
		json_t *result = run_op(platform, json_array_get(ops, i));

		ok = result && !json_array_append_new(results, result);
	}
	pthread_mutex_unlock(&platform->lock);
	json_decref(body);
	if (ok && !(writes && faults_drop_response(platform->faults)))
		return standin_reply_json(
			call->conn, MHD_HTTP_OK,
			json_pack("{s:o}", "results", results));
	json_decref(results);
	return ok ? MHD_NO
		  : reply_text(call, MHD_HTTP_BAD_REQUEST, "malformed batch\n");
}

/* Responds with the list of VMs as it was before the lag that a fault sets. */
static enum MHD_Result on_vms(struct platform *platform,
			      const struct standin_call *call)
{
	int64_t at_us = clock_now_us(clock_system()) -
			faults_list_lag_us(platform->faults);
	json_t *vms;

	pthread_mutex_lock(&platform->lock);
	vms = vm_list_at(platform->vms, at_us);
	pthread_mutex_unlock(&platform->lock);
	return standin_reply_json(call->conn, MHD_HTTP_OK, vms);
}

/* Registers the VMs of the body {"vms": [...]}: adds or replaces them, or with
 * "replace": true replaces the whole list. */
static enum MHD_Result on_register_vms(struct platform *platform,
				       const struct standin_call *call)
{
	json_t *body = standin_call_json(call);
	const json_t *vms = json_object_get(body, "vms");
	bool ok = json_is_array(vms);

	pthread_mutex_lock(&platform->lock);
	if (ok)
		vm_list_register(platform->vms, vms,
				 json_is_true(json_object_get(body, "replace")),
				 clock_now_us(clock_system()));
	pthread_mutex_unlock(&platform->lock);
	json_decref(body);
	return reply_text(call, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
			  ok ? "registered\n" : "malformed list of VMs\n");
}

static enum MHD_Result on_fault_settings(struct platform *platform,
					 const struct standin_call *call)
{
	json_t *body = standin_call_json(call);
	bool ok = body && faults_configure(platform->faults, body);

	json_decref(body);
	return reply_text(call, ok ? MHD_HTTP_OK : MHD_HTTP_BAD_REQUEST,
			  ok ? "switched\n"
			     : "unknown or malformed fault setting\n");
}

static enum MHD_Result on_stats(struct platform *platform,
				const struct standin_call *call)
{
	json_t *stats = faults_stats(platform->faults);

	pthread_mutex_lock(&platform->lock);
	json_object_set_new(
		stats, "rows",
		json_integer((json_int_t)rows_count(platform->table)));
	pthread_mutex_unlock(&platform->lock);
	return standin_reply_json(call->conn, MHD_HTTP_OK, stats);
}

/* Handles the calls that the real platform has too. Only these are subject to
 * injected faults. */
static enum MHD_Result handle_platform_call(struct platform *platform,
					    const struct standin_call *call)
{
	if (!strcmp(call->path, "/table"))
		return on_list(platform, call);
	if (g_str_has_prefix(call->path, "/table/"))
		return on_row(platform, call, platform->table,
			      call->path + strlen("/table/"));
	if (g_str_has_prefix(call->path, "/objects/"))
		return on_row(platform, call, platform->objects,
			      call->path + strlen("/objects/"));
	if (!strcmp(call->path, "/batch"))
		return on_batch(platform, call);
	if (!strcmp(call->path, "/vms"))
		return on_vms(platform, call);
	return reply_text(call, MHD_HTTP_NOT_FOUND, "unknown call\n");
}

enum MHD_Result platform_handle(void *ctx, const struct standin_call *call)
{
	struct platform *platform = ctx;

	if (!strcmp(call->path, "/switch"))
		return on_fault_settings(platform, call);
	if (!strcmp(call->path, "/standin/vms"))
		return on_register_vms(platform, call);
	if (!strcmp(call->path, "/standin/stats"))
		return on_stats(platform, call);
	switch (faults_apply(platform->faults)) {
	case FAULT_REFUSE:
		return reply_text(call, MHD_HTTP_SERVICE_UNAVAILABLE,
				  "outage\n");
	case FAULT_CLOSE:
		return MHD_NO;
	case FAULT_NONE:
		break;
	}
	return handle_platform_call(platform, call);
}
