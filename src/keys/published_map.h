/**
 * Tracks which owner map was published to peers, so that after a snapshot only
 * the changed key ranges are sent.
 */
#ifndef KEYS_PUBLISHED_MAP_H
#define KEYS_PUBLISHED_MAP_H

#include "keys/key_map.h"

struct published_map;

/** Creates a record without a snapshot; the caller frees it with
 * published_map_destroy(). */
struct published_map *published_map_create(void);
/** Frees a record; NULL is allowed. */
void published_map_destroy(struct published_map *published);

/** Records that a snapshot is sent, which is the whole map. */
void published_map_snapshot(struct published_map *published,
			    const struct key_map *map);

/**
 * Records that a delta is sent, and fills it in. The delta holds all spans in
 * key ranges that changed since the last snapshot, so a peer that missed
 * earlier deltas is up to date after the next one.
 *
 * @param changes set to the delta. Its spans leave gaps, so it may only be sent
 *        as a partial message
 */
void published_map_delta(struct published_map *published,
			 const struct key_map *map, struct key_map *changes);

#endif
