/**
 * Claims make a request with an idempotency key run at most once. Before the
 * request is sent, a row claim/SERVICE/HASH is inserted in the platform's
 * table; the row later records the outcome.
 *
 * Rules:
 * - The request is sent only after the table confirmed that the row holds this
 *   attempt's id. When the answer to the insert is lost, the row is read back.
 * - A router that finds another attempt's row sends nothing. It gives back a
 *   recorded outcome. Without one it answers "in progress" while the claim is
 *   within its running time, else "outcome unknown".
 * - A key used again with a different request (digest) is refused.
 * - A row is kept for CLAIM_KEEP_US after the claim, by the wall clock of the
 *   router that made it. As clocks may differ by CLAIM_CLOCK_ERROR_US, a row
 *   counts as expired, and its claim as no longer running, only that much
 *   later.
 * - After a certain "not run" the row is marked released, so that the caller
 *   may try again at once. It isn't deleted: the versions of a new row would
 *   begin anew, and a late duplicate of the delete, whose version then matches
 *   again, would remove the next claim.
 * - When the table can't be reached before sending, the request is refused as
 *   "not run". A row that a lost write left behind is released when the table
 *   can be reached again.
 *
 * A claim does no I/O: claim_next_op() gives the table operation to do,
 * claim_handle_result() takes the table's answer. A struct claim_batch gathers
 * operations of many claims (claim_batch.c). Parameters named wall_us are
 * microseconds of this router's wall clock. Not thread-safe.
 */
#ifndef REQUEST_CLAIM_H
#define REQUEST_CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "base/verdict.h"
#include "platform/table.h"

/** How long a repeat of an idempotency key is recognised: one day. */
#define CLAIM_KEEP_US (INT64_C(86400) * 1000000)
/** Most that two VMs' wall clocks may differ. */
#define CLAIM_CLOCK_ERROR_US INT64_C(5000000)
/** Largest body that is recorded, in bytes. Of an answer with a larger body
 * only status and type are recorded. */
#define CLAIM_BODY_MAX 4096
/** Most operations in one POST /batch. */
#define CLAIM_BATCH_MAX 64
/** How long a batch's first operation waits for more. */
#define CLAIM_BATCH_US INT64_C(2000)
/** Most deletes of expired rows per second, by all routers together. */
#define CLAIM_CLEANUP_PER_SECOND 20
/** Most tries of an operation when calls fail or their answers are lost. */
#define CLAIM_TRIES_MAX 4

/** What is known of a claim, and what its request's router does next. */
enum claim_state {
	/** A table operation is due or under way. */
	CLAIM_PENDING,
	/** The table holds this claim: send the request. */
	CLAIM_HELD,
	/** Another attempt's outcome is recorded: give it back. */
	CLAIM_RECORDED,
	/** Refuse with claim_verdict(). */
	CLAIM_REFUSED,
	/** The outcome is in the table, or writing it failed too often: answer
	 * the caller. */
	CLAIM_CLOSED,
};

/** An upstream's answer, as recorded in the row of a claim. */
struct claim_record {
	/** HTTP status. */
	uint32_t status;
	/** Value of the answer's Content-Type field; empty without one. */
	struct str type;
	/** Body of the answer; empty when it was not recorded, being too large
	 * or not UTF-8. */
	struct str body;
	/** The body, which may be empty, is complete and to be recorded; in a
	 * recorded answer: it was recorded. */
	bool whole;
};

/** What a claim is made for. */
struct claim_options {
	/** Name of the service; must live only during claim_create(). */
	struct str service;
	/** Idempotency-Key as sent; must live only during claim_create(). */
	struct str key;
	/** Hash of the request's method, path and body. */
	uint64_t digest;
	/** Id of this attempt, unique in the fleet and over restarts; copied.
	 */
	struct str attempt;
	/** Id of this router; copied. */
	struct str claimant;
	/** Longest time that the request may run. After that time, a repeat of
	 * a claim without an outcome is refused as "outcome unknown" instead of
	 * "in progress". */
	int64_t running_us;
	/** Time of the claim by this router's wall clock. */
	int64_t wall_us;
};

/** One request's claim of its idempotency key. */
struct claim;

/** Creates a claim whose first operation is due. @return the claim; free with
 * claim_destroy() */
struct claim *claim_create(const struct claim_options *options);

/** Frees a claim; NULL is allowed. */
void claim_destroy(struct claim *claim);

/**
 * Gets the table operation to do now. A refused claim may have operations due
 * as well, to release a row that a lost write left behind: keep the claim until
 * none is due.
 *
 * @param op set to the operation, which borrows from the claim until
 *        claim_handle_result()
 * @return false when none is due or one is under way
 */
bool claim_next_op(struct claim *claim, struct table_op *op);

/** Tells whether claim_next_op() would return an operation now. */
bool claim_has_op(const struct claim *claim);

/** Takes the table's answer to the last operation of claim_next_op(). */
void claim_handle_result(struct claim *claim, const struct table_result *result,
			 int64_t wall_us);

/** Returns the state of a claim. */
enum claim_state claim_state(const struct claim *claim);

/** Returns the verdict to give the caller, for CLAIM_REFUSED. */
struct verdict claim_verdict(const struct claim *claim);

/** Returns the recorded answer, for CLAIM_RECORDED; borrowed from the claim. */
const struct claim_record *claim_record(const struct claim *claim);

/**
 * Records the outcome of a held claim's request. Then carry out the operations
 * of claim_next_op() until CLAIM_CLOSED. The caller may be answered before
 * that; but if this router crashes in between, a repeat is told "outcome
 * unknown".
 *
 * @param verdict outcome: RAN records the answer, NOT_RUN releases the row,
 *        MAY_HAVE_RUN records that the outcome is unknown
 * @param answer for RAN, copied; else NULL
 */
void claim_close(struct claim *claim, struct verdict verdict,
		 const struct claim_record *answer);

/**
 * Gives up a pending claim, as its request's deadline passed or the caller
 * disconnected. The claim becomes refused; claim_next_op() may have operations
 * to release a row that was written.
 */
void claim_abandon(struct claim *claim, enum verdict_reason reason);

/** Gathers table operations of several claims for one POST /batch. */
struct claim_batch;

/** Creates an empty batch. @return the batch; free with claim_batch_destroy()
 */
struct claim_batch *claim_batch_create(void);

/** Frees a batch, not its claims; NULL is allowed. */
void claim_batch_destroy(struct claim_batch *batch);

/**
 * Adds a claim that has an operation due; the claim is borrowed.
 *
 * @return false when the batch is full or under way
 */
bool claim_batch_add(struct claim_batch *batch, struct claim *claim,
		     int64_t now_us);

/**
 * Returns the instant at which the batch must be sent. For a full batch that is
 * when its first claim was added; for an empty one, or one under way, it is
 * INT64_MAX.
 */
int64_t claim_batch_due_us(const struct claim_batch *batch);

/**
 * Gets the operations for table_batch(), in the order of the claims. The batch
 * is under way until claim_batch_result().
 *
 * @param count set to the number of operations
 * @return operations that borrow from the claims and live until
 *         claim_batch_result()
 */
const struct table_op *claim_batch_ops(struct claim_batch *batch,
				       size_t *count);

/**
 * Hands each claim its result and empties the batch. A batch under way takes
 * no more claims: use another one meanwhile.
 *
 * @param results as many as there were operations
 */
void claim_batch_result(struct claim_batch *batch,
			const struct table_result *results, size_t count,
			int64_t wall_us);

/** A table row as listed by GET /table?prefix=claim/. */
struct claim_row {
	struct str key;
	uint64_t version;
	struct str value;
};

/**
 * Makes delete operations for expired rows. Each router deletes the part of the
 * rows whose hashed key falls to it.
 *
 * @param router index of this router, below routers
 * @param routers number of routers
 * @param max deletes allowed now
 * @param ops set to at most max deletes, which borrow keys from rows
 * @return the number of deletes
 */
size_t claim_cleanup(const struct claim_row *rows, size_t count,
		     uint32_t router, uint32_t routers, int64_t wall_us,
		     struct table_op *ops, size_t max);

#endif
