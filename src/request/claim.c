#include "request/claim.h"

#include <glib.h>

#include "base/hash.h"
#include "base/planted.h"
#include "request/claim_row.h"

/* The table operation that is due next for a claim. */
enum step {
	/** Insert the row, or overwrite an expired or released one at its
	 * version. */
	STEP_INSERT,
	/** The answer to the insert was lost: read the row back. */
	STEP_READ_BACK,
	/** No table operation is due. */
	STEP_NONE,
	/** Write the outcome of the request into the row. */
	STEP_CLOSE,
	/** The claim was refused, but its insert may have worked: read the row.
	 */
	STEP_FIND_ORPHAN,
	/** Release the row that was found. */
	STEP_RELEASE_ORPHAN,
};

struct claim {
	struct claim_options options;
	/** Copies of the strings of the same names in options, which point to
	 * them. The other strings in options aren't kept. */
	char *attempt;
	char *claimant;
	/** Key of the row in the table. */
	char *key;
	enum step step;
	enum claim_state state;
	struct verdict verdict;
	/** Version that the row must have for the next write. */
	uint64_t version;
	/** Value of the next write. */
	char *value;
	/** Failed tries since claim_create(), or since the claim was confirmed
	 * as held, refused as unavailable, or closed. */
	uint32_t tries;
	/** claim_next_op() gave an operation that has no result yet. */
	bool under_way;
	/** The claim was given up while an operation was under way. The
	 * operation's result will be ignored. */
	bool abandoned;
	/** An insert's answer was lost: the row may hold this attempt's id.
	 */
	bool maybe_written;
	/** The row with another attempt's outcome, for CLAIM_RECORDED. */
	struct claim_row_value recorded;
};

/* Returns the row's key in the table; the caller frees it. */
static char *row_key(const struct claim_options *options)
{
	return g_strdup_printf("claim/%.*s/%016" G_GINT64_MODIFIER
			       "x%016" G_GINT64_MODIFIER "x",
			       STR_ARG(options->service),
			       hash_seeded(options->key, 0),
			       hash_seeded(options->key, 1));
}

struct claim *claim_create(const struct claim_options *options)
{
	struct claim *claim = g_new0(struct claim, 1);

	claim->options = *options;
	claim->key = row_key(options);
	claim->attempt = str_dup(options->attempt);
	claim->claimant = str_dup(options->claimant);
	claim->options.attempt = str_from(claim->attempt);
	claim->options.claimant = str_from(claim->claimant);
	claim->value =
		claim_row_encode(&claim->options, CLAIM_ROW_CLAIMED, NULL);
	claim->step = STEP_INSERT;
	claim->state = CLAIM_PENDING;
	return claim;
}

void claim_destroy(struct claim *claim)
{
	if (!claim)
		return;
	claim_row_clear(&claim->recorded);
	g_free(claim->attempt);
	g_free(claim->claimant);
	g_free(claim->key);
	g_free(claim->value);
	g_free(claim);
}

static bool is_read(enum step step)
{
	return step == STEP_READ_BACK || step == STEP_FIND_ORPHAN;
}

bool claim_has_op(const struct claim *claim)
{
	return claim->step != STEP_NONE && !claim->under_way;
}

bool claim_next_op(struct claim *claim, struct table_op *op)
{
	if (!claim_has_op(claim))
		return false;
	claim->under_way = true;
	*op = (struct table_op){ .kind = TABLE_OP_GET,
				 .key = str_from(claim->key) };
	if (!is_read(claim->step)) {
		op->kind = TABLE_OP_PUT;
		op->value = str_from(claim->value);
		op->if_version = claim->version;
	}
	return true;
}

/* Records that the table holds this claim, in a row of this version. */
static void set_held(struct claim *claim, uint64_t version)
{
	claim->state = CLAIM_HELD;
	claim->step = STEP_NONE;
	claim->version = version;
	claim->tries = 0;
}

/* Refuses a claim; no operation is due any more. */
static void refuse(struct claim *claim, enum verdict_kind kind,
		   enum verdict_reason reason)
{
	claim->state = CLAIM_REFUSED;
	claim->verdict = (struct verdict){ kind, reason };
	claim->step = STEP_NONE;
}

/* Refuses a claim that could not be confirmed as held. If its insert may have
 * worked, its row is looked up and released later. */
static void refuse_unavailable(struct claim *claim, enum verdict_reason reason)
{
	refuse(claim, VERDICT_NOT_RUN, reason);
	claim->tries = 0;
	if (claim->maybe_written)
		claim->step = STEP_FIND_ORPHAN;
}

/* Replaces the value of the next write. */
static void set_value(struct claim *claim, enum claim_row_state state,
		      const struct claim_record *record)
{
	g_free(claim->value);
	claim->value = claim_row_encode(&claim->options, state, record);
}

/* Schedules an insert over a released or expired row of this version. */
static void take_over(struct claim *claim, uint64_t version)
{
	claim->version = version;
	claim->step = STEP_INSERT;
}

/* Tells whether a row holds this attempt's claim. */
static bool is_ours(const struct claim *claim,
		    const struct claim_row_value *row)
{
	return str_equal(row->attempt, claim->options.attempt);
}

/* Decides what to do when another attempt's row is in the table. */
static void resolve_conflict(struct claim *claim, struct claim_row_value *row,
			     uint64_t version, int64_t wall_us)
{
	int64_t abandoned_us =
		row->claimed_us + row->running_us + CLAIM_CLOCK_ERROR_US;

	if (row->state == CLAIM_ROW_RELEASED ||
	    claim_row_expired(row, wall_us)) {
		take_over(claim, version);
	} else if (row->digest != claim->options.digest) {
		refuse(claim, VERDICT_NOT_RUN, REASON_BAD_REQUEST);
	} else if (row->state == CLAIM_ROW_DONE) {
		claim->state = CLAIM_RECORDED;
		claim->step = STEP_NONE;
		claim->recorded = *row;
		row->json = NULL;
	} else if (row->state == CLAIM_ROW_CLAIMED && wall_us <= abandoned_us) {
		refuse(claim, VERDICT_MAY_HAVE_RUN, REASON_CLAIM_IN_PROGRESS);
	} else {
		refuse(claim, VERDICT_MAY_HAVE_RUN, REASON_OUTCOME_UNKNOWN);
	}
}

/* Handles the row that was in the way of the insert, or that was read back. For
 * a row that can't be decoded the outcome is unknown. */
static void handle_row(struct claim *claim, const struct table_result *result,
		       int64_t wall_us)
{
	struct claim_row_value row;

	if (!claim_row_decode(result->value, &row)) {
		refuse(claim, VERDICT_MAY_HAVE_RUN, REASON_OUTCOME_UNKNOWN);
		return;
	}
	if (is_ours(claim, &row))
		set_held(claim, result->version);
	else
		resolve_conflict(claim, &row, result->version, wall_us);
	claim_row_clear(&row);
}

/* Counts a failed try. @return false when there were CLAIM_TRIES_MAX */
static bool tries_left(struct claim *claim)
{
	return ++claim->tries < CLAIM_TRIES_MAX;
}

static void on_insert(struct claim *claim, const struct table_result *result,
		      int64_t wall_us)
{
	switch (result->status) {
	case TABLE_OK:
		set_held(claim, result->version);
		break;
	case TABLE_CONFLICT:
		handle_row(claim, result, wall_us);
		break;
	case TABLE_ABSENT:
		claim->version = TABLE_IF_ABSENT;
		if (!tries_left(claim))
			refuse_unavailable(claim, REASON_CLAIM_UNAVAILABLE);
		break;
	case TABLE_UNAVAILABLE:
		if (!tries_left(claim))
			refuse_unavailable(claim, REASON_CLAIM_UNAVAILABLE);
		break;
	case TABLE_UNKNOWN:
		claim->maybe_written = true;
		claim->step = STEP_READ_BACK;
		if (injected(INJECTED_CLAIM_WRITE_ASSUMED))
			set_held(claim, 1);
		else if (!tries_left(claim))
			refuse_unavailable(claim, REASON_CLAIM_UNAVAILABLE);
		break;
	}
}

static void on_read_back(struct claim *claim, const struct table_result *result,
			 int64_t wall_us)
{
	if (result->status == TABLE_OK) {
		handle_row(claim, result, wall_us);
	} else if (!tries_left(claim)) {
		refuse_unavailable(claim, REASON_CLAIM_UNAVAILABLE);
	} else if (result->status == TABLE_ABSENT) {
		claim->version = TABLE_IF_ABSENT;
		claim->step = STEP_INSERT;
	}
}

/* Sets the version for the next write from the row read, and *state to the
 * row's state. @return whether the row still holds this claim */
static bool still_ours(struct claim *claim, const struct table_result *result,
		       enum claim_row_state *state)
{
	struct claim_row_value row;
	bool ours;

	if (!claim_row_decode(result->value, &row))
		return false;
	ours = is_ours(claim, &row);
	*state = row.state;
	claim_row_clear(&row);
	claim->version = result->version;
	return ours;
}

/* Ends the operations on the row. A held claim is closed; a refused one stays
 * refused. */
static void finish(struct claim *claim)
{
	claim->step = STEP_NONE;
	if (claim->state == CLAIM_HELD)
		claim->state = CLAIM_CLOSED;
}

/* Handles the result of writing the outcome, or of releasing the row of a
 * refused claim. */
static void on_close(struct claim *claim, const struct table_result *result)
{
	enum claim_row_state state = CLAIM_ROW_CLAIMED;

	switch (result->status) {
	case TABLE_OK:
	case TABLE_ABSENT:
		finish(claim);
		break;
	case TABLE_CONFLICT:
		/* Nothing is left to write when an earlier try, whose answer
		 * was lost, has worked, or another attempt has taken over the
		 * row. Otherwise try again with the row's version. */
		if (!still_ours(claim, result, &state) ||
		    state != CLAIM_ROW_CLAIMED || !tries_left(claim))
			finish(claim);
		break;
	case TABLE_UNAVAILABLE:
	case TABLE_UNKNOWN:
		if (!tries_left(claim))
			finish(claim);
		break;
	}
}

/* Handles the row that a refused claim may have left: releases it if it holds
 * this attempt's claim. */
static void on_find_orphan(struct claim *claim,
			   const struct table_result *result)
{
	enum claim_row_state state;

	if (result->status == TABLE_OK) {
		finish(claim);
		if (still_ours(claim, result, &state) &&
		    state == CLAIM_ROW_CLAIMED) {
			set_value(claim, CLAIM_ROW_RELEASED, NULL);
			claim->step = STEP_RELEASE_ORPHAN;
		}
	} else if (result->status == TABLE_ABSENT || !tries_left(claim)) {
		finish(claim);
	}
}

void claim_handle_result(struct claim *claim, const struct table_result *result,
			 int64_t wall_us)
{
	claim->under_way = false;
	if (claim->abandoned) {
		claim->abandoned = false;
		return;
	}
	switch (claim->step) {
	case STEP_INSERT:
		on_insert(claim, result, wall_us);
		break;
	case STEP_READ_BACK:
		on_read_back(claim, result, wall_us);
		break;
	case STEP_CLOSE:
	case STEP_RELEASE_ORPHAN:
		on_close(claim, result);
		break;
	case STEP_FIND_ORPHAN:
		on_find_orphan(claim, result);
		break;
	case STEP_NONE:
		break;
	}
}

enum claim_state claim_state(const struct claim *claim)
{
	return claim->state;
}

struct verdict claim_verdict(const struct claim *claim)
{
	return claim->verdict;
}

const struct claim_record *claim_record(const struct claim *claim)
{
	return &claim->recorded.record;
}

void claim_close(struct claim *claim, struct verdict verdict,
		 const struct claim_record *answer)
{
	enum claim_row_state state = CLAIM_ROW_UNKNOWN;

	if (claim->state != CLAIM_HELD || claim->step != STEP_NONE)
		return;
	if (verdict.kind == VERDICT_RAN)
		state = CLAIM_ROW_DONE;
	else if (verdict.kind == VERDICT_NOT_RUN)
		state = CLAIM_ROW_RELEASED;
	set_value(claim, state, state == CLAIM_ROW_DONE ? answer : NULL);
	claim->step = STEP_CLOSE;
	claim->tries = 0;
}

void claim_abandon(struct claim *claim, enum verdict_reason reason)
{
	if (claim->state != CLAIM_PENDING)
		return;
	if (claim->under_way && claim->step == STEP_INSERT)
		claim->maybe_written = true;
	claim->abandoned = claim->under_way;
	refuse_unavailable(claim, reason);
}
