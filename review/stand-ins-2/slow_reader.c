/*
 * Case 7. Clients have two safe requests on a kept connection: a download, and
 * one behind it. They stop reading for a while, as on a poor link, and read on
 * within their deadline. Both answers are ready and must come whole.
 */
#include <stdio.h>

#include "lab.h"

#define CLIENTS 5
/* More requests than these that end without an answer break the rule. */
#define LOST_MAX 3
/* How long the clients don't read, in seconds; their deadline is 3 s. */
#define STALL_S 2.7
#define DEADLINE_S 3.0

/* Reads an answer; returns whether it came whole. */
static bool read_whole(struct stream *stream, const char *id, double sent_s)
{
	struct message answer;

	if (!message_read(stream, &answer)) {
		lab_record("client: %s: the connection ends %.3f s after the "
			   "request, after %zu bytes of this answer",
			   id, lab_now() - sent_s, stream->in->len);
		return false;
	}
	lab_record("client: %s gets %d and %zu bytes, %.3f s after the request",
		   id, answer.status, answer.body->len, lab_now() - sent_s);
	message_clear(&answer);
	return true;
}

int main(int argc, char **argv)
{
	struct stream streams[CLIENTS];
	char download[CLIENTS][32], behind[CLIENTS][32];
	unsigned int lost = 0;
	double sent_s;
	int i;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target_start("i-p1", "plain", "z1", false);
	target_start("i-p2", "plain", "z2", false);
	target_start("i-p3", "plain", "z3", false);
	daemons_start(3, false);
	for (i = 0; i < CLIENTS; i++) {
		g_snprintf(download[i], 32, "download-%d", i);
		g_snprintf(behind[i], 32, "behind-%d", i);
		stream_init(&streams[i], net_connect(daemon_callers(daemon_at(
						 (unsigned int)i % 3))));
		if (!client_send(&streams[i], "GET", "/plain/first", "first",
				 -1, "") ||
		    !read_whole(&streams[i], "first", lab_now()))
			lab_cannot_run("client %d is not served", i);
	}
	sent_s = lab_now();
	for (i = 0; i < CLIENTS; i++)
		(void)(client_send(&streams[i], "GET", "/plain/big/a",
				   download[i], -1, "") &&
		       client_send(&streams[i], "GET", "/plain/b", behind[i],
				   -1, ""));
	if (lab_trouble())
		lab_sleep(STALL_S);
	for (i = 0; i < CLIENTS; i++) {
		(void)read_whole(&streams[i], download[i], sent_s);
		if (!read_whole(&streams[i], behind[i], sent_s) &&
		    runs_of_request(behind[i]))
			lost++;
	}
	if (lab_now() > sent_s + DEADLINE_S)
		lab_cannot_run("the clients took longer than their deadline");
	if (lost > LOST_MAX)
		lab_broken("LOST: %u requests on kept connections were passed "
			   "on to a sound target and got no answer",
			   lost);
	return lab_end();
}
