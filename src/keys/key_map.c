#include "keys/key_map.h"

#define MS_PER_S 1000.0

struct key_map *key_map_create(void)
{
	struct key_map *map = g_new0(struct key_map, 1);
	struct key_span all = { .last = KEY_LAST };

	map->spans = g_array_new(FALSE, FALSE, sizeof(struct key_span));
	g_array_append_val(map->spans, all);
	return map;
}

void key_map_destroy(struct key_map *map)
{
	if (!map)
		return;
	g_array_free(map->spans, TRUE);
	g_free(map);
}

const struct key_span *key_map_find(const struct key_map *map, int key)
{
	const struct key_span *spans =
		(const struct key_span *)(void *)map->spans->data;
	guint low = 0, high = map->spans->len - 1;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (spans[middle].last < key)
			low = middle + 1;
		else
			high = middle;
	}
	return &spans[low];
}

void key_map_copy(struct key_map *to, const struct key_map *from)
{
	to->version = from->version;
	to->fence = from->fence;
	to->era = from->era;
	g_array_set_size(to->spans, 0);
	g_array_append_vals(to->spans, from->spans->data, from->spans->len);
}

/** The lists of a KeyMap message that is being built. */
struct message_builder {
	/** Position of each owner in owners, plus 1, by a text of the owner's
	 * id and start time. */
	GHashTable *index;
	/** The message's owners and spans, as KeyOwner and KeySpan. */
	GPtrArray *owners;
	GPtrArray *spans;
};

/* Adds a span's owner to the message, unless the message has it already.
 *
 * @return the owner's position plus 1, or 0 for a span without an owner */
static uint32_t pack_owner(struct message_builder *builder,
			   const struct key_span *span)
{
	char *name;
	gpointer at;
	KeyOwner *owner;

	if (!span->owner)
		return 0;
	name = g_strdup_printf("%s %" G_GINT64_FORMAT, span->owner,
			       span->started_ms);
	at = g_hash_table_lookup(builder->index, name);
	if (at) {
		g_free(name);
		return GPOINTER_TO_UINT(at);
	}
	owner = g_new0(KeyOwner, 1);
	key_owner__init(owner);
	owner->id = g_strdup(span->owner);
	owner->started_ms = span->started_ms;
	g_ptr_array_add(builder->owners, owner);
	g_hash_table_insert(builder->index, name,
			    GUINT_TO_POINTER(builder->owners->len));
	return builder->owners->len;
}

static void pack_spans(struct message_builder *builder,
		       const struct key_map *map)
{
	guint i;

	for (i = 0; i < map->spans->len; i++) {
		const struct key_span *span =
			&g_array_index(map->spans, struct key_span, i);
		KeySpan *out = g_new0(KeySpan, 1);

		key_span__init(out);
		out->first = span->first;
		out->last = span->last;
		out->fence = span->fence;
		out->wait_ms = (uint32_t)(span->wait_s * MS_PER_S);
		out->owner = pack_owner(builder, span);
		g_ptr_array_add(builder->spans, out);
	}
}

KeyMap *key_map_to_message(const struct key_map *map, const char *service,
			   const char *attempt)
{
	struct message_builder builder = {
		.index = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       NULL),
		.owners = g_ptr_array_new(),
		.spans = g_ptr_array_new(),
	};
	KeyMap *message = g_new(KeyMap, 1);

	key_map__init(message);
	pack_spans(&builder, map);
	message->service = g_strdup(service);
	message->version = map->version;
	message->fence = map->fence;
	message->era = map->era;
	message->attempt = g_strdup(attempt);
	message->n_owners = builder.owners->len;
	message->n_spans = builder.spans->len;
	message->owners = (KeyOwner **)g_ptr_array_free(builder.owners, FALSE);
	message->spans = (KeySpan **)g_ptr_array_free(builder.spans, FALSE);
	g_hash_table_destroy(builder.index);
	return message;
}

GString *key_map_pack(const struct key_map *map, const char *service,
		      const char *attempt)
{
	KeyMap *message = key_map_to_message(map, service, attempt);
	GString *out = g_string_new(NULL);

	g_string_set_size(out, key_map__get_packed_size(message));
	key_map__pack(message, (uint8_t *)out->str);
	key_map__free_unpacked(message, NULL);
	return out;
}

/* Decodes one span of a message; returns false if it is invalid. */
static bool read_span(const KeyMap *message, const KeySpan *in,
		      struct key_span *span)
{
	if (in->last < in->first || in->last > KEY_LAST ||
	    in->owner > message->n_owners)
		return false;
	span->first = (uint16_t)in->first;
	span->last = (uint16_t)in->last;
	span->fence = in->fence;
	span->wait_s = in->wait_ms / MS_PER_S;
	if (in->owner) {
		const KeyOwner *owner = message->owners[in->owner - 1];

		span->owner = g_intern_string(owner->id);
		span->started_ms = owner->started_ms;
	}
	return true;
}

/* Decodes the spans of a message; returns false if one is invalid, if they are
 * not sorted, or if those of a whole map don't cover all keys. */
static bool read_spans(const KeyMap *message, GArray *spans)
{
	uint32_t next = 0;
	size_t i;

	for (i = 0; i < message->n_spans; i++) {
		const KeySpan *in = message->spans[i];
		struct key_span span = { 0 };

		if (in->first < next ||
		    (!message->partial && in->first != next) ||
		    !read_span(message, in, &span))
			return false;
		g_array_append_val(spans, span);
		next = in->last + 1;
	}
	return message->partial || next == KEY_LAST + 1;
}

/* Returns the spans of a map, with the keys of the changed spans replaced by
 * these. */
static GArray *apply_changes(const struct key_map *map, const GArray *changes)
{
	GArray *spans = g_array_new(FALSE, FALSE, sizeof(struct key_span));
	uint32_t next = 0;
	guint i = 0;

	while (next <= KEY_LAST) {
		const struct key_span *change =
			i < changes->len
				? &g_array_index(changes, struct key_span, i)
				: NULL;
		struct key_span span;

		if (change && change->first == next) {
			span = *change;
			i++;
		} else {
			span = *key_map_find(map, (int)next);
			span.first = (uint16_t)next;
			if (change && change->first <= span.last)
				span.last = (uint16_t)(change->first - 1);
		}
		g_array_append_val(spans, span);
		next = (uint32_t)span.last + 1;
	}
	return spans;
}

bool key_map_apply_message(struct key_map *map, const KeyMap *message)
{
	GArray *spans = g_array_new(FALSE, FALSE, sizeof(struct key_span));

	if (!read_spans(message, spans)) {
		g_array_free(spans, TRUE);
		return false;
	}
	if (message->partial) {
		GArray *changes = spans;

		spans = apply_changes(map, changes);
		g_array_free(changes, TRUE);
	}
	g_array_free(map->spans, TRUE);
	map->spans = spans;
	map->version = message->version;
	map->fence = message->fence;
	map->era = message->era;
	return true;
}

bool key_map_unpack(struct key_map *map, struct str bytes, char **attempt)
{
	KeyMap *message =
		key_map__unpack(NULL, bytes.len, (const uint8_t *)bytes.data);
	bool ok = message && !message->partial &&
		  key_map_apply_message(map, message);

	if (ok && attempt)
		*attempt = g_strdup(message->attempt);
	if (message)
		key_map__free_unpacked(message, NULL);
	return ok;
}
