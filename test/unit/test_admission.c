#include <glib.h>

#include "request/admission.h"
#include "suite.h"

#define US_PER_MS INT64_C(1000)
/* A deadline that every request can meet. */
#define FAR_US (1000 * US_PER_MS)

/* Every destination has room. */
static bool always_ready(void *ctx, void *owner)
{
	(void)ctx;
	(void)owner;
	return true;
}

/* Every destination has room except the lane owner that ctx names. */
static bool ready_unless_full(void *ctx, void *owner)
{
	return ctx != owner;
}

/* Adds a class with one lane. @return the lane */
static uint32_t add_lane(struct admission *admission, uint32_t priority,
			 uint32_t weight, uint32_t limit, void *owner)
{
	struct admission_class class = { priority, weight, limit };

	return admission_add_lane(
		admission, admission_add_class(admission, &class), owner);
}

/* Queues a request at time 0. @return whether that request was queued; *refused
 * is this or another request that was refused, NULL when none was */
static bool enqueue(struct admission *admission, uint32_t lane,
		    int64_t deadline_us, const char *request,
		    const char **refused)
{
	enum verdict_reason reason;
	void *out;

	admission_enqueue(admission, lane, deadline_us, (void *)request, 0,
			  &out, &reason);
	*refused = out;
	return out != request;
}

/* Returns the next request to send, NULL when there is none or the next one is
 * refused. */
static const char *admit_next(struct admission *admission, int64_t now_us)
{
	void *request = NULL;
	uint32_t lane;

	if (admission_next(admission, always_ready, NULL, now_us, &request,
			   &lane) != ADMISSION_SEND)
		return NULL;
	return request;
}

static void earliest_deadline_first(void)
{
	struct admission *admission = admission_create(10);
	uint32_t lane = add_lane(admission, 0, 1, 10, NULL);
	const char *refused;

	enqueue(admission, lane, FAR_US + 2, "b", &refused);
	enqueue(admission, lane, FAR_US + 1, "a", &refused);
	enqueue(admission, lane, FAR_US + 3, "c", &refused);
	CU_ASSERT_STRING_EQUAL(admit_next(admission, 0), "a");
	CU_ASSERT_STRING_EQUAL(admit_next(admission, 0), "b");
	CU_ASSERT_STRING_EQUAL(admit_next(admission, 0), "c");
	CU_ASSERT_PTR_NULL(admit_next(admission, 0));
	CU_ASSERT_EQUAL(admission_running(admission), 3);
	admission_destroy(admission);
}

static void a_full_queue_refuses_the_latest_deadline(void)
{
	struct admission *admission = admission_create(10);
	uint32_t lane = add_lane(admission, 0, 1, 2, NULL);
	const char *refused;

	enqueue(admission, lane, FAR_US + 1, "a", &refused);
	enqueue(admission, lane, FAR_US + 3, "c", &refused);
	CU_ASSERT_FALSE(enqueue(admission, lane, FAR_US + 4, "d", &refused));
	CU_ASSERT_STRING_EQUAL(refused, "d");
	CU_ASSERT_TRUE(enqueue(admission, lane, FAR_US + 2, "b", &refused));
	CU_ASSERT_STRING_EQUAL(refused, "c");
	CU_ASSERT_EQUAL(admission_waiting(admission, 0), 2);
	admission_destroy(admission);
}

static void requests_too_late_are_not_sent(void)
{
	struct admission *admission = admission_create(10);
	uint32_t lane = add_lane(admission, 0, 1, 10, NULL);
	const char *refused;
	uint32_t from;
	void *request;

	enqueue(admission, lane, FAR_US, "a", &refused);
	CU_ASSERT_STRING_EQUAL(admit_next(admission, 0), "a");
	admission_done(admission, lane, 50 * US_PER_MS);
	enqueue(admission, lane, 60 * US_PER_MS, "b", &refused);
	/* Too little time is left for the request to be answered. */
	CU_ASSERT_EQUAL(admission_next(admission, always_ready, NULL,
				       20 * US_PER_MS, &request, &from),
			ADMISSION_EXPIRED);
	CU_ASSERT_STRING_EQUAL(request, "b");
	CU_ASSERT_FALSE(
		enqueue(admission, lane, 30 * US_PER_MS, "c", &refused));
	admission_destroy(admission);
}

/* Counts the requests admitted from two classes that always have some waiting.
 * The first has priority 0 and weight 1, the second those given. */
static void count_admitted(uint32_t priority, uint32_t weight, uint32_t *first,
			   uint32_t *second)
{
	struct admission *admission = admission_create(10);
	uint32_t a = add_lane(admission, 0, 1, 10, NULL);
	uint32_t b = add_lane(admission, priority, weight, 10, NULL);
	const char *refused;
	int i;

	*first = 0;
	*second = 0;
	for (i = 0; i < 400; i++) {
		void *request = NULL;
		uint32_t lane;

		enqueue(admission, a, FAR_US, "a", &refused);
		enqueue(admission, b, FAR_US, "b", &refused);
		admission_next(admission, always_ready, NULL, 0, &request,
			       &lane);
		admission_done(admission, lane, 0);
		*(lane == a ? first : second) += 1;
	}
	admission_destroy(admission);
}

static void classes_share_by_weight_and_priority(void)
{
	uint32_t a, b;

	count_admitted(0, 3, &a, &b);
	CU_ASSERT(b > 280 && b < 320);
	/* The lowest priority gets one in twenty, whatever its weight. */
	count_admitted(9, 1000, &a, &b);
	CU_ASSERT_EQUAL(b, 400 / ADMISSION_LOW_EVERY);
}

static void low_priority_is_limited_to_part_of_the_capacity(void)
{
	struct admission *admission = admission_create(20);
	uint32_t low = add_lane(admission, 9, 1, 100, NULL);
	uint32_t high = add_lane(admission, 0, 1, 100, NULL);
	const char *refused;
	int i;

	for (i = 0; i < 20; i++)
		enqueue(admission, low, FAR_US, "low", &refused);
	while (admit_next(admission, 0))
		;
	CU_ASSERT_EQUAL(admission_running(admission), 11);
	enqueue(admission, high, FAR_US, "high", &refused);
	CU_ASSERT_STRING_EQUAL(admit_next(admission, 0), "high");
	admission_destroy(admission);
}

static void a_full_destination_does_not_delay_others(void)
{
	struct admission *admission = admission_create(20);
	int full, free;
	uint32_t a = add_lane(admission, 0, 1, 10, &full);
	uint32_t b = add_lane(admission, 1, 1, 10, &free);
	const char *refused;
	void *request;
	uint32_t lane;

	enqueue(admission, a, FAR_US, "a", &refused);
	enqueue(admission, b, FAR_US, "b", &refused);
	CU_ASSERT_EQUAL(admission_next(admission, ready_unless_full, &full, 0,
				       &request, &lane),
			ADMISSION_SEND);
	CU_ASSERT_STRING_EQUAL(request, "b");
	CU_ASSERT_EQUAL(admission_next(admission, ready_unless_full, &full, 0,
				       &request, &lane),
			ADMISSION_IDLE);
	admission_destroy(admission);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "earliest deadline first", earliest_deadline_first },
		{ "a full queue refuses the latest deadline",
		  a_full_queue_refuses_the_latest_deadline },
		{ "requests too late are not sent",
		  requests_too_late_are_not_sent },
		{ "classes share by weight and priority",
		  classes_share_by_weight_and_priority },
		{ "low priority is limited to part of the capacity",
		  low_priority_is_limited_to_part_of_the_capacity },
		{ "a full destination does not delay others",
		  a_full_destination_does_not_delay_others },
		{ 0 },
	};

	return suite_run("admission", cases);
}
