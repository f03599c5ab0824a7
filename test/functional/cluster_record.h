/**
 * Reads the record files that the upstream stand-ins of a cluster write, and
 * checks them for repeated executions and for keys with two owners.
 */
#ifndef CLUSTER_RECORD_H
#define CLUSTER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One execution of a request by an upstream. All texts are owned by the
 * record. */
struct record_run {
	/** Start of the execution, in microseconds of CLOCK_BOOTTIME. */
	int64_t at_us;
	/** Index of the upstream in the cluster. */
	unsigned int upstream;
	/** Whether the request had a key; if not, hash and epoch are 0. */
	bool keyed;
	/** Hash of the key, and epoch of the owner map by which the router
	 * chose the upstream. */
	uint64_t hash, epoch;
	/** Values of the headers Auburn-Request-Id, Idempotency-Key and
	 * Load-Id;
	 * "-": header absent. */
	char *request_id, *idempotency_key, *load_id;
	char *method, *uri;
};

/** An upstream owned the hashes first to last, both included, in
 * [from_us, until_us). */
struct ownership_period {
	/** Index of the upstream in the cluster. */
	unsigned int upstream;
	uint64_t first, last;
	/** Epoch of the grant that listed the hashes. */
	uint64_t epoch;
	/** Microseconds of CLOCK_BOOTTIME. */
	int64_t from_us, until_us;
};

/** Executions and ownership periods read from the added record files. */
struct execution_record;

/** Returns an empty record; execution_record_destroy() frees it. */
struct execution_record *execution_record_create(void);
void execution_record_destroy(struct execution_record *record);

/**
 * Adds the record file of one upstream.
 *
 * @param upstream index of the upstream in the cluster
 * @return false when the file can't be read
 */
bool execution_record_add_file(struct execution_record *record,
			       const char *path, unsigned int upstream);

/**
 * Returns all executions, file by file.
 *
 * @return an array of struct record_run, owned by the record
 */
const GArray *execution_record_runs(const struct execution_record *record);

/**
 * Counts idempotency keys with more than one execution, and requests without
 * an idempotency key that were executed more than once. Of the latter, those
 * with method GET or HEAD don't count, as they may be repeated.
 *
 * @param first set to one of the counted ids, owned by the record; NULL when
 *        there is none
 */
unsigned int execution_record_count_duplicates(struct execution_record *record,
					       const char **first);

/** Counts the executions with one idempotency key. */
unsigned int
execution_record_count_by_key(const struct execution_record *record,
			      const char *idempotency_key);

/**
 * Counts pairs of ownership periods in which two upstreams owned the same hash
 * at the same time.
 *
 * @param first,second set to one such pair; unchanged when there is none
 */
unsigned int
execution_record_count_overlaps(const struct execution_record *record,
				struct ownership_period *first,
				struct ownership_period *second);

/** Counts executions that an upstream began in [from_us, until_us). */
unsigned int
execution_record_count_between(const struct execution_record *record,
			       unsigned int upstream, int64_t from_us,
			       int64_t until_us);

#endif
