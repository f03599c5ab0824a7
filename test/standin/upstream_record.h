/**
 * Record of the executions and grants of the upstream stand-in: counters in
 * memory and a log file that outlives the process. Thread safe.
 *
 * Lines of the log file, fields separated by tabs:
 *   start TIME
 *   run TIME HASH EPOCH REQUEST ATTEMPT WORK LOAD METHOD URI
 *   grant TIME UNTIL EPOCH FIRST-LAST,...   ("=": the ranges held before)
 * TIME and UNTIL are microseconds of the VM's CLOCK_BOOTTIME; an empty field
 * is "-".
 */
#ifndef UPSTREAM_RECORD_H
#define UPSTREAM_RECORD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ownership/order_defs.h"

/** One execution of a request, recorded before it begins. */
struct run {
	int64_t at_us;
	bool keyed;
	/** Key hash and the epoch of its owner map; valid when keyed. */
	uint64_t hash, epoch;
	/** Header values; NULL when the header is missing. */
	const char *request_id;
	const char *attempt;
	const char *work_id;
	const char *load_id;
	const char *method;
	const char *uri;
};

struct record;

/**
 * Creates a record.
 *
 * @param path log file to append to, or "" for none
 * @param error set to AUBURN_ERROR_UNAVAILABLE
 * @return a new record, or NULL on error
 */
struct record *record_create(const char *path, GError **error);

void record_destroy(struct record *record);

/** Adds an execution; its line is written when this returns. */
void record_run(struct record *record, const struct run *run);

/** Appends a grant of an order's key ranges that holds until until_us. */
void record_grant(struct record *record, int64_t now_us, int64_t until_us,
		  const struct order *order);

/** Counts a violation of the protocol by name. */
void record_violation(struct record *record, const char *what);

/**
 * Returns the counters.
 *
 * @return {"runs", "requests": {id: count}, "work": {...}, "loads": {...},
 *         "violations": {...}}, a new reference; "requests" and
 *         "loads" leave out GET and HEAD, which may be repeated
 */
json_t *record_counts_json(struct record *record);

#endif
