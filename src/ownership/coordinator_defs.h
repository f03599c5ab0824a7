/**
 * Settings, inputs and outputs of a cell's coordinator.
 */
#ifndef OWNERSHIP_COORDINATOR_DEFS_H
#define OWNERSHIP_COORDINATOR_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "ownership/hot_keys.h"
#include "ownership/order_defs.h"
#include "ownership/slice_map.h"
#include "platform/table_defs.h"

/** How long authority lasts after the sending of the orders that confirmed it.
 */
#define COORDINATOR_AUTHORITY_US (400 * US_PER_MS)
/** Length of a grant, from its anchor, a reading of the upstream's clock. */
#define COORDINATOR_GRANT_US (800 * US_PER_MS)
/** Safety margin: covers clock rates that differ by 4% over the length of
 * authority and of a grant. */
#define COORDINATOR_MARGIN_US (50 * US_PER_MS)
/** Interval between orders that renew one upstream's grant. */
#define COORDINATOR_RENEW_US (160 * US_PER_MS)
/** A coordinator or peer without a heartbeat for this time counts as lost. */
#define COORDINATOR_LOST_US (350 * US_PER_MS)
/** After this time a table call without a reply has an unknown outcome. */
#define COORDINATOR_TABLE_TIMEOUT_US (500 * US_PER_MS)
/** Longest time between two calls of coordinator_tick(). */
#define COORDINATOR_TICK_US (20 * US_PER_MS)

/** Periods in microseconds. Those without a comment are described at the
 * constants above, which are their default values. */
struct coordinator_timing {
	int64_t authority_us;
	int64_t grant_us;
	int64_t margin_us;
	int64_t renew_us;
	int64_t lost_us;
	int64_t table_timeout_us;
	/** Interval between reads of the row by daemons likely to lead. */
	int64_t read_us;
	/** An owner that does not reply for this time loses its slices. */
	int64_t owner_lost_us;
	/** A VM must be reachable for this time before it gets slices. */
	int64_t stable_us;
	/** A VM that is unlisted for this time is gone for good. */
	int64_t gone_us;
	/** A daemon of higher rank must be live for this time before the
	 * coordinator hands over to it. */
	int64_t prefer_us;
};

/** Safety rules that a test can switch off to show that its oracle detects the
 * fault. Each comment says what the coordinator does wrong then. */
enum coordinator_fault {
	COORDINATOR_FAULT_NONE,
	/** Grants slices before earlier grants of them have expired. */
	COORDINATOR_FAULT_SKIP_WAIT,
	/** Counts a restarted upstream towards the majority at once. */
	COORDINATOR_FAULT_COUNT_RESTARTED,
	/** Ignores epochs that upstreams report. */
	COORDINATOR_FAULT_IGNORE_EPOCH,
	/** Leaves out the margin for clock rates. */
	COORDINATOR_FAULT_NO_MARGIN,
	/** Publishes a row when its write is sent, before it is committed. */
	COORDINATOR_FAULT_PUBLISH_EARLY,
	/** Authority does not expire; only a higher ballot ends it. */
	COORDINATOR_FAULT_NO_EXPIRY,
};

/** An upstream of the cell, according to membership and settings. */
struct coordinator_upstream {
	struct str id;
	struct str zone;
	/** The upstream checks grants, so it rejects requests for slices that
	 * it does not hold. */
	bool fences;
	/** The platform or the VM announced that it shuts down. */
	bool leaving;
	/** An operator took the upstream or its zone out of service. */
	bool out;
};

/** The part of a heartbeat that is about this cell. A peer is another assigner;
 * coordinator_heartbeat() fills in the same for this one. */
struct coordinator_peer {
	/** The peer's daemon id. */
	struct str daemon;
	/** The peer is shutting down or gave up the cell. */
	bool leaving;
	/** Epoch of the newest row that the peer knows; 0 if it knows none. */
	uint64_t epoch;
	/** Daemon id of the coordinator that the peer knows, which may be the
	 * peer itself; "" for none. The ballot is that coordinator's. */
	struct str coordinator;
	struct ballot ballot;
};

/** A load report: requests that routers counted since their last report. */
struct coordinator_load {
	/** Epoch of the map whose slices were counted. */
	uint64_t epoch;
	/** Number of requests of each slice, in the order of that map. */
	const uint64_t *slices;
	size_t slice_count;
	/** The keys with the most requests. */
	const struct hot_key *hot;
	size_t hot_count;
};

/**
 * I/O of the coordinator, provided by its user. The operations must not call
 * the coordinator. Results come later through the coordinator_on_ functions,
 * with the same request id.
 */
struct coordinator_ops {
	/** Reads the row "cell/NAME" from the table. */
	void (*read_row)(void *ctx, uint64_t request);
	/**
	 * Replaces the row by compare-and-set.
	 *
	 * @param version the version to replace; 0 if the row must not exist
	 * @param row encoded CellRow; borrowed, take a reference to keep it
	 */
	void (*write_row)(void *ctx, uint64_t request, uint64_t version,
			  GBytes *row);
	/**
	 * Sends one order; what it points to is valid during the call only.
	 *
	 * @param upstream id of the VM
	 */
	void (*send_order)(void *ctx, uint64_t request, struct str upstream,
			   const struct order *order);
	/**
	 * Tells routers and other assigners of a new row. The row is in the
	 * table, every later coordinator is sure to learn of it, and it is
	 * newer than any that this instance published before.
	 *
	 * @param map borrowed; take a reference to keep it
	 */
	void (*publish)(void *ctx, struct slice_map *map);
	/** Logs an event of the cell; the text names the cell, for example
	 * "cell tallies: ...". */
	void (*event)(void *ctx, const char *text);
};

/** Settings of one coordinator; coordinator_create() copies them. */
struct coordinator_config {
	/** The cell's name: its service's name. */
	struct str cell;
	/** This daemon's id, and an id of its process, new at every start. */
	struct str daemon;
	struct str incarnation;
	/** Slices of each owner in the cell's first row; 0 for a cell without
	 * slices. */
	size_t slices_per_owner;
	/** Periods to use; NULL for those of coordinator_timing_default(). */
	const struct coordinator_timing *timing;
	/** Safety rule to switch off, in tests. */
	enum coordinator_fault fault;
	/** Seed of the random delays before a candidacy. */
	uint32_t seed;
};

/** State of a daemon in the election of a cell's leader. */
enum coordinator_phase {
	/** The daemon is not a candidate: another one leads, or it is not yet
	 * time to become one. */
	COORDINATOR_FOLLOWING,
	/** The daemon is a candidate: it asks the cell's upstreams to accept
	 * its ballot. */
	COORDINATOR_PREPARING,
	/** The ballot won; the daemon verifies that its row is the newest. */
	COORDINATOR_READING,
	/** The daemon leads the cell: it sends grants and writes the row. */
	COORDINATOR_LEADING,
	/** The daemon gave up the cell for good, for a shutdown. */
	COORDINATOR_RESIGNED,
};

/** A cell's state for operators. */
struct coordinator_status {
	enum coordinator_phase phase;
	/** Daemon id of the known coordinator, "" for none, and its ballot. The
	 * id is valid until the next input. */
	struct str coordinator;
	struct ballot ballot;
	/** Epoch of the known row; 0 without a row. */
	uint64_t epoch;
	/** Whether this daemon leads with authority, and the time until the
	 * authority expires. */
	bool authority;
	int64_t authority_left_us;
	/** Upstreams in the row, and how many of them confirmed the ballot
	 * recently. */
	size_t acceptors, accepted;
	/** Numbers of slices: granted to their owner, not granted yet, and
	 * without an owner. All 0 unless this daemon leads. */
	size_t granted, waiting, unowned;
	/** Number of slices to be moved, because their owner is leaving, out of
	 * service or lost, or because they have none. */
	size_t to_move;
	/** Whether the last table call got a reply. */
	bool table_up;
	/** Which orders or moves are paused and why, as static text; "" when
	 * nothing is paused. */
	const char *paused;
};

/** Why a key is, or is not, served by its owner. */
struct coordinator_explanation {
	uint64_t hash;
	struct slice slice;
	/** VM id of the owner, "" when the slice has none. Valid until the next
	 * input. */
	struct str owner;
	/** This daemon leads the cell and the owner holds its grant. */
	bool granted;
	/** Id of a VM whose earlier grant must end before the owner can be
	 * granted the slice, "" for none. Valid until the next input. */
	struct str waits_for;
	/** Upper bound on the time until the grant of waits_for has ended. */
	int64_t wait_us;
	/** The reason in one clause, for operators; static text. */
	const char *reason;
};

#endif
