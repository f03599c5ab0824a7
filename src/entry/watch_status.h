/**
 * How recent this VM's picture of the store is: for each watched table, when it
 * was last known to be the newest, and on whom this VM relies to learn of
 * changes. Written to the lines of requests and decisions, so that a late VM is
 * told from others by its own log.
 */
#ifndef ENTRY_WATCH_STATUS_H
#define ENTRY_WATCH_STATUS_H

#include "base/event_log.h"
#include "customers/config_contact.h"
#include "entry/copy_exchange.h"

struct watch_status;

/** Options; what the pointers refer to must outlive the status. */
struct watch_status_options {
	const struct loop *loop;
	struct event_log *log;
	/** The contact by which requests with API keys are judged. */
	struct config_contact *operator_contact;
};

/** What other VMs told this one of the tables. */
struct watch_news {
	/** Who tells this VM of changes: one word. */
	const char *source;
	/** Newest row versions that any VM knows. */
	uint64_t newest_rows[COPIED_TABLES];
	/** Newest row versions that this VM knows. */
	uint64_t known_rows[COPIED_TABLES];
	/** Loop time of the last message that names row versions; 0: none. */
	double heard_s;
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

/** Notes what other VMs know; called about every 50 ms. */
void watch_status_update(struct watch_status *status,
			 const struct watch_news *news);

/** Returns the seconds since a table was last known to be the newest; -1: it
 * never was. */
double watch_status_age_s(const struct watch_status *status,
			  enum copied_table table);

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
