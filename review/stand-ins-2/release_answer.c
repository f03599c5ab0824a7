/*
 * Case 6. A target sends a second copy of an answer, late, where the answer to
 * the release of its keys is due. The daemon that leads must not take it for
 * the target's answer to the release.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lab.h"

/* Work of the request that runs while its key's target leaves. */
#define LONG_PATH "/keyed/ms-900/long"

static struct daemon *leader;
static int long_key = -1;

static gpointer send_long(gpointer data)
{
	int status;

	(void)data;
	status = client_get(leader, LONG_PATH, "long", long_key, NULL);
	lab_record("client: request long gets %d", status);
	return NULL;
}

/* Finds a second key of the target that has the first one. */
static int other_key_of(struct target *target)
{
	int key;

	for (key = 64; key < LAB_KEYS; key += 512) {
		char id[32];

		g_snprintf(id, sizeof(id), "find-%d", key);
		if (client_get(leader, "/keyed/find", id, key, NULL) == 200 &&
		    target_of_request(id) == target)
			return key;
	}
	lab_cannot_run("no second key of the target");
}

int main(int argc, char **argv)
{
	struct target *target;
	GThread *thread;
	int key = 0;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target_start("i-p1", "plain", "z1", false);
	target_start("i-k1", "keyed", "z1", true);
	target_start("i-k2", "keyed", "z2", true);
	daemons_start(3, true);
	lab_sleep(1);
	leader = daemon_leader();
	if (client_get(leader, "/keyed/first", "first", key, NULL) != 200)
		lab_cannot_run("key %d is not served", key);
	target = target_of_request("first");
	long_key = other_key_of(target);
	lab_record("keys %d and %d are held by %s", key, long_key,
		   target_id(target));
	thread = g_thread_new("long", send_long, NULL);
	lab_sleep(0.2);
	if (lab_trouble())
		target_repeat_next_answer(target);
	lab_record("client: request short gets %d",
		   client_get(leader, "/keyed/short", "short", key, NULL));
	target_drain(target);
	g_thread_join(thread);
	lab_sleep(2);
	return lab_end();
}
