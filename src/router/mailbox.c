#include "router/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

struct mailbox {
	int fd;
	GMutex lock;
	/* Guarded by lock, as all that follows. */
	GThread *owner;
	GQueue messages;
	bool woken;
};

struct mailbox *mailbox_create(void)
{
	struct mailbox *mailbox = g_new0(struct mailbox, 1);

	mailbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	g_mutex_init(&mailbox->lock);
	return mailbox;
}

void mailbox_destroy(struct mailbox *mailbox)
{
	if (!mailbox)
		return;
	close(mailbox->fd);
	g_mutex_clear(&mailbox->lock);
	g_free(mailbox);
}

int mailbox_fd(const struct mailbox *mailbox)
{
	return mailbox->fd;
}

void mailbox_own(struct mailbox *mailbox)
{
	g_mutex_lock(&mailbox->lock);
	mailbox->owner = g_thread_self();
	g_mutex_unlock(&mailbox->lock);
}

void mailbox_send(struct mailbox *mailbox, struct message *message)
{
	bool wake;

	message->link = (GList){ .data = message };
	g_mutex_lock(&mailbox->lock);
	g_queue_push_tail_link(&mailbox->messages, &message->link);
	wake = !mailbox->woken && mailbox->owner != g_thread_self();
	if (wake)
		mailbox->woken = true;
	g_mutex_unlock(&mailbox->lock);
	if (wake)
		eventfd_write(mailbox->fd, 1);
}

static GList *take_all(struct mailbox *mailbox)
{
	eventfd_t count;
	GList *first;

	g_mutex_lock(&mailbox->lock);
	if (mailbox->woken)
		eventfd_read(mailbox->fd, &count);
	mailbox->woken = false;
	first = mailbox->messages.head;
	g_queue_init(&mailbox->messages);
	g_mutex_unlock(&mailbox->lock);
	return first;
}

bool mailbox_deliver(struct mailbox *mailbox)
{
	GList *link = take_all(mailbox);
	bool any = link != NULL;

	while (link) {
		struct message *message = link->data;

		/* Delivery may free the message. */
		link = link->next;
		message->deliver(message);
	}
	return any;
}
