/**
 * The last requests of one router, for operators who ask what became of one.
 * Fixed memory; any thread may call.
 */
#ifndef REQUEST_JOURNAL_H
#define REQUEST_JOURNAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"

#define JOURNAL_ID_SIZE 33
#define JOURNAL_NAME_SIZE 64

/** What became of one request. */
struct journal_entry {
	char id[JOURNAL_ID_SIZE];
	char service[JOURNAL_NAME_SIZE];
	/** The last upstream tried; "" when there was none. */
	char upstream[JOURNAL_NAME_SIZE];
	bool keyed;
	/** Place of its key, for a keyed service. */
	uint64_t hash;
	/** Copies made of it, backups and retries included. */
	uint32_t copies;
	struct verdict verdict;
	/** When it ended, by the wall clock. */
	int64_t ended_us;
	/** From its arrival to its end. */
	int64_t took_us;
};

struct journal;

/**
 * Creates a journal.
 *
 * @param capacity entries that are kept; the oldest go first
 */
struct journal *journal_create(size_t capacity);

/** Frees a journal; NULL is allowed. */
void journal_destroy(struct journal *journal);

/** Adds an entry; it is copied. */
void journal_add(struct journal *journal, const struct journal_entry *entry);

/**
 * Finds a request by its id.
 *
 * @param entry filled when found
 * @return false when it is not among those kept
 */
bool journal_find(struct journal *journal, struct str id,
		  struct journal_entry *entry);

#endif
