/*
 * Case 6. The store has an entry of another writer: its service isn't named in
 * the configuration, its address is that of a target that holds keys. Then that
 * target is partitioned from the store while requests still reach it. Its keys
 * must not go to another target before it gave them back or its hold ran out.
 */
#include <stdio.h>
#include <string.h>

#include "lab.h"

/* How long after the start of the partition the case goes on, in seconds. */
#define WATCH_S 8.0

/* Writes the foreign entry, which is newer than the target's start. */
static void put_foreign_entry(const struct target *target)
{
	char *json = g_strdup_printf(
		"{\"service\":\"inventory\",\"address\":\"%s\",\"zone\":\"z1\","
		"\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
		"\"cold_left_s\":0.0,\"seq\":1,\"born\":%" G_GINT64_FORMAT "}",
		target_address(target), target_born(target) + 1000);

	store_put("servers", "x-foreign", json);
	lab_record("another writer puts an entry of the service inventory with "
		   "the address of %s",
		   target_id(target));
	g_free(json);
}

int main(int argc, char **argv)
{
	struct daemon *leader;
	struct target *target;
	double until;
	int i;

	lab_begin(argc > 1 ? argv[1] : ".");
	store_start();
	config_put();
	target_start("i-p1", "plain", "z1", false);
	target_start("i-k1", "keyed", "z1", true);
	target_start("i-k2", "keyed", "z2", true);
	daemons_start(3, true);
	lab_sleep(1);
	leader = daemon_leader();
	if (client_get(leader, "/keyed/first", "first", 0, NULL) != 200)
		lab_cannot_run("key 0 is not served");
	target = target_of_request("first");
	put_foreign_entry(target);
	lab_sleep(1);
	if (lab_trouble())
		target_cut(target);
	until = lab_now() + WATCH_S;
	for (i = 0; lab_now() < until; i++) {
		char id[32];

		g_snprintf(id, sizeof(id), "get-%d", i);
		lab_record("client: request %s gets %d", id,
			   client_get(leader, "/keyed/get", id, 0, NULL));
		lab_sleep(0.2);
	}
	return lab_end();
}
