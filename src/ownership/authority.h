/**
 * Authority: the lease under which a daemon may send a cell's orders. With
 * upstreams that check grants it is a quorum lease: a majority of them accepted
 * the ballot in recent replies. With upstreams that do not check grants it
 * comes from the table: a recent read returned a row that this process wrote.
 */
#ifndef OWNERSHIP_AUTHORITY_H
#define OWNERSHIP_AUTHORITY_H

#include "ownership/coordinator_impl.h"

/** The source of a cell's authority: the quorum of upstreams, or the table. */
struct authority_ops {
	/** When authority expires unless it is renewed; NEVER_US if there is
	 * none. */
	int64_t (*until_us)(const struct coordinator *c);
	/** Whether this daemon's current ballot has won at the instant now. */
	bool (*won)(const struct coordinator *c, int64_t now);
	/** The highest epoch that every later coordinator is sure to learn of:
	 * a majority remembers it, or it is in the table. */
	uint64_t (*settled_epoch)(const struct coordinator *c);
	/** Whether no row newer than the known one can be in use. */
	bool (*row_current)(const struct coordinator *c);
	/** When the last grant of earlier coordinators expires if our ballot
	 * won at won_us; INT64_MAX if such grants never expire. */
	int64_t (*grants_end_us)(const struct coordinator *c, int64_t won_us);
};

/** The source of authority that the cell's current row names. */
const struct authority_ops *authority_of(const struct coordinator *c);

/** Whether this daemon holds authority at the instant now. */
bool authority_held(const struct coordinator *c, int64_t now);

/**
 * Whether an upstream counts towards the majority: its process has been up for
 * longer than any authority that it may have confirmed before a restart.
 *
 * @param up_us uptime of the upstream's process
 */
bool authority_counts(const struct coordinator *c, int64_t up_us);

/** Number of acceptors that accepted a ballot of this term recently enough to
 * still support authority. */
size_t authority_accepted(const struct coordinator *c, int64_t now);

/** Whether so many upstreams refused the ballot that it can't win. */
bool authority_refused(const struct coordinator *c);

/** Starts a new ballot of this daemon, with a number above every one seen. */
void authority_new_ballot(struct coordinator *c);

/** Drops the ballot and all confirmations, at the end of a term. */
void authority_reset(struct coordinator *c);

/** Records that the ballot won; grants of earlier coordinators must expire
 * before their slices are granted again. */
void authority_won(struct coordinator *c, int64_t now);

#endif
