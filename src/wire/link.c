#include "wire/link.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "wire/socket.h"

/* Size of the length that precedes each message. */
#define LENGTH_BYTES 4u
/* Maximum number of bytes received at a time. */
#define READ_CHUNK_BYTES (64u << 10)

struct link {
	int fd;
	/* Received bytes that don't make up a complete frame yet. */
	GByteArray *in;
	/* Queue of frames to send. */
	GByteArray *out;
	/* Number of bytes at the start of out that were written already. */
	size_t out_done;
	/* Number of bytes, as in link_counts(). */
	uint64_t sent, received;
	/* The user's pointer, as in link_data(). */
	void *data;
};

static struct link *link_create(int fd)
{
	struct link *link = g_new0(struct link, 1);

	link->fd = fd;
	link->in = g_byte_array_new();
	link->out = g_byte_array_new();
	return link;
}

struct link *link_connect(const struct sockaddr_in *addr)
{
	int fd = socket_connect(addr);

	return fd < 0 ? NULL : link_create(fd);
}

struct link *link_accepted(int fd)
{
	return link_create(fd);
}

void link_destroy(struct link *link)
{
	if (!link)
		return;
	close(link->fd);
	g_byte_array_free(link->in, TRUE);
	g_byte_array_free(link->out, TRUE);
	g_free(link);
}

int link_fd(const struct link *link)
{
	return link->fd;
}

bool link_wants_write(const struct link *link)
{
	return link->out->len > link->out_done;
}

/* Writes as much of the queue as the socket accepts.
 *
 * @return false when the connection is closed or failed */
static bool flush(struct link *link)
{
	ssize_t n;

	while (link_wants_write(link)) {
		n = socket_write(link->fd, link->out->data + link->out_done,
				 link->out->len - link->out_done);
		if (n == SOCKET_AGAIN)
			return true;
		if (n < 0)
			return false;
		link->out_done += (size_t)n;
		link->sent += (uint64_t)n;
	}
	g_byte_array_set_size(link->out, 0);
	link->out_done = 0;
	return true;
}

bool link_send(struct link *link, const Envelope *message)
{
	size_t size = envelope__get_packed_size(message);
	uint32_t length = htonl((uint32_t)size);
	guint at = link->out->len;

	if (size > LINK_FRAME_MAX_BYTES ||
	    link->out->len - link->out_done + size > LINK_QUEUE_MAX_BYTES)
		return false;
	g_byte_array_set_size(link->out, at + LENGTH_BYTES + (guint)size);
	memcpy(link->out->data + at, &length, LENGTH_BYTES);
	envelope__pack(message, link->out->data + at + LENGTH_BYTES);
	return flush(link);
}

/* Passes complete messages to on_message.
 *
 * @return false on a malformed frame */
static bool deliver(struct link *link, link_message_fn on_message, void *ctx)
{
	size_t at = 0;
	uint32_t length;
	Envelope *message;

	while (link->in->len - at >= LENGTH_BYTES) {
		memcpy(&length, link->in->data + at, LENGTH_BYTES);
		length = ntohl(length);
		if (length > LINK_FRAME_MAX_BYTES)
			return false;
		if (link->in->len - at - LENGTH_BYTES < length)
			break;
		message = envelope__unpack(NULL, length,
					   link->in->data + at + LENGTH_BYTES);
		if (!message)
			return false;
		on_message(ctx, link, message);
		envelope__free_unpacked(message, NULL);
		at += LENGTH_BYTES + length;
	}
	if (at)
		g_byte_array_remove_range(link->in, 0, (guint)at);
	return true;
}

bool link_run(struct link *link, link_message_fn on_message, void *ctx)
{
	uint8_t buf[READ_CHUNK_BYTES];
	ssize_t n;

	if (!flush(link))
		return false;
	while ((n = socket_read(link->fd, buf, sizeof(buf))) > 0) {
		link->received += (uint64_t)n;
		g_byte_array_append(link->in, buf, (guint)n);
		if (!deliver(link, on_message, ctx))
			return false;
	}
	return n == SOCKET_AGAIN;
}

void link_counts(const struct link *link, uint64_t *sent, uint64_t *received)
{
	*sent = link->sent;
	*received = link->received;
}

void *link_data(const struct link *link)
{
	return link->data;
}

void link_set_data(struct link *link, void *data)
{
	link->data = data;
}
