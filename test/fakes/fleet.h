/**
 * Simulates a fleet of daemons. Each runs the real state machines for settings
 * distribution (settings_replica) and membership (peers) on a fake network, and
 * publishes settings to a fake table. Simulated time advances in steps.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "membership/peers.h"
#include "profile/publish.h"
#include "profile/settings_replica.h"

/** A settings version that was written to the table; owned by the fleet. */
struct fleet_version {
	/** The settings document; ended by NUL. */
	char *json;
	/** Length of json in bytes. */
	size_t len;
	/** Id of the publish attempt that wrote the version. */
	char *attempt;
};

/** Callbacks to a test; all must be set. */
struct fleet_ops {
	/** A settings version was written to the table. */
	void (*version_written)(void *ctx, uint64_t version,
				const char *attempt);
	/** A publish, started by fleet_publish(), ended with this result. */
	void (*publish_ended)(void *ctx, unsigned int daemon,
			      const char *attempt,
			      const struct publish_result *result);
	/** A daemon's membership state machine reported an event of a peer. */
	void (*event)(void *ctx, unsigned int daemon, enum peer_event event,
		      const struct peer *peer);
};

struct fleet_config {
	/** Number of daemons of each role; assigners have the lower indexes. */
	unsigned int assigners, routers;
	/** Seed of the fleet's random number generator. */
	uint32_t seed;
	/** Longest random delay of a message, in microseconds. */
	int64_t delay_us;
	/** Called with ctx; NULL for no callbacks. Must outlive the fleet. */
	const struct fleet_ops *ops;
	void *ctx;
};

struct fleet;

/** Creates a fleet and starts all its daemons. */
struct fleet *fleet_create(const struct fleet_config *config);
void fleet_destroy(struct fleet *fleet);

/**
 * Advances time by us microseconds, delivers due messages and table replies,
 * then ticks every running daemon.
 */
void fleet_step(struct fleet *fleet, int64_t us);

/** Returns the simulated time in microseconds. */
int64_t fleet_now(const struct fleet *fleet);
/** Returns the number of daemons, including killed ones. */
unsigned int fleet_count(const struct fleet *fleet);
/** Returns the fleet's random number generator, owned by the fleet. */
GRand *fleet_rng(struct fleet *fleet);

/** Return a daemon's state machines, owned by the daemon, or NULL while it is
 * killed. */
struct settings_replica *fleet_settings_replica(const struct fleet *fleet,
						unsigned int daemon);
struct peers *fleet_peers(const struct fleet *fleet, unsigned int daemon);
/** Returns whether a daemon is frozen or killed. */
bool fleet_frozen_or_killed(const struct fleet *fleet, unsigned int daemon);
/** Returns how many times a daemon was started. */
unsigned int fleet_incarnation(const struct fleet *fleet, unsigned int daemon);

/** Stops a daemon, closes its links and discards its state. */
void fleet_kill(struct fleet *fleet, unsigned int daemon);
/** Starts a killed daemon with empty state. */
void fleet_start(struct fleet *fleet, unsigned int daemon);
/** Suspends a daemon for us microseconds from now; it keeps its state. 0
 * resumes the daemon. */
void fleet_freeze(struct fleet *fleet, unsigned int daemon, int64_t us);
/** Starts (cut is true) or ends a partition between two daemons: their links
 * stay open, but messages are held back and no link is opened. */
void fleet_partition(struct fleet *fleet, unsigned int a, unsigned int b,
		     bool cut);
/** Closes the links between two daemons, which then reconnect. */
void fleet_reset_links(struct fleet *fleet, unsigned int a, unsigned int b);
/** Starts (cut is true) or ends a partition between a daemon and the table. */
void fleet_partition_table(struct fleet *fleet, unsigned int daemon, bool cut);
/** Returns whether a daemon's table calls can succeed. */
bool fleet_table_reachable(const struct fleet *fleet, unsigned int daemon);
/** Starts or ends an outage, in which all table calls fail. */
void fleet_set_table_outage(struct fleet *fleet, bool outage);
/** Starts or ends a fault in which the table applies writes but reports their
 * outcome as unknown. */
void fleet_lose_write_replies(struct fleet *fleet, bool lose);
/** Sets the longest delay of a table call each way, in microseconds; 0 for no
 * random delay. */
void fleet_set_table_delay(struct fleet *fleet, int64_t us);

/** Starts a publish in a daemon, unless it is frozen or killed. The change is
 * copied. */
void fleet_publish(struct fleet *fleet, unsigned int daemon,
		   const struct change *change);
/** Returns the number of publishes in progress. */
unsigned int fleet_publishes_running(const struct fleet *fleet);

/** Returns the highest version in the table, or 0 when it is empty. */
uint64_t fleet_table_version(const struct fleet *fleet);
/** Returns a settings version of the table, from 1 to the highest. */
const struct fleet_version *fleet_table_at(const struct fleet *fleet,
					   uint64_t version);

/** Traffic of a daemon, summed over its incarnations. */
struct fleet_sent {
	/** Messages sent to other daemons, and their size in bytes with
	 * framing. */
	uint64_t messages, bytes;
	/** Reads and writes of the table. */
	uint64_t table_calls;
	/** Links open now, in either direction. */
	unsigned int links;
};

/** Returns a daemon's traffic since the fleet was created. */
struct fleet_sent fleet_sent(const struct fleet *fleet, unsigned int daemon);

#endif
