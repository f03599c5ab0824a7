/*
 * Case 8. A client sends further safe requests before the first one has been
 * answered, and the daemon gets a SIGTERM. The second request's target answers
 * before the first one's does. A third request, which arrives between these
 * two answers and is passed on to a target, must be answered.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lab.h"

#define CONNECTIONS 3
#define REQUESTS 3
/* Times from the first request, in seconds. */
#define STOP_S 0.1
#define THIRD_S 0.7

static const char *const paths[REQUESTS] = { "/plain/ms-800/a",
					     "/plain/ms-250/b",
					     "/plain/ms-400/c" };

static struct stream streams[CONNECTIONS];

static const char *id_of(int connection, int request, char id[32])
{
	g_snprintf(id, 32, "conn%d-%c", connection, 'a' + request);
	return id;
}

static void send_all(int request)
{
	char id[32];
	int i;

	for (i = 0; i < CONNECTIONS; i++) {
		if (!client_send(&streams[i], "GET", paths[request],
				 id_of(i, request, id), -1, ""))
			lab_cannot_run("connection %d is closed", i);
		lab_record("client: sends %s", id);
	}
}

/* Reads a connection's answers until it ends or all are there. */
static void read_all(int connection)
{
	struct message answer;
	char id[32];
	int i;

	for (i = 0; i < REQUESTS; i++) {
		char *close;

		id_of(connection, i, id);
		if (!message_read(&streams[connection], &answer))
			break;
		close = message_field(&answer, "Connection");
		lab_record("client: %s gets %d, Connection: %s", id,
			   answer.status, *close ? close : "-");
		g_free(close);
		message_clear(&answer);
	}
	for (; i < REQUESTS; i++) {
		id_of(connection, i, id);
		if (runs_of_request(id))
			lab_broken("LOST: the connection ended without an "
				   "answer to %s, which was passed on to a "
				   "target%s",
				   id,
				   request_was_dropped(id)
					   ? " and broken off there"
					   : "");
		else
			lab_record("client: %s is not answered and was not "
				   "passed on",
				   id);
	}
}

int main(int argc, char **argv)
{
	struct daemon *daemon;
	int i;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target_start("i-p1", "plain", "z1", false);
	target_start("i-p2", "plain", "z2", false);
	target_start("i-p3", "plain", "z3", false);
	target_start("i-p4", "plain", "z1", false);
	daemons_start(3, false);
	lab_sleep(1);
	daemon = daemon_at(0);
	for (i = 0; i < CONNECTIONS; i++)
		stream_init(&streams[i], net_connect(daemon_callers(daemon)));
	send_all(0);
	send_all(1);
	lab_sleep(STOP_S);
	if (lab_trouble())
		daemon_signal(daemon, SIGTERM);
	lab_sleep(THIRD_S - STOP_S);
	send_all(2);
	for (i = 0; i < CONNECTIONS; i++)
		read_all(i);
	return lab_end();
}
