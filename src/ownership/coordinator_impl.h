/**
 * Internal state of a cell's coordinator, shared by its modules only. One input
 * runs at a time. Inputs that may change the phase end in coordinator_step().
 */
#ifndef OWNERSHIP_COORDINATOR_IMPL_H
#define OWNERSHIP_COORDINATOR_IMPL_H

#include "ownership/coordinator.h"
#include "ownership/rebalancer.h"

/** Stands for "has not happened"; compares before every instant. */
#define NEVER_US INT64_MIN
/** Orders kept per upstream, to match late replies. */
#define EXCHANGES_KEPT 4
/** Table calls kept, to match late replies. */
#define TABLE_CALLS_KEPT 8

/** An order that was sent, for matching its reply. */
struct exchange {
	uint64_t request;
	struct ballot ballot;
	int64_t sent_us;
};

/** What the coordinator knows of one upstream. Times are local unless said
 * otherwise. */
struct cell_upstream {
	char *id;
	char *zone;
	bool listed, fences, leaving, out;
	/** When it was last in the list of upstreams. */
	int64_t listed_us;

	struct exchange exchanges[EXCHANGES_KEPT];
	size_t exchange_next;
	/** The newest order has no reply yet. */
	bool awaiting_reply;
	/** When the next order is due. */
	int64_t due_us;

	/** The incarnation in its newest reply; NULL before the first one. */
	char *boot;
	/** The newest reading of its own clock, the local time at which it
	 * arrived, and how long its process had been up then. */
	int64_t clock_us, clock_at_us, up_us;
	/** Sending time of the newest order that got a reply. */
	int64_t answered_sent_us;
	/** Last reply, and since when it replies without a long gap. */
	int64_t last_seen_us, reachable_us;

	/** The highest of our ballots that it accepted in this term. */
	struct ballot ballot;
	/** Sending time of the newest order that confirms authority. */
	int64_t confirmed_us;
	/** Highest epoch that it reported in such a reply. */
	uint64_t epoch;
	/** Its newest reply names a higher ballot than ours. */
	bool refused;

	/** When it last reported exactly the grant that it should hold. */
	int64_t grant_ok_us;

	/** It holds no grant of an epoch below this and accepts none. */
	uint64_t released_epoch;
	/** All grants that it may hold expire by this instant. */
	int64_t held_until_us;
	/** The grant in its newest reply. */
	bool held;
	uint64_t held_epoch, held_digest;
};

/** Whether a slice can be granted to its owner. */
struct slice_state {
	/** No other upstream holds the slice or can get it under the current
	 * epoch. */
	bool safe;
	/** While not safe: the upstream that may still hold it; NULL: any. */
	struct cell_upstream *holder;
};

/** Another assigner, as known from its heartbeats. */
struct peer {
	/** The peer's daemon id. */
	char *daemon;
	/** Last heartbeat, and since when the peer is live without a gap. */
	int64_t last_seen_us, since_us;
	bool leaving;
	uint64_t epoch;
};

/** A read or write of the row that was sent to the table. */
struct table_call {
	uint64_t request;
	int64_t begun_us;
	/** Id of the write; 0: a read. */
	uint64_t write;
};

/** The pending write of a row. */
struct row_write {
	uint64_t id;
	struct slice_map *map;
	GBytes *row;
	char *attempt;
	/** The version that the write replaces. */
	uint64_t version;
	int64_t sent_us;
	unsigned int sends;
	/** The outcome is unknown: the row must be read to learn it. */
	bool unknown;
};

struct coordinator {
	char *cell, *daemon, *incarnation;
	uint64_t daemon_number;
	size_t slices_per_owner;
	struct coordinator_timing timing;
	enum coordinator_fault fault;
	const struct clock *clock;
	const struct coordinator_ops *ops;
	void *ctx;
	GRand *random;
	uint64_t next_request;
	uint64_t next_attempt;

	/* Election. */
	enum coordinator_phase phase;
	int64_t created_us;
	/** struct peer, owned. */
	GPtrArray *peers;
	/** Id of the leader known last; "" for none. */
	char *leader;
	struct ballot leader_ballot;
	int64_t leader_seen_us;
	uint64_t highest_number;
	/** This daemon does not become a candidate before this instant. */
	int64_t no_challenge_before_us;
	int64_t backoff_us;
	int64_t resigned_us;

	/* Authority. */
	struct ballot ballot;
	/** The lowest ballot number of the present term. */
	uint64_t term_number;
	/** Whether and when the current ballot won. */
	bool won;
	int64_t won_us;
	/** When this daemon began to lead. */
	int64_t lead_us;
	/** Authority from the table: start of the newest read that returned
	 * our own row. */
	int64_t own_read_us;

	/* Row. */
	struct slice_map *map;
	/** The row's version in the table; 0: not known. */
	uint64_t version;
	/** Authority comes from the table, as upstreams don't check grants. */
	bool unfenced;
	/** struct slice_state, one per slice of the map. */
	GArray *states;
	/** Acceptors of the previous row; NULL once the epoch of the current
	 * row is settled. */
	GPtrArray *old_acceptors;
	/** Owners listed in the row, as struct cell_upstream, borrowed. */
	GPtrArray *acceptors;
	/** Highest epoch seen, and when. */
	uint64_t known_epoch;
	int64_t known_epoch_us;
	uint64_t published_epoch;
	struct row_write *write;
	struct table_call calls[TABLE_CALLS_KEPT];
	size_t call_next;
	bool need_read, reading;
	/** Start of the newest read; the next one starts no earlier than
	 * retry_read_us. */
	int64_t read_sent_us, retry_read_us;
	/** Start of the newest read that returned the row. */
	int64_t row_read_us;
	bool row_absent;
	bool table_up;

	/** When the newest ballot of the term began. */
	int64_t ballot_raised_us;
	/** Ballots tried since this daemon last became a candidate. */
	unsigned int challenges;
	/** Until this instant unlisted upstreams are left out of the majority,
	 * see coordinator_ignore_unlisted(). */
	int64_t ignore_unlisted_until_us;

	/* Upstreams and load. */
	/** struct cell_upstream, owned. */
	GPtrArray *upstreams;
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

/** Ends the term if authority expired; the first step of every input. */
void coordinator_check_authority(struct coordinator *c, int64_t now);

/** Raises the highest known epoch to this one. A row older than the highest
 * known epoch is read again. */
void coordinator_raise_known_epoch(struct coordinator *c, uint64_t epoch);

/** Logs "cell NAME: " and the formatted text through the operations. */
void coordinator_event(struct coordinator *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Finds an upstream's record, or NULL. */
struct cell_upstream *coordinator_upstream(struct coordinator *c,
					   struct str id);

/** Finds or adds an upstream's record. */
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
