/*
 * Sends a request that crashes every upstream that runs it, again and again and
 * to several entry daemons, and counts the crashes.
 */
#include <stdio.h>

#include "cluster_entry.h"
#include "suite.h"

/* Number of entry daemons, and of upstreams beyond those of standin-site. With
 * so many upstreams, a daemon rarely sends to the same one twice. */
#define ENTRIES 6
#define MORE_UPSTREAMS 14
/* Crashes after which the request must be blocked. */
#define CRASHES_TO_BLOCK 3
/* Time after the last of these from which retries are counted. */
#define STABLE_WINDOW_US ((gulong)3 * G_USEC_PER_SEC)
/* Most crashes that later retries may cause, from all daemons together. */
#define LATER_CRASHES_MAX 3
/* Number of later retries at each daemon, and the pause between them. */
#define LATER_RETRIES 6
#define RETRY_PAUSE_US ((gulong)G_USEC_PER_SEC / 20)

static struct entry_rig rig;

/* Sends the request to the daemons in turn until enough upstreams crashed.
 *
 * @param from index of the first daemon that gets it */
static void crash_upstreams(const char *method, const char *uri,
			    unsigned int from)
{
	unsigned int i;

	for (i = 0; i < 20; i++) {
		unsigned int at = from + i % (ENTRIES - from);
		char id[32];

		http_answer_destroy(
			entry_send(&rig.entries[at], uri, method, 0, "x", id));
		if (entry_rig_count(&rig, "crashes") >= CRASHES_TO_BLOCK)
			return;
		g_usleep(RETRY_PAUSE_US);
	}
	CU_FAIL_FATAL("the request did not crash enough upstreams");
}

/* Sends the request several times to the daemons from index first to last. */
static void retry_at(const char *method, const char *uri, unsigned int first,
		     unsigned int last)
{
	unsigned int i, at;

	for (i = 0; i < LATER_RETRIES; i++)
		for (at = first; at <= last; at++) {
			char id[32];

			http_answer_destroy(entry_send(&rig.entries[at], uri,
						       method, 0, "x", id));
			g_usleep(RETRY_PAUSE_US);
		}
}

static void restart(struct entry *entry)
{
	GError *error = NULL;

	if (!process_restart(entry->process, &error))
		g_error("%s", error->message);
}

static void wait_until_ready(struct entry *entry)
{
	CU_ASSERT_TRUE_FATAL(
		process_wait_until(entry_is_ready, entry, RIG_WAIT_US));
}

static void do_nothing(void)
{
}

static void freeze_one_vm(void)
{
	process_freeze(rig.entries[0].process);
}

static void continue_one_vm(void)
{
	process_continue(rig.entries[0].process);
}

/* Restarts two VMs one after the other; each gets the request again. */
static void restart_two_vms(void)
{
	unsigned int i;

	for (i = 0; i < 2; i++) {
		restart(&rig.entries[i]);
		wait_until_ready(&rig.entries[i]);
		g_usleep(STABLE_WINDOW_US);
		retry_at("POST", "/once/crash", i, i);
		g_usleep(STABLE_WINDOW_US);
	}
}

/* Restarts all VMs, one after the other. */
static void restart_in_turn(void)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++) {
		restart(&rig.entries[i]);
		wait_until_ready(&rig.entries[i]);
		g_usleep(G_USEC_PER_SEC / 2);
	}
}

static void restart_all(void)
{
	unsigned int i;

	for (i = 0; i < ENTRIES; i++)
		process_kill(rig.entries[i].process);
	for (i = 0; i < ENTRIES; i++)
		restart(&rig.entries[i]);
	for (i = 0; i < ENTRIES; i++)
		wait_until_ready(&rig.entries[i]);
}

/* A request and what happens to the VMs around its crashes. */
struct crash_row {
	const char *method;
	const char *uri;
	/** Index of the first daemon that gets the request at the start. */
	unsigned int from;
	/** What happens before the first crash, and after the last one. */
	void (*before)(void);
	void (*after)(void);
};

static void run_row(const struct crash_row *row)
{
	char uri[32];
	int before, later;

	entry_rig_start(&rig, ENTRIES, 6);
	g_snprintf(uri, sizeof(uri), "/control/more?id=%d", MORE_UPSTREAMS);
	entry_rig_command(&rig, uri, NULL);
	g_usleep(G_USEC_PER_SEC);
	row->before();
	crash_upstreams(row->method, row->uri, row->from);
	g_usleep(STABLE_WINDOW_US);
	before = entry_rig_count(&rig, "crashes");
	row->after();
	g_usleep(STABLE_WINDOW_US);
	retry_at(row->method, row->uri, 0, ENTRIES - 1);
	later = entry_rig_count(&rig, "crashes") - before;
	printf("# %d upstreams crashed later\n", later);
	CU_ASSERT_TRUE(later <= LATER_CRASHES_MAX);
	entry_rig_stop(&rig);
}

static void a_request_that_crashed_three_upstreams_is_blocked_on_all_vms(void)
{
	static const struct crash_row rows[] = {
		{ "GET", "/plain/crash", 0, do_nothing, do_nothing },
		{ "POST", "/once/crash", 0, do_nothing, do_nothing },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_row(&rows[i]);
}

static void a_vm_that_missed_the_crashes_blocks_the_request(void)
{
	static const struct crash_row rows[] = {
		{ "POST", "/once/crash", 1, freeze_one_vm, continue_one_vm },
		{ "POST", "/once/crash", 0, do_nothing, restart_two_vms },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_row(&rows[i]);
}

static void a_block_outlasts_the_vms_that_know_of_it(void)
{
	static const struct crash_row rows[] = {
		{ "POST", "/once/crash", 0, do_nothing, restart_in_turn },
		{ "POST", "/once/crash", 0, do_nothing, restart_all },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(rows); i++)
		run_row(&rows[i]);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "a request that crashed three upstreams is blocked on all "
		  "VMs",
		  a_request_that_crashed_three_upstreams_is_blocked_on_all_vms },
		{ "a VM that missed the crashes blocks the request",
		  a_vm_that_missed_the_crashes_blocks_the_request },
		{ "a block outlasts the VMs that know of it",
		  a_block_outlasts_the_vms_that_know_of_it },
		{ 0 },
	};

	return suite_run("entry_crashes", cases);
}
