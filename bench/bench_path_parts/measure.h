/**
 * What the parts of bench_path share: lines of figures, loads, and counters of
 * daemons.
 */
#ifndef MEASURE_H
#define MEASURE_H

#include <jansson.h>
#include <stdint.h>

#include "cluster.h"

/** No baseline for a measure. */
#define NO_BASELINE 0.0

/** Prints "name case value unit baseline ratio". */
void measure_print(const char *name, const char *where, double value,
		   const char *unit, double baseline);

/**
 * Runs loadgen to its end.
 *
 * @param targets addresses separated by commas
 * @param arguments more arguments, ended by NULL
 * @return its report, a new reference; aborts when there is none
 */
json_t *measure_load(struct cluster *cluster, const char *targets,
		     const char *const *arguments);

/** A number under latency/all of a report. */
double measure_latency(const json_t *report, const char *member);

/**
 * Sums the values of a daemon's metrics whose line begins with a text.
 */
double measure_metric(const struct process *daemon, const char *prefix);

/** The index of the assigner that leads a cell, -1 when none does. */
int measure_coordinator(struct cluster *cluster, const char *cell);

/** Latency, throughput and memory of one router. */
void measure_router(void);

/** Time without service after losses. */
void measure_unserved(void);

/** Processor time and bytes of control. */
void measure_control(void);

#endif
