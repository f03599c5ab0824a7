/**
 * Settings in force in one daemon. The highest version wins and never goes
 * back. It is learned by polling the table and from other daemons.
 *
 * A daemon may take new work only while it can't have missed a version for
 * long: it read the table lately, or was lately in contact with half of its
 * peers, and knows of no version that it lacks.
 */
#ifndef PROFILE_SPREAD_H
#define PROFILE_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/table_defs.h"
#include "profile/profile_defs.h"

/** Shortest time between two reads of the table by one daemon. */
#define SETTINGS_REPLICA_POLL_US INT64_C(1000000)
/** Reads a second of the table by all daemons that have contact. */
#define SETTINGS_REPLICA_READS_PER_SECOND 100
/** A table read counts for this long from its start. */
#define SETTINGS_REPLICA_READ_VALID_US INT64_C(2000000)
/** Longest time to be behind a known version and take new work. */
#define SETTINGS_REPLICA_BEHIND_GRACE_US INT64_C(500000)
/** A pull without an answer is sent again, to another daemon if possible. */
#define SETTINGS_REPLICA_PULL_RETRY_US INT64_C(300000)

struct settings_replica_ops {
	/** Starts to read settings/current; settings_replica_on_table_read()
	 * brings the end. */
	void (*read_table)(void *ctx);
	/** Asks a daemon for its settings. */
	void (*pull)(void *ctx, struct str daemon);
	/** Sends the settings held to a daemon that asked. */
	void (*send)(void *ctx, struct str daemon, uint64_t version,
		     struct str body);
	/**
	 * A higher version is in force. The settings live until the next call;
	 * settings_copy() what is kept longer.
	 */
	void (*in_force)(void *ctx, const struct settings *settings);
};

struct settings_replica;

/**
 * Creates the state of one daemon without settings.
 *
 * @param ops lives as long as the settings_replica
 * @param seed of the polls' jitter
 */
struct settings_replica *
settings_replica_create(const struct settings_replica_ops *ops, void *ctx,
			uint32_t seed, int64_t now_us);

void settings_replica_destroy(struct settings_replica *settings_replica);

/** Polls and pulls what is due; call every 100 ms. */
void settings_replica_tick(struct settings_replica *settings_replica,
			   int64_t now_us);

/**
 * After the settings_replica_on_peer_version() of the same heartbeats: says how
 * many daemons share the read budget, and until when contact with the peers
 * lets this daemon rely on its settings: peers_reach_until() in an assigner,
 * peers_told_until() in a router.
 */
void settings_replica_set_contact(struct settings_replica *settings_replica,
				  size_t daemons, int64_t reach_until_us);

/** A daemon said which version it has. */
void settings_replica_on_peer_version(struct settings_replica *settings_replica,
				      struct str daemon, uint64_t version,
				      int64_t now_us);

/** A daemon asks for the settings. */
void settings_replica_on_pull(struct settings_replica *settings_replica,
			      struct str daemon);

/**
 * Settings came from a daemon.
 *
 * @return false when they can't be read
 */
bool settings_replica_on_peer_settings(
	struct settings_replica *settings_replica, struct str body,
	int64_t now_us);

/**
 * A read of the table ended.
 *
 * @param status TABLE_OK, TABLE_ABSENT or a failure
 * @param body the row's value with TABLE_OK
 */
void settings_replica_on_table_read(struct settings_replica *settings_replica,
				    enum table_status status, struct str body,
				    int64_t now_us);

/** Settings in force, or NULL before there are any. */
const struct settings *
settings_replica_current(const struct settings_replica *settings_replica);

/** Version in force; 0 before there is any. */
uint64_t
settings_replica_version(const struct settings_replica *settings_replica);

/** The settings in force as JSON; empty before there are any. */
struct str
settings_replica_json(const struct settings_replica *settings_replica);

/**
 * Until when new work may be taken without another sign.
 *
 * @return an instant, maybe in the past
 */
int64_t
settings_replica_valid_until(const struct settings_replica *settings_replica);

/**
 * Tells whether new work may be taken.
 *
 * @param why set to a constant text when not; may be NULL
 */
bool settings_replica_ready(const struct settings_replica *settings_replica,
			    int64_t now_us, const char **why);

/** How often the table or a peer offered a lower version than the one held,
 * from the table only. */
uint64_t
settings_replica_stale_reads(const struct settings_replica *settings_replica);

#endif
