/**
 * The coordinator of one cell: a state machine without I/O that elects one
 * assigner to give the cell's orders, keeps the cell's row in the table, and
 * hands short grants to the owners. Every assigner runs one instance for each
 * cell, also for services without keys: there the authority decides who holds
 * the upstreams' budgets. See docs/design/ownership.md.
 *
 * An instance is used by one thread at a time. Inputs may call the operations
 * of struct coordinator_ops before they return.
 */
#ifndef OWNERSHIP_COORDINATOR_H
#define OWNERSHIP_COORDINATOR_H

#include "ownership/coordinator_defs.h"

struct coordinator;

/** The timing that the daemons use. */
struct coordinator_timing coordinator_timing_default(void);

/**
 * Creates an instance that follows.
 *
 * @param config copied
 * @param clock must outlive the instance
 * @param ops must outlive the instance
 * @param ctx handed to the operations
 */
struct coordinator *coordinator_create(const struct coordinator_config *config,
				       const struct clock *clock,
				       const struct coordinator_ops *ops,
				       void *ctx);

/** Frees an instance; answers to its requests are to be dropped. */
void coordinator_destroy(struct coordinator *c);

/** Lets time pass. Call it at least every COORDINATOR_TICK_US. */
void coordinator_tick(struct coordinator *c);

/**
 * The answer to read_row().
 *
 * @param version of the row, for TABLE_OK
 * @param row encoded CellRow, for TABLE_OK; not kept
 */
void coordinator_on_row(struct coordinator *c, uint64_t request,
			enum table_status status, uint64_t version,
			struct str row);

/**
 * The answer to write_row().
 *
 * @param version the new version, for TABLE_OK
 */
void coordinator_on_written(struct coordinator *c, uint64_t request,
			    enum table_status status, uint64_t version);

/** An upstream's answer to an order; reply is not kept. */
void coordinator_on_reply(struct coordinator *c, uint64_t request,
			  const struct order_reply *reply);

/** An order got no answer; it may still be carried out. */
void coordinator_on_no_reply(struct coordinator *c, uint64_t request);

/**
 * The upstreams of the cell, whole and current. Call it on every change of the
 * list of VMs or of what is out of service.
 */
void coordinator_set_upstreams(struct coordinator *c,
			       const struct coordinator_upstream *upstreams,
			       size_t count);

/** A heartbeat of another live assigner. */
void coordinator_on_peer(struct coordinator *c,
			 const struct coordinator_peer *peer);

/**
 * A row that a peer sent, which is in the table or was.
 *
 * @param map a reference is taken when it is newer than what is known
 */
void coordinator_on_map(struct coordinator *c, struct slice_map *map);

/** A router's or upstream's hint that this epoch exists. */
void coordinator_on_epoch(struct coordinator *c, uint64_t epoch);

/** Load that routers counted since their last report. */
void coordinator_on_load(struct coordinator *c,
			 const struct coordinator_load *load);

/**
 * Asks to hand the cell over, at a planned stop: no new moves begin, authority
 * is given up and peers learn of it from the next heartbeat.
 */
void coordinator_hand_over(struct coordinator *c);

/**
 * Operators say that upstreams which the platform no longer lists are gone for
 * good, for a cell that lost the majority of its upstreams at once. For a
 * minute they are not asked for, so that a row without them can be written.
 * Unsafe when one of them still runs and another daemon reaches it.
 */
void coordinator_ignore_unlisted(struct coordinator *c);

/** True when nothing keeps the daemon from stopping. */
bool coordinator_handed_over(const struct coordinator *c);

/**
 * Whether this daemon is the coordinator with authority at this moment. It
 * holds for cells without slices too.
 */
bool coordinator_has_authority(struct coordinator *c);

/**
 * How much longer the present authority lasts without a new confirmation.
 *
 * @return microseconds; 0 without authority
 */
int64_t coordinator_authority_left_us(struct coordinator *c);

/**
 * What this daemon's heartbeat says of the cell: the newest row it knows, and
 * the coordinator, itself included.
 *
 * @param peer filled in; texts are valid until the next input
 */
void coordinator_heartbeat(struct coordinator *c,
			   struct coordinator_peer *peer);

/** The newest committed row known, or NULL; borrowed until the next input. */
struct slice_map *coordinator_map(struct coordinator *c);

/** State for operators. */
void coordinator_status(struct coordinator *c,
			struct coordinator_status *status);

/**
 * Explains who serves one key.
 *
 * @return false when no row is known
 */
bool coordinator_explain(struct coordinator *c, uint64_t hash,
			 struct coordinator_explanation *out);

/** The phase as operators read it: "following", "leading", ... */
const char *coordinator_phase_name(enum coordinator_phase phase);

#endif
