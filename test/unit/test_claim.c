#include <glib.h>

#include "request/claim.h"
#include "suite.h"

#define MINUTE_US INT64_C(60000000)
/* Longest time that a claimed request may run. */
#define RUNNING_US (10 * MINUTE_US)

/* A fake table that has one row; run_op() injects faults. */
struct fake_row {
	/** NULL while the row does not exist. */
	char *value;
	uint64_t version;
};

/* What happens to one table operation. */
enum fault {
	/** The operation is carried out and answered. */
	WORKS,
	/** The operation is refused; the claim knows that. */
	DOWN,
	/** The operation is carried out, but its answer is lost. */
	ANSWER_LOST,
	/** The operation is lost; the claim can't know whether it was carried
	 * out. */
	WRITE_LOST,
};

/* Carries out an operation on the row. */
static void fake_apply(struct fake_row *row, const struct table_op *op,
		       struct table_result *result)
{
	result->status = TABLE_OK;
	if (op->kind == TABLE_OP_GET) {
		if (!row->value)
			result->status = TABLE_ABSENT;
	} else if (op->if_version != row->version) {
		result->status = TABLE_CONFLICT;
	} else {
		g_free(row->value);
		row->value = str_dup(op->value);
		row->version++;
	}
	result->version = row->version;
	result->value = str_from(row->value);
}

/* Carries out the claim's next operation with a fault. @return false when none
 * is due */
static bool run_op(struct claim *claim, struct fake_row *row, enum fault fault,
		   int64_t wall_us)
{
	struct table_result result = { .status = TABLE_UNAVAILABLE };
	struct table_op op;

	if (!claim_next_op(claim, &op))
		return false;
	if (fault == WORKS || fault == ANSWER_LOST)
		fake_apply(row, &op, &result);
	if (fault == ANSWER_LOST || fault == WRITE_LOST)
		result = (struct table_result){
			.status = op.kind == TABLE_OP_GET ? TABLE_UNAVAILABLE
							  : TABLE_UNKNOWN,
		};
	claim_handle_result(claim, &result, wall_us);
	return true;
}

/* Carries out all operations of a claim without faults. */
static void run_all_ops(struct claim *claim, struct fake_row *row,
			int64_t wall_us)
{
	int i;

	for (i = 0; i < 20 && run_op(claim, row, WORKS, wall_us); i++)
		;
	CU_ASSERT(i < 20);
}

/* Creates the claim of an attempt; all claims have the same idempotency key. */
static struct claim *create_claim(const char *attempt, uint64_t digest,
				  int64_t wall_us)
{
	struct claim_options options = {
		.service = STR("lots"),
		.key = STR("lot-17"),
		.digest = digest,
		.attempt = str_from(attempt),
		.claimant = STR("router-1"),
		.running_us = RUNNING_US,
		.wall_us = wall_us,
	};

	return claim_create(&options);
}

static const struct claim_record answer = {
	.status = 201,
	.type = { "text/plain", 10 },
	.body = { "confirmed", 9 },
	.whole = true,
};

static const struct verdict ran = { VERDICT_RAN, REASON_NONE };
static const struct verdict not_run = { VERDICT_NOT_RUN, REASON_NO_UPSTREAM };
static const struct verdict may_have_run = { VERDICT_MAY_HAVE_RUN,
					     REASON_RESET_AFTER_SEND };

static void a_repeat_gets_the_outcome(void)
{
	struct fake_row row = { 0 };
	struct claim *first = create_claim("a", 1, 0);
	struct claim *repeat = create_claim("b", 1, MINUTE_US);

	run_all_ops(first, &row, 0);
	CU_ASSERT_EQUAL(claim_state(first), CLAIM_HELD);
	claim_close(first, ran, &answer);
	run_all_ops(first, &row, 0);
	CU_ASSERT_EQUAL(claim_state(first), CLAIM_CLOSED);
	run_all_ops(repeat, &row, MINUTE_US);
	CU_ASSERT_EQUAL(claim_state(repeat), CLAIM_RECORDED);
	CU_ASSERT_EQUAL(claim_record(repeat)->status, 201);
	CU_ASSERT_TRUE(claim_record(repeat)->whole);
	CU_ASSERT_TRUE(str_equal(claim_record(repeat)->body, answer.body));
	claim_destroy(first);
	claim_destroy(repeat);
	g_free(row.value);
}

/* A repeat's answer depends on the time and on the first attempt's outcome. */
static void a_repeat_is_answered_from_the_row(void)
{
	static const struct {
		/** Outcome of the first attempt; NULL when none is known. */
		const struct verdict *first;
		/** Digest of the repeat; that of the first attempt is 1. */
		uint64_t digest;
		/** Time from the first claim to the repeat. */
		int64_t later_us;
		/** Expected state and reason of the repeat. */
		enum claim_state state;
		enum verdict_reason reason;
	} cases[] = {
		{ NULL, 1, MINUTE_US, CLAIM_REFUSED, REASON_CLAIM_IN_PROGRESS },
		{ NULL, 1, RUNNING_US, CLAIM_REFUSED,
		  REASON_CLAIM_IN_PROGRESS },
		{ NULL, 1, RUNNING_US + CLAIM_CLOCK_ERROR_US + 1, CLAIM_REFUSED,
		  REASON_OUTCOME_UNKNOWN },
		{ NULL, 2, MINUTE_US, CLAIM_REFUSED, REASON_BAD_REQUEST },
		{ &may_have_run, 1, 1, CLAIM_REFUSED, REASON_OUTCOME_UNKNOWN },
		{ &not_run, 1, 1, CLAIM_HELD, REASON_NONE },
		{ &not_run, 2, 1, CLAIM_HELD, REASON_NONE },
		{ &may_have_run, 1, CLAIM_KEEP_US + CLAIM_CLOCK_ERROR_US,
		  CLAIM_REFUSED, REASON_OUTCOME_UNKNOWN },
		{ &may_have_run, 1, CLAIM_KEEP_US + CLAIM_CLOCK_ERROR_US + 1,
		  CLAIM_HELD, REASON_NONE },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_row row = { 0 };
		struct claim *first = create_claim("a", 1, 0);
		struct claim *repeat =
			create_claim("b", cases[i].digest, cases[i].later_us);

		run_all_ops(first, &row, 0);
		if (cases[i].first)
			claim_close(first, *cases[i].first, NULL);
		run_all_ops(first, &row, 0);
		run_all_ops(repeat, &row, cases[i].later_us);
		CU_ASSERT_EQUAL(claim_state(repeat), cases[i].state);
		CU_ASSERT_EQUAL(claim_verdict(repeat).reason, cases[i].reason);
		claim_destroy(first);
		claim_destroy(repeat);
		g_free(row.value);
	}
}

static void table_faults_end_held_or_refused(void)
{
	static const struct {
		/** Faults of the claim's operations, in their order. */
		enum fault faults[CLAIM_TRIES_MAX + 1];
		/** Expected state of the claim. */
		enum claim_state state;
	} cases[] = {
		{ { ANSWER_LOST, WORKS }, CLAIM_HELD },
		{ { WRITE_LOST, WORKS, WORKS }, CLAIM_HELD },
		{ { ANSWER_LOST, DOWN, WORKS }, CLAIM_HELD },
		{ { DOWN, WORKS }, CLAIM_HELD },
		{ { DOWN, DOWN, DOWN, DOWN }, CLAIM_REFUSED },
		{ { ANSWER_LOST, DOWN, DOWN, DOWN }, CLAIM_REFUSED },
	};
	size_t i;
	int j;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct fake_row row = { 0 };
		struct claim *claim = create_claim("a", 1, 0);
		struct claim *next = create_claim("b", 1, 0);

		for (j = 0; claim_state(claim) == CLAIM_PENDING; j++)
			run_op(claim, &row, cases[i].faults[j], 0);
		CU_ASSERT_EQUAL(claim_state(claim), cases[i].state);
		if (cases[i].state == CLAIM_REFUSED) {
			CU_ASSERT_EQUAL(claim_verdict(claim).kind,
					VERDICT_NOT_RUN);
			/* The row that the refused claim left is released, so
			 * the next attempt may run. */
			run_all_ops(claim, &row, 0);
			run_all_ops(next, &row, 0);
			CU_ASSERT_EQUAL(claim_state(next), CLAIM_HELD);
		}
		claim_destroy(claim);
		claim_destroy(next);
		g_free(row.value);
	}
}

static void an_outcome_survives_lost_answers(void)
{
	struct fake_row row = { 0 };
	struct claim *claim = create_claim("a", 1, 0);

	run_all_ops(claim, &row, 0);
	claim_close(claim, ran, &answer);
	run_op(claim, &row, ANSWER_LOST, 0);
	CU_ASSERT_EQUAL(claim_state(claim), CLAIM_HELD);
	run_op(claim, &row, WORKS, 0);
	CU_ASSERT_EQUAL(claim_state(claim), CLAIM_CLOSED);
	CU_ASSERT_EQUAL(row.version, 2);
	claim_destroy(claim);
	g_free(row.value);
}

static void a_claim_given_up_during_a_write_is_released(void)
{
	struct fake_row row = { 0 };
	struct claim *claim = create_claim("a", 1, 0);
	struct table_result result;
	struct table_op op;

	CU_ASSERT_TRUE(claim_next_op(claim, &op));
	claim_abandon(claim, REASON_CANCELLED);
	CU_ASSERT_EQUAL(claim_state(claim), CLAIM_REFUSED);
	fake_apply(&row, &op, &result);
	claim_handle_result(claim, &result, 0);
	run_all_ops(claim, &row, 0);
	CU_ASSERT_TRUE(row.value && strstr(row.value, "released"));
	claim_destroy(claim);
	g_free(row.value);
}

static void batches_and_cleanup(void)
{
	struct claim_batch *batch = claim_batch_create();
	struct claim *claim = create_claim("a", 1, 0);
	struct table_result result = { .status = TABLE_OK, .version = 1 };
	const struct table_op *ops;
	struct claim_row old;
	struct table_op op;
	char *value;
	size_t count;

	CU_ASSERT_EQUAL(claim_batch_due_us(batch), INT64_MAX);
	CU_ASSERT_TRUE(claim_batch_add(batch, claim, 5));
	CU_ASSERT_EQUAL(claim_batch_due_us(batch), 5 + CLAIM_BATCH_US);
	ops = claim_batch_ops(batch, &count);
	CU_ASSERT_EQUAL_FATAL(count, 1);
	value = str_dup(ops[0].value);
	old = (struct claim_row){ STR("claim/lots/1"), 7, str_from(value) };
	CU_ASSERT_FALSE(claim_batch_add(batch, claim, 5));
	claim_batch_result(batch, &result, 1, 0);
	CU_ASSERT_EQUAL(claim_state(claim), CLAIM_HELD);
	CU_ASSERT_EQUAL(claim_cleanup(&old, 1, 0, 1, CLAIM_KEEP_US, &op, 1), 0);
	CU_ASSERT_EQUAL(claim_cleanup(&old, 1, 0, 1, 2 * CLAIM_KEEP_US, &op, 1),
			1);
	CU_ASSERT_EQUAL(op.if_version, 7);
	CU_ASSERT_EQUAL(claim_cleanup(&old, 1, 0, 1, 2 * CLAIM_KEEP_US, &op, 0),
			0);
	g_free(value);
	claim_destroy(claim);
	claim_batch_destroy(batch);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a repeat gets the outcome", a_repeat_gets_the_outcome },
		{ "a repeat is answered from the row",
		  a_repeat_is_answered_from_the_row },
		{ "table faults end held or refused",
		  table_faults_end_held_or_refused },
		{ "an outcome survives lost answers",
		  an_outcome_survives_lost_answers },
		{ "a claim given up during a write is released",
		  a_claim_given_up_during_a_write_is_released },
		{ "batches and cleanup", batches_and_cleanup },
		{ 0 },
	};

	return suite_run("claim", cases);
}
