/*
 * Simulates five assigners and two routers, with their real state machines for
 * settings and membership, concurrent changes by operators, and faults of
 * network, table and daemons. Each pair of input bytes is one step.
 */
#include "run.h"

#include <stdlib.h>

#include "fleet.h"
#include "oracle.h"
#include "profile/profile_file.h"
#include "profile/settings.h"
#include "vms.h"

#define ASSIGNERS 5
#define ROUTERS 2
#define DAEMONS (ASSIGNERS + ROUTERS)
/* Simulated time of a step. */
#define STEP_US INT64_C(100000)
/* Longest delay of messages, and of table calls each way. */
#define SHORT_DELAY_US INT64_C(30000)
/* The same of calls to a slow table. */
#define LONG_DELAY_US INT64_C(3000000)
/* Most publishes in progress at once. */
#define PUBLISH_LIMIT 3
/* Most steps with faults; the rest of an input is ignored. */
#define STEP_LIMIT 110

/* A settings file, for a weight. */
static const char settings_template[] =
	"[deployment]\nname = d\n"
	"[zone a]\n[zone b]\n[zone c]\n"
	"[profile p]\nweight = %u\n"
	"[service s]\ntenant = t\nprofile = p\n";

struct world {
	struct fleet *fleet;
	struct oracle *oracle;
	struct vms *vms;
	/* Numbers of publishes started and of steps run. */
	unsigned int attempts;
	uint64_t steps;
};

/* Returns new settings; free them with settings_destroy(). */
static struct settings *declare(unsigned int weight)
{
	char text[256];
	struct settings *s;

	g_snprintf(text, sizeof(text), settings_template, weight + 1);
	s = profile_file_parse("fuzz", str_from(text), NULL);
	if (!s)
		abort();
	return s;
}

/* Publishes an operator's change at an assigner, based on the version that the
 * assigner has. */
static void publish(struct world *w, uint8_t arg)
{
	static const char *const targets[] = { "a", "b", "c", "vm-1" };
	unsigned int at = arg % ASSIGNERS;
	const struct settings_replica *settings_replica =
		fleet_settings_replica(w->fleet, at);
	char attempt[16];
	struct settings *s = NULL;
	struct change change = { 0 };

	if (fleet_frozen_or_killed(w->fleet, at) ||
	    fleet_publishes_running(w->fleet) >= PUBLISH_LIMIT)
		return;
	g_snprintf(attempt, sizeof(attempt), "t%u", w->attempts++);
	change.attempt = str_from(attempt);
	change.author = STR("o");
	change.target = str_from(targets[arg / 8 % 4]);
	change.out = arg & 0x80;
	change.kind = arg / 8 % 4 == 3 ? CHANGE_VM : CHANGE_ZONE;
	if (arg % 8 >= 5 || !settings_replica_version(settings_replica)) {
		s = declare(arg);
		change.kind = CHANGE_DECLARE;
		change.declared = s;
		change.base_version =
			settings_replica_version(settings_replica);
	}
	if (arg == 7) {
		change.kind = CHANGE_ROLLBACK;
		change.to_version = 1;
	}
	fleet_publish(w->fleet, at, &change);
	settings_destroy(s);
}

/* Starts or ends a partition between two daemons. */
static void cut_pair(struct world *w, uint8_t arg)
{
	unsigned int a = arg % DAEMONS, b = arg / DAEMONS % DAEMONS;

	if (a == b)
		return;
	fleet_partition(w->fleet, a, b, arg & 0x80);
	oracle_record_fault(w->oracle);
}

/* Partitions the network; bit i of arg is the side of daemon i. */
static void partition(struct world *w, uint8_t arg)
{
	unsigned int a, b;

	for (a = 0; a < DAEMONS; a++)
		for (b = a + 1; b < DAEMONS; b++)
			fleet_partition(w->fleet, a, b,
					(arg >> a & 1) != (arg >> b & 1));
	oracle_record_fault(w->oracle);
}

static void break_links(struct world *w, uint8_t arg)
{
	fleet_reset_links(w->fleet, arg % DAEMONS, arg / DAEMONS % ASSIGNERS);
	oracle_record_fault(w->oracle);
}

static void freeze(struct world *w, uint8_t arg)
{
	fleet_freeze(w->fleet, arg % DAEMONS,
		     (int64_t)(arg / DAEMONS) * 200000);
	oracle_record_fault(w->oracle);
}

static void kill_daemon(struct world *w, uint8_t arg)
{
	fleet_kill(w->fleet, arg % DAEMONS);
	oracle_record_fault(w->oracle);
}

static void start_daemon(struct world *w, uint8_t arg)
{
	fleet_start(w->fleet, arg % DAEMONS);
}

static void cut_table(struct world *w, uint8_t arg)
{
	fleet_partition_table(w->fleet, arg % DAEMONS, arg & 0x80);
}

static void set_table_outage(struct world *w, uint8_t arg)
{
	fleet_set_table_outage(w->fleet, arg & 1);
}

static void lose_answers(struct world *w, uint8_t arg)
{
	fleet_lose_write_replies(w->fleet, arg & 1);
}

static void slow_table(struct world *w, uint8_t arg)
{
	fleet_set_table_delay(w->fleet,
			      arg & 1 ? LONG_DELAY_US : SHORT_DELAY_US);
}

static void change_vm(struct world *w, uint8_t arg)
{
	vms_change(w->vms, arg);
}

/* Starts all daemons and ends all faults. */
static void heal(struct world *w, uint8_t arg)
{
	unsigned int a, b;

	(void)arg;
	for (a = 0; a < DAEMONS; a++) {
		fleet_start(w->fleet, a);
		fleet_partition_table(w->fleet, a, false);
		fleet_freeze(w->fleet, a, 0);
		for (b = a + 1; b < DAEMONS; b++)
			fleet_partition(w->fleet, a, b, false);
	}
	fleet_set_table_outage(w->fleet, false);
	fleet_lose_write_replies(w->fleet, false);
	fleet_set_table_delay(w->fleet, SHORT_DELAY_US);
}

/* A fault, an operator's change or the end of all faults; arg chooses the
 * details.
 */
typedef void (*action_fn)(struct world *w, uint8_t arg);

/* The first byte of a pair chooses the action; NULL only lets time pass. */
static const action_fn actions[32] = {
	publish,      publish,	 publish,   cut_pair,	      cut_pair,
	partition,    freeze,	 freeze,    kill_daemon,      start_daemon,
	start_daemon, cut_table, cut_table, set_table_outage, lose_answers,
	slow_table,   change_vm, change_vm, change_vm,	      change_vm,
	break_links,  heal,
};

static bool no_rule_violated(const struct world *w)
{
	return !oracle_rule(w->oracle);
}

static void step(struct world *w)
{
	fleet_step(w->fleet, STEP_US);
	vms_step(w->vms, fleet_rng(w->fleet), fleet_now(w->fleet));
	oracle_check(w->oracle);
	w->steps++;
}

/* Ends all faults, waits for publications to end, then checks that the newest
 * version is in force on all daemons. */
static void settle(struct world *w)
{
	int64_t end;

	heal(w, 0);
	end = fleet_now(w->fleet) + PUBLISH_DEADLINE_US + LONG_DELAY_US;
	while (no_rule_violated(w) && fleet_publishes_running(w->fleet) &&
	       fleet_now(w->fleet) < end)
		step(w);
	end = fleet_now(w->fleet) + ORACLE_SETTLED_US;
	while (no_rule_violated(w) && fleet_now(w->fleet) < end)
		step(w);
	oracle_check_settled(w->oracle);
}

struct run_result run_input(const uint8_t *data, size_t size)
{
	struct world w = { .oracle = oracle_create() };
	struct fleet_config config = { .assigners = ASSIGNERS,
				       .routers = ROUTERS,
				       .delay_us = SHORT_DELAY_US,
				       .ops = &oracle_ops,
				       .ctx = w.oracle };
	struct run_result result = { 0 };
	size_t i;

	w.vms = vms_create(w.oracle);
	config.seed = size ? data[0] + 1u : 1;
	w.fleet = fleet_create(&config);
	oracle_watch(w.oracle, w.fleet);
	for (i = 0; i + 1 < size && i / 2 < STEP_LIMIT && no_rule_violated(&w);
	     i += 2) {
		action_fn action = actions[data[i] % G_N_ELEMENTS(actions)];

		if (action)
			action(&w, data[i + 1]);
		step(&w);
	}
	settle(&w);
	result.rule = oracle_rule(w.oracle);
	result.steps = w.steps;
	result.accepted = oracle_accepted(w.oracle);
	result.tolerated = oracle_tolerated(w.oracle);
	fleet_destroy(w.fleet);
	vms_destroy(w.vms);
	oracle_destroy(w.oracle);
	return result;
}
