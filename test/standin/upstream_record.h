/**
 * What the upstream stand-in did: counts in memory, and a file of lines that
 * outlives the process. Thread safe.
 *
 * Lines of the file, fields separated by tabs:
 *   start TIME
 *   run TIME HASH EPOCH REQUEST ATTEMPT WORK LOAD METHOD URI
 *   grant TIME UNTIL EPOCH FIRST-LAST,...   ("=": the ranges held before)
 * TIME and UNTIL are microseconds of the machine's boot clock; a field that is
 * empty is "-".
 */
#ifndef UPSTREAM_RECORD_H
#define UPSTREAM_RECORD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "ownership/order_defs.h"

/** One execution, noted before it begins. */
struct run {
	int64_t at_us;
	bool keyed;
	uint64_t hash, epoch;
	/** Texts may be NULL. */
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
 * @param path file to append to, or "" for none
 * @param error AUBURN_ERROR_UNAVAILABLE
 */
struct record *record_create(const char *path, GError **error);

void record_destroy(struct record *record);

/** Notes an execution; its line is in the file when this returns. */
void record_run(struct record *record, const struct run *run);

/** Notes that a grant of some ranges holds until an instant. */
void record_grant(struct record *record, int64_t now_us, int64_t until_us,
		  const struct order *order);

/** Counts something that must not happen. */
void record_violation(struct record *record, const char *what);

/**
 * The counts.
 *
 * @return {"runs", "requests": {id: count}, "work": {...}, "loads": {...},
 *         "violations": {...}}, a new reference; requests holds only those
 *         whose method may not be repeated
 */
json_t *record_counts_json(struct record *record);

#endif
