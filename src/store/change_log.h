/**
 * The newest changes of a table, kept for a short time so that they can be
 * passed on to other VMs.
 */
#ifndef STORE_CHANGE_LOG_H
#define STORE_CHANGE_LOG_H

#include "store/store.h"

struct change_log;

struct change_log *change_log_create(void);
void change_log_destroy(struct change_log *log);

/** Forgets all: nothing is known of changes up to a version. */
void change_log_reset(struct change_log *log, uint64_t version);

/** Keeps a change; versions come in order. */
void change_log_add(struct change_log *log, const struct store_row *row,
		    double now_s);

/** Drops what was kept long enough. */
void change_log_age(struct change_log *log, double now_s);

/** The version after which all changes are kept. */
uint64_t change_log_after(const struct change_log *log);

/** The changes kept: of struct store_row, oldest first; the log's. */
const GArray *change_log_rows(const struct change_log *log);

#endif
