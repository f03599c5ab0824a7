/**
 * Bounded log of a table's most recent changes. A VM keeps it so that it can
 * relay the changes to other VMs as deltas.
 */
#ifndef STORE_CHANGE_LOG_H
#define STORE_CHANGE_LOG_H

#include "store/store.h"

/** The log of one table. */
struct change_log;

/**
 * Creates an empty log.
 *
 * @param bytes_max estimated encoded size of the changes that it holds, at most
 * @return the log, freed with change_log_destroy()
 */
struct change_log *change_log_create(size_t bytes_max);

/** Frees a log; NULL is allowed. */
void change_log_destroy(struct change_log *log);

/**
 * Empties the log. Afterwards it covers only changes after the given version.
 */
void change_log_reset(struct change_log *log, uint64_t version);

/**
 * Appends a copy of a changed row. Rows must be added in version order.
 *
 * @param now_s time in seconds on the caller's clock, as in change_log_expire()
 */
void change_log_add(struct change_log *log, const struct store_row *row,
		    double now_s);

/** Drops changes that were added longer ago than the retention time, with the
 * whole transaction that they belong to. */
void change_log_expire(struct change_log *log, double now_s);

/** Returns the version after which the log holds every change. */
uint64_t change_log_after(const struct change_log *log);

/**
 * Returns the retained changes, oldest first: an array of struct store_row that
 * the log owns.
 */
const GArray *change_log_rows(const struct change_log *log);

#endif
