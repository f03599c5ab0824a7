/**
 * How recent this VM's picture of the store is: for each watched table, when it
 * was last known to be the newest, and on whom this VM relies to learn of
 * changes. Written to the lines of requests and decisions, so that a late VM is
 * told from others by its own log.
 */
#ifndef ENTRY_WATCH_STATUS_H
#define ENTRY_WATCH_STATUS_H

#include "base/event_log.h"
#include "base/metrics.h"
#include "customers/config_contact.h"
#include "entry/copy_exchange.h"

/** Interval, in seconds, of the calls of watch_status_tick(). */
#define WATCH_TICK_S 0.05

struct watch_status;

/** Options; what the pointers refer to must outlive the status. */
struct watch_status_options {
	const struct loop *loop;
	struct event_log *log;
	struct metrics *metrics;
	/** The contact by which requests with API keys are judged. */
	struct config_contact *operator_contact;
};

/** Who tells this VM of changes of the tables. */
enum watch_source {
	/** The store: this VM calls it itself. */
	WATCH_STORE,
	WATCH_LEADER,
	/** A backup of a leader that isn't heard. */
	WATCH_BACKUP,
	/** A backup that the store doesn't answer. */
	WATCH_WAITING_BACKUP,
	WATCH_SOURCES,
};

/** What other VMs told this one of the tables. */
struct watch_news {
	/** What this VM does for the others: one word, a constant. */
	const char *role;
	enum watch_source source;
	/** The leader's heartbeats arrive. */
	bool hears_leader;
	/** A heartbeat with all owners of keys was missed. */
	bool missed_owners;
	/** Newest row versions that any VM knows. */
	uint64_t newest_rows[COPIED_TABLES];
	/** Versions up to which this VM has all changes. */
	uint64_t known_rows[COPIED_TABLES];
	/** Loop time of the last message that names row versions; 0: none. */
	double heard_s;
	/** Latest loop time at which the store answered another VM; 0:
	 * unknown. */
	double told_s[COPIED_TABLES];
	/** Loop time of the last heartbeat of the leader. */
	double leader_heard_s;
};

/**
 * Creates a status: nothing is known.
 *
 * @param options copied
 */
struct watch_status *
watch_status_create(const struct watch_status_options *options);

/** Frees the status; NULL is allowed. */
void watch_status_destroy(struct watch_status *status);

/** Notes that the store answered.
 *
 * @param asked_s loop time at which it was asked */
void watch_status_answered(struct watch_status *status, enum copied_table table,
			   double asked_s);

/** Notes the row version of the configuration that came into force. */
void watch_status_set_config_row(struct watch_status *status, uint64_t row);

/** Returns the row version of the configuration in force; 0: none. */
uint64_t watch_status_config_row(const struct watch_status *status);

/**
 * To be called every WATCH_TICK_S. A call that comes late shows that the
 * process stood still, was off the processor or busy: the line about it names
 * the processor time that was used meanwhile.
 */
void watch_status_tick(struct watch_status *status);

/** Notes what other VMs know; called at every tick. */
void watch_status_update(struct watch_status *status,
			 const struct watch_news *news);

/** Returns the seconds since a table was last known to be the newest; -1: it
 * never was. */
double watch_status_age_s(const struct watch_status *status,
			  enum copied_table table);

/** Returns watch_status_age_s() in milliseconds, for the log.
 *
 * @param status NULL: the age is unknown */
double watch_status_age_ms(const struct watch_status *status,
			   enum copied_table table);

/** Returns the seconds since the store last answered this VM itself about a
 * table; -1: it never did. */
double watch_status_answer_age_s(const struct watch_status *status,
				 enum copied_table table);

/** Returns a word for a source. */
const char *watch_source_name(enum watch_source source);

/** Returns what the last watch_status_update() told. */
const struct watch_news *watch_status_news(const struct watch_status *status);

/** Returns the seconds since the leader's last heartbeat. */
double watch_status_leader_age_s(const struct watch_status *status);

/**
 * Writes the age of the configuration as key=value pairs for the log.
 *
 * @param status NULL: writes nothing
 */
void watch_status_describe(const struct watch_status *status, char *buf,
			   size_t size);

#endif
