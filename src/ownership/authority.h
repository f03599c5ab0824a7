/**
 * Who may give a cell's orders: a majority of the cell's upstreams accepted the
 * ballot in exchanges begun lately, or, for upstreams that do not check, the
 * table was read lately and holds this daemon's own row.
 */
#ifndef OWNERSHIP_AUTHORITY_H
#define OWNERSHIP_AUTHORITY_H

#include "ownership/coordinator_impl.h"

/** Where a cell's authority comes from. */
struct authority_ops {
	/** When authority ends unless confirmed again; NEVER_US: none. */
	int64_t (*until_us)(const struct coordinator *c);
	/** The present ballot was accepted. */
	bool (*won)(const struct coordinator *c, int64_t now);
	/** The highest epoch that no successor can miss. */
	uint64_t (*settled_epoch)(const struct coordinator *c);
	/** No newer row can have been put into force. */
	bool (*row_current)(const struct coordinator *c);
	/** When grants of earlier coordinators have ended, after a win. */
	int64_t (*grants_end_us)(const struct coordinator *c, int64_t won_us);
};

/** The rules that hold for the cell's present row. */
const struct authority_ops *authority_of(const struct coordinator *c);

/** Authority is held at this instant. */
bool authority_held(const struct coordinator *c, int64_t now);

/** An upstream's process has been up long enough to be counted. */
bool authority_counts(const struct coordinator *c, int64_t up_us);

/** Upstreams that accepted the present ballot and are counted now. */
size_t authority_accepted(const struct coordinator *c, int64_t now);

/** Acceptors that refused the present ballot are too many for a majority. */
bool authority_refused(const struct coordinator *c);

/** Starts a new ballot, above all that were seen. */
void authority_new_ballot(struct coordinator *c);

/** Forgets what upstreams confirmed, at the end of a term. */
void authority_reset(struct coordinator *c);

/** Notes that the present ballot won: earlier grants are to be waited out. */
void authority_won(struct coordinator *c, int64_t now);

#endif
