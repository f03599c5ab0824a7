/**
 * The coordinator of one cell, that is, of one service's key space: a state
 * machine without I/O. It takes part in electing the assigner that leads the
 * cell. The leader replaces the cell's row (the owner map) in the table and
 * sends the owners grants, which are short leases on slices of the key space.
 * Every assigner runs one instance per cell, also for services without keys:
 * there the leader is the one that holds the upstreams' budgets. See
 * docs/design/ownership.md.
 *
 * Each row that replaces another has the next higher epoch. The upstreams that
 * the row lists as owners also elect the leader: a candidate numbers its orders
 * with a ballot, and a majority of these upstreams (the acceptors) must accept
 * the ballot. Authority is the lease under which the leader then sends orders.
 * For upstreams that don't check grants the table takes the place of the
 * majority, see authority.h. A term lasts from a daemon's candidacy until the
 * daemon is a follower again.
 *
 * An instance is used by one thread at a time. Inputs may call the operations
 * of struct coordinator_ops before they return.
 */
#ifndef OWNERSHIP_COORDINATOR_H
#define OWNERSHIP_COORDINATOR_H

#include "ownership/coordinator_defs.h"

struct coordinator;

/** The default timing, as used in production. */
struct coordinator_timing coordinator_timing_default(void);

/**
 * Creates an instance in the phase COORDINATOR_FOLLOWING.
 *
 * @param config copied
 * @param clock must outlive the instance
 * @param ops must outlive the instance
 * @param ctx passed to the operations
 */
struct coordinator *coordinator_create(const struct coordinator_config *config,
				       const struct clock *clock,
				       const struct coordinator_ops *ops,
				       void *ctx);

/** Frees an instance; NULL is allowed. The caller drops results of operations
 * that arrive later. */
void coordinator_destroy(struct coordinator *c);

/** Runs the timers that are due. Call it at least every COORDINATOR_TICK_US. */
void coordinator_tick(struct coordinator *c);

/**
 * Handles the result of read_row().
 *
 * @param version of the row, for TABLE_OK
 * @param row encoded CellRow, for TABLE_OK; not kept
 */
void coordinator_on_row(struct coordinator *c, uint64_t request,
			enum table_status status, uint64_t version,
			struct str row);

/**
 * Handles the result of write_row().
 *
 * @param version the new version, for TABLE_OK
 */
void coordinator_on_written(struct coordinator *c, uint64_t request,
			    enum table_status status, uint64_t version);

/** Handles an upstream's reply to an order. The reply is not kept. */
void coordinator_on_reply(struct coordinator *c, uint64_t request,
			  const struct order_reply *reply);

/** Handles the failure of an order that got no reply; the upstream may still
 * carry it out. */
void coordinator_on_no_reply(struct coordinator *c, uint64_t request);

/**
 * Replaces the list of the cell's upstreams. Call it whenever the list of VMs
 * or the set of VMs out of service changes.
 *
 * @param upstreams all upstreams of the cell; copied
 */
void coordinator_set_upstreams(struct coordinator *c,
			       const struct coordinator_upstream *upstreams,
			       size_t count);

/** Handles another assigner's heartbeat about this cell. */
void coordinator_on_peer(struct coordinator *c,
			 const struct coordinator_peer *peer);

/**
 * Handles a committed row that a peer sent; the row may be out of date.
 *
 * @param map a reference is taken if the map is newer than the known row
 */
void coordinator_on_map(struct coordinator *c, struct slice_map *map);

/** Handles a router's or upstream's hint that a row of this epoch exists. */
void coordinator_on_epoch(struct coordinator *c, uint64_t epoch);

/** Adds a load report: requests counted by routers since their last report. */
void coordinator_on_load(struct coordinator *c,
			 const struct coordinator_load *load);

/**
 * Gives up the cell for a graceful shutdown: no new moves begin, authority
 * ends, and peers learn of it from the next heartbeat. This instance does not
 * become a candidate again.
 */
void coordinator_hand_over(struct coordinator *c);

/**
 * Leaves upstreams that the platform no longer lists out of the majority for
 * one minute, so that a row without them can be written. An operator orders
 * this when a cell lost most of its upstreams at once. Unsafe if one of them
 * still runs and another daemon reaches it.
 */
void coordinator_ignore_unlisted(struct coordinator *c);

/**
 * Whether the handover is over and the daemon can stop: a successor leads, no
 * peer is live, or 2 seconds have passed.
 */
bool coordinator_handed_over(const struct coordinator *c);

/**
 * Whether this daemon leads the cell and holds authority now. Also works for
 * cells without slices.
 */
bool coordinator_has_authority(struct coordinator *c);

/**
 * Time until the authority expires unless it is renewed.
 *
 * @return microseconds; 0 without authority
 */
int64_t coordinator_authority_left_us(struct coordinator *c);

/**
 * Fills in what this daemon's heartbeat says of the cell: the epoch of its
 * newest row, and the coordinator that it knows, which may be itself.
 *
 * @param peer filled in; texts are valid until the next input
 */
void coordinator_heartbeat(struct coordinator *c,
			   struct coordinator_peer *peer);

/** The newest committed row known, or NULL; valid until the next input. */
struct slice_map *coordinator_map(struct coordinator *c);

/** Fills in the cell's state for operators. */
void coordinator_status(struct coordinator *c,
			struct coordinator_status *status);

/**
 * Explains which upstream owns a key and whether it serves it.
 *
 * @param hash of the key
 * @return false when no row is known
 */
bool coordinator_explain(struct coordinator *c, uint64_t hash,
			 struct coordinator_explanation *out);

/** The phase's name for operators: "following", "leading", ... */
const char *coordinator_phase_name(enum coordinator_phase phase);

#endif
