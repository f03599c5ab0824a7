/**
 * One cell under a clock of its own: real coordinators over fences and a table
 * that are fakes, joined by messages that can be lost, late or doubled. An
 * oracle watches every event. For tests, the fuzz target and measurements.
 */
#ifndef WORLD_H
#define WORLD_H

#include <glib.h>

#include "fence.h"
#include "ownership/coordinator.h"

#define WORLD_MAX_DAEMONS 12
#define WORLD_MAX_UPSTREAMS 24
#define WORLD_ZONES 3
/** The largest difference of a clock's rate from true, in parts per million. */
#define WORLD_MAX_DRIFT_PPM 15000

struct world_config {
	size_t daemons, upstreams;
	/** Slices of each owner in the first row. */
	size_t slices_per_owner;
	bool unfenced;
	uint32_t seed;
	enum coordinator_fault fault;
	enum fence_fault fence_fault;
	/** A daemon's clock stands still while it is frozen. */
	bool paused_clock;
};

/** What happened so far. */
struct world_counts {
	/** Events after each of which the oracle looked. */
	uint64_t events;
	uint64_t orders, order_bytes, replies, reply_bytes;
	uint64_t table_reads, table_writes;
	uint64_t heartbeats, published;
	/** Slices that changed owner in rows of the table. */
	uint64_t moved;
};

struct world;

struct world *world_create(const struct world_config *config);
void world_destroy(struct world *w);

/** Lets time pass, in true microseconds. */
void world_run(struct world *w, int64_t us);

/** Runs until every key is served, at most so long. @return true if so */
bool world_run_until_served(struct world *w, int64_t most_us);

/** The rule that was broken, or NULL. */
const char *world_violation(const struct world *w);

const struct world_counts *world_counts(const struct world *w);
int64_t world_now_us(const struct world *w);

/** Share of the key space that some reachable upstream serves now, 0 to 1. */
double world_served(const struct world *w);

/** Whether a hash is served now by any upstream. */
bool world_serves(const struct world *w, uint64_t hash);

/** The coordinator of a daemon, or NULL while it is not running. */
struct coordinator *world_coordinator(struct world *w, size_t daemon);

/** A daemon that leads with authority, or -1. */
int world_leader(struct world *w);

/** The newest row in the table, or NULL; valid until time passes. */
struct slice_map *world_row(const struct world *w);

/** Stops a process for a while; it then goes on as if nothing happened. */
void world_freeze_daemon(struct world *w, size_t daemon, int64_t us);
void world_freeze_upstream(struct world *w, size_t upstream, int64_t us);

/** Kills a process; a new one with empty state starts after a while. */
void world_kill_daemon(struct world *w, size_t daemon, int64_t down_us);
void world_kill_upstream(struct world *w, size_t upstream, int64_t down_us);

/** Cuts or mends the way between two processes. */
void world_partition_upstream(struct world *w, size_t daemon, size_t upstream,
			      bool cut);
void world_partition_peers(struct world *w, size_t a, size_t b, bool cut);

/** Takes a daemon's way to the table or the whole table away. */
void world_partition_table(struct world *w, size_t daemon, bool cut);
void world_table_down(struct world *w, bool down);

/** Slows the table: each call takes so much longer. */
void world_table_slow(struct world *w, int64_t us);

/** Of 100 writes, so many lose their answer, and so many come late. */
void world_table_faults(struct world *w, unsigned int lost, unsigned int late);

/** Of 100 messages, so many are lost or doubled; longest extra delay. */
void world_network(struct world *w, unsigned int lost, unsigned int doubled,
		   int64_t delay_us);

/** Sets a clock's rate, in parts per million above true. */
void world_drift_daemon(struct world *w, size_t daemon, int ppm);
void world_drift_upstream(struct world *w, size_t upstream, int ppm);

/** Operators take a zone out or in; daemons learn it one by one. */
void world_zone_out(struct world *w, size_t zone, bool out);

/** The platform lists a VM as leaving, or not at all. */
void world_leaving(struct world *w, size_t upstream, bool leaving);
void world_listed(struct world *w, size_t upstream, bool listed);

/** Asks a daemon to hand over; it is replaced a second later. */
void world_hand_over(struct world *w, size_t daemon);

/** Mends all ways, the table, the network, zones and lists. */
void world_clear_faults(struct world *w);

/** Zone of an upstream. */
size_t world_zone(size_t upstream);

#endif
