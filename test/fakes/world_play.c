#include "world_play.h"

#include <stdio.h>

/** Most commands that are run from one input, and the bytes of each. */
#define MAX_COMMANDS 250
#define COMMAND_BYTES 3
/** Bytes at the start of an input that set the configuration. */
#define HEADER_BYTES 4
/** Every key must be served within this time after the faults end. */
#define RECOVERY_US (3 * US_PER_SECOND)
/** Longest time for which a command freezes or kills a process. */
#define PAUSE_MAX_US (2600 * US_PER_MS)
/** Microseconds of n milliseconds. */
#define MS(n) ((int64_t)(n)*US_PER_MS)

/* One run of an input. */
struct play {
	struct world *w;
	struct world_config config;
};

static size_t daemon_of(const struct play *p, uint8_t x)
{
	return x % p->config.daemons;
}

static size_t upstream_of(const struct play *p, uint8_t x)
{
	return x % p->config.upstreams;
}

/* Chooses the daemon that a command acts on: the leader if bit 7 of x is set
 * and there is a leader, otherwise by x. */
static size_t choose_daemon(const struct play *p, uint8_t x)
{
	int leader = world_leader(p->w);

	if (leader >= 0 && (x & 0x80))
		return (size_t)leader;
	return daemon_of(p, x);
}

/* The commands. x and y are the two bytes that follow the command byte. */

static void wait_short(struct play *p, uint8_t x, uint8_t y)
{
	(void)y;
	world_run(p->w, MS(x % 32));
}

static void wait_long(struct play *p, uint8_t x, uint8_t y)
{
	(void)y;
	world_run(p->w, MS(x * 2));
}

static void cut_upstream(struct play *p, uint8_t x, uint8_t y)
{
	world_partition_upstream(p->w, choose_daemon(p, x), upstream_of(p, y),
				 y & 0x80);
}

static void cut_peers(struct play *p, uint8_t x, uint8_t y)
{
	world_partition_peers(p->w, daemon_of(p, x), daemon_of(p, y), y & 0x80);
}

static void freeze_daemon(struct play *p, uint8_t x, uint8_t y)
{
	if (!p->config.unfenced)
		world_freeze_daemon(p->w, choose_daemon(p, x), MS(y * 10));
}

static void freeze_upstream(struct play *p, uint8_t x, uint8_t y)
{
	if (!p->config.unfenced)
		world_freeze_upstream(p->w, upstream_of(p, x), MS(y * 10));
}

static void kill_daemon(struct play *p, uint8_t x, uint8_t y)
{
	world_kill_daemon(p->w, choose_daemon(p, x), MS(20 + y * 8));
}

static void kill_upstream(struct play *p, uint8_t x, uint8_t y)
{
	world_kill_upstream(p->w, upstream_of(p, x), MS(5 + y * 8));
}

static void table_outage(struct play *p, uint8_t x, uint8_t y)
{
	if (y & 1)
		world_set_table_outage(p->w, x & 0x80);
	else
		world_partition_table(p->w, choose_daemon(p, x), y & 0x80);
}

static void table_slow(struct play *p, uint8_t x, uint8_t y)
{
	world_table_slow(p->w, y & 1 ? MS(x * 4) : 0);
}

static void table_faults(struct play *p, uint8_t x, uint8_t y)
{
	world_table_faults(p->w, x % 100, y % 100);
}

static void network(struct play *p, uint8_t x, uint8_t y)
{
	if (p->config.unfenced)
		world_network(p->w, x % 8, 0, MS(y % 8));
	else
		world_network(p->w, x % 16, y % 32,
			      y & 0x80 ? MS(x * 12) : MS(x % 8));
}

static void zone_out(struct play *p, uint8_t x, uint8_t y)
{
	world_zone_out(p->w, x % WORLD_ZONES, y & 1);
}

static void leaving(struct play *p, uint8_t x, uint8_t y)
{
	if (y & 2)
		world_set_leaving(p->w, upstream_of(p, x), y & 1);
	else
		world_set_listed(p->w, upstream_of(p, x), y & 1);
}

static void drift(struct play *p, uint8_t x, uint8_t y)
{
	int ppm = ((int)y - 128) * (WORLD_MAX_DRIFT_PPM / 127);

	if (x & 0x40)
		world_drift_daemon(p->w, choose_daemon(p, x), ppm);
	else
		world_drift_upstream(p->w, upstream_of(p, x), ppm);
}

/* Partitions the cell in two: the bits of x select the side of each daemon, the
 * bits of y that of each upstream. */
static void partition(struct play *p, uint8_t x, uint8_t y)
{
	size_t d, e, u;

	for (d = 0; d < p->config.daemons; d++) {
		for (u = 0; u < p->config.upstreams; u++)
			world_partition_upstream(p->w, d, u,
						 ((x >> d) ^ (y >> u)) & 1);
		for (e = 0; e < d; e++)
			world_partition_peers(p->w, d, e,
					      ((x >> d) ^ (x >> e)) & 1);
	}
}

/* Partitions the leader from its peers and from all upstreams but those whose
 * bits are set in y; if bit 0 of x is set, also from the table. */
static void isolate_leader(struct play *p, uint8_t x, uint8_t y)
{
	size_t d = choose_daemon(p, 0x80), i;

	for (i = 0; i < p->config.upstreams; i++)
		world_partition_upstream(p->w, d, i, !((y >> i) & 1));
	for (i = 0; i < p->config.daemons; i++)
		if (i != d)
			world_partition_peers(p->w, d, i, true);
	world_partition_table(p->w, d, x & 1);
}

/* Partitions an upstream from all daemons after slowing its clock, by which its
 * grant expires late. */
static void lose_slow_owner(struct play *p, uint8_t x, uint8_t y)
{
	size_t u = upstream_of(p, x), d;

	if (p->config.unfenced)
		return;
	world_drift_upstream(p->w, u, -WORLD_MAX_DRIFT_PPM);
	world_run(p->w, MS(y));
	for (d = 0; d < p->config.daemons; d++)
		world_partition_upstream(p->w, d, u, true);
	world_run(p->w, MS(900 + y));
}

/* Isolates the leader, except from one upstream that every daemon reaches and
 * that restarts in a loop. */
static void crash_loop(struct play *p, uint8_t x, uint8_t y)
{
	size_t shared = upstream_of(p, x), d;
	int i;

	if (p->config.unfenced)
		return;
	isolate_leader(p, x, y);
	for (d = 0; d < p->config.daemons; d++)
		world_partition_upstream(p->w, d, shared, false);
	for (i = 0; i < 20; i++) {
		world_kill_upstream(p->w, shared, MS(2));
		world_run(p->w, MS(60 + y % 64));
	}
}

/* Changes a zone's state, which starts a new epoch, then restarts processes
 * that know this epoch while the table is down. */
static void forget_epoch(struct play *p, uint8_t x, uint8_t y)
{
	size_t i, d = choose_daemon(p, 0x80);

	world_zone_out(p->w, x % WORLD_ZONES, y & 1);
	world_run(p->w, MS(700));
	world_set_table_outage(p->w, true);
	for (i = 0; i < p->config.upstreams; i++)
		if ((y >> i) & 1)
			world_kill_upstream(p->w, i, MS(5));
	if (x & 0x80)
		world_kill_daemon(p->w, d, MS(100));
	world_run(p->w, MS(700 + x * 4));
}

static void hand_over(struct play *p, uint8_t x, uint8_t y)
{
	(void)y;
	world_hand_over(p->w, choose_daemon(p, x));
}

static void heal(struct play *p, uint8_t x, uint8_t y)
{
	(void)y;
	world_clear_faults(p->w);
	world_run(p->w, MS(x * 4));
}

struct command {
	void (*run)(struct play *p, uint8_t x, uint8_t y);
	/** Number of consecutive values of the command byte that select this
	 * command; the list repeats after its last command. */
	unsigned int weight;
};

static const struct command commands[] = {
	{ wait_short, 67 }, { wait_long, 11 },	   { cut_upstream, 10 },
	{ cut_peers, 5 },   { freeze_daemon, 6 },  { freeze_upstream, 6 },
	{ kill_daemon, 3 }, { kill_upstream, 4 },  { table_outage, 6 },
	{ table_slow, 3 },  { table_faults, 4 },   { network, 5 },
	{ zone_out, 8 },    { leaving, 5 },	   { drift, 8 },
	{ partition, 3 },   { isolate_leader, 3 }, { lose_slow_owner, 2 },
	{ crash_loop, 1 },  { forget_epoch, 2 },   { hand_over, 3 },
	{ heal, 4 },
};

static void run_command(struct play *p, const uint8_t *bytes)
{
	unsigned int pick = bytes[0];
	size_t i = 0;

	while (pick >= commands[i].weight) {
		pick -= commands[i].weight;
		i = (i + 1) % G_N_ELEMENTS(commands);
	}
	commands[i].run(p, bytes[1], bytes[2]);
}

/* Ends the faults and measures the time until every key is served. Then waits
 * until the last frozen or killed process must run again, and checks that every
 * key is served RECOVERY_US later at the latest. */
static void stop_faults(struct play *p, struct play_result *result)
{
	int64_t begun = world_now_us(p->w);

	world_clear_faults(p->w);
	world_run_until_served(p->w, PAUSE_MAX_US + RECOVERY_US);
	result->recovery_us = world_now_us(p->w) - begun;
	/* Processes that resume or restart later must not undo the recovery. */
	world_run(p->w, PAUSE_MAX_US);
	if (!world_run_until_served(p->w, RECOVERY_US) &&
	    !world_violation(p->w))
		g_snprintf(
			result->violation, sizeof(result->violation),
			"only %.3f of the key space is served after the faults",
			world_served_share(p->w));
}

void world_play(const struct world_config *faults, const uint8_t *data,
		size_t size, struct play_result *result)
{
	struct play p = { .config = *faults };
	size_t at;

	memset(result, 0, sizeof(*result));
	if (size < HEADER_BYTES)
		return;
	p.config.daemons = 2 + data[0] % 3;
	p.config.upstreams = 3 + data[1] % 5;
	p.config.slices_per_owner = 1 + data[2] % 4;
	p.config.unfenced = data[2] >= 0xe0;
	p.config.seed = data[3];
	p.w = world_create(&p.config);
	world_run_until_served(p.w, 5 * US_PER_SECOND);
	for (at = HEADER_BYTES;
	     at + COMMAND_BYTES <= size && result->steps < MAX_COMMANDS &&
	     !world_violation(p.w);
	     at += COMMAND_BYTES) {
		run_command(&p, data + at);
		result->steps++;
	}
	if (!world_violation(p.w))
		stop_faults(&p, result);
	if (world_violation(p.w))
		g_strlcpy(result->violation, world_violation(p.w),
			  sizeof(result->violation));
	result->events = world_counts(p.w)->events;
	world_destroy(p.w);
}

size_t world_play_input(uint32_t seed, uint8_t *data, size_t size)
{
	GRand *random = g_rand_new_with_seed(seed);
	size_t len = (size_t)g_rand_int_range(random, 64, (gint32)size);
	size_t i;

	for (i = 0; i < len; i++)
		data[i] = (uint8_t)g_rand_int(random);
	g_rand_free(random);
	return len;
}

/* The rows of fault_configs in world_set_named_fault() have the same order. */
static const char *const fault_names[] = {
	"skip-wait",
	"from-arrival",
	"count-restarted",
	"ignore-epoch",
	"no-margin",
	"publish-early",
	"no-expiry",
	"paused-clock",
	"fence-ignores-epoch",
	"fence-ignores-ballot",
	NULL,
};

bool world_set_named_fault(const char *name, struct world_config *config)
{
	static const struct world_config fault_configs[] = {
		{ .fault = COORDINATOR_FAULT_SKIP_WAIT },
		{ .fence_fault = FENCE_FAULT_FROM_ARRIVAL },
		{ .fault = COORDINATOR_FAULT_COUNT_RESTARTED },
		{ .fault = COORDINATOR_FAULT_IGNORE_EPOCH },
		{ .fault = COORDINATOR_FAULT_NO_MARGIN },
		{ .fault = COORDINATOR_FAULT_PUBLISH_EARLY },
		{ .fault = COORDINATOR_FAULT_NO_EXPIRY },
		{ .paused_clock = true },
		{ .fence_fault = FENCE_FAULT_IGNORE_EPOCH },
		{ .fence_fault = FENCE_FAULT_IGNORE_BALLOT },
	};
	size_t i;

	for (i = 0; fault_names[i]; i++) {
		if (strcmp(fault_names[i], name) != 0)
			continue;
		config->fault = fault_configs[i].fault;
		config->fence_fault = fault_configs[i].fence_fault;
		config->paused_clock = fault_configs[i].paused_clock;
		return true;
	}
	return false;
}

const char *const *world_fault_names(void)
{
	return fault_names;
}
