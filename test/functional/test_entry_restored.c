/*
 * The store comes back from an older copy: writes since the copy are lost, and
 * versions are given out again.
 */
#include <signal.h>

#include "cluster_entry.h"
#include "suite.h"

#define ENTRIES 6
#define GRACE_S 6
/* Time for which the store is away. */
#define AWAY_US (1000 * G_TIME_SPAN_MILLISECOND)
/* Time for which a frozen VM misses what others relay. */
#define FROZEN_US (2500 * G_TIME_SPAN_MILLISECOND)
/* Changes of other rows after the store's return, so that its version passes
 * those of before. */
#define LATER_CHANGES 120

static struct entry_rig rig;

/* Returns a VM that leads, or one that doesn't. */
static struct entry *find_entry(bool leading)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++)
		if (entry_leads(&rig.entries[i]) == leading)
			return &rig.entries[i];
	CU_FAIL_FATAL("no such VM");
	return NULL;
}

/* Has the store be away, and come back as it was some time before. */
static void restore_store(unsigned int age_ms)
{
	char *uri = g_strdup_printf("/control/return?id=%u", age_ms);

	entry_rig_command(&rig, "/control/down?id=1", NULL);
	g_usleep(AWAY_US);
	entry_rig_command(&rig, uri, NULL);
	g_free(uri);
}

static void write_other_rows(void)
{
	unsigned int i;

	for (i = 0; i < LATER_CHANGES; i++)
		entry_rig_command(&rig, "/control/entry?id=other",
				  i % 2 ? "{}" : "[]");
}

static void a_change_is_seen_by_a_vm_that_missed_the_return(void)
{
	struct entry *frozen;

	entry_rig_start(&rig, ENTRIES, GRACE_S);
	frozen = find_entry(false);
	entry_rig_command(&rig, "/control/config",
			  ENTRY_CONFIG("r5", "/lost/"));
	write_other_rows();
	entry_rig_command(&rig, "/control/config",
			  ENTRY_CONFIG("r6", "/lost/"));
	g_usleep(AWAY_US);
	kill(process_pid(frozen->process), SIGSTOP);
	restore_store(4000);
	entry_rig_command(&rig, "/control/config",
			  ENTRY_CONFIG("r7", "/added/"));
	write_other_rows();
	write_other_rows();
	g_usleep(FROZEN_US);
	kill(process_pid(frozen->process), SIGCONT);
	CU_ASSERT_TRUE(process_wait_until(entry_serves_added_route, frozen,
					  RIG_WAIT_US));
	entry_rig_stop(&rig);
}

static bool has_leader(void *ctx)
{
	unsigned int i;

	(void)ctx;
	for (i = 0; i < ENTRIES; i++)
		if (process_running(rig.entries[i].process) &&
		    entry_leads(&rig.entries[i]))
			return true;
	return false;
}

/* The leader is killed while the store is away, and so are as many of its
 * successors when they lead. */
static void check_new_leader(unsigned int successors)
{
	unsigned int i;

	entry_rig_start(&rig, ENTRIES, GRACE_S);
	g_usleep(3 * AWAY_US);
	/* Upstreams 2 and 3 are the keyed ones: all keys move to 2. */
	entry_rig_command(&rig, "/control/lapse?id=3", NULL);
	g_usleep(2 * AWAY_US);
	entry_rig_command(&rig, "/control/down?id=1", NULL);
	/* The leader grants keys for longer when its renewals fail. */
	if (successors)
		g_usleep(AWAY_US);
	kill(process_pid(find_entry(true)->process), SIGKILL);
	g_usleep(AWAY_US);
	entry_rig_command(&rig, "/control/return?id=4000", NULL);
	CU_ASSERT_TRUE(process_wait_until(has_leader, NULL, RIG_WAIT_US));
	for (; successors; successors--) {
		/* It could hold keys again. */
		entry_rig_command(&rig, "/control/undrain?id=3", NULL);
		g_usleep(AWAY_US);
		kill(process_pid(find_entry(true)->process), SIGKILL);
		CU_ASSERT_TRUE(
			process_wait_until(has_leader, NULL, RIG_WAIT_US));
	}
	g_usleep(2 * AWAY_US);
	for (i = 0; i < ENTRIES; i++)
		if (process_running(rig.entries[i].process))
			CU_ASSERT_TRUE(process_wait_until(entry_serves_keys,
							  &rig.entries[i],
							  RIG_WAIT_US));
	CU_ASSERT_EQUAL(entry_rig_count(&rig, "double_owners"), 0);
	entry_rig_stop(&rig);
}

static void a_new_leader_grants_no_keys_by_an_older_owner_map(void)
{
	check_new_leader(0);
}

static void nor_does_one_that_follows_soon(void)
{
	check_new_leader(1);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a change is seen by a VM that missed the store's return",
		  a_change_is_seen_by_a_vm_that_missed_the_return },
		{ "a new leader grants no keys by an older owner map",
		  a_new_leader_grants_no_keys_by_an_older_owner_map },
		{ "nor does one that follows soon",
		  nor_does_one_that_follows_soon },
		{ 0 },
	};

	return suite_run("entry_restored", cases);
}
