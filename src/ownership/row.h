/**
 * The cell's row in the table: reads it, replaces it by compare-and-set, and
 * finds out the outcome of a write that got no reply.
 */
#ifndef OWNERSHIP_ROW_H
#define OWNERSHIP_ROW_H

#include "ownership/coordinator_impl.h"

/** Checks table calls for timeouts and starts a read if one is due. */
void row_step(struct coordinator *c, int64_t now);

/** Requests a read of the row as soon as possible. */
void row_need_read(struct coordinator *c);

/**
 * Begins to replace the row. No other write may be pending.
 *
 * @param map the next row; its reference is taken over
 */
void row_begin_write(struct coordinator *c, struct slice_map *map);

/** Forgets a pending write; the table may still apply it. */
void row_drop_write(struct coordinator *c);

/** Begins to write a cell's first row, at epoch 1, with the listed upstreams
 * that are in service. Does nothing if there are none. */
void row_write_first(struct coordinator *c);

/** Takes over a cell whose upstreams don't check grants: begins to write the
 * same row at the next epoch, marked as written by this process. */
void row_write_takeover(struct coordinator *c);

/** Publishes the known row if that has not been done and every later
 * coordinator is sure to learn of the row. */
void row_publish(struct coordinator *c);

/** Handles the result of a read, see coordinator_on_row(). */
void row_on_read(struct coordinator *c, uint64_t request,
		 enum table_status status, uint64_t version, struct str row);

/** Handles the result of a write, see coordinator_on_written(). */
void row_on_written(struct coordinator *c, uint64_t request,
		    enum table_status status, uint64_t version);

/**
 * Makes a committed row the known one if its epoch is newer, derives the states
 * of its slices, and makes orders to all upstreams due at once. If the row is
 * the known one, only its version is recorded.
 *
 * @param map a reference is taken
 * @param version the row's version in the table; 0 if not known
 * @param own this daemon made the row from the one known so far
 */
void row_adopt(struct coordinator *c, struct slice_map *map, uint64_t version,
	       bool own);

#endif
