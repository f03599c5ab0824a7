#include "entry/datagrams.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/error.h"
#include "base/log.h"
#include "wire/message_meter.h"

/* Largest payload of a UDP datagram over IPv4. */
#define DATAGRAM_BYTES 65507

struct datagrams {
	const struct loop *loop;
	int fd;
	ev_io io;
	const struct datagram_ops *ops;
	void *ctx;
	/** Zone of this VM. */
	char *zone;
	/** Draws the relays of broadcasts. */
	GRand *random;
	struct message_meter *meter;
};

/* Returns the size of the datagram in bytes; 0: it is too large. */
static size_t send_message(struct datagrams *datagrams,
			   const struct sockaddr_in *to, bool other_zone,
			   const PeerMessage *message)
{
	size_t len = peer_message__get_packed_size(message);
	uint8_t *buf;

	if (len > DATAGRAM_BYTES) {
		log_warn("peers",
			 "a message to another VM was not sent: its %zu bytes "
			 "exceed the size limit of a datagram",
			 len);
		return 0;
	}
	buf = g_malloc(len);
	peer_message__pack(message, buf);
	/* The next message makes up for a lost datagram. */
	(void)sendto(datagrams->fd, buf, len, MSG_DONTWAIT,
		     (const struct sockaddr *)to, sizeof(*to));
	message_meter_sent(datagrams->meter, message->kind_case, len,
			   other_zone);
	g_free(buf);
	return len;
}

void datagrams_send(struct datagrams *datagrams, const struct sockaddr_in *to,
		    const char *zone, const PeerMessage *message)
{
	bool other_zone = !*zone || strcmp(zone, datagrams->zone) != 0;

	send_message(datagrams, to, other_zone, message);
}

/* A message that is sent in several copies. */
struct copies {
	struct datagrams *datagrams;
	PeerMessage *message;
	/** Bytes sent so far. */
	size_t bytes;
};

/* Sends a copy of a message with its relay list. */
static void send_copy(void *ctx, const struct fanout_copy *copy)
{
	struct copies *copies = ctx;
	PeerMessage *message = copies->message;

	message->relay_to.data = (uint8_t *)copy->relay_to;
	message->relay_to.len = copy->relay_to_len;
	message->relay_width = copy->relay_to_len ? copy->width : 0;
	copies->bytes += send_message(copies->datagrams, copy->to,
				      copy->other_zone, message);
	message->relay_to = (ProtobufCBinaryData){ 0 };
	message->relay_width = 0;
}

/* Forwards a message to the VMs in its relay list. */
static void relay_message(struct datagrams *datagrams, PeerMessage *message)
{
	struct copies copies = { datagrams, message, 0 };
	ProtobufCBinaryData to = message->relay_to;

	fanout_relay(to.data, to.len, message->relay_width, send_copy, &copies);
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
	message_meter_received(datagrams->meter, message->kind_case, len);
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
	case PEER_MESSAGE__KIND_LOAD_INDEX:
		datagrams->ops->load_index(datagrams->ctx, message->load_index);
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

struct datagrams *datagrams_create(const struct datagrams_options *options,
				   GError **error)
{
	struct datagrams *datagrams;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (const struct sockaddr *)options->address,
			   sizeof(*options->address)) < 0) {
		g_set_error(error, AUBURN_ERROR, AUBURN_ERROR_UNAVAILABLE,
			    "cannot open the socket for datagrams of other VMs "
			    "([listen] peers): %s",
			    g_strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	datagrams = g_new0(struct datagrams, 1);
	datagrams->loop = options->loop;
	datagrams->fd = fd;
	datagrams->zone = g_strdup(options->zone);
	datagrams->random = g_rand_new();
	datagrams->meter = message_meter_create(options->metrics);
	datagrams->ops = options->ops;
	datagrams->ctx = options->ctx;
	ev_io_init(&datagrams->io, on_readable, fd, EV_READ);
	datagrams->io.data = datagrams;
	ev_io_start(options->loop->ev, &datagrams->io);
	return datagrams;
}

void datagrams_destroy(struct datagrams *datagrams)
{
	if (!datagrams)
		return;
	ev_io_stop(datagrams->loop->ev, &datagrams->io);
	close(datagrams->fd);
	g_free(datagrams->zone);
	g_rand_free(datagrams->random);
	message_meter_destroy(datagrams->meter);
	g_free(datagrams);
}

size_t datagrams_broadcast(struct datagrams *datagrams, GArray *to,
			   enum fanout_way way, PeerMessage *message)
{
	struct copies sent = { datagrams, message, 0 };
	struct fanout_plan plan = {
		.zone = datagrams->zone,
		.way = way,
		.random = datagrams->random,
	};

	fanout_send(&plan, to, send_copy, &sent);
	return sent.bytes;
}
