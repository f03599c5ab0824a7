/**
 * Copies of whole tables, which the leader sends to VMs that start, so that
 * these need not read the tables from the store. A copy is compressed and
 * travels in a few datagrams.
 */
#ifndef ENTRY_TABLE_COPY_H
#define ENTRY_TABLE_COPY_H

#include <stdbool.h>

#include "entry/table_watch.h"
#include "wire/entry.pb-c.h"

/** Largest part of a copy, in bytes, and largest number of parts. A dozen
 * copies of a part, to relays, take 0.08 s on a link of 10 Mbit/s. */
#define TABLE_COPY_PART_BYTES 8000u
#define TABLE_COPY_PARTS_MAX 80u

/**
 * Encodes a copy.
 *
 * @return the bytes, freed by the caller; NULL when they don't fit into the
 *         parts that a copy may have
 */
GByteArray *table_copy_encode(const struct table_delta *copy);

/**
 * Decodes a copy.
 *
 * @return the message, freed with table_changes__free_unpacked(); NULL when the
 *         bytes are no copy
 */
TableChanges *table_copy_decode(const uint8_t *data, size_t len);

/** Returns the number of parts of an encoded copy. */
unsigned int table_copy_part_count(const GByteArray *bytes);

/** Sets a message to a part of an encoded copy, to which it refers. */
void table_copy_part(const GByteArray *bytes, unsigned int index,
		     TableCopyPart *part);

/** Collects the parts of copies of a table, or of changes, which several VMs
 * may send at the same time. */
struct table_copy_parts;

/** Creates a collection without any part. */
struct table_copy_parts *table_copy_parts_create(void);

/** Frees the collection; NULL is allowed. */
void table_copy_parts_destroy(struct table_copy_parts *parts);

/**
 * Adds a part. Parts of a copy that is older than the last complete one are
 * ignored; changes are taken in any order.
 *
 * @return the copy when it is complete, freed with
 *         table_changes__free_unpacked(), or NULL
 */
TableChanges *table_copy_parts_add(struct table_copy_parts *parts,
				   const TableCopyPart *part);

#endif
