/*
 * What callers are told at the limits of a daemon: a refused request has not
 * run and never will, and a single request inside the limits is served in calm.
 */
#include <stdio.h>
#include <string.h>

#include "cluster_sender.h"
#include "limited_suite.h"

/* Callers of the crowd, each with a body of BODY_BYTES: together 4 times the
 * memory. */
#define CALLERS 64
#define BODY_BYTES ((uint64_t)4 << 20)
#define BODY_TEXT "4194304"
/* Time after which a request that was refused would have run. */
#define LATER_US ((gulong)3 * G_USEC_PER_SEC)
#define STILL_MS 1000
#define ID_FORMAT "promise%03u"

/* Returns whether a status promises that the request has not run. */
static bool promises_not_run(unsigned int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Fills in the message of a caller of the crowd: every second one stops short
 * of its end. */
static struct crowd_message message_of(unsigned int caller, const char *block)
{
	struct crowd_message message = {
		.heads = 1,
		.block = block,
		.block_len = SENDER_PIECE_BYTES,
		.block_bytes = caller % 2 ? BODY_BYTES : BODY_BYTES - 100,
	};

	message.head = g_strdup_printf(
		LIMITED_POST_HEAD "X-Request-Id: " ID_FORMAT
				  "\r\nContent-Length: " BODY_TEXT "\r\n\r\n",
		caller);
	return message;
}

/* Guards against a refusal of a request that runs all the same, or has run. */
static void refused_requests_never_run(void)
{
	struct crowd_message messages[CALLERS];
	char *block = g_strnfill(SENDER_PIECE_BYTES, 'p');
	unsigned int refused = 0, served = 0, i;
	struct crowd *crowd;

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	for (i = 0; i < CALLERS; i++)
		messages[i] = message_of(i, block);
	crowd = crowd_create_mixed(limited_rig.entries[0].callers, CALLERS,
				   messages, CALLERS);
	crowd_run(crowd, STILL_MS);
	g_usleep(LATER_US);
	for (i = 0; i < CALLERS; i++) {
		unsigned int status = crowd_status(crowd, i);
		char id[32];
		int runs;

		g_snprintf(id, sizeof(id), ID_FORMAT, i);
		runs = entry_rig_runs(&limited_rig, id);
		CU_ASSERT_TRUE(runs == 0 || runs == 1);
		if (promises_not_run(status))
			CU_ASSERT_EQUAL(runs, 0);
		if (status == 200)
			CU_ASSERT_EQUAL(runs, 1);
		refused += promises_not_run(status);
		served += status == 200;
	}
	printf("# %u refused, %u served\n", refused, served);
	CU_ASSERT_TRUE(refused > 0);
	crowd_destroy(crowd);
	limited_stop();
	for (i = 0; i < CALLERS; i++)
		g_free((char *)messages[i].head);
	g_free(block);
}

/* A request inside the limits, and its status. */
struct calm_case {
	const char *name;
	struct sender sender;
	unsigned int status;
};

static const struct calm_case calm_cases[] = {
	{ "the largest body in one piece",
	  { .head = SENDER_LENGTH_HEAD(SENDER_LARGEST),
	    .filling = 1 << 20,
	    .repeats = 32 },
	  200 },
	{ "the largest body in pieces", SENDER_IN_PIECES(0), 200 },
	{ "the largest body in large chunks", SENDER_LARGE_CHUNKS("0\r\n\r\n"),
	  200 },
	{ "a body in small chunks", SENDER_SMALL_CHUNKS("0\r\n\r\n"), 200 },
	{ "the largest body after Expect",
	  { .head = LIMITED_POST_HEAD "Expect: 100-continue\r\n"
				      "Content-Length: " SENDER_LARGEST
				      "\r\n\r\n",
	    .filling = 1 << 20,
	    .repeats = 32 },
	  100 },
	{ "a request byte by byte",
	  { .prefix = SENDER_LENGTH_HEAD("500"),
	    .filling = 500,
	    .repeats = 1,
	    .piece_len = 1 },
	  200 },
	{ "a large head",
	  { .prefix = "GET /plain/a HTTP/1.1\r\nHost: app.example\r\n"
		      "X-Deadline-Ms: 9000\r\n",
	    .fields = SENDER_FIELDS,
	    .suffix = "\r\n",
	    .repeats = 1 },
	  200 },
};

/* Guards against limits that a single caller meets. */
static void single_requests_are_served_in_calm(void)
{
	size_t i;

	CU_ASSERT_TRUE_FATAL(limited_start(1));
	for (i = 0; i < G_N_ELEMENTS(calm_cases); i++) {
		const struct calm_case *c = &calm_cases[i];
		struct crowd_message message = sender_message(&c->sender);
		struct crowd *crowd = crowd_create(
			limited_rig.entries[0].callers, 1, &message, NULL);

		crowd_run(crowd, STILL_MS);
		printf("# %s: %u\n", c->name, crowd_status(crowd, 0));
		CU_ASSERT_EQUAL(crowd_status(crowd, 0), c->status);
		CU_ASSERT_TRUE(limited_is_resident_bounded(c->name, 0));
		crowd_destroy(crowd);
		sender_free_message(&message);
	}
	limited_stop();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "refused requests never run", refused_requests_never_run },
		{ "single requests are served in calm",
		  single_requests_are_served_in_calm },
		{ 0 },
	};

	return suite_run("entry_promises", cases);
}
