/**
 * Functions that the parts of bench_path share: they print results, run loadgen
 * and read the daemons' metrics. Also declares the function that runs each
 * part.
 */
#ifndef MEASURE_H
#define MEASURE_H

#include <jansson.h>
#include <stdint.h>

#include "cluster.h"

/** Passed as a baseline by a measure that has none; the ratio prints as 0. */
#define NO_BASELINE 0.0

/**
 * Prints a line "name case value unit baseline ratio" to stdout.
 *
 * @param label the case
 * @param baseline value to compare with, in the same unit, or NO_BASELINE
 */
void measure_print(const char *name, const char *label, double value,
		   const char *unit, double baseline);

/**
 * Runs loadgen and waits until it exits. Exits the process with a failure when
 * loadgen gives no report or does not exit within 60 s after its report.
 *
 * @param targets addresses that get the load, separated by commas
 * @param arguments further options of loadgen, ended by NULL
 * @return loadgen's JSON report, a new reference
 */
json_t *measure_load(struct cluster *cluster, const char *targets,
		     const char *const *arguments);

/**
 * Returns a number from the "latency"/"all" object of a loadgen report.
 *
 * @param member name of the number, for example "p99_ms"
 */
double measure_latency(const json_t *report, const char *member);

/**
 * Reads a daemon's /metrics and sums the values of all lines that begin with
 * prefix.
 */
double measure_metric(const struct process *daemon, const char *prefix);

/** Returns the index of the assigner that leads a cell, or -1 for none. */
int measure_find_coordinator(struct cluster *cluster, const char *cell);

/** Measures latency, throughput and memory of one router. */
void measure_router(void);

/** Measures how long keys are unserved after processes or a zone are lost. */
void measure_unserved(void);

/** Measures CPU time, memory and control traffic of idle daemons. */
void measure_control(void);

#endif
