/**
 * What the upstream stand-ins of a cluster noted: executions and grants, and
 * what follows from them.
 */
#ifndef CLUSTER_RECORD_H
#define CLUSTER_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** One execution. */
struct record_run {
	int64_t at_us;
	/** Which upstream, by its place in the cluster. */
	unsigned int upstream;
	bool keyed;
	uint64_t hash, epoch;
	/** "-" when empty. */
	char *request_id, *work_id, *load_id, *method, *uri;
};

/** A range that an upstream held from one instant to another. */
struct record_hold {
	unsigned int upstream;
	uint64_t first, last, epoch;
	int64_t from_us, until_us;
};

struct record_book;

struct record_book *record_book_create(void);
void record_book_destroy(struct record_book *book);

/**
 * Adds one upstream's file.
 *
 * @param upstream its place in the cluster
 * @return false when it can't be read
 */
bool record_book_add(struct record_book *book, const char *path,
		     unsigned int upstream);

/** All executions: an array of struct record_run. */
const GArray *record_book_runs(const struct record_book *book);

/**
 * Work that ran more than once: by idempotency key, and by request of a method
 * that may not be repeated.
 *
 * @param first set to the id of one, or NULL; belongs to the book
 */
unsigned int record_book_duplicates(struct record_book *book,
				    const char **first);

/** How often one idempotency key ran. */
unsigned int record_book_work_runs(const struct record_book *book,
				   const char *work_id);

/**
 * Times that two upstreams held the same hash at one instant.
 *
 * @param first set to one of them; both members may be NULL
 */
unsigned int record_book_overlaps(const struct record_book *book,
				  struct record_hold *first,
				  struct record_hold *second);

/** Executions that began on an upstream from an instant to another. */
unsigned int record_book_runs_between(const struct record_book *book,
				      unsigned int upstream, int64_t from_us,
				      int64_t until_us);

#endif
