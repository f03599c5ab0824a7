/**
 * Decides when the leader sends its whole state instead of changes, and whether
 * a VM missed it. Times are seconds on the clock of the caller. Does no I/O.
 */
#ifndef FANOUT_SNAPSHOTS_H
#define FANOUT_SNAPSHOTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Seconds per VM: the shortest interval of snapshots that only changes call
 * for, and the interval without changes. They grow with the number of VMs so
 * that the leader's traffic does not. */
#define SNAPSHOT_VM_S 0.02
#define SNAPSHOT_REPEAT_VM_S 0.1

/** The snapshots of a leader; zero before the first one. */
struct snapshot_sender {
	/** When the last snapshot was sent. */
	double sent_s;
	/** Its size in bytes, and that of the changes sent since then. */
	size_t snapshot_bytes;
	size_t changes_bytes;
	/** Its number. A new leader continues with a higher one than that of
	 * any leader before. */
	uint64_t number;
};

/** Whether the next message must be a snapshot: the changes since the last one
 * took as many bytes as it did, or it is long ago.
 *
 * @param vms number of VMs
 * @param message_s interval of messages; a snapshot may be a quarter of it
 *        early */
bool snapshot_due(const struct snapshot_sender *sender, unsigned int vms,
		  double message_s, double now_s);

/** Notes that a snapshot is sent, and numbers it. */
void snapshot_sent(struct snapshot_sender *sender, size_t bytes, double now_s);

/** Notes that changes are sent. */
void snapshot_changes_sent(struct snapshot_sender *sender, size_t bytes);

/** The snapshots that a VM received; zero before the first one. */
struct snapshot_receiver {
	/** Number of the last one. */
	uint64_t number;
	/** The VM missed the leader's last snapshot. */
	bool missed;
};

/**
 * Notes a message of the leader.
 *
 * @param number number of the leader's last snapshot
 * @param included the message is that snapshot
 * @return whether the VM just noticed that it missed a snapshot
 */
bool snapshot_observe(struct snapshot_receiver *receiver, uint64_t number,
		      bool included);

#endif
