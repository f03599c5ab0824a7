/*
 * Crowds of callers against a fleet, beside faults and planned work. Guards
 * against a crowd at one daemon that harms the service of others, and against
 * daemons that neglect their other duties: grants to the owners of keys, the
 * lease, the configuration and shutdown.
 */
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "cluster_sender.h"
#include "cluster_stub_upstream.h"
#include "limited_suite.h"

#define VMS 3
/* Callers of a crowd at each daemon that has one. */
#define CALLERS 150
/* A crowd sends again when nothing moved for so long. */
#define STILL_MS 200
/* For how long the crowd goes on beside a fault. */
#define FAULT_US ((gulong)3 * G_USEC_PER_SEC)
/* Time by which a daemon that is stopped, with a grace period of 6 s, has
 * ended. */
#define STOP_WAIT_US ((int64_t)10 * G_USEC_PER_SEC)

/* A crowd on a thread, which connects again when all its connections are
 * closed, until it is stopped. */
struct crowd_thread {
	GThread *thread;
	const char *address;
	/* Set to end the thread. */
	gint stop;
};

/* Where the crowd is. */
enum place {
	/* At a daemon that doesn't lead, at the one that leads, at all, and at
	 * one that starts meanwhile. */
	AT_ONE,
	AT_LEADER,
	AT_ALL,
	AT_STARTING,
};

struct fleet_case {
	const char *name;
	enum place place;
	/* What happens beside the crowd, and what ends it; NULL: nothing. */
	void (*begin)(void);
	void (*end)(void);
};

static const struct sender senders[] = {
	SENDER_IN_PIECES(100),	 SENDER_LARGE_CHUNKS("0\r\n"),
	SENDER_ONE_BYTE_CHUNKS,	 SENDER_ENDLESS_HEAD,
	SENDER_SMALL_CUT_SHORT,	 SENDER_PIPELINED,
	SENDER_WAITING_REQUESTS,
};

static struct crowd_message messages[G_N_ELEMENTS(senders)];
static struct crowd_thread crowds[VMS];
/* The daemon that leads, and one that doesn't. */
static unsigned int leader, other;
static struct stub_upstream *stub;

static gpointer run_crowd(gpointer data)
{
	struct crowd_thread *c = data;

	while (!g_atomic_int_get(&c->stop)) {
		struct crowd *crowd = crowd_create_mixed(
			c->address, CALLERS, messages, G_N_ELEMENTS(messages));

		do {
			crowd_run(crowd, STILL_MS);
		} while (!g_atomic_int_get(&c->stop) && crowd_open(crowd));
		crowd_destroy(crowd);
		/* A daemon that ended refuses connections. */
		g_usleep(G_USEC_PER_SEC / 10);
	}
	return NULL;
}

static void start_crowd(unsigned int vm)
{
	struct crowd_thread *c = &crowds[vm];

	memset(c, 0, sizeof(*c));
	c->address = limited_rig.entries[vm].callers;
	c->thread = g_thread_new("crowd", run_crowd, c);
}

static void stop_crowds(void)
{
	unsigned int i;

	for (i = 0; i < VMS; i++)
		g_atomic_int_set(&crowds[i].stop, 1);
	for (i = 0; i < VMS; i++)
		if (crowds[i].thread)
			g_thread_join(crowds[i].thread);
	memset(crowds, 0, sizeof(crowds));
}

/* Finds the daemon that leads; returns whether there is exactly one. */
static bool find_leader(void *ctx)
{
	unsigned int i, count = 0;

	(void)ctx;
	for (i = 0; i < VMS; i++) {
		struct http_request request = {
			.address = limited_rig.entries[i].metrics,
			.uri = "/metrics",
		};
		struct http_answer *answer = http_send(&request);

		if (strstr(answer->body->str, "\nauburn_leads 1")) {
			leader = i;
			count++;
		}
		http_answer_destroy(answer);
	}
	other = (leader + 1) % VMS;
	return count == 1;
}

static bool serves_plain(void *entry)
{
	return entry_status(entry, "/plain/a", 100) == 200;
}

static bool serves_later_route(void *entry)
{
	return entry_status(entry, "/later/a", 100) == 200;
}

/* Whether an ordinary caller is served by each daemon. */
static void check_service(void)
{
	unsigned int i;

	for (i = 0; i < VMS; i++) {
		struct entry *entry = &limited_rig.entries[i];

		CU_ASSERT_TRUE(
			process_wait_until(serves_plain, entry, RIG_WAIT_US));
		CU_ASSERT_TRUE(process_wait_until(entry_serves_keys, entry,
						  RIG_WAIT_US));
	}
}

static void store_down(void)
{
	entry_rig_command(&limited_rig, "/control/down?id=1", NULL);
}

static void store_up(void)
{
	entry_rig_command(&limited_rig, "/control/down?id=0", NULL);
}

/* Lets one of two upstreams answer late, or end each connection. */
static void replace_upstream(const struct stub_reply *reply)
{
	stub = stub_upstream_start();
	stub_upstream_set_reply(stub, reply);
	entry_rig_command(&limited_rig, "/control/list-at?id=0",
			  stub_upstream_address(stub));
}

static void slow_upstream(void)
{
	static const struct stub_reply reply = { .bytes = "",
						 .delay_ms = 8000 };

	replace_upstream(&reply);
}

static void resetting_upstream(void)
{
	static const struct stub_reply reply = { .bytes = "", .close = true };

	replace_upstream(&reply);
}

static void drain_stub(void)
{
	entry_rig_command(&limited_rig, "/control/drain?id=0", NULL);
}

/* Stops a daemon as the platform does, beside its crowd, and starts it again.
 */
static void planned_stop(void)
{
	struct process *process = limited_rig.entries[other].process;
	int status = -1;

	process_terminate(process);
	CU_ASSERT_TRUE(process_wait_end(process, STOP_WAIT_US, &status));
	CU_ASSERT_TRUE(WIFEXITED(status) && !WEXITSTATUS(status));
	CU_ASSERT_TRUE_FATAL(process_restart(process, NULL));
}

static void new_configuration(void)
{
	unsigned int i;

	limited_put_config(12, "/later/");
	for (i = 0; i < VMS; i++)
		CU_ASSERT_TRUE(process_wait_until(serves_later_route,
						  &limited_rig.entries[i],
						  RIG_WAIT_US));
}

static void lost_vm(void)
{
	struct process *process = limited_rig.entries[leader].process;

	process_kill(process);
	CU_ASSERT_TRUE_FATAL(process_restart(process, NULL));
}

static const struct fleet_case fleet_cases[] = {
	{ "a crowd at one daemon", AT_ONE, NULL, NULL },
	{ "a crowd at the leader", AT_LEADER, NULL, NULL },
	{ "crowds at all daemons", AT_ALL, NULL, NULL },
	{ "a crowd at a daemon that starts", AT_STARTING, NULL, NULL },
	{ "crowds while the store is down", AT_ALL, store_down, store_up },
	{ "crowds while an upstream is slow", AT_ALL, slow_upstream,
	  drain_stub },
	{ "crowds while an upstream resets", AT_ALL, resetting_upstream,
	  drain_stub },
	{ "crowds during a planned stop", AT_ALL, planned_stop, NULL },
	{ "crowds when the leader is lost", AT_ALL, lost_vm, NULL },
	{ "crowds at a change of the configuration", AT_ALL, new_configuration,
	  NULL },
};

/* The next case; suite_run() passes no context. */
static size_t current;

static void start_crowds(enum place place)
{
	unsigned int i;

	CU_ASSERT_TRUE_FATAL(
		process_wait_until(find_leader, NULL, RIG_WAIT_US));
	if (place == AT_STARTING) {
		process_kill(limited_rig.entries[other].process);
		start_crowd(other);
		CU_ASSERT_TRUE_FATAL(process_restart(
			limited_rig.entries[other].process, NULL));
		return;
	}
	for (i = 0; i < VMS; i++)
		if (place == AT_ALL ||
		    i == (place == AT_LEADER ? leader : other))
			start_crowd(i);
}

/* Checks what the upstreams saw, and that the daemons live within their memory.
 */
static void check_fleet(const char *name)
{
	static const char *const never[] = { "double_owners", "repeats",
					     "bodies_missing" };
	unsigned int i;

	for (i = 0; i < G_N_ELEMENTS(never); i++)
		CU_ASSERT_EQUAL(entry_rig_count(&limited_rig, never[i]), 0);
	for (i = 0; i < VMS; i++) {
		CU_ASSERT_TRUE(process_running(limited_rig.entries[i].process));
		CU_ASSERT_TRUE(limited_is_resident_bounded(name, i));
	}
}

static void run_case(void)
{
	const struct fleet_case *c = &fleet_cases[current++];

	CU_ASSERT_TRUE_FATAL(limited_start(VMS));
	start_crowds(c->place);
	g_usleep(FAULT_US);
	if (c->begin) {
		c->begin();
		g_usleep(FAULT_US);
	}
	/* Keys may lack an owner that the store has to confirm. */
	if (c->begin != store_down)
		check_service();
	if (c->end)
		c->end();
	check_service();
	check_fleet(c->name);
	stop_crowds();
	limited_stop();
	if (stub)
		stub_upstream_stop(stub);
	stub = NULL;
}

int main(void)
{
	struct suite_case cases[G_N_ELEMENTS(fleet_cases) + 1] = { 0 };
	int status;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(senders); i++)
		messages[i] = sender_message(&senders[i]);
	for (i = 0; i < G_N_ELEMENTS(fleet_cases); i++) {
		cases[i].name = fleet_cases[i].name;
		cases[i].run = run_case;
	}
	status = suite_run("entry_fleet_crowds", cases);
	for (i = 0; i < G_N_ELEMENTS(senders); i++)
		sender_free_message(&messages[i]);
	return status;
}
