/*
 * Tests of what a VM tells of the age of its tables, on a clock of the test.
 */
#include <string.h>

#include "entry/watch_status.h"
#include "manual_clock.h"
#include "suite.h"

struct rig {
	struct manual_clock clock;
	struct loop loop;
	struct config_contact operator_contact;
	struct watch_status *status;
};

static void setup(struct rig *rig)
{
	struct watch_status_options options = {
		.loop = &rig->loop,
		.operator_contact = &rig->operator_contact,
	};

	memset(rig, 0, sizeof(*rig));
	manual_clock_init(&rig->clock);
	rig->loop.clock = &rig->clock.clock;
	manual_clock_advance(&rig->clock, 100);
	rig->status = watch_status_create(&options);
}

static void teardown(struct rig *rig)
{
	watch_status_destroy(rig->status);
}

/* Lets time pass with a tick every 50 ms. */
static void pass(struct rig *rig, double span_s, const struct watch_news *news)
{
	double end = loop_now(&rig->loop) + span_s;

	while (loop_now(&rig->loop) < end - 0.001) {
		manual_clock_advance(&rig->clock, 0.05);
		watch_status_update(rig->status, news);
	}
}

/* Guards against an age that counts a call that was under way while the process
 * stood still, or the message of a VM that knows more than this one. */
static void a_table_is_as_old_as_its_last_confirmation(void)
{
	static const struct {
		/* The store answers, or the VM stands still, at 0 s. */
		bool answered;
		double frozen_s;
		/* Seconds after that at which a message names row 7, and the
		 * row that this VM knows. */
		double heard_after_s;
		uint64_t known_row;
		/* The age at 1 s after that; -1: never confirmed. */
		double age_s;
	} rows[] = {
		{ false, 0, 0, 7, -1 },	  { true, 0, 0, 7, 1 },
		{ true, 0, 0.4, 7, 0.6 }, { true, 0, 0.4, 8, 0.6 },
		{ true, 0, 0.4, 6, 1 },	  { false, 0, 0.4, 7, 0.6 },
		{ false, 0, 0.4, 6, -1 }, { true, 5, 0, 7, 6 },
		{ true, 5, 0.4, 7, 0.6 },
	};
	size_t i;
	int table;

	for (i = 0; i < 2 * G_N_ELEMENTS(rows); i++) {
		size_t row = i / 2;
		struct watch_news news = { .source = "leader" };
		double start_s, age_s;
		struct rig rig;

		table = i % 2 ? COPIED_OPERATOR_ROWS : COPIED_UPSTREAM_ROWS;
		setup(&rig);
		news.newest_rows[table] = 7;
		news.known_rows[table] = rows[row].known_row;
		pass(&rig, 1, &news);
		if (rows[row].answered)
			watch_status_answered(rig.status, table,
					      loop_now(&rig.loop) - 0.02);
		manual_clock_advance(&rig.clock, rows[row].frozen_s);
		watch_status_update(rig.status, &news);
		start_s = loop_now(&rig.loop);
		pass(&rig, rows[row].heard_after_s, &news);
		if (rows[row].heard_after_s)
			news.heard_s = loop_now(&rig.loop);
		pass(&rig, start_s + 1 - loop_now(&rig.loop), &news);
		age_s = watch_status_age_s(rig.status, table);
		CU_ASSERT_DOUBLE_EQUAL(age_s, rows[row].age_s, 0.06);
		teardown(&rig);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a table is as old as its last confirmation",
		  a_table_is_as_old_as_its_last_confirmation },
		{ 0 },
	};

	return suite_run("watch-status", cases);
}
