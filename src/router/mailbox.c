#include "router/mailbox.h"

#include <pthread.h>
#include <sys/eventfd.h>
#include <unistd.h>

struct mailbox {
	int fd;
	pthread_mutex_t lock;
	/* The lock guards the fields below. */
	/* The receiving thread; valid when has_receiver is set. */
	pthread_t receiver;
	bool has_receiver;
	GQueue messages;
	/* The eventfd was written and not yet read. */
	bool woken;
};

struct mailbox *mailbox_create(void)
{
	struct mailbox *mailbox = g_new0(struct mailbox, 1);

	mailbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	pthread_mutex_init(&mailbox->lock, NULL);
	return mailbox;
}

void mailbox_destroy(struct mailbox *mailbox)
{
	if (!mailbox)
		return;
	close(mailbox->fd);
	pthread_mutex_destroy(&mailbox->lock);
	g_free(mailbox);
}

int mailbox_fd(const struct mailbox *mailbox)
{
	return mailbox->fd;
}

void mailbox_set_receiver(struct mailbox *mailbox)
{
	pthread_mutex_lock(&mailbox->lock);
	mailbox->receiver = pthread_self();
	mailbox->has_receiver = true;
	pthread_mutex_unlock(&mailbox->lock);
}

/* Tells whether the calling thread is the receiver. Call under the lock. */
static bool sent_by_receiver(const struct mailbox *mailbox)
{
	return mailbox->has_receiver &&
	       pthread_equal(mailbox->receiver, pthread_self());
}

void mailbox_send(struct mailbox *mailbox, struct message *message)
{
	bool wake;

	message->link = (GList){ .data = message };
	pthread_mutex_lock(&mailbox->lock);
	g_queue_push_tail_link(&mailbox->messages, &message->link);
	wake = !mailbox->woken && !sent_by_receiver(mailbox);
	if (wake)
		mailbox->woken = true;
	pthread_mutex_unlock(&mailbox->lock);
	if (wake)
		eventfd_write(mailbox->fd, 1);
}

/* Empties the queue. Returns its first link; NULL when it was empty. */
static GList *detach_messages(struct mailbox *mailbox)
{
	eventfd_t count;
	GList *first;

	pthread_mutex_lock(&mailbox->lock);
	if (mailbox->woken)
		eventfd_read(mailbox->fd, &count);
	mailbox->woken = false;
	first = mailbox->messages.head;
	g_queue_init(&mailbox->messages);
	pthread_mutex_unlock(&mailbox->lock);
	return first;
}

bool mailbox_deliver(struct mailbox *mailbox)
{
	GList *link = detach_messages(mailbox);
	bool any = link != NULL;

	while (link) {
		struct message *message = link->data;

		/* Delivery may free the message. */
		link = link->next;
		message->deliver(message);
	}
	return any;
}
