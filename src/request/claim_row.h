/**
 * The row of a claim as JSON text in the platform's table.
 */
#ifndef REQUEST_CLAIM_ROW_H
#define REQUEST_CLAIM_ROW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/claim.h"

enum claim_row_state {
	/** It may be running, or its router died. */
	CLAIM_ROW_CLAIMED,
	/** It ran; its answer is recorded. */
	CLAIM_ROW_DONE,
	/** It may have run. */
	CLAIM_ROW_UNKNOWN,
	/** It certainly did not run; the next may claim. */
	CLAIM_ROW_RELEASED,
};

/** A row read; its strings borrow from json. */
struct claim_row_value {
	json_t *json;
	enum claim_row_state state;
	struct str attempt;
	uint64_t digest;
	int64_t claimed_us;
	int64_t running_us;
	struct claim_record record;
};

/**
 * Writes a row.
 *
 * @param record for CLAIM_ROW_DONE, else NULL
 * @return JSON text; the caller frees it with g_free()
 */
char *claim_row_encode(const struct claim_options *options,
		       enum claim_row_state state,
		       const struct claim_record *record);

/**
 * Reads a row.
 *
 * @param row set; end its use with claim_row_clear()
 * @return false when the text is no such row; nothing to clear then
 */
bool claim_row_decode(struct str text, struct claim_row_value *row);

/** Frees what a row read holds. */
void claim_row_clear(struct claim_row_value *row);

/** Tells whether a row's key is honoured no more. */
bool claim_row_expired(const struct claim_row_value *row, int64_t wall_us);

#endif
