/**
 * Publishing one change of the settings: compare-and-set on the version seen,
 * a lost answer resolved by reading back, every replaced version kept.
 *
 * The version that is replaced is written to settings/history/VERSION before
 * the row settings/current is, so that the history lacks nothing. A version
 * carries the attempt ids of the last ones. After a lost answer the row tells:
 * it holds this attempt (accepted), or another at this version (not written,
 * and never will be, for the compare-and-set fails), or still the version
 * before, when the same conditional write is sent again.
 */
#ifndef PROFILE_PUBLISH_H
#define PROFILE_PUBLISH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/table_defs.h"
#include "profile/profile_defs.h"

#define PUBLISH_KEY "settings/current"
#define PUBLISH_HISTORY_PREFIX "settings/history/"
/** After this the outcome is told as it is known then. */
#define PUBLISH_DEADLINE_US INT64_C(8000000)
#define PUBLISH_RETRY_US INT64_C(200000)

enum change_kind {
	/** Replaces profiles, services and zones; what is out stays out. */
	CHANGE_DECLARE,
	CHANGE_ZONE,
	CHANGE_VM,
	/** Publishes the declarations of an earlier version again. */
	CHANGE_ROLLBACK,
};

struct change {
	enum change_kind kind;
	/** The version seen by who asks; CHANGE_DECLARE only. */
	uint64_t base_version;
	/** New content; CHANGE_DECLARE only. */
	const struct settings *declared;
	/** Id of the zone or VM. */
	struct str target;
	/** Out, or in. */
	bool out;
	/** Skips the checks of capacity and of contact with the peers. */
	bool force;
	/** The version to go back to; CHANGE_ROLLBACK only. */
	uint64_t to_version;
	/** Unique for each change. */
	struct str attempt;
	struct str author;
	struct str note;
	/** Seconds since 1970-01-01 UTC. */
	int64_t published_s;
};

enum publish_outcome {
	/** The table holds it as this version. */
	PUBLISH_ACCEPTED,
	/** Already so; nothing was written. */
	PUBLISH_UNCHANGED,
	/** Against the rules; nothing was written. */
	PUBLISH_REFUSED,
	/** Another version was published meanwhile; nothing was written. */
	PUBLISH_CONFLICT,
	/** The table can't be reached; nothing was written. */
	PUBLISH_UNAVAILABLE,
	/** It may have been written or may still be. */
	PUBLISH_UNKNOWN,
};

struct publish_result {
	enum publish_outcome outcome;
	/** Accepted: its version. Else the version in the table, if known. */
	uint64_t version;
	/** Why, or what changed; "" when there is nothing to say. */
	const char *message;
	/** Refused, but `force` would do it. */
	bool force_helps;
};

struct publish_ops {
	/** Reads a row; publish_on_read() brings the end. */
	void (*read)(void *ctx, struct str key);
	/** Writes a row at a version; publish_on_written() brings the end. */
	void (*write)(void *ctx, struct str key, uint64_t if_version,
		      struct str value);
	/**
	 * Tells whether the remaining upstreams carry today's load.
	 *
	 * @param why set to a new text when not; freed with g_free()
	 */
	bool (*fits)(void *ctx, const struct settings *after, char **why);
	/** Tells whether this daemon is in contact with half of its peers. */
	bool (*in_contact)(void *ctx);
	/** The end, once; the result is valid during the call. */
	void (*done)(void *ctx, const struct publish_result *result);
};

struct publish;

/**
 * Starts to publish a change.
 *
 * @param change copied
 * @param ops lives as long as the publish
 */
struct publish *publish_create(const struct change *change,
			       const struct publish_ops *ops, void *ctx,
			       int64_t now_us);

/** Frees; not from within done. */
void publish_destroy(struct publish *publish);

/** Sends again what is due and ends at the deadline; call every 100 ms. */
void publish_tick(struct publish *publish, int64_t now_us);

/**
 * A read ended.
 *
 * @param row_version the table's own version of the row
 */
void publish_on_read(struct publish *publish, enum table_status status,
		     uint64_t row_version, struct str value, int64_t now_us);

/** A write ended. */
void publish_on_written(struct publish *publish, enum table_status status,
			int64_t now_us);

/**
 * The settings that were accepted, or a later version read back after them.
 *
 * @return JSON, valid until the publish is freed; empty without acceptance
 */
struct str publish_accepted_json(const struct publish *publish);

/** Whether done was called. */
bool publish_ended(const struct publish *publish);

#endif
