#include "request/claim_row.h"

/* Values of "state" in the row. */
static const char *const state_names[] = {
	[CLAIM_ROW_CLAIMED] = "claimed",
	[CLAIM_ROW_DONE] = "done",
	[CLAIM_ROW_UNKNOWN] = "unknown",
	[CLAIM_ROW_RELEASED] = "released",
};

static void set_str(json_t *json, const char *name, struct str value)
{
	json_t *text = json_stringn(value.data ? value.data : "", value.len);

	/* A value that isn't valid UTF-8 is left out. */
	if (text)
		json_object_set_new(json, name, text);
}

/* Adds the fields of an answer to a row. */
static void set_record(json_t *json, const struct claim_record *record)
{
	json_object_set_new(json, "status",
			    json_integer((json_int_t)record->status));
	set_str(json, "type", record->type);
	if (record->whole && record->body.len <= CLAIM_BODY_MAX)
		set_str(json, "body", record->body);
}

char *claim_row_encode(const struct claim_options *options,
		       enum claim_row_state state,
		       const struct claim_record *record)
{
	json_t *json = json_object();
	char digest[17];
	char *text, *copy;

	g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
		   options->digest);
	set_str(json, "attempt", options->attempt);
	set_str(json, "claimant", options->claimant);
	json_object_set_new(json, "digest", json_string(digest));
	json_object_set_new(json, "state", json_string(state_names[state]));
	json_object_set_new(json, "claimed_us", json_integer(options->wall_us));
	json_object_set_new(json, "running_us",
			    json_integer(options->running_us));
	if (record)
		set_record(json, record);
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	copy = g_strdup(text);
	free(text);
	return copy;
}

/* Returns a member's string, borrowed from json; empty when there is none. */
static struct str get_str(const json_t *json, const char *name)
{
	const json_t *text = json_object_get(json, name);

	return (struct str){ json_string_value(text),
			     json_string_length(text) };
}

static bool parse_state(const char *name, enum claim_row_state *state)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(state_names); i++) {
		if (g_strcmp0(name, state_names[i]) != 0)
			continue;
		*state = (enum claim_row_state)i;
		return true;
	}
	return false;
}

bool claim_row_decode(struct str text, struct claim_row_value *row)
{
	json_t *json = json_loadb(text.data, text.len, 0, NULL);
	const char *digest = json_string_value(json_object_get(json, "digest"));
	const json_t *body = json_object_get(json, "body");
	const json_t *state = json_object_get(json, "state");

	memset(row, 0, sizeof(*row));
	if (!digest || !parse_state(json_string_value(state), &row->state)) {
		json_decref(json);
		return false;
	}
	row->json = json;
	row->attempt = get_str(json, "attempt");
	row->digest = g_ascii_strtoull(digest, NULL, 16);
	row->claimed_us =
		json_integer_value(json_object_get(json, "claimed_us"));
	row->running_us =
		json_integer_value(json_object_get(json, "running_us"));
	row->record.status =
		(uint32_t)json_integer_value(json_object_get(json, "status"));
	row->record.type = get_str(json, "type");
	row->record.body = get_str(json, "body");
	row->record.whole = json_is_string(body);
	return true;
}

void claim_row_clear(struct claim_row_value *row)
{
	json_decref(row->json);
}

bool claim_row_expired(const struct claim_row_value *row, int64_t wall_us)
{
	return wall_us > row->claimed_us + CLAIM_KEEP_US + CLAIM_CLOCK_ERROR_US;
}
