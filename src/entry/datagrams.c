#include "entry/datagrams.h"

#include <errno.h>
#include <math.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"

/* Largest payload of a UDP datagram over IPv4. */
#define DATAGRAM_BYTES 65507
/* Encoded size of an IPv4 address and port. */
#define RELAY_ADDRESS_BYTES 6
/* With at most this many recipients, the sender sends every copy itself: relays
 * would hardly reduce its traffic. */
#define DIRECT_MAX 16

struct datagrams {
	const struct loop *loop;
	int fd;
	ev_io io;
	const struct datagram_ops *ops;
	void *ctx;
};

/* Forwards a message to the VMs in its relay list, without that list. */
static void relay_message(struct datagrams *datagrams, PeerMessage *message)
{
	ProtobufCBinaryData to = message->relay_to;
	size_t i;

	message->relay_to = (ProtobufCBinaryData){ 0 };
	for (i = 0; i + RELAY_ADDRESS_BYTES <= to.len;
	     i += RELAY_ADDRESS_BYTES) {
		struct sockaddr_in address = { .sin_family = AF_INET };

		memcpy(&address.sin_addr, to.data + i,
		       sizeof(address.sin_addr));
		memcpy(&address.sin_port,
		       to.data + i + sizeof(address.sin_addr),
		       sizeof(address.sin_port));
		datagrams_send(datagrams, &address, message);
	}
	message->relay_to = to;
}

static void handle_datagram(struct datagrams *datagrams, const uint8_t *data,
			    size_t len)
{
	PeerMessage *message = peer_message__unpack(NULL, len, data);

	if (!message) {
		log_warn("peers", "ignored a datagram that can't be decoded");
		return;
	}
	if (message->relay_to.len)
		relay_message(datagrams, message);
	switch (message->kind_case) {
	case PEER_MESSAGE__KIND_BEAT:
		datagrams->ops->heartbeat(datagrams->ctx, message->beat);
		break;
	case PEER_MESSAGE__KIND_REPORT:
		datagrams->ops->vm_report(datagrams->ctx, message->report);
		break;
	case PEER_MESSAGE__KIND_VM_LOADS:
		datagrams->ops->vm_loads(datagrams->ctx, message->vm_loads);
		break;
	case PEER_MESSAGE__KIND_LEADER_LOADS:
		datagrams->ops->leader_loads(datagrams->ctx,
					     message->leader_loads);
		break;
	case PEER_MESSAGE__KIND_ROW_RELAY:
		datagrams->ops->row_relay(datagrams->ctx, message->row_relay);
		break;
	case PEER_MESSAGE__KIND_TABLE_COPY:
		datagrams->ops->table_copy(datagrams->ctx, message->table_copy);
		break;
	default:
		log_warn("peers",
			 "ignored a datagram with a message of unknown kind %d",
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
		ssize_t n = recv(datagrams->fd, buf, sizeof(buf), MSG_DONTWAIT);

		if (n < 0)
			return;
		handle_datagram(datagrams, buf, (size_t)n);
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
			    "cannot open the socket for datagrams of other VMs "
			    "([listen] peers): %s",
			    g_strerror(errno));
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
		log_warn("peers",
			 "a message to another VM was not sent: its %zu bytes "
			 "exceed the size limit of a datagram",
			 len);
		return;
	}
	buf = g_malloc(len);
	peer_message__pack(message, buf);
	/* The next message makes up for a lost datagram. */
	(void)sendto(datagrams->fd, buf, len, MSG_DONTWAIT,
		     (const struct sockaddr *)to, sizeof(*to));
	g_free(buf);
}

/* Puts the addresses (struct sockaddr_in) into a random order. */
static void shuffle(GArray *addresses)
{
	guint i;

	for (i = addresses->len; i > 1; i--) {
		struct sockaddr_in *a =
			&g_array_index(addresses, struct sockaddr_in, i - 1);
		struct sockaddr_in *b =
			&g_array_index(addresses, struct sockaddr_in,
				       g_random_int_range(0, (gint32)i));
		struct sockaddr_in swapped = *a;

		*a = *b;
		*b = swapped;
	}
}

static void append_relay_address(GByteArray *list,
				 const struct sockaddr_in *address)
{
	g_byte_array_append(list, (const guint8 *)&address->sin_addr,
			    sizeof(address->sin_addr));
	g_byte_array_append(list, (const guint8 *)&address->sin_port,
			    sizeof(address->sin_port));
}

void datagrams_broadcast(struct datagrams *datagrams, GArray *to,
			 PeerMessage *message)
{
	/* With about sqrt(n) relays, no VM sends more than about sqrt(n)
	 * copies.
	 */
	guint relays =
		to->len <= DIRECT_MAX ? to->len : (guint)ceil(sqrt(to->len));
	GByteArray *list = g_byte_array_new();
	guint i, next;

	shuffle(to);
	for (i = 0; i < relays; i++) {
		g_byte_array_set_size(list, 0);
		for (next = i + relays; next < to->len; next += relays)
			append_relay_address(
				list,
				&g_array_index(to, struct sockaddr_in, next));
		message->relay_to.data = list->data;
		message->relay_to.len = list->len;
		datagrams_send(datagrams,
			       &g_array_index(to, struct sockaddr_in, i),
			       message);
	}
	message->relay_to = (ProtobufCBinaryData){ 0 };
	g_byte_array_free(list, TRUE);
}
