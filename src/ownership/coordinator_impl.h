/**
 * Internal state of a cell's coordinator, shared by its modules only. One input
 * runs at a time. Inputs that may change the phase end in coordinator_step().
 */
#ifndef OWNERSHIP_COORDINATOR_IMPL_H
#define OWNERSHIP_COORDINATOR_IMPL_H

#include "ownership/coordinator.h"
#include "ownership/rebalancer.h"

/** An instant that stands for "has not happened"; earlier than all others. */
#define NEVER_US INT64_MIN
/** Number of newest orders to an upstream that are remembered, so that late
 * replies find their order. */
#define SENT_ORDERS_KEPT 4
/** Number of newest table calls that are remembered, so that late results find
 * their call. */
#define TABLE_CALLS_KEPT 8

/** An order that was sent to an upstream. Its reply has the same request id. */
struct sent_order {
	uint64_t request;
	/** The ballot that the order carried. */
	struct ballot ballot;
	int64_t sent_us;
};

/** The coordinator's record of one upstream. Times are in microseconds of the
 * coordinator's own clock unless said otherwise. */
struct cell_upstream {
	/** Id of the VM. */
	char *id;
	char *zone;
	/** The upstream is in the newest list of coordinator_set_upstreams().
	 */
	bool listed;
	/** As in struct coordinator_upstream, from the last list that named the
	 * upstream. */
	bool fences, leaving, out;
	/** When the upstream was last in the list. */
	int64_t listed_us;

	/** The newest orders to the upstream; order n is at index n modulo
	 * SENT_ORDERS_KEPT. */
	struct sent_order sent_orders[SENT_ORDERS_KEPT];
	/** Number of orders sent to the upstream so far. */
	size_t orders_sent;
	/** An order waits for its reply, so the next one is held back, but not
	 * for longer than REPLY_WAIT_US in grants.c. */
	bool awaiting_reply;
	/** When the next order is due; NEVER_US: at once. */
	int64_t next_order_us;

	/** The upstream's incarnation according to its newest reply; NULL
	 * before the first reply. */
	char *boot;
	/** From the newest reply: the upstream's own clock, our time when the
	 * reply arrived, and the uptime of the upstream's process. */
	int64_t clock_us, clock_at_us, up_us;
	/** Sending time of the newest order that got a reply. */
	int64_t answered_sent_us;
	/** When the last reply arrived, and since when the same incarnation
	 * has replied without a gap of owner_lost_us. */
	int64_t last_seen_us, reachable_us;

	/** The highest of our ballots that the upstream accepted in this term.
	 */
	struct ballot ballot;
	/** Sending time of the newest order with which the upstream accepted a
	 * ballot of this term; NEVER_US if there is none. Authority is counted
	 * from it. */
	int64_t confirmed_us;
	/** Highest epoch that the upstream reported when it accepted a ballot
	 * of this term. */
	uint64_t epoch;
	/** The upstream's newest reply names a higher ballot than ours. */
	bool refused;

	/** When the newest reply arrived that left grants_held() true. */
	int64_t grant_ok_us;

	/** The upstream holds no grant of an epoch below this one and accepts
	 * none. */
	uint64_t released_epoch;
	/** All grants that the upstream may hold expire by this instant. */
	int64_t held_until_us;
	/** From the newest reply: whether the upstream holds a grant, the
	 * grant's epoch, and the digest of its ranges. */
	bool held;
	uint64_t held_epoch, held_digest;
};

/** Whether a slice can be granted to its owner. */
struct slice_state {
	/** No other upstream holds the slice or can get it under the current
	 * epoch. */
	bool safe;
	/** While not safe: the only upstream that may still hold the slice;
	 * NULL if any upstream may. */
	struct cell_upstream *holder;
};

/** Another assigner, as known from its heartbeats. */
struct peer {
	/** The peer's daemon id. */
	char *daemon;
	/** When the last heartbeat arrived, and since when the peer has been
	 * live without a gap. */
	int64_t last_seen_us, live_since_us;
	/** As in the peer's last heartbeat, see struct coordinator_peer. */
	bool leaving;
	uint64_t epoch;
};

/** A read or write of the row that was sent to the table. */
struct table_call {
	uint64_t request;
	/** When the call was sent. */
	int64_t begun_us;
	/** Id of the struct row_write that the call sends; 0 for a read. */
	uint64_t write;
};

/** The pending write of a row. The same write may be sent more than once. */
struct row_write {
	uint64_t id;
	/** The row to write, and the same row encoded. */
	struct slice_map *map;
	GBytes *row;
	/** The unique id that is stored with the row. */
	char *attempt;
	/** The version that the write replaces. */
	uint64_t version;
	/** When the write was last sent, and how often it was sent. */
	int64_t sent_us;
	unsigned int times_sent;
	/** The outcome is unknown: the row must be read to learn it. */
	bool outcome_unknown;
};

/** All times are in microseconds of the coordinator's clock; NEVER_US stands
 * for an event that has not happened. */
struct coordinator {
	/** As in struct coordinator_config; owned. */
	char *cell, *daemon, *incarnation;
	/** This process as a number in its ballots, see struct ballot. */
	uint64_t daemon_number;
	size_t slices_per_owner;
	struct coordinator_timing timing;
	enum coordinator_fault fault;
	const struct clock *clock;
	const struct coordinator_ops *ops;
	void *ctx;
	GRand *random;
	/** Ids of the next order or table call, and of the next write. */
	uint64_t next_request;
	uint64_t next_attempt;

	/* Election. */
	/** This daemon's state in the election of the cell's leader. */
	enum coordinator_phase phase;
	/** When coordinator_create() was called. */
	int64_t created_us;
	/** The other assigners, as struct peer, owned. */
	GPtrArray *peers;
	/** Id of the other daemon that last claimed the cell with the highest
	 * ballot known; "" for none, or if it gave the cell up. */
	char *leader;
	/** The highest ballot with which another daemon claimed the cell. */
	struct ballot leader_ballot;
	/** When the leader last claimed the cell; NEVER_US without a leader. */
	int64_t leader_seen_us;
	/** The highest ballot number that any daemon is known to have used. */
	uint64_t highest_number;
	/** This daemon does not become a candidate before this instant. */
	int64_t no_candidacy_before_us;
	/** Length of the next back-off, without its random part. */
	int64_t backoff_us;
	/** When the leader, or this daemon itself, gave up the cell. */
	int64_t resigned_us;

	/* Authority. */
	/** The ballot in this daemon's orders; number 0 outside a term. */
	struct ballot ballot;
	/** Number of the ballot with which this daemon last became a candidate.
	 * Replies to orders with lower numbers confirm nothing. */
	uint64_t term_number;
	/** Whether the current ballot won. */
	bool won;
	/** When a ballot of this term last won; NEVER_US if none did. With
	 * authority from the table it is set before: when the ballot wins. */
	int64_t won_us;
	/** When this daemon began to lead. */
	int64_t lead_us;
	/** With authority from the table: sending time of the newest read or
	 * write that showed that the row is our own. */
	int64_t own_read_us;

	/* Row. */
	/** The newest row known; NULL for none. */
	struct slice_map *map;
	/** The row's version in the table; 0 if not known. */
	uint64_t version;
	/** Authority comes from the table, as upstreams don't check grants. */
	bool unfenced;
	/** The state of each slice of the map, as struct slice_state. */
	GArray *states;
	/** Acceptors of the previous row; NULL once the epoch of the current
	 * row is settled. */
	GPtrArray *old_acceptors;
	/** The upstreams that must accept a ballot: the owners listed in the
	 * row, as struct cell_upstream, borrowed. */
	GPtrArray *acceptors;
	/** Highest epoch that this daemon has heard of, and when it first did.
	 * The row of that epoch need not be known. */
	uint64_t known_epoch;
	int64_t known_epoch_us;
	/** Epoch of the newest row that was published; 0 for none. */
	uint64_t published_epoch;
	/** The pending write; NULL for none. */
	struct row_write *write;
	/** The newest table calls; call n is at index n modulo
	 * TABLE_CALLS_KEPT. */
	struct table_call calls[TABLE_CALLS_KEPT];
	/** Number of table calls so far. */
	size_t calls_sent;
	/** A read is wanted, and a read has no result yet. */
	bool need_read, reading;
	/** Start of the newest read; the next one starts no earlier than
	 * retry_read_us. */
	int64_t read_sent_us, retry_read_us;
	/** Start of the newest read that returned the known row or a newer one.
	 */
	int64_t row_read_us;
	/** A read found no row of the cell in the table, and no row is known.
	 */
	bool row_absent;
	/** The table answered the last call; also true before the first call.
	 */
	bool table_up;

	/** When the newest ballot of the term began. */
	int64_t ballot_raised_us;
	/** Ballots tried since this daemon last became a candidate. */
	unsigned int ballots_tried;
	/** Until this instant unlisted upstreams are left out of the majority,
	 * see coordinator_ignore_unlisted(). */
	int64_t ignore_unlisted_until_us;

	/* Upstreams and load. */
	/** The cell's upstreams, those of the list and those of the row, as
	 * struct cell_upstream, owned. */
	GPtrArray *upstreams;
	/** Earliest time of the next plan, see moves_step(). */
	int64_t next_plan_us;
	struct rebalancer *rebalancer;
};

/** Reads the clock. */
static inline int64_t coordinator_now(const struct coordinator *c)
{
	return clock_now_us(c->clock);
}

/** The safety margin for clock rates. */
static inline int64_t coordinator_margin(const struct coordinator *c)
{
	return c->fault == COORDINATOR_FAULT_NO_MARGIN ? 0
						       : c->timing.margin_us;
}

/** Advances the state machine; the last step of every input. */
void coordinator_step(struct coordinator *c);

/** Ends this daemon's lead if its authority has expired or too many upstreams
 * refuse its ballot; the first step of every input. */
void coordinator_check_authority(struct coordinator *c, int64_t now);

/** Raises the highest known epoch to this one. A row older than the highest
 * known epoch is read again. */
void coordinator_raise_known_epoch(struct coordinator *c, uint64_t epoch);

/** Logs "cell NAME: " and the formatted text through the operations. */
void coordinator_event(struct coordinator *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Finds an upstream's record by its VM's id, or NULL. */
struct cell_upstream *coordinator_upstream(struct coordinator *c,
					   struct str id);

/** Finds or adds an upstream's record by its VM's id. */
struct cell_upstream *coordinator_upstream_add(struct coordinator *c,
					       struct str id);

/** Whether an upstream replied recently. */
bool upstream_reachable(const struct coordinator *c,
			const struct cell_upstream *u, int64_t now);

/** Whether an upstream failed to reply, or to hold its grant, for so long that
 * its slices are to be moved. */
bool upstream_lost(const struct coordinator *c, const struct cell_upstream *u,
		   int64_t now);

/** Whether an upstream may own slices, apart from being reachable: it is listed
 * or was lately, not leaving and not out of service. */
bool upstream_in_service(const struct coordinator *c,
			 const struct cell_upstream *u);

#endif
