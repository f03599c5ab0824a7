/* Each key has one owner at any time while real processes are killed and
 * suspended. */
#include <string.h>

#include "base/clock.h"
#include "cluster_suite.h"

/* Longest wait for a request to be answered. */
#define LIMIT_US (30 * US_PER_SECOND)
/* URI with the key whose owner the tests kill or suspend. */
#define KEY_URI "/tallies/rope-7"

static const struct cluster_service services[] = { { "tallies", 5 }, { 0 } };

static struct cluster *cluster;

/* Fails when two upstreams ever owned the same hash at the same time. */
static void check_single_owner(void)
{
	struct execution_record *record = cluster_load_record(cluster);
	struct ownership_period a, b;
	unsigned int overlaps = execution_record_count_overlaps(record, &a, &b);

	if (overlaps)
		printf("# two owners of a hash: upstream %u until %lld us and "
		       "%u from %lld us, epochs %llu and %llu\n",
		       a.upstream, (long long)a.until_us, b.upstream,
		       (long long)b.from_us, (unsigned long long)a.epoch,
		       (unsigned long long)b.epoch);
	CU_ASSERT_EQUAL(overlaps, 0);
	execution_record_destroy(record);
}

/* Returns the process that owns the key of KEY_URI, and sets owner to its index
 * among the upstreams. */
static struct process *owner_process(int *owner)
{
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
	*owner = cluster_owner(cluster, 0, KEY_URI);
	CU_ASSERT_TRUE_FATAL(*owner >= 0);
	return cluster_upstream(cluster, (unsigned int)*owner)->process;
}

static void a_lost_owner_is_replaced(void)
{
	int before;
	struct process *owner = owner_process(&before);

	process_kill(owner);
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
	CU_ASSERT_NOT_EQUAL(cluster_owner(cluster, 0, KEY_URI), before);
	CU_ASSERT_TRUE(cluster_restart(owner));
	check_single_owner();
}

static void a_frozen_owner_is_replaced_and_returns(void)
{
	int before;
	struct process *owner = owner_process(&before);

	process_freeze(owner);
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
	CU_ASSERT_NOT_EQUAL(cluster_owner(cluster, 0, KEY_URI), before);
	process_continue(owner);
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 1, KEY_URI, LIMIT_US));
	check_single_owner();
}

static void lost_assigners_are_succeeded(void)
{
	unsigned int i;

	for (i = 0; i < cluster_pair_count(cluster); i++) {
		process_kill(cluster_assigner(cluster, i));
		/* Longer than any grant: another assigner must renew them. */
		g_usleep(1500 * US_PER_MS);
		CU_ASSERT_TRUE(
			cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
		CU_ASSERT_TRUE(cluster_restart(cluster_assigner(cluster, i)));
		CU_ASSERT_TRUE(
			cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
	}
	check_single_owner();
}

static void a_frozen_assigner_returns_harmless(void)
{
	unsigned int i;

	for (i = 0; i < cluster_pair_count(cluster); i++) {
		process_freeze(cluster_assigner(cluster, i));
		g_usleep(1500 * US_PER_MS);
		CU_ASSERT_TRUE(
			cluster_wait_answer(cluster, 1, KEY_URI, LIMIT_US));
		process_continue(cluster_assigner(cluster, i));
		CU_ASSERT_TRUE(
			cluster_wait_answer(cluster, 1, KEY_URI, LIMIT_US));
	}
	check_single_owner();
}

static void serving_goes_on_without_the_table(void)
{
	int before, i;

	owner_process(&before);
	cluster_switch_platform(cluster, "{\"outage\":true}");
	for (i = 0; i < 30; i++) {
		CU_ASSERT_EQUAL(cluster_owner(cluster, 2, KEY_URI), before);
		g_usleep(100 * US_PER_MS);
	}
	/* An assigner that fails during the outage changes no owner. */
	process_kill(cluster_assigner(cluster, 0));
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 2, KEY_URI, LIMIT_US));
	CU_ASSERT_EQUAL(cluster_owner(cluster, 2, KEY_URI), before);
	cluster_switch_platform(cluster, "{\"outage\":false}");
	CU_ASSERT_TRUE(cluster_restart(cluster_assigner(cluster, 0)));
	check_single_owner();
}

static void owner_and_assigner_lost_at_once(void)
{
	int before;
	struct process *owner = owner_process(&before);

	process_kill(cluster_assigner(cluster, 1));
	process_kill(owner);
	CU_ASSERT_TRUE(cluster_wait_answer(cluster, 0, KEY_URI, LIMIT_US));
	CU_ASSERT_TRUE(cluster_restart(owner));
	CU_ASSERT_TRUE(cluster_restart(cluster_assigner(cluster, 1)));
	check_single_owner();
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a lost owner is replaced", a_lost_owner_is_replaced },
		{ "a frozen owner is replaced and returns",
		  a_frozen_owner_is_replaced_and_returns },
		{ "lost assigners are succeeded",
		  lost_assigners_are_succeeded },
		{ "a frozen assigner returns harmless",
		  a_frozen_assigner_returns_harmless },
		{ "serving goes on without the table",
		  serving_goes_on_without_the_table },
		{ "owner and assigner lost at once",
		  owner_and_assigner_lost_at_once },
		{ 0 },
	};
	static const struct cluster_options options = { .services = services };

	return cluster_suite_run("owner", &options, cases, &cluster);
}
