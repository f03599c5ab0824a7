#include "entry/datagrams.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"

/* Largest datagram of UDP over IPv4. */
#define DATAGRAM_BYTES 65507

struct datagrams {
	const struct loop *loop;
	int fd;
	ev_io io;
	const struct datagram_ops *ops;
	void *ctx;
};

static void take(struct datagrams *datagrams, const uint8_t *data, size_t len,
		 const struct sockaddr_in *from)
{
	PeerMessage *message = peer_message__unpack(NULL, len, data);

	if (!message) {
		log_warn("peers", "a datagram can't be read");
		return;
	}
	switch (message->kind_case) {
	case PEER_MESSAGE__KIND_BEAT:
		datagrams->ops->beat(datagrams->ctx, message->beat, from);
		break;
	case PEER_MESSAGE__KIND_REPORT:
		datagrams->ops->report(datagrams->ctx, message->report, from);
		break;
	case PEER_MESSAGE__KIND_VM_LOADS:
		datagrams->ops->vm_loads(datagrams->ctx, message->vm_loads);
		break;
	case PEER_MESSAGE__KIND_LEADER_LOADS:
		datagrams->ops->leader_loads(datagrams->ctx,
					     message->leader_loads);
		break;
	default:
		log_warn("peers", "a datagram of kind %d is not known",
			 (int)message->kind_case);
		break;
	}
	peer_message__free_unpacked(message, NULL);
}

static void on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	static uint8_t buf[DATAGRAM_BYTES];
	struct datagrams *datagrams = io->data;

	(void)loop;
	(void)events;
	for (;;) {
		struct sockaddr_in from;
		socklen_t len = sizeof(from);
		ssize_t n =
			recvfrom(datagrams->fd, buf, sizeof(buf), MSG_DONTWAIT,
				 (struct sockaddr *)&from, &len);

		if (n < 0)
			return;
		take(datagrams, buf, (size_t)n, &from);
	}
}

struct datagrams *datagrams_create(const struct loop *loop,
				   const struct sockaddr_in *address,
				   const struct datagram_ops *ops, void *ctx,
				   GError **error)
{
	struct datagrams *datagrams;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 ||
	    bind(fd, (const struct sockaddr *)address, sizeof(*address)) < 0) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "no socket for datagrams: %s", g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	datagrams = g_new0(struct datagrams, 1);
	datagrams->loop = loop;
	datagrams->fd = fd;
	datagrams->ops = ops;
	datagrams->ctx = ctx;
	ev_io_init(&datagrams->io, on_readable, fd, EV_READ);
	datagrams->io.data = datagrams;
	ev_io_start(loop->ev, &datagrams->io);
	return datagrams;
}

void datagrams_destroy(struct datagrams *datagrams)
{
	if (!datagrams)
		return;
	ev_io_stop(datagrams->loop->ev, &datagrams->io);
	close(datagrams->fd);
	g_free(datagrams);
}

void datagrams_send(struct datagrams *datagrams, const struct sockaddr_in *to,
		    const PeerMessage *message)
{
	size_t len = peer_message__get_packed_size(message);
	uint8_t *buf;

	if (len > DATAGRAM_BYTES) {
		log_warn("peers", "a message of %zu bytes fits no datagram",
			 len);
		return;
	}
	buf = g_malloc(len);
	peer_message__pack(message, buf);
	/* A lost datagram is made up for by the next one. */
	(void)sendto(datagrams->fd, buf, len, MSG_DONTWAIT,
		     (const struct sockaddr *)to, sizeof(*to));
	g_free(buf);
}
