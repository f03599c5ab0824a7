/**
 * Claims: work with an idempotency key runs at most once. Before the request
 * is sent, a row claim/SERVICE/HASH is inserted in the platform's table; the
 * row later records the outcome.
 *
 * Rules:
 * - The request is sent only after the table was seen to hold this attempt's id
 *   in the row. A lost answer is resolved by reading the row back.
 * - Who finds another's row sends nothing: a recorded outcome is given back; a
 *   claim within its running time is "in progress"; else "outcome unknown".
 * - A key used again with a different request (digest) is refused.
 * - A row is kept CLAIM_KEEP_US from its claim by the claimant's wall clock.
 *   Clocks may differ by CLAIM_CLOCK_ERROR_US: a row is taken for expired only
 *   that much later, and a claim for abandoned likewise.
 * - After a certain "not run" the row is marked released, so that the caller
 *   may try again at once. It isn't deleted: versions begin anew after that,
 * and a late duplicate of the delete would remove the next claim.
 * - Table not reached before sending: refused, "not run". A row that a lost
 *   write left behind is released when the table can be reached again.
 *
 * Pure: claim_op() gives the table operation to do, claim_result() takes what
 * the table said. A struct claim_batch gathers operations of many claims.
 */
#ifndef REQUEST_CLAIM_H
#define REQUEST_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"
#include "platform/table.h"

/** How long an idempotency key is honoured. */
#define CLAIM_KEEP_US (INT64_C(86400) * 1000000)
/** How far two VMs' wall clocks may differ. */
#define CLAIM_CLOCK_ERROR_US INT64_C(5000000)
/** Bodies up to this size are recorded; of others only the status. */
#define CLAIM_BODY_MAX 4096
/** Operations in one POST /batch, and how long the first waits for more. */
#define CLAIM_BATCH_MAX 64
#define CLAIM_BATCH_US INT64_C(2000)
/** Deletes of expired rows a second, over all routers. */
#define CLAIM_CLEANUP_PER_SECOND 20
/** How often an operation with a lost answer is tried again. */
#define CLAIM_TRIES_MAX 4

enum claim_state {
	/** An operation is wanted or under way. */
	CLAIM_PENDING,
	/** Held: send the request. */
	CLAIM_HELD,
	/** Another attempt's outcome is recorded: give it back. */
	CLAIM_RECORDED,
	/** Refuse with claim_verdict(). */
	CLAIM_REFUSED,
	/** The outcome is in the table, or was given up: answer the caller. */
	CLAIM_CLOSED,
};

/** A recorded answer. */
struct claim_record {
	uint32_t status;
	/** Content-Type. */
	struct str type;
	/** Empty when it was not recorded: too large, or not text in UTF-8. */
	struct str body;
	/** The body was recorded. */
	bool whole;
};

struct claim_options {
	struct str service;
	/** Idempotency-Key as sent. */
	struct str key;
	/** Hash of method, path and body. */
	uint64_t digest;
	/** Unique in the fleet and over restarts. */
	struct str attempt;
	/** Id of this router. */
	struct str claimant;
	/** Longest time the request may run; after it a claim without an
	 * outcome is "outcome unknown" instead of "in progress". */
	int64_t running_us;
	/** Wall clock. */
	int64_t wall_us;
};

struct claim;

/** @return a claim that wants its first operation; claim_destroy() frees it */
struct claim *claim_create(const struct claim_options *options);

/** Frees a claim; NULL is allowed. */
void claim_destroy(struct claim *claim);

/**
 * The operation to do now. A refused claim may want some, too, to remove a row
 * that a lost write left: keep it until none is wanted.
 *
 * @param op set; borrows from the claim until its result
 * @return false when none is wanted
 */
bool claim_op(struct claim *claim, struct table_op *op);

/** Tells whether claim_op() would give an operation now. */
bool claim_wants(const struct claim *claim);

/** Takes the table's answer to the operation last given. */
void claim_result(struct claim *claim, const struct table_result *result,
		  int64_t wall_us);

/** Where the claim stands. */
enum claim_state claim_state(const struct claim *claim);

/** For CLAIM_REFUSED: what to tell the caller. */
struct verdict claim_verdict(const struct claim *claim);

/** For CLAIM_RECORDED: the answer; borrowed from the claim. */
const struct claim_record *claim_record(const struct claim *claim);

/**
 * Closes a held claim. Then do claim_op() until CLAIM_CLOSED; the caller of
 * the request may be answered before, at the price that a repeat after the
 * death of this router is told "outcome unknown".
 *
 * @param verdict what became of the request: RAN records the answer, NOT_RUN
 *        releases the row, MAY_HAVE_RUN records that the outcome is unknown
 * @param answer for RAN; else NULL; copied
 */
void claim_close(struct claim *claim, struct verdict verdict,
		 const struct claim_record *answer);

/**
 * Gives up a claim that is pending: its deadline passed or its caller left. It
 * is refused; claim_op() may want to remove what was written.
 */
void claim_abandon(struct claim *claim, enum verdict_reason reason);

struct claim_batch;

/** @return a new, empty batch; free with claim_batch_destroy() */
struct claim_batch *claim_batch_create(void);

/** Frees a batch, not its claims; NULL is allowed. */
void claim_batch_destroy(struct claim_batch *batch);

/** Adds a claim that wants an operation. @return false when it is full */
bool claim_batch_add(struct claim_batch *batch, struct claim *claim,
		     int64_t now_us);

/** When the batch must be sent: at once when full. INT64_MAX when empty. */
int64_t claim_batch_due_us(const struct claim_batch *batch);

/**
 * The operations for table_batch(), in the order of the claims.
 *
 * @param count set to their number
 * @return operations that borrow from the claims and live until
 *         claim_batch_result()
 */
const struct table_op *claim_batch_ops(struct claim_batch *batch,
				       size_t *count);

/**
 * Hands each claim its result and empties the batch. A batch that is under way
 * takes no more claims: use another one meanwhile.
 *
 * @param results as many as there were operations
 */
void claim_batch_result(struct claim_batch *batch,
			const struct table_result *results, size_t count,
			int64_t wall_us);

/** A row found by GET /table?prefix=claim/. */
struct claim_row {
	struct str key;
	uint64_t version;
	struct str value;
};

/**
 * Chooses expired rows to delete, each router its own part of the rows.
 *
 * @param router index of this router among routers
 * @param max deletes allowed now
 * @param ops set to at most max deletes, which borrow keys from rows
 * @return the number of deletes
 */
size_t claim_cleanup(const struct claim_row *rows, size_t count,
		     uint32_t router, uint32_t routers, int64_t wall_us,
		     struct table_op *ops, size_t max);

#endif
