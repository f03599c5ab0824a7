/**
 * Plans how a message reaches many VMs. Each zone but the sender's gets few
 * copies, because traffic between zones is charged; the VMs that get them relay
 * the message inside their zone. No VM sends more copies than about the square
 * root of its zone's VMs. Relays are drawn anew for each message, so a lost one
 * costs the VMs behind it a single message. Does no I/O.
 */
#ifndef FANOUT_FANOUT_H
#define FANOUT_FANOUT_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** With at most this many recipients, the sender sends every copy itself:
 * relays would hardly reduce its traffic. */
#define FANOUT_DIRECT_MAX 16

/** A recipient. */
struct fanout_target {
	struct sockaddr_in address;
	/** Name of the VM's zone; "": unknown. Not owned. */
	const char *zone;
};

/** One copy that this VM has to send. The pointers are valid during the call of
 * fanout_send_fn. */
struct fanout_copy {
	const struct sockaddr_in *to;
	/** VMs to which the recipient relays the message: IPv4 address and port
	 * of each, six bytes in network byte order. */
	const uint8_t *relay_to;
	size_t relay_to_len;
	/** Most copies that any relay of this message sends; for
	 * fanout_relay(). */
	unsigned int width;
	/** The copy goes to another zone than the sender's, or to an unknown
	 * one. */
	bool other_zone;
};

/** Sends a copy. */
typedef void (*fanout_send_fn)(void *ctx, const struct fanout_copy *copy);

/** Ways to distribute a message to more than FANOUT_DIRECT_MAX recipients. */
enum fanout_way {
	/** Each VM gets it once. */
	FANOUT_ONCE,
	/** Each VM gets it twice, by different relays. */
	FANOUT_TWICE,
	/** Each VM gets it once, and the sender sends one copy to its own zone
	 * as well. For large messages on a slow link. */
	FANOUT_SPARING,
};

/** How a message is distributed. */
struct fanout_plan {
	/** Zone of the sender; "": unknown. */
	const char *zone;
	enum fanout_way way;
	/** Source of random numbers; not owned. */
	GRand *random;
};

/**
 * Determines the copies of a message that its sender sends.
 *
 * @param targets recipients (struct fanout_target); their order is changed
 * @param send called for each copy
 */
void fanout_send(const struct fanout_plan *plan, GArray *targets,
		 fanout_send_fn send, void *ctx);

/**
 * Determines the copies of a received message that this VM relays.
 *
 * @param relay_to list of fanout_copy.relay_to; an incomplete address at its
 *        end is ignored
 * @param width as in fanout_copy; 0 counts as 1
 */
void fanout_relay(const uint8_t *relay_to, size_t len, unsigned int width,
		  fanout_send_fn send, void *ctx);

#endif
