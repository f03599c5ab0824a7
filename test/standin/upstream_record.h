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
	/** Start of the execution; monotonic clock. */
	int64_t at_us;
	/** The request has a key. */
	bool keyed;
	/** Hash of the key, and the epoch of its owner in the router's owner
	 * map; valid when keyed. */
	uint64_t hash, epoch;
	/** Header values; NULL when the header is missing. */
	const char *request_id;
	const char *attempt;
	/** The header Idempotency-Key. */
	const char *work_id;
	/** The header Load-Id, which the load generator sets. */
	const char *load_id;
	/** Method, and path with query as the client sent them. */
	const char *method;
	const char *uri;
};

struct record;

/**
 * Creates a record.
 *
 * @param path log file to append to, or "" for none
 * @param error set to AUBURN_ERROR_UNAVAILABLE
 * @return a new record, freed with record_destroy(); NULL on error
 */
struct record *record_create(const char *path, GError **error);

void record_destroy(struct record *record);

/** Adds an execution; its line is written when this returns. */
void record_run(struct record *record, const struct run *run);

/** Appends a grant of an order's key ranges that lasts from now_us to until_us;
 * monotonic clock. */
void record_grant(struct record *record, int64_t now_us, int64_t until_us,
		  const struct order *order);

/** Counts a violation of the protocol by the router under a name, such as
 * "wrong-key-hash". */
void record_violation(struct record *record, const char *name);

/**
 * Returns the counters: the number of executions, also by request id, by
 * idempotency key ("work") and by load id, and of violations by name.
 *
 * @return {"runs", "requests": {id: count}, "work": {...}, "loads": {...},
 *         "violations": {...}}, a new reference; "requests" and
 *         "loads" leave out GET and HEAD, which may be repeated
 */
json_t *record_counts_json(struct record *record);

#endif
