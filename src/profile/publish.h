/**
 * Publication of one change of the settings. The row settings/current of the
 * platform's table is replaced by compare-and-set.
 *
 * The old version is written to settings/history/VERSION first, so that the
 * history has no gaps. Each version carries the change ids (attempts) of the
 * last versions. When the answer to the write is lost, the row is read back:
 * - it holds this change: accepted;
 * - another change took the version: this one was not written and never will
 *   be, since its compare-and-set fails;
 * - it still holds the old version: the same conditional write is repeated.
 */
#ifndef PROFILE_PUBLISH_H
#define PROFILE_PUBLISH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/str.h"
#include "platform/table_defs.h"
#include "profile/profile_defs.h"

/** Key of the row that holds the current version. */
#define PUBLISH_KEY "settings/current"
/** Key prefix of the rows that hold replaced versions; the version number
 * follows. */
#define PUBLISH_HISTORY_PREFIX "settings/history/"
/** Time limit of a publication: at its end the outcome is PUBLISH_UNAVAILABLE
 * or PUBLISH_UNKNOWN. */
#define PUBLISH_DEADLINE_US INT64_C(8000000)
/** Delay before a failed table call is repeated. */
#define PUBLISH_RETRY_US INT64_C(200000)

enum change_kind {
	/**
	 * Replaces profiles, services and zones. What is out of service stays
	 * out, except for zones that are no longer declared.
	 */
	CHANGE_DECLARE,
	/** Takes a zone out of service or back in. */
	CHANGE_ZONE,
	/** Takes a VM out of service or back in. */
	CHANGE_VM,
	/** Publishes the declarations of an earlier version again. */
	CHANGE_ROLLBACK,
};

/** A change of the settings that an operator asks for. */
struct change {
	enum change_kind kind;
	/** Version that the change is based on; CHANGE_DECLARE only. */
	uint64_t base_version;
	/** New content; CHANGE_DECLARE only. */
	const struct settings *declared;
	/** Id of the zone or VM; CHANGE_ZONE and CHANGE_VM only. */
	struct str target;
	/**
	 * True: out of service, false: back in; CHANGE_ZONE and CHANGE_VM
	 * only.
	 */
	bool out;
	/** Skips the checks of capacity and of contact with peers. */
	bool force;
	/** Version whose declarations are restored; CHANGE_ROLLBACK only. */
	uint64_t to_version;
	/** Unique id of the change; a repeated request carries the same id. */
	struct str attempt;
	/** Name of the operator who asks for the change. */
	struct str author;
	/** Reason that the operator gives for the change. */
	struct str note;
	/** Time of publication, in seconds since 1970-01-01 UTC. */
	int64_t published_s;
};

enum publish_outcome {
	/** The table holds the change; the result has its version. */
	PUBLISH_ACCEPTED,
	/** The change makes no difference; nothing was written. */
	PUBLISH_UNCHANGED,
	/** A rule or check failed; nothing was written. */
	PUBLISH_REFUSED,
	/** Another version was published meanwhile; nothing was written. */
	PUBLISH_CONFLICT,
	/** The table can't be reached; nothing was written. */
	PUBLISH_UNAVAILABLE,
	/** The write may have taken effect, or may still do so. */
	PUBLISH_UNKNOWN,
};

/** The end of a publication, for the operator who asked for the change. */
struct publish_result {
	enum publish_outcome outcome;
	/**
	 * The version that holds the change after PUBLISH_ACCEPTED; else the
	 * version last read from the table, or 0.
	 */
	uint64_t version;
	/**
	 * Reason of the outcome, or on a conflict the changes since the base
	 * version; may be "".
	 */
	const char *message;
	/** The change was refused by a check that change.force skips. */
	bool force_helps;
};

/** What a publication needs from its daemon. */
struct publish_ops {
	/** Starts to read a row; pass the result to publish_on_read(). */
	void (*read)(void *ctx, struct str key);
	/**
	 * Starts a conditional write of a row: the row must be at version
	 * if_version in the table, or absent when if_version is 0. Pass the
	 * result to publish_on_written().
	 */
	void (*write)(void *ctx, struct str key, uint64_t if_version,
		      struct str value);
	/**
	 * Tells whether the upstreams left in service by a version can carry
	 * the present load.
	 *
	 * @param why set to a new text on false; freed with g_free()
	 */
	bool (*fits)(void *ctx, const struct settings *after, char **why);
	/** Tells whether this daemon is in contact with half of its peers. */
	bool (*in_contact)(void *ctx);
	/** Reports the end of the publication, once; the result is valid
	 * during the call. */
	void (*done)(void *ctx, const struct publish_result *result);
};

/** One publication in progress or ended. */
struct publish;

/**
 * Starts to publish a change.
 *
 * @param change copied
 * @param ops must outlive the publication
 * @return the publication, freed with publish_destroy()
 */
struct publish *publish_create(const struct change *change,
			       const struct publish_ops *ops, void *ctx,
			       int64_t now_us);

/** Frees a publication; must not be called from publish_ops.done. */
void publish_destroy(struct publish *publish);

/**
 * Starts the table call that is due, or ends the publication at its deadline;
 * call every 100 ms.
 */
void publish_tick(struct publish *publish, int64_t now_us);

/**
 * Continues the publication with the result of publish_ops.read.
 *
 * @param status TABLE_OK or TABLE_ABSENT; the read is repeated after any other
 * @param row_version the table's version of the row, for compare-and-set
 * @param value copied; used with TABLE_OK only
 */
void publish_on_read(struct publish *publish, enum table_status status,
		     uint64_t row_version, struct str value, int64_t now_us);

/** Continues the publication with the result of publish_ops.write, whichever
 * row was written. */
void publish_on_written(struct publish *publish, enum table_status status,
			int64_t now_us);

/**
 * Returns the settings that hold the accepted change. When an earlier request
 * with the same id was accepted, these are the settings that the table held,
 * possibly a later version.
 *
 * @return JSON, valid until the publication is freed; empty when the change
 *         was not accepted
 */
struct str publish_accepted_json(const struct publish *publish);

/** Tells whether publish_ops.done was called. */
bool publish_ended(const struct publish *publish);

#endif
