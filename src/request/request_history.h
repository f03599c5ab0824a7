/**
 * Ring buffer of the requests that ended last on one router, so that operators
 * can look up the outcome of a request by its id. Fixed memory, thread-safe.
 */
#ifndef REQUEST_REQUEST_HISTORY_H
#define REQUEST_REQUEST_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"

/** Sizes in bytes, the terminating NUL included. */
#define REQUEST_HISTORY_ID_SIZE 33
#define REQUEST_HISTORY_NAME_SIZE 64

/** The outcome of one request. */
struct request_history_entry {
	char id[REQUEST_HISTORY_ID_SIZE];
	char service[REQUEST_HISTORY_NAME_SIZE];
	/** The last upstream tried; "" when there was none. */
	char upstream[REQUEST_HISTORY_NAME_SIZE];
	/** Only the owner of the request's key could run the request. */
	bool keyed;
	/** Hash of the request's key, for a keyed service. */
	uint64_t hash;
	/** Copies sent, backup requests and retries included. */
	uint32_t copies;
	struct verdict verdict;
	/** When the request ended, in microseconds of the wall clock. */
	int64_t ended_us;
	/** Microseconds from the request's arrival to its end. */
	int64_t took_us;
};

/** The requests that ended last on one router. */
struct request_history;

/**
 * Creates an empty history.
 *
 * @param capacity number of entries kept, at least 1; a new one replaces the
 *        oldest
 * @return a new history; free with request_history_destroy()
 */
struct request_history *request_history_create(size_t capacity);

/** Frees a history; NULL is allowed. */
void request_history_destroy(struct request_history *history);

/** Adds a copy of an entry. */
void request_history_add(struct request_history *history,
			 const struct request_history_entry *entry);

/**
 * Finds a request by its id.
 *
 * @param entry filled when found
 * @return false when the request is not among those kept
 */
bool request_history_find(struct request_history *history, struct str id,
			  struct request_history_entry *entry);

#endif
