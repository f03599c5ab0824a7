#include "request/poison.h"
#include "suite.h"

#define U1 STR("u1")
#define U2 STR("u2")
#define BOOT STR("boot")

/* Sends a request to an upstream whose connection then breaks. @return whether
 * there is a report to send */
static bool break_connection(struct poison *poison, uint64_t fingerprint,
			     struct str on, struct poison_report *report)
{
	uint64_t handle = poison_begin(poison, fingerprint, on, BOOT);

	return poison_end(poison, handle, POISON_CONNECTION_BROKEN, 0, report);
}

static void a_request_that_crashed_two_upstreams_is_poisoned(void)
{
	struct poison *poison = poison_create();
	struct poison_report report;

	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_CLEAR);
	CU_ASSERT_TRUE(break_connection(poison, 1, U1, &report));
	CU_ASSERT_EQUAL(report.deaths, 1);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_SUSPECT);
	/* Two copies that break on one incarnation count as one death. */
	break_connection(poison, 1, U1, &report);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_SUSPECT);
	break_connection(poison, 1, U2, &report);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_POISONED);
	CU_ASSERT_EQUAL(poison_check(poison, 2, 0), POISON_CLEAR);
	CU_ASSERT_EQUAL(poison_check(poison, 1, POISON_KEEP_US), POISON_CLEAR);
	poison_destroy(poison);
}

static void an_answered_suspect_is_cleared(void)
{
	struct poison *poison = poison_create();
	struct poison *other = poison_create();
	struct poison_report report;
	uint64_t handle;

	break_connection(poison, 1, U1, &report);
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_SUSPECT);
	handle = poison_begin(poison, 1, U2, BOOT);
	CU_ASSERT_TRUE(poison_end(poison, handle, POISON_ANSWERED, 0, &report));
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_CLEAR);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_CLEAR);
	poison_destroy(poison);
	poison_destroy(other);
}

static void crashes_add_up_over_routers(void)
{
	struct poison *poison = poison_create();
	struct poison *other = poison_create();
	struct poison_report report;

	break_connection(poison, 1, U1, &report);
	poison_apply_report(other, &report, 0);
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_SUSPECT);
	break_connection(other, 1, U2, &report);
	CU_ASSERT_EQUAL(report.deaths, 2);
	poison_apply_report(poison, &report, 0);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_POISONED);
	/* A poisoned request stays poisoned when a late report clears it. */
	report = (struct poison_report){ .fingerprint = 1 };
	poison_apply_report(poison, &report, 0);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_POISONED);
	poison_destroy(poison);
	poison_destroy(other);
}

static void a_broken_connection_is_not_a_crash(void)
{
	struct poison *poison = poison_create();
	struct poison *other = poison_create();
	struct poison_report report;

	break_connection(poison, 1, U1, &report);
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(
		poison_revoke_deaths(poison, U1, STR("new"), 1, &report, 1), 0);
	/* An answer to a request sent before the crash revokes no death. */
	CU_ASSERT_EQUAL(poison_revoke_deaths(poison, U1, BOOT, 0, &report, 1),
			0);
	CU_ASSERT_EQUAL(poison_revoke_deaths(poison, U1, BOOT, 1, &report, 1),
			1);
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_CLEAR);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_CLEAR);
	poison_destroy(poison);
	poison_destroy(other);
}

static void a_new_router_learns_the_listed_reports(void)
{
	struct poison *poison = poison_create();
	struct poison *other = poison_create();
	struct poison_report report, list[2];

	break_connection(poison, 1, U1, &report);
	CU_ASSERT_EQUAL_FATAL(poison_list_reports(poison, 0, list, 2), 1);
	poison_apply_report(other, &list[0], 0);
	/* A report of a death that is already known doesn't count again. */
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_SUSPECT);
	break_connection(poison, 1, U2, &report);
	CU_ASSERT_EQUAL(poison_list_reports(poison, 0, list, 2), 2);
	poison_apply_report(other, &report, 0);
	CU_ASSERT_EQUAL(poison_check(other, 1, 0), POISON_POISONED);
	poison_destroy(poison);
	poison_destroy(other);
}

static void a_stall_is_not_a_crash(void)
{
	struct poison *poison = poison_create();
	struct poison_report report;
	uint64_t handle = poison_begin(poison, 1, U1, BOOT);

	CU_ASSERT_FALSE(
		poison_end(poison, handle, POISON_INCONCLUSIVE, 0, &report));
	CU_ASSERT_FALSE(poison_end(poison, handle, POISON_CONNECTION_BROKEN, 0,
				   &report));
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_CLEAR);
	poison_destroy(poison);
}

static void a_repeated_report_changes_nothing(void)
{
	static const struct {
		const char *upstream;
		uint32_t deaths;
		/** The report changes what is known of the request. */
		bool changes;
	} cases[] = {
		{ "u1", 1, true },  { "u1", 1, false }, { "u1", 0, true },
		{ "u1", 0, false }, { "", 0, false },	{ "u1", 1, true },
		{ "u2", 2, true },  { "u3", 2, false }, { "", 0, false },
	};
	struct poison *poison = poison_create();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct poison_report report = {
			.fingerprint = 1,
			.upstream = str_from(cases[i].upstream),
			.boot = BOOT,
			.deaths = cases[i].deaths,
		};

		CU_ASSERT_EQUAL(poison_apply_report(poison, &report, 0),
				cases[i].changes);
	}
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_POISONED);
	poison_destroy(poison);
}

static void records_are_bounded(void)
{
	struct poison *poison = poison_create();
	struct poison_report report;
	uint64_t i;

	break_connection(poison, 1, U1, &report);
	break_connection(poison, 1, U2, &report);
	for (i = 2; i < POISON_MAX + 10; i++)
		break_connection(poison, i, U1, &report);
	CU_ASSERT_EQUAL(poison_check(poison, 1, 0), POISON_POISONED);
	CU_ASSERT_EQUAL(poison_check(poison, POISON_MAX + 9, 0),
			POISON_SUSPECT);
	poison_destroy(poison);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a request that crashed two upstreams is poisoned",
		  a_request_that_crashed_two_upstreams_is_poisoned },
		{ "a suspect request that is answered is cleared",
		  an_answered_suspect_is_cleared },
		{ "crashes reported by several routers add up",
		  crashes_add_up_over_routers },
		{ "a broken connection is not a crash",
		  a_broken_connection_is_not_a_crash },
		{ "a new router learns the listed reports",
		  a_new_router_learns_the_listed_reports },
		{ "a stall is not a crash", a_stall_is_not_a_crash },
		{ "a repeated report changes nothing",
		  a_repeated_report_changes_nothing },
		{ "records are bounded", records_are_bounded },
		{ 0 },
	};

	return suite_run("poison", cases);
}
