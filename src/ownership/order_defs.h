/**
 * Orders of a cell's coordinator to an upstream and the upstream's answers, as
 * in docs/protocols.md, "Control of upstreams".
 */
#ifndef OWNERSHIP_ORDER_DEFS_H
#define OWNERSHIP_ORDER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "ownership/slice_map.h"

/** Numbers of daemons keep to the integers that JSON's readers agree on. */
#define BALLOT_DAEMON_BITS 53

/** The right to give a cell's orders; ordered by number, then daemon. */
struct ballot {
	uint64_t number;
	/** Derived from the daemon's id and incarnation. */
	uint64_t daemon;
};

/**
 * Compares two ballots.
 *
 * @return below, equal to or above 0
 */
static inline int ballot_compare(struct ballot a, struct ballot b)
{
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	if (a.daemon != b.daemon)
		return a.daemon < b.daemon ? -1 : 1;
	return 0;
}

enum order_kind {
	ORDER_PREPARE,
	ORDER_GRANT,
	ORDER_REVOKE,
};

struct order {
	enum order_kind kind;
	struct str cell;
	struct ballot ballot;
	uint64_t epoch;
	/** ORDER_GRANT only: the incarnation it is for. */
	struct str boot;
	/** ORDER_GRANT only: a reading of the upstream's own clock. */
	int64_t anchor_us;
	int64_t duration_us;
	/** ORDER_GRANT only: false renews the ranges held. */
	bool has_ranges;
	const struct hash_range *ranges;
	size_t range_count;
};

enum upstream_state {
	UPSTREAM_COLD,
	UPSTREAM_READY,
	UPSTREAM_DRAINING,
};

/** What an upstream says of its load; it lags and may mislead. */
struct upstream_load {
	uint32_t running, queued, slots, connections;
	enum upstream_state state;
	uint32_t cold_limit;
};

struct order_reply {
	bool accepted;
	struct ballot promised;
	/** The highest epoch it remembers. */
	uint64_t epoch;
	/** Its incarnation. */
	struct str boot;
	/** Its monotonic clock, and how long its process has been up. */
	int64_t clock_us, up_us;
	/** The grant it holds now. */
	bool has_grant;
	uint64_t grant_epoch;
	int64_t grant_left_us;
	/** See hash_ranges_digest(). */
	uint64_t grant_digest;
	struct upstream_load load;
};

#endif
