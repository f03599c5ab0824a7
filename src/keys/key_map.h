/**
 * Who owns which keys of one service. Spans are sorted, without gap or overlap
 * from key 0 to KEY_LAST.
 */
#ifndef KEYS_KEY_MAP_H
#define KEYS_KEY_MAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "wire/entry.pb-c.h"

#define KEY_LAST 65535

struct key_span {
	uint16_t first;
	uint16_t last;
	/** Id of the upstream, interned; NULL for none. */
	const char *owner;
	/** The owner's start, which tells its lives apart. */
	int64_t started_ms;
	/** Fencing token under which the owner got the span. */
	uint64_t fence;
	/** Without an owner: in how many seconds it is expected to have one,
	 * as of when the map was made. */
	double wait_s;
};

struct key_map {
	/** Version of the store's row. */
	uint64_t version;
	/** Highest fencing token given so far. */
	uint64_t fence;
	/** Of struct key_span. */
	GArray *spans;
};

/** Creates a map in which nobody owns anything. */
struct key_map *key_map_create(void);

/** Frees a map; NULL is allowed. */
void key_map_destroy(struct key_map *map);

/** The span of a key. */
const struct key_span *key_map_find(const struct key_map *map, int key);

/** Makes one map a copy of another. */
void key_map_copy(struct key_map *to, const struct key_map *from);

/**
 * Makes a message of a map.
 *
 * @param service whose keys they are
 * @param attempt the writer's name of this write; empty for none
 * @return the message; the caller frees it with key_map__free_unpacked()
 */
KeyMap *key_map_to_message(const struct key_map *map, const char *service,
			   const char *attempt);

/**
 * Takes over what a message holds: a whole map, or spans to be put into the
 * map.
 *
 * @return false when it holds no such spans; the map is then unchanged
 */
bool key_map_apply_message(struct key_map *map, const KeyMap *message);

/** Packs a map for a row, as key_map_to_message(). The caller frees the bytes.
 */
GString *key_map_pack(const struct key_map *map, const char *service,
		      const char *attempt);

/**
 * Reads a packed map.
 *
 * @param attempt set to a new string when not NULL
 * @return false when the bytes are no such map; the map is then unchanged
 */
bool key_map_unpack(struct key_map *map, struct str bytes, char **attempt);

#endif
