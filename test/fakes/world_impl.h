/**
 * Internals of the simulated cell, for world*.c only.
 */
#ifndef WORLD_IMPL_H
#define WORLD_IMPL_H

#include "world.h"

#include "base/hash.h"

/** A scheduled message or timer. */
struct world_event {
	int64_t at_us;
	/** Orders events with the same at_us. */
	uint64_t seq;
	void (*run)(struct world *w, struct world_event *e);
	/** Indexes of the processes that the event concerns. */
	size_t daemon, upstream;
	/** Incarnation of the daemon, or 0 for an event that is not held back
	 * while the daemon is frozen. A message in flight from a daemon must
	 * not wait for its sender: until it arrives, daemon_incarnation is 0
	 * and sender_incarnation holds the sender's incarnation. */
	unsigned int daemon_incarnation, sender_incarnation;
	/** The coordinator's id of the order or table call. */
	uint64_t request;
	struct order order;
	/** Copies that order or reply refer to; owned by the event. */
	char *boot;
	struct hash_range *ranges;
	struct order_reply reply;
	/** A table call's result, version of the row and encoded row. For a
	 * write that has not arrived: the expected version. */
	enum table_status status;
	uint64_t version;
	GBytes *row;
	/** A published owner map. */
	struct slice_map *map;
	/** A heartbeat. */
	struct coordinator_peer peer;
	/** The event is a write that reaches the table late, even if a
	 * partition has begun since it was sent. */
	bool late_write;
};

/** A process's clock, whose offset and rate differ from true time. */
struct world_clock {
	struct world *w;
	/** A true time and the clock's reading at that time. */
	int64_t true_us, local_us;
	/** Clock rate in parts per million above true. */
	int ppm;
};

struct world_daemon {
	struct world *w;
	size_t index;
	/** NULL while the daemon is killed. */
	struct coordinator *c;
	/** The coordinator's clock, which reads the field time. */
	struct clock clock;
	struct world_clock time;
	bool alive;
	/** Incarnation; the first is 1. */
	unsigned int incarnation;
	int64_t frozen_until_us, frozen_at_us;
	/** A partition separates the daemon from the table, an upstream or
	 * another daemon. */
	bool table_cut;
	bool upstream_cut[WORLD_MAX_UPSTREAMS];
	bool peer_cut[WORLD_MAX_DAEMONS];
	/** Epoch of the owner map that this incarnation published last, or 0.
	 */
	uint64_t published_epoch;
	/** Zones that the daemon knows to be out of service. */
	bool known_zone_out[WORLD_ZONES];
};

struct world_upstream {
	struct fence *fence;
	struct world_clock time;
	/** alive: the process runs; listed and leaving: what the platform's
	 * list of VMs says of it. */
	bool alive, listed, leaving;
	/** Incarnation; the first is 1. */
	unsigned int incarnation;
	int64_t frozen_until_us;
};

/** An owner map and the time of its publication. */
struct world_published {
	int64_t at_us;
	struct slice_map *map;
};

struct world {
	struct world_config config;
	int64_t now_us;
	/** The seq of the next event. */
	uint64_t next_seq;
	/** struct world_event, in the order in which they run. */
	GSequence *events;
	GRand *random;
	struct world_daemon daemons[WORLD_MAX_DAEMONS];
	struct world_upstream upstreams[WORLD_MAX_UPSTREAMS];
	/** Zones that are out of service. */
	bool zone_out[WORLD_ZONES];

	/* Table. */
	/** The row that holds the owner map, encoded and decoded; NULL until
	 * the first write. */
	GBytes *row;
	struct slice_map *row_map;
	/** Version of the row: the number of writes so far. */
	uint64_t version;
	/** All rows ever written: GBytes by epoch. */
	GHashTable *history;
	bool table_down;
	/** Extra delay of a table call each way. */
	int64_t table_slow_us;
	/** Percentages of writes whose reply is lost or that reach the table
	 * late. */
	unsigned int write_lost, write_late;

	/* Network. */
	/** Percentages of messages lost and of orders duplicated. */
	unsigned int lost, duplicated;
	/** Longest extra delay of a message. */
	int64_t delay_us;

	struct world_counts counts;
	/** Published owner map with the highest epoch. */
	struct world_published published;
	/** Description of the first rule violation, or NULL. */
	char *violation;
};

/** Returns a clock's reading in microseconds. */
int64_t world_clock_us(const struct world_clock *clock);

/** Sets a clock's rate from now on, in parts per million above true. */
void world_clock_set_rate(struct world_clock *clock, int ppm);

/** Start a process with empty state. */
void world_start_daemon(struct world *w, size_t index);
void world_start_upstream(struct world *w, size_t index);

/** Schedules a new event, which the world owns; the caller fills it in. */
struct world_event *world_schedule(struct world *w, int64_t delay_us,
				   void (*run)(struct world *,
					       struct world_event *));

/** Adds an event that is not in the queue to it, to run at true time at_us. */
void world_postpone(struct world *w, struct world_event *e, int64_t at_us);

/** Returns a random one-way message delay in microseconds. */
int64_t world_delay_us(struct world *w);

/** Returns true with a probability in percent. */
bool world_chance(struct world *w, unsigned int percent);

/** Records a rule violation; only the first is kept. */
void world_violate(struct world *w, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Callbacks of the coordinators; ctx is a struct world_daemon. */
extern const struct coordinator_ops world_ops;

/** Passes a daemon the listed upstreams and the zone states known to it. */
void world_send_upstream_list(struct world_daemon *d);

/** Oracle: checks a grant that an upstream accepted; ignores other orders. */
void world_check_grant(struct world *w, size_t upstream,
		       const struct order *order);

/** Oracle: checks an owner map that a daemon published. */
void world_check_published(struct world *w, struct world_daemon *d,
			   struct slice_map *map);

/** Oracle: checks that no two upstreams hold grants for the same key. */
void world_check_exclusive(struct world *w);

/** Returns whether the event's daemon still runs in the event's incarnation. */
bool world_daemon_is_current(struct world *w, struct world_event *e);

#endif
