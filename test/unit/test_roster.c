/* Tests of the roster: which entries of the directory it believes. */
#include <string.h>

#include "entry/roster.h"
#include "manual_clock.h"
#include "suite.h"

struct fixture {
	struct manual_clock clock;
	struct loop loop;
	struct entry_settings settings;
	struct roster *roster;
};

static void ignore_upstream(void *ctx, struct upstream *upstream)
{
	(void)ctx;
	(void)upstream;
}

static void ignore_change(void *ctx)
{
	(void)ctx;
}

static const struct roster_ops roster_ops = {
	.close_idle = ignore_upstream,
	.changed = ignore_change,
};

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	manual_clock_init(&f->clock);
	manual_clock_advance(&f->clock, 1000);
	f->loop.clock = &f->clock.clock;
	f->settings.vm = "vm";
	f->settings.zone = "zone";
	f->settings.retry_window_s = 10;
	f->roster = roster_create(&f->loop, &f->settings, &roster_ops, f);
}

/** An entry of upstream "u". */
struct step {
	/** Time since the entry before, in seconds. */
	double after_s;
	/** 0 ends the steps. */
	int64_t started_ms;
	int64_t seq;
	bool leaving;
};

static void put(struct fixture *f, const struct step *step)
{
	struct upstream_entry entry = {
		.id = g_strdup("u"),
		.service = g_strdup("service"),
		.zone = g_strdup("zone"),
		.slots = 4,
		.started_ms = step->started_ms,
		.seq = step->seq,
		.leaving = step->leaving,
	};

	manual_clock_advance(&f->clock, step->after_s);
	roster_put_upstream(f->roster, &entry);
}

/* Guards against an upstream on a machine whose clock was set back: after its
 * restart it would be drained, moved and given keys as its predecessor. */
static void an_incarnation_with_an_earlier_start_is_believed_if_it_lives(void)
{
	static const struct {
		struct step steps[5];
		int64_t believed;
		bool leaving;
	} rows[] = {
		/* A late write of the predecessor. */
		{ { { 0, 5, 1, false }, { 0.9, 3, 9, true } }, 5, false },
		/* The same write, read again from a copy of the table. */
		{ { { 0, 5, 1, false },
		    { 0.9, 3, 9, true },
		    { 0.9, 3, 9, true } },
		  5,
		  false },
		/* Two late writes that are applied together. */
		{ { { 0, 5, 1, false },
		    { 0.9, 3, 9, false },
		    { 0.1, 3, 10, true } },
		  5,
		  false },
		/* The successor lives. */
		{ { { 0, 5, 1, false },
		    { 0.4, 3, 9, true },
		    { 0.4, 5, 2, false },
		    { 0.9, 3, 10, true } },
		  5,
		  false },
		/* The clock was set back. */
		{ { { 0, 5, 1, false },
		    { 0.9, 3, 1, false },
		    { 0.9, 3, 2, true } },
		  3,
		  true },
		{ { { 0, 5, 1, false },
		    { 0.9, 3, 1, false },
		    { 0.4, 3, 2, false },
		    { 0.4, 3, 3, false } },
		  3,
		  false },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct step *step;
		const struct upstream *upstream;
		struct fixture f;

		setup(&f);
		for (step = rows[i].steps; step->started_ms; step++)
			put(&f, step);
		upstream = roster_upstream(f.roster, "u");
		CU_ASSERT_TRUE(upstream &&
			       upstream->entry.started_ms == rows[i].believed);
		CU_ASSERT_TRUE(upstream &&
			       upstream->entry.leaving == rows[i].leaving);
		roster_destroy(f.roster);
	}
}

/* Returns the number of retries that a service's budget allows now. */
static unsigned int count_retries(struct fixture *f)
{
	struct retry_window *retries =
		&roster_service(f->roster, "service")->retries;
	unsigned int count = 0;

	while (count < 1000 &&
	       retry_window_consume(retries, loop_now(&f->loop)))
		count++;
	return count;
}

/* Guards against VMs that together repeat more than all may: those that have
 * just started, or whose leader knows only some of them. */
static void retries_are_shared_among_all_vms(void)
{
	static const struct {
		/* Numbers of VMs that leaders name, each half a second. */
		unsigned int vms[3];
		/* Time since the start, in seconds. */
		double after_s;
		unsigned int allowed;
	} rows[] = {
		{ { 0 }, 30, 0 },	  { { 10 }, 2.5, 2 },
		{ { 10 }, 30, 8 },	  { { 100, 5 }, 9, 0 },
		{ { 5, 100 }, 30, 0 },	  { { 100, 5, 5 }, 30, 0 },
		{ { 10, 5, 20 }, 30, 4 },
	};
	static const char *names[100];
	const struct step step = { 0, 5, 1, false };
	size_t i, n;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		names[i] = "vm";
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct fixture f;
		double left_s = rows[i].after_s;

		setup(&f);
		f.settings.retry_slack = 100;
		put(&f, &step);
		for (n = 0; n < G_N_ELEMENTS(rows[i].vms); n++) {
			if (rows[i].vms[n])
				roster_set_vms(f.roster, rows[i].vms[n], names);
			manual_clock_advance(&f.clock, 0.5);
			left_s -= 0.5;
		}
		manual_clock_advance(&f.clock, left_s);
		CU_ASSERT_EQUAL(count_retries(&f), rows[i].allowed);
		roster_destroy(f.roster);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an incarnation with an earlier start is believed if it "
		  "lives",
		  an_incarnation_with_an_earlier_start_is_believed_if_it_lives },
		{ "retries are shared among all VMs",
		  retries_are_shared_among_all_vms },
		{ 0 },
	};

	return suite_run("roster", cases);
}
