/**
 * Conversion of heartbeats to and from the wire's Heartbeat message.
 */
#ifndef MEMBERSHIP_HEARTBEAT_CODEC_H
#define MEMBERSHIP_HEARTBEAT_CODEC_H

#include "membership/peers.h"
#include "wire/auburn.pb-c.h"

/** Storage for a Heartbeat message to be sent and for its texts. */
struct heartbeat_buffer {
	Heartbeat message;
	char daemon[64];
	char incarnation[64];
	char gossip[PEERS_GOSSIP_LIMIT][128];
	char *gossip_texts[PEERS_GOSSIP_LIMIT];
};

/**
 * Builds the message of a heartbeat in the buffer. The caller sets zone and
 * cells. Texts that are too long for the buffer are cut off.
 *
 * @return the message in the buffer; valid as long as the buffer
 */
Heartbeat *heartbeat_to_wire(const struct beat *beat,
			     struct heartbeat_buffer *buffer);

/** Fills a struct beat from a message. Its texts point into the message. */
void heartbeat_from_wire(const Heartbeat *message, struct beat *beat);

#endif
