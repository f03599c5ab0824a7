/**
 * Ring buffer of the requests that one router ended last, so that operators can
 * look up the outcome of a request by its id. Fixed memory, thread-safe.
 */
#ifndef REQUEST_JOURNAL_H
#define REQUEST_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"

/** Sizes in bytes, the terminating NUL included. */
#define JOURNAL_ID_SIZE 33
#define JOURNAL_NAME_SIZE 64

/** The outcome of one request. */
struct journal_entry {
	char id[JOURNAL_ID_SIZE];
	char service[JOURNAL_NAME_SIZE];
	/** The last upstream tried; "" when there was none. */
	char upstream[JOURNAL_NAME_SIZE];
	bool keyed;
	/** Hash of the request's key, for a keyed service. */
	uint64_t hash;
	/** Copies sent, backup requests and retries included. */
	uint32_t copies;
	struct verdict verdict;
	/** When the request ended, by the wall clock. */
	int64_t ended_us;
	/** From the request's arrival to its end. */
	int64_t took_us;
};

struct journal;

/**
 * Creates an empty journal.
 *
 * @param capacity number of entries kept, at least 1; a new one replaces the
 *        oldest
 * @return a new journal; free with journal_destroy()
 */
struct journal *journal_create(size_t capacity);

/** Frees a journal; NULL is allowed. */
void journal_destroy(struct journal *journal);

/** Adds a copy of an entry. */
void journal_add(struct journal *journal, const struct journal_entry *entry);

/**
 * Finds a request by its id.
 *
 * @param entry filled when found
 * @return false when the request is not among those kept
 */
bool journal_find(struct journal *journal, struct str id,
		  struct journal_entry *entry);

#endif
