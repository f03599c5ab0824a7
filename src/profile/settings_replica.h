/**
 * One daemon's replica of the settings. The daemon polls the platform's table
 * and pulls from peers that report a higher version; the version in force
 * never goes back.
 *
 * A daemon may take new work only while its replica is known to be recent: it
 * read the table or was in contact with half of its peers shortly before, and
 * knows of no version that it lacks.
 */
#ifndef PROFILE_SETTINGS_REPLICA_H
#define PROFILE_SETTINGS_REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/table_defs.h"
#include "profile/profile_defs.h"

/** Interval of a daemon's reads of the table, before jitter. */
#define SETTINGS_REPLICA_POLL_US INT64_C(1000000)
/** Read budget: table reads per second by all connected daemons together. */
#define SETTINGS_REPLICA_READS_PER_SECOND 100
/** A table read that confirms the version in force keeps the replica valid for
 * this long, counted from the start of the read. */
#define SETTINGS_REPLICA_READ_VALID_US INT64_C(2000000)
/** Longest time that a daemon takes new work after a peer reported a version
 * that the daemon lacks. */
#define SETTINGS_REPLICA_BEHIND_GRACE_US INT64_C(500000)
/** Time after which an unanswered pull is repeated, to the peer that reported
 * the wanted version last. */
#define SETTINGS_REPLICA_PULL_RETRY_US INT64_C(300000)

/** What a replica needs from its daemon. */
struct settings_replica_ops {
	/**
	 * Starts to read settings/current; pass the result to
	 * settings_replica_on_table_read().
	 */
	void (*read_table)(void *ctx);
	/** Asks a peer for its settings; the daemon is the peer's id. */
	void (*pull)(void *ctx, struct str daemon);
	/** Sends this daemon's settings, as JSON, to a peer that asked. */
	void (*send)(void *ctx, struct str daemon, uint64_t version,
		     struct str body);
	/**
	 * Called when a new version came into force. The settings are valid
	 * until the next such call; copy them with settings_copy() to keep
	 * them longer.
	 */
	void (*in_force)(void *ctx, const struct settings *settings);
};

/** Replica of the settings in one daemon. */
struct settings_replica;

/**
 * Creates a replica without settings.
 *
 * @param ops must outlive the replica
 * @param seed seed of the random numbers that vary the poll interval
 * @return the replica, freed with settings_replica_destroy()
 */
struct settings_replica *
settings_replica_create(const struct settings_replica_ops *ops, void *ctx,
			uint32_t seed, int64_t now_us);

/** Frees a replica; NULL is allowed. */
void settings_replica_destroy(struct settings_replica *replica);

/** Starts a table read or a pull when one is due; call every 100 ms. */
void settings_replica_tick(struct settings_replica *replica, int64_t now_us);

/**
 * Updates the contact with peers. Call it after
 * settings_replica_on_peer_version() for the same heartbeats, so that a
 * heartbeat which reports a newer version doesn't extend the validity of the
 * old one.
 *
 * @param daemons number of daemons that share the read budget
 * @param contact_until_us until when contact with peers keeps the replica
 *        valid: peers_quorum_until() in an assigner,
 *        peers_settings_valid_until() in a router
 */
void settings_replica_set_contact(struct settings_replica *replica,
				  size_t daemons, int64_t contact_until_us);

/** Handles a heartbeat in which a peer reported its version of the settings. */
void settings_replica_on_peer_version(struct settings_replica *replica,
				      struct str daemon, uint64_t version,
				      int64_t now_us);

/** Answers a peer's pull with the settings in force, if there are any. */
void settings_replica_on_pull(struct settings_replica *replica,
			      struct str daemon);

/**
 * Puts settings that a peer sent into force, if their version is higher.
 *
 * @param body the settings as JSON; copied
 * @return false when the settings are invalid
 */
bool settings_replica_on_peer_settings(struct settings_replica *replica,
				       struct str body, int64_t now_us);

/**
 * Handles the result of settings_replica_ops.read_table.
 *
 * @param status TABLE_OK, TABLE_ABSENT or a failure
 * @param body the row's value with TABLE_OK
 */
void settings_replica_on_table_read(struct settings_replica *replica,
				    enum table_status status, struct str body,
				    int64_t now_us);

/** Returns the settings in force, owned by the replica, or NULL. */
const struct settings *
settings_replica_current(const struct settings_replica *replica);

/** Returns the version in force; 0 without settings. */
uint64_t settings_replica_version(const struct settings_replica *replica);

/** Returns the settings in force as JSON, owned by the replica; empty without
 * settings. */
struct str settings_replica_json(const struct settings_replica *replica);

/**
 * Returns until when the replica is valid, unless a table read or contact with
 * peers confirms it again.
 *
 * @return microseconds on the daemon's clock, possibly in the past; 0 without
 *         settings
 */
int64_t settings_replica_valid_until(const struct settings_replica *replica);

/**
 * Tells whether the daemon may take new work.
 *
 * @param why set to a constant text on false; the pointer may be NULL
 */
bool settings_replica_ready(const struct settings_replica *replica,
			    int64_t now_us, const char **why);

/** Returns the number of table reads that gave an older version than the one in
 * force, an invalid row, or no row although settings are in force. */
uint64_t settings_replica_stale_reads(const struct settings_replica *replica);

#endif
