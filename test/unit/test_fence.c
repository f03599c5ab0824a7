/* Tests of the upstream's side of the ownership protocol, as the fake upstream
 * in fence.h implements it. */
#include "fence.h"
#include "suite.h"

#include <glib.h>

/** Time at which the upstream starts. */
#define START_US 1000
/** Duration of each grant. */
#define LENGTH_US 800

/** The range that each grant with ranges covers. */
static const struct hash_range low = { 0, 99 };

/* An order, the time at which it arrives, and what is expected afterwards. */
struct step {
	/** Description, printed when the step fails. */
	const char *what;
	enum order_kind kind;
	/** The ballot's number, and the epoch of the order. */
	uint64_t ballot, epoch;
	/** The incarnation that a grant is for; the upstream's is "a". */
	const char *boot;
	int64_t anchor_us, now_us;
	bool has_ranges;
	/** Whether the order is accepted, and whether the upstream then holds
	 * the range. */
	bool accepted, holds;
};

static const struct step steps[] = {
	{ "first grant", ORDER_GRANT, 2, 1, "a", 1000, 1100, true, true, true },
	{ "lower ballot", ORDER_REVOKE, 1, 1, "a", 0, 1110, false, false,
	  true },
	{ "other incarnation", ORDER_GRANT, 2, 1, "b", 1100, 1110, true, false,
	  true },
	{ "renewal", ORDER_GRANT, 2, 1, "a", 1200, 1200, false, true, true },
	{ "grant that expired on its way", ORDER_GRANT, 2, 1, "a", 1000, 1900,
	  true, false, true },
	{ "prepare after the grant expired", ORDER_PREPARE, 2, 1, "a", 0, 2000,
	  false, true, false },
	{ "renewal without a grant", ORDER_GRANT, 2, 1, "a", 2000, 2000, false,
	  false, false },
	{ "new grant after expiry", ORDER_GRANT, 2, 1, "a", 2000, 2000, true,
	  true, true },
	{ "prepare of a higher epoch keeps the grant", ORDER_PREPARE, 3, 2, "a",
	  0, 2010, false, true, true },
	{ "lower epoch", ORDER_GRANT, 3, 1, "a", 2010, 2010, true, false,
	  true },
	{ "renewal at another epoch", ORDER_GRANT, 3, 2, "a", 2010, 2020, false,
	  false, true },
	{ "revoke", ORDER_REVOKE, 3, 2, "a", 0, 2030, false, true, false },
};

static void orders_follow_the_rules(void)
{
	struct fence *f = fence_create(STR("c"), STR("a"), true, START_US);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		const struct step *s = &steps[i];
		struct order order = {
			.kind = s->kind,
			.cell = STR("c"),
			.ballot = { s->ballot, 7 },
			.epoch = s->epoch,
			.boot = str_from(s->boot),
			.anchor_us = s->anchor_us,
			.duration_us = LENGTH_US,
			.has_ranges = s->has_ranges,
			.ranges = &low,
			.range_count = 1,
		};
		struct order_reply reply;

		fence_order(f, &order, s->now_us, &reply);
		if (reply.accepted != s->accepted ||
		    fence_holds(f, 5, s->now_us) != s->holds)
			printf("# %s\n", s->what);
		CU_ASSERT_EQUAL(reply.accepted, s->accepted);
		CU_ASSERT_EQUAL(reply.has_grant, s->holds);
		CU_ASSERT_EQUAL(fence_holds(f, 5, s->now_us), s->holds);
		CU_ASSERT_FALSE(fence_holds(f, 100, s->now_us));
		CU_ASSERT_EQUAL(reply.up_us, s->now_us - START_US);
	}
	fence_destroy(f);
}

static void unfenced_upstream_accepts_any_order(void)
{
	struct fence *f = fence_create(STR("c"), STR("a"), false, 0);
	struct order order = { .kind = ORDER_GRANT,
			       .cell = STR("c"),
			       .ballot = { 5, 1 },
			       .epoch = 9,
			       .has_ranges = true,
			       .ranges = &low,
			       .range_count = 1 };
	struct order_reply reply;

	fence_order(f, &order, 10, &reply);
	CU_ASSERT_TRUE(reply.accepted);
	CU_ASSERT_TRUE(fence_serves(f, 1, 99, INT64_MAX));
	order.ballot.number = 1;
	order.epoch = 1;
	order.range_count = 0;
	fence_order(f, &order, 20, &reply);
	CU_ASSERT_TRUE(reply.accepted);
	CU_ASSERT_FALSE(fence_holds(f, 1, 20));
	fence_destroy(f);
}

static void restart_clears_state(void)
{
	struct fence *f = fence_create(STR("c"), STR("a"), true, 0);
	struct order order = { .kind = ORDER_PREPARE,
			       .cell = STR("c"),
			       .ballot = { 5, 1 },
			       .epoch = 9 };
	struct order_reply reply;

	fence_order(f, &order, 10, &reply);
	CU_ASSERT_EQUAL(fence_epoch(f), 9);
	fence_restart(f, STR("b"), 20);
	fence_report(f, 25, &reply);
	CU_ASSERT_EQUAL(reply.epoch, 0);
	CU_ASSERT_EQUAL(reply.up_us, 5);
	CU_ASSERT_TRUE(str_equal(reply.boot, STR("b")));
	fence_destroy(f);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "orders follow the rules", orders_follow_the_rules },
		{ "unfenced upstream accepts any order",
		  unfenced_upstream_accepts_any_order },
		{ "restart clears the state", restart_clears_state },
		{ 0 },
	};

	return suite_run("fence", cases);
}
