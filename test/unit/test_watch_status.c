/*
 * Tests of what a VM tells of the age of its tables, on a clock of the test.
 */
#include <string.h>
#include <unistd.h>

#include "entry/watch_status.h"
#include "manual_clock.h"
#include "suite.h"

struct rig {
	struct manual_clock clock;
	struct loop loop;
	struct config_contact operator_contact;
	struct event_log *log;
	/** The ends of the pipe that the log writes to. */
	int ends[2];
	struct metrics *metrics;
	struct watch_status *status;
};

static void setup(struct rig *rig)
{
	struct event_log_options log = { .lines_per_s = 1000 };
	struct watch_status_options options = {
		.loop = &rig->loop,
		.operator_contact = &rig->operator_contact,
	};

	memset(rig, 0, sizeof(*rig));
	CU_ASSERT_EQUAL_FATAL(pipe(rig->ends), 0);
	log.fd = rig->ends[1];
	rig->log = options.log = event_log_create(&log);
	rig->metrics = options.metrics = metrics_create();
	manual_clock_init(&rig->clock);
	rig->loop.clock = &rig->clock.clock;
	manual_clock_advance(&rig->clock, 100);
	rig->status = watch_status_create(&options);
}

static void teardown(struct rig *rig)
{
	watch_status_destroy(rig->status);
	event_log_destroy(rig->log);
	metrics_destroy(rig->metrics);
	close(rig->ends[0]);
	close(rig->ends[1]);
}

/* Returns how often a text is in the log, and ends the log. */
static unsigned int count_in_log(struct rig *rig, const char *text)
{
	char buf[16384] = "";
	const char *at = buf;
	unsigned int count = 0;

	event_log_write(rig->log, "info", "test", "event=end");
	event_log_destroy(rig->log);
	CU_ASSERT_TRUE(read(rig->ends[0], buf, sizeof(buf) - 1) > 0);
	rig->log = event_log_create(
		&(struct event_log_options){ .fd = rig->ends[1] });
	for (; (at = strstr(at, text)); at++)
		count++;
	return count;
}

/* Lets time pass with a tick every 50 ms. */
static void pass(struct rig *rig, double span_s, const struct watch_news *news)
{
	double end = loop_now(&rig->loop) + span_s;

	while (loop_now(&rig->loop) < end - 0.001) {
		manual_clock_advance(&rig->clock, 0.05);
		watch_status_tick(rig->status);
		watch_status_update(rig->status, news);
	}
}

/* Guards against an age that counts a call that was under way while the process
 * stood still, the message of a VM that knows more than this one, or that of a
 * VM which the store doesn't answer either. */
static void a_table_is_as_old_as_the_last_answer_about_it(void)
{
	static const struct {
		/* The store answers, or the VM stands still, at 0 s. */
		bool answered;
		double frozen_s;
		/* Seconds after that at which a message names row 7, the time
		 * since the store answered its sender (-1: not told), and the
		 * row that this VM knows. */
		double heard_after_s;
		double told_age_s;
		uint64_t known_row;
		/* The age at 1 s after that; -1: unknown. */
		double age_s;
	} rows[] = {
		{ false, 0, 0, -1, 7, -1 },   { true, 0, 0, -1, 7, 1 },
		{ true, 0, 0.4, 0, 7, 0.6 },  { true, 0, 0.4, 0, 8, 0.6 },
		{ true, 0, 0.4, 0, 6, 1 },    { true, 0, 0.4, 0.3, 7, 0.9 },
		{ true, 0, 0.4, 5, 7, 1 },    { true, 0, 0.4, -1, 7, 1 },
		{ false, 0, 0.4, 5, 7, 5.6 }, { false, 0, 0.4, 0, 6, -1 },
		{ true, 5, 0, -1, 7, 6 },     { true, 5, 0.05, 0, 7, 6 },
		{ true, 5, 0.4, 0, 7, 0.6 },
	};
	size_t i;
	int table;

	for (i = 0; i < 2 * G_N_ELEMENTS(rows); i++) {
		size_t row = i / 2;
		struct watch_news news = { .role = "follower" };
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
		if (rows[row].told_age_s >= 0)
			news.told_s[table] =
				news.heard_s - rows[row].told_age_s;
		pass(&rig, start_s + 1 - loop_now(&rig.loop), &news);
		age_s = watch_status_age_s(rig.status, table);
		CU_ASSERT_DOUBLE_EQUAL(age_s, rows[row].age_s, 0.06);
		teardown(&rig);
	}
}

/* Guards against a line for each tick, and against none. */
static void each_change_gets_one_line(void)
{
	static const struct {
		/* What is told for a second each, after a second of the first;
		 * the tick in between comes so much late. */
		struct watch_news first, then;
		double late_s;
		const char *text;
		unsigned int lines;
	} rows[] = {
		{ { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  { .role = "follower",
		    .source = WATCH_STORE,
		    .hears_leader = true },
		  0,
		  "event=relies_on source=store before=leader",
		  1 },
		{ { .role = "backup",
		    .source = WATCH_STORE,
		    .hears_leader = true },
		  { .role = "leader",
		    .source = WATCH_STORE,
		    .hears_leader = true },
		  0,
		  "role=leader role_before=backup",
		  1 },
		{ { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = false },
		  0,
		  "event=heartbeats_lost",
		  1 },
		{ { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  0.2,
		  "event=late_tick",
		  0 },
		{ { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  { .role = "follower",
		    .source = WATCH_LEADER,
		    .hears_leader = true },
		  0.31,
		  "event=late_tick late_ms=310",
		  1 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct rig rig;

		setup(&rig);
		pass(&rig, 1, &rows[i].first);
		manual_clock_advance(&rig.clock, rows[i].late_s);
		pass(&rig, 1, &rows[i].then);
		CU_ASSERT_EQUAL(count_in_log(&rig, rows[i].text),
				rows[i].lines);
		teardown(&rig);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a table is as old as the last answer about it",
		  a_table_is_as_old_as_the_last_answer_about_it },
		{ "each change gets one line", each_change_gets_one_line },
		{ 0 },
	};

	return suite_run("watch-status", cases);
}
