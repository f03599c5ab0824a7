/**
 * Inside of a cell's coordinator, shared by its modules only. One input runs
 * at a time, and every input ends in coordinator_step().
 */
#ifndef OWNERSHIP_COORDINATOR_IMPL_H
#define OWNERSHIP_COORDINATOR_IMPL_H

#include "ownership/coordinator.h"
#include "ownership/rebalancer.h"

/** An instant before all others. */
#define NEVER_US INT64_MIN
/** Orders to one upstream whose answers are still told apart. */
#define EXCHANGES_KEPT 4
/** Table calls whose late answers are still told apart. */
#define TABLE_CALLS_KEPT 8

/** One order that was sent. */
struct exchange {
	uint64_t request;
	struct ballot ballot;
	int64_t sent_us;
};

/** What the coordinator knows of one upstream. */
struct cell_upstream {
	char *id;
	char *zone;
	bool listed, fences, leaving, out;
	/** When it was last seen in the list. */
	int64_t listed_us;

	struct exchange exchanges[EXCHANGES_KEPT];
	size_t exchange_next;
	/** The newest exchange is unanswered. */
	bool awaiting_reply;
	/** When the next order is due. */
	int64_t due_us;

	/** Incarnation, and the newest reading of its clock with the instant
	 * at which it arrived here. */
	char *boot;
	int64_t clock_us, clock_at_us, up_us;
	/** Sending time of the newest exchange that was answered. */
	int64_t answered_sent_us;
	/** Last answer, and since when it answers without a long gap. */
	int64_t heard_us, reachable_us;

	/** The highest ballot of ours that it accepted in this term. */
	struct ballot ballot;
	/** Beginning of the newest exchange that counts for authority. */
	int64_t confirmed_us;
	/** Epoch it remembered in such an exchange. */
	uint64_t epoch;
	/** It refused our ballot in its newest answer. */
	bool refused;

	/** When it last held what it is to hold. */
	int64_t grant_ok_us;

	/** It holds no grant of a lower epoch and will accept none. */
	uint64_t released_epoch;
	/** All grants that it can hold end before this instant. */
	int64_t until_us;
	/** The grant it reported last. */
	bool held;
	uint64_t held_epoch, held_digest;
};

/** Whether the owner of a slice can be granted it. */
struct slice_state {
	/** Nobody else holds the slice, nor can get it below a new epoch. */
	bool safe;
	/** While not safe: who may hold it; NULL: any upstream. */
	struct cell_upstream *holder;
};

struct peer {
	char *daemon;
	int64_t heard_us, since_us;
	bool leaving;
	uint64_t epoch;
};

struct table_call {
	uint64_t request;
	int64_t begun_us;
	/** Id of the write; 0: a read. */
	uint64_t write;
};

/** A row that is being written. */
struct row_write {
	uint64_t id;
	struct slice_map *map;
	GBytes *row;
	char *attempt;
	/** The version it replaces. */
	uint64_t version;
	int64_t sent_us;
	unsigned int sends;
	/** Its outcome is unknown: read back before anything else. */
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
	/** The coordinator that was heard last; "" for none. */
	char *leader;
	struct ballot leader_ballot;
	int64_t leader_heard_us;
	uint64_t highest_number;
	/** No challenge before this instant. */
	int64_t no_challenge_before_us;
	int64_t backoff_us;
	int64_t resigned_us;

	/* Authority. */
	struct ballot ballot;
	/** The lowest ballot number of the present term. */
	uint64_t term_number;
	/** The present ballot won a majority, and when. */
	bool won;
	int64_t won_us;
	/** When it began to lead. */
	int64_t lead_us;
	/** Table authority: beginning of the newest read of our own row. */
	int64_t own_read_us;

	/* Row. */
	struct slice_map *map;
	/** The row's version in the table; 0: not known. */
	uint64_t version;
	/** The row's coordinator has its authority from the table. */
	bool unfenced;
	/** Parallel to the map's slices. */
	GArray *states;
	/** Owners of the row before, until its successor is settled. */
	GPtrArray *old_acceptors;
	/** Owners of the row, as struct cell_upstream. */
	GPtrArray *acceptors;
	/** An epoch that exists, and when it was heard of. */
	uint64_t known_epoch;
	int64_t known_epoch_us;
	uint64_t published_epoch;
	struct row_write *write;
	struct table_call calls[TABLE_CALLS_KEPT];
	size_t call_next;
	bool need_read, reading;
	/** Beginning of the newest read; no other before retry_read_us. */
	int64_t read_sent_us, retry_read_us;
	/** Beginning of the newest read that was answered. */
	int64_t row_read_us;
	bool row_absent;
	bool table_up;

	/** When the ballot was last raised within a term. */
	int64_t ballot_raised_us;
	unsigned int challenges;
	/** Until then unlisted upstreams are not asked for: see
	 * coordinator_ignore_unlisted(). */
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

/** The margin for clock rates. */
static inline int64_t coordinator_margin(const struct coordinator *c)
{
	return c->fault == COORDINATOR_FAULT_NO_MARGIN ? 0
						       : c->timing.margin_us;
}

/** Runs what is due after an input. */
void coordinator_step(struct coordinator *c);

/** Ends the term when authority ran out: comes before any input. */
void coordinator_check_authority(struct coordinator *c, int64_t now);

/** Notes that an epoch exists, so that the row is read if it is newer. */
void coordinator_note_epoch(struct coordinator *c, uint64_t epoch);

/** Logs one sentence through the operations. */
void coordinator_event(struct coordinator *c, const char *format, ...)
	G_GNUC_PRINTF(2, 3);

/** Finds an upstream's record, or NULL. */
struct cell_upstream *coordinator_upstream(struct coordinator *c,
					   struct str id);

/** Finds or adds an upstream's record. */
struct cell_upstream *coordinator_upstream_add(struct coordinator *c,
					       struct str id);

/** True when it answered lately. */
bool upstream_reachable(const struct coordinator *c,
			const struct cell_upstream *u, int64_t now);

/** True when its slices are to be given to others. */
bool upstream_lost(const struct coordinator *c, const struct cell_upstream *u,
		   int64_t now);

/** True when it may be given slices, were it reachable. */
bool upstream_in_service(const struct coordinator *c,
			 const struct cell_upstream *u);

#endif
