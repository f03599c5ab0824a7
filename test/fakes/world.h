/**
 * Simulates one cell, that is, one service's key space, in simulated time:
 * daemons with real coordinators, fake upstreams (fence.h) and a fake table.
 * Messages can be lost, delayed or duplicated. An oracle checks the safety
 * rules as events run. Used by tests, the ownership fuzz target and the
 * benchmark.
 */
#ifndef WORLD_H
#define WORLD_H

#include <glib.h>

#include "fence.h"
#include "ownership/coordinator.h"

/** Daemons and upstreams are numbered from 0 in all functions. */
#define WORLD_MAX_DAEMONS 12
#define WORLD_MAX_UPSTREAMS 24
#define WORLD_ZONES 3
/** Largest error of a process's clock rate, in parts per million. */
#define WORLD_MAX_DRIFT_PPM 15000

struct world_config {
	/** Numbers of processes. */
	size_t daemons, upstreams;
	/** Slices per owner in the first map written to the table. */
	size_t slices_per_owner;
	/** Upstreams do not check ballots or epochs; grants never expire. */
	bool unfenced;
	/** Seed of the random numbers. */
	uint32_t seed;
	/** Rules to disable in all coordinators and in all upstreams. */
	enum coordinator_fault fault;
	enum fence_fault fence_fault;
	/** A daemon's clock stands still while it is frozen. */
	bool paused_clock;
};

/** Totals since the world was created. */
struct world_counts {
	/** Messages and timers that were run. */
	uint64_t events;
	/** Orders, including lost ones, and replies, without lost ones; sizes
	 * in bytes as JSON over HTTP. */
	uint64_t orders, order_bytes, replies, reply_bytes;
	uint64_t table_reads, table_writes;
	/** Heartbeats sent, without lost ones, and owner maps published. */
	uint64_t heartbeats, published;
	/** Slices that changed owner from one table row to the next. */
	uint64_t moved;
};

struct world;

/** Creates a cell, starts all its processes and puts no faults in it yet. */
struct world *world_create(const struct world_config *config);
void world_destroy(struct world *w);

/** Runs the simulation for us microseconds of true time, or to the first rule
 * violation. */
void world_run(struct world *w, int64_t us);

/**
 * Runs until every key is served, for at most most_us microseconds.
 *
 * @return false on timeout or after a rule violation
 */
bool world_run_until_served(struct world *w, int64_t most_us);

/** Returns a description of the first rule violation, or NULL; owned by the
 * world. */
const char *world_violation(const struct world *w);

/** Returns the totals; owned by the world. */
const struct world_counts *world_counts(const struct world *w);

/** Returns the true time in microseconds since the world was created. */
int64_t world_now_us(const struct world *w);

/** Returns the share of the key space that running upstreams serve, 0 to 1. */
double world_served_share(const struct world *w);

/** Returns whether a running upstream serves a key hash now. */
bool world_serves(const struct world *w, uint64_t hash);

/** Returns a daemon's coordinator, or NULL while the daemon is killed. */
struct coordinator *world_coordinator(struct world *w, size_t daemon);

/** Returns the index of a running daemon that has leader authority, or -1. */
int world_leader(struct world *w);

/** Returns the owner map in the table, or NULL; valid until the next run. */
struct slice_map *world_owner_map(const struct world *w);

/** Suspend a process for us microseconds; it then resumes with its state. */
void world_freeze_daemon(struct world *w, size_t daemon, int64_t us);
void world_freeze_upstream(struct world *w, size_t upstream, int64_t us);

/** Kill a process; a new one with empty state starts after down_us. */
void world_kill_daemon(struct world *w, size_t daemon, int64_t down_us);
void world_kill_upstream(struct world *w, size_t upstream, int64_t down_us);

/** Start (cut is true) or end a partition between two processes. */
void world_partition_upstream(struct world *w, size_t daemon, size_t upstream,
			      bool cut);
void world_partition_peers(struct world *w, size_t a, size_t b, bool cut);

/** Start (true) or end a partition of a daemon from the table, or an outage of
 * the table. */
void world_partition_table(struct world *w, size_t daemon, bool cut);
void world_set_table_outage(struct world *w, bool down);

/** Sets the extra delay of a table call each way, in microseconds. */
void world_table_slow(struct world *w, int64_t us);

/** Sets the percentages of table writes whose reply is lost or that reach the
 * table late. */
void world_table_faults(struct world *w, unsigned int lost, unsigned int late);

/** Sets the percentages of messages lost and of orders duplicated, and the
 * longest extra delay of a message in microseconds. */
void world_network(struct world *w, unsigned int lost, unsigned int duplicated,
		   int64_t delay_us);

/** Set the clock rate of a process, in parts per million above true, at most
 * WORLD_MAX_DRIFT_PPM either way. */
void world_drift_daemon(struct world *w, size_t daemon, int ppm);
void world_drift_upstream(struct world *w, size_t upstream, int ppm);

/** Takes a zone out of service or back in; each daemon learns of it after its
 * own delay. */
void world_zone_out(struct world *w, size_t zone, bool out);

/** Set whether the platform lists an upstream's VM as leaving, and whether it
 * lists the VM at all. */
void world_set_leaving(struct world *w, size_t upstream, bool leaving);
void world_set_listed(struct world *w, size_t upstream, bool listed);

/** Asks a daemon to hand over leadership and restarts the daemon a second
 * later. */
void world_hand_over(struct world *w, size_t daemon);

/** Ends partitions and table and network faults, lists all VMs and returns all
 * zones to service. Frozen and killed processes and clock rates stay as they
 * are. */
void world_clear_faults(struct world *w);

/** Returns the zone of an upstream, from 0 to WORLD_ZONES - 1. */
size_t world_zone(size_t upstream);

#endif
