/**
 * Orders, which a cell's coordinator sends to an upstream, and the upstream's
 * replies. See docs/protocols.md, "Control of upstreams".
 */
#ifndef OWNERSHIP_ORDER_DEFS_H
#define OWNERSHIP_ORDER_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/str.h"
#include "ownership/slice_map.h"

/** Size of a ballot's daemon number: JSON readers agree on integers up to 53
 * bits. */
#define BALLOT_DAEMON_BITS 53

/** The fencing token of a coordinator's orders; upstreams refuse orders with a
 * lower one than they accepted. Ordered by number, then daemon. */
struct ballot {
	/** Raised above all known numbers with each new ballot. */
	uint64_t number;
	/** The number that stands for the daemon's process, derived from the
	 * daemon's id and incarnation. */
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

/** Kinds of orders. An upstream replies with its state to each of them. */
enum order_kind {
	/** Asks the upstream to accept the ballot, and for nothing else. */
	ORDER_PREPARE,
	/** Grants key ranges for a time, or renews the grant of those held. */
	ORDER_GRANT,
	/** Ends the grant that the upstream holds. */
	ORDER_REVOKE,
};

/** An order from a cell's coordinator to one upstream. */
struct order {
	enum order_kind kind;
	/** The cell's name. */
	struct str cell;
	/** The coordinator's ballot. */
	struct ballot ballot;
	/** Epoch of the row that the coordinator knows. */
	uint64_t epoch;
	/** ORDER_GRANT only: the upstream's incarnation that the grant is for;
	 * others refuse it. */
	struct str boot;
	/** ORDER_GRANT only: start of the grant, a reading of the upstream's
	 * own clock. */
	int64_t anchor_us;
	/** ORDER_GRANT only: length of the grant. */
	int64_t duration_us;
	/** ORDER_GRANT only: true grants the ranges below instead of those
	 * held; false renews the grant for the ranges held. */
	bool has_ranges;
	const struct hash_range *ranges;
	size_t range_count;
};

/** State of an upstream's process, as the upstream reports it. */
enum upstream_state {
	/** Started recently; takes only a few requests at once, see cold_limit
	 * in struct upstream_load. */
	UPSTREAM_COLD,
	/** Takes requests without that limit. */
	UPSTREAM_READY,
	/** Shuts down. */
	UPSTREAM_DRAINING,
};

/** An upstream's load report. The report lags and may be wrong. */
struct upstream_load {
	/** Numbers of running and queued requests, of request slots, and of
	 * connections. */
	uint32_t running, queued, slots, connections;
	enum upstream_state state;
	/** Limit of concurrent requests while the state is UPSTREAM_COLD. */
	uint32_t cold_limit;
};

/** An upstream's reply to an order: whether it accepted the order, and its
 * state afterwards. */
struct order_reply {
	bool accepted;
	/** The highest ballot that the upstream has accepted. */
	struct ballot promised;
	/** The highest epoch that the upstream remembers. */
	uint64_t epoch;
	/** The upstream's incarnation. */
	struct str boot;
	/** The upstream's monotonic clock, and the uptime of its process. */
	int64_t clock_us, up_us;
	/** Whether the upstream holds a grant now, the epoch of the order that
	 * granted it, and the time until it expires. */
	bool has_grant;
	uint64_t grant_epoch;
	int64_t grant_left_us;
	/** Digest of the grant's ranges, see hash_ranges_digest(). */
	uint64_t grant_digest;
	struct upstream_load load;
};

#endif
