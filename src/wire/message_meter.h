/**
 * Counts the datagrams between VMs and their bytes, by kind of message, in
 * metrics.
 */
#ifndef WIRE_MESSAGE_METER_H
#define WIRE_MESSAGE_METER_H

#include <stdbool.h>
#include <stddef.h>

#include "base/metrics.h"
#include "wire/entry.pb-c.h"

struct message_meter;

/** Creates a meter; metrics must outlive it. */
struct message_meter *message_meter_create(struct metrics *metrics);
/** Frees a meter, but not its metrics; NULL is allowed. */
void message_meter_destroy(struct message_meter *meter);

/**
 * Counts a datagram that was sent.
 *
 * @param kind kind of its message; an unknown one is counted as "other"
 * @param bytes size of the datagram without headers of the network
 * @param other_zone the recipient is in another zone or an unknown one
 */
void message_meter_sent(struct message_meter *meter, PeerMessage__KindCase kind,
			size_t bytes, bool other_zone);

/** Counts a datagram that was received; parameters as above. */
void message_meter_received(struct message_meter *meter,
			    PeerMessage__KindCase kind, size_t bytes);

#endif
