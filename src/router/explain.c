#include "router/explain.h"

#include <jansson.h>

#include "base/clock.h"
#include "request/request_history.h"

#define STATUS_OK 200
#define STATUS_NOT_FOUND 404

/* Returns the answer's JSON object; the caller releases it. */
static json_t *entry_json(const struct request_history_entry *entry)
{
	json_t *out = json_pack(
		"{sssssssIsssssIsf}", "id", entry->id, "service",
		entry->service, "upstream", entry->upstream, "copies",
		(json_int_t)entry->copies, "verdict",
		verdict_kind_name(entry->verdict.kind), "reason",
		verdict_reason_name(entry->verdict.reason), "ended_s",
		(json_int_t)(entry->ended_us / US_PER_SECOND), "took_ms",
		(double)entry->took_us / (double)US_PER_MS);
	char hash[17];

	if (!entry->keyed)
		return out;
	g_snprintf(hash, sizeof(hash), "%016" G_GINT64_MODIFIER "x",
		   entry->hash);
	json_object_set_new(out, "key_hash", json_string(hash));
	return out;
}

/* Answers with the outcome of the request whose id is in the path. */
static void get_request(void *ctx, struct operator_call *call)
{
	struct request_history_entry entry;
	json_t *out;
	char *text;

	if (!request_history_find(ctx, operator_call_arg(call, 0), &entry)) {
		operator_call_fail(call, STATUS_NOT_FOUND,
				   "not among the most recent requests of this "
				   "router");
		return;
	}
	out = entry_json(&entry);
	text = json_dumps(out, JSON_COMPACT);
	operator_call_answer(call, STATUS_OK, "application/json",
			     str_from(text));
	free(text);
	json_decref(out);
}

const struct operator_route explain_routes[] = {
	{ "GET", "/api/v1/explain/request/*", true, get_request,
	  "outcome of a recent request of this router" },
	{ 0 },
};
