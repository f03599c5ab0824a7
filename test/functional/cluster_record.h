/**
 * Reads the record files that the upstream stand-ins of a cluster write, and
 * checks them for repeated executions and for keys with two owners.
 */
#ifndef CLUSTER_RECORD_H
#define CLUSTER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One execution of a request by an upstream. */
struct record_run {
	int64_t at_us;
	/** Index of the upstream in the cluster. */
	unsigned int upstream;
	bool keyed;
	uint64_t hash, epoch;
	/** Headers and request line; a header that was not sent is "-". */
	char *request_id, *work_id, *load_id, *method, *uri;
};

/** A hash range that an upstream owned from from_us until until_us. */
struct record_hold {
	unsigned int upstream;
	uint64_t first, last, epoch;
	int64_t from_us, until_us;
};

/** Executions and ownership periods of all upstreams of a cluster. */
struct record_book;

/** @return an empty record; record_book_destroy() frees it */
struct record_book *record_book_create(void);
void record_book_destroy(struct record_book *book);

/**
 * Adds the record file of one upstream.
 *
 * @param upstream index of the upstream in the cluster
 * @return false when the file can't be read
 */
bool record_book_add(struct record_book *book, const char *path,
		     unsigned int upstream);

/**
 * Returns all executions, file by file.
 *
 * @return an array of struct record_run, owned by the record
 */
const GArray *record_book_runs(const struct record_book *book);

/**
 * Counts idempotency keys that were executed more than once, and requests
 * without such a key that were, unless their method is GET or HEAD.
 *
 * @param first set to one of these ids, or NULL; owned by the record
 */
unsigned int record_book_duplicates(struct record_book *book,
				    const char **first);

/** Counts the executions under one idempotency key. */
unsigned int record_book_work_runs(const struct record_book *book,
				   const char *work_id);

/**
 * Counts pairs of ownership periods in which two upstreams owned the same hash
 * at the same time.
 *
 * @param first,second set to one such pair; unchanged when there is none
 */
unsigned int record_book_overlaps(const struct record_book *book,
				  struct record_hold *first,
				  struct record_hold *second);

/** Counts executions that an upstream began in [from_us, until_us). */
unsigned int record_book_runs_between(const struct record_book *book,
				      unsigned int upstream, int64_t from_us,
				      int64_t until_us);

#endif
