/**
 * What others were told of a map of owners, so that only the spans that changed
 * since they were told all of it are told again.
 */
#ifndef KEYS_TOLD_MAP_H
#define KEYS_TOLD_MAP_H

#include "keys/key_map.h"

struct published_map;

struct published_map *published_map_create(void);
void published_map_destroy(struct published_map *told);

/** Notes that all of a map is told. */
void published_map_snapshot(struct published_map *told,
			    const struct key_map *map);

/**
 * Notes that a map is told by its changes, and fills them in: all spans in
 * ranges that changed since a whole map was told, so that losing one message
 * leaves no trace in those who get the next.
 *
 * @param changes its spans leave gaps: for a partial message only
 */
void published_map_delta(struct published_map *told, const struct key_map *map,
			 struct key_map *changes);

#endif
