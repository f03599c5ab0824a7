/**
 * Gauges of how recent this VM's picture of the store is, and counters of how
 * it was kept so.
 */
#ifndef ENTRY_STATUS_METRICS_H
#define ENTRY_STATUS_METRICS_H

#include "entry/roster.h"
#include "entry/watch_status.h"

struct status_metrics;

/** What the metrics are about; what the pointers refer to must outlive them. */
struct status_metrics_options {
	const struct loop *loop;
	struct metrics *metrics;
	struct roster *roster;
	const struct watch_status *status;
	struct table_watch *watches[COPIED_TABLES];
};

/**
 * Creates the metrics.
 *
 * @param options copied
 */
struct status_metrics *
status_metrics_create(const struct status_metrics_options *options);

/** Frees what status_metrics_create() returned; NULL is allowed. */
void status_metrics_destroy(struct status_metrics *metrics);

/** Sets the values, before metrics are rendered. */
void status_metrics_update(struct status_metrics *metrics);

#endif
