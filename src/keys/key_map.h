/**
 * Owner map of one service: which upstream owns which key range (span). Spans
 * are sorted and cover keys 0 to KEY_LAST without gap or overlap.
 */
#ifndef KEYS_KEY_MAP_H
#define KEYS_KEY_MAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "wire/entry.pb-c.h"

/** The highest key. */
#define KEY_LAST 65535

/** A range of keys with one owner. */
struct key_span {
	/** First and last key of the span, both inside it. */
	uint16_t first;
	uint16_t last;
	/** Id of the owning upstream, interned; NULL if there is none. */
	const char *owner;
	/** Start time of the owner's process, in ms; differs between
	 * incarnations. */
	int64_t started_ms;
	/** Fencing token under which the span is granted to the owner. */
	uint64_t fence;
	/** For a span without an owner: expected time until it has an owner,
	 * counted from when the map was made. */
	double wait_s;
};

/** The versions of owner maps in heartbeats hold the low bits of the store's
 * era above this many others, which logs and metrics show. */
#define KEY_MAP_ERA_SHIFT 56

/** Returns a version of an owner map as logs and metrics show it. */
static inline uint64_t key_map_shown_version(uint64_t version)
{
	return version & ((UINT64_C(1) << KEY_MAP_ERA_SHIFT) - 1);
}

/** The owner map of a service. */
struct key_map {
	/** Version of the map's row in the store. */
	uint64_t version;
	/** Highest fencing token issued so far. */
	uint64_t fence;
	/** Era of the store that the writer of the row knew. */
	uint64_t era;
	/** The spans, as struct key_span, sorted by key. */
	GArray *spans;
};

/** Creates a map of one span with all keys and no owner; the caller frees it
 * with key_map_destroy(). */
struct key_map *key_map_create(void);

/** Frees a map; NULL is allowed. */
void key_map_destroy(struct key_map *map);

/** Returns the span that contains a key; valid until the map changes. */
const struct key_span *key_map_find(const struct key_map *map, int key);

/** Makes one map a copy of another. */
void key_map_copy(struct key_map *to, const struct key_map *from);

/**
 * Converts a map to a protobuf message.
 *
 * @param service name of the service
 * @param attempt id of this write, chosen by the writer; empty for none
 * @return the message; the caller frees it with key_map__free_unpacked()
 */
KeyMap *key_map_to_message(const struct key_map *map, const char *service,
			   const char *attempt);

/**
 * Updates a map from a message. The message holds either a whole map, which
 * replaces this one, or only changed spans, which are applied to it.
 *
 * @return false when the spans are invalid; the map is then unchanged
 */
bool key_map_apply_message(struct key_map *map, const KeyMap *message);

/** Serializes a map for a row of the store; parameters as for
 * key_map_to_message(). The caller frees the bytes. */
GString *key_map_pack(const struct key_map *map, const char *service,
		      const char *attempt);

/**
 * Parses a serialized whole map.
 *
 * @param attempt if not NULL, set to a copy of the id of the write that stored
 *        the map; the caller frees it with g_free()
 * @return false when the bytes are not a valid map; the map is then unchanged
 */
bool key_map_unpack(struct key_map *map, struct str bytes, char **attempt);

#endif
