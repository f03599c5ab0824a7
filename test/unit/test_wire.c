/*
 * Tests of hubs and links over TCP sockets: messages arrive whole, a broken
 * link is opened again, and malformed frames close the link.
 */
#include <glib.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"
#include "suite.h"
#include "wire/hub.h"

/* Maximum number of rounds, of at least 1 ms each, in run_until(). */
#define ROUNDS_MAX 2000

/* One end of a link: a hub, and what its callbacks received. */
struct side {
	struct hub *hub;
	/* The link that was opened last; NULL after a link was closed. */
	struct link *link;
	/* Number of calls of each callback. */
	unsigned int opened, closed, messages;
	/* Settings version in the last heartbeat received. */
	uint64_t settings_version;
};

static void on_opened(void *ctx, struct link *link, bool outgoing)
{
	struct side *side = ctx;

	(void)outgoing;
	side->link = link;
	side->opened++;
}

static void on_message(void *ctx, struct link *link, const Envelope *message)
{
	struct side *side = ctx;

	(void)link;
	side->messages++;
	if (message->body_case == ENVELOPE__BODY_HEARTBEAT)
		side->settings_version = message->heartbeat->settings_version;
}

static void on_closed(void *ctx, struct link *link)
{
	struct side *side = ctx;

	(void)link;
	side->link = NULL;
	side->closed++;
}

static const struct hub_ops ops = { on_opened, on_message, on_closed };

static void side_start(struct side *side)
{
	memset(side, 0, sizeof(*side));
	side->hub = hub_create(clock_system(), &ops, side);
}

/* Runs both hubs until counter reaches wanted; returns false on timeout. */
static bool run_until(struct side *a, struct side *b,
		      const unsigned int *counter, unsigned int wanted)
{
	int i;

	for (i = 0; i < ROUNDS_MAX && *counter < wanted; i++) {
		hub_run(a->hub);
		hub_run(b->hub);
		g_usleep(1000);
	}
	return *counter >= wanted;
}

/* Listens on a free port of the loopback address.
 *
 * @param bound set to the address */
static void listen_any(struct side *side, struct sockaddr_in *bound)
{
	struct sockaddr_in any;

	address_parse(STR("127.0.0.1:0"), &any);
	CU_ASSERT_TRUE_FATAL(hub_listen(side->hub, &any, bound, NULL));
}

static void send_heartbeat(struct side *side, uint64_t version)
{
	Heartbeat heartbeat = HEARTBEAT__INIT;
	Envelope message = ENVELOPE__INIT;

	heartbeat.settings_version = version;
	message.body_case = ENVELOPE__BODY_HEARTBEAT;
	message.heartbeat = &heartbeat;
	hub_send(side->hub, side->link, &message);
}

static void messages_cross_a_link(void)
{
	struct side server, client;
	struct sockaddr_in bound;

	side_start(&server);
	side_start(&client);
	listen_any(&server, &bound);
	hub_add_peer(client.hub, &bound);
	CU_ASSERT_TRUE_FATAL(run_until(&server, &client, &client.opened, 1));
	send_heartbeat(&client, 7);
	CU_ASSERT_TRUE(run_until(&server, &client, &server.messages, 1));
	CU_ASSERT_EQUAL(server.settings_version, 7);
	hub_destroy(client.hub);
	hub_destroy(server.hub);
}

static void a_broken_link_is_opened_again(void)
{
	struct side server, client;
	struct sockaddr_in bound;

	side_start(&server);
	side_start(&client);
	listen_any(&server, &bound);
	hub_add_peer(client.hub, &bound);
	CU_ASSERT_TRUE_FATAL(run_until(&server, &client, &server.opened, 1));
	shutdown(link_fd(server.link), SHUT_RDWR);
	CU_ASSERT_TRUE(run_until(&server, &client, &server.closed, 1));
	CU_ASSERT_TRUE(run_until(&server, &client, &server.opened, 2));
	hub_destroy(client.hub);
	hub_destroy(server.hub);
}

static void malformed_frames_close_the_link(void)
{
	static const struct {
		const char *bytes;
		size_t len;
	} cases[] = {
		/* A length above LINK_FRAME_MAX_BYTES. */
		{ "\xff\xff\xff\xff", 4 },
		/* A frame that holds no valid Envelope. */
		{ "\x00\x00\x00\x02\xff\xff", 6 },
		/* Another protocol; "GET " reads as a length. */
		{ "GET / HTTP/1.1\r\n\r\n", 18 },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct side server;
		struct sockaddr_in bound;
		int fd;

		side_start(&server);
		listen_any(&server, &bound);
		fd = socket(AF_INET, SOCK_STREAM, 0);
		CU_ASSERT_EQUAL_FATAL(
			connect(fd, (struct sockaddr *)&bound, sizeof(bound)),
			0);
		CU_ASSERT_EQUAL(send(fd, cases[i].bytes, cases[i].len, 0),
				(ssize_t)cases[i].len);
		CU_ASSERT_TRUE(run_until(&server, &server, &server.closed, 1));
		CU_ASSERT_EQUAL(server.messages, 0);
		close(fd);
		hub_destroy(server.hub);
	}
}

/* The message is larger than a socket buffer, so that it is sent and read in
 * parts. */
static void a_large_message_arrives_whole(void)
{
	struct side server, client;
	struct sockaddr_in bound;
	Settings settings = SETTINGS__INIT;
	Envelope message = ENVELOPE__INIT;
	size_t size = 8u << 20;

	side_start(&server);
	side_start(&client);
	listen_any(&server, &bound);
	hub_add_peer(client.hub, &bound);
	CU_ASSERT_TRUE_FATAL(run_until(&server, &client, &client.opened, 1));
	settings.body.data = g_malloc0(size);
	settings.body.len = size;
	message.body_case = ENVELOPE__BODY_SETTINGS;
	message.settings = &settings;
	hub_send(client.hub, client.link, &message);
	CU_ASSERT_TRUE(run_until(&server, &client, &server.messages, 1));
	g_free(settings.body.data);
	hub_destroy(client.hub);
	hub_destroy(server.hub);
}

int main(void)
{
	static const struct suite_case cases[] = {
		{ "messages cross a link", messages_cross_a_link },
		{ "a broken link is opened again",
		  a_broken_link_is_opened_again },
		{ "malformed frames close the link",
		  malformed_frames_close_the_link },
		{ "a large message arrives whole",
		  a_large_message_arrives_whole },
		{ 0 },
	};

	return suite_run("wire", cases);
}
