/**
 * Internals of the simulated fleet, for fleet*.c only. Times are in
 * microseconds of simulated time.
 */
#ifndef FLEET_IMPL_H
#define FLEET_IMPL_H

#include "fleet.h"

/** Time in microseconds after which a table call without a reply fails. */
#define FLEET_TIMEOUT_US INT64_C(1000000)

/** A publish that runs in a daemon. */
struct job {
	struct fleet *fleet;
	unsigned int daemon;
	struct publish *publish;
	char *attempt;
	bool ended;
};

struct daemon {
	struct fleet *fleet;
	unsigned int index;
	char id[24];
	/** Incarnation as text, as peers see it. */
	char boot[24];
	enum peer_role role;
	bool alive;
	unsigned int incarnation;
	int64_t frozen_until;
	bool table_cut;
	struct settings_replica *settings_replica;
	struct peers *peers;
	GPtrArray *jobs;
	struct fleet_sent sent;
};

/** A connection from `opener` to `acceptor`; reopened while `kept` is set. */
struct conn {
	unsigned int opener, acceptor;
	bool kept, up;
	/** Incremented when the connection opens or closes; messages sent
	 * before that are dropped. */
	unsigned int generation;
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
	MESSAGE_BEAT,
	MESSAGE_PULL,
	MESSAGE_BODY,
};

struct message {
	enum message_kind kind;
	struct conn *conn;
	unsigned int generation;
	/** Index in conn->ends of the receiver. */
	unsigned int side;
	int64_t due;
	GBytes *bytes;
	/** Incarnation of the sender. */
	char text[24];
};

/** A table call in flight. */
struct table_call {
	unsigned int daemon, incarnation;
	/** The publish that makes the call, or NULL for the daemon's periodic
	 * read. */
	struct job *job;
	bool write;
	char *key, *value;
	uint64_t if_version;
	int64_t apply_at, answer_at;
	bool applied, answered;
	enum table_status status;
	uint64_t row_version;
	/** Value that was read; owned by the table, which keeps every value. */
	struct str found;
};

struct fleet {
	struct fleet_config config;
	GRand *rng;
	int64_t now;
	unsigned int count;
	struct daemon *daemons;
	/** struct conn by opener * count + acceptor + 1. */
	GHashTable *conns;
	GPtrArray *conn_list;
	GPtrArray *messages;
	/** Partitioned pairs of daemons: low * count + high + 1. */
	GHashTable *cuts;
	/** Table calls in flight. */
	GPtrArray *calls;
	/** Values of all keys but PUBLISH_KEY, by key. */
	GHashTable *history;
	/** struct fleet_version, by version - 1. */
	GPtrArray *versions;
	uint64_t row_version;
	bool outage, lose_write_replies;
	int64_t table_delay;
};

/** Returns whether a daemon is neither killed nor frozen. */
bool fleet_is_running(const struct daemon *daemon, int64_t now);

/**
 * Start a table call of a daemon. Its result is passed to the publish of job,
 * or to the daemon's settings replica when job is NULL. key and value are
 * copied.
 */
void fleet_read(struct daemon *daemon, struct job *job, struct str key);
void fleet_write(struct daemon *daemon, struct job *job, struct str key,
		 uint64_t if_version, struct str value);

/** Applies the table calls that are due and passes on their results. */
void fleet_table_step(struct fleet *fleet);

/** Frees a struct table_call. */
void fleet_call_free(gpointer data);

#endif
