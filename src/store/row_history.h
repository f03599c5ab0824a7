/**
 * The states of a table's rows that were superseded lately. They tell rows that
 * the store restored from an older copy of itself from those that were written
 * since.
 */
#ifndef STORE_ROW_HISTORY_H
#define STORE_ROW_HISTORY_H

#include "store/store.h"

struct row_history;

/** Creates an empty history; freed with row_history_destroy(). */
struct row_history *row_history_create(void);

/** Frees a history; NULL is allowed. */
void row_history_destroy(struct row_history *history);

/**
 * Notes that a state of a row was superseded: the row was written again, or
 * removed. The state is kept for a minute.
 *
 * @param row not a removed one
 * @param now_s time in seconds on the caller's clock
 */
void row_history_add(struct row_history *history, const struct store_row *row,
		     double now_s);

/** Whether a row is in a state that was superseded in the last minute: it has
 * the same key, version of the store (without the era) and value. */
bool row_history_has(struct row_history *history, const struct store_row *row,
		     double now_s);

/** Whether two rows are in the same state, whatever their era. */
bool row_is_same_state(const struct store_row *a, const struct store_row *b);

#endif
