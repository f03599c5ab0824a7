/*
 * Upstreams say in their answers that they leave, or ask for a pause. The
 * stand-in counts the requests that reach them nevertheless.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_entry.h"
#include "suite.h"

/* Requests are sent one after the other with this pause between them. */
#define PAUSE_US ((gulong)20 * 1000)
#define KEYS 65536

static struct entry_rig rig;

/* What callers got. */
struct outcome {
	int sent, served, refused, failed;
	/* Longest time until an answer 503, in microseconds. */
	gint64 slowest_refusal_us;
};

/* Starts a number of entry daemons. */
static void setup(unsigned int entries)
{
	entry_rig_start(&rig, entries, 6);
}

static void teardown(void)
{
	entry_rig_stop(&rig);
}

static void command(const char *verb, unsigned int upstream, const char *body)
{
	char uri[64];

	g_snprintf(uri, sizeof(uri), "/control/%s?id=%u", verb, upstream);
	entry_rig_command(&rig, uri, body);
}

/* Sends requests to all entry daemons in turn for a time. */
static struct outcome send_for(const char *uri, const char *method,
			       double span_s)
{
	struct outcome out = { 0 };
	gint64 end = g_get_monotonic_time() + (gint64)(span_s * G_USEC_PER_SEC);

	while (g_get_monotonic_time() < end) {
		gint64 start = g_get_monotonic_time();
		char id[32];
		struct http_answer *answer = entry_send(
			&rig.entries[(unsigned int)out.sent++ %
				     rig.entry_count],
			uri, method, g_random_int_range(0, KEYS), "x", id);
		gint64 took = g_get_monotonic_time() - start;

		out.served += answer->status == 200;
		out.refused += answer->status == 503;
		out.failed += answer->status != 200 && answer->status != 503;
		if (answer->status == 503)
			out.slowest_refusal_us =
				MAX(out.slowest_refusal_us, took);
		if (answer->status == 503)
			CU_ASSERT_EQUAL(entry_rig_runs(&rig, id), 0);
		http_answer_destroy(answer);
		g_usleep(PAUSE_US);
	}
	return out;
}

/* One upstream that leaves. */
struct leaving_row {
	const char *uri;
	const char *method;
	unsigned int upstream;
	/** The store is down from before the upstream says that it leaves. */
	bool store_down;
	/** Lowest share of requests that are served, in percent. */
	int served_percent;
};

static void run_leaving_row(const struct leaving_row *row)
{
	struct outcome out;

	setup(2);
	if (row->store_down)
		entry_rig_command(&rig, "/control/down?id=1", "");
	command("leaving", row->upstream, "");
	out = send_for(row->uri, row->method, 5);
	CU_ASSERT_EQUAL(entry_rig_count(&rig, "after_leaving"), 0);
	CU_ASSERT_TRUE(out.served * 100 >= out.sent * row->served_percent);
	CU_ASSERT_TRUE(out.failed * 100 <= out.sent);
	printf("# %s upstream %u: %d sent, %d served, %d refused, %d failed\n",
	       row->uri, row->upstream, out.sent, out.served, out.refused,
	       out.failed);
	teardown();
}

static void an_upstream_that_says_so_is_left_alone(void)
{
	static const struct leaving_row rows[] = {
		{ "/plain/a", "GET", 0, false, 95 },
		{ "/once/a", "POST", 1, false, 95 },
		{ "/plain/a", "GET", 1, true, 95 },
		/* Its keys move; with the store down they can't. */
		{ "/keyed/a", "GET", 2, false, 85 },
		{ "/keyed/a", "GET", 3, true, 50 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_leaving_row(&rows[i]);
}

/* A new incarnation isn't leaving: it gets requests again. */
static void a_restarted_upstream_is_used_again(void)
{
	struct outcome out;

	setup(2);
	command("leaving", 0, "");
	command("leaving", 1, "");
	send_for("/plain/a", "GET", 1);
	out = send_for("/plain/a", "GET", 1);
	CU_ASSERT_EQUAL(out.served, 0);
	command("restart", 0, "");
	send_for("/plain/a", "GET", 1.5);
	out = send_for("/plain/a", "GET", 1);
	CU_ASSERT_EQUAL(out.served, out.sent);
	teardown();
}

/* Upstreams that ask for a pause. */
struct pause_row {
	const char *uri;
	const char *method;
	/** Indexes of the first and the last of them. */
	unsigned int first, last;
	const char *retry_after;
	/** Requests that may reach them in the pause, and lowest share that is
	 * served, in percent. */
	int arrivals_max, served_percent;
};

static void run_pause_row(const struct pause_row *row)
{
	struct outcome out;
	unsigned int i;

	/* A pause concerns the VM that was asked for it. */
	setup(1);
	for (i = row->first; i <= row->last; i++)
		command("pause", i, row->retry_after);
	out = send_for(row->uri, row->method, 3);
	CU_ASSERT_TRUE(entry_rig_count(&rig, "while_paused") <=
		       row->arrivals_max);
	CU_ASSERT_TRUE(out.served * 100 >= out.sent * row->served_percent);
	CU_ASSERT_TRUE(out.failed * 100 <= out.sent);
	/* What the pause leaves no time for is refused at once. */
	CU_ASSERT_TRUE(out.slowest_refusal_us < G_USEC_PER_SEC / 2);
	printf("# %s, Retry-After %s: %d sent, %d served, %d refused\n",
	       row->uri, row->retry_after, out.sent, out.served, out.refused);
	/* It is not out for good. */
	out = send_for(row->uri, row->method, 1);
	CU_ASSERT_TRUE(out.served * 100 >= out.sent * 95);
	teardown();
}

static void an_upstream_gets_the_pause_that_it_asks_for(void)
{
	static const struct pause_row rows[] = {
		{ "/plain/a", "GET", 0, 0, "2.5", 2, 95 },
		{ "/once/a", "POST", 0, 0, "2.5", 2, 95 },
		/* Both: nothing is left to send to. */
		{ "/plain/a", "GET", 0, 1, "2.5", 4, 5 },
		/* Keys have one owner. */
		{ "/keyed/a", "GET", 2, 2, "2.5", 2, 40 },
		/* No such time. */
		{ "/plain/a", "GET", 0, 1, "-5", 0, 95 },
		{ "/plain/a", "GET", 0, 1, "soon", 0, 95 },
		{ "/plain/a", "GET", 0, 1, "Wed, 21 Oct 2065 07:28:00 GMT", 0,
		  95 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_pause_row(&rows[i]);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "an upstream that says that it leaves is left alone",
		  an_upstream_that_says_so_is_left_alone },
		{ "a restarted upstream is used again",
		  a_restarted_upstream_is_used_again },
		{ "an upstream gets the pause that it asks for",
		  an_upstream_gets_the_pause_that_it_asks_for },
		{ 0 },
	};

	return suite_run("entry_signals", cases);
}
