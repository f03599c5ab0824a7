/*
 * Tests of the limit on what callers make a process hold: who is refused, who
 * gives way and in which order. The rows guard against a crowd that keeps small
 * requests out, and against one that keeps its bytes without moving.
 */
#include <string.h>

#include "net/caller_body.h"
#include "net/caller_budget.h"
#include "suite.h"

#define KB ((size_t)1024)
#define HOLDERS 4

static struct caller_budget budget;
static struct caller_holder holders[HOLDERS];
/* Indices of the evicted holders, in order. */
static char evicted[HOLDERS + 1];
static bool may_close_all;

static void evict(struct caller_holder *holder)
{
	size_t len = strlen(evicted);

	evicted[len] = (char)('0' + (holder - holders));
	caller_budget_return(&budget, holder, holder->held);
	holder->state = CALLER_IDLE;
}

static bool may_close(const struct caller_holder *holder)
{
	return may_close_all || holder != &holders[0];
}

static const struct caller_budget_ops ops = { evict, may_close };

/* Sets up a budget of 1000 KB, of which 100 are the reserve. */
static void setup(void)
{
	int i;

	memset(&budget, 0, sizeof(budget));
	memset(holders, 0, sizeof(holders));
	memset(evicted, 0, sizeof(evicted));
	may_close_all = true;
	budget.limit = 1000 * KB;
	budget.reserve = 100 * KB;
	budget.ops = &ops;
	g_queue_init(&budget.holders);
	for (i = 0; i < HOLDERS; i++)
		caller_budget_join(&budget, &holders[i], 0);
}

/* What a holder has before the bytes are taken. */
struct held {
	size_t kb;
	enum caller_state state;
	double progress_s;
};

struct take_row {
	struct held held[3];
	/** What the fourth holder takes at the time 10, having nothing. */
	size_t kb;
	bool answer;
	bool taken;
	const char *evicted;
};

static void bytes_are_taken_in_order(void)
{
	static const struct take_row rows[] = {
		/* There is room, with and without the reserve. */
		{ { { 0 } }, 900, false, true, "" },
		{ { { 0 } }, 901, false, false, "" },
		{ { { 900, CALLER_RECEIVING, 10 } }, 60, false, true, "" },
		/* Those without progress go first, the largest of them first.
		 */
		{ { { 300, CALLER_RECEIVING, 9 },
		    { 400, CALLER_SENDING, 9 },
		    { 200, CALLER_RECEIVING, 10 } },
		  100,
		  false,
		  true,
		  "1" },
		{ { { 300, CALLER_RECEIVING, 9 },
		    { 400, CALLER_SENDING, 9 },
		    { 200, CALLER_RECEIVING, 10 } },
		  700,
		  false,
		  true,
		  "10" },
		/* Requests that make progress go only for answers and for
		 * holders of little. */
		{ { { 800, CALLER_RECEIVING, 10 } }, 200, false, false, "" },
		{ { { 800, CALLER_RECEIVING, 10 } }, 200, true, true, "0" },
		{ { { 500, CALLER_RECEIVING, 10 }, { 495, CALLER_RUNNING, 0 } },
		  60,
		  false,
		  true,
		  "0" },
		/* Requests that may have run, and answers that are being read,
		 * stay. */
		{ { { 500, CALLER_RUNNING, 0 }, { 495, CALLER_SENDING, 10 } },
		  60,
		  true,
		  false,
		  "" },
		/* Holders of little give way only to answers and each other,
		 * and only without progress. */
		{ { { 60, CALLER_RECEIVING, 0 }, { 840, CALLER_RUNNING, 0 } },
		  100,
		  false,
		  false,
		  "" },
		{ { { 60, CALLER_RECEIVING, 0 }, { 840, CALLER_RUNNING, 0 } },
		  60,
		  false,
		  true,
		  "" },
		{ { { 60, CALLER_RECEIVING, 0 }, { 920, CALLER_RUNNING, 0 } },
		  60,
		  false,
		  true,
		  "0" },
		{ { { 60, CALLER_RECEIVING, 10 }, { 920, CALLER_RUNNING, 0 } },
		  60,
		  false,
		  false,
		  "" },
		/* What only a connection takes frees nothing. */
		{ { { 1, CALLER_RECEIVING, 0 }, { 959, CALLER_RUNNING, 0 } },
		  60,
		  false,
		  false,
		  "" },
	};
	size_t i, j;

	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		const struct take_row *row = &rows[i];
		size_t sum = 0;

		setup();
		for (j = 0; j < G_N_ELEMENTS(row->held); j++) {
			caller_budget_add(&budget, &holders[j],
					  row->held[j].kb * KB);
			holders[j].state = row->held[j].state;
			holders[j].progress_s = row->held[j].progress_s;
		}
		CU_ASSERT_EQUAL(caller_budget_take(&budget, &holders[3],
						   row->kb * KB, row->answer,
						   10),
				row->taken);
		CU_ASSERT_STRING_EQUAL(evicted, row->evicted);
		for (j = 0; j < HOLDERS; j++)
			sum += holders[j].held;
		CU_ASSERT_EQUAL(budget.used, sum);
		CU_ASSERT_TRUE(budget.used <= budget.limit);
	}
}

/* Guards against callers that send a byte now and then to look alive. */
static void trickling_is_no_progress(void)
{
	int i;

	setup();
	caller_budget_set_state(&holders[0], CALLER_RECEIVING, 1);
	caller_budget_add(&budget, &holders[0], 800 * KB);
	for (i = 0; i < 100; i++)
		caller_budget_progress(&holders[0], 100, 1 + 0.01 * i);
	CU_ASSERT_EQUAL(holders[0].progress_s, 1);
	CU_ASSERT_TRUE(
		caller_budget_take(&budget, &holders[1], 200 * KB, false, 2));
	CU_ASSERT_STRING_EQUAL(evicted, "0");
	caller_budget_progress(&holders[1], 16 * KB, 3);
	CU_ASSERT_EQUAL(holders[1].progress_s, 3);
}

static void connections_are_closed_in_order(void)
{
	setup();
	holders[0].progress_s = 1;
	holders[1].progress_s = 2;
	holders[2].state = CALLER_RECEIVING;
	holders[3].state = CALLER_SENDING;
	CU_ASSERT_PTR_EQUAL(caller_budget_choose_connection(&budget, 3),
			    &holders[0]);
	may_close_all = false;
	CU_ASSERT_PTR_EQUAL(caller_budget_choose_connection(&budget, 3),
			    &holders[1]);
	holders[1].state = CALLER_RUNNING;
	CU_ASSERT_PTR_EQUAL(caller_budget_choose_connection(&budget, 3),
			    &holders[2]);
	holders[2].progress_s = 3;
	CU_ASSERT_PTR_EQUAL(caller_budget_choose_connection(&budget, 3),
			    &holders[3]);
	holders[3].progress_s = 3;
	CU_ASSERT_PTR_NULL(caller_budget_choose_connection(&budget, 3));
}

/* Guards against a body that is counted twice or never again while a connection
 * to an upstream still refers to it. */
static void a_shared_body_counts_until_its_last_reference(void)
{
	struct caller_body *body;

	setup();
	body = caller_body_create(&budget);
	CU_ASSERT_TRUE(
		caller_budget_take(&budget, &holders[0], 70 * KB, false, 0));
	body->held = 70 * KB;
	caller_body_ref(body);
	caller_budget_detach(&holders[0], body->held);
	caller_body_unref(body);
	CU_ASSERT_EQUAL(holders[0].held, 0);
	CU_ASSERT_EQUAL(budget.used, 70 * KB);
	caller_body_unref(body);
	CU_ASSERT_EQUAL(budget.used, 0);
	CU_ASSERT_EQUAL(budget.peak, 70 * KB);
}

static unsigned int falls;

static void on_fell(void *ctx)
{
	(void)ctx;
	falls++;
}

/* Guards against freed memory that is kept, and against giving it back after
 * each request in calm. */
static void memory_is_given_back_after_a_peak(void)
{
	int i;

	setup();
	falls = 0;
	budget.fell = on_fell;
	for (i = 0; i < 10; i++) {
		caller_budget_add(&budget, &holders[0], 400 * KB);
		caller_budget_return(&budget, &holders[0], 400 * KB);
	}
	CU_ASSERT_EQUAL(falls, 0);
	caller_budget_add(&budget, &holders[0], 800 * KB);
	caller_budget_return(&budget, &holders[0], 100 * KB);
	CU_ASSERT_EQUAL(falls, 0);
	caller_budget_return(&budget, &holders[0], 100 * KB);
	CU_ASSERT_EQUAL(falls, 1);
	caller_budget_return(&budget, &holders[0], 600 * KB);
	CU_ASSERT_EQUAL(falls, 2);
}

/* Guards against freed memory that is kept while others take as much: blocks of
 * different sizes don't take each other's place. */
static void memory_is_given_back_during_a_peak(void)
{
	int i;

	setup();
	falls = 0;
	budget.fell = on_fell;
	caller_budget_add(&budget, &holders[0], 800 * KB);
	for (i = 0; i < 10; i++) {
		caller_budget_add(&budget, &holders[1], 50 * KB);
		caller_budget_return(&budget, &holders[1], 50 * KB);
	}
	/* 500 KB in turns of at least 125. */
	CU_ASSERT_EQUAL(falls, 3);
}

static int pressed_calls[2];

static void on_pressed(void *ctx, bool pressed)
{
	(void)ctx;
	pressed_calls[pressed]++;
}

/* Guards against a change of the allocator's settings with each request. */
static void pressure_has_two_bounds(void)
{
	int i;

	setup();
	memset(pressed_calls, 0, sizeof(pressed_calls));
	budget.pressed = on_pressed;
	for (i = 0; i < 10; i++) {
		caller_budget_add(&budget, &holders[0], 250 * KB);
		caller_budget_return(&budget, &holders[0], 250 * KB);
	}
	CU_ASSERT_EQUAL(pressed_calls[true], 0);
	caller_budget_add(&budget, &holders[0], 200 * KB);
	for (i = 0; i < 10; i++) {
		caller_budget_add(&budget, &holders[1], 51 * KB);
		caller_budget_return(&budget, &holders[1], 51 * KB);
	}
	CU_ASSERT_EQUAL(pressed_calls[true], 1);
	CU_ASSERT_EQUAL(pressed_calls[false], 0);
	caller_budget_return(&budget, &holders[0], 200 * KB);
	CU_ASSERT_EQUAL(pressed_calls[false], 1);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "bytes are taken in order", bytes_are_taken_in_order },
		{ "trickling is no progress", trickling_is_no_progress },
		{ "connections are closed in order",
		  connections_are_closed_in_order },
		{ "a shared body counts until its last reference",
		  a_shared_body_counts_until_its_last_reference },
		{ "memory is given back after a peak",
		  memory_is_given_back_after_a_peak },
		{ "memory is given back during a peak",
		  memory_is_given_back_during_a_peak },
		{ "pressure has two bounds", pressure_has_two_bounds },
		{ 0 },
	};

	return suite_run("caller_budget", cases);
}
