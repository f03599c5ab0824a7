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

/** Authority counts exchanges with upstreams begun within this time. */
#define COORDINATOR_AUTHORITY_US (400 * US_PER_MS)
/** Length of a grant, from its anchor. */
#define COORDINATOR_GRANT_US (800 * US_PER_MS)
/** Covers clock rates that differ by 4% over authority and grant. */
#define COORDINATOR_MARGIN_US (50 * US_PER_MS)
/** Time between two renewals of one upstream. */
#define COORDINATOR_RENEW_US (160 * US_PER_MS)
/** A coordinator or peer not heard for this time counts as lost. */
#define COORDINATOR_LOST_US (350 * US_PER_MS)
/** A table call without an answer for this time has an unknown outcome. */
#define COORDINATOR_TABLE_TIMEOUT_US (500 * US_PER_MS)
/** Call coordinator_tick() at least this often. */
#define COORDINATOR_TICK_US (20 * US_PER_MS)

struct coordinator_timing {
	int64_t authority_us;
	int64_t grant_us;
	int64_t margin_us;
	int64_t renew_us;
	int64_t lost_us;
	int64_t table_timeout_us;
	/** How often a daemon reads the row that is likely to need it. */
	int64_t read_us;
	/** An owner that does not answer for this time loses its slices. */
	int64_t owner_lost_us;
	/** A VM must be reachable this long before it gets slices. */
	int64_t stable_us;
	/** A VM not listed for this time is gone. */
	int64_t gone_us;
	/** A better placed daemon must be heard this long to take over. */
	int64_t prefer_us;
};

/** Rules that a test can break to show that its oracle notices. */
enum coordinator_fault {
	COORDINATOR_FAULT_NONE,
	/** Grants at once instead of waiting out earlier grants. */
	COORDINATOR_FAULT_SKIP_WAIT,
	/** Counts a restarted upstream in the majority at once. */
	COORDINATOR_FAULT_COUNT_RESTARTED,
	/** Takes no notice of epochs that upstreams report. */
	COORDINATOR_FAULT_IGNORE_EPOCH,
	/** Waits without the margin for clock rates. */
	COORDINATOR_FAULT_NO_MARGIN,
	/** Publishes a row when its write is sent. */
	COORDINATOR_FAULT_PUBLISH_EARLY,
	/** Keeps its authority until it is told of a higher ballot. */
	COORDINATOR_FAULT_NO_EXPIRY,
};

/** An upstream of the cell, as membership and settings have it. */
struct coordinator_upstream {
	struct str id;
	struct str zone;
	/** Checks grants. */
	bool fences;
	/** The platform or the VM itself says that it leaves. */
	bool leaving;
	/** Its zone or itself was taken out of service. */
	bool out;
};

/** What a peer's heartbeat says of this cell. */
struct coordinator_peer {
	/** The peer's daemon id. */
	struct str daemon;
	bool leaving;
	/** Cell epoch of the newest row it knows; 0: none. */
	uint64_t epoch;
	/** The coordinator it knows, "" for none, and its ballot. */
	struct str coordinator;
	struct ballot ballot;
};

/** Requests that routers counted since their last report. */
struct coordinator_load {
	/** Epoch of the map that slices refer to. */
	uint64_t epoch;
	/** Requests by slice, in the order of that map. */
	const uint64_t *slices;
	size_t slice_count;
	/** Heavy hitters and their requests. */
	const struct hot_key *hot;
	size_t hot_count;
};

/**
 * Calls out of the coordinator. None may call back into it. Answers come later
 * through the coordinator's inputs and name the request.
 */
struct coordinator_ops {
	/** Reads the row "cell/NAME". */
	void (*read_row)(void *ctx, uint64_t request);
	/**
	 * Writes the row if it has this version; 0: if there is none.
	 *
	 * @param row encoded CellRow; borrowed, take a reference to keep it
	 */
	void (*write_row)(void *ctx, uint64_t request, uint64_t version,
			  GBytes *row);
	/**
	 * Sends one order. What it points to lives during the call only.
	 *
	 * @param upstream id of the VM
	 */
	void (*send_order)(void *ctx, uint64_t request, struct str upstream,
			   const struct order *order);
	/**
	 * A row that the table holds, that no later coordinator can miss, and
	 * that is newer than any published before by this instance: tell
	 * routers and other assigners.
	 *
	 * @param map borrowed; take a reference to keep it
	 */
	void (*publish)(void *ctx, struct slice_map *map);
	/** One short sentence for the log, for example "cell tallies: ...". */
	void (*event)(void *ctx, const char *text);
};

struct coordinator_config {
	/** The cell's name: its service's name. */
	struct str cell;
	/** This daemon and what changes with its every start. */
	struct str daemon;
	struct str incarnation;
	/** Slices of each owner in the first row; 0: a cell without slices. */
	size_t slices_per_owner;
	/** NULL: coordinator_timing_default(). */
	const struct coordinator_timing *timing;
	enum coordinator_fault fault;
	/** Seed of the random delays before a challenge. */
	uint32_t seed;
};

enum coordinator_phase {
	/** Another daemon is the coordinator, or none is needed. */
	COORDINATOR_FOLLOWING,
	/** Asks the cell's upstreams to accept its ballot. */
	COORDINATOR_PREPARING,
	/** Has a majority and makes sure that its row is the newest. */
	COORDINATOR_READING,
	/** Gives the cell's orders. */
	COORDINATOR_LEADING,
	/** Handed over; does not stand again. */
	COORDINATOR_RESIGNED,
};

/** A cell's state for operators. */
struct coordinator_status {
	enum coordinator_phase phase;
	/** Known coordinator; "" when none. Valid until the next input. */
	struct str coordinator;
	struct ballot ballot;
	uint64_t epoch;
	/** This daemon may give orders now, and for how long. */
	bool authority;
	int64_t authority_left_us;
	/** Upstreams in the row, and those that accepted the ballot lately. */
	size_t acceptors, accepted;
	/** Slices whose owner holds them / that wait / without an owner. */
	size_t granted, waiting, unowned;
	/** Slices whose owner is leaving, out or lost and is to change. */
	size_t to_move;
	/** The last table call was answered. */
	bool table_up;
	/** What is paused and why; "" when nothing is. Static text. */
	const char *paused;
};

/** Why a key is, or is not, served. */
struct coordinator_explanation {
	uint64_t hash;
	struct slice slice;
	/** "" when the slice has no owner. Valid until the next input. */
	struct str owner;
	/** This daemon leads the cell and granted the slice to its owner. */
	bool granted;
	/** Who must let go first, or "". Valid until the next input. */
	struct str waits_for;
	/** How long at most until the owner can be granted the slice. */
	int64_t wait_us;
	/** One static sentence. */
	const char *reason;
};

#endif
