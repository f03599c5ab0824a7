#include "ownership/order_codec.h"
#include "suite.h"

static const struct hash_range ranges[] = {
	{ 0, 9 },
	{ 20, UINT64_MAX },
};

static void orders_round_trip(void)
{
	static const struct order orders[] = {
		{ .kind = ORDER_PREPARE,
		  .cell = { "c", 1 },
		  .ballot = { 3, 7 },
		  .epoch = 4 },
		{ .kind = ORDER_GRANT,
		  .cell = { "c", 1 },
		  .ballot = { 3, 7 },
		  .epoch = 4,
		  .boot = { "b", 1 },
		  .anchor_us = 12,
		  .duration_us = 800,
		  .has_ranges = true,
		  .ranges = ranges,
		  .range_count = 2 },
		{ .kind = ORDER_GRANT,
		  .cell = { "c", 1 },
		  .boot = { "b", 1 },
		  .has_ranges = false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(orders); i++) {
		const struct order *in = &orders[i];
		char *text = order_encode(in);
		struct order_message *m = order_decode(str_from(text), NULL);

		CU_ASSERT_PTR_NOT_NULL_FATAL(m);
		if (!m)
			return;
		CU_ASSERT_EQUAL(m->order.kind, in->kind);
		CU_ASSERT_TRUE(str_equal(m->order.cell, in->cell));
		CU_ASSERT_FALSE(ballot_compare(m->order.ballot, in->ballot));
		CU_ASSERT_EQUAL(m->order.epoch, in->epoch);
		CU_ASSERT_EQUAL(m->order.anchor_us, in->anchor_us);
		CU_ASSERT_EQUAL(m->order.has_ranges, in->has_ranges);
		CU_ASSERT_EQUAL_FATAL(m->order.range_count, in->range_count);
		if (in->range_count)
			CU_ASSERT_EQUAL(m->order.ranges[1].last, UINT64_MAX);
		order_message_destroy(m);
		g_free(text);
	}
}

static void replies_round_trip(void)
{
	struct order_reply in = { .accepted = true,
				  .promised = { 3, 7 },
				  .epoch = 9,
				  .boot = STR("b"),
				  .clock_us = 55,
				  .up_us = 44,
				  .has_grant = true,
				  .grant_epoch = 8,
				  .grant_left_us = 33,
				  .grant_digest = UINT64_MAX,
				  .load = { .slots = 3,
					    .state = UPSTREAM_DRAINING } };
	struct order_reply out;
	char *text = order_reply_encode(&in);
	char *boot = NULL;

	CU_ASSERT_TRUE_FATAL(
		order_reply_decode(str_from(text), &out, &boot, NULL));
	CU_ASSERT_TRUE(out.accepted);
	CU_ASSERT_TRUE(str_equal(out.boot, in.boot));
	CU_ASSERT_EQUAL(out.epoch, 9);
	CU_ASSERT_EQUAL(out.grant_digest, UINT64_MAX);
	CU_ASSERT_EQUAL(out.grant_left_us, 33);
	CU_ASSERT_EQUAL(out.load.slots, 3);
	CU_ASSERT_EQUAL(out.load.state, UPSTREAM_DRAINING);
	g_free(boot);
	g_free(text);
}

static void malformed_texts_are_refused(void)
{
	static const char *const texts[] = {
		"",
		"[]",
		"{\"kind\":\"prepare\"}",
		"{\"kind\":\"seize\",\"cell\":\"c\",\"ballot\":[1,2],"
		"\"epoch\":1}",
		"{\"kind\":\"grant\",\"cell\":\"c\",\"ballot\":[1,2],"
		"\"epoch\":1,\"boot\":\"b\",\"anchor_us\":1,"
		"\"duration_us\":1,\"slices\":[[\"0\",\"1\"]]}",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(texts); i++) {
		GError *error = NULL;
		struct order_reply reply;
		char *boot;

		CU_ASSERT_PTR_NULL(order_decode(str_from(texts[i]), &error));
		CU_ASSERT_PTR_NOT_NULL(error);
		g_clear_error(&error);
		CU_ASSERT_FALSE(order_reply_decode(str_from(texts[i]), &reply,
						   &boot, NULL));
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "orders round trip", orders_round_trip },
		{ "replies round trip", replies_round_trip },
		{ "malformed texts are refused", malformed_texts_are_refused },
		{ 0 },
	};

	return suite_run("order codec", cases);
}
