/**
 * Inside of the fleet: shared by fleet*.c only.
 */
#ifndef FLEET_IMPL_H
#define FLEET_IMPL_H

#include "fleet.h"

/** A table call without an answer for this long has failed. */
#define FLEET_TIMEOUT_US INT64_C(1000000)

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

/** A connection that `opener` keeps to `acceptor`. */
struct conn {
	unsigned int opener, acceptor;
	bool kept, up;
	unsigned int generation;
	int64_t retry_at;
	/** The handles of both ends: [0] of the opener. */
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
	/** Receiving end. */
	unsigned int side;
	int64_t due;
	GBytes *bytes;
	char text[24];
};

/** A call to the table on its way. */
struct table_call {
	unsigned int daemon, incarnation;
	/** NULL: the daemon's own poll. */
	struct job *job;
	bool write;
	char *key, *value;
	uint64_t if_version;
	int64_t apply_at, answer_at;
	bool applied, answered;
	enum table_status status;
	uint64_t row_version;
	/** Borrowed from the table, which keeps every value. */
	struct str found;
};

struct fleet {
	struct fleet_config config;
	GRand *rng;
	int64_t now;
	unsigned int count;
	struct daemon *daemons;
	/** struct conn by opener * count + acceptor. */
	GHashTable *conns;
	GPtrArray *conn_list;
	GPtrArray *messages;
	GHashTable *cuts;
	/** Table. */
	GPtrArray *calls;
	GHashTable *history;
	/** struct fleet_version, by version - 1. */
	GPtrArray *versions;
	uint64_t row_version;
	bool outage, lose_answers;
	int64_t table_delay;
};

bool fleet_is_running(const struct daemon *daemon, int64_t now);
void fleet_read(struct daemon *daemon, struct job *job, struct str key);
void fleet_write(struct daemon *daemon, struct job *job, struct str key,
		 uint64_t if_version, struct str value);
void fleet_table_step(struct fleet *fleet);
void fleet_call_free(gpointer data);

#endif
