/*
 * Case 8. Clients send bodies in chunks. The last chunk is followed by a
 * trailer field, which HTTP/1.1 allows, and then by the next request on the
 * connection. That request is proper and must not get a 404.
 */
#include <stdio.h>

#include "lab.h"

#define CLIENTS 8
#define PAIRS 10
/* More final 404s than these break the rule: five, and one in 500 requests. */
#define DENIED_MAX 5
#define REQUESTS_PER_DENIED 500

/* Sends a POST with a body in chunks. */
static void send_chunked(const struct stream *stream, const char *id)
{
	GString *out = g_string_new(NULL);
	bool trailer = lab_trouble();

	g_string_printf(out,
			"POST /once/order HTTP/1.1\r\nHost: app.example\r\n"
			"X-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n%s"
			"Transfer-Encoding: chunked\r\n\r\n"
			"5\r\nhello\r\n0\r\n%s\r\n",
			id, trailer ? "Trailer: X-Checksum\r\n" : "",
			trailer ? "X-Checksum: 5d41402a\r\n" : "");
	if (!net_write(stream->fd, out))
		lab_cannot_run("a connection broke");
	g_string_free(out, TRUE);
}

static int read_status(struct stream *stream, const char *id)
{
	struct message answer;
	int status;

	if (!message_read(stream, &answer))
		lab_cannot_run("no answer to %s", id);
	status = answer.status;
	message_clear(&answer);
	lab_record("client: %s gets %d", id, status);
	return status;
}

int main(int argc, char **argv)
{
	unsigned int sent = 0, denied = 0;
	int i, j;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target_start("i-p1", "plain", "z1", false);
	target_start("i-p2", "plain", "z2", false);
	target_start("i-p3", "plain", "z3", false);
	daemons_start(3, false);
	for (i = 0; i < CLIENTS; i++) {
		struct stream stream;
		char id[32];

		stream_init(&stream, net_connect(daemon_callers(
					     daemon_at((unsigned int)i % 3))));
		for (j = 0; j < PAIRS; j++) {
			g_snprintf(id, sizeof(id), "order-%d-%d", i, j);
			send_chunked(&stream, id);
			denied += read_status(&stream, id) == 404;
			g_snprintf(id, sizeof(id), "read-%d-%d", i, j);
			(void)client_send(&stream, "GET", "/plain/read", id, -1,
					  "");
			denied += read_status(&stream, id) == 404;
			sent += 2;
		}
		stream_close(&stream, false);
	}
	lab_record("%u of %u requests get 404", denied, sent);
	if (denied > DENIED_MAX + sent / REQUESTS_PER_DENIED)
		lab_broken("DENIED: %u of %u proper requests get a final 404",
			   denied, sent);
	return lab_end();
}
