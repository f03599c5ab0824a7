/**
 * Internals of the simulated fleet, for fleet*.c only. Times are in
 * microseconds of simulated time.
 */
#ifndef FLEET_IMPL_H
#define FLEET_IMPL_H

#include "fleet.h"

/** Time in microseconds after which a table call fails unless its reply has
 * arrived. */
#define FLEET_TIMEOUT_US INT64_C(1000000)

/** A publish that a daemon runs. */
struct job {
	struct fleet *fleet;
	/** Index of the daemon. */
	unsigned int daemon;
	struct publish *publish;
	/** Id of the publish attempt. */
	char *attempt;
	/** The publish has its result; the job is freed when no table call
	 * refers to it. */
	bool ended;
};

struct daemon {
	struct fleet *fleet;
	unsigned int index;
	char id[24];
	/** The incarnation as text, as peers receive it. */
	char boot[24];
	enum peer_role role;
	bool alive;
	/** Number of starts so far. */
	unsigned int incarnation;
	int64_t frozen_until;
	/** A partition separates the daemon from the table. */
	bool table_cut;
	struct settings_replica *settings_replica;
	struct peers *peers;
	/** struct job, of publishes that run or have a table call in flight. */
	GPtrArray *jobs;
	struct fleet_sent sent;
};

/** A connection between two daemons, open or closed. */
struct conn {
	/** Indexes of the daemons. */
	unsigned int opener, acceptor;
	/** The opener wants the connection: it is reopened when it closes. */
	bool kept;
	/** The connection is open. */
	bool up;
	/** Incremented when the connection opens or closes; messages sent
	 * before that are dropped. */
	unsigned int generation;
	/** Earliest time at which a closed connection is opened. */
	int64_t retry_at;
	/** Link handles for the daemons: [0] the opener's, [1] the acceptor's.
	 */
	struct end {
		struct conn *conn;
		unsigned int side;
	} ends[2];
};

enum message_kind {
	MESSAGE_HELLO,
	MESSAGE_HEARTBEAT,
	/** Asks the receiver for its settings. */
	MESSAGE_PULL,
	MESSAGE_SETTINGS,
};

/** A message in flight. */
struct message {
	enum message_kind kind;
	struct conn *conn;
	/** The connection's generation when the message was sent. */
	unsigned int generation;
	/** Index in conn->ends of the receiver. */
	unsigned int side;
	/** Time of delivery, unless the message is held back. */
	int64_t due;
	/** Encoded heartbeat or settings; NULL for other kinds. */
	GBytes *bytes;
	/** Incarnation of the sender, as text. */
	char sender_boot[24];
};

/** A table call in flight. */
struct table_call {
	/** Index and incarnation of the calling daemon. */
	unsigned int daemon, incarnation;
	/** The publish that makes the call, or NULL for the daemon's periodic
	 * read. */
	struct job *job;
	bool write;
	/** Value: NULL for a read. */
	char *key, *value;
	/** A write is refused unless the row has this version. */
	uint64_t if_version;
	/** Times at which the table runs the call and the caller gets the
	 * result. */
	int64_t apply_at, answer_at;
	/** The table has run the call; no result is due any more, because the
	 * caller has it or was killed. */
	bool applied, answered;
	enum table_status status;
	/** Version of the row that was read. */
	uint64_t row_version;
	/** Value that was read; owned by the table, which keeps every value. */
	struct str found;
};

struct fleet {
	struct fleet_config config;
	GRand *rng;
	int64_t now;
	/** Number of daemons. */
	unsigned int count;
	struct daemon *daemons;
	/** struct conn by opener * count + acceptor + 1. */
	GHashTable *conns;
	/** All struct conn; owns them. */
	GPtrArray *conn_list;
	/** struct message in flight, in the order in which they were sent. */
	GPtrArray *messages;
	/** Partitioned pairs of daemons: low * count + high + 1. */
	GHashTable *cuts;
	/** struct table_call in flight. */
	GPtrArray *calls;
	/** Values of all keys but PUBLISH_KEY, by key. */
	GHashTable *history;
	/** struct fleet_version, by version - 1; the last one is the value of
	 * PUBLISH_KEY. */
	GPtrArray *versions;
	/** Version of the row of PUBLISH_KEY. */
	uint64_t row_version;
	/** See fleet_set_table_outage() and the functions after it. */
	bool outage, lose_write_replies;
	int64_t table_delay;
};

/** Returns whether a daemon is neither killed nor frozen. */
bool fleet_is_running(const struct daemon *daemon, int64_t now);

/**
 * Start a table call of a daemon. The result is passed to the publish of job,
 * or to the daemon's settings replica when job is NULL. key and value are
 * copied.
 *
 * @param if_version a write is refused unless the row has this version; 0 when
 *        there is no row
 */
void fleet_read(struct daemon *daemon, struct job *job, struct str key);
void fleet_write(struct daemon *daemon, struct job *job, struct str key,
		 uint64_t if_version, struct str value);

/** Applies the table calls that are due and passes on their results. */
void fleet_table_step(struct fleet *fleet);

/** Frees a struct table_call. */
void fleet_call_free(gpointer data);

#endif
