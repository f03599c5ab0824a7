/* Tests of the leader's snapshots: they are rare while little changes, and a VM
 * that missed one gets it soon. */
#include <glib.h>
#include <string.h>

#include "fanout/snapshots.h"
#include "suite.h"

#define BEAT_S 0.25
#define SNAPSHOT_BYTES 33000

static const unsigned int fleets[] = { 1, 12, 83, 300, 490 };

/* Runs a leader for END_S, which sends changes of so many bytes with each
 * message. Returns the bytes per second. */
static double run_leader(unsigned int vms, size_t change_bytes,
			 unsigned int *snapshots)
{
	enum { END_S = 600 };
	struct snapshot_sender sender = { 0 };
	size_t bytes = 0;
	int beat;

	*snapshots = 0;
	for (beat = 0; beat < END_S / BEAT_S; beat++) {
		double now_s = 1000 + beat * BEAT_S;

		if (snapshot_due(&sender, vms, BEAT_S, now_s)) {
			snapshot_sent(&sender, SNAPSHOT_BYTES, now_s);
			bytes += SNAPSHOT_BYTES;
			++*snapshots;
			continue;
		}
		snapshot_changes_sent(&sender, change_bytes);
		bytes += change_bytes;
	}
	return (double)bytes / END_S;
}

/* Guards against snapshots that cost more than the changes do, in a fleet of
 * hundreds; and against changes that pile up without a snapshot. */
static void snapshots_cost_no_more_than_changes(void)
{
	unsigned int snapshots;
	double calm, busy;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		unsigned int vms = fleets[i];
		double repeat_s = MAX(BEAT_S, vms * SNAPSHOT_REPEAT_VM_S);

		calm = run_leader(vms, 0, &snapshots);
		CU_ASSERT_TRUE(calm <= SNAPSHOT_BYTES / repeat_s * 1.3);
		CU_ASSERT_TRUE(snapshots >= 600 / (repeat_s + BEAT_S));
		busy = run_leader(vms, 2000, &snapshots);
		CU_ASSERT_TRUE(busy <= calm + 2.1 * 2000 / BEAT_S);
	}
	/* Much changes: as often as before there were numbers. */
	run_leader(300, 20000, &snapshots);
	CU_ASSERT_TRUE(snapshots >= 95);
}

/* Each VM loses a part of the messages, and asks the leader in a message that
 * may get lost as well. Returns the longest time without the last snapshot. */
static double longest_without(unsigned int vms, double loss, GRand *random)
{
	struct snapshot_sender sender = { 0 };
	struct snapshot_receiver receiver = { 0 };
	double without_s = 0, longest_s = 0;
	bool asked = false;
	int beat;

	for (beat = 0; beat < 2000 / BEAT_S; beat++) {
		double now_s = 1000 + beat * BEAT_S;
		bool due = snapshot_due(&sender, vms, BEAT_S, now_s);

		if (due)
			snapshot_sent(&sender, SNAPSHOT_BYTES, now_s);
		if (g_rand_double(random) >= loss)
			snapshot_observe(&receiver, sender.number,
					 due || asked);
		asked = receiver.missed && g_rand_double(random) >= loss;
		without_s = receiver.number == sender.number
				    ? 0
				    : without_s + BEAT_S;
		longest_s = MAX(longest_s, without_s);
	}
	return longest_s;
}

static void a_missed_snapshot_comes_soon(void)
{
	GRand *random = g_rand_new_with_seed(1);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fleets); i++) {
		CU_ASSERT_EQUAL(longest_without(fleets[i], 0, random), 0);
		CU_ASSERT_TRUE(longest_without(fleets[i], 0.05, random) <= 2);
	}
	g_rand_free(random);
}

/* Guards against VMs that ask again and again, although nothing is missing. */
static void a_vm_asks_once_for_what_it_missed(void)
{
	struct snapshot_receiver receiver = { 0 };

	CU_ASSERT_TRUE(snapshot_observe(&receiver, 5, false));
	CU_ASSERT_FALSE(snapshot_observe(&receiver, 5, false));
	CU_ASSERT_TRUE(receiver.missed);
	CU_ASSERT_FALSE(snapshot_observe(&receiver, 5, true));
	CU_ASSERT_FALSE(receiver.missed);
	CU_ASSERT_FALSE(snapshot_observe(&receiver, 5, false));
	CU_ASSERT_FALSE(receiver.missed);
	/* A new leader's numbers are others. */
	CU_ASSERT_TRUE(snapshot_observe(&receiver, 1000006, false));
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "snapshots cost no more than changes",
		  snapshots_cost_no_more_than_changes },
		{ "a missed snapshot comes soon",
		  a_missed_snapshot_comes_soon },
		{ "a VM asks once for what it missed",
		  a_vm_asks_once_for_what_it_missed },
		{ 0 },
	};

	return suite_run("snapshots", cases);
}
