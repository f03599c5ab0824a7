/**
 * Helpers that the parts of bench_path share: printing a result, running
 * loadgen, and reading the daemons' metrics; and the entry points of the parts.
 */
#ifndef MEASURE_H
#define MEASURE_H

#include <jansson.h>
#include <stdint.h>

#include "cluster.h"

/** Passed as a baseline by a measure that has none; the ratio prints as 0. */
#define NO_BASELINE 0.0

/**
 * Prints a line "name case value unit baseline ratio".
 *
 * @param where the case
 */
void measure_print(const char *name, const char *where, double value,
		   const char *unit, double baseline);

/**
 * Runs loadgen and waits until it exits. Exits the process with a failure when
 * loadgen gives no report or does not exit within 60 s.
 *
 * @param targets addresses that get the load, separated by commas
 * @param arguments further options of loadgen, ended by NULL
 * @return loadgen's JSON report, a new reference
 */
json_t *measure_load(struct cluster *cluster, const char *targets,
		     const char *const *arguments);

/** Returns a number from the "latency"/"all" object of a loadgen report. */
double measure_latency(const json_t *report, const char *member);

/**
 * Reads a daemon's /metrics and sums the values of all lines that begin with
 * prefix.
 */
double measure_metric(const struct process *daemon, const char *prefix);

/** Returns the index of the assigner that leads a cell, or -1 for none. */
int measure_coordinator(struct cluster *cluster, const char *cell);

/** Measures latency, throughput and memory of one router. */
void measure_router(void);

/** Measures how long keys are unserved after processes or a zone are lost. */
void measure_unserved(void);

/** Measures CPU time, memory and control traffic of idle daemons. */
void measure_control(void);

#endif
