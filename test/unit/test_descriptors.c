/*
 * Tests of the account of descriptors: which use finds room at which numbers of
 * open descriptors.
 */
#include <glib.h>
#include <stddef.h>

#include "net/descriptors.h"
#include "suite.h"

/* Open descriptors, and whether a use finds room. */
struct room_case {
	const char *what;
	unsigned int limit;
	unsigned int open[DESCRIPTOR_USES];
	/* Idle connections to upstreams among those open. */
	unsigned int idle;
	enum descriptor_use use;
	bool room;
};

/* With 256 descriptors callers take 192 at most, the system keeps 40, and 24
 * are left for upstreams however many callers there are. */
static const struct room_case room_cases[] = {
	{ "the last caller", 256, { 10, 191, 24 }, 0, DESCRIPTOR_CALLER, true },
	{ "too many callers",
	  256,
	  { 10, 192, 0 },
	  0,
	  DESCRIPTOR_CALLER,
	  false },
	{ "callers' part is never idle connections' part",
	  256,
	  { 10, 192, 24 },
	  24,
	  DESCRIPTOR_CALLER,
	  false },
	{ "the last upstream beside all callers",
	  256,
	  { 10, 192, 23 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  true },
	{ "too many upstreams beside all callers",
	  256,
	  { 10, 192, 24 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  false },
	{ "half of what callers don't take",
	  256,
	  { 10, 0, 119 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  true },
	{ "more than half of it",
	  256,
	  { 10, 0, 120 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  false },
	{ "a caller beside busy connections",
	  256,
	  { 10, 100, 116 },
	  0,
	  DESCRIPTOR_CALLER,
	  false },
	{ "a caller in place of an idle connection",
	  256,
	  { 10, 100, 116 },
	  1,
	  DESCRIPTOR_CALLER,
	  true },
	{ "the system beside everything",
	  256,
	  { 10, 192, 24 },
	  0,
	  DESCRIPTOR_SYSTEM,
	  true },
	{ "a caller when the system needs more than it keeps",
	  256,
	  { 80, 168, 0 },
	  0,
	  DESCRIPTOR_CALLER,
	  false },
	{ "an upstream when the system needs more than it keeps",
	  256,
	  { 80, 160, 8 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  false },
	{ "a caller on the smallest process",
	  64,
	  { 10, 27, 0 },
	  0,
	  DESCRIPTOR_CALLER,
	  true },
	{ "an upstream on the smallest process",
	  64,
	  { 10, 28, 3 },
	  0,
	  DESCRIPTOR_UPSTREAM,
	  true },
};

struct upstreams {
	struct descriptors *descriptors;
	unsigned int idle;
};

static bool close_idle(void *ctx)
{
	struct upstreams *upstreams = ctx;

	if (!upstreams->idle)
		return false;
	upstreams->idle--;
	descriptors_closed(upstreams->descriptors, DESCRIPTOR_UPSTREAM);
	return true;
}

static const struct descriptors_ops ops = { .close_idle_upstream = close_idle };

static void room_is_found(void)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(room_cases); i++) {
		const struct room_case *c = &room_cases[i];
		struct upstreams upstreams = { .idle = c->idle };
		int use;
		unsigned int n;

		upstreams.descriptors = descriptors_create(c->limit);
		descriptors_set_ops(upstreams.descriptors, &ops, &upstreams);
		for (use = 0; use < DESCRIPTOR_USES; use++)
			for (n = 0; n < c->open[use]; n++)
				descriptors_opened(upstreams.descriptors,
						   (enum descriptor_use)use);
		if (descriptors_have_room(upstreams.descriptors, c->use) !=
		    c->room) {
			g_print("# %s\n", c->what);
			CU_FAIL("room");
		}
		descriptors_destroy(upstreams.descriptors);
	}
}

/* Guards against an order of opening and closing in which one use takes what
 * another is promised. */
static void limits_hold_in_any_order(void)
{
	static const unsigned int limits[] = { 64, 100, 256, 1024, 4100 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(limits); i++) {
		struct upstreams upstreams = { 0 };
		GRand *random = g_rand_new_with_seed((guint32)limits[i]);
		struct descriptors *d = descriptors_create(limits[i]);
		unsigned int step;

		upstreams.descriptors = d;
		descriptors_set_ops(d, &ops, &upstreams);
		for (step = 0; step < 50000; step++) {
			enum descriptor_use use = g_rand_boolean(random)
							  ? DESCRIPTOR_CALLER
							  : DESCRIPTOR_UPSTREAM;

			/* Opens more often than it closes. */
			if (g_rand_int_range(random, 0, 5) < 3) {
				if (descriptors_have_room(d, use))
					descriptors_opened(d, use);
			} else if (descriptors_open(d, use)) {
				descriptors_closed(d, use);
			}
			CU_ASSERT_TRUE_FATAL(
				descriptors_open(d, DESCRIPTOR_CALLER) <=
				limits[i] * 3 / 4);
			CU_ASSERT_TRUE_FATAL(
				descriptors_open(d, DESCRIPTOR_CALLER) +
					descriptors_open(d,
							 DESCRIPTOR_UPSTREAM) <=
				limits[i] - MIN(limits[i] / 2, 40));
		}
		descriptors_destroy(d);
		g_rand_free(random);
	}
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "which use finds room", room_is_found },
		{ "limits hold in any order", limits_hold_in_any_order },
		{ 0 },
	};

	return suite_run("descriptors", cases);
}
