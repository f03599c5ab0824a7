/**
 * Heartbeats on the wire.
 */
#ifndef MEMBERSHIP_BEAT_CODEC_H
#define MEMBERSHIP_BEAT_CODEC_H

#include "membership/peers.h"
#include "wire/auburn.pb-c.h"

/** Room for the texts of a heartbeat that is sent. */
struct heartbeat_buffer {
	Heartbeat message;
	char daemon[64];
	char incarnation[64];
	char told[PEERS_GOSSIP_LIMIT][128];
	char *told_at[PEERS_GOSSIP_LIMIT];
};

/**
 * Fills a message that borrows the buffer. Fields that a beat lacks (cells,
 * zone) are the caller's.
 *
 * @return the buffer's message
 */
Heartbeat *heartbeat_to_wire(const struct beat *beat,
			     struct heartbeat_buffer *buffer);

/** Reads a message; the beat borrows its texts. */
void heartbeat_from_wire(const Heartbeat *message, struct beat *beat);

#endif
