#include "fanout/snapshots.h"

#include <math.h>

bool snapshot_due(const struct snapshot_sender *sender, unsigned int vms,
		  double message_s, double now_s)
{
	double age_s = now_s - sender->sent_s + message_s / 4;

	if (sender->changes_bytes > sender->snapshot_bytes &&
	    age_s >= fmax(message_s, vms * SNAPSHOT_VM_S))
		return true;
	return age_s >= fmax(message_s, vms * SNAPSHOT_REPEAT_VM_S);
}

void snapshot_sent(struct snapshot_sender *sender, size_t bytes, double now_s)
{
	sender->sent_s = now_s;
	sender->snapshot_bytes = bytes;
	sender->changes_bytes = 0;
	sender->number++;
}

void snapshot_changes_sent(struct snapshot_sender *sender, size_t bytes)
{
	sender->changes_bytes += bytes;
}

bool snapshot_observe(struct snapshot_receiver *receiver, uint64_t number,
		      bool included)
{
	bool missed_before = receiver->missed;

	if (included)
		receiver->number = number;
	receiver->missed = receiver->number != number;
	return receiver->missed && !missed_before;
}
