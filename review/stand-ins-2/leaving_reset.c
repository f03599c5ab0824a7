/*
 * Case 7. A client has several safe requests on one connection: the second one
 * waits in the daemon, as the target of the service asked for a pause, and the
 * third one runs there. Other clients' requests wait as well. The target
 * answers the third request and says that it leaves; at this moment the client
 * gives up and closes its connection. The daemon must live on.
 */
#include <stdio.h>
#include <string.h>

#include "lab.h"

/* Other clients. */
#define CLIENTS 20
#define TRIES_UNTIL_S 25.0
/* Clients whose requests another target runs meanwhile, on kept connections.
 * More than three that end without an answer break the rule. */
#define CARRIED 6
#define CARRIED_LOST_MAX 3
#define WAIT_STEP_S 0.001
#define WAIT_STEPS 2000
/* Requests that let the daemon learn the usual time of a route. */
#define WARM_UP 300

static struct stream others[CLIENTS];
static struct stream carried[CARRIED];
static struct daemon *daemon_under_test;

static void wait_until_reached(const char *id)
{
	int i;

	for (i = 0; i < WAIT_STEPS && !target_of_request(id); i++)
		lab_sleep(WAIT_STEP_S);
}

static void send_others(void)
{
	int i;

	for (i = 0; i < CLIENTS; i++)
		(void)client_send(&others[i], "GET", "/once/other", "other", -1,
				  "");
}

static void read_others(void)
{
	struct message answer;
	unsigned int refused = 0;
	int i;

	for (i = 0; i < CLIENTS; i++) {
		if (!message_read(&others[i], &answer))
			continue;
		refused += answer.status == 503;
		message_clear(&answer);
	}
	lab_record("other clients: %u of %d get 503", refused, CLIENTS);
}

static const char *carried_id(int number, int client, char id[32])
{
	g_snprintf(id, 32, "carried-%d-%d", number, client);
	return id;
}

/* Sends requests that the target i-k1 runs. */
static void send_carried(int number)
{
	char id[32];
	int i;

	for (i = 0; i < CARRIED; i++) {
		plan_request(carried_id(number, i, id), "hold");
		(void)client_send(&carried[i], "GET", "/keyed/carried", id, i,
				  "");
	}
	for (i = 0; i < CARRIED; i++)
		wait_until_reached(carried_id(number, i, id));
}

/* Reads their answers. */
static void read_carried(int number)
{
	struct message answer;
	unsigned int lost = 0;
	char id[32];
	int i;

	for (i = 0; i < CARRIED; i++) {
		plan_finish(carried_id(number, i, id));
		if (message_read(&carried[i], &answer)) {
			message_clear(&answer);
			continue;
		}
		lab_record("client: the connection of %s ends without an "
			   "answer",
			   id);
		lost += runs_of_request(id) > 0;
	}
	if (lost > CARRIED_LOST_MAX)
		lab_broken("LOST: %u requests on kept connections were passed "
			   "on to a sound target and not answered",
			   lost);
}

/* Reads the answers of a client that stays. */
static void read_answers(struct stream *stream, const char *const ids[3])
{
	struct message answer;
	int i;

	for (i = 0; i < 3 && message_read(stream, &answer); i++) {
		lab_record("client: %s gets %d", ids[i], answer.status);
		message_clear(&answer);
	}
}

/* One try: a new target replaces the one before, and leaves at the end. */
static struct target *play(int number, struct target *before)
{
	char id[32], early[32], queued[32], run[32];
	const char *const ids[] = { early, queued, run };
	struct stream stream;
	struct target *target;
	char how[64];
	int i;

	g_snprintf(id, sizeof(id), "i-p%d", number);
	g_snprintf(early, sizeof(early), "early-%d", number);
	g_snprintf(queued, sizeof(queued), "queued-%d", number);
	g_snprintf(run, sizeof(run), "run-%d", number);
	target = target_start(id, "plain", "z1", false);
	lab_sleep(0.2);
	target_drain(before);
	lab_sleep(2.2);
	target_end(before);
	lab_sleep(0.2);
	for (i = 0; i < WARM_UP; i++)
		if (client_get(daemon_under_test, "/once/warm", "warm", -1,
			       NULL) != 200)
			lab_sleep(WAIT_STEP_S);
	send_carried(number);
	plan_request(queued, "queue, pause 0.5");
	plan_request(run, "hold");
	stream_init(&stream, net_connect(daemon_callers(daemon_under_test)));
	client_send(&stream, "GET", "/plain/early", early, -1, "");
	wait_until_reached(early);
	client_send(&stream, "GET", "/plain/queued", queued, -1, "");
	wait_until_reached(queued);
	client_send(&stream, "GET", "/plain/run", run, -1, "");
	wait_until_reached(run);
	plan_finish(queued);
	lab_sleep(0.02);
	send_others();
	lab_sleep(0.05);
	target_say_leaving(target);
	plan_finish(run);
	for (i = 0; i < WAIT_STEPS * 10 && !request_was_answered(run); i++)
		lab_sleep(WAIT_STEP_S / 100);
	if (lab_trouble()) {
		stream_close(&stream, false);
		lab_record("client: gives up and closes its connection");
	} else {
		read_answers(&stream, ids);
		stream_close(&stream, false);
	}
	read_others();
	lab_sleep(0.1);
	if (daemon_ended(daemon_under_test, how))
		lab_record("the daemon has ended: %s", how);
	read_carried(number);
	return target;
}

/* Opens connections, each with a request that is answered. */
static void open_all(struct stream *streams, int count)
{
	struct message answer;
	int i;

	for (i = 0; i < count; i++) {
		stream_init(&streams[i],
			    net_connect(daemon_callers(daemon_under_test)));
		if (!client_send(&streams[i], "GET", "/keyed/open", "open", 0,
				 "") ||
		    !message_read(&streams[i], &answer))
			lab_cannot_run("a client can't connect");
		message_clear(&answer);
	}
}

int main(int argc, char **argv)
{
	struct target *target;
	char how[64];
	int i;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target = target_start("i-p0", "plain", "z1", false);
	target_start("i-k1", "keyed", "z1", true);
	daemons_start(1, true);
	lab_sleep(1);
	daemon_under_test = daemon_at(0);
	open_all(others, CLIENTS);
	open_all(carried, CARRIED);
	for (i = 1; lab_now() < TRIES_UNTIL_S; i++) {
		target = play(i, target);
		if (daemon_ended(daemon_under_test, how))
			break;
	}
	return lab_end();
}
