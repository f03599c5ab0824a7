/**
 * The cell's row in the table: reading it, replacing it by compare-and-set,
 * and finding out what became of a write without an answer.
 */
#ifndef OWNERSHIP_ROW_H
#define OWNERSHIP_ROW_H

#include "ownership/coordinator_impl.h"

/** Sends what is due: a read, or a write again. */
void row_step(struct coordinator *c, int64_t now);

/** Asks for the row to be read at once. */
void row_need_read(struct coordinator *c);

/**
 * Begins to replace the row. No other write may be pending.
 *
 * @param map the next row; its reference is taken over
 */
void row_begin_write(struct coordinator *c, struct slice_map *map);

/** Drops a pending write; the table may still apply it. */
void row_drop_write(struct coordinator *c);

/** Writes a cell's first row, at epoch 1. */
void row_write_first(struct coordinator *c);

/** Takes over a cell without fences: the same row under our attempt. */
void row_write_takeover(struct coordinator *c);

/** Publishes the row once no successor can miss it. */
void row_publish(struct coordinator *c);

/** The answer to a read. */
void row_on_read(struct coordinator *c, uint64_t request,
		 enum table_status status, uint64_t version, struct str row);

/** The answer to a write. */
void row_on_written(struct coordinator *c, uint64_t request,
		    enum table_status status, uint64_t version);

/**
 * Takes a committed row as the newest known, unless an older one.
 *
 * @param version in the table; 0: not known
 * @param own this daemon made it from the row before
 */
void row_adopt(struct coordinator *c, struct slice_map *map, uint64_t version,
	       bool own);

#endif
