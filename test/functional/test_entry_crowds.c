/*
 * Crowds of callers that send what no client inside the published limits sends,
 * or more of it than the daemon can hold, and stay connected. Guards against a
 * process that ends, exceeds its memory or its descriptors, or serves nobody.
 */
#include <string.h>

#include "cluster_sender.h"
#include "limited_suite.h"

/* An earlier crowd leaves when nothing moved for so long. */
#define EARLIER_STILL_MS 200

struct crowd_case {
	const char *name;
	unsigned int callers;
	/* Kinds of callers, in turn; the first without any text ends them. */
	struct sender senders[SENDERS_MAX];
	/* The largest body is served beside the crowd. */
	bool largest_beside;
	/* Number of crowds before it that have left. */
	unsigned int earlier;
};

static const struct crowd_case crowds[] = {
	{ .name = "large bodies in pieces",
	  .callers = 16,
	  .senders = { SENDER_IN_PIECES(0) } },
	{ .name = "large bodies in pieces that stop short of their end",
	  .callers = 16,
	  .senders = { SENDER_IN_PIECES(100) },
	  .largest_beside = true },
	{ .name = "bodies in large chunks sent whole",
	  .callers = 16,
	  .senders = { SENDER_LARGE_CHUNKS("0\r\n\r\n") } },
	{ .name = "bodies in large chunks that stop short of their end",
	  .callers = 16,
	  .senders = { SENDER_LARGE_CHUNKS("0\r\n") },
	  .largest_beside = true },
	{ .name = "bodies in small chunks sent whole",
	  .callers = 16,
	  .senders = { SENDER_SMALL_CHUNKS("0\r\n\r\n") } },
	{ .name = "bodies in small chunks that stop short of their end",
	  .callers = 16,
	  .senders = { SENDER_SMALL_CHUNKS("0\r\n") },
	  .largest_beside = true },
	{ .name = "bodies in chunks of one byte without an end",
	  .callers = 150,
	  .senders = { SENDER_ONE_BYTE_CHUNKS },
	  .largest_beside = true },
	{ .name = "chunk extensions without an end",
	  .callers = 100,
	  .senders = { SENDER_ENDLESS_EXTENSION } },
	{ .name = "trailers without an end",
	  .callers = 100,
	  .senders = { SENDER_ENDLESS_TRAILER } },
	{ .name = "heads without an end",
	  .callers = 100,
	  .senders = { SENDER_ENDLESS_HEAD } },
	{ .name = "announced bodies that are never sent",
	  .callers = 400,
	  .senders = { SENDER_EXPECT_ONLY },
	  .largest_beside = true },
	{ .name = "many small bodies that stop short of their end",
	  .callers = 400,
	  .senders = { SENDER_SMALL_CUT_SHORT },
	  .largest_beside = true },
	{ .name = "pipelined bodies whose answers are not read",
	  .callers = 150,
	  .senders = { SENDER_PIPELINED } },
	{ .name = "pipelined requests without an end",
	  .callers = 180,
	  .senders = { SENDER_WAITING_REQUESTS } },
	{ .name = "pipelined requests with large heads",
	  .callers = 180,
	  .senders = { SENDER_WAITING_LARGE_HEADS } },
	{ .name = "callers of all kinds at once",
	  .callers = 180,
	  .senders = { SENDER_IN_PIECES(100), SENDER_LARGE_CHUNKS("0\r\n"),
		       SENDER_ONE_BYTE_CHUNKS, SENDER_ENDLESS_EXTENSION,
		       SENDER_ENDLESS_HEAD, SENDER_EXPECT_ONLY,
		       SENDER_SMALL_CUT_SHORT, SENDER_PIPELINED } },
	{ .name = "crowds of all kinds one after the other",
	  .callers = 150,
	  .senders = { SENDER_IN_PIECES(100), SENDER_LARGE_CHUNKS("0\r\n"),
		       SENDER_ONE_BYTE_CHUNKS, SENDER_ENDLESS_HEAD,
		       SENDER_SMALL_CUT_SHORT, SENDER_PIPELINED,
		       SENDER_WAITING_REQUESTS },
	  .earlier = 6 },
};

/* The cases to run, and the number of those that have begun; suite_run() passes
 * no context. */
static const struct crowd_case *selected[G_N_ELEMENTS(crowds)];
static size_t begun;

static void run_case(void)
{
	const struct crowd_case *c = selected[begun++];
	struct crowd_message messages[SENDERS_MAX];
	struct limited_result result = { 0 };
	unsigned int count = 0, i;

	for (i = 0; i < SENDERS_MAX; i++)
		if (c->senders[i].head || c->senders[i].prefix)
			messages[count++] = sender_message(&c->senders[i]);
	CU_ASSERT_TRUE_FATAL(limited_start(1));
	for (i = 0; i < c->earlier; i++) {
		struct crowd *crowd =
			crowd_create_mixed(limited_rig.entries[0].callers,
					   c->callers, messages, count);

		crowd_run(crowd, EARLIER_STILL_MS);
		crowd_destroy(crowd);
	}
	limited_run_crowd(c->name,
			  crowd_create_mixed(limited_rig.entries[0].callers,
					     c->callers, messages, count),
			  c->largest_beside, &result);
	limited_check_result(&result);
	limited_stop();
	for (i = 0; i < count; i++)
		sender_free_message(&messages[i]);
}

/* Whether the command line names a case, or none. */
static bool is_selected(const char *name, int argc, char **argv)
{
	int i;

	for (i = 1; i < argc; i++)
		if (!strcmp(argv[i], name))
			return true;
	return argc == 1;
}

/* Runs the cases named on the command line; without names, all. */
int main(int argc, char **argv)
{
	struct suite_case cases[G_N_ELEMENTS(crowds) + 1] = { 0 };
	size_t i, count = 0;

	for (i = 0; i < G_N_ELEMENTS(crowds); i++) {
		if (!is_selected(crowds[i].name, argc, argv))
			continue;
		selected[count] = &crowds[i];
		cases[count].name = crowds[i].name;
		cases[count++].run = run_case;
	}
	return suite_run("entry_crowds", cases);
}
