/**
 * Messages to one thread. The receiver waits on a descriptor; a message sent by
 * the receiver itself needs no wake-up.
 */
#ifndef ROUTER_MAILBOX_H
#define ROUTER_MAILBOX_H

#include <glib.h>
#include <stdbool.h>

struct mailbox;

/** Embedded in what is sent; belongs to the mailbox until delivered. */
struct message {
	GList link;
	/** Called by the receiving thread. */
	void (*deliver)(struct message *message);
};

/** Creates an empty mailbox. */
struct mailbox *mailbox_create(void);

/** Frees a mailbox; messages left are not delivered. */
void mailbox_destroy(struct mailbox *mailbox);

/** A descriptor that is readable while messages wait. */
int mailbox_fd(const struct mailbox *mailbox);

/** The calling thread is the receiver. */
void mailbox_own(struct mailbox *mailbox);

/** Sends from any thread. */
void mailbox_send(struct mailbox *mailbox, struct message *message);

/** Delivers what waits. @return whether there was any */
bool mailbox_deliver(struct mailbox *mailbox);

#endif
