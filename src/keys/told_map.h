/**
 * What others were told of a map of owners, so that only the spans that changed
 * since they were told all of it are told again.
 */
#ifndef KEYS_TOLD_MAP_H
#define KEYS_TOLD_MAP_H

#include "keys/key_map.h"

struct told_map;

struct told_map *told_map_create(void);
void told_map_destroy(struct told_map *told);

/** Notes that all of a map is told. */
void told_map_whole(struct told_map *told, const struct key_map *map);

/**
 * Notes that a map is told by its changes, and fills them in: all spans in
 * ranges that changed since a whole map was told, so that losing one message
 * leaves no trace in those who get the next.
 *
 * @param changes its spans leave gaps: for a partial message only
 */
void told_map_changes(struct told_map *told, const struct key_map *map,
		      struct key_map *changes);

#endif
