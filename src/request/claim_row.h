/**
 * Encodes and decodes the row of a claim: JSON text in the platform's table.
 */
#ifndef REQUEST_CLAIM_ROW_H
#define REQUEST_CLAIM_ROW_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "request/claim.h"

/** What a row tells about the request of its claim. */
enum claim_row_state {
	/** No outcome yet: the request may be running, or its router crashed.
	 */
	CLAIM_ROW_CLAIMED,
	/** The request ran; its answer is recorded. */
	CLAIM_ROW_DONE,
	/** The request may have run. */
	CLAIM_ROW_UNKNOWN,
	/** The request certainly did not run; another attempt may claim. */
	CLAIM_ROW_RELEASED,
};

/** A decoded row; its strings borrow from json. */
struct claim_row_value {
	/** The parsed text; freed by claim_row_clear(). */
	json_t *json;
	enum claim_row_state state;
	/** The fields below up to running_us are those of the same names in
	 * struct claim_options of the claim that wrote the row; claimed_us is
	 * its wall_us. */
	struct str attempt;
	uint64_t digest;
	int64_t claimed_us;
	int64_t running_us;
	/** The answer, for CLAIM_ROW_DONE; else without status and strings. */
	struct claim_record record;
};

/**
 * Encodes a row.
 *
 * @param options those of the claim; service and key aren't used
 * @param record the answer, for CLAIM_ROW_DONE, else NULL
 * @return JSON text; the caller frees it with g_free()
 */
char *claim_row_encode(const struct claim_options *options,
		       enum claim_row_state state,
		       const struct claim_record *record);

/**
 * Decodes a row.
 *
 * @param row set; free what it holds with claim_row_clear()
 * @return false when the text isn't a claim's row; nothing to clear then
 */
bool claim_row_decode(struct str text, struct claim_row_value *row);

/** Frees what a decoded row holds. */
void claim_row_clear(struct claim_row_value *row);

/**
 * Tells whether a row is older than CLAIM_KEEP_US, even if the clock of the
 * router that wrote it differs by CLAIM_CLOCK_ERROR_US.
 *
 * @param wall_us this router's wall clock
 */
bool claim_row_expired(const struct claim_row_value *row, int64_t wall_us);

#endif
