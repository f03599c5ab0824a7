#include "cluster_crowd.h"

#include <errno.h>
#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"

/* Most bytes that a caller sends in its turn. */
#define TURN_BYTES ((size_t)64 << 10)
/* Receive buffer of a caller that doesn't read. */
#define SMALL_BUFFER 4096

struct caller {
	int fd;
	const struct crowd_message *message;
	/** Number of bytes sent. */
	uint64_t sent;
	/** The first bytes received, and their number. */
	char status_line[16];
	size_t received;
};

struct crowd {
	struct caller *callers;
	struct pollfd *polls;
	unsigned int count;
};

static int connect_caller(const char *address, bool small_buffer)
{
	struct sockaddr_in server;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int size = SMALL_BUFFER;

	if (fd < 0 || !address_parse(str_from(address), &server))
		g_error("can't open a socket for %s", address);
	if (small_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	/* The server may refuse connections beyond its limit. */
	if (connect(fd, (struct sockaddr *)&server, sizeof(server)) < 0) {
		close(fd);
		return -1;
	}
	return fd;
}

static struct crowd *crowd_alloc(unsigned int callers)
{
	struct crowd *crowd = g_new0(struct crowd, 1);

	crowd->count = callers;
	crowd->callers = g_new0(struct caller, callers);
	crowd->polls = g_new0(struct pollfd, callers);
	return crowd;
}

static void caller_open(struct caller *c, const char *address,
			const struct crowd_message *message)
{
	c->message = message;
	c->fd = connect_caller(address, message->no_read);
}

struct crowd *crowd_create(const char *address, unsigned int callers,
			   const struct crowd_message *message,
			   const struct crowd_message *eighth)
{
	struct crowd *crowd = crowd_alloc(callers);
	unsigned int i;

	for (i = 0; i < callers; i++)
		caller_open(&crowd->callers[i], address,
			    eighth && i % 8 == 7 ? eighth : message);
	return crowd;
}

struct crowd *crowd_create_mixed(const char *address, unsigned int callers,
				 const struct crowd_message *messages,
				 unsigned int message_count)
{
	struct crowd *crowd = crowd_alloc(callers);
	unsigned int i;

	for (i = 0; i < callers; i++)
		caller_open(&crowd->callers[i], address,
			    &messages[i % message_count]);
	return crowd;
}

static void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

/* Finds the bytes that are to be sent next.
 *
 * @return their number; 0: everything is sent */
static size_t next_bytes(const struct caller *c, const char **bytes)
{
	const struct crowd_message *m = c->message;
	size_t head_len = m->head ? strlen(m->head) : 0;
	size_t tail_len = m->tail ? strlen(m->tail) : 0;
	uint64_t heads_len = (uint64_t)head_len * m->heads;
	uint64_t at = c->sent;

	if (at < heads_len) {
		*bytes = m->head + at % head_len;
		return head_len - at % head_len;
	}
	at -= heads_len;
	if (at < m->block_bytes) {
		*bytes = m->block + at % m->block_len;
		return (size_t)MIN(m->block_len - at % m->block_len,
				   m->block_bytes - at);
	}
	at -= m->block_bytes;
	*bytes = m->tail ? m->tail + at : NULL;
	return tail_len - (size_t)at;
}

/* Sends what the socket takes in one turn. */
static void caller_send(struct caller *c)
{
	size_t most =
		c->message->piece_len ? c->message->piece_len : TURN_BYTES;
	size_t turn = 0;

	while (turn < most) {
		const char *bytes;
		size_t len = next_bytes(c, &bytes);
		ssize_t n;

		if (!len)
			return;
		n = send(c->fd, bytes, MIN(len, most - turn),
			 MSG_DONTWAIT | MSG_NOSIGNAL);
		if (n < 0) {
			if (errno != EAGAIN && errno != EINTR)
				caller_close(c);
			return;
		}
		c->sent += (uint64_t)n;
		turn += (size_t)n;
	}
}

static void caller_read(struct caller *c)
{
	char buf[16384];
	ssize_t n = recv(c->fd, buf, sizeof(buf), MSG_DONTWAIT);
	size_t copied;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		caller_close(c);
		return;
	}
	copied = MIN((size_t)n,
		     sizeof(c->status_line) - 1 -
			     MIN(c->received, sizeof(c->status_line) - 1));
	memcpy(c->status_line + MIN(c->received, sizeof(c->status_line) - 1),
	       buf, copied);
	c->received += (size_t)n;
}

static short wanted_events(const struct caller *c)
{
	const char *bytes;

	if (c->fd < 0)
		return 0;
	return (short)((c->message->no_read ? 0 : POLLIN) |
		       (next_bytes(c, &bytes) ? POLLOUT : 0));
}

/* Fills the array of poll(); returns whether a caller has bytes to send. */
static bool prepare_polls(struct crowd *crowd)
{
	bool sending = false;
	unsigned int i;

	for (i = 0; i < crowd->count; i++) {
		const struct caller *c = &crowd->callers[i];

		crowd->polls[i].fd = c->fd;
		crowd->polls[i].events = wanted_events(c);
		if (c->fd >= 0 && crowd->polls[i].events & POLLOUT)
			sending = true;
	}
	return sending;
}

void crowd_run(struct crowd *crowd, int idle_ms)
{
	unsigned int i;

	while (prepare_polls(crowd)) {
		if (poll(crowd->polls, crowd->count, idle_ms) <= 0)
			return;
		for (i = 0; i < crowd->count; i++) {
			struct caller *c = &crowd->callers[i];
			short events = crowd->polls[i].revents;

			if (c->fd >= 0 && events & POLLOUT)
				caller_send(c);
			if (c->fd >= 0 && events & (POLLIN | POLLERR | POLLHUP))
				caller_read(c);
		}
	}
	/* Responses that came meanwhile. */
	while (poll(crowd->polls, crowd->count, idle_ms) > 0) {
		for (i = 0; i < crowd->count; i++) {
			struct caller *c = &crowd->callers[i];

			if (c->fd >= 0 && crowd->polls[i].revents)
				caller_read(c);
		}
		prepare_polls(crowd);
	}
}

unsigned int crowd_open(const struct crowd *crowd)
{
	unsigned int i, open = 0;

	for (i = 0; i < crowd->count; i++)
		open += crowd->callers[i].fd >= 0;
	return open;
}

uint64_t crowd_sent_bytes(const struct crowd *crowd)
{
	uint64_t sum = 0;
	unsigned int i;

	for (i = 0; i < crowd->count; i++)
		sum += crowd->callers[i].sent;
	return sum;
}

unsigned int crowd_status_count(const struct crowd *crowd, unsigned int status)
{
	unsigned int i, count = 0;

	for (i = 0; i < crowd->count; i++)
		count += crowd_status(crowd, i) == status;
	return count;
}

unsigned int crowd_status(const struct crowd *crowd, unsigned int caller)
{
	const char *line = crowd->callers[caller].status_line;

	return g_str_has_prefix(line, "HTTP/1.1 ")
		       ? (unsigned int)g_ascii_strtoull(line + 9, NULL, 10)
		       : 0;
}

void crowd_destroy(struct crowd *crowd)
{
	unsigned int i;

	for (i = 0; i < crowd->count; i++)
		caller_close(&crowd->callers[i]);
	g_free(crowd->callers);
	g_free(crowd->polls);
	g_free(crowd);
}
