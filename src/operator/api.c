#include "operator/api.h"

#include "profile/publish.h"
#include "profile/settings.h"

#define JSON_TYPE "application/json"
#define STATUS_OK 200
#define STATUS_BAD_REQUEST 400
#define STATUS_NOT_FOUND 404
#define STATUS_CONFLICT 409
#define STATUS_REFUSED 422
#define STATUS_UNAVAILABLE 503
#define STATUS_UNKNOWN 504

struct api {
	const struct api_ops *ops;
	/* Context of ops. */
	void *ctx;
	const struct clock *clock;
	/* Operator calls in progress (struct job). */
	GPtrArray *jobs;
	/* Source of ids for changes without an Idempotency-Key header. */
	GRand *rng;
};

/* One operator call in progress: publishes a change or reads a row. */
struct job {
	struct api *api;
	/* NULL once the call is answered. */
	struct operator_call *call;
	/* NULL when the job reads a row. */
	struct publish *publish;
	/* Table calls in progress; the job is freed when it is answered and
	 * there are none. */
	unsigned int table_calls;
	/* Answer with the row's version and history entries only. */
	bool recent_only;
};

struct api *api_create(const struct api_ops *ops, void *ctx,
		       const struct clock *clock)
{
	struct api *api = g_new0(struct api, 1);

	api->ops = ops;
	api->ctx = ctx;
	api->clock = clock;
	api->jobs = g_ptr_array_new();
	api->rng = g_rand_new();
	return api;
}

static void job_free(struct job *job)
{
	publish_destroy(job->publish);
	g_free(job);
}

void api_destroy(struct api *api)
{
	guint i;

	if (!api)
		return;
	for (i = 0; i < api->jobs->len; i++)
		job_free(g_ptr_array_index(api->jobs, i));
	g_ptr_array_free(api->jobs, TRUE);
	g_rand_free(api->rng);
	g_free(api);
}

size_t api_pending(const struct api *api)
{
	return api->jobs->len;
}

/* Answers with an object and frees it. */
static void answer_json(struct operator_call *call, unsigned int status,
			json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	operator_call_answer(call, status, JSON_TYPE, str_from(text));
	free(text);
	json_decref(object);
}

/* Name and HTTP status of each outcome of a publication. */
static const struct {
	const char *name;
	unsigned int status;
} outcomes[] = {
	[PUBLISH_ACCEPTED] = { "accepted", STATUS_OK },
	[PUBLISH_UNCHANGED] = { "unchanged", STATUS_OK },
	[PUBLISH_REFUSED] = { "refused", STATUS_REFUSED },
	[PUBLISH_CONFLICT] = { "conflict", STATUS_CONFLICT },
	[PUBLISH_UNAVAILABLE] = { "unavailable", STATUS_UNAVAILABLE },
	[PUBLISH_UNKNOWN] = { "unknown", STATUS_UNKNOWN },
};

static void on_publish_done(void *ctx, const struct publish_result *result)
{
	struct job *job = ctx;
	const struct api *api = job->api;
	struct operator_call *call = g_steal_pointer(&job->call);

	if (result->outcome == PUBLISH_ACCEPTED && api->ops->published)
		api->ops->published(api->ctx,
				    publish_accepted_json(job->publish));
	answer_json(call, outcomes[result->outcome].status,
		    json_pack("{s:s, s:I, s:s, s:b}", "outcome",
			      outcomes[result->outcome].name, "version",
			      (json_int_t)result->version, "message",
			      result->message, "force_helps",
			      (int)result->force_helps));
}

static void on_publish_row_read(void *ctx, const struct table_result *result)
{
	struct job *job = ctx;

	job->table_calls--;
	publish_on_read(job->publish, result->status, result->version,
			result->value, clock_now_us(job->api->clock));
}

static void on_publish_row_written(void *ctx, const struct table_result *result)
{
	struct job *job = ctx;

	job->table_calls--;
	publish_on_written(job->publish, result->status,
			   clock_now_us(job->api->clock));
}

static void job_read(void *ctx, struct str key)
{
	struct job *job = ctx;

	job->table_calls++;
	job->api->ops->table_get(job->api->ctx, key, on_publish_row_read, job);
}

static void job_write(void *ctx, struct str key, uint64_t if_version,
		      struct str value)
{
	struct job *job = ctx;

	job->table_calls++;
	job->api->ops->table_put(job->api->ctx, key, if_version, value,
				 on_publish_row_written, job);
}

static bool job_fits(void *ctx, const struct settings *after, char **why)
{
	const struct job *job = ctx;

	return job->api->ops->fits(job->api->ctx, after, why);
}

static bool job_in_contact(void *ctx)
{
	const struct job *job = ctx;

	return job->api->ops->in_contact(job->api->ctx);
}

static const struct publish_ops job_publish_ops = {
	job_read, job_write, job_fits, job_in_contact, on_publish_done,
};

void api_tick(struct api *api)
{
	int64_t now_us = clock_now_us(api->clock);
	guint i;

	for (i = api->jobs->len; i > 0; i--) {
		struct job *job = g_ptr_array_index(api->jobs, i - 1);

		if (job->publish)
			publish_tick(job->publish, now_us);
		if (job->call || job->table_calls)
			continue;
		g_ptr_array_remove_index_fast(api->jobs, i - 1);
		job_free(job);
	}
}

static struct job *job_create(struct api *api, struct operator_call *call)
{
	struct job *job = g_new0(struct job, 1);

	job->api = api;
	job->call = call;
	g_ptr_array_add(api->jobs, job);
	return job;
}

/* Returns whether a query parameter is "true". */
static bool query_flag(struct operator_call *call, const char *name)
{
	return str_equal(operator_call_query(call, name), STR("true"));
}

/* Returns the decimal number at the start of a text, or 0 without one. */
static uint64_t parse_number(struct str text)
{
	char *copy = str_dup(text);
	uint64_t value = g_ascii_strtoull(copy, NULL, 10);

	g_free(copy);
	return value;
}

/* Starts to publish a change. The call is answered when the publication has
 * ended. */
static void start_change(struct api *api, struct operator_call *call,
			 struct change *change)
{
	struct job *job = job_create(api, call);
	char random_id[40];

	g_snprintf(random_id, sizeof(random_id), "%08x%08x%08x",
		   g_rand_int(api->rng), g_rand_int(api->rng),
		   g_rand_int(api->rng));
	change->attempt = operator_call_header(call, "Idempotency-Key");
	if (!change->attempt.len)
		change->attempt = str_from(random_id);
	change->author = operator_call_query(call, "author");
	change->note = operator_call_query(call, "note");
	change->force = query_flag(call, "force");
	change->published_s = clock_wall_us(api->clock) / US_PER_SECOND;
	job->publish = publish_create(change, &job_publish_ops, job,
				      clock_now_us(api->clock));
}

static void get_settings(void *ctx, struct operator_call *call)
{
	const struct api *api = ctx;
	struct str json = api->ops->settings(api->ctx);

	if (json.len)
		operator_call_answer(call, STATUS_OK, JSON_TYPE, json);
	else
		operator_call_fail(call, STATUS_NOT_FOUND,
				   "nothing is published, or this daemon has "
				   "not received it yet");
}

/* Parses the version in a header such as If-Match: "7". Returns false when the
 * header is absent or not quoted. */
static bool parse_if_match(struct operator_call *call, uint64_t *version)
{
	struct str match = operator_call_header(call, "If-Match");

	if (match.len < 3 || match.data[0] != '"')
		return false;
	*version = parse_number((struct str){ match.data + 1, match.len - 2 });
	return true;
}

static void put_settings(void *ctx, struct operator_call *call)
{
	struct change change = { .kind = CHANGE_DECLARE };
	struct settings *declared;
	GError *error = NULL;

	if (!parse_if_match(call, &change.base_version)) {
		operator_call_fail(call, STATUS_BAD_REQUEST,
				   "the header If-Match must name the version "
				   "that the change is based on, as in "
				   "\"7\", or \"0\" for the first one");
		return;
	}
	declared = settings_parse(operator_call_body(call), &error);
	if (!declared) {
		operator_call_fail(call, STATUS_REFUSED, error->message);
		g_error_free(error);
		return;
	}
	change.declared = declared;
	start_change(ctx, call, &change);
	settings_destroy(declared);
}

static void post_rollback(void *ctx, struct operator_call *call)
{
	struct change change = { .kind = CHANGE_ROLLBACK };

	change.to_version = parse_number(operator_call_query(call, "version"));
	start_change(ctx, call, &change);
}

/* Starts to take the zone or VM that the path names out of service or back. */
static void start_out_change(void *ctx, struct operator_call *call,
			     enum change_kind kind, bool out)
{
	struct change change = { .kind = kind,
				 .target = operator_call_arg(call, 0),
				 .out = out };

	start_change(ctx, call, &change);
}

static void post_zone_out(void *ctx, struct operator_call *call)
{
	start_out_change(ctx, call, CHANGE_ZONE, true);
}

static void post_zone_in(void *ctx, struct operator_call *call)
{
	start_out_change(ctx, call, CHANGE_ZONE, false);
}

static void post_vm_out(void *ctx, struct operator_call *call)
{
	start_out_change(ctx, call, CHANGE_VM, true);
}

static void post_vm_in(void *ctx, struct operator_call *call)
{
	start_out_change(ctx, call, CHANGE_VM, false);
}

/* Returns a new object with the version and history entries of a row, which
 * holds settings as JSON. */
static json_t *extract_recent(struct str value)
{
	json_t *root = json_loadb(value.data, value.len, 0, NULL);
	json_t *recent = json_object_get(root, "recent");
	json_t *out = json_object();

	json_object_set(out, "recent", recent);
	json_object_set(out, "version", json_object_get(root, "version"));
	json_decref(root);
	return out;
}

/* Answers the call for which read_row() read a row. */
static void on_row_read(void *ctx, const struct table_result *result)
{
	struct job *job = ctx;
	struct operator_call *call = g_steal_pointer(&job->call);

	job->table_calls--;
	if (result->status == TABLE_ABSENT)
		operator_call_fail(call, STATUS_NOT_FOUND, "no such version");
	else if (result->status != TABLE_OK)
		operator_call_fail(call, STATUS_UNAVAILABLE,
				   "the platform's table can't be reached");
	else if (job->recent_only)
		answer_json(call, STATUS_OK, extract_recent(result->value));
	else
		operator_call_answer(call, STATUS_OK, JSON_TYPE, result->value);
}

/* Starts to read a row of the platform's table for a call. */
static void read_row(struct api *api, struct operator_call *call,
		     const char *key, bool recent_only)
{
	struct job *job = job_create(api, call);

	job->recent_only = recent_only;
	job->table_calls++;
	api->ops->table_get(api->ctx, str_from(key), on_row_read, job);
}

static void get_history(void *ctx, struct operator_call *call)
{
	read_row(ctx, call, PUBLISH_KEY, true);
}

static void get_version(void *ctx, struct operator_call *call)
{
	uint64_t version = parse_number(operator_call_arg(call, 0));
	char key[64];

	g_snprintf(key, sizeof(key),
		   PUBLISH_HISTORY_PREFIX "%" G_GUINT64_FORMAT, version);
	read_row(ctx, call, key, false);
}

/* Appends a daemon to the list that ctx points to, a JSON array. */
static void add_daemon(void *ctx, const struct peer *peer)
{
	json_t *list = ctx;

	json_array_append_new(
		list,
		json_pack("{s:s, s:s, s:I, s:I, s:b}", "id", peer->id, "role",
			  peer->role == PEER_ASSIGNER ? "assigner" : "router",
			  "version", (json_int_t)peer->settings_version,
			  "age_ms", (json_int_t)(peer->age_us / US_PER_MS),
			  "linked", (int)peer->linked));
}

static void get_status(void *ctx, struct operator_call *call)
{
	const struct api *api = ctx;
	struct str json = api->ops->settings(api->ctx);
	json_t *settings = json_loadb(json.len ? json.data : "{}",
				      json.len ? json.len : 2, 0, NULL);
	json_t *members = json_array();
	json_t *out = json_object();

	json_object_set(out, "version", json_object_get(settings, "version"));
	json_object_set(out, "deployment",
			json_object_get(settings, "deployment"));
	json_object_set(out, "zones", json_object_get(settings, "zones"));
	json_object_set(out, "zones_out",
			json_object_get(settings, "zones_out"));
	json_object_set(out, "vms_out", json_object_get(settings, "vms_out"));
	json_decref(settings);
	json_object_set_new(out, "in_contact",
			    json_boolean(api->ops->in_contact(api->ctx)));
	api->ops->members(api->ctx, add_daemon, members);
	json_object_set_new(out, "daemons", members);
	api->ops->status(api->ctx, out);
	answer_json(call, STATUS_OK, out);
}

/* How many daemons have a version of the settings. */
struct coverage {
	uint64_t version;
	/* Number of daemons that have the version or a newer one, and of all
	 * that aren't silent. */
	unsigned int have, total;
	/* Ids of daemons that lack the version, and of silent daemons
	 * (API_SILENT_US). */
	json_t *lacking, *silent;
};

/* Counts a daemon in the coverage that ctx points to. */
static void count_daemon(void *ctx, const struct peer *peer)
{
	struct coverage *c = ctx;

	if (peer->age_us >= API_SILENT_US) {
		json_array_append_new(c->silent, json_string(peer->id));
		return;
	}
	c->total++;
	if (peer->settings_version >= c->version)
		c->have++;
	else
		json_array_append_new(c->lacking, json_string(peer->id));
}

static void get_in_force(void *ctx, struct operator_call *call)
{
	const struct api *api = ctx;
	struct coverage c = { .lacking = json_array(), .silent = json_array() };

	c.version = parse_number(operator_call_query(call, "version"));
	api->ops->members(api->ctx, count_daemon, &c);
	answer_json(call, STATUS_OK,
		    json_pack("{s:I, s:i, s:i, s:o, s:o}", "version",
			      (json_int_t)c.version, "in_force", (int)c.have,
			      "of", (int)c.total, "lacking", c.lacking,
			      "silent", c.silent));
}

/* Answers with the object, or with 404 and the message when nothing was found.
 * Frees the object. */
static void answer_explained(struct operator_call *call, bool found,
			     json_t *out, const char *message)
{
	if (found) {
		answer_json(call, STATUS_OK, out);
		return;
	}
	json_decref(out);
	operator_call_fail(call, STATUS_NOT_FOUND, message);
}

static void get_key(void *ctx, struct operator_call *call)
{
	const struct api *api = ctx;
	json_t *out = json_object();
	bool found = api->ops->explain_key(
		api->ctx, operator_call_query(call, "service"),
		operator_call_query(call, "key"), out);

	answer_explained(call, found, out, "no such keyed service");
}

static void post_force(void *ctx, struct operator_call *call)
{
	const struct api *api = ctx;

	if (api->ops->force_cell(api->ctx, operator_call_arg(call, 0)))
		answer_json(call, STATUS_OK, json_pack("{sb}", "forced", 1));
	else
		operator_call_fail(call, STATUS_NOT_FOUND, "no such service");
}

#define API "/api/v1"

const struct operator_route api_routes[] = {
	{ "GET", API "/settings", true, get_settings, "settings in force" },
	{ "PUT", API "/settings", true, put_settings,
	  "publish; If-Match names the base version" },
	{ "GET", API "/history", true, get_history, "the last versions" },
	{ "GET", API "/history/*", true, get_version, "a replaced version" },
	{ "POST", API "/rollback", true, post_rollback,
	  "publish the declarations of ?version= again" },
	{ "POST", API "/zones/*/out", true, post_zone_out,
	  "no new work in a zone; ?force=true skips checks" },
	{ "POST", API "/zones/*/in", true, post_zone_in,
	  "new work in a zone again" },
	{ "POST", API "/vms/*/out", true, post_vm_out, "no new work for a VM" },
	{ "POST", API "/vms/*/in", true, post_vm_in,
	  "new work for a VM again" },
	{ "POST", API "/cells/*/force", true, post_force,
	  "unlisted upstreams of a cell are gone for good" },
	{ "GET", API "/status", true, get_status,
	  "daemons, zones, VMs, cells" },
	{ "GET", API "/in-force", true, get_in_force,
	  "how many daemons have ?version=, and which lack it" },
	{ "GET", API "/explain/key", true, get_key,
	  "owner of ?key= of ?service=" },
	{ 0 },
};
