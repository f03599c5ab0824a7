#include "ownership/order_codec.h"

#include <jansson.h>
#include <stdlib.h>

#include "base/error.h"

/** Room for 16 hexadecimal digits and a NUL. */
#define HEX_SIZE 17

/** Names of enum order_kind and enum upstream_state, in their order. */
static const char *const kind_names[] = { "prepare", "grant", "revoke" };
static const char *const state_names[] = { "cold", "ready", "draining" };

/* Finds a name in a list; returns false if it is not there. */
static bool name_index(const char *const *names, size_t count, const char *name,
		       int *index)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			break;
	*index = (int)i;
	return i < count;
}

/* Encodes a number as 16 hexadecimal digits, because JSON readers agree on
 * integers only up to 53 bits. */
static json_t *hex_value(uint64_t value)
{
	char text[HEX_SIZE];

	g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", value);
	return json_string(text);
}

static bool hex_parse(const char *text, uint64_t *value)
{
	char *end;

	if (!text || strlen(text) != HEX_SIZE - 1)
		return false;
	*value = g_ascii_strtoull(text, &end, 16);
	return end == text + HEX_SIZE - 1;
}

/* Returns a JSON value as text, which the caller frees with g_free(), and drops
 * the reference to the value. */
static char *json_to_text(json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);
	char *copy = g_strdup(text ? text : "{}");

	free(text);
	json_decref(value);
	return copy;
}

/* Parses a body as JSON; returns NULL and sets the error if it is not valid. */
static json_t *load_text(struct str body, GError **error)
{
	json_error_t fault;
	json_t *root = json_loadb(body.data, body.len, 0, &fault);

	if (!root)
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
			    "the body is not valid JSON: %s", fault.text);
	return root;
}

static void set_malformed(GError **error, const char *what)
{
	g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_PROTOCOL,
		    "%s is missing or malformed", what);
}

static json_t *ballot_value(struct ballot ballot)
{
	return json_pack("[II]", (json_int_t)ballot.number,
			 (json_int_t)ballot.daemon);
}

static json_t *ranges_value(const struct order *order)
{
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < order->range_count; i++)
		json_array_append_new(
			list,
			json_pack("[oo]", hex_value(order->ranges[i].first),
				  hex_value(order->ranges[i].last)));
	return list;
}

static void add_grant(json_t *root, const struct order *order)
{
	json_object_set_new(root, "boot",
			    json_stringn(order->boot.data, order->boot.len));
	json_object_set_new(root, "anchor_us", json_integer(order->anchor_us));
	json_object_set_new(root, "duration_us",
			    json_integer(order->duration_us));
	if (order->has_ranges)
		json_object_set_new(root, "slices", ranges_value(order));
}

char *order_encode(const struct order *order)
{
	json_t *root = json_pack(
		"{ss so so sI}", "kind", kind_names[order->kind], "cell",
		json_stringn(order->cell.data, order->cell.len), "ballot",
		ballot_value(order->ballot), "epoch", (json_int_t)order->epoch);

	if (order->kind == ORDER_GRANT)
		add_grant(root, order);
	return json_to_text(root);
}

static bool decode_ranges(const json_t *list, GArray *ranges)
{
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *pair = json_array_get(list, i);
		const char *first = json_string_value(json_array_get(pair, 0));
		const char *last = json_string_value(json_array_get(pair, 1));
		struct hash_range range;

		if (!hex_parse(first, &range.first) ||
		    !hex_parse(last, &range.last) || range.first > range.last)
			return false;
		g_array_append_val(ranges, range);
	}
	return true;
}

static bool decode_grant(json_t *root, struct order_message *m)
{
	json_int_t anchor, duration;
	const char *boot;
	const json_t *slices = json_object_get(root, "slices");

	if (json_unpack(root, "{ss sI sI}", "boot", &boot, "anchor_us", &anchor,
			"duration_us", &duration))
		return false;
	m->boot = g_strdup(boot);
	m->order.anchor_us = anchor;
	m->order.duration_us = duration;
	m->order.has_ranges = slices != NULL;
	if (slices &&
	    (!json_is_array(slices) || !decode_ranges(slices, m->ranges)))
		return false;
	m->order.boot = str_from(m->boot);
	m->order.ranges = (const struct hash_range *)m->ranges->data;
	m->order.range_count = m->ranges->len;
	return true;
}

static bool decode_order(json_t *root, struct order_message *m)
{
	json_int_t number, daemon, epoch;
	const char *kind, *cell;
	int index;

	if (json_unpack(root, "{ss ss s[II] sI}", "kind", &kind, "cell", &cell,
			"ballot", &number, &daemon, "epoch", &epoch) ||
	    !name_index(kind_names, G_N_ELEMENTS(kind_names), kind, &index) ||
	    number < 0 || daemon < 0 || epoch < 0)
		return false;
	m->order.kind = (enum order_kind)index;
	m->cell = g_strdup(cell);
	m->order.cell = str_from(m->cell);
	m->order.ballot.number = (uint64_t)number;
	m->order.ballot.daemon = (uint64_t)daemon;
	m->order.epoch = (uint64_t)epoch;
	return m->order.kind != ORDER_GRANT || decode_grant(root, m);
}

struct order_message *order_decode(struct str body, GError **error)
{
	json_t *root = load_text(body, error);
	struct order_message *m;

	if (!root)
		return NULL;
	m = g_new0(struct order_message, 1);
	m->ranges = g_array_new(FALSE, TRUE, sizeof(struct hash_range));
	if (!decode_order(root, m)) {
		set_malformed(error, "a field of the order");
		g_clear_pointer(&m, order_message_destroy);
	}
	json_decref(root);
	return m;
}

void order_message_destroy(struct order_message *message)
{
	if (!message)
		return;
	g_free(message->cell);
	g_free(message->boot);
	g_array_unref(message->ranges);
	g_free(message);
}

static json_t *load_value(const struct upstream_load *load)
{
	return json_pack("{si si si si ss si}", "running", (int)load->running,
			 "queued", (int)load->queued, "slots", (int)load->slots,
			 "connections", (int)load->connections, "state",
			 state_names[load->state], "cold_limit",
			 (int)load->cold_limit);
}

char *order_reply_encode(const struct order_reply *reply)
{
	json_t *root = json_pack(
		"{sb so sI so sI sI so}", "accepted", reply->accepted,
		"promised", ballot_value(reply->promised), "epoch",
		(json_int_t)reply->epoch, "boot",
		json_stringn(reply->boot.data, reply->boot.len), "clock_us",
		(json_int_t)reply->clock_us, "up_us", (json_int_t)reply->up_us,
		"load", load_value(&reply->load));

	if (reply->has_grant)
		json_object_set_new(
			root, "grant",
			json_pack("{sI sI so}", "epoch",
				  (json_int_t)reply->grant_epoch, "left_us",
				  (json_int_t)reply->grant_left_us, "digest",
				  hex_value(reply->grant_digest)));
	return json_to_text(root);
}

/* Decodes the grant that the upstream holds; the reply may have none. */
static bool decode_held(json_t *grant, struct order_reply *reply)
{
	json_int_t epoch, left;
	const char *digest;

	if (!grant || json_is_null(grant))
		return true;
	if (json_unpack(grant, "{sI sI ss}", "epoch", &epoch, "left_us", &left,
			"digest", &digest) ||
	    !hex_parse(digest, &reply->grant_digest))
		return false;
	reply->has_grant = true;
	reply->grant_epoch = (uint64_t)epoch;
	reply->grant_left_us = left;
	return true;
}

/* Decodes a load report. A malformed one is ignored rather than failing the
 * reply, because load reports are only hints. */
static void decode_load(json_t *load, struct upstream_load *out)
{
	int running = 0, queued = 0, slots = 0, connections = 0, limit = 0;
	const char *state = state_names[UPSTREAM_READY];
	int index;

	if (!load ||
	    json_unpack(load, "{s?i s?i s?i s?i s?s s?i}", "running", &running,
			"queued", &queued, "slots", &slots, "connections",
			&connections, "state", &state, "cold_limit", &limit))
		return;
	out->running = (uint32_t)MAX(running, 0);
	out->queued = (uint32_t)MAX(queued, 0);
	out->slots = (uint32_t)MAX(slots, 0);
	out->connections = (uint32_t)MAX(connections, 0);
	out->cold_limit = (uint32_t)MAX(limit, 0);
	if (name_index(state_names, G_N_ELEMENTS(state_names), state, &index))
		out->state = (enum upstream_state)index;
}

static bool decode_reply(json_t *root, struct order_reply *reply, char **boot)
{
	json_int_t number, daemon, epoch, clock_us, up_us;
	const char *name;
	int accepted;

	if (json_unpack(root, "{sb s[II] sI ss sI sI}", "accepted", &accepted,
			"promised", &number, &daemon, "epoch", &epoch, "boot",
			&name, "clock_us", &clock_us, "up_us", &up_us) ||
	    !decode_held(json_object_get(root, "grant"), reply))
		return false;
	reply->accepted = accepted != 0;
	reply->promised.number = (uint64_t)number;
	reply->promised.daemon = (uint64_t)daemon;
	reply->epoch = (uint64_t)epoch;
	reply->clock_us = clock_us;
	reply->up_us = up_us;
	decode_load(json_object_get(root, "load"), &reply->load);
	*boot = g_strdup(name);
	reply->boot = str_from(*boot);
	return true;
}

bool order_reply_decode(struct str body, struct order_reply *reply, char **boot,
			GError **error)
{
	json_t *root = load_text(body, error);
	bool ok;

	if (!root)
		return false;
	memset(reply, 0, sizeof(*reply));
	ok = decode_reply(root, reply, boot);
	if (!ok)
		set_malformed(error, "a field of the reply");
	json_decref(root);
	return ok;
}
