/**
 * The map of one cell: which upstream owns which range of the key space, at
 * which epoch. A map does not change after it was built, so that any number of
 * threads may read it.
 */
#ifndef OWNERSHIP_SLICE_MAP_H
#define OWNERSHIP_SLICE_MAP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"

/** The owner index of a slice that no upstream owns. */
#define SLICE_NO_OWNER UINT32_MAX

struct slice {
	/** First and last hash of the range, both inside it. */
	uint64_t first, last;
	/** Index of the owner, or SLICE_NO_OWNER. */
	uint32_t owner;
	/** Epoch of the cell at which the owner last changed. */
	uint64_t epoch;
};

struct slice_map;

/**
 * Decodes a CellRow and checks it: slices sorted, the first begins at 0, owners
 * within the list, no slice's epoch above the cell's.
 *
 * @param row the encoded row; not kept
 * @param error AUBURN_ERROR_PROTOCOL
 * @return a new map, or NULL
 */
struct slice_map *slice_map_decode(struct str row, GError **error);

/** Frees a map. */
void slice_map_destroy(struct slice_map *map);

/**
 * Encodes as a CellRow.
 *
 * @param attempt the writer's id of this write
 * @return the bytes; the caller frees them with g_bytes_unref()
 */
GBytes *slice_map_encode(const struct slice_map *map, struct str attempt);

/** The cell's name, which is its service's name. */
struct str slice_map_cell(const struct slice_map *map);

/** The cell's epoch. */
uint64_t slice_map_epoch(const struct slice_map *map);

/** The id of the write that made this row; empty when unknown. */
struct str slice_map_attempt(const struct slice_map *map);

/** The number of slices; at least 1. */
size_t slice_map_count(const struct slice_map *map);

/** The slice at an index, in the order of the key space. */
const struct slice *slice_map_at(const struct slice_map *map, size_t index);

/**
 * Finds the slice that holds a hash.
 *
 * @return the slice; there always is one
 */
const struct slice *slice_map_find(const struct slice_map *map, uint64_t hash);

/**
 * The id of an owner's VM.
 *
 * @param owner index from a slice; not SLICE_NO_OWNER
 */
struct str slice_map_owner(const struct slice_map *map, uint32_t owner);

/** The number of owners listed. */
size_t slice_map_owner_count(const struct slice_map *map);

#endif
