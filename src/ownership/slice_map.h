/**
 * The owner map of one cell, which the table stores as the cell's row: which
 * upstream owns which range of the key space, and since which epoch. A map is
 * immutable, so any number of threads may read it.
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

/** A range of the key space with one owner. */
struct slice {
	/** First and last hash of the range, both inside it. */
	uint64_t first, last;
	/** Index of the owner in the map's list of owners, or SLICE_NO_OWNER.
	 */
	uint32_t owner;
	/** Epoch of the cell at which the owner last changed. */
	uint64_t epoch;
};

/** A range of hashes; both bounds are inside it. */
struct hash_range {
	uint64_t first, last;
};

struct slice_map;

/**
 * Decodes a CellRow and checks it: slices sorted, the first begins at 0, owners
 * within the list, no slice's epoch above the cell's.
 *
 * @param row the encoded row; not kept
 * @param error set to AUBURN_ERROR_PROTOCOL if the row is invalid
 * @return a new map, or NULL if the row is invalid
 */
struct slice_map *slice_map_decode(struct str row, GError **error);

/**
 * Builds a map from its parts.
 *
 * @param owners ids of VMs; copied
 * @param slices sorted; copied. The `last` of each is ignored, and set in the
 *        map to the hash before the next slice
 * @param error set to AUBURN_ERROR_PROTOCOL if the parts break a rule of
 *        slice_map_decode()
 * @return a new map, or NULL if the parts break a rule
 */
struct slice_map *slice_map_create(struct str cell, uint64_t epoch,
				   const struct str *owners, size_t owner_count,
				   const struct slice *slices,
				   size_t slice_count, GError **error);

/**
 * Creates the first map of a cell at epoch 1: equal slices, those of one owner
 * next to each other.
 *
 * @param owners ids of VMs; copied
 * @param per_owner number of slices of each owner; 0 for a cell without slices:
 *        the map then has one slice, without an owner
 */
struct slice_map *slice_map_initial(struct str cell, const struct str *owners,
				    size_t owner_count, size_t per_owner);

/** Adds a reference. @return map */
struct slice_map *slice_map_ref(struct slice_map *map);

/** Drops a reference; the last one frees the map. */
void slice_map_destroy(struct slice_map *map);

/**
 * Encodes a map as a CellRow, the form in which the table stores it.
 *
 * @param attempt unique id of this write, chosen by the writer
 * @return the bytes; the caller frees them with g_bytes_unref()
 */
GBytes *slice_map_encode(const struct slice_map *map, struct str attempt);

/** The cell's name, which is its service's name. */
struct str slice_map_cell(const struct slice_map *map);

/** The row's epoch: 1 for the first row of a cell, then one higher with each
 * row. */
uint64_t slice_map_epoch(const struct slice_map *map);

/** The unique id of the write that stored this row; empty when unknown. */
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

/** The index of the slice that holds a hash. */
size_t slice_map_index(const struct slice_map *map, uint64_t hash);

/**
 * The id of an owner's VM.
 *
 * @param owner index from a slice; not SLICE_NO_OWNER
 */
struct str slice_map_owner(const struct slice_map *map, uint32_t owner);

/** The number of owners listed. */
size_t slice_map_owner_count(const struct slice_map *map);

/** The index of a VM among the owners, or SLICE_NO_OWNER. */
uint32_t slice_map_owner_index(const struct slice_map *map, struct str id);

/** The number of slices of one owner. */
size_t slice_map_count_owned(const struct slice_map *map, uint32_t owner);

/**
 * The ranges of one owner; adjacent slices are merged.
 *
 * @return array of struct hash_range; the caller frees it with g_array_unref()
 */
GArray *slice_map_ranges(const struct slice_map *map, uint32_t owner);

/**
 * The digest of ranges that upstreams report: XXH3 over all bounds, each as 8
 * bytes, little endian.
 */
uint64_t hash_ranges_digest(const struct hash_range *ranges, size_t count);

#endif
