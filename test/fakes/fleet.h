/**
 * A fleet of daemons, each with its real state machines of settings and peers,
 * over a fake network and a fake table. Time passes in steps.
 */
#ifndef FLEET_H
#define FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "membership/peers.h"
#include "profile/publish.h"
#include "profile/spread.h"

/** One version that the table took. */
struct fleet_version {
	char *json;
	size_t len;
	char *attempt;
};

struct fleet_ops {
	/** The table took a version. */
	void (*applied)(void *ctx, uint64_t version, const char *attempt);
	/** A publish ended. */
	void (*told)(void *ctx, unsigned int daemon, const char *attempt,
		     const struct publish_result *result);
	void (*event)(void *ctx, unsigned int daemon, enum peer_event event,
		      const struct peer *peer);
};

struct fleet_config {
	/** The first daemons are assigners, the others routers. */
	unsigned int assigners, routers;
	uint32_t seed;
	/** Longest delay of a message, in microseconds. */
	int64_t delay_us;
	/** May be NULL. */
	const struct fleet_ops *ops;
	void *ctx;
};

struct fleet;

struct fleet *fleet_create(const struct fleet_config *config);
void fleet_destroy(struct fleet *fleet);

/** Delivers what is due, then ticks every daemon. */
void fleet_step(struct fleet *fleet, int64_t us);

int64_t fleet_now(const struct fleet *fleet);
unsigned int fleet_count(const struct fleet *fleet);
GRand *fleet_rng(struct fleet *fleet);

/** The machines of a daemon; NULL while it is dead. */
struct spread *fleet_spread(const struct fleet *fleet, unsigned int daemon);
struct peers *fleet_peers(const struct fleet *fleet, unsigned int daemon);
bool fleet_frozen(const struct fleet *fleet, unsigned int daemon);
/** Changes with every start. */
unsigned int fleet_incarnation(const struct fleet *fleet, unsigned int daemon);

void fleet_kill(struct fleet *fleet, unsigned int daemon);
void fleet_start(struct fleet *fleet, unsigned int daemon);
void fleet_freeze(struct fleet *fleet, unsigned int daemon, int64_t us);
/** Holds back all messages between two daemons. */
void fleet_partition(struct fleet *fleet, unsigned int a, unsigned int b,
		     bool cut);
/** Breaks the links between two daemons; they are opened again. */
void fleet_reset_links(struct fleet *fleet, unsigned int a, unsigned int b);
void fleet_partition_table(struct fleet *fleet, unsigned int daemon, bool cut);
bool fleet_table_reachable(const struct fleet *fleet, unsigned int daemon);
/** Calls to the table fail; answers of writes are lost. */
void fleet_set_table_outage(struct fleet *fleet, bool outage);
void fleet_lose_write_replies(struct fleet *fleet, bool lose);
/** Longest delay of a table call. */
void fleet_set_table_delay(struct fleet *fleet, int64_t us);

/** Starts a publish in a living daemon. */
void fleet_publish(struct fleet *fleet, unsigned int daemon,
		   const struct change *change);
/** Publishes in progress. */
unsigned int fleet_publishes_running(const struct fleet *fleet);

/** The highest version in the table, 0 for none; by version from 1. */
uint64_t fleet_table_version(const struct fleet *fleet);
const struct fleet_version *fleet_table_at(const struct fleet *fleet,
					   uint64_t version);

/** What a daemon sent: messages and bytes with frames, and table reads. */
struct fleet_sent {
	uint64_t messages, bytes, reads;
	/** Links open now, whoever opened them. */
	unsigned int links;
};

struct fleet_sent fleet_sent(const struct fleet *fleet, unsigned int daemon);

#endif
