/**
 * A queue of messages to one thread. The receiver waits on a descriptor. A
 * message that the receiver sends to itself does not make the descriptor
 * readable; the next mailbox_deliver() delivers it.
 */
#ifndef ROUTER_MAILBOX_H
#define ROUTER_MAILBOX_H

#include <glib.h>
#include <stdbool.h>

/** The queue of one receiving thread. */
struct mailbox;

/** Embedded in the struct that is sent. The mailbox uses the message until its
 * delivery; it must not be sent again before. */
struct message {
	/** Link in the mailbox's queue; set by mailbox_send(). */
	GList link;
	/** Called in the receiving thread; may free the message. */
	void (*deliver)(struct message *message);
};

/** Creates an empty mailbox without a receiver; free with mailbox_destroy(). */
struct mailbox *mailbox_create(void);

/** Frees a mailbox; NULL is allowed. Undelivered messages are not freed. */
void mailbox_destroy(struct mailbox *mailbox);

/** Returns a descriptor that is readable while messages from other threads
 * wait.
 */
int mailbox_fd(const struct mailbox *mailbox);

/** Makes the calling thread the receiver. Before this call every message makes
 * the descriptor readable. */
void mailbox_set_receiver(struct mailbox *mailbox);

/** Sends a message. May be called from any thread. */
void mailbox_send(struct mailbox *mailbox, struct message *message);

/**
 * Delivers the messages that wait at the time of the call, in the order of
 * sending. For the receiving thread.
 *
 * @return whether there were any
 */
bool mailbox_deliver(struct mailbox *mailbox);

#endif
